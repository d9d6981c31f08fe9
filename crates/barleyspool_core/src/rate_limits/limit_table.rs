//! The limits that targets have named.

use super::LimitReport;
use crate::{IncarnationId, Span, Time};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Targets whose report is remembered, some 40 bytes each: more than there are targets.
const MOST_REPORTS: usize = 4096;
/// How long it is remembered that a limit is over, so that older reports of it, which other nodes still pass on, change nothing.
const OVER_KEPT: Span = Span::from_secs(60);
/// How long a limit is remembered that no answer has repeated. Whoever sends to the target hears it again.
const LIMIT_KEPT: Span = Span::from_secs(600);
/// Words of two nodes that lie this close came at the same time: their ages include the ways between nodes. Then the limit counts.
const SAME_TIME: Span = Span::from_millis(100);
/// How old a report may become before it is told again although nothing has changed.
const REFRESH: Span = Span::from_secs(2);
/// The least rate that is reckoned with, in calls a second. Only an answer can say that a limit is over, so that a target which
/// takes nothing at all still gets a call now and then; one each five seconds is a fifth of what such a target may be sent.
const LEAST_RATE: f64 = 0.2;

/// What a target said last.
#[derive(Copy, Clone, Debug, PartialEq)]
struct Report {
    /// The calls a second that it takes; `None` when a limit is over.
    per_s: Option<f64>,
    at: Time,
    /// When others were last told.
    notified: Time,
}

/// What one node tells another of a target's limit.
#[derive(Copy, Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LimitUpdate {
    /// The run of the target.
    #[serde(rename = "run")]
    pub incarnation: IncarnationId,
    /// The calls a second that it takes from all nodes; `None` when a limit is over.
    pub per_s: Option<f64>,
    /// How long ago it said so, in milliseconds.
    #[serde(rename = "age")]
    pub age_ms: u32,
}

/// The limits that targets have named, as far as this node has heard.
///
/// All nodes take the same reports, in whatever order they come; the youngest counts.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    reports: HashMap<IncarnationId, Report>,
}

impl LimitTable {
    /// Takes what the answer to a call said that was sent at `sent`. Returns whether others are to be notified.
    ///
    /// An answer without a limit ends one only when its call was sent after the limit was known: others were on their way already when the
    /// target named it.
    pub fn apply_report(&mut self, now: Time, sent: Time, run: IncarnationId, report: LimitReport) -> bool {
        let known = self.reports.get(&run);
        let per_s = match report {
            LimitReport::PerSecond(per_s) => Some(per_s),
            LimitReport::None if known.is_some_and(|known| known.per_s.is_some() && sent >= known.at) => None,
            LimitReport::None | LimitReport::Unreadable => return false,
        };
        let is_new = known.is_none_or(|known| known.per_s != per_s || now.since(known.notified) > REFRESH);
        let notified = if is_new {
            now
        } else {
            known.map_or(now, |known| known.notified)
        };
        self.insert(
            now,
            run,
            Report {
                per_s,
                at: now,
                notified,
            },
        );
        is_new
    }

    /// Takes the update of another node. Returns whether it is new, so that others are to be notified.
    pub fn apply_update(&mut self, now: Time, update: &LimitUpdate) -> bool {
        let per_s = match update.per_s.map(LimitReport::of) {
            Some(LimitReport::PerSecond(per_s)) => Some(per_s),
            None => None,
            Some(_) => return false,
        };
        let report = Report {
            per_s,
            at: now - Span::from_millis(u64::from(update.age_ms)),
            notified: now,
        };
        self.take_report(now, update.incarnation, report)
    }

    /// Takes what another table of this node knows. Returns the targets of which that changes what is known.
    pub fn merge(&mut self, now: Time, other: &Self) -> Vec<IncarnationId> {
        let reports = other.reports.iter();
        let changed = reports.filter(|(run, report)| self.take_report(now, **run, **report));
        changed.map(|(run, _)| *run).collect()
    }

    fn take_report(&mut self, now: Time, run: IncarnationId, report: Report) -> bool {
        let Some(known) = self.reports.get(&run).copied() else {
            self.insert(now, run, report);
            return true;
        };
        let newer = if report.per_s.is_some() && known.per_s.is_none() {
            report.at + SAME_TIME > known.at
        } else {
            report.at > known.at
        };
        if !newer {
            return false;
        }
        let changed = report.per_s != known.per_s;
        let notified = if changed { report.notified } else { known.notified };
        self.insert(now, run, Report { notified, ..report });
        changed
    }

    /// The calls a second that a run of a target takes from all nodes; `None` when it names no limit.
    pub fn per_s(&self, run: IncarnationId) -> Option<f64> {
        let named = self.reports.get(&run)?.per_s?;
        Some(named.max(LEAST_RATE))
    }

    /// What a run of a target named itself.
    pub fn reported(&self, run: IncarnationId) -> Option<f64> {
        self.reports.get(&run)?.per_s
    }

    /// What this node can tell of a run of a target.
    pub fn update_of(&self, now: Time, run: IncarnationId) -> Option<LimitUpdate> {
        let report = self.reports.get(&run)?;
        Some(LimitUpdate {
            incarnation: run,
            per_s: report.per_s,
            age_ms: u32::try_from(now.since(report.at).as_millis()).unwrap_or(u32::MAX),
        })
    }

    /// How many targets name a limit.
    pub fn limited_count(&self) -> usize {
        self.reports
            .values()
            .filter(|report| report.per_s.is_some())
            .count()
    }

    /// Whether nothing is known of any.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// Forgets reports that are too old to matter.
    pub fn forget(&mut self, now: Time) {
        let kept = |report: &Report| {
            if report.per_s.is_some() {
                LIMIT_KEPT
            } else {
                OVER_KEPT
            }
        };
        self.reports
            .retain(|_, report| now.since(report.at) < kept(report));
    }

    fn insert(&mut self, now: Time, run: IncarnationId, report: Report) {
        if self.reports.len() >= MOST_REPORTS && !self.reports.contains_key(&run) {
            self.forget(now);
            let oldest = self.reports.iter().min_by_key(|(_, report)| report.at);
            if let Some(oldest) = oldest.map(|(run, _)| *run)
                && self.reports.len() >= MOST_REPORTS
            {
                self.reports.remove(&oldest);
            }
        }
        self.reports.insert(run, report);
    }
}
