//! A budget for sending steps again, so that retries cannot multiply the load of a failing stage.

use serde::{Deserialize, Serialize};

/// Earns a share of a retry for each success and spends a whole one for each retry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RetryBudget {
    /// What is left.
    pub tokens: f64,
    /// What each success earns.
    pub earn: f64,
    /// The most that is saved up.
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
    /// A step succeeded.
    pub fn record_success(&mut self) {
        self.tokens = (self.tokens + self.earn).min(self.cap);
    }

    /// Takes a retry out of the budget; false when it is used up.
    pub fn try_spend(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}
