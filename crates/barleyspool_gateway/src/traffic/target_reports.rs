//! What targets say of themselves in the heads of their answers.

use super::Traffic;
use crate::edges::AnswerHead;
use crate::event_log::Line;
use crate::shared::Sighting;
use barleyspool_core::{CooldownReport, Counter, LimitReport, Time};
use hyper::http::response::Parts;
use tokio::sync::mpsc;

/// Hands what answers say of their targets to the control thread.
#[derive(Debug)]
pub struct TargetReports {
    sightings: mpsc::UnboundedSender<Sighting>,
}

impl TargetReports {
    /// Hands `sightings` what it reads.
    pub fn new(sightings: mpsc::UnboundedSender<Sighting>) -> Self {
        Self { sightings }
    }

    fn send(&self, sighting: Sighting) {
        // The control thread is gone only when the process ends.
        let _ = self.sightings.send(sighting);
    }
}

/// A request to a target whose answer is read.
#[derive(Copy, Clone, Debug)]
pub struct Asked<'a> {
    /// The target's id.
    pub target: &'a str,
    /// The call's id; empty for pieces.
    pub call: &'a str,
    /// When it was sent.
    pub sent: Time,
}

/// Reads the head of an answer, and notes what it says of its target. All answers of targets are read here.
pub fn read_head(traffic: &Traffic, asked: Asked, parts: &Parts) -> AnswerHead {
    let head = (traffic.edges.target.answer)(parts);
    if head.misdirected {
        // Another target has the address now.
        return head;
    }
    if head.leaving {
        note_leaving(traffic, asked);
    }
    note_rest(traffic, asked, head.rest);
    let id = head.id.as_deref();
    let another_call = id.is_some_and(|id| !asked.call.is_empty() && id != asked.call);
    if !another_call {
        // A late answer to another call names a limit of before.
        note_limit(traffic, asked, head.limit);
    }
    head
}

fn note_leaving(traffic: &Traffic, asked: Asked) {
    let run = traffic
        .forwarder
        .borrow()
        .leaving_incarnation(asked.sent, asked.target);
    let Some(run) = run else { return };
    traffic.count(Counter::ReportedLeaving);
    traffic.reports.send(Sighting::Leaves { run });
    let line = Line::TargetLeaves {
        target: asked.target,
        service: &service(traffic, asked.target),
        id: asked.call,
    };
    traffic.log.write(traffic.now(), &line);
}

fn note_rest(traffic: &Traffic, asked: Asked, rest: CooldownReport) {
    let rest = match rest {
        CooldownReport::None => return,
        CooldownReport::Unreadable => return traffic.count(Counter::RestUnreadable),
        CooldownReport::For(rest) => rest,
    };
    traffic.count(Counter::AskedRest);
    let now = traffic.now();
    let begins = traffic
        .forwarder
        .borrow_mut()
        .apply_cooldown(now, asked.sent, asked.target, rest);
    if !begins {
        return;
    }
    let line = Line::TargetRests {
        target: asked.target,
        service: &service(traffic, asked.target),
        rest_ms: rest.as_millis(),
        id: asked.call,
    };
    traffic.log.write(now, &line);
}

fn note_limit(traffic: &Traffic, asked: Asked, report: LimitReport) {
    if report == LimitReport::Unreadable {
        return traffic.count(Counter::LimitUnreadable);
    }
    let now = traffic.now();
    let reported = traffic
        .forwarder
        .borrow_mut()
        .apply_limit_report(now, asked.sent, asked.target, report);
    let Some(reported) = reported else { return };
    let (run, per_s) = (reported.incarnation, reported.per_s);
    traffic.reports.send(Sighting::Limit { run, per_s });
    if reported.changed {
        let line = Line::TargetLimit {
            target: asked.target,
            service: &service(traffic, asked.target),
            per_s,
            id: asked.call,
        };
        traffic.log.write(now, &line);
    }
}

/// The service of a target, for log lines; empty when it is not listed any more.
fn service(traffic: &Traffic, target: &str) -> String {
    let plan = traffic.plan();
    let entry = plan.targets.get(target);
    entry.map(|entry| entry.service.clone()).unwrap_or_default()
}
