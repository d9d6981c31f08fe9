//! The list of targets that the platform last told, itself or by way of other nodes.

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
    /// An entry is gone.
    Gone(String),
}

/// How long an entry that expired while the source was away is still reckoned with: a target that lives writes it
/// again within about this time (docs/PLATFORM.md).
pub const EXPIRY_GRACE: Span = Span::from_secs(2);

/// The list of targets at one revision of the platform.
#[derive(Clone, Debug, Default)]
pub struct TargetStore {
    /// The list.
    pub table: Arc<TargetTable>,
    /// The zones of its targets, by address.
    pub zones: Arc<HashMap<String, String>>,
    /// When targets that ran again under their id were seen to, by address; see [`ForwardPlan::is_result_lost`].
    pub restarts: Arc<HashMap<String, Time>>,
    /// The targets of each service, by its name.
    pub services: Arc<HashMap<String, ServiceTargets>>,
    /// The platform's revision that it stands at.
    pub at: Revision,
    /// The revision at which it last became another one. Others are told this one: what changes elsewhere on the
    /// platform raises the other, and would have them ask for a list that they have.
    pub changed_at: Revision,
    /// Entries that were missing when the source came back, and when they are taken as gone.
    pub expired: BTreeMap<String, Time>,
    /// Until when what goes may have expired while the source was away.
    grace_until: Time,
    /// The zones that are evacuated.
    evacuated: BTreeSet<String>,
    /// What is known of targets beside the list.
    history: TargetHistory,
    /// How it came to be, for nodes that know an older one.
    log: TargetLog,
}

/// Entries that are missing at the source and may come back, with the time that they still have. A node that tells
/// another of its list tells these too, since only it knows that the source was away.
pub type ExpiringEntries = Vec<(String, Span)>;

impl TargetStore {
    /// The source answers again after it was away.
    pub fn source_recovered(&mut self, now: Time) {
        self.grace_until = now + EXPIRY_GRACE;
    }

    /// Takes a list that was read whole; false when it is older than what is known.
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
        // The first list is told to others also when it is empty.
        let changed = first || *before != table;
        self.table = Arc::new(table);
        self.changed(changed)
    }

    /// Takes changes up to revision `at`; true when the list is another one afterwards.
    ///
    /// Changes up to an older revision than that of the list are part of it already. Taken again they would undo what
    /// came later by way of another node.
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

    /// Goes on to revision `at`. Returns how far reports of targets there can be relied on.
    ///
    /// When that is a revision of a later era the source has come back from a copy. What was written since the copy is missing there until it is written again.
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

    /// Takes which zones are evacuated; true when the list is another one afterwards. Targets of a zone that is opened
    /// again count as just begun: they may have turned cold shortly before, and their own word comes up to a heartbeat later.
    pub fn apply_evacuations(&mut self, now: Time, zones: &BTreeSet<String>) -> bool {
        self.evacuated.clone_from(zones);
        let wrong = |entry: &&TargetEntry| entry.evacuated != zones.contains(&entry.zone);
        let ids: Vec<String> = self
            .table
            .values()
            .filter(wrong)
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

    /// A run of a target has said in an answer that it leaves; true when that is new to the list. It is no change at the source, so
    /// other nodes have nothing to ask for.
    pub fn note_leaving(&mut self, now: Time, run: IncarnationId) -> bool {
        self.history.note_leaving(now, run, &self.table);
        let mut listed = self.table.values();
        let staying = listed.find(|entry| entry.incarnation_id() == run && !entry.leaving);
        let Some(id) = staying.map(|entry| entry.id.clone()) else {
            return false;
        };
        if let Some(entry) = Arc::make_mut(&mut self.table).get_mut(&id) {
            entry.leaving = true;
        }
        self.rebuild_indexes();
        true
    }

    /// What turns the list as it stood at `revision` into this one; `None` when that is not known any more.
    pub fn changes_since(&self, revision: Revision) -> Option<Vec<TargetChange>> {
        self.log.since(revision)
    }

    /// The entries that are missing at the source and may come back.
    pub fn expiring(&self, now: Time) -> ExpiringEntries {
        let left = |(id, until): (&String, &Time)| (id.clone(), until.since(now));
        self.expired.iter().map(left).collect()
    }

    /// Notes which entries of another node's list, which stands at `at`, are missing at the source. It comes before what
    /// that node told of its list.
    pub fn note_expiring(&mut self, now: Time, at: Revision, expiring: ExpiringEntries) {
        if at < self.at {
            // What has expired there may be back by what is known here.
            return;
        }
        for (id, left) in expiring {
            self.expired.entry(id).or_insert(now + left);
        }
    }

    /// Takes entries as gone whose time to come back is over; true when the list is another one afterwards.
    pub fn expire(&mut self, now: Time) -> bool {
        let over: Vec<String> = self
            .expired
            .iter()
            .filter(|(_, until)| now >= **until)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &over {
            self.expired.remove(id);
            self.remove(now, id);
        }
        let expired = self.changed(!over.is_empty());
        self.expire_unverified(now) || expired
    }

    /// Relies again on entries that came back and are still listed. Each node does so by itself, so others have nothing to ask for.
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

    /// What is to be listed of a target after a report of it: the report with what this node knows besides, or what was known
    /// when that is newer; `None` when the target is gone and the report an older one.
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
            // Another node knew it to be gone, but the source has listed it here since.
            return Some(known.clone());
        }
        let last = known
            .map(|known| (known.incarnation, known.sequence))
            .or_else(|| self.history.last_report(now, &report.id));
        // A target that ever told which start of it this is always does.
        let run_missing = report.incarnation == TargetIncarnation(0)
            && last.is_some_and(|(run, _)| run != TargetIncarnation(0));
        if (report.unreadable || run_missing)
            && let Some(known) = known
        {
            let mut known = known.clone();
            known.unreadable = true;
            return Some(known);
        }
        if last.is_some_and(|last| report.is_older(last)) {
            return known.cloned();
        }
        report.leaving |= self.history.has_reported_leaving(&report);
        report.evacuated = self.evacuated.contains(&report.zone);
        report.times = known.map(|known| known.times).unwrap_or_default();
        match last {
            Some((run, _)) if run == report.incarnation => {}
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

    /// Whether an entry that is missing now is kept for a while, because it may have expired.
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

    /// Works out what is looked up in the list, after a change of it.
    fn rebuild_indexes(&mut self) {
        self.zones = Arc::new(ForwardPlan::zones_by_address(&self.table));
        self.restarts = Arc::new(ForwardPlan::restarts_by_address(&self.table));
        self.services = Arc::new(service_targets(&self.table));
    }
}

/// What turns one list into another.
fn changes_between(before: &TargetTable, after: &TargetTable) -> Vec<TargetChange> {
    let gone = before.keys().filter(|id| !after.contains_key(*id));
    let gone = gone.map(|id| TargetChange::Gone(id.clone()));
    let put = after
        .values()
        .filter(|entry| before.get(&entry.id) != Some(entry));
    let put = put.map(|entry| TargetChange::Put(entry.clone()));
    gone.chain(put).collect()
}
