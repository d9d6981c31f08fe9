//! The newest configuration received from the platform, directly or through other nodes.

use super::catalog_change::CatalogLog;
use super::{Catalog, CatalogChange, CatalogDocument, CatalogError};
use crate::Revision;
use std::sync::Arc;

/// Result of offering a configuration to a [`CatalogStore`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OfferResult {
    /// The configuration was applied.
    Accepted,
    /// It is not newer than the current configuration.
    Outdated,
    /// It has errors; the current configuration is kept.
    Invalid(Vec<CatalogError>),
}

/// Holds the current configuration. Its version only increases, whichever node a configuration comes from.
#[derive(Clone, Debug, Default)]
pub struct CatalogStore {
    /// The current configuration; `None` before the first is received.
    pub catalog: Option<Arc<Catalog>>,
    /// The latest changes, for nodes that have an older version.
    log: CatalogLog,
}

impl CatalogStore {
    /// The current version; zero before the first configuration is received.
    pub fn version(&self) -> Revision {
        self.catalog
            .as_ref()
            .map_or(Revision(0), |catalog| catalog.version())
    }

    /// Applies a configuration if it is newer than the current one and has no errors.
    pub fn offer(&mut self, document: CatalogDocument) -> OfferResult {
        if self.catalog.is_some() && document.version <= self.version() {
            return OfferResult::Outdated;
        }
        match Catalog::build(document) {
            Ok(catalog) => {
                let before = self.catalog.as_ref().map(|before| &before.document);
                self.log.record(before, &catalog.document);
                self.catalog = Some(Arc::new(catalog));
                OfferResult::Accepted
            }
            Err(errors) => OfferResult::Invalid(errors),
        }
    }

    /// The changes from `version` to the current version; `None` when they are not kept.
    pub fn changes_since(&self, version: Revision) -> Option<Vec<CatalogChange>> {
        self.log.since(version)
    }

    /// Applies changes from version `base` to a newer one. They are outdated if another version has arrived
    /// meanwhile: applied to that, they would keep what it alone has, such as a key revoked since.
    pub fn apply(&mut self, base: Revision, changes: Vec<CatalogChange>) -> OfferResult {
        let current = self.catalog.as_ref().filter(|catalog| catalog.version() == base);
        let Some(catalog) = current.filter(|_| !changes.is_empty()) else {
            return OfferResult::Outdated;
        };
        let mut document = catalog.document.clone();
        for change in changes {
            change.apply(&mut document);
        }
        self.offer(document)
    }
}
