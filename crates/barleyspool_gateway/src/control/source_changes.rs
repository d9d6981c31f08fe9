//! Applies configurations, evacuated zones and target changes, read from the source or received from another
//! node.

use super::state::{ControlState, Origin};
use crate::adapters::{Feed, SourceChange};
use crate::event_log::LogEvent;
use barleyspool_core::{
    CatalogChange, CatalogDocument, CatalogStore, Evacuations, ExpiringEntries, IncarnationId, MemberEvent,
    OfferResult, Revision, TargetChange, TargetCounts, TargetEntry, TargetTable,
};
use std::collections::BTreeSet;

impl ControlState {
    /// Applies a configuration if it is valid and newer than the current one. Returns whether it was applied.
    pub fn offer_configuration(&self, document: CatalogDocument, origin: Origin) -> bool {
        let version = document.version;
        self.apply_configuration(version, origin, |catalogs| catalogs.offer(document))
    }

    /// Applies configuration changes from another node if they start from the current version, and are valid. Returns whether
    /// they were applied.
    pub fn offer_configuration_changes(
        &self,
        base: Revision,
        changes: Vec<CatalogChange>,
        origin: Origin,
    ) -> bool {
        let version = changes.last().map(CatalogChange::version).unwrap_or_default();
        self.apply_configuration(version, origin, |catalogs| catalogs.apply(base, changes))
    }

    fn apply_configuration(
        &self,
        version: Revision,
        origin: Origin,
        apply: impl FnOnce(&mut CatalogStore) -> OfferResult,
    ) -> bool {
        let previous = self.catalogs.borrow().version().0;
        let result = apply(&mut self.catalogs.borrow_mut());
        let accepted = result == OfferResult::Accepted;
        let (version, origin_name) = (version.0, origin.name());
        match result {
            OfferResult::Accepted => {
                let event = LogEvent::ConfigurationApplied {
                    version,
                    previous,
                    from: origin_name,
                    behind_ms: self.behind_ms(),
                };
                self.log.write(self.now(), &event);
                self.publish_plan();
                self.source_state_changed(origin == Origin::Source);
            }
            OfferResult::Outdated => {}
            OfferResult::Invalid(errors) => {
                let cause = errors.first().map(ToString::to_string).unwrap_or_default();
                let event = LogEvent::ConfigurationRejected {
                    version,
                    cause: &cause,
                    from: origin_name,
                };
                self.log.write(self.now(), &event);
            }
        }
        accepted
    }

    /// Applies a full target list. Returns whether the list changed.
    pub fn replace_targets(&self, revision: Revision, table: TargetTable, origin: Origin) -> bool {
        let is_first = !self.has_target_list.replace(true);
        self.log_era_change(revision, origin);
        let changed = self.targets.borrow_mut().replace(self.now(), revision, table);
        self.report_outdated(origin);
        if changed || is_first {
            self.targets_changed(origin);
        }
        changed
    }

    /// Applies changes of the target list. Returns whether the list changed.
    pub fn apply_targets(&self, revision: Revision, changes: Vec<TargetChange>, origin: Origin) -> bool {
        self.log_era_change(revision, origin);
        let changed = self.targets.borrow_mut().apply(self.now(), revision, changes);
        self.report_outdated(origin);
        if changed {
            self.targets_changed(origin);
        }
        changed
    }

    /// Applies changes of the target list from another node if they start from the current list. Returns whether the list
    /// changed.
    pub fn apply_target_difference(
        &self,
        base: Revision,
        revision: Revision,
        changes: Vec<TargetChange>,
        origin: Origin,
    ) -> bool {
        self.targets.borrow().is_unchanged_since(base) && self.apply_targets(revision, changes, origin)
    }

    /// Logs the reports of the source that were ignored as outdated, and notifies other nodes of targets that leave although the
    /// source lists them as staying: a node that starts now cannot know it.
    fn report_outdated(&self, origin: Origin) {
        let outdated = self.targets.borrow_mut().take_outdated();
        if origin != Origin::Source {
            // A difference may begin with reports that this node already has.
            return;
        }
        for report in outdated {
            let event = LogEvent::ReportOutdated {
                target: &report.id,
                sequence: report.sequence,
                known: report.known,
                undoes_leaving: report.undoes_leaving,
            };
            self.log.write(self.now(), &event);
            if report.undoes_leaving {
                let incarnation = report.incarnation;
                self.step_members(MemberEvent::TargetLeaves { incarnation });
            }
        }
    }

    /// Logs when the target list is about to advance to a later era: the source was restored from a backup.
    fn log_era_change(&self, revision: Revision, origin: Origin) {
        let previous = self.targets.borrow().at;
        if previous == Revision(0) || revision.era() <= previous.era() {
            return;
        }
        let event = LogEvent::SourceRestored {
            era: revision.era(),
            revision: revision.number(),
            previous_revision: previous.number(),
            from: origin.name(),
        };
        self.log.write(self.now(), &event);
    }

    /// Records which entries of a list as of `revision` are missing at the source and may reappear.
    pub fn note_expiring(&self, revision: Revision, expiring: ExpiringEntries) {
        let now = self.now();
        self.targets.borrow_mut().note_expiring(now, revision, expiring);
    }

    /// Applies the complete set of evacuated zones as of `revision`.
    pub fn replace_evacuations(&self, revision: Revision, zones: BTreeSet<String>, origin: Origin) {
        let changed = self.evacuations.borrow_mut().replace(self.now(), revision, zones);
        if changed {
            self.evacuations_changed(origin);
        }
    }

    /// Merges the evacuated zones that another node knows.
    pub fn merge_evacuations(&self, evacuations: Evacuations, origin: Origin) {
        let changed = self.evacuations.borrow_mut().merge(self.now(), evacuations);
        if changed {
            self.evacuations_changed(origin);
        }
    }

    /// Logs a change of the evacuated zones, applies it to the target list and publishes it.
    fn evacuations_changed(&self, origin: Origin) {
        let (zones, revision) = {
            let evacuations = self.evacuations.borrow();
            (evacuations.zones.clone(), evacuations.at)
        };
        let event = LogEvent::EvacuationsChanged {
            zones: &zones.iter().map(String::as_str).collect::<Vec<_>>().join(","),
            revision: revision.number(),
            from: origin.name(),
            behind_ms: self.behind_ms(),
        };
        self.log.write(self.now(), &event);
        let changed = self.targets.borrow_mut().apply_evacuations(self.now(), &zones);
        if changed {
            self.targets_changed(origin);
        } else {
            self.source_state_changed(origin == Origin::Source);
        }
    }

    /// Applies changes from a watch of the source.
    pub fn apply_source_changes(&self, feed: Feed, revision: Revision, changes: Vec<SourceChange>) {
        let mut targets = Vec::new();
        let mut evacuations = Vec::new();
        let mut configurations = Vec::new();
        for change in changes {
            match change {
                SourceChange::Configuration(document) => configurations.push(document),
                SourceChange::Evacuation { zone, evacuated } => evacuations.push((zone, evacuated)),
                SourceChange::TargetUpserted(entry) => targets.push(TargetChange::Put(entry)),
                SourceChange::TargetRemoved(id) => targets.push(TargetChange::Gone(id)),
                SourceChange::TargetUnreadable { id, key, cause } => {
                    self.log_unreadable_target(&id, &key, &cause);
                    targets.push(TargetChange::Put(TargetEntry::unreadable(&id)));
                }
                SourceChange::Malformed { key, cause } => self.log_skipped_item(&key, &cause),
            }
        }
        // The revision applies only to the data of this feed; the other feed may be at another revision.
        match feed {
            Feed::Targets => {
                self.apply_targets(revision, targets, Origin::Source);
            }
            Feed::Configuration => {
                let changed = self.evacuations.borrow_mut().apply(revision, evacuations);
                if changed {
                    self.evacuations_changed(Origin::Source);
                }
                for document in configurations {
                    self.offer_configuration(*document, Origin::Source);
                }
            }
        }
    }

    /// Removes targets that expired during an outage of the source and did not reappear in time. After the
    /// source was restored from a backup, also reopens evacuated zones that it does not list, and marks
    /// targets that reappeared as verified, each after its waiting time.
    pub fn expire_targets(&self) {
        if self.evacuations.borrow_mut().expire(self.now()) {
            self.evacuations_changed(Origin::Expiry);
        }
        if self.targets.borrow_mut().expire(self.now()) {
            self.targets_changed(Origin::Expiry);
        }
    }

    /// Records target incarnations that have reported in answers that they are leaving.
    pub fn note_leaving(&self, incarnations: &[IncarnationId]) {
        let now = self.now();
        let mut targets = self.targets.borrow_mut();
        let changed_count = incarnations
            .iter()
            .filter(|incarnation| targets.note_leaving(now, **incarnation))
            .count();
        drop(targets);
        if changed_count > 0 {
            self.targets_changed(Origin::Answers);
        }
    }

    /// Logs a source item that cannot be read and is skipped.
    pub fn log_skipped_item(&self, key: &str, cause: &str) {
        self.log.write(self.now(), &LogEvent::ItemSkipped { key, cause });
    }

    /// Logs a target entry that cannot be read, unless the target list already marks it as unreadable.
    pub fn log_unreadable_target(&self, id: &str, key: &str, cause: &str) {
        let already_logged = |entry: &TargetEntry| entry.unreadable;
        if !self.targets.borrow().table.get(id).is_some_and(already_logged) {
            self.log_skipped_item(key, cause);
        }
    }

    /// Logs a change of the target list and publishes it to the traffic thread and to other nodes.
    fn targets_changed(&self, origin: Origin) {
        let (counts, revision) = {
            let store = self.targets.borrow();
            (TargetCounts::of(&store.table), store.at.number())
        };
        let event = LogEvent::TargetsChanged {
            listed: counts.listed,
            leaving: counts.leaving,
            evacuated: counts.evacuated,
            unreadable: counts.unreadable,
            restarted: counts.restarted,
            unverified: counts.unverified,
            revision,
            from: origin.name(),
            behind_ms: self.behind_ms(),
        };
        self.log.write(self.now(), &event);
        self.publish_plan();
        self.source_state_changed(origin == Origin::Source);
    }
}
