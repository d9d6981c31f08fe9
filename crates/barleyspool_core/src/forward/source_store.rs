//! What the platform last said of configuration and targets, from it or by way of other nodes.

use super::{Catalog, CatalogDocument, CatalogFault, ForwardPlan, TargetEntry, TargetTable};
use crate::{Revision, Span, Time};
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
                self.catalog = Some(Arc::new(catalog));
                Offered::Accepted
            }
            Err(faults) => Offered::Bad(faults),
        }
    }
}

/// One change of the target list.
#[derive(Clone, Debug, PartialEq)]
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
    /// The platform's revision that it stands at.
    pub at: Revision,
    /// The revision at which it last became another one. Others are told this one: what changes elsewhere on the
    /// platform raises the other, and would have them ask for a list that they have.
    pub changed_at: Revision,
    /// Entries that were missing when the source came back, and when they are taken as gone.
    pub lapsed: BTreeMap<String, Time>,
    /// Until when what goes may have lapsed while the source was away.
    back_until: Time,
}

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
        self.at = at;
        self.lapsed.retain(|id, _| !table.contains_key(id));
        let before = Arc::clone(&self.table);
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
    pub fn apply(&mut self, now: Time, at: Revision, changes: Vec<TargetChange>) -> bool {
        self.at = self.at.max(at);
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
        }
        changed
    }
}
