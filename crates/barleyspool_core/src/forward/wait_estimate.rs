//! How long pieces wait for a pool.

use super::{PieceQueue, PoolTarget};
use crate::{Span, Time};

/// The span over which the rate of made pieces is measured.
pub(super) const RATE_WINDOW: Span = Span::from_millis(1000);

/// What is reckoned with when this node may give out nothing of any target's rate yet: about when it hears who does.
const NO_RATE_WAIT: Span = Span::from_millis(1000);

impl PieceQueue {
    /// How long `more` pieces that came now would take to be made, waiting included.
    pub fn expected_wait(&self, now: Time, more: u64) -> Span {
        let available = |target: &&PoolTarget| target.is_available(now);
        let usable = self.targets.values().filter(available).count();
        if usable == 0 {
            // A pool without targets may get some; until then a call's time is the best guess.
            return self.shortest_cooldown(now)
                + self.call_time(self.spec.batch)
                + self.call_time(self.spec.batch);
        }
        let pieces = u64::from(self.waiting()) + more;
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
            .max(self.throughput_wait(now))
            .max(self.rate_limit_wait(now, full_calls));
        Span(busy) + queue + self.call_time(last)
    }

    /// How long all targets that may get work still rest; zero when one of them does not.
    fn shortest_cooldown(&self, now: Time) -> Span {
        let working = self.targets.values();
        let working = working.filter(|target| target.owned && target.entry.accepts_work());
        let cooldowns = working.map(|target| target.cooldown_until.since(now));
        cooldowns.min().unwrap_or_default()
    }

    /// How long it takes until the rates of the targets have allowed so many calls. A target that nothing bounds takes one after the other.
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
            // This node may give out nothing yet; a moment later it may, or another one does.
            return NO_RATE_WAIT;
        }
        first + Span(((calls.ceil() - 1.0).max(0.0) / rate * 1e6) as u64)
    }

    /// How long what waits now takes at the rate at which pieces were made lately. It counts only when more
    /// waits than a call holds, and has for a while: an idle pool makes few pieces because few come.
    fn throughput_wait(&self, now: Time) -> Span {
        let waiting = self.waiting();
        let oldest = self.orders.values().map(|order| order.submitted_at).min();
        let is_new = oldest.is_none_or(|submitted_at| now.since(submitted_at) < RATE_WINDOW);
        if waiting <= self.spec.batch || is_new {
            return Span::ZERO;
        }
        let completed = self
            .completions
            .iter()
            .filter(|at| now.since(**at) <= RATE_WINDOW)
            .count();
        let rate = completed.max(1) as f64 / RATE_WINDOW.as_secs();
        Span((f64::from(waiting) / rate * 1e6) as u64)
    }

    /// The expected time of a call with `pieces` pieces.
    pub fn call_time(&self, pieces: u32) -> Span {
        (self.spec.call_overhead + Span(self.spec.piece_time.0 * u64::from(pieces))).scale(self.slowdown)
    }
}
