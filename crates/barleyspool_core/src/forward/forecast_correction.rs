//! How much longer the stages of calls take than was forecast, by route.

use crate::{Span, Time};
use std::collections::HashMap;

/// How much a call moves the average of its route: a node sees a few calls of a route each second, and loads change
/// within seconds.
const SMOOTHING: f64 = 0.1;
/// The least and the most that one call may say; a call that a lost answer held up says nothing of the next one.
const SAMPLE_RANGE: (f64, f64) = (0.5, 4.0);

/// How long a correction stands without a new measurement. A node of a large fleet sees a call of a route every second
/// or two.
const HOLD_TIME: Span = Span::from_secs(2);
/// What is left of it after each second beyond that. Without this a node that refuses all calls of a route, because
/// its last ones were slow, would never see another one (docs/incidents, 13).
const DECAY_PER_SECOND: f64 = 0.5;

#[derive(Copy, Clone, Debug)]
struct Ratio {
    value: f64,
    updated_at: Time,
}

impl Ratio {
    fn decayed(self, now: Time) -> f64 {
        let idle = Span(now.since(self.updated_at).0.saturating_sub(HOLD_TIME.0));
        1.0 + (self.value - 1.0) * DECAY_PER_SECOND.powf(idle.as_secs())
    }
}

/// How much longer the stages of calls take than was forecast, by route. A forecast knows what waited a moment ago, at
/// full calls; it does not know what more urgent orders come, what room is short, or that two nodes own a pool for a
/// moment. All of these show in what the calls of the last seconds took (docs/DECISIONS.md).
#[derive(Clone, Debug, Default)]
pub struct ForecastCorrection {
    by_route: HashMap<String, Ratio>,
}

impl ForecastCorrection {
    /// The time that stages for which `forecast` was reckoned are expected to take. Calls that were faster than
    /// forecast are no reason to take more.
    pub fn corrected(&self, now: Time, route: &str, forecast: Span) -> Span {
        let ratio = self.by_route.get(route).map_or(1.0, |ratio| ratio.decayed(now));
        forecast.scale(ratio.max(1.0))
    }

    /// The stages of a call of that route are done.
    pub fn record(&mut self, now: Time, route: &str, forecast: Span, took: Span) {
        if forecast == Span::ZERO {
            return;
        }
        let sample = (took.0 as f64 / forecast.0 as f64).clamp(SAMPLE_RANGE.0, SAMPLE_RANGE.1);
        let before = self.by_route.get(route).map_or(1.0, |ratio| ratio.decayed(now));
        let ratio = Ratio {
            value: before + SMOOTHING * (sample - before),
            updated_at: now,
        };
        match self.by_route.get_mut(route) {
            Some(known) => *known = ratio,
            None => {
                self.by_route.insert(route.to_owned(), ratio);
            }
        }
    }

    /// Forgets the routes that are not `known` any more.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.by_route.retain(|route, _| known(route));
    }
}
