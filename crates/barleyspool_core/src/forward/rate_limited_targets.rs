//! Targets that take so many calls a second from all nodes together, and no more: cold ones, and those that name a limit.
//!
//! Whatever chooses a target asks here, and a call goes to one of them only when the owner of its shard has given it out.

use super::{ColdSpec, Forwarder, Shard, TargetEntry, TargetKey, TargetRecord, shard_key};
use crate::{IncarnationId, LimitReport, RateShare, Span, Time, rendezvous};
use serde::{Deserialize, Serialize};

/// How long it is believed that a target has no room, however much later it was told to have any: it may name a higher limit meanwhile.
pub const NO_CAPACITY_TTL: Span = Span::from_millis(1000);

/// An answer to the question whether a call may go to a target.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Grant {
    /// It may, after this wait.
    After(Span),
    /// The target has been given all that it takes; when there is room again.
    #[serde(rename = "NoRoom")]
    NoCapacity(Span),
}

impl Forwarder {
    /// How the targets of a service are after a start; `None` when they bear what they always do.
    pub(super) fn cold_spec(&self, service: &str) -> Option<ColdSpec> {
        self.catalog.as_ref()?.service(service)?.cold
    }

    /// What bounds a target now; `None` when nothing does.
    pub(super) fn rate_limit(&self, now: Time, key: TargetKey, cold: Option<ColdSpec>) -> Option<RateLimit> {
        let record = &self.targets[key];
        let limit = self.limits.per_s(record.incarnation_id);
        lowest_rate_limit(now, &record.entry, cold, limit)
    }

    /// Whether any target of a service takes so many calls a second and no more now.
    pub fn has_rate_limits(&self, now: Time, service: &str) -> bool {
        self.working_rate_limits(now, service)
            .any(|(_, rate_limit)| rate_limit.is_some())
    }

    /// Whether every target of a service that may get work takes so many calls a second and no more now.
    pub fn all_rate_limited(&self, now: Time, service: &str) -> bool {
        let mut bounds = self.working_rate_limits(now, service).peekable();
        bounds.peek().is_some() && bounds.all(|(_, rate_limit)| rate_limit.is_some())
    }

    /// The targets of a service that may get work, if not at this moment, and what bounds each.
    pub(super) fn working_rate_limits(
        &self,
        now: Time,
        service: &str,
    ) -> impl Iterator<Item = (&TargetRecord, Option<RateLimit>)> {
        let cold = self.cold_spec(service);
        let keys = self.by_service.get(service).into_iter().flatten();
        let targets = keys.map(move |key| (&self.targets[*key], self.rate_limit(now, *key, cold)));
        targets.filter(|(record, _)| record.entry.accepts_work())
    }

    // ------------------------------------------------------------------------
    // What targets say

    /// Takes what the answer of a target to a call said that was sent at `sent`. Returns the limit that stands now when
    /// others are to be notified.
    pub fn apply_limit_report(
        &mut self,
        now: Time,
        sent: Time,
        id: &str,
        report: LimitReport,
    ) -> Option<ReportedLimit> {
        if report == LimitReport::None && self.limits.is_empty() {
            // As nearly always: each answer comes by here.
            return None;
        }
        let run = self.targets.get(*self.by_id.get(id)?)?.incarnation_id;
        let before = self.limits.reported(run);
        let is_new = self.limits.apply_report(now, sent, run, report);
        let per_s = self.limits.reported(run);
        is_new.then_some(ReportedLimit {
            incarnation: run,
            per_s,
            changed: before != per_s,
        })
    }

    /// How many listed targets name a limit, as far as this node knows.
    pub fn limited_count(&self) -> usize {
        let named = |record: &&TargetRecord| self.limits.reported(record.incarnation_id).is_some();
        self.targets.values().filter(named).count()
    }

    /// The calls a second that the target of that id named as its limit.
    pub fn limit(&self, id: &str) -> Option<f64> {
        let record = self.targets.get(*self.by_id.get(id)?)?;
        self.limits.per_s(record.incarnation_id)
    }

    // ------------------------------------------------------------------------
    // What this node may give out

    pub(super) fn update_ownership(&mut self, now: Time) {
        let (members, me) = (&self.members, self.me);
        for (key, ownership) in &mut self.owned {
            let owner = rendezvous::pick(*key, members.iter().map(|member| member.key));
            ownership.update(now, owner == Some(me));
        }
    }

    /// What this node may give out of the rates of a shard's targets when the node `asker` asks. A node that has just started takes itself for
    /// the owner of everything, and gives out nothing.
    pub fn rate_share(&mut self, now: Time, shard: u128, asker: u64) -> RateShare {
        let owner = rendezvous::pick(shard, self.members.iter().map(|member| member.key));
        let owns = owner == Some(self.me);
        let ownership = self.owned.entry(shard).or_default();
        if self.converged {
            ownership.update(self.members_since, owns);
        }
        // Also before this node knows the others: who asks now and waits does not ask again.
        ownership.record_request(now, asker);
        self.known_share(now, shard)
    }

    /// The same without another question.
    pub fn known_share(&self, now: Time, shard: u128) -> RateShare {
        let ownership = self.owned.get(&shard).filter(|_| self.converged);
        ownership.map_or(RateShare::default(), |ownership| {
            ownership.share(now, self.reach, self.members.len())
        })
    }

    /// Whether a call of the node `asker` may go to a target of a service that has no engines, within `max_wait`. When it may, that
    /// is counted.
    pub fn grant(&mut self, now: Time, id: &str, asker: u64, max_wait: Span) -> Grant {
        let Some(key) = self.by_id.get(id).copied() else {
            return Grant::NoCapacity(max_wait);
        };
        let service = self.targets[key].entry.service.clone();
        let cold = self.cold_spec(&service);
        let Some(rate_limit) = self.rate_limit(now, key, cold) else {
            return Grant::After(Span::ZERO);
        };
        let share = self.rate_share(now, self.shard_of(key), asker);
        let wait = self.capacity_wait(now, key, rate_limit, share);
        if wait > max_wait || rate_limit.ends_within(now, wait) {
            return Grant::NoCapacity(share.retry_after(rate_limit.wait(now, wait)));
        }
        self.targets[key].bucket.take(now, rate_limit.per_s, share);
        Grant::After(wait)
    }

    /// How long until the rate of a target allows one more call.
    pub(super) fn capacity_wait(
        &mut self,
        now: Time,
        key: TargetKey,
        rate_limit: RateLimit,
        share: RateShare,
    ) -> Span {
        let record = &mut self.targets[key];
        record.bucket.set_share(now, share, (record.hash, self.me));
        record.bucket.wait(now, rate_limit.per_s, share)
    }

    /// The key of the shard to which a target belongs whose service has no pools.
    fn shard_of(&self, key: TargetKey) -> u128 {
        let record = &self.targets[key];
        let service = &record.entry.service;
        let of = self
            .services
            .get(service)
            .map_or(1, |targets| targets.engines.count());
        shard_key(service, Shard::number_of(record.hash, of))
    }

    /// The key of the shard that owns a target, by its id; `None` when it is not listed.
    pub fn shard_of_target(&self, id: &str) -> Option<u128> {
        Some(self.shard_of(*self.by_id.get(id)?))
    }

    // ------------------------------------------------------------------------
    // What this node was told

    /// The node that gives out the rate of a target said that there is no room before `until`.
    pub fn note_no_capacity(&mut self, now: Time, target: TargetKey, until: Time) {
        if let Some(record) = self.targets.get_mut(target) {
            record.no_capacity_until = until;
            record.no_capacity_at = now;
        }
    }
}

/// What an answer changed of what is known of a target's limit.
#[derive(Copy, Clone, Debug, PartialEq)]
pub struct ReportedLimit {
    /// The run of the target.
    pub incarnation: IncarnationId,
    /// The calls a second that it takes; `None` when it limits nothing any more.
    pub per_s: Option<f64>,
    /// Whether that is another limit than before.
    pub changed: bool,
}

/// What bounds a target.
#[derive(Copy, Clone, Debug, PartialEq)]
pub(super) struct RateLimit {
    /// The calls a second that it takes from all nodes together.
    pub(super) per_s: f64,
    /// When it ends, if that is known: a cold target that names no limit is warm then.
    until: Option<Time>,
}

impl RateLimit {
    /// Whether it ends before a wait of `wait` is over.
    pub(super) fn ends_within(&self, now: Time, wait: Span) -> bool {
        self.until.is_some_and(|until| now + wait >= until)
    }

    /// How long a call has to wait that the rate alone would let go after `wait`.
    pub(super) fn wait(&self, now: Time, wait: Span) -> Span {
        self.until.map_or(wait, |until| wait.min(until.since(now)))
    }
}

/// The least of what bounds a target: it is cold, or it named a limit.
pub(super) fn lowest_rate_limit(
    now: Time,
    entry: &TargetEntry,
    cold: Option<ColdSpec>,
    limit: Option<f64>,
) -> Option<RateLimit> {
    let cold = cold.map(|spec| (spec.per_s, entry.cold_until(spec.start)));
    let cold = cold.filter(|(_, until)| now < *until);
    let (per_s, until) = match (cold, limit) {
        (Some((cold, _)), Some(limit)) => (cold.min(limit), None),
        (Some((cold, until)), None) => (cold, Some(until)),
        (None, limit) => (limit?, None),
    };
    Some(RateLimit { per_s, until })
}
