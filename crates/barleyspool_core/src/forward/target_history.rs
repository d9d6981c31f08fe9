//! What a node knows about targets apart from their list entries.

use super::{LeavingIncarnations, TargetEntry, TargetIncarnation, TargetTable};
use crate::{IncarnationId, Span, Time};
use std::collections::{BTreeMap, BTreeSet, HashSet};

/// How long the last report of a removed target is kept, so that an older report that arrives late is
/// recognised. Three heartbeats of a target, each of which rewrites its entry about a second after the last,
/// and the two seconds in which entries reappear add up to less than six seconds.
const LAST_REPORT_TTL: Span = Span::from_secs(10);

/// How long a removed target is remembered, in case the source is restored from a backup that still
/// lists it.
const REMOVED_TTL: Span = Span::from_secs(60);

/// How long a removed target stays unused if it reappears with a restored backup of the source. The
/// entry of a target that no longer exists expires within three heartbeats, or is removed again when the
/// changes since the backup are written again.
const UNVERIFIED_FOR: Span = Span::from_secs(10);

/// How far reports about targets can be trusted.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(super) enum Freshness {
    /// Nothing was known before.
    First,
    /// They are newer than what is known, unless the targets' own report numbers show otherwise.
    Newer,
    /// They come from a restored backup of the source, and may be older than what is known.
    Restored,
}

/// The last report of a target that is no longer listed.
#[derive(Copy, Clone, Debug)]
struct RemovedTarget {
    report: (TargetIncarnation, u64),
    at: Time,
}

/// What a node knows about targets apart from their list entries.
#[derive(Clone, Debug, Default)]
pub(super) struct TargetHistory {
    /// Incarnations that announced in an answer that they are leaving.
    leaving: LeavingIncarnations,
    /// Targets about which this node has newer information than a source restored from a backup.
    newer_than_source: BTreeSet<String>,
    /// Entries that reappeared after their targets had been removed, and until when they are unverified.
    unverified: BTreeMap<String, Time>,
    /// Removed targets, by id.
    removed: BTreeMap<String, RemovedTarget>,
}

impl TargetHistory {
    // ------------------------------------------------------------------------
    // Targets that are leaving

    /// Records the announcement of an incarnation that it is leaving. It is remembered for as long as
    /// the incarnation is listed.
    pub(super) fn note_leaving(&mut self, now: Time, incarnation: IncarnationId, table: &TargetTable) {
        let listed: HashSet<IncarnationId> = table.values().map(TargetEntry::incarnation_id).collect();
        self.leaving
            .expire(now, |incarnation| listed.contains(&incarnation));
        self.leaving.record(now, incarnation);
    }

    /// Whether the incarnation of an entry announced in an answer that it is leaving.
    pub(super) fn has_reported_leaving(&self, entry: &TargetEntry) -> bool {
        !self.leaving.is_empty() && self.leaving.contains(entry.incarnation_id())
    }

    // ------------------------------------------------------------------------
    // Removed targets

    /// Records that a target is no longer listed.
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

    /// The last report of a recently removed target.
    pub(super) fn last_report(&self, now: Time, id: &str) -> Option<(TargetIncarnation, u64)> {
        let removed = self.removed.get(id)?;
        (now.since(removed.at) < LAST_REPORT_TTL).then_some(removed.report)
    }

    // ------------------------------------------------------------------------
    // A source restored from a backup

    /// Whether a report from a restored backup is about a target that was removed before the source was
    /// restored.
    pub(super) fn is_removed_target(&self, report: &TargetEntry) -> bool {
        let removed = self.removed.get(&report.id);
        removed.is_some_and(|removed| report.incarnation <= removed.report.0)
    }

    /// Whether what is known about a target is preferred to a report: the report comes from a restored
    /// backup, and the target wrote the known state later. This also holds when the backup is read
    /// again, until something newer is written.
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

    /// Records whether a listed entry is unverified.
    pub(super) fn note_verification(&mut self, now: Time, entry: &TargetEntry) {
        if entry.unverified {
            self.unverified
                .entry(entry.id.clone())
                .or_insert(now + UNVERIFIED_FOR);
        } else {
            self.unverified.remove(&entry.id);
        }
    }

    /// Takes out the targets whose entries count as verified again, since they have stayed listed.
    pub(super) fn take_verified(&mut self, now: Time) -> Vec<String> {
        let verified = self.unverified.iter().filter(|(_, until)| now >= **until);
        let verified: Vec<String> = verified.map(|(id, _)| id.clone()).collect();
        for id in &verified {
            self.unverified.remove(id);
        }
        verified
    }
}
