//! The rate limits that targets have reported.

use super::LimitReport;
use crate::{IncarnationId, Span, Time};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Maximum number of remembered reports, some 40 bytes each: more than there are targets.
const MAX_REPORTS: usize = 4096;
/// How long the removal of a limit is remembered, so that older reports of the limit, which other nodes
/// still pass on, have no effect.
const REMOVAL_RETENTION: Span = Span::from_secs(60);
/// How long a limit is remembered that no answer has repeated. Any node that sends to the target receives
/// it again.
const LIMIT_RETENTION: Span = Span::from_secs(600);
/// Reports of two nodes that are this close count as simultaneous. An update carries the age of a report when
/// it is sent, so at the receiver the report seems younger by the latency between the nodes; no clocks are
/// compared. A limit then takes precedence over its removal.
const CLOCK_TOLERANCE: Span = Span::from_millis(100);
/// The age after which an unchanged report is sent to other nodes again.
const NOTIFY_INTERVAL: Span = Span::from_secs(2);
/// The lowest rate that is applied, in calls per second. Only an answer can remove a limit, so a target
/// that accepts nothing still has to get a call now and then. One call in five seconds is a fifth of what
/// such a target may be sent.
const MIN_RATE: f64 = 0.2;

/// The latest report of a target.
#[derive(Copy, Clone, Debug, PartialEq)]
struct Report {
    /// The limit in calls per second; `None` after its removal.
    per_s: Option<f64>,
    /// When it was received.
    at: Time,
    /// When other nodes were last notified.
    notified_at: Time,
}

/// The rate limit of a target as nodes pass it on.
#[derive(Copy, Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LimitUpdate {
    /// The incarnation of the target.
    #[serde(rename = "run")]
    pub incarnation: IncarnationId,
    /// The limit in calls per second from all nodes together; `None` after its removal.
    pub per_s: Option<f64>,
    /// The age of the report in milliseconds.
    #[serde(rename = "age")]
    pub age_ms: u32,
}

/// The rate limits that targets have reported, as known to this node.
///
/// All nodes apply the same reports, in any order; the latest report of a target counts.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    reports: HashMap<IncarnationId, Report>,
}

impl LimitTable {
    /// Applies the report in an answer to a call that was sent at `sent`. Returns whether other nodes are
    /// to be notified.
    ///
    /// An answer without a limit removes a known limit only if its call was sent after the limit was known:
    /// calls that were already in flight when the target reported the limit may be answered without one. The
    /// membership table passes `now` as `sent`, so there every report without a limit removes a known one:
    /// the event with the report is meant to state no limit only once there is none.
    pub fn apply_report(
        &mut self,
        now: Time,
        sent: Time,
        incarnation: IncarnationId,
        report: LimitReport,
    ) -> bool {
        let known = self.reports.get(&incarnation);
        let per_s = match report {
            LimitReport::PerSecond(per_s) => Some(per_s),
            LimitReport::None if known.is_some_and(|known| known.per_s.is_some() && sent >= known.at) => None,
            LimitReport::None | LimitReport::Unreadable => return false,
        };
        let is_new =
            known.is_none_or(|known| known.per_s != per_s || now.since(known.notified_at) > NOTIFY_INTERVAL);
        let notified_at = if is_new {
            now
        } else {
            known.map_or(now, |known| known.notified_at)
        };
        self.insert(
            now,
            incarnation,
            Report {
                per_s,
                at: now,
                notified_at,
            },
        );
        is_new
    }

    /// Applies an update from another node. Returns whether it changes the limit, so that other nodes are
    /// to be notified.
    pub fn apply_update(&mut self, now: Time, update: &LimitUpdate) -> bool {
        let per_s = match update.per_s.map(LimitReport::of) {
            Some(LimitReport::PerSecond(per_s)) => Some(per_s),
            None => None,
            Some(_) => return false,
        };
        let report = Report {
            per_s,
            at: now - Span::from_millis(u64::from(update.age_ms)),
            notified_at: now,
        };
        self.merge_report(now, update.incarnation, report)
    }

    /// Applies the reports of another table of this node. Returns the targets whose limit changed.
    pub fn merge(&mut self, now: Time, other: &Self) -> Vec<IncarnationId> {
        let reports = other.reports.iter();
        let changed = reports.filter(|(incarnation, report)| self.merge_report(now, **incarnation, **report));
        changed.map(|(incarnation, _)| *incarnation).collect()
    }

    fn merge_report(&mut self, now: Time, incarnation: IncarnationId, report: Report) -> bool {
        let Some(known) = self.reports.get(&incarnation).copied() else {
            self.insert(now, incarnation, report);
            return true;
        };
        let is_newer = if report.per_s.is_some() && known.per_s.is_none() {
            report.at + CLOCK_TOLERANCE > known.at
        } else {
            report.at > known.at
        };
        if !is_newer {
            return false;
        }
        let changed = report.per_s != known.per_s;
        let notified_at = if changed {
            report.notified_at
        } else {
            known.notified_at
        };
        self.insert(
            now,
            incarnation,
            Report {
                notified_at,
                ..report
            },
        );
        changed
    }

    /// The calls per second that a target accepts from all nodes together, and at least `MIN_RATE`;
    /// `None` if it has no limit.
    pub fn per_s(&self, incarnation: IncarnationId) -> Option<f64> {
        let reported = self.reports.get(&incarnation)?.per_s?;
        Some(reported.max(MIN_RATE))
    }

    /// The limit as the target reported it.
    pub fn reported(&self, incarnation: IncarnationId) -> Option<f64> {
        self.reports.get(&incarnation)?.per_s
    }

    /// The update to send to other nodes about a target.
    pub fn update_of(&self, now: Time, incarnation: IncarnationId) -> Option<LimitUpdate> {
        let report = self.reports.get(&incarnation)?;
        Some(LimitUpdate {
            incarnation,
            per_s: report.per_s,
            age_ms: u32::try_from(now.since(report.at).as_millis()).unwrap_or(u32::MAX),
        })
    }

    /// The number of targets that have a limit.
    pub fn limited_count(&self) -> usize {
        self.reports
            .values()
            .filter(|report| report.per_s.is_some())
            .count()
    }

    /// Whether no report is known.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// Removes expired reports.
    pub fn forget(&mut self, now: Time) {
        let retention = |report: &Report| {
            if report.per_s.is_some() {
                LIMIT_RETENTION
            } else {
                REMOVAL_RETENTION
            }
        };
        self.reports
            .retain(|_, report| now.since(report.at) < retention(report));
    }

    fn insert(&mut self, now: Time, incarnation: IncarnationId, report: Report) {
        if self.reports.len() >= MAX_REPORTS && !self.reports.contains_key(&incarnation) {
            self.forget(now);
            let oldest = self.reports.iter().min_by_key(|(_, report)| report.at);
            if let Some(oldest) = oldest.map(|(incarnation, _)| *incarnation)
                && self.reports.len() >= MAX_REPORTS
            {
                self.reports.remove(&oldest);
            }
        }
        self.reports.insert(incarnation, report);
    }
}
