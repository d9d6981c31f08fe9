//! What targets say of their limits in the heads of their answers.

use super::Traffic;
use crate::edges::AnswerHead;
use crate::event_log::Line;
use crate::shared::Sighting;
use barleyspool_core::{Counter, LimitReport, Time};
use hyper::http::response::Parts;
use tokio::sync::mpsc;

/// Tells the control thread what answers said of limits.
#[derive(Debug)]
pub struct TargetLimits {
    sightings: mpsc::UnboundedSender<Sighting>,
}

impl TargetLimits {
    /// Tells `sightings` what it reads.
    pub fn new(sightings: mpsc::UnboundedSender<Sighting>) -> Self {
        Self { sightings }
    }
}

/// Reads the head of an answer of `target` to a call that was sent at `sent`, and notes what it says of the target's limit. `call` is the
/// call's id; empty for pieces.
pub fn read_head(traffic: &Traffic, target: &str, (sent, call): (Time, &str), parts: &Parts) -> AnswerHead {
    let head = (traffic.edges.target.answer)(parts);
    // Whoever answers for a target that is not there any more is another one; a late answer to another call is an old one.
    let another_call = head
        .id
        .as_deref()
        .is_some_and(|id| !call.is_empty() && id != call);
    if !head.misdirected && !another_call {
        note(traffic, target, (sent, call), head.limit);
    }
    head
}

fn note(traffic: &Traffic, target: &str, (sent, call): (Time, &str), word: LimitReport) {
    if word == LimitReport::Unreadable {
        return traffic.count(Counter::LimitUnreadable);
    }
    let now = traffic.now();
    let heard = traffic
        .forwarder
        .borrow_mut()
        .take_limit_report(now, sent, target, word);
    let Some(heard) = heard else { return };
    // The control thread is gone only when the process ends.
    let (run, per_s) = (heard.run, heard.per_s);
    let _ = traffic.limits.sightings.send(Sighting::Limit { run, per_s });
    if heard.changed {
        let plan = traffic.plan();
        let service = plan.targets.get(target).map_or("", |entry| &entry.service);
        let line = Line::TargetLimit {
            target,
            service,
            per_s,
            id: call,
        };
        traffic.log.write(now, &line);
    }
}
