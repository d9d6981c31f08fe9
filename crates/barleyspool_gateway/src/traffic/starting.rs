//! Calls that come before this node knows enough to serve them.

use super::Traffic;
use barleyspool_core::{Span, Time, hold_until};
use hyper::http::request::Parts;
use std::time::Duration;

/// Waits until this node has a configuration and a list of targets, for as long as the call is better held than refused.
pub async fn until_known(traffic: &Traffic, parts: &Parts, arrived: Time) {
    loop {
        // Before the look at the plan, so that none is missed.
        let plan_taken = traffic.plan_taken.notified();
        if traffic.plan().is_complete() {
            return;
        }
        let until = hold_until(traffic.shared.clock.started(), arrived, objective(traffic, parts));
        let left = until.since(traffic.now());
        if left == Span::ZERO {
            return;
        }
        tokio::select! {
            () = plan_taken => {}
            () = tokio::time::sleep(Duration::from_micros(left.0)) => {}
        }
    }
}

fn objective(traffic: &Traffic, parts: &Parts) -> Option<Span> {
    let head = (traffic.edges.caller.read)(parts).ok()?;
    let plan = traffic.plan();
    let route = plan.catalog.as_ref()?.route(&head.host, &head.path)?;
    Some(route.objective)
}
