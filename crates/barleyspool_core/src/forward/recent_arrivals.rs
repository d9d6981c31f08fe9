//! The pieces that were recently submitted to a pool.

use super::OrderKey;
use super::wait_estimate::RATE_WINDOW;
use crate::Time;
use std::collections::VecDeque;

/// An accepted order that could still be done when it was due.
#[derive(Copy, Clone, Debug)]
struct Arrival {
    at: Time,
    key: OrderKey,
    rank: u8,
    pieces: u32,
}

/// The orders accepted within the last `RATE_WINDOW`, from which follows how fast work arrives that goes ahead of an
/// order. Orders that were late on arrival are left out: in a shortage they go ahead of few others.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentArrivals(VecDeque<Arrival>);

impl RecentArrivals {
    /// Records an accepted order.
    pub(super) fn record(&mut self, now: Time, key: OrderKey, rank: u8, pieces: u32) {
        while self.0.front().is_some_and(|first| is_old(now, first)) {
            self.0.pop_front();
        }
        self.0.push_back(Arrival {
            at: now,
            key,
            rank,
            pieces,
        });
    }

    /// Forgets an order that its caller cancelled before anything of it was started: the pool need not work it off. Orders
    /// that ended because they were late count, since the pool did not work them off in time.
    pub(super) fn forget(&mut self, key: OrderKey) {
        self.0.retain(|arrival| arrival.key != key);
    }

    /// The pieces a second that arrived recently with ranks up to `rank`.
    pub(super) fn rate(&self, now: Time, rank: u8) -> f64 {
        let recent = self.0.iter().filter(|arrival| !is_old(now, arrival));
        let counted = recent.filter(|arrival| arrival.rank <= rank);
        let pieces: u64 = counted.map(|arrival| u64::from(arrival.pieces)).sum();
        pieces as f64 / RATE_WINDOW.as_secs()
    }
}

fn is_old(now: Time, arrival: &Arrival) -> bool {
    now.since(arrival.at) > RATE_WINDOW
}
