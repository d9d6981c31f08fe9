//! Targets with a rate limit over all nodes together: cold targets, which are still warming up after
//! their start, and those that state a limit themselves.
//!
//! Every choice of a target checks the limit here, and a call is sent to such a target only after the
//! owner of its shard has granted it.

use super::{ColdSpec, Forwarder, Shard, TargetEntry, TargetKey, TargetRecord, owner_among, shard_key};
use crate::{IncarnationId, LimitReport, Ownership, RateShare, Span, Time};
use serde::{Deserialize, Serialize};

/// How long a report that a target has no capacity is trusted, even if it named a later time: the target
/// may raise its limit meanwhile.
pub const NO_CAPACITY_TTL: Span = Span::from_millis(1000);

/// The answer to a node that asks whether it may send a call to a target.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Grant {
    /// The call may be sent after this wait.
    After(Span),
    /// The rate limit of the target is used up; capacity is expected after this time.
    #[serde(rename = "NoRoom")]
    NoCapacity(Span),
}

impl Forwarder {
    /// The rate limit of a service's targets after their start; `None` if they need no warm-up.
    pub(super) fn cold_spec(&self, service: &str) -> Option<ColdSpec> {
        self.catalog.as_ref()?.service(service)?.cold
    }

    /// The rate limit of a target now; `None` if it has none.
    pub(super) fn rate_limit(&self, now: Time, key: TargetKey, cold: Option<ColdSpec>) -> Option<RateLimit> {
        let record = &self.targets[key];
        let limit = self.limits.per_s(record.incarnation_id);
        lowest_rate_limit(now, &record.entry, cold, limit)
    }

    /// Whether only owners grant calls to some target of a service now: any target that accepts work has a rate limit, or
    /// the service is brittle.
    pub fn needs_grants(&self, now: Time, service: &str) -> bool {
        self.brittle_refusals(now, service).is_some()
            || self
                .working_rate_limits(now, service)
                .any(|(_, rate_limit)| rate_limit.is_some())
    }

    /// Whether every target of a service that accepts work has a rate limit now.
    pub fn all_rate_limited(&self, now: Time, service: &str) -> bool {
        let mut limits = self.working_rate_limits(now, service).peekable();
        limits.peek().is_some() && limits.all(|(_, rate_limit)| rate_limit.is_some())
    }

    /// The targets of a service whose list entries accept work, and the rate limit of each. They include
    /// targets that can get no call now because they are in quarantine or cooldown, are full, or have
    /// used up their rate limit.
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
    // Limits stated by targets

    /// Applies the limit that a target stated in its answer to a call sent at `sent`. Returns the
    /// current limit if other nodes have to be notified.
    pub fn apply_limit_report(
        &mut self,
        now: Time,
        sent: Time,
        id: &str,
        report: LimitReport,
    ) -> Option<ReportedLimit> {
        if report == LimitReport::None && self.limits.is_empty() {
            // Returns early in the usual case, as this runs for every answer.
            return None;
        }
        let incarnation = self.targets.get(*self.by_id.get(id)?)?.incarnation_id;
        let before = self.limits.reported(incarnation);
        let is_new = self.limits.apply_report(now, sent, incarnation, report);
        let per_s = self.limits.reported(incarnation);
        is_new.then_some(ReportedLimit {
            incarnation,
            per_s,
            changed: before != per_s,
        })
    }

    /// The number of listed targets that are known to state a limit.
    pub fn limited_count(&self) -> usize {
        let stated = |record: &&TargetRecord| self.limits.reported(record.incarnation_id).is_some();
        self.targets.values().filter(stated).count()
    }

    /// The limit in calls per second that the target with this id stated, raised to the lowest rate that
    /// is applied if it is below that; `None` if it states none.
    pub fn limit(&self, id: &str) -> Option<f64> {
        let record = self.targets.get(*self.by_id.get(id)?)?;
        self.limits.per_s(record.incarnation_id)
    }

    // ------------------------------------------------------------------------
    // What this node may grant

    pub(super) fn update_ownership(&mut self, now: Time) {
        let (members, me) = (&self.members, self.me);
        for (key, (service, ownership)) in &mut self.ownership {
            let owner = owner_among(members.iter(), service, *key);
            ownership.update(now, owner.is_some_and(|owner| owner.key == me));
        }
    }

    /// The share of the rates of the targets of a shard of `service` that this node may grant, updated by a request of
    /// the node `asker`. A node that has just started considers itself the owner of every shard, so it
    /// grants nothing.
    pub fn rate_share(&mut self, now: Time, service: &str, shard: u128, asker: u64) -> RateShare {
        let owner = owner_among(self.members.iter(), service, shard);
        let owns = owner.is_some_and(|owner| owner.key == self.me);
        let new = || (service.to_owned(), Ownership::default());
        let (_, ownership) = self.ownership.entry(shard).or_insert_with(new);
        if self.converged {
            ownership.update(self.members_since, owns);
        }
        // Recorded even before this node knows the other members: a node that asks now and waits does
        // not ask again.
        ownership.record_request(now, asker);
        self.known_share(now, shard)
    }

    /// The same share, without recording a request.
    pub fn known_share(&self, now: Time, shard: u128) -> RateShare {
        let ownership = self.ownership.get(&shard).filter(|_| self.converged);
        ownership.map_or(RateShare::default(), |(_, ownership)| {
            ownership.share(now, self.reachability, self.members.len())
        })
    }

    /// Decides whether a call for which the node `asker` chose a target itself may go to it within
    /// `max_wait`, and counts the call if so. This is meant for services without engines, which is not
    /// checked here: only the owner of rate-limited engines chooses among them ([`Forwarder::place`]).
    pub fn grant(&mut self, now: Time, id: &str, asker: u64, max_wait: Span) -> Grant {
        let Some(key) = self.by_id.get(id).copied() else {
            return Grant::NoCapacity(max_wait);
        };
        let service = self.targets[key].entry.service.clone();
        let cold = self.cold_spec(&service);
        let Some(rate_limit) = self.rate_limit(now, key, cold) else {
            return Grant::After(Span::ZERO);
        };
        let share = self.rate_share(now, &service, self.shard_of(key), asker);
        let wait = self.capacity_wait(now, key, rate_limit, share);
        if wait > max_wait || rate_limit.ends_within(now, wait) {
            return Grant::NoCapacity(share.retry_after(rate_limit.wait(now, wait)));
        }
        self.targets[key].bucket.take(now, rate_limit.per_s, share);
        Grant::After(wait)
    }

    /// How long until the rate limit of a target allows another call.
    pub(super) fn capacity_wait(
        &mut self,
        now: Time,
        key: TargetKey,
        rate_limit: RateLimit,
        share: RateShare,
    ) -> Span {
        let record = &mut self.targets[key];
        record
            .bucket
            .set_share(now, rate_limit.per_s, share, (record.hash, self.me));
        record.bucket.wait(now, rate_limit.per_s, share)
    }

    /// The key of the shard to which a target belongs, in the division that `ServiceTargets::engines`
    /// describes. It is computed for every service, but is not used for stage pools, which are divided by
    /// `ServiceTargets::pool`.
    fn shard_of(&self, key: TargetKey) -> u128 {
        let record = &self.targets[key];
        let service = &record.entry.service;
        let of = self
            .services
            .get(service)
            .map_or(1, |targets| targets.engines.count());
        shard_key(service, Shard::number_of(record.hash, of))
    }

    /// The service of the target with this id and the key of the shard to which it belongs, which determine the node
    /// that grants its rate; `None` if the target is not listed.
    pub fn shard_of_target(&self, id: &str) -> Option<(String, u128)> {
        let key = *self.by_id.get(id)?;
        let service = self.targets.get(key)?.entry.service.clone();
        Some((service, self.shard_of(key)))
    }

    // ------------------------------------------------------------------------
    // Reports from owners

    /// Records a report from the node that grants the rate of a target: it has no capacity before
    /// `until`.
    pub fn note_no_capacity(&mut self, now: Time, target: TargetKey, until: Time) {
        if let Some(record) = self.targets.get_mut(target) {
            record.no_capacity_until = until;
            record.no_capacity_at = now;
        }
    }
}

/// What is known about a target's limit after an answer, for the notification of other nodes.
#[derive(Copy, Clone, Debug, PartialEq)]
pub struct ReportedLimit {
    /// The incarnation of the target.
    pub incarnation: IncarnationId,
    /// The stated limit in calls per second; `None` if the target no longer states one.
    pub per_s: Option<f64>,
    /// Whether the limit differs from the previous one.
    pub changed: bool,
}

/// The rate limit of a target.
#[derive(Copy, Clone, Debug, PartialEq)]
pub(super) struct RateLimit {
    /// Calls per second from all nodes together.
    pub(super) per_s: f64,
    /// When the limit ends, if that is known: a cold target that states no limit is warm from then on.
    until: Option<Time>,
}

impl RateLimit {
    /// Whether the limit ends within `wait`.
    pub(super) fn ends_within(&self, now: Time, wait: Span) -> bool {
        self.until.is_some_and(|until| now + wait >= until)
    }

    /// How long a call has to wait if the rate alone allows it after `wait`.
    pub(super) fn wait(&self, now: Time, wait: Span) -> Span {
        self.until.map_or(wait, |until| wait.min(until.since(now)))
    }
}

/// The lowest of the limits that apply to a target: that of a cold start and the one that it states.
pub(super) fn lowest_rate_limit(
    now: Time,
    entry: &TargetEntry,
    cold: Option<ColdSpec>,
    limit: Option<f64>,
) -> Option<RateLimit> {
    let cold = cold.map(|spec| (spec.per_s, entry.cold_until(spec.duration)));
    let cold = cold.filter(|(_, until)| now < *until);
    let (per_s, until) = match (cold, limit) {
        (Some((cold, _)), Some(limit)) => (cold.min(limit), None),
        (Some((cold, until)), None) => (cold, Some(until)),
        (None, limit) => (limit?, None),
    };
    Some(RateLimit { per_s, until })
}
