//! An adaptive limit on the calls that this node keeps in flight at one target.

use crate::{Span, Time};
use serde::{Deserialize, Serialize};

/// An average latency above this multiple of the best recent latency is a sign of overload.
const OVERLOAD_LATENCY_FACTOR: f64 = 2.0;
/// Latency differences below this, in microseconds, are ignored: the network alone varies as much.
const LATENCY_NOISE_US: f64 = 10_000.0;
/// Factor on the limit when the target is overloaded.
const SHRINK_FACTOR: f64 = 0.85;
/// Weight of a new sample in the moving average of the latency.
const LATENCY_WEIGHT: f64 = 0.15;
/// Factor by which the best latency rises with each answer, so that an outdated minimum is forgotten.
const BEST_LATENCY_DRIFT: f64 = 1.002;

/// The load that a target reported.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Calls that it is working on.
    pub running: u32,
    /// Calls that wait in its queue.
    pub queued: u32,
    /// Calls that it can work on at once.
    pub slots: u32,
}

/// A concurrency limit that grows while the target keeps up and shrinks when it is overloaded.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    /// The current limit in calls; at least 1.
    pub value: f64,
    /// The upper bound of the limit.
    pub ceiling: f64,
    /// Moving average of the latency in microseconds; zero before the first answer.
    pub latency_us: f64,
    best_latency_us: f64,
    last_shrink: Time,
}

impl ConcurrencyLimit {
    /// A limit that starts at `share` calls and never exceeds `ceiling`.
    pub fn new(share: f64, ceiling: f64) -> Self {
        let ceiling = ceiling.max(1.0);
        Self {
            value: share.clamp(1.0, ceiling),
            ceiling,
            latency_us: 0.0,
            best_latency_us: 0.0,
            last_shrink: Time(0),
        }
    }

    /// Sets the upper bound of the limit, in calls, and reduces the limit to it. A bound below 1 counts as 1.
    /// For an adaptive limit it is the number of the target's slots, however many nodes share them.
    pub fn set_ceiling(&mut self, ceiling: f64) {
        self.ceiling = ceiling.max(1.0);
        self.value = self.value.min(self.ceiling);
    }

    /// Updates the limit after an answer that took `took`. `full` is whether the limit was fully used.
    pub fn record_answer(&mut self, now: Time, took: Span, full: bool, report: Option<LoadReport>) {
        let took = took.0.max(1) as f64;
        if self.latency_us == 0.0 {
            (self.latency_us, self.best_latency_us) = (took, took);
        }
        self.latency_us += LATENCY_WEIGHT * (took - self.latency_us);
        self.best_latency_us = (self.best_latency_us * BEST_LATENCY_DRIFT).min(took);
        let slow = self.latency_us > OVERLOAD_LATENCY_FACTOR * self.best_latency_us
            && self.latency_us > self.best_latency_us + LATENCY_NOISE_US;
        // A target that reports free slots is not overloaded: a high latency then comes from the
        // network.
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

    /// Reduces the limit, at most once in the average latency, so that one overload is counted once.
    pub fn shrink(&mut self, now: Time) {
        if now.since(self.last_shrink) >= Span(self.latency_us as u64) {
            self.value = (self.value * SHRINK_FACTOR).max(1.0);
            self.last_shrink = now;
        }
    }

    /// Whether another call may be sent while `in_flight` calls are running.
    pub fn allows(&self, in_flight: u32) -> bool {
        f64::from(in_flight) + 1.0 <= self.value + 1e-9
    }
}
