//! Targets that have asked this node for rest: to be sent nothing for a while.
//!
//! A target asks that in a refusal, of the node that it refuses and of no other.

use super::{Forwarder, TargetKey, TargetQuery};
use crate::{Span, Time};

/// The longest rest that is kept to: a target that names more is tried again after it.
pub const MAX_COOLDOWN: Span = Span::from_secs(600);

/// What a refusal says of rest.
#[derive(Copy, Clone, Debug, Default, PartialEq)]
pub enum CooldownReport {
    /// It asks for none.
    #[default]
    None,
    /// The target wants nothing from this node for so long.
    For(Span),
    /// It names a time that cannot be read.
    Unreadable,
}

impl Forwarder {
    /// A target asked for `rest` in the answer to a request sent at `sent`. Returns whether it rests now and did not before.
    ///
    /// A rest that was asked for before is not cut short.
    pub fn apply_cooldown(&mut self, now: Time, sent: Time, id: &str, rest: Span) -> bool {
        self.resting.retain(|key| {
            let record = self.targets.get(*key);
            record.is_some_and(|record| record.cooldown(now) > Span::ZERO)
        });
        let Some(key) = self.by_id.get(id).copied() else {
            return false;
        };
        let record = &mut self.targets[key];
        if sent < record.entry.times.restarted_at || rest == Span::ZERO {
            return false;
        }
        record.cooldown_until = record.cooldown_until.max(now + rest.min(MAX_COOLDOWN));
        let begins = !self.resting.contains(&key);
        if begins {
            self.resting.push(key);
        }
        begins
    }

    /// When the rest of a target is over.
    pub fn cooldown_until(&self, id: &str) -> Time {
        let record = self.by_id.get(id).and_then(|key| self.targets.get(*key));
        record.map_or(Time(0), |record| record.cooldown_until)
    }

    /// The targets of a service that rest now.
    pub fn in_cooldown(&self, now: Time, service: &str) -> impl Iterator<Item = TargetKey> {
        let rests = move |key: &TargetKey| {
            let record = self.targets.get(*key);
            record.is_some_and(|record| record.entry.service == service && record.cooldown(now) > Span::ZERO)
        };
        self.resting.iter().copied().filter(rests)
    }

    /// How long all targets of a call's service that may get work still rest; zero when one of them does not.
    pub fn service_cooldown(&self, now: Time, query: &TargetQuery) -> Span {
        if self.resting.is_empty() || query.for_other_node {
            return Span::ZERO;
        }
        let keys = self.by_service.get(&query.service).into_iter().flatten();
        let records = keys.filter_map(|key| self.targets.get(*key));
        let rests = records
            .filter(|record| record.entry.accepts_work())
            .map(|record| record.cooldown(now));
        rests.min().unwrap_or_default()
    }
}
