//! The settings of admission, load balancing and retries, with the baseline policies for comparison.

use serde::{Deserialize, Serialize};

/// How a target is selected among those with free capacity.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadBalancing {
    /// The one of two random targets with the lower expected latency.
    #[default]
    TwoChoices,
    /// The target with the fewest calls in flight.
    LeastInFlight,
    /// Each target in turn.
    RoundRobin,
}

/// How the number of calls in flight at a target is limited.
#[derive(Copy, Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitMode {
    /// By a limit that adapts to latency and load. See [`crate::ConcurrencyLimit`].
    #[default]
    Adaptive,
    /// To this number of calls.
    Fixed(u32),
    /// Without a limit.
    Unbounded,
}

/// The settings that differ between policies.
#[derive(Copy, Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Policy {
    /// Whether requests that cannot meet their deadline are refused.
    pub admission: bool,
    /// How targets are selected.
    #[serde(rename = "choice")]
    pub balancing: LoadBalancing,
    /// How calls in flight are limited.
    #[serde(rename = "bound")]
    pub limit_mode: LimitMode,
    /// Whether retries are paid from a retry budget. Otherwise each step is sent up to three times.
    #[serde(rename = "budget")]
    pub use_retry_budget: bool,
    /// Whether an attempt that takes much longer than expected is cancelled and its step sent to
    /// another target.
    #[serde(rename = "max_wait")]
    pub attempt_timeouts: bool,
    /// Factor on the expected time of a request when admission compares it with the deadline.
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
    /// Baseline: round robin without limits, admission control or retry budget.
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

    /// Baseline: the fewest calls in flight, with a fixed limit for each target.
    pub fn least_in_flight() -> Self {
        Self {
            balancing: LoadBalancing::LeastInFlight,
            limit_mode: LimitMode::Fixed(8),
            ..Self::round_robin()
        }
    }

    /// The policy with this name: `default`, `round-robin` or `least-in-flight`.
    pub fn named(name: &str) -> Option<Self> {
        match name {
            "default" => Some(Self::default()),
            "round-robin" => Some(Self::round_robin()),
            "least-in-flight" => Some(Self::least_in_flight()),
            _ => None,
        }
    }
}
