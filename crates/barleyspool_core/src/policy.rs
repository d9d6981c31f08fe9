//! The knobs of the decisions under load, and the baselines that they are measured against.

use serde::{Deserialize, Serialize};

/// How a target is chosen among those with a free place.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Choice {
    /// The better of two random ones by expected latency.
    #[default]
    TwoChoices,
    /// The one with the fewest calls in flight.
    LeastInFlight,
    /// One after the other.
    RoundRobin,
}

/// How the number of calls in flight at a target is bounded.
#[derive(Copy, Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Bound {
    /// Adapted to what the target shows. See [`crate::Limit`].
    #[default]
    Adaptive,
    /// This many.
    Fixed(u32),
    /// Not at all.
    Unbounded,
}

/// Everything that varies between policies.
#[derive(Copy, Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Policy {
    /// Whether requests that cannot make their deadline are refused.
    pub admission: bool,
    /// How targets are chosen.
    pub choice: Choice,
    /// How calls in flight are bounded.
    pub bound: Bound,
    /// Whether retries come out of a budget; otherwise each step is sent up to three times.
    pub budget: bool,
    /// Whether an attempt that takes far too long is given up and sent elsewhere.
    pub max_wait: bool,
    /// What expected time is multiplied with when a request is admitted.
    pub margin: f64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            admission: true,
            choice: Choice::TwoChoices,
            bound: Bound::Adaptive,
            budget: true,
            max_wait: true,
            margin: 1.25,
        }
    }
}

impl Policy {
    /// Baseline: round robin, no admission, plain retries.
    pub fn round_robin() -> Self {
        Self {
            admission: false,
            choice: Choice::RoundRobin,
            bound: Bound::Unbounded,
            budget: false,
            max_wait: false,
            margin: 1.25,
        }
    }

    /// Baseline: least in flight with a fixed limit.
    pub fn least_in_flight() -> Self {
        Self {
            choice: Choice::LeastInFlight,
            bound: Bound::Fixed(8),
            ..Self::round_robin()
        }
    }

    /// The policy of that name: `default`, `round-robin` or `least-in-flight`.
    pub fn named(name: &str) -> Option<Self> {
        match name {
            "default" => Some(Self::default()),
            "round-robin" => Some(Self::round_robin()),
            "least-in-flight" => Some(Self::least_in_flight()),
            _ => None,
        }
    }
}
