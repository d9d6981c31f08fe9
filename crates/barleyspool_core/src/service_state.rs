//! The state of one service in a router: its queue, its targets and its average step time.

use crate::{Backlog, FairQueue, Span, TargetId};

/// Weight of a new sample in the exponential moving average of the step time.
const AVERAGE_GAIN: f64 = 0.1;

/// Lower bound of the share of a service's capacity that more important classes are assumed to leave.
const MIN_CAPACITY_SHARE: f64 = 0.05;

/// One service on one traffic thread.
#[derive(Debug, Default)]
pub struct ServiceState {
    /// The steps that are queued for it now.
    pub queue: FairQueue,
    /// The steps that admitted requests have yet to send to it, including the queued ones.
    pub backlog: Backlog,
    /// Its targets.
    pub targets: Vec<TargetId>,
    /// Position of the round robin over the targets.
    pub round_robin_next: usize,
    /// Number of steps in progress at its targets.
    pub in_flight: u32,
    /// Moving average of the step time, in microseconds.
    pub avg_step_us: f64,
}

impl ServiceState {
    /// Adds the time of a completed step to the average.
    pub fn record_step_time(&mut self, took: Span) {
        self.avg_step_us += AVERAGE_GAIN * (took.0 as f64 - self.avg_step_us);
    }

    /// Estimated queueing delay, in microseconds, of a step with `ahead` steps before it, when the targets can
    /// process `capacity` steps concurrently and `above` steps per second of more important classes arrive.
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
