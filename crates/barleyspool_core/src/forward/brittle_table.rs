//! The services whose targets report that they are brittle.

use crate::{Span, Time};
use std::collections::BTreeMap;

/// How long a service counts as brittle after the last answer that reported it. Targets report it in all answers.
const REPORT_TTL: Span = Span::from_secs(5);
/// How long a report is remembered, so that nodes which still pass it on do not make it count again.
const RETENTION: Span = Span::from_secs(20);

/// The latest report of a service.
#[derive(Copy, Clone, Debug, PartialEq)]
struct Report {
    refusals: f64,
    at: Time,
}

/// The services whose targets report that they are brittle, as known to this node.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BrittleTable {
    reports: BTreeMap<String, Report>,
}

impl BrittleTable {
    /// Records that an answer at the time `at` reported how many refusals in a second the targets of a service
    /// bear. An older report than the known one has no effect.
    pub fn record(&mut self, at: Time, service: &str, refusals: f64) {
        let report = Report { refusals, at };
        match self.reports.get_mut(service) {
            Some(known) if known.at > at => {}
            Some(known) => *known = report,
            None => {
                self.reports.insert(service.to_owned(), report);
            }
        }
    }

    /// Records the reports of another table.
    pub fn merge(&mut self, other: &Self) {
        for (service, report) in &other.reports {
            self.record(report.at, service, report.refusals);
        }
    }

    /// How many refusals in a second each target of a service bears; `None` if the service does not count as brittle.
    pub fn refusals(&self, now: Time, service: &str) -> Option<f64> {
        let report = self.reports.get(service)?;
        (now.since(report.at) < REPORT_TTL).then_some(report.refusals)
    }

    /// When a service was last reported as brittle, if that is remembered.
    pub fn reported_at(&self, service: &str) -> Option<Time> {
        self.reports.get(service).map(|report| report.at)
    }

    /// The services that count as brittle or did so lately.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        self.reports.keys().map(String::as_str)
    }

    /// Whether no report is remembered.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// Removes reports that are no longer remembered.
    pub fn forget(&mut self, now: Time) {
        self.reports.retain(|_, report| now.since(report.at) < RETENTION);
    }
}
