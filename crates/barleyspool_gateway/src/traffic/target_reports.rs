//! Reads what targets report of themselves in the headers of their answers.

use super::Traffic;
use crate::adapters::AnswerHead;
use crate::event_log::LogEvent;
use crate::shared::TargetObservation;
use barleyspool_core::{BrittleReport, CooldownReport, Counter, LimitReport, LoadHeader, Span, Time};
use hyper::http::response::Parts;
use std::cell::RefCell;
use std::collections::HashMap;
use tokio::sync::mpsc;

/// How often the control thread is told that a service is brittle, which it passes on to other nodes now and then.
const BRITTLE_INTERVAL: Span = Span::from_millis(500);

/// Sends what targets report in their answers to the control thread.
#[derive(Debug)]
pub struct TargetReports {
    observations: mpsc::UnboundedSender<TargetObservation>,
    /// When the control thread was last told that a service is brittle, and how many refusals in a second its targets bear.
    brittle: RefCell<HashMap<String, (Time, f64)>>,
}

impl TargetReports {
    /// Creates a reporter that sends to `observations`.
    pub fn new(observations: mpsc::UnboundedSender<TargetObservation>) -> Self {
        Self {
            observations,
            brittle: RefCell::default(),
        }
    }

    /// Sends a report that a service is brittle, unless the same was sent lately.
    fn send_brittle(&self, now: Time, service: &str, refusals: f64) {
        let mut sent = self.brittle.borrow_mut();
        if let Some((at, known)) = sent.get(service)
            && now.since(*at) < BRITTLE_INTERVAL
            && refusals >= *known
        {
            return;
        }
        sent.insert(service.to_owned(), (now, refusals));
        self.send(TargetObservation::Brittle {
            service: service.to_owned(),
            refusals,
        });
    }

    fn send(&self, observation: TargetObservation) {
        // The receiver, the control thread, is gone only when the process ends.
        let _ = self.observations.send(observation);
    }
}

/// A request to a target whose answer is being read.
#[derive(Copy, Clone, Debug)]
pub struct SentRequest<'a> {
    /// Id of the target.
    pub target: &'a str,
    /// Id of the call; empty for a batch call or a release of results.
    pub call: &'a str,
    /// When the request was sent.
    pub sent_at: Time,
    /// Whether another node sent it for this one.
    pub by_peer: bool,
}

/// Reads the header of an answer, and records what it reports of its target. All answers of targets are read
/// here.
pub fn read_head(traffic: &Traffic, request: SentRequest, parts: &Parts) -> AnswerHead {
    let head = (traffic.adapters.target.read_answer_head)(parts);
    if head.misdirected {
        // Another target uses the address now.
        return head;
    }
    if head.leaving {
        note_leaving(traffic, request);
    }
    let id = head.id.as_deref();
    let another_call = id.is_some_and(|id| !request.call.is_empty() && id != request.call);
    if !another_call {
        // A late answer to another call reports an outdated limit and load, and the cooldown that it requests has begun earlier.
        if !request.by_peer {
            // A cooldown applies to the node that sent the request.
            note_cooldown(traffic, request, head.cooldown);
        }
        note_limit(traffic, request, head.limit);
        note_brittle(traffic, request, head.brittle);
        note_load(traffic, request, head.load);
    }
    head
}

fn note_leaving(traffic: &Traffic, request: SentRequest) {
    let incarnation = traffic
        .forwarder
        .borrow()
        .leaving_incarnation(request.sent_at, request.target);
    let Some(incarnation) = incarnation else { return };
    traffic.count(Counter::ReportedLeaving);
    traffic.reports.send(TargetObservation::Leaving { incarnation });
    let line = LogEvent::TargetLeaves {
        target: request.target,
        service: &service(traffic, request.target),
        id: request.call,
    };
    traffic.log.write(traffic.now(), &line);
}

fn note_cooldown(traffic: &Traffic, request: SentRequest, cooldown: CooldownReport) {
    let cooldown = match cooldown {
        CooldownReport::None => return,
        CooldownReport::Unreadable => return traffic.count(Counter::CooldownUnreadable),
        CooldownReport::For(cooldown) => cooldown,
    };
    traffic.count(Counter::CooldownRequested);
    let now = traffic.now();
    let started =
        traffic
            .forwarder
            .borrow_mut()
            .apply_cooldown(now, request.sent_at, request.target, cooldown);
    if !started {
        return;
    }
    let line = LogEvent::TargetCooldown {
        target: request.target,
        service: &service(traffic, request.target),
        cooldown_ms: cooldown.as_millis(),
        id: request.call,
    };
    traffic.log.write(now, &line);
}

fn note_limit(traffic: &Traffic, request: SentRequest, report: LimitReport) {
    if report == LimitReport::Unreadable {
        return traffic.count(Counter::LimitUnreadable);
    }
    let now = traffic.now();
    let reported =
        traffic
            .forwarder
            .borrow_mut()
            .apply_limit_report(now, request.sent_at, request.target, report);
    let Some(reported) = reported else { return };
    let (incarnation, per_s) = (reported.incarnation, reported.per_s);
    traffic
        .reports
        .send(TargetObservation::RateLimit { incarnation, per_s });
    if reported.changed {
        let line = LogEvent::TargetRateLimit {
            target: request.target,
            service: &service(traffic, request.target),
            per_s,
            id: request.call,
        };
        traffic.log.write(now, &line);
    }
}

fn note_load(traffic: &Traffic, request: SentRequest, report: LoadHeader) {
    match report {
        LoadHeader::None => {}
        LoadHeader::Unreadable => traffic.count(Counter::LoadUnreadable),
        LoadHeader::Load(load) => traffic.forwarder.borrow_mut().apply_load_report(
            traffic.now(),
            request.sent_at,
            request.target,
            load,
        ),
    }
}

fn note_brittle(traffic: &Traffic, request: SentRequest, report: BrittleReport) {
    let refusals = match report {
        BrittleReport::None => return,
        BrittleReport::Unreadable => return traffic.count(Counter::BrittleUnreadable),
        BrittleReport::Refusals(refusals) => refusals,
    };
    let service = service(traffic, request.target);
    let now = traffic.now();
    traffic.reports.send_brittle(now, &service, refusals);
    if traffic
        .forwarder
        .borrow_mut()
        .note_brittle(now, &service, refusals)
    {
        let line = LogEvent::ServiceBrittle {
            service: &service,
            target: request.target,
            refusals,
        };
        traffic.log.write(now, &line);
    }
}

/// The service of a target, for log lines; empty when the target is not listed any more.
fn service(traffic: &Traffic, target: &str) -> String {
    let plan = traffic.plan();
    let entry = plan.targets.get(target);
    entry.map(|entry| entry.service.clone()).unwrap_or_default()
}
