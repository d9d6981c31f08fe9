//! The configuration that the platform last told, itself or by way of other nodes.

use super::catalog_change::CatalogLog;
use super::{Catalog, CatalogChange, CatalogDocument, CatalogError};
use crate::Revision;
use std::sync::Arc;

/// What became of a configuration that was offered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OfferResult {
    /// It is in force now.
    Accepted,
    /// It is not newer than the one in force.
    Outdated,
    /// It is wrong; the one in force stays.
    Invalid(Vec<CatalogError>),
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
    pub fn offer(&mut self, document: CatalogDocument) -> OfferResult {
        if self.catalog.is_some() && document.version <= self.version() {
            return OfferResult::Outdated;
        }
        match Catalog::build(document) {
            Ok(catalog) => {
                let before = self.catalog.as_ref().map(|before| &before.document);
                self.log.note(before, &catalog.document);
                self.catalog = Some(Arc::new(catalog));
                OfferResult::Accepted
            }
            Err(errors) => OfferResult::Invalid(errors),
        }
    }

    /// The changes that lead from `version` to the one in force; `None` when they are not known.
    pub fn changes_since(&self, version: Revision) -> Option<Vec<CatalogChange>> {
        self.log.since(version)
    }

    /// Takes changes that lead from the version in force to a newer one.
    pub fn apply(&mut self, changes: Vec<CatalogChange>) -> OfferResult {
        let Some(catalog) = self.catalog.as_ref().filter(|_| !changes.is_empty()) else {
            return OfferResult::Outdated;
        };
        let mut document = catalog.document.clone();
        for change in changes {
            change.apply(&mut document);
        }
        self.offer(document)
    }
}
