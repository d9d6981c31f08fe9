//! What a router knows of one service: who waits for it, who serves it and how long it takes.

use crate::{Backlog, FairQueue, Span, TargetId};

/// How much a new measurement moves the average time of a service.
const AVERAGE_GAIN: f64 = 0.1;

/// The least share of a service that is reckoned to be left for a class.
const MIN_CAPACITY_SHARE: f64 = 0.05;

/// One service on one traffic thread.
#[derive(Debug, Default)]
pub struct ServiceState {
    /// Steps that wait for it now.
    pub queue: FairQueue,
    /// Steps that admitted requests will still send to it, those that wait now included.
    pub backlog: Backlog,
    /// Its targets.
    pub targets: Vec<TargetId>,
    /// Where the round robin stands.
    pub round_robin_next: usize,
    /// Steps at its targets.
    pub in_flight: u32,
    /// Average time of a step, in microseconds.
    pub avg_step_us: f64,
}

impl ServiceState {
    /// Takes the time of an answered step.
    pub fn record_step_time(&mut self, took: Span) {
        self.avg_step_us += AVERAGE_GAIN * (took.0 as f64 - self.avg_step_us);
    }

    /// How long a step with `ahead` steps before it waits, in microseconds, when `capacity` can be worked on at
    /// once and `above` steps a second of more important classes go first as they come.
    pub fn wait_us(&self, ahead: f64, capacity: f64, above: f64) -> f64 {
        let queued = ahead + f64::from(self.in_flight) + 1.0 - capacity;
        if queued <= 0.0 {
            return 0.0;
        }
        let capacity = capacity.max(1.0);
        let left = (1.0 - above * self.avg_step_us / 1e6 / capacity).max(MIN_CAPACITY_SHARE);
        queued * self.avg_step_us / capacity / left
    }
}
