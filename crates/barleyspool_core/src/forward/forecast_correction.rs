//! Corrects forecasts of the duration of stages by how long recent calls of the same route took.

use crate::{Span, Time};
use std::collections::HashMap;

/// The weight of a new sample in the moving average of its route: a node sees a few calls of a route each
/// second, and load changes within seconds.
const SMOOTHING: f64 = 0.1;
/// Samples are clamped to this range, because a call that was delayed by a lost answer says nothing about
/// the next one.
const SAMPLE_RANGE: (f64, f64) = (0.5, 4.0);

/// How long a correction stays in full effect without a new sample. A node of a large fleet sees a call of
/// a route every second or two.
const HOLD_TIME: Span = Span::from_secs(2);
/// The factor by which a correction decays in each second after that. Without the decay, a node that
/// refuses all calls of a route because the last ones were slow would never see another one
/// (docs/incidents, 13).
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

/// The moving average of the ratio of actual to forecast duration of stages, by route.
///
/// A forecast is based on what waited a moment ago and assumes full calls. It does not include more urgent
/// orders that arrive later, a shortage of memory at targets, or two nodes owning a pool for a moment. All
/// of these show in how long the calls of the last seconds took (docs/DECISIONS.md).
#[derive(Clone, Debug, Default)]
pub struct ForecastCorrection {
    by_route: HashMap<String, Ratio>,
}

impl ForecastCorrection {
    /// The expected duration of stages with the given forecast. A forecast is never shortened: calls that
    /// were faster than forecast are no reason to accept more calls.
    pub fn corrected(&self, now: Time, route: &str, forecast: Span) -> Span {
        let ratio = self.by_route.get(route).map_or(1.0, |ratio| ratio.decayed(now));
        forecast.scale(ratio.max(1.0))
    }

    /// Records that the stages of a call of the route took `took`.
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

    /// Drops the routes that are no longer `known`.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.by_route.retain(|route, _| known(route));
    }
}
