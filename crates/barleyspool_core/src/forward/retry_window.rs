//! A node's part of the fleet's budget for sending requests again.

use crate::{Span, Time};
use std::collections::VecDeque;

/// How much of its part a node uses, so that uneven traffic among nodes stays within the whole.
const BUDGET_USAGE: f64 = 0.7;

/// Counts first sends and repeats of one service over a sliding window.
///
/// The fleet may repeat a share of its requests plus a fixed number per window. Each node keeps to the share
/// of its own requests plus an equal part of the fixed number, so all together keep to the budget without
/// talking about it. Requests are counted in the window that has passed, never ahead.
#[derive(Clone, Debug, Default)]
pub struct RetryWindow {
    requests: VecDeque<Time>,
    retries: VecDeque<Time>,
}

impl RetryWindow {
    /// A request came for the service.
    pub fn record_request(&mut self, now: Time, window: Span) {
        self.expire(now, window);
        self.requests.push_back(now);
    }

    /// Takes one repeat out of the budget; false when it is used up.
    pub fn try_spend(&mut self, now: Time, window: Span, ratio: f64, fixed: f64) -> bool {
        self.expire(now, window);
        let allowed = BUDGET_USAGE * (ratio * self.requests.len() as f64 + fixed);
        let enough = (self.retries.len() as f64) + 1.0 <= allowed;
        if enough {
            self.retries.push_back(now);
        }
        enough
    }

    fn expire(&mut self, now: Time, window: Span) {
        let past = |queue: &mut VecDeque<Time>| {
            while queue.front().is_some_and(|at| now.since(*at) > window) {
                queue.pop_front();
            }
        };
        past(&mut self.requests);
        past(&mut self.retries);
    }
}
