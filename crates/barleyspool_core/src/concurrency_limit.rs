//! An adaptive limit on the calls that this node keeps in flight at one target.

use crate::{Span, Time};
use serde::{Deserialize, Serialize};
use std::ops::RangeInclusive;

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

/// The greatest number of calls or slots that a target can report; a greater one is a fault of the target.
const MAX_REPORTED: f64 = 1_000_000.0;
/// The range of the time of work that a target can report, as a percentage of the usual time.
const WORK_TIME_RANGE: RangeInclusive<f64> = 1.0..=100_000.0;

/// The load that a target reported.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Calls that it is working on.
    pub running: u32,
    /// Calls that wait in its queue.
    pub queued: u32,
    /// Calls that it can work on at once.
    pub slots: u32,
    /// How long work takes there at present, as a percentage of the usual time, if it reports this.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub work_time: Option<u32>,
}

/// What an answer says of the load of its target.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub enum LoadHeader {
    /// Nothing.
    #[default]
    None,
    /// This load.
    Load(LoadReport),
    /// Something that cannot be parsed or is out of range; it is ignored.
    Unreadable,
}

impl LoadHeader {
    /// Reads the calls running, the calls waiting, the slots and, on some services, the time of work as a percentage of
    /// the usual, separated by commas. A report with any other number of figures, or with a figure out of range, is
    /// unreadable. Fractions are rounded.
    pub fn parse(text: &str) -> Self {
        let figure = |text: &str| text.trim().parse::<f64>().unwrap_or(f64::NAN);
        let figures: Vec<f64> = text.split(',').map(figure).collect();
        let (counts, work_time) = match figures.as_slice() {
            [counts @ .., work_time] if counts.len() == 3 => (counts, Some(*work_time)),
            counts => (counts, None),
        };
        let &[running, queued, slots] = counts else {
            return Self::Unreadable;
        };
        // Comparisons with a figure that is not a number are false.
        let counts_valid = counts.iter().all(|count| (0.0..=MAX_REPORTED).contains(count));
        if !counts_valid || work_time.is_some_and(|percent| !WORK_TIME_RANGE.contains(&percent)) {
            return Self::Unreadable;
        }
        Self::Load(LoadReport {
            running: running.round() as u32,
            queued: queued.round() as u32,
            slots: slots.round() as u32,
            work_time: work_time.map(|percent| percent.round() as u32),
        })
    }
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
