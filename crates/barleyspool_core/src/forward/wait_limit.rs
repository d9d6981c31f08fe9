//! The longest wait with which a call is admitted.

use crate::Span;

/// A queueing delay below this fraction of the objective is no reason to refuse a call.
const WAIT_SHARE: f64 = 0.2;
/// Calls are refused when they are expected to take more than this many times their objective.
const OBJECTIVE_MARGIN: f64 = 1.1;

/// The longest queueing delay with which a call is admitted. Its route has the latency objective `objective`, and it takes
/// `base` without queueing.
pub fn wait_limit(objective: Span, base: Span) -> Span {
    let slack = Span(objective.scale(OBJECTIVE_MARGIN).0.saturating_sub(base.0));
    slack.max(objective.scale(WAIT_SHARE))
}
