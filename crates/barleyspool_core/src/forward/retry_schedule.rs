//! When refused callers should retry.
//!
//! Callers that are refused at the same moment and told the same time retry together, and most of them are refused again. Each
//! node therefore keeps a schedule for each pool, which spreads the retries that it announces over the throughput of the pool.
//! The schedule is only a plan: no capacity is held for a caller, and one that retries is refused or served like any other.

use crate::{Span, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::VecDeque;

/// The resolution of the schedule. It is below the duration of a batch call, so that the retries of an interval fit into the
/// next calls of the pool.
const INTERVAL: Span = Span::from_millis(100);
/// The longest retry time that is announced, which is also how far the schedule extends. Callers wait as told only for a part
/// of their remaining time, and the load of a pool changes within seconds.
pub const MAX_RETRY_WAIT: Span = Span::from_secs(2);
/// Tolerance in pieces for sums of fractions of pieces.
const ROUNDING: f64 = 1e-6;

/// A call that is refused because a pool is busy.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub struct RefusedCall {
    /// The number of pieces that the call needs from the pool.
    pub pieces: u32,
    /// The rank of the call; 0 is the most important.
    pub rank: u8,
    /// The expected wait for the pool. A shorter time is never announced, unless the wait is above [`MAX_RETRY_WAIT`].
    pub wait: Span,
}

/// Pieces that are planned in one interval for calls of one rank that return in the same interval.
#[derive(Copy, Clone, Debug)]
struct Place {
    rank: u8,
    /// The number of the interval in which the callers were told to retry. It differs from the interval of the place if more
    /// important calls took that, or if a call has places in several intervals.
    returns: u64,
    /// The number of pieces. It is a fraction when a call is split between intervals.
    pieces: f64,
}

/// The places of an interval, at most one for each rank and return interval.
#[derive(Clone, Debug, Default)]
struct Interval {
    places: Vec<Place>,
}

impl Interval {
    /// The pieces planned for calls of this rank and more important ones.
    fn planned(&self, rank: u8) -> f64 {
        let places = self.places.iter().filter(|place| place.rank <= rank);
        places.map(|place| place.pieces).sum()
    }

    fn add(&mut self, added: Place) {
        let same = |place: &&mut Place| (place.rank, place.returns) == (added.rank, added.returns);
        match self.places.iter_mut().find(same) {
            Some(place) => place.pieces += added.pieces,
            None => self.places.push(added),
        }
    }

    /// Removes the least important places above `capacity`, of these the ones whose callers return last, and returns them.
    fn take_excess(&mut self, capacity: f64) -> Vec<Place> {
        let mut excess = self.planned(u8::MAX) - capacity;
        let mut taken = Vec::new();
        if excess <= ROUNDING {
            return taken;
        }
        self.places
            .sort_unstable_by_key(|place| (place.rank, place.returns));
        while excess > ROUNDING
            && let Some(mut place) = self.places.pop()
        {
            let pieces = place.pieces.min(excess);
            excess -= pieces;
            taken.push(Place { pieces, ..place });
            place.pieces -= pieces;
            if place.pieces > ROUNDING {
                self.places.push(place);
            }
        }
        taken
    }
}

/// The retries that a node has announced for a pool.
///
/// A place is forgotten when its interval is over, and also when its callers have returned: they are then served, or refused
/// and planned anew. Nothing in a retried call identifies it, so callers count as returned at the time that they were told.
#[derive(Clone, Debug)]
pub struct RetrySchedule {
    /// The number of the first interval, counted from the Unix epoch.
    first: u64,
    /// The intervals of the next [`MAX_RETRY_WAIT`], as far as they are planned.
    intervals: VecDeque<Interval>,
    /// The number of pieces that this node may plan in an interval.
    capacity: f64,
    random: SmallRng,
}

impl RetrySchedule {
    /// Creates an empty schedule without capacity. Nodes need different seeds, or they announce the same times.
    pub fn new(seed: u64) -> Self {
        Self {
            first: 0,
            intervals: VecDeque::new(),
            capacity: 0.0,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Sets the throughput of the pool in pieces per second, and the number of nodes that callers are sent to, which share it
    /// equally. A throughput that is negative or not finite counts as zero. Places that no longer fit move to later intervals.
    pub fn set_throughput(&mut self, pieces_per_s: f64, nodes: u32) {
        let capacity = pieces_per_s * INTERVAL.as_secs() / f64::from(nodes.max(1));
        let capacity = if capacity.is_finite() {
            capacity.max(0.0)
        } else {
            0.0
        };
        if capacity < self.capacity {
            self.capacity = capacity;
            self.move_excess(0);
        }
        self.capacity = capacity;
    }

    /// Plans the retry of a refused call; returns the time to announce, counted from `now`.
    ///
    /// The call gets places in the first intervals that begin after its expected wait and have capacity. Its pieces often need
    /// more than one interval, as each node plans only its share of the throughput. The announced time then falls into one of
    /// these intervals, drawn in proportion to the pieces planned there: nodes that announce the first interval only would load
    /// it together and leave the others empty.
    pub fn plan_retry(&mut self, now: Time, call: RefusedCall) -> Span {
        self.expire(now);
        let Some(taken) = self.find_places(now, call) else {
            return MAX_RETRY_WAIT;
        };
        let pieces: f64 = taken.iter().map(|(_, pieces)| pieces).sum();
        let mut drawn = self.random.random::<f64>() * pieces;
        let is_drawn = |(_, pieces): &&(u64, f64)| {
            drawn -= pieces;
            drawn < 0.0
        };
        let Some((returns, _)) = taken.iter().find(is_drawn).or(taken.last()).copied() else {
            return MAX_RETRY_WAIT;
        };
        for (number, pieces) in &taken {
            let place = Place {
                rank: call.rank,
                returns,
                pieces: *pieces,
            };
            self.interval_mut(*number).add(place);
        }
        if let Some((first, _)) = taken.first() {
            self.move_excess((first - self.first) as usize);
        }
        let offset = self.random.random_range(0..INTERVAL.0);
        Span(start_of(returns).0 + offset - now.0)
    }

    /// The number of pieces that are planned between `now` and `now` + [`MAX_RETRY_WAIT`].
    pub fn planned(&mut self, now: Time) -> f64 {
        self.expire(now);
        let intervals = self.intervals.iter();
        intervals.map(|interval| interval.planned(u8::MAX)).sum()
    }

    /// The numbers of the intervals in which a call gets places, with the pieces in each; `None` if they do not all fit into
    /// the schedule. Places of less important calls count as free.
    fn find_places(&self, now: Time, call: RefusedCall) -> Option<Vec<(u64, f64)>> {
        let from = (now + call.wait).0.div_ceil(INTERVAL.0).max(self.first);
        let end = (now + MAX_RETRY_WAIT).0 / INTERVAL.0;
        let mut missing = f64::from(call.pieces.max(1));
        let mut taken = Vec::new();
        for number in from..end {
            let interval = self.intervals.get((number - self.first) as usize);
            let planned = interval.map_or(0.0, |interval| interval.planned(call.rank));
            let pieces = missing.min(self.capacity - planned);
            if pieces <= ROUNDING {
                continue;
            }
            taken.push((number, pieces));
            missing -= pieces;
            if missing <= ROUNDING {
                return Some(taken);
            }
        }
        None
    }

    fn interval_mut(&mut self, number: u64) -> &mut Interval {
        let index = (number - self.first) as usize;
        if index >= self.intervals.len() {
            self.intervals.resize_with(index + 1, Interval::default);
        }
        &mut self.intervals[index]
    }

    /// Moves places above the capacity of their intervals to later ones, beginning with the interval at index `from`. What
    /// moves past the end of the schedule is forgotten.
    fn move_excess(&mut self, from: usize) {
        let max_intervals = (MAX_RETRY_WAIT.0 / INTERVAL.0) as usize;
        let mut index = from;
        while index < self.intervals.len() {
            let moved = self.intervals[index].take_excess(self.capacity);
            index += 1;
            if moved.is_empty() || index >= max_intervals {
                continue;
            }
            if index == self.intervals.len() {
                self.intervals.push_back(Interval::default());
            }
            for place in moved {
                self.intervals[index].add(place);
            }
        }
    }

    /// Forgets the intervals that are over, and the places of callers that have returned.
    fn expire(&mut self, now: Time) {
        let current = now.0 / INTERVAL.0;
        if current <= self.first {
            return;
        }
        let over = (current - self.first).min(self.intervals.len() as u64);
        self.intervals.drain(..over as usize);
        self.first = current;
        for interval in &mut self.intervals {
            interval.places.retain(|place| place.returns >= current);
        }
    }
}

fn start_of(number: u64) -> Time {
    Time(number * INTERVAL.0)
}
