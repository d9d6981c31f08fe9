//! What the owner of a pool has seen of one of its targets.

use super::rate_limited_targets::{RateLimit, lowest_rate_limit};
use super::{ColdSpec, TargetEntry};
use crate::{RateShare, Span, TargetBucket, Time, rendezvous};

/// How long a target that failed gets nothing, the first time.
const OUT_FIRST: Span = Span::from_millis(300);
/// And at the most.
const OUT_LONGEST: Span = Span::from_secs(4);
/// How long a target that said it is full gets nothing, the first time.
const FULL_FIRST: Span = Span::from_millis(25);
/// And at the most.
const FULL_LONGEST: Span = Span::from_millis(400);
/// How long a target without room is reckoned to keep what this node does not know of: results for an owner of the pool before
/// it, or larger than the configuration says, are freed or expire meanwhile.
const NO_ROOM: Span = Span::from_millis(250);
/// How much a new measurement moves an average.
const GAIN: f64 = 0.3;
/// Calls in a row that take far too long after which a target is taken for slow.
const SLOW_ROW: u32 = 2;
/// A target this much slower than the pool is used only while others are all busy and much waits.
pub(super) const TOO_SLOW: f64 = 1.8;

/// A target of the pool as its owner sees it.
#[derive(Clone, Debug, Default)]
pub struct PoolTarget {
    /// What the list says.
    pub entry: TargetEntry,
    /// Its id as a key for rendezvous hashing.
    hash: u128,
    /// Whether it belongs to the shard of the pool that this node owns.
    pub owned: bool,
    /// Calls that it is working on for this node.
    pub in_flight: u32,
    /// Time of its calls over what was expected.
    pub slowness: f64,
    /// Bytes of results that it keeps.
    pub stored_bytes: u64,
    /// When it may get calls again.
    pub excluded_until: Time,
    /// Until when it wants nothing from this node.
    pub(super) cooldown_until: Time,
    next_exclusion: Span,
    /// Calls in a row that took far too long.
    pub overdue_streak: u32,
    full_for: Span,
    /// Bytes that it stored_bytes, when it last had no room, of which this node does not know.
    unaccounted_bytes: u64,
    /// Until when that is reckoned with.
    unaccounted_until: Time,
    /// When a call of it was last measured.
    pub measured: Time,
    /// How it is after a start, when it bears little then.
    cold: Option<ColdSpec>,
    /// The calls a second that it takes from all nodes, by its own word.
    pub(super) limit: Option<f64>,
    /// What this node may give out of its rate, while it has one.
    share: RateShare,
    bucket: TargetBucket,
}

impl PoolTarget {
    /// A target that has just come onto the list.
    pub fn new(entry: TargetEntry) -> Self {
        Self {
            hash: rendezvous::text_key(&entry.id),
            entry,
            owned: true,
            slowness: 1.0,
            next_exclusion: OUT_FIRST,
            full_for: FULL_FIRST,
            ..Self::default()
        }
    }

    /// Takes what the list says of it, and how its service is after a start.
    pub fn apply_entry(&mut self, entry: &TargetEntry, spec: Option<ColdSpec>) {
        self.entry = entry.clone();
        self.cold = spec;
    }

    /// Takes what it said of its limit, and what this node, of key `me`, may give out of its rate.
    pub(super) fn apply_rate(&mut self, now: Time, limit: Option<f64>, share: RateShare, me: u64) {
        self.limit = limit;
        self.share = share;
        self.bucket.set_share(now, share, (self.hash, me));
    }

    /// What bounds it now; `None` when nothing does.
    fn rate_limit(&self, now: Time) -> Option<RateLimit> {
        lowest_rate_limit(now, &self.entry, self.cold, self.limit)
    }

    /// The calls a second that it may get from here; `None` when nothing bounds it.
    pub(super) fn rate(&self, now: Time) -> Option<f64> {
        Some(self.rate_limit(now)?.per_s * self.share.fraction)
    }

    /// How long until its rate allows it another call.
    pub(super) fn capacity_wait(&self, now: Time) -> Span {
        let wait =
            |rate_limit: RateLimit| rate_limit.wait(now, self.bucket.wait(now, rate_limit.per_s, self.share));
        self.rate_limit(now).map_or(Span::ZERO, wait)
    }

    /// Whether it may be told now to drop results. That is one of the requests to which it limits itself; a target that is only cold
    /// does no work for it.
    pub(super) fn accepts_release(&self, now: Time) -> bool {
        let room = self.limit.is_none() || self.capacity_wait(now) == Span::ZERO;
        self.entry.accepts_release() && room && now >= self.cooldown_until
    }

    /// It is told to drop results.
    pub(super) fn count_release(&mut self, now: Time) {
        if self.limit.is_some() {
            self.count(now);
        }
    }

    /// Whether it may get calls now.
    pub fn usable(&self, now: Time) -> bool {
        self.is_available(now) && self.capacity_wait(now) == Span::ZERO
    }

    /// Whether it could get calls now, but for its rate.
    pub(super) fn is_available(&self, now: Time) -> bool {
        self.owned && self.entry.accepts_work() && now >= self.excluded_until.max(self.cooldown_until)
    }

    /// A call is sent to it.
    pub fn record_call(&mut self, now: Time) {
        self.in_flight += 1;
        self.count(now);
    }

    fn count(&mut self, now: Time) {
        if let Some(rate_limit) = self.rate_limit(now) {
            self.bucket.take(now, rate_limit.per_s, self.share);
        }
    }

    /// What it still has room for, of `room` bytes.
    pub fn free_capacity(&self, now: Time, room: u64) -> u64 {
        let unaccounted_bytes = if now < self.unaccounted_until {
            self.unaccounted_bytes
        } else {
            0
        };
        room.saturating_sub(self.stored_bytes)
            .saturating_sub(unaccounted_bytes)
    }

    /// A call ended well; `relative` is its time over the expected one.
    pub fn record_answer(&mut self, now: Time, relative: f64) {
        self.slowness += GAIN * (relative - self.slowness);
        self.measured = now;
        self.overdue_streak = 0;
        self.next_exclusion = OUT_FIRST;
        self.full_for = FULL_FIRST;
    }

    /// It had no room for a result of `bytes` when this node knew of `known` bytes there, of `room`: for a while it is
    /// reckoned to keep as much besides as explains that, and no more.
    ///
    /// Sizes of results are approximate, so that a pool whose room is nearly used up has one result in a hundred turned away. Taking
    /// most of a target's room for used then made calls of 50 pieces where 70 fit and 1,000 waited. Reckoning with what is missing
    /// gave 0.017 of worth (standard error 0.006, ten paired days of the shifted deployment, docs/design/shifted.md).
    pub fn record_no_capacity(&mut self, now: Time, room: u64, known: u64, bytes: u64) {
        let explained = (room + 1).saturating_sub(known + bytes);
        self.unaccounted_bytes = explained;
        self.unaccounted_until = now + NO_ROOM;
    }

    /// It said that it is full.
    pub fn record_full(&mut self, now: Time) {
        self.excluded_until = self.excluded_until.max(now + self.full_for);
        self.full_for = FULL_LONGEST.min(self.full_for + self.full_for);
    }

    /// A call failed in a way that says something of the target.
    pub fn record_failure(&mut self, now: Time) {
        self.excluded_until = now + self.next_exclusion;
        self.next_exclusion = OUT_LONGEST.min(self.next_exclusion + self.next_exclusion);
    }

    /// A call takes far too long. One lost answer says nothing of the target; two in a row say that it is slow.
    pub fn record_overdue(&mut self, now: Time) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.overdue_streak += 1;
        if self.overdue_streak >= SLOW_ROW {
            self.slowness = self.slowness.max(TOO_SLOW + 1.0);
            self.measured = now;
        }
    }
}
