//! What a planned stop means for calls: docs/DESIGN.md, "A planned stop".

use super::Traffic;
use crate::failure::CallFailure;
use barleyspool_core::{Reason, Span, StopPhase, Time};

/// The retry delay after a stopping node refused a call: another node accepts it at once.
const RETRY_ELSEWHERE_AFTER: Span = Span::from_millis(10);

/// The refusal of a call that no work was done for and that another node should serve.
pub fn refusal() -> CallFailure {
    CallFailure::not_run(Reason::Leaving).with_retry_after(RETRY_ELSEWHERE_AFTER)
}

/// Whether the stop has gone too far for new calls to be accepted.
pub fn refuses_new_calls(traffic: &Traffic) -> bool {
    traffic.shared.stop_reached(StopPhase::Draining)
}

/// Limits the deadline of a call to the time at which a stopping node aborts its calls.
pub fn bound_deadline(traffic: &Traffic, deadline: Time) -> Time {
    let abort_at = traffic.plan().abort_at;
    abort_at.map_or(deadline, |abort_at| abort_at.min(deadline))
}

/// Waits until a planned stop aborts the calls that are still in progress.
pub async fn wait_for_abort(traffic: &Traffic) {
    let mut stop = traffic.shared.stop.subscribe();
    // Cannot fail, since the sender lives as long as the process.
    let _ = stop.wait_for(|phase| *phase >= StopPhase::Aborting).await;
}
