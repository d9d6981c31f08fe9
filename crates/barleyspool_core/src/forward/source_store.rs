//! What the platform last said of configuration and targets, from it or by way of other nodes.

use super::{Catalog, CatalogDocument, CatalogFault, ForwardPlan, TargetEntry, TargetTable};
use crate::Revision;
use std::collections::HashMap;
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

/// The list of targets at one revision of the platform.
#[derive(Clone, Debug, Default)]
pub struct TargetStore {
    /// The list.
    pub table: Arc<TargetTable>,
    /// The zones of its targets, by address.
    pub zones: Arc<HashMap<String, String>>,
    /// The platform's revision that it stands at.
    pub at: Revision,
}

impl TargetStore {
    /// Takes a list that was read whole; false when it is older than what is known.
    pub fn replace(&mut self, at: Revision, table: TargetTable) -> bool {
        if at < self.at {
            return false;
        }
        self.at = at;
        let changed = *self.table != table;
        if changed {
            self.table = Arc::new(table);
            self.zones = Arc::new(ForwardPlan::zones_of(&self.table));
        }
        changed
    }

    /// Takes changes up to revision `at`; true when the list is another one afterwards.
    pub fn apply(&mut self, at: Revision, changes: Vec<TargetChange>) -> bool {
        self.at = self.at.max(at);
        let mut changed = false;
        let table = Arc::make_mut(&mut self.table);
        for change in changes {
            changed |= match change {
                TargetChange::Put(entry) => table.insert(entry.id.clone(), entry.clone()) != Some(entry),
                TargetChange::Gone(id) => table.remove(&id).is_some(),
            };
        }
        if changed {
            self.zones = Arc::new(ForwardPlan::zones_of(&self.table));
        }
        changed
    }
}
