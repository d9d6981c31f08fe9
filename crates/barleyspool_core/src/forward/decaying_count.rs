//! A count of recent events.

use crate::{Span, Time};

/// A sum of amounts of which each loses half of its weight in every half-life.
#[derive(Copy, Clone, Debug, Default)]
pub(super) struct DecayingCount {
    value: f64,
    updated_at: Time,
}

impl DecayingCount {
    /// The sum now.
    pub(super) fn value(&self, now: Time, half_life: Span) -> f64 {
        let age = now.since(self.updated_at).as_secs();
        self.value * (-age / half_life.as_secs()).exp2()
    }

    /// Adds an amount.
    pub(super) fn add(&mut self, now: Time, half_life: Span, amount: f64) {
        self.value = self.value(now, half_life) + amount;
        self.updated_at = self.updated_at.max(now);
    }
}
