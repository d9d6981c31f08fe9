//! The state that the owner of a pool keeps for one of its targets.

use super::rate_limited_targets::{RateLimit, lowest_rate_limit};
use super::slot_limit::refusal_pause;
use super::{ColdSpec, TargetEntry};
use crate::{RateShare, Span, TargetBucket, Time, rendezvous};

/// How long a target is excluded after its first failure.
const FIRST_EXCLUSION: Span = Span::from_millis(300);
/// The longest exclusion after repeated failures.
const MAX_EXCLUSION: Span = Span::from_secs(4);
/// How long a target is excluded after it first reports that it is full.
const FIRST_FULL_EXCLUSION: Span = Span::from_millis(25);
/// The longest exclusion of a full target.
const MAX_FULL_EXCLUSION: Span = Span::from_millis(400);
/// How long a target without capacity is assumed to hold results that this node does not know of. These
/// belong to an earlier owner of the pool or are larger than configured, and are released or expire
/// meanwhile.
const UNACCOUNTED_TTL: Span = Span::from_millis(250);
/// The smoothing factor of the moving average.
const SMOOTHING: f64 = 0.3;
/// The number of consecutive overdue calls after which a target counts as slow.
const SLOW_STREAK: u32 = 2;
/// A target more than this many times as slow as the fastest usable one gets a call only if it was last
/// measured so long ago that it is due for another try, or if more pieces wait than one full call to every
/// target of the pool holds.
pub(super) const MAX_SLOWNESS_RATIO: f64 = 1.8;

/// A target of a pool as its owner sees it.
#[derive(Clone, Debug, Default)]
pub struct PoolTarget {
    /// The entry in the target list.
    pub entry: TargetEntry,
    /// The hash of its id for rendezvous hashing.
    hash: u128,
    /// Whether it belongs to the shard of the pool that this node owns.
    pub owned: bool,
    /// Calls of this node that the target is working on.
    pub in_flight: u32,
    /// The moving average of the duration of its calls, each divided by [`super::PieceQueue::call_time`]
    /// for its number of pieces; 1 is as fast as expected. Overdue calls in a row raise it too, see
    /// [`Self::record_overdue`]. The slowdown of the queue, which is part of
    /// `call_time`, describes all targets of the pool together; the slowness describes this one beside
    /// them.
    pub slowness: f64,
    /// The size in bytes of its known results, including space reserved for running calls.
    pub stored_bytes: u64,
    /// Until when it gets no calls after a failure or a full queue.
    pub excluded_until: Time,
    /// The end of the cooldown that it requested from this node.
    pub(super) cooldown_until: Time,
    next_exclusion: Span,
    /// The number of consecutive overdue calls.
    pub overdue_streak: u32,
    next_full_exclusion: Span,
    /// The size in bytes of the results unknown to this node that explain its last lack of capacity.
    unaccounted_bytes: u64,
    /// Until when these results are assumed to exist.
    unaccounted_until: Time,
    /// When the slowness was last measured.
    pub measured_at: Time,
    /// The rate limit of its service after a start, if it has one.
    cold: Option<ColdSpec>,
    /// The limit in calls per second, from all nodes together, that the target states.
    pub(super) limit: Option<f64>,
    /// The share of its rate that this node may grant, while it has a rate limit.
    share: RateShare,
    bucket: TargetBucket,
}

impl PoolTarget {
    /// A target that has just been listed.
    pub fn new(entry: TargetEntry) -> Self {
        Self {
            hash: rendezvous::text_key(&entry.id),
            entry,
            owned: true,
            slowness: 1.0,
            next_exclusion: FIRST_EXCLUSION,
            next_full_exclusion: FIRST_FULL_EXCLUSION,
            ..Self::default()
        }
    }

    /// Applies a new list entry and the cold start settings of its service.
    pub fn apply_entry(&mut self, entry: &TargetEntry, spec: Option<ColdSpec>) {
        self.entry = entry.clone();
        self.cold = spec;
    }

    /// Applies the limit that the target states and the share of its rate that this node, with the key
    /// `me`, may grant.
    pub(super) fn apply_rate(&mut self, now: Time, limit: Option<f64>, share: RateShare, me: u64) {
        self.limit = limit;
        self.share = share;
        let per_s = self.rate_limit(now).map_or(0.0, |rate_limit| rate_limit.per_s);
        self.bucket.set_share(now, per_s, share, (self.hash, me));
    }

    /// The current rate limit; `None` if there is none.
    fn rate_limit(&self, now: Time) -> Option<RateLimit> {
        lowest_rate_limit(now, &self.entry, self.cold, self.limit)
    }

    /// The calls per second that it may get from this node; `None` without a rate limit.
    pub(super) fn rate(&self, now: Time) -> Option<f64> {
        Some(self.rate_limit(now)?.per_s * self.share.fraction)
    }

    /// How long until its rate limit allows another call.
    pub(super) fn capacity_wait(&self, now: Time) -> Span {
        let wait =
            |rate_limit: RateLimit| rate_limit.wait(now, self.bucket.wait(now, rate_limit.per_s, self.share));
        self.rate_limit(now).map_or(Span::ZERO, wait)
    }

    /// Whether it may be asked now to release results. Such a request counts towards a limit that the
    /// target states itself, but not towards that of a cold start, as it causes no work.
    pub(super) fn accepts_release(&self, now: Time) -> bool {
        let has_capacity = self.limit.is_none() || self.capacity_wait(now) == Span::ZERO;
        self.entry.accepts_release() && has_capacity && now >= self.cooldown_until
    }

    /// Counts a request to release results.
    pub(super) fn count_release(&mut self, now: Time) {
        if self.limit.is_some() {
            self.count(now);
        }
    }

    /// Whether it may get calls now: this node owns it, its entry accepts work, it is neither excluded nor
    /// in cooldown, and its rate limit allows a call. Free slots are not checked.
    pub fn usable(&self, now: Time) -> bool {
        self.is_available(now) && self.capacity_wait(now) == Span::ZERO
    }

    /// Whether it may get calls now, apart from its rate limit: all checks of [`Self::usable`] except
    /// that one.
    pub(super) fn is_available(&self, now: Time) -> bool {
        self.owned && self.entry.accepts_work() && now >= self.excluded_until.max(self.cooldown_until)
    }

    /// Records that a call was sent to it.
    pub fn record_call(&mut self, now: Time) {
        self.in_flight += 1;
        self.count(now);
    }

    fn count(&mut self, now: Time) {
        if let Some(rate_limit) = self.rate_limit(now) {
            self.bucket.take(now, rate_limit.per_s, self.share);
        }
    }

    /// Its free capacity for results in bytes, out of `capacity`.
    pub fn free_capacity(&self, now: Time, capacity: u64) -> u64 {
        let unaccounted_bytes = if now < self.unaccounted_until {
            self.unaccounted_bytes
        } else {
            0
        };
        capacity
            .saturating_sub(self.stored_bytes)
            .saturating_sub(unaccounted_bytes)
    }

    /// Records a successful call; `relative` is its duration divided by the `call_time` of its pieces,
    /// which includes the slowdown of the pool but not the slowness of this target.
    pub fn record_answer(&mut self, now: Time, relative: f64) {
        self.slowness += SMOOTHING * (relative - self.slowness);
        self.measured_at = now;
        self.overdue_streak = 0;
        self.next_exclusion = FIRST_EXCLUSION;
        self.next_full_exclusion = FIRST_FULL_EXCLUSION;
    }

    /// Records that the target had no capacity for a result of `bytes`, while this node knew of `known`
    /// bytes of `capacity` in use. For a while just as many additional bytes as explain this are assumed to
    /// be in use.
    ///
    /// Sizes of results are approximate, so that a pool with little free capacity rejects one result in
    /// a hundred. If most of a target's capacity were then taken as used, its calls would carry fewer
    /// pieces than fit while others wait: 50 where 70 fit, with 1,000 waiting (docs/design/shifted.md).
    pub fn record_no_capacity(&mut self, now: Time, capacity: u64, known: u64, bytes: u64) {
        let explained = (capacity + 1).saturating_sub(known + bytes);
        self.unaccounted_bytes = explained;
        self.unaccounted_until = now + UNACCOUNTED_TTL;
    }

    /// Records that the target reported a full queue. A brittle target, which bears `refusals` in a second, is excluded for
    /// longer.
    pub fn record_full(&mut self, now: Time, refusals: Option<f64>) {
        let pause = refusals.map_or(Span::ZERO, refusal_pause);
        let excluded_until = now + self.next_full_exclusion.max(pause);
        self.excluded_until = self.excluded_until.max(excluded_until);
        self.next_full_exclusion =
            MAX_FULL_EXCLUSION.min(self.next_full_exclusion + self.next_full_exclusion);
    }

    /// Records a failed call that says something about the target.
    pub fn record_failure(&mut self, now: Time) {
        self.excluded_until = now + self.next_exclusion;
        self.next_exclusion = MAX_EXCLUSION.min(self.next_exclusion + self.next_exclusion);
    }

    /// Forgets failures and slow calls, which were caused by lost links.
    pub(super) fn links_restored(&mut self) {
        self.excluded_until = Time(0);
        self.next_exclusion = FIRST_EXCLUSION;
        self.overdue_streak = 0;
        self.slowness = 1.0;
    }

    /// Records an overdue call. A single lost answer says nothing about the target; two in a row mean
    /// that it is slow.
    pub fn record_overdue(&mut self, now: Time) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.overdue_streak += 1;
        if self.overdue_streak >= SLOW_STREAK {
            self.slowness = self.slowness.max(MAX_SLOWNESS_RATIO + 1.0);
            self.measured_at = now;
        }
    }
}
