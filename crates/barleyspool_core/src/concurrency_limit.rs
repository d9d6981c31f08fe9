//! How many calls this node keeps in flight at a target, adapted to what the target shows.

use crate::{Span, Time};
use serde::{Deserialize, Serialize};

/// Latency this many times the best seen lately counts as a sign of overload.
const SLOW_FACTOR: f64 = 2.0;
/// Differences in latency below this, in microseconds, say nothing of the target: the way there varies as much.
const NOISE: f64 = 10_000.0;
/// What the limit is multiplied with on a sign of overload.
const BACK_OFF: f64 = 0.85;
/// How much a new latency moves the average.
const LATENCY_GAIN: f64 = 0.15;
/// How much the best latency creeps up per answer, so that an old record is forgotten.
const BEST_DRIFT: f64 = 1.002;

/// What a target reported of its load.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Calls it is working on.
    pub running: u32,
    /// Calls that wait in it.
    pub queued: u32,
    /// Calls it can work on at once.
    pub slots: u32,
}

/// A limit that grows while the target keeps up and shrinks when it does not.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    /// The present limit; at least one.
    pub value: f64,
    /// The highest that the limit may grow to.
    pub ceiling: f64,
    /// Average latency in microseconds; zero before the first answer.
    pub latency: f64,
    best: f64,
    shrunk: Time,
}

impl ConcurrencyLimit {
    /// A limit that starts at `share` and never exceeds `ceiling`.
    pub fn new(share: f64, ceiling: f64) -> Self {
        let ceiling = ceiling.max(1.0);
        Self {
            value: share.clamp(1.0, ceiling),
            ceiling,
            latency: 0.0,
            best: 0.0,
            shrunk: Time(0),
        }
    }

    /// Takes another ceiling, when the list says another number of slots or sharers.
    pub fn set_ceiling(&mut self, ceiling: f64) {
        self.ceiling = ceiling.max(1.0);
        self.value = self.value.min(self.ceiling);
    }

    /// Takes an answer that took `took`; `full` says that the limit was in use to the last place.
    pub fn record_answer(&mut self, now: Time, took: Span, full: bool, report: Option<LoadReport>) {
        let took = took.0.max(1) as f64;
        if self.latency == 0.0 {
            (self.latency, self.best) = (took, took);
        }
        self.latency += LATENCY_GAIN * (took - self.latency);
        self.best = (self.best * BEST_DRIFT).min(took);
        let slow = self.latency > SLOW_FACTOR * self.best && self.latency > self.best + NOISE;
        // A target that reports free slots is not overloaded, whatever the latency says of the way there.
        let overloaded = match report {
            Some(report) => report.queued > 0 || (slow && report.running >= report.slots),
            None => slow,
        };
        if overloaded {
            self.shrink(now);
        } else if full {
            self.value = (self.value + 1.0 / self.value).min(self.ceiling);
        }
    }

    /// Shrinks, at most once per average latency, so that one bad moment counts once.
    pub fn shrink(&mut self, now: Time) {
        if now.since(self.shrunk) >= Span(self.latency as u64) {
            self.value = (self.value * BACK_OFF).max(1.0);
            self.shrunk = now;
        }
    }

    /// Whether another call may be sent while `in_flight` are.
    pub fn allows(&self, in_flight: u32) -> bool {
        f64::from(in_flight) + 1.0 <= self.value + 1e-9
    }
}
