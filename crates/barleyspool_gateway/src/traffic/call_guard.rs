//! Counting a call in flight, and telling how it ended.

use super::Traffic;
use crate::event_log::Line;
use crate::failure::CallFailure;
use barleyspool_core::{Counter, Reason, Time, Verdict};
use hyper::StatusCode;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::atomic::Ordering;

/// Counts a call in flight, and tells how it ended.
pub struct CallGuard {
    traffic: Rc<Traffic>,
    id: String,
    route: String,
    rank: u8,
    arrived: Time,
    first: Cell<Option<Time>>,
    ended: Cell<bool>,
}

impl CallGuard {
    /// A call has come.
    pub fn new(traffic: &Rc<Traffic>, id: &str, route: &str, rank: u8, arrived: Time) -> Self {
        traffic.shared.in_flight.fetch_add(1, Ordering::Relaxed);
        Self {
            traffic: Rc::clone(traffic),
            id: id.to_owned(),
            route: route.to_owned(),
            rank,
            arrived,
            first: Cell::new(None),
            ended: Cell::new(false),
        }
    }

    /// The first output goes to the caller.
    pub fn first_output(&self) {
        if self.first.get().is_none() {
            self.first.set(Some(self.traffic.now()));
        }
    }

    /// A target's answer is whole.
    pub fn answered(&self, status: StatusCode) {
        self.traffic.count(Counter::Complete(self.rank));
        self.log_end(status.as_u16(), None);
    }

    /// The call ended without a target's whole answer; status 0 is a closed connection.
    pub fn failed(&self, status: u16, failure: &CallFailure) {
        self.traffic.count(match failure.verdict {
            Verdict::NotRun => Counter::RefusedNotRun(failure.reason),
            _ => Counter::RefusedUnknown(failure.reason),
        });
        self.log_end(status, Some(failure));
    }

    fn log_end(&self, status: u16, failure: Option<&CallFailure>) {
        if self.ended.replace(true) {
            return;
        }
        let now = self.traffic.now();
        let first = self.first.get().unwrap_or(now);
        let line = Line::Ended {
            id: &self.id,
            route: &self.route,
            status,
            reason: failure.map_or("", |failure| failure.reason.name()),
            verdict: failure.map_or("", |failure| verdict_name(failure.verdict)),
            step: failure.map_or("", |failure| &failure.step),
            peer: failure.map_or("", |failure| &failure.peer),
            come_back_ms: failure.map_or(0, |failure| failure.come_back.as_millis()),
            first_ms: first.since(self.arrived).as_millis(),
            took_ms: now.since(self.arrived).as_millis(),
        };
        if failure.is_none() && status < 400 {
            self.traffic.log.write_good(now, &line);
        } else {
            self.traffic.log.write(now, &line);
        }
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        if !self.ended.get() {
            self.failed(0, &CallFailure::unknown(Reason::CallerLeft));
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
