//! Targets in cooldown: they have asked this node to send nothing for a while.
//!
//! A target requests a cooldown when it refuses a call. It applies only to the node that sent the call.

use super::{Forwarder, TargetKey, TargetQuery};
use crate::{Span, Time};

/// The longest cooldown that is respected; a target that requests a longer one is tried again after this
/// time.
pub const MAX_COOLDOWN: Span = Span::from_secs(600);

/// The cooldown that a refusal requests.
#[derive(Copy, Clone, Debug, Default, PartialEq)]
pub enum CooldownReport {
    /// No cooldown is requested.
    #[default]
    None,
    /// The target requests that this node send nothing for this long.
    For(Span),
    /// The requested time cannot be parsed.
    Unreadable,
}

impl Forwarder {
    /// Applies a cooldown of `requested` that a target requested in its answer to a call sent at `sent`.
    /// Returns whether a cooldown begins.
    ///
    /// An earlier request for a longer cooldown stays in force.
    pub fn apply_cooldown(&mut self, now: Time, sent: Time, id: &str, requested: Span) -> bool {
        self.cooldown_targets.retain(|key| {
            let record = self.targets.get(*key);
            record.is_some_and(|record| record.cooldown(now) > Span::ZERO)
        });
        let Some(key) = self.by_id.get(id).copied() else {
            return false;
        };
        let record = &mut self.targets[key];
        if sent < record.entry.times.restarted_at || requested == Span::ZERO {
            return false;
        }
        record.cooldown_until = record.cooldown_until.max(now + requested.min(MAX_COOLDOWN));
        let begins = !self.cooldown_targets.contains(&key);
        if begins {
            self.cooldown_targets.push(key);
        }
        begins
    }

    /// When the cooldown of a target ends.
    pub fn cooldown_until(&self, id: &str) -> Time {
        let record = self.by_id.get(id).and_then(|key| self.targets.get(*key));
        record.map_or(Time(0), |record| record.cooldown_until)
    }

    /// The targets of a service that are in cooldown now.
    pub fn in_cooldown(&self, now: Time, service: &str) -> impl Iterator<Item = TargetKey> {
        let is_cooling_down = move |key: &TargetKey| {
            let record = self.targets.get(*key);
            record.is_some_and(|record| record.entry.service == service && record.cooldown(now) > Span::ZERO)
        };
        self.cooldown_targets.iter().copied().filter(is_cooling_down)
    }

    /// The shortest remaining cooldown among the targets of a call's service that accept work; zero if
    /// one of them is not in cooldown.
    pub fn service_cooldown(&self, now: Time, query: &TargetQuery) -> Span {
        if self.cooldown_targets.is_empty() || query.for_other_node {
            return Span::ZERO;
        }
        let keys = self.by_service.get(&query.service).into_iter().flatten();
        let records = keys.filter_map(|key| self.targets.get(*key));
        let cooldowns = records
            .filter(|record| record.entry.accepts_work() && query.accepts_version(&record.entry))
            .map(|record| record.cooldown(now));
        cooldowns.min().unwrap_or_default()
    }
}
