//! The target list that the platform last reported, directly or by way of other nodes.

use super::target_history::{Freshness, TargetHistory};
use super::target_log::TargetLog;
use super::{ForwardPlan, ServiceTargets, TargetEntry, TargetIncarnation, TargetTable, service_targets};
use crate::{IncarnationId, Revision, Span, Time};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// One change of the target list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum TargetChange {
    /// An entry is new or different.
    Put(TargetEntry),
    /// The entry of the target with this id was removed.
    Gone(String),
}

/// A report that was ignored, since the target wrote the known one later.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutdatedReport {
    /// The id of the target.
    pub id: String,
    /// The incarnation that wrote it.
    pub incarnation: IncarnationId,
    /// The number of the report.
    pub sequence: u64,
    /// The number of the known report.
    pub known: u64,
    /// Whether the target is known to leave, which this report does not state.
    pub undoes_leaving: bool,
}

/// How long an entry that expired while the source was unavailable is still kept: a live target rewrites
/// it within about this time (docs/PLATFORM.md).
pub const EXPIRY_GRACE: Span = Span::from_secs(2);

/// The target list at one revision of the platform.
#[derive(Clone, Debug, Default)]
pub struct TargetStore {
    /// The entries of the list.
    pub table: Arc<TargetTable>,
    /// The zones of the targets, by address.
    pub zones: Arc<HashMap<String, String>>,
    /// When targets were seen to restart under the same id, by address; see
    /// [`ForwardPlan::is_result_lost`].
    pub restarts: Arc<HashMap<String, Time>>,
    /// The targets of each service, by its name.
    pub services: Arc<HashMap<String, ServiceTargets>>,
    /// The platform's revision of the list.
    pub at: Revision,
    /// The revision of the last change of the list. This one is sent to other nodes: changes elsewhere
    /// on the platform raise `at`, and would make them request a list that they already have.
    pub changed_at: Revision,
    /// The number of changes that decisions can see. Entries also expire, and targets leave, without a new
    /// revision.
    pub generation: u64,
    /// Entries that were missing when the source returned, and when they count as removed. They may have
    /// expired at the source only because it was unavailable, so they are kept until then.
    pub expired: BTreeMap<String, Time>,
    /// Until when a missing entry may have expired while the source was unavailable.
    grace_until: Time,
    /// The evacuated zones.
    evacuated: BTreeSet<String>,
    /// What is known about targets apart from the list.
    history: TargetHistory,
    /// The most recent changes, for nodes that have an older list.
    log: TargetLog,
    /// Reports that were ignored; see [`Self::take_outdated`].
    outdated: Vec<OutdatedReport>,
}

/// Entries that are missing at the source and may reappear, with the time left for that. A node passes
/// them on with its list, since only it knows that the source was unavailable.
pub type ExpiringEntries = Vec<(String, Span)>;

impl TargetStore {
    /// Records that the source answers again after it was unavailable.
    pub fn source_recovered(&mut self, now: Time) {
        self.grace_until = now + EXPIRY_GRACE;
    }

    /// Applies a complete list; returns whether the list changes. A list older than the known one is
    /// ignored.
    pub fn replace(&mut self, now: Time, at: Revision, table: TargetTable) -> bool {
        if at < self.at {
            return false;
        }
        let first = self.at == Revision(0);
        let fresh = self.advance_to(now, at);
        self.expired.retain(|id, _| !table.contains_key(id));
        let before = Arc::clone(&self.table);
        let reports = table.into_values();
        let mut table: TargetTable = reports
            .filter_map(|entry| self.merge_report(now, entry, fresh))
            .map(|entry| (entry.id.clone(), entry))
            .collect();
        for entry in table.values() {
            self.history.note_verification(now, entry);
        }
        if first {
            self.log.reset(at);
        } else {
            self.log.append(at, changes_between(&before, &table));
        }
        for (id, entry) in before.iter() {
            if table.contains_key(id) {
                continue;
            }
            if self.retains_missing(now, id) {
                table.insert(id.clone(), entry.clone());
            } else {
                self.history.record_removed(now, entry);
            }
        }
        // The first list counts as a change even if it is empty, so that other nodes receive it.
        let changed = first || *before != table;
        self.table = Arc::new(table);
        self.changed(changed)
    }

    /// Whether no change of the list has arrived after revision `base`. A difference that starts there states
    /// nothing about targets that were listed later and removed again before its end.
    pub fn is_unchanged_since(&self, base: Revision) -> bool {
        self.changed_at <= base
    }

    /// Applies changes up to revision `at`; returns whether the list changes.
    ///
    /// Changes up to a revision older than that of the list are already part of it. Applied again they
    /// would undo newer changes that arrived by way of another node.
    pub fn apply(&mut self, now: Time, at: Revision, changes: Vec<TargetChange>) -> bool {
        if at < self.at {
            return false;
        }
        let fresh = self.advance_to(now, at);
        self.log.append(at, changes.clone());
        let mut changed = false;
        for change in changes {
            changed |= match change {
                TargetChange::Put(entry) => self.put(now, entry, fresh),
                TargetChange::Gone(id) if self.table.contains_key(&id) && self.retains_missing(now, &id) => {
                    false
                }
                TargetChange::Gone(id) => self.remove(now, &id),
            };
        }
        self.changed(changed)
    }

    /// Advances to revision `at`, and returns how far reports at that revision can be trusted.
    ///
    /// A revision of a later era means that the source was restored from a backup. Whatever was written
    /// after the backup is missing there until it is written again.
    fn advance_to(&mut self, now: Time, at: Revision) -> Freshness {
        let before = std::mem::replace(&mut self.at, at);
        if before == Revision(0) {
            return Freshness::First;
        }
        if at.era() == before.era() {
            return Freshness::Newer;
        }
        self.source_recovered(now);
        Freshness::Restored
    }

    /// Applies the set of evacuated zones; returns whether the list changes. Targets of a reopened zone
    /// count as newly listed: they may have become cold shortly before, and their own report arrives up
    /// to a heartbeat later.
    pub fn apply_evacuations(&mut self, now: Time, zones: &BTreeSet<String>) -> bool {
        self.evacuated.clone_from(zones);
        let outdated = |entry: &&TargetEntry| entry.evacuated != zones.contains(&entry.zone);
        let ids: Vec<String> = self
            .table
            .values()
            .filter(outdated)
            .map(|entry| entry.id.clone())
            .collect();
        for id in &ids {
            if let Some(entry) = Arc::make_mut(&mut self.table).get_mut(id) {
                entry.evacuated = !entry.evacuated;
                if !entry.evacuated {
                    entry.times.appeared_at = now;
                }
            }
        }
        self.changed(!ids.is_empty())
    }

    /// Records the announcement of an incarnation that it is leaving; returns whether that changes the
    /// list. The source has not changed, so other nodes have nothing to request.
    pub fn note_leaving(&mut self, now: Time, incarnation: IncarnationId) -> bool {
        self.history.note_leaving(now, incarnation, &self.table);
        let mut listed = self.table.values();
        let staying = listed.find(|entry| entry.incarnation_id() == incarnation && !entry.leaving);
        let Some(id) = staying.map(|entry| entry.id.clone()) else {
            return false;
        };
        if let Some(entry) = Arc::make_mut(&mut self.table).get_mut(&id) {
            entry.leaving = true;
        }
        self.rebuild_indexes();
        true
    }

    /// Takes the reports that were ignored since the last call.
    pub fn take_outdated(&mut self) -> Vec<OutdatedReport> {
        std::mem::take(&mut self.outdated)
    }

    /// The changes that turn the list at `revision` into this one; `None` if they are no longer known.
    pub fn changes_since(&self, revision: Revision) -> Option<Vec<TargetChange>> {
        self.log.since(revision)
    }

    /// The entries that are missing at the source and may reappear.
    pub fn expiring(&self, now: Time) -> ExpiringEntries {
        let left = |(id, until): (&String, &Time)| (id.clone(), until.since(now));
        self.expired.iter().map(left).collect()
    }

    /// Records which entries of another node's list, at revision `at`, are missing at the source. To be
    /// called before the list of that node is applied.
    pub fn note_expiring(&mut self, now: Time, at: Revision, expiring: ExpiringEntries) {
        if at < self.at {
            // Entries that have expired at that revision may have reappeared in the newer list here.
            return;
        }
        for (id, left) in expiring {
            self.expired.entry(id).or_insert(now + left);
        }
    }

    /// Removes missing entries whose time to reappear is over; returns whether the list changes.
    pub fn expire(&mut self, now: Time) -> bool {
        let due: Vec<String> = self
            .expired
            .iter()
            .filter(|(_, until)| now >= **until)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &due {
            self.expired.remove(id);
            self.remove(now, id);
        }
        let expired = self.changed(!due.is_empty());
        self.expire_unverified(now) || expired
    }

    /// Marks reappeared entries that are still listed as verified. Each node does so by itself, so that
    /// other nodes have nothing to request.
    fn expire_unverified(&mut self, now: Time) -> bool {
        let confirmed = self.history.take_verified(now);
        for id in &confirmed {
            if let Some(entry) = Arc::make_mut(&mut self.table).get_mut(id) {
                entry.unverified = false;
            }
        }
        if !confirmed.is_empty() {
            self.rebuild_indexes();
        }
        !confirmed.is_empty()
    }

    fn put(&mut self, now: Time, entry: TargetEntry, fresh: Freshness) -> bool {
        self.expired.remove(&entry.id);
        let Some(entry) = self.merge_report(now, entry, fresh) else {
            return false;
        };
        self.history.note_verification(now, &entry);
        Arc::make_mut(&mut self.table).insert(entry.id.clone(), entry.clone()) != Some(entry)
    }

    fn remove(&mut self, now: Time, id: &str) -> bool {
        let Some(entry) = Arc::make_mut(&mut self.table).remove(id) else {
            return false;
        };
        self.history.record_removed(now, &entry);
        true
    }

    /// The entry to list for a target after a report: the report with what this node knows in addition,
    /// or the known entry if that is newer; `None` if the target has been removed and the report is
    /// older than that.
    fn merge_report(&mut self, now: Time, mut report: TargetEntry, fresh: Freshness) -> Option<TargetEntry> {
        let known = self.table.get(&report.id);
        if let Some(known) = known
            && self.history.prefers_known(known, &report, fresh)
        {
            return Some(known.clone());
        }
        if fresh == Freshness::Restored && known.is_none() {
            report.unverified |= self.history.is_removed_target(&report);
        }
        if let Some(known) = known
            .filter(|known| report.unverified && !known.unverified && report.incarnation == known.incarnation)
        {
            // Another node had recorded the target as removed, but the source has listed it here since.
            return Some(known.clone());
        }
        let last = known
            .map(|known| (known.incarnation, known.sequence))
            .or_else(|| self.history.last_report(now, &report.id));
        // A target that has reported its incarnation once always does.
        let incarnation_missing = report.incarnation == TargetIncarnation(0)
            && last.is_some_and(|(incarnation, _)| incarnation != TargetIncarnation(0));
        if (report.unreadable || incarnation_missing)
            && let Some(known) = known
        {
            let mut known = known.clone();
            known.unreadable = true;
            return Some(known);
        }
        if let Some(last) = last
            && report.is_older(last)
        {
            let outdated = OutdatedReport {
                incarnation: report.incarnation_id(),
                sequence: report.sequence,
                known: last.1,
                undoes_leaving: !report.leaving
                    && known.is_some_and(|known| known.leaving && known.incarnation == report.incarnation),
                id: report.id,
            };
            let known = known.cloned();
            self.outdated.push(outdated);
            return known;
        }
        report.leaving |= self.history.has_reported_leaving(&report);
        report.evacuated = self.evacuated.contains(&report.zone);
        report.times = known.map(|known| known.times).unwrap_or_default();
        match last {
            Some((incarnation, _)) if incarnation == report.incarnation => {}
            Some(_) => {
                report.times.appeared_at = now;
                report.times.restarted_at = now;
            }
            None if fresh == Freshness::First => {}
            None => report.times.appeared_at = now,
        }
        let same_report = known.is_some_and(|known| {
            (known.incarnation, known.sequence, known.cold)
                == (report.incarnation, report.sequence, report.cold)
        });
        if report.cold == Span::ZERO {
            report.times.warm_at = Time(0);
        } else if !same_report {
            report.times.warm_at = now + report.cold;
        }
        Some(report)
    }

    /// Whether a missing entry is kept for a while, since it may have expired only while the source was
    /// unavailable.
    fn retains_missing(&mut self, now: Time, id: &str) -> bool {
        if now < self.grace_until {
            self.expired.entry(id.to_owned()).or_insert(self.grace_until);
        }
        self.expired.get(id).is_some_and(|until| now < *until)
    }

    fn changed(&mut self, changed: bool) -> bool {
        if changed {
            self.changed_at = self.at;
            self.rebuild_indexes();
        }
        changed
    }

    /// Rebuilds the indexes that are derived from the list, after each change of it.
    fn rebuild_indexes(&mut self) {
        self.generation += 1;
        self.zones = Arc::new(ForwardPlan::zones_by_address(&self.table));
        self.restarts = Arc::new(ForwardPlan::restarts_by_address(&self.table));
        self.services = Arc::new(service_targets(&self.table));
    }
}

/// The changes that turn one list into another.
fn changes_between(before: &TargetTable, after: &TargetTable) -> Vec<TargetChange> {
    let gone = before.keys().filter(|id| !after.contains_key(*id));
    let gone = gone.map(|id| TargetChange::Gone(id.clone()));
    let put = after
        .values()
        .filter(|entry| before.get(&entry.id) != Some(entry));
    let put = put.map(|entry| TargetChange::Put(entry.clone()));
    gone.chain(put).collect()
}
