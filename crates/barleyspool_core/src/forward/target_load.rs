//! The load that a target reports in its answers.

use super::Forwarder;
use crate::{LoadReport, Span, Time};

/// How long the reported time of work counts. It changes many times a second.
const WORK_TIME_TTL: Span = Span::from_millis(500);
/// The range of the factor on the expected time. A false report of fast work brings a target no calls: a node that has
/// called only this target takes its late answers for usual. A false report of slow work ends with the report.
const FACTOR_RANGE: (f64, f64) = (1.0, 4.0);

/// The last load report of a target.
///
/// Only its time of work is used. With the reported calls in place of this node's estimate for a second, the slowest
/// tenth of the answers of plain targets came a third later in the test of 75 nodes (tests/target_speeds.rs): a node
/// has recent reports of few targets, and the others count as idle beside them.
#[derive(Copy, Clone, Debug, Default)]
pub struct TargetLoad {
    report: Option<LoadReport>,
    /// When it was read.
    at: Time,
}

impl TargetLoad {
    /// Keeps a report that was read now.
    pub fn record(&mut self, now: Time, report: LoadReport) {
        *self = Self {
            report: Some(report),
            at: now,
        };
    }

    /// The factor on the expected time of the next call; 1 without a report that is young enough.
    pub fn time_factor(&self, now: Time) -> f64 {
        let report = self.report.filter(|_| now.since(self.at) < WORK_TIME_TTL);
        let percent = report.and_then(|report| report.work_time);
        let factor = percent.map_or(1.0, |percent| f64::from(percent) / 100.0);
        factor.clamp(FACTOR_RANGE.0, FACTOR_RANGE.1)
    }
}

impl Forwarder {
    /// Keeps the load that a target reported in the answer to a request sent at `sent`. A report of an earlier
    /// incarnation is ignored.
    pub fn apply_load_report(&mut self, now: Time, sent: Time, id: &str, report: LoadReport) {
        let Some(record) = self.by_id.get(id).and_then(|key| self.targets.get_mut(*key)) else {
            return;
        };
        if sent >= record.entry.times.restarted_at {
            record.load.record(now, report);
        }
    }
}
