//! Estimates how long pieces wait for a pool.

use super::{PieceOrder, PieceQueue, PoolDemand, PoolTarget, RankWaits, RankedPieces};
use crate::{OrgKey, Span, Time};
use std::cmp::Ordering;
use std::collections::{BTreeSet, HashMap};

/// The window over which the throughput of the pool in pieces is measured.
pub(super) const RATE_WINDOW: Span = Span::from_millis(1000);

/// The estimated wait while this node may not yet use any share of the targets' rate limits: about the time
/// until it learns which node may.
const NO_RATE_WAIT: Span = Span::from_millis(1000);

impl PieceQueue {
    /// The time until `more` pieces submitted now would be computed: the time that they wait and the
    /// duration of the last call.
    pub fn expected_wait(&self, now: Time, more: u64) -> Span {
        self.wait_behind(now, u64::from(self.waiting()), more)
    }

    /// The time until the pieces of an order submitted now would be computed. In a shortage, only more important orders
    /// are ahead of it, and those that go first by the share of their organisation.
    pub(super) fn order_wait(&self, now: Time, order: &PieceOrder) -> Span {
        if !self.is_short(now) {
            return self.expected_wait(now, u64::from(order.pieces));
        }
        let mut ahead = 0;
        let mut same_rank: HashMap<OrgKey, f64> = HashMap::new();
        for other in self.orders.values() {
            match other.order.rank.cmp(&order.rank) {
                Ordering::Less => ahead += u64::from(other.waiting),
                Ordering::Equal => {
                    *same_rank.entry(other.order.organisation).or_default() += f64::from(other.waiting);
                }
                Ordering::Greater => {}
            }
        }
        let usage = |organisation: OrgKey| self.shares.usage(now, organisation);
        let own = same_rank.get(&order.organisation).copied().unwrap_or_default();
        let place = usage(order.organisation) + own;
        // Of another organisation, as many pieces go first as it may compute before it has used as much as this one.
        let first = same_rank
            .iter()
            .map(|(organisation, waiting)| waiting.min((place - usage(*organisation)).max(0.0)));
        ahead += first.sum::<f64>() as u64;
        self.wait_behind(now, ahead, u64::from(order.pieces))
    }

    /// The time until one more piece submitted now would be computed, by the rank of its call. Ahead of it are the
    /// pieces of the same and of more important ranks that wait, and those that nodes have announced. Late orders are
    /// not ahead of it: in a shortage they come after all others. Counting them made nodes refuse calls for which the
    /// pool had time.
    pub fn rank_waits(&self, now: Time, announced: &RankedPieces) -> RankWaits {
        let short = self.is_short(now);
        let mut ahead = announced.clone();
        for order in self
            .orders
            .values()
            .filter(|order| !short || !self.is_late(now, short, order))
        {
            ahead.add(order.order.rank, order.waiting);
        }
        let ranks: BTreeSet<u8> = ahead.ranks().chain([0]).collect();
        let wait = |rank: u8| (rank, self.wait_behind(now, ahead.up_to(rank), 1));
        RankWaits::new(ranks.into_iter().map(wait))
    }

    /// The demand on the pool, of which calls at all nodes ask for `offered` pieces a second.
    pub fn demand(&self, now: Time, offered: &RankedPieces) -> PoolDemand {
        PoolDemand::new(self.throughput(now) as u32, offered)
    }

    /// The pieces a second that the pool computes in full calls, within the rate limits of its targets.
    fn throughput(&self, now: Time) -> f64 {
        let slots = f64::from(self.spec.slots.max(1));
        let unlimited = slots / self.call_time(self.spec.batch).as_secs().max(1e-3);
        let available = self.targets.values().filter(|target| target.is_available(now));
        let calls = available.map(|target| target.rate(now).map_or(unlimited, |rate| rate.min(unlimited)));
        calls.sum::<f64>() * f64::from(self.spec.batch.max(1))
    }

    /// The time until `more` pieces submitted now would be computed with `ahead` pieces before them.
    fn wait_behind(&self, now: Time, ahead: u64, more: u64) -> Span {
        let available = |target: &&PoolTarget| target.is_available(now);
        let usable = self.targets.values().filter(available).count();
        if usable == 0 {
            // A pool without usable targets may get some. Until then the estimate is the shortest cooldown
            // plus the duration of two full calls.
            return self.shortest_cooldown(now)
                + self.call_time(self.spec.batch)
                + self.call_time(self.spec.batch);
        }
        let pieces = ahead + more;
        let full_calls = pieces as f64 / f64::from(self.spec.batch.max(1));
        let rounds = full_calls / usable as f64;
        let busy = self
            .calls
            .values()
            .map(|call| call.expected.0.saturating_sub(now.since(call.started).0))
            .sum::<u64>()
            / usable as u64;
        let last = more.min(u64::from(self.spec.batch)) as u32;
        let queue = self.call_time(self.spec.batch).scale((rounds - 1.0).max(0.0));
        let queue = queue
            .max(self.throughput_wait(now, ahead))
            .max(self.rate_limit_wait(now, full_calls));
        Span(busy) + queue + self.call_time(last)
    }

    /// The shortest remaining cooldown of the targets that may get work; zero if one of them is not in
    /// cooldown or there are none.
    fn shortest_cooldown(&self, now: Time) -> Span {
        let working = self.targets.values();
        let working = working.filter(|target| target.owned && target.entry.accepts_work());
        let cooldowns = working.map(|target| target.cooldown_until.since(now));
        cooldowns.min().unwrap_or_default()
    }

    /// The time until the rate limits of the targets have allowed `calls` calls. A target without a rate
    /// limit counts as getting one call after the other.
    fn rate_limit_wait(&self, now: Time, calls: f64) -> Span {
        let working = || self.targets.values().filter(|target| target.is_available(now));
        if working().all(|target| target.rate(now).is_none()) {
            return Span::ZERO;
        }
        let unlimited = 1.0 / self.call_time(self.spec.batch).as_secs().max(1e-3);
        let rates = working().map(|target| target.rate(now).unwrap_or(unlimited));
        let rate: f64 = rates.sum();
        let first = working()
            .map(|target| target.capacity_wait(now))
            .min()
            .unwrap_or_default();
        if rate <= 0.0 {
            // This node may not use any share of the rates yet; soon it may, or another node will.
            return NO_RATE_WAIT;
        }
        first + Span(((calls.ceil() - 1.0).max(0.0) / rate * 1e6) as u64)
    }

    /// The time that `pieces` pieces take at the recent throughput. It counts only when more pieces wait
    /// than a call holds and the oldest order has waited for a whole window: an idle pool computes few
    /// pieces because few are submitted.
    fn throughput_wait(&self, now: Time, pieces: u64) -> Span {
        let waiting = self.waiting();
        let oldest = self.orders.values().map(|order| order.submitted_at).min();
        let is_new = oldest.is_none_or(|submitted_at| now.since(submitted_at) < RATE_WINDOW);
        if waiting <= self.spec.batch || is_new {
            return Span::ZERO;
        }
        let rate = self.recent_throughput(now).max(1.0 / RATE_WINDOW.as_secs());
        Span((pieces as f64 / rate * 1e6) as u64)
    }

    /// The pieces a second that were computed within the last `RATE_WINDOW`.
    pub(super) fn recent_throughput(&self, now: Time) -> f64 {
        let recent = |at: &&Time| now.since(**at) <= RATE_WINDOW;
        self.completions.iter().filter(recent).count() as f64 / RATE_WINDOW.as_secs()
    }

    /// The expected duration of a call with `pieces` pieces.
    pub fn call_time(&self, pieces: u32) -> Span {
        (self.spec.call_overhead + Span(self.spec.piece_time.0 * u64::from(pieces))).scale(self.slowdown)
    }
}
