//! A node's share of the fleet's retry budget.

use crate::{Span, Time};
use std::collections::VecDeque;

/// The part of its share that a node uses, so that uneven traffic among nodes stays within the budget of
/// the fleet.
const BUDGET_USAGE: f64 = 0.7;

/// Counts requests and retries of one service over a sliding window.
///
/// The fleet may retry a share of its requests plus a fixed number per window. Each node keeps to that
/// share of its own requests plus an equal part of the fixed number, so that the fleet stays within the
/// budget without coordination. Only requests of the past window count, never expected ones.
#[derive(Clone, Debug, Default)]
pub struct RetryWindow {
    requests: VecDeque<Time>,
    retries: VecDeque<Time>,
}

impl RetryWindow {
    /// Records a request for the service.
    pub fn record_request(&mut self, now: Time, window: Span) {
        self.expire(now, window);
        self.requests.push_back(now);
    }

    /// Takes one retry from the budget; false if the budget is used up.
    pub fn try_spend(&mut self, now: Time, window: Span, ratio: f64, fixed: f64) -> bool {
        self.expire(now, window);
        let allowed = BUDGET_USAGE * (ratio * self.requests.len() as f64 + fixed);
        let within_budget = (self.retries.len() as f64) + 1.0 <= allowed;
        if within_budget {
            self.retries.push_back(now);
        }
        within_budget
    }

    fn expire(&mut self, now: Time, window: Span) {
        let drop_expired = |queue: &mut VecDeque<Time>| {
            while queue.front().is_some_and(|at| now.since(*at) > window) {
                queue.pop_front();
            }
        };
        drop_expired(&mut self.requests);
        drop_expired(&mut self.retries);
    }
}
