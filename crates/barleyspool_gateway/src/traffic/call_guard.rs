//! Counts calls in flight, and counts and logs their outcomes.

use super::Traffic;
use super::peer_send::PeerSendFailure;
use crate::event_log::LogEvent;
use crate::failure::CallFailure;
use barleyspool_core::{Counter, ExecutionStatus, Reason, Time, Verdict};
use hyper::StatusCode;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::atomic::Ordering;

/// Counts a call as in flight until it is dropped, and records its outcome once. A guard that is dropped without
/// an outcome records that the caller left.
pub struct CallGuard {
    traffic: Rc<Traffic>,
    id: String,
    route: String,
    rank: u8,
    arrived: Time,
    first_output_at: Cell<Option<Time>>,
    ended: Cell<bool>,
    /// Whether the call is sent for another node, which counts its outcome.
    for_peer: bool,
}

impl CallGuard {
    /// Starts to count a call that arrived at `arrived`.
    pub fn new(traffic: &Rc<Traffic>, id: &str, route: &str, rank: u8, arrived: Time) -> Self {
        traffic.shared.in_flight.fetch_add(1, Ordering::Relaxed);
        Self {
            traffic: Rc::clone(traffic),
            id: id.to_owned(),
            route: route.to_owned(),
            rank,
            arrived,
            first_output_at: Cell::new(None),
            ended: Cell::new(false),
            for_peer: false,
        }
    }

    /// Starts to count a call that this node sends for another one. Its outcome is counted there.
    pub fn for_peer(traffic: &Rc<Traffic>, id: &str, route: &str, arrived: Time) -> Self {
        traffic.peer_sends.set(traffic.peer_sends.get() + 1);
        let mut guard = Self::new(traffic, id, route, 0, arrived);
        guard.for_peer = true;
        guard
    }

    /// Records the time of the first output to the caller.
    pub fn record_first_output(&self) {
        if self.first_output_at.get().is_none() {
            self.first_output_at.set(Some(self.traffic.now()));
        }
    }

    /// Records that a target's answer is complete.
    pub fn record_answer(&self, status: StatusCode) {
        if !self.for_peer {
            self.traffic.count(Counter::Complete(self.rank));
        }
        self.log_end(status.as_u16(), None);
    }

    /// Records that the call ended without a complete answer of a target; status 0 means a closed connection.
    pub fn record_failure(&self, status: u16, failure: &CallFailure) {
        if !self.for_peer {
            // A call whose header was rejected has neither a route nor a rank.
            if failure.verdict == Verdict::NotRun && !self.route.is_empty() {
                self.traffic.count(Counter::RefusedByRank(self.rank));
            }
            self.traffic.count(match failure.verdict {
                Verdict::NotRun => Counter::RefusedNotRun(failure.reason),
                _ => Counter::RefusedUnknown(failure.reason),
            });
        }
        self.log_end(status, Some(failure));
    }

    /// Records that a call of another node ended without an answer of a target.
    pub fn record_peer_failure(&self, failure: &PeerSendFailure) {
        let failure = match failure {
            PeerSendFailure::NotSent { reason, .. } => CallFailure::not_run(*reason),
            PeerSendFailure::Ended { target, end } if end.fate() == ExecutionStatus::NotRun => {
                CallFailure::not_run(Reason::TargetRefused).at("", target)
            }
            PeerSendFailure::Ended { target, .. } => CallFailure::unknown(Reason::StepFailed).at("", target),
        };
        self.record_failure(0, &failure);
    }

    fn log_end(&self, status: u16, failure: Option<&CallFailure>) {
        if self.ended.replace(true) {
            return;
        }
        let now = self.traffic.now();
        let first = self.first_output_at.get().unwrap_or(now);
        let line = LogEvent::CallEnded {
            id: &self.id,
            route: &self.route,
            status,
            reason: failure.map_or("", |failure| failure.reason.name()),
            verdict: failure.map_or("", |failure| verdict_name(failure.verdict)),
            step: failure.map_or("", |failure| &failure.step),
            peer: failure.map_or("", |failure| &failure.peer),
            retry_after_ms: failure.map_or(0, |failure| failure.retry_after.as_millis()),
            first_output_ms: first.since(self.arrived).as_millis(),
            took_ms: now.since(self.arrived).as_millis(),
        };
        if failure.is_none() && status < 400 {
            self.traffic.log.write_routine(now, &line);
        } else {
            self.traffic.log.write(now, &line);
        }
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        if !self.ended.get() {
            self.record_failure(0, &CallFailure::unknown(Reason::CallerLeft));
        }
        if self.for_peer {
            self.traffic.peer_sends.set(self.traffic.peer_sends.get() - 1);
        }
        self.traffic.shared.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

fn verdict_name(verdict: Verdict) -> &'static str {
    match verdict {
        Verdict::Complete => "complete",
        Verdict::NotRun => "not_run",
        Verdict::Unknown => "unknown",
    }
}
