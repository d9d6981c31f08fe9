//! A token bucket for calls.

use crate::{Span, Time};

/// Rounding tolerance in calls, so that a call that waited as long as required does not have to wait again.
const ROUNDING: f64 = 1e-6;
/// The longest wait that is returned; a rate of zero has no finite one.
const MAX_WAIT: Span = Span::from_secs(3600);

/// The refill rate and the capacity of a bucket.
#[derive(Copy, Clone, Debug, Default, PartialEq)]
pub struct Rate {
    /// Calls per second.
    pub per_s: f64,
    /// Maximum number of calls at once.
    pub burst: f64,
}

/// The tokens taken lately from a bucket. Calls may be taken ahead of time, which makes later calls wait
/// longer.
#[derive(Copy, Clone, Debug, Default)]
pub struct TokenBucket {
    /// Number of taken tokens that were not refilled yet at `updated_at`.
    used: f64,
    updated_at: Time,
}

impl TokenBucket {
    /// Creates a bucket from which `used` calls were taken at `now`.
    pub fn new(now: Time, used: f64) -> Self {
        Self {
            used,
            updated_at: now,
        }
    }

    /// The time until one more call may be taken; zero if it may be taken now.
    pub fn wait(&self, now: Time, rate: Rate) -> Span {
        let missing = self.used_at(now, rate) + 1.0 - rate.burst;
        if missing <= ROUNDING {
            return Span::ZERO;
        }
        let micros = (missing / rate.per_s * 1e6).ceil();
        // Infinite if the rate is zero, and then capped like any other long wait.
        Span(micros.min(MAX_WAIT.0 as f64) as u64)
    }

    /// Takes one call.
    pub fn take(&mut self, now: Time, rate: Rate) {
        self.used = self.used_at(now, rate) + 1.0;
        self.updated_at = now;
    }

    /// Number of taken tokens that are not refilled yet at `now`.
    pub(super) fn used_at(&self, now: Time, rate: Rate) -> f64 {
        (self.used - now.since(self.updated_at).as_secs() * rate.per_s).max(0.0)
    }
}
