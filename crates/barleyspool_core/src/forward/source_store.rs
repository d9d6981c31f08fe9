//! What the platform last said of configuration and targets, from it or by way of other nodes.

use super::catalog_change::CatalogLog;
use super::target_log::TargetLog;
use super::{
    Catalog, CatalogChange, CatalogDocument, CatalogFault, ForwardPlan, ServiceTargets, TargetEntry,
    TargetTable, service_targets,
};
use crate::{Revision, Span, Time};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// What became of a configuration that was offered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Offered {
    /// It is in force now.
    Accepted,
    /// It is not newer than the one in force.
    Old,
    /// It is wrong; the one in force stays.
    Bad(Vec<CatalogFault>),
}

/// The configuration in force. Its version only rises, whoever offers another.
#[derive(Clone, Debug, Default)]
pub struct CatalogStore {
    /// The configuration in force; `None` before the first.
    pub catalog: Option<Arc<Catalog>>,
    /// How it came to be, for nodes that have an older one.
    log: CatalogLog,
}

impl CatalogStore {
    /// The version in force; zero before the first.
    pub fn version(&self) -> Revision {
        self.catalog
            .as_ref()
            .map_or(Revision(0), |catalog| catalog.version())
    }

    /// Takes a configuration when it is newer and right.
    pub fn offer(&mut self, document: CatalogDocument) -> Offered {
        if self.catalog.is_some() && document.version <= self.version() {
            return Offered::Old;
        }
        match Catalog::accept(document) {
            Ok(catalog) => {
                let before = self.catalog.as_ref().map(|before| &before.document);
                self.log.note(before, &catalog.document);
                self.catalog = Some(Arc::new(catalog));
                Offered::Accepted
            }
            Err(faults) => Offered::Bad(faults),
        }
    }

    /// The changes that lead from `version` to the one in force; `None` when they are not known.
    pub fn changes_since(&self, version: Revision) -> Option<Vec<CatalogChange>> {
        self.log.since(version)
    }

    /// Takes changes that lead from the version in force to a newer one.
    pub fn apply(&mut self, changes: Vec<CatalogChange>) -> Offered {
        let Some(catalog) = self.catalog.as_ref().filter(|_| !changes.is_empty()) else {
            return Offered::Old;
        };
        let mut document = catalog.document.clone();
        for change in changes {
            change.apply(&mut document);
        }
        self.offer(document)
    }
}

/// One change of the target list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum TargetChange {
    /// An entry is new or different.
    Put(TargetEntry),
    /// An entry is gone.
    Gone(String),
}

/// How long an entry that lapsed while the source was away is still reckoned with: a target that lives writes it
/// again within about this time (docs/PLATFORM.md).
pub const LAPSE_GRACE: Span = Span::from_secs(2);

/// The list of targets at one revision of the platform.
#[derive(Clone, Debug, Default)]
pub struct TargetStore {
    /// The list.
    pub table: Arc<TargetTable>,
    /// The zones of its targets, by address.
    pub zones: Arc<HashMap<String, String>>,
    /// The targets of each service, by its name.
    pub services: Arc<HashMap<String, ServiceTargets>>,
    /// The platform's revision that it stands at.
    pub at: Revision,
    /// The revision at which it last became another one. Others are told this one: what changes elsewhere on the
    /// platform raises the other, and would have them ask for a list that they have.
    pub changed_at: Revision,
    /// Entries that were missing when the source came back, and when they are taken as gone.
    pub lapsed: BTreeMap<String, Time>,
    /// Until when what goes may have lapsed while the source was away.
    back_until: Time,
    /// How it came to be, for nodes that know an older one.
    log: TargetLog,
}

/// Entries that are missing at the source and may come back, with the time that they still have. A node that tells
/// another of its list tells these too, since only it knows that the source was away.
pub type Lapsing = Vec<(String, Span)>;

impl TargetStore {
    /// The source answers again after it was away.
    pub fn source_back(&mut self, now: Time) {
        self.back_until = now + LAPSE_GRACE;
    }

    /// Takes a list that was read whole; false when it is older than what is known.
    pub fn replace(&mut self, now: Time, at: Revision, mut table: TargetTable) -> bool {
        if at < self.at {
            return false;
        }
        let first = self.at == Revision(0);
        self.at = at;
        self.lapsed.retain(|id, _| !table.contains_key(id));
        let before = Arc::clone(&self.table);
        if first {
            self.log.restart(at);
        } else {
            self.log.note(at, differences(&before, &table));
        }
        for (id, entry) in before.iter() {
            if !table.contains_key(id) && self.keeps(now, id) {
                table.insert(id.clone(), entry.clone());
            }
        }
        let changed = *self.table != table;
        if changed {
            self.table = Arc::new(table);
        }
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
        self.at = at;
        self.log.note(at, changes.clone());
        let mut changed = false;
        for change in changes {
            changed |= match change {
                TargetChange::Put(entry) => self.put(entry),
                TargetChange::Gone(id) if self.table.contains_key(&id) && self.keeps(now, &id) => false,
                TargetChange::Gone(id) => Arc::make_mut(&mut self.table).remove(&id).is_some(),
            };
        }
        self.changed(changed)
    }

    /// What turns the list as it stood at `revision` into this one; `None` when that is not known any more.
    pub fn changes_since(&self, revision: Revision) -> Option<Vec<TargetChange>> {
        self.log.since(revision)
    }

    /// The entries that are missing at the source and may come back.
    pub fn lapsing(&self, now: Time) -> Lapsing {
        let left = |(id, until): (&String, &Time)| (id.clone(), until.since(now));
        self.lapsed.iter().map(left).collect()
    }

    /// Notes which entries of another node's list, which stands at `at`, are missing at the source. It comes before what
    /// that node told of its list.
    pub fn note_lapsing(&mut self, now: Time, at: Revision, lapsing: Lapsing) {
        if at < self.at {
            // What has lapsed there may be back by what is known here.
            return;
        }
        for (id, left) in lapsing {
            self.lapsed.entry(id).or_insert(now + left);
        }
    }

    /// Takes entries as gone whose time to come back is over; true when the list is another one afterwards.
    pub fn expire(&mut self, now: Time) -> bool {
        let over: Vec<String> = self
            .lapsed
            .iter()
            .filter(|(_, until)| now >= **until)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &over {
            self.lapsed.remove(id);
            Arc::make_mut(&mut self.table).remove(id);
        }
        self.changed(!over.is_empty())
    }

    fn put(&mut self, entry: TargetEntry) -> bool {
        self.lapsed.remove(&entry.id);
        Arc::make_mut(&mut self.table).insert(entry.id.clone(), entry.clone()) != Some(entry)
    }

    /// Whether an entry that is missing now is kept for a while, because it may have lapsed.
    fn keeps(&mut self, now: Time, id: &str) -> bool {
        if now < self.back_until {
            self.lapsed.entry(id.to_owned()).or_insert(self.back_until);
        }
        self.lapsed.get(id).is_some_and(|until| now < *until)
    }

    fn changed(&mut self, changed: bool) -> bool {
        if changed {
            self.changed_at = self.at;
            self.zones = Arc::new(ForwardPlan::zones_of(&self.table));
            self.services = Arc::new(service_targets(&self.table));
        }
        changed
    }
}

/// What turns one list into another.
fn differences(before: &TargetTable, after: &TargetTable) -> Vec<TargetChange> {
    let gone = before.keys().filter(|id| !after.contains_key(*id));
    let gone = gone.map(|id| TargetChange::Gone(id.clone()));
    let put = after
        .values()
        .filter(|entry| before.get(&entry.id) != Some(entry));
    let put = put.map(|entry| TargetChange::Put(entry.clone()));
    gone.chain(put).collect()
}
