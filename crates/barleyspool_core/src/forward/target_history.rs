//! What a node knows of targets beside their entries in the list.

use super::{LeavingIncarnations, TargetEntry, TargetIncarnation, TargetTable};
use crate::{IncarnationId, Span, Time};
use std::collections::{BTreeMap, BTreeSet, HashSet};

/// How long the last report of a target that is gone is remembered, so that an older one that arrives late is known for what
/// it is: three heartbeats and the two seconds in which entries come back are below six.
const LAST_REPORT_TTL: Span = Span::from_secs(10);

/// How long it is remembered that a target is gone, in case the source comes back from a copy in which it is still listed.
const REMOVED_TTL: Span = Span::from_secs(60);

/// How long a target that was gone is not used when it is listed in a copy from which the source came back. The entry of one that is gone lapses within
/// three heartbeats, or is removed again when what was written is written again.
const UNVERIFIED_FOR: Span = Span::from_secs(10);

/// How far reports of targets can be relied on.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(super) enum Freshness {
    /// Nothing was known before.
    First,
    /// They are newer than what is known, as far as the targets' own counts say nothing else.
    Newer,
    /// They stand in a copy from which the source came back, and may be older than what is known.
    Restored,
}

/// The last report of a target that is gone from the list.
#[derive(Copy, Clone, Debug)]
struct RemovedTarget {
    report: (TargetIncarnation, u64),
    at: Time,
}

/// What a node knows of targets beside their entries in the list.
#[derive(Clone, Debug, Default)]
pub(super) struct TargetHistory {
    /// Runs that have said in an answer that they leave.
    leaving: LeavingIncarnations,
    /// Targets of which more is known than the source has reported since it came back from a copy.
    newer_than_source: BTreeSet<String>,
    /// Entries that came back although their targets were gone, and until when they are not relied on.
    unverified: BTreeMap<String, Time>,
    /// Targets that are gone, by id.
    removed: BTreeMap<String, RemovedTarget>,
}

impl TargetHistory {
    // ------------------------------------------------------------------------
    // Targets that leave

    /// A run has said in an answer that it leaves. That is remembered for as long as it is listed.
    pub(super) fn note_leaving(&mut self, now: Time, run: IncarnationId, table: &TargetTable) {
        let listed: HashSet<IncarnationId> = table.values().map(TargetEntry::incarnation_id).collect();
        self.leaving.expire(now, |run| listed.contains(&run));
        self.leaving.record(now, run);
    }

    /// Whether the run of which an entry tells has said in an answer that it leaves.
    pub(super) fn has_reported_leaving(&self, entry: &TargetEntry) -> bool {
        !self.leaving.is_empty() && self.leaving.contains(entry.incarnation_id())
    }

    // ------------------------------------------------------------------------
    // Targets that are gone

    /// A target is gone from the list.
    pub(super) fn record_removed(&mut self, now: Time, entry: &TargetEntry) {
        self.newer_than_source.remove(&entry.id);
        self.unverified.remove(&entry.id);
        self.removed
            .retain(|_, removed| now.since(removed.at) < REMOVED_TTL);
        let removed = RemovedTarget {
            report: (entry.incarnation, entry.sequence),
            at: now,
        };
        self.removed.insert(entry.id.clone(), removed);
    }

    /// The last report of a target that went a short while ago.
    pub(super) fn last_report(&self, now: Time, id: &str) -> Option<(TargetIncarnation, u64)> {
        let removed = self.removed.get(id)?;
        (now.since(removed.at) < LAST_REPORT_TTL).then_some(removed.report)
    }

    // ------------------------------------------------------------------------
    // A source that came back from a copy

    /// Whether a report is of a target that went before the source came back from a copy in which the report stands.
    pub(super) fn is_removed_target(&self, report: &TargetEntry) -> bool {
        let removed = self.removed.get(&report.id);
        removed.is_some_and(|removed| report.incarnation <= removed.report.0)
    }

    /// Whether what is known of a target holds against a report of it: the report stands in a copy from which the source came back, and the target wrote what is
    /// known later. That is so also when the copy is read again, until something newer is written.
    pub(super) fn prefers_known(
        &mut self,
        known: &TargetEntry,
        report: &TargetEntry,
        fresh: Freshness,
    ) -> bool {
        let may_be_old =
            fresh == Freshness::Restored || known.unverified || self.newer_than_source.contains(&report.id);
        if !may_be_old {
            return false;
        }
        if known == report || report.unreadable || !report.is_no_newer(known) {
            self.newer_than_source.remove(&report.id);
            return false;
        }
        self.newer_than_source.insert(report.id.clone());
        true
    }

    /// Notes whether an entry that is listed now is relied on.
    pub(super) fn note_verification(&mut self, now: Time, entry: &TargetEntry) {
        if entry.unverified {
            self.unverified
                .entry(entry.id.clone())
                .or_insert(now + UNVERIFIED_FOR);
        } else {
            self.unverified.remove(&entry.id);
        }
    }

    /// Takes the targets that are relied on again, since they have stayed listed.
    pub(super) fn take_verified(&mut self, now: Time) -> Vec<String> {
        let over = self.unverified.iter().filter(|(_, until)| now >= **until);
        let over: Vec<String> = over.map(|(id, _)| id.clone()).collect();
        for id in &over {
            self.unverified.remove(id);
        }
        over
    }
}
