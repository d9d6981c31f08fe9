//! What a planned stop means for calls: docs/DESIGN.md, "A planned stop".

use super::Traffic;
use crate::failure::CallFailure;
use barleyspool_core::{Reason, Span, StopPhase, Time};

/// When to come back after a stopping node refused a call: another node takes it at once.
const ELSEWHERE: Span = Span::from_millis(10);

/// A call that nothing was done for and that another node should take.
pub fn refusal() -> CallFailure {
    CallFailure::not_run(Reason::Leaving).after(ELSEWHERE)
}

/// Whether a call comes too late to be taken.
pub fn is_too_late(traffic: &Traffic) -> bool {
    traffic.shared.stop_reached(StopPhase::Draining)
}

/// The end of a call that is taken now: its own, or that of the node's last answers when it is stopping.
pub fn bounded(traffic: &Traffic, deadline: Time) -> Time {
    let last = traffic.plan().abort_at;
    last.map_or(deadline, |last| last.min(deadline))
}

/// Waits until whatever is not done must be answered with what became of it.
pub async fn cut(traffic: &Traffic) {
    let mut stop = traffic.shared.stop.subscribe();
    // The sender lives as long as the process.
    let _ = stop.wait_for(|phase| *phase >= StopPhase::Aborting).await;
}
