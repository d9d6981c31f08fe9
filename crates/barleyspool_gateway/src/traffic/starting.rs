//! Holds calls that arrive before this node has a configuration and a list of targets.

use super::Traffic;
use barleyspool_core::{CallHead, Span, Time, hold_until};
use hyper::http::request::Parts;
use std::time::Duration;

/// Waits until this node has a configuration and a list of targets, at most until [`hold_until`] says that the call
/// should be refused.
pub async fn wait_for_complete_plan(traffic: &Traffic, parts: &Parts, arrived: Time) {
    loop {
        // Registered before the plan is checked, so that no update is missed.
        let plan_applied = traffic.plan_applied.notified();
        if traffic.plan().is_complete() {
            return;
        }
        let head = (traffic.adapters.caller.read_call)(parts).ok();
        let objective = head.as_ref().and_then(|head| objective(traffic, head));
        let max_wait = head.and_then(|head| head.max_wait);
        let until = hold_until(traffic.shared.clock.started_at(), arrived, objective, max_wait);
        let left = until.since(traffic.now());
        if left == Span::ZERO {
            return;
        }
        tokio::select! {
            () = plan_applied => {}
            () = tokio::time::sleep(Duration::from_micros(left.0)) => {}
        }
    }
}

fn objective(traffic: &Traffic, head: &CallHead) -> Option<Span> {
    let plan = traffic.plan();
    let route = plan.catalog.as_ref()?.route(&head.host, &head.path)?;
    Some(route.objective)
}
