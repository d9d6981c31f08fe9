//! The speed of an engine, learned from its times to the first output.

use crate::{Span, Time};

/// The range to which one measurement is clamped, as a multiple of the expected time.
const FACTOR_RANGE: (f64, f64) = (0.1, 20.0);
/// Up to this many measurements, each weighs at least as much as those before it on average, so that a new owner
/// learns the speeds from its first answers.
const FIRST_MEASUREMENTS: u32 = 6;
/// The time over which the lasting factor is averaged. It covers several of the passing phases, which last 600 ms.
const LASTING_WINDOW: Span = Span::from_secs(5);
/// The greatest weight of one later measurement in the lasting factor.
const MAX_LASTING_WEIGHT: f64 = 0.2;
/// A measurement that exceeds the lasting time by more than this, as a natural logarithm, counts only up to here: a phase
/// in which the engine is 2.5 times as slow exceeds it by 0.92, and changes it little. Faster measurements count fully,
/// since an engine passes for slow but not for fast.
const MAX_DEVIATION: f64 = 0.3;
/// The weight of a measurement in the passing factor.
const PASSING_WEIGHT: f64 = 0.8;
/// The time in which the knowledge of a passing factor fades to 1/e.
const PASSING_TIME: Span = Span::from_millis(400);
/// The natural logarithm of the passing factor without recent measurement: the mean of engines that are 2.5 times as
/// slow for a seventh of the time.
const UNKNOWN_PASSING: f64 = 0.19;
/// The time in which an unmeasured lasting factor fades to 1/e, so that an engine that was slow is tried again.
const LASTING_TIME: Span = Span::from_secs(20);

/// The time that an engine takes for a prompt token: a lasting time, and a passing factor on it.
///
/// Both are learned as logarithms, in which an engine twice as fast is as far from the usual time as one twice as slow.
#[derive(Copy, Clone, Debug)]
pub struct EngineSpeed {
    /// The natural logarithm of the lasting time for a token in microseconds.
    lasting: f64,
    /// The natural logarithm of the passing factor.
    passing: f64,
    /// The number of measurements, up to [`FIRST_MEASUREMENTS`].
    measurements: u32,
    measured_at: Time,
}

impl Default for EngineSpeed {
    fn default() -> Self {
        Self {
            lasting: 0.0,
            passing: UNKNOWN_PASSING,
            measurements: 0,
            measured_at: Time(0),
        }
    }
}

impl EngineSpeed {
    /// Records a measured time for a token; `usual` is that of all engines. Both are in microseconds.
    pub fn record(&mut self, now: Time, measured: f64, usual: f64) {
        let range = (usual * FACTOR_RANGE.0, usual * FACTOR_RANGE.1);
        let measured = measured.clamp(range.0, range.1).ln();
        let elapsed = now.since(self.measured_at).as_secs();
        *self = self.faded(now, usual);
        let deviation = measured - self.lasting;
        self.lasting += if self.measurements < FIRST_MEASUREMENTS {
            self.measurements += 1;
            deviation / f64::from(self.measurements + 1)
        } else {
            let weight = (elapsed / LASTING_WINDOW.as_secs()).min(MAX_LASTING_WEIGHT);
            weight * deviation.min(MAX_DEVIATION)
        };
        self.passing += PASSING_WEIGHT * (measured - self.lasting - self.passing);
        self.measured_at = now;
    }

    /// The expected time for a token at present, in microseconds; `usual` is that of all engines.
    pub fn token_time(&self, now: Time, usual: f64) -> f64 {
        let faded = self.faded(now, usual);
        (faded.lasting + faded.passing).exp()
    }

    /// The expected time for `tokens` from now on, in microseconds. `delay` is how many times slower than known the engine
    /// is at present.
    ///
    /// Passing slowness most likely ends before a long queue does. As much as half of the queue would otherwise be
    /// attributed to it, and calls would leave the engines that hold their prefixes.
    pub fn time(&self, now: Time, tokens: f64, delay: f64, usual: f64) -> f64 {
        let faded = self.faded(now, usual);
        let lasting = tokens * (faded.lasting + UNKNOWN_PASSING).exp();
        let passing = (faded.passing - UNKNOWN_PASSING).exp() * delay;
        let passing_time = PASSING_TIME.0 as f64;
        lasting + (passing - 1.0) * passing_time * (1.0 - (-lasting / passing_time).exp())
    }

    fn faded(mut self, now: Time, usual: f64) -> Self {
        let idle = now.since(self.measured_at).as_secs();
        let passing_left = (-idle / PASSING_TIME.as_secs()).exp();
        self.passing = UNKNOWN_PASSING + (self.passing - UNKNOWN_PASSING) * passing_left;
        // An engine that was never measured counts as usual.
        let lasting_left = if self.measurements == 0 {
            0.0
        } else {
            (-idle / LASTING_TIME.as_secs()).exp()
        };
        self.lasting = usual.ln() + (self.lasting - usual.ln()) * lasting_left;
        self
    }
}
