//! A budget for retries, so that retries cannot multiply the load on a failing stage.

use serde::{Deserialize, Serialize};

/// Earns a fraction of a retry with each success and spends one token for each retry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RetryBudget {
    /// The tokens left; a retry costs one.
    pub tokens: f64,
    /// The tokens that each success earns.
    pub earn: f64,
    /// The most tokens that can be saved.
    pub cap: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            tokens: 10.0,
            earn: 0.1,
            cap: 50.0,
        }
    }
}

impl RetryBudget {
    /// Adds the tokens that a successful step earns.
    pub fn record_success(&mut self) {
        self.tokens = (self.tokens + self.earn).min(self.cap);
    }

    /// Spends one token for a retry; returns false if less than one is left.
    pub fn try_spend(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}
