//! The knobs of the decisions under load, and the baselines that they are measured against.

use serde::{Deserialize, Serialize};

/// How a target is chosen among those with a free place.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadBalancing {
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
pub enum LimitMode {
    /// Adapted to what the target shows. See [`crate::ConcurrencyLimit`].
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
    #[serde(rename = "choice")]
    pub balancing: LoadBalancing,
    /// How calls in flight are bounded.
    #[serde(rename = "bound")]
    pub limit_mode: LimitMode,
    /// Whether retries come out of a budget; otherwise each step is sent up to three times.
    #[serde(rename = "budget")]
    pub use_retry_budget: bool,
    /// Whether an attempt that takes far too long is given up and sent elsewhere.
    #[serde(rename = "max_wait")]
    pub attempt_timeouts: bool,
    /// What expected time is multiplied with when a request is admitted.
    #[serde(rename = "margin")]
    pub admission_margin: f64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            admission: true,
            balancing: LoadBalancing::TwoChoices,
            limit_mode: LimitMode::Adaptive,
            use_retry_budget: true,
            attempt_timeouts: true,
            admission_margin: 1.25,
        }
    }
}

impl Policy {
    /// Baseline: round robin, no admission, plain retries.
    pub fn round_robin() -> Self {
        Self {
            admission: false,
            balancing: LoadBalancing::RoundRobin,
            limit_mode: LimitMode::Unbounded,
            use_retry_budget: false,
            attempt_timeouts: false,
            admission_margin: 1.25,
        }
    }

    /// Baseline: least in flight with a fixed limit.
    pub fn least_in_flight() -> Self {
        Self {
            balancing: LoadBalancing::LeastInFlight,
            limit_mode: LimitMode::Fixed(8),
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
