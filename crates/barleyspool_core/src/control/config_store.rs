//! The configuration in force. Its revision only moves up, and a faulty one never replaces a good one.

use super::ControlCounters;
use crate::{Config, ConfigDocument, ConfigError, Guard, Guards, Revision};
use std::sync::Arc;

/// The configuration in force, and the last one that was rejected.
#[derive(Debug, Default)]
pub struct ConfigStore {
    guards: Guards,
    document: Option<ConfigDocument>,
    config: Option<Arc<Config>>,
    rejected: Option<(Revision, Vec<ConfigError>)>,
}

impl ConfigStore {
    /// A store with nothing in force.
    pub fn new(guards: Guards) -> Self {
        Self {
            guards,
            ..Self::default()
        }
    }
    /// Offers a whole document; true when it is now in force.
    pub fn offer(&mut self, document: &ConfigDocument, counters: &mut ControlCounters) -> bool {
        if document.revision <= self.revision() && self.guards.enforces(Guard::RevisionMonotonic) {
            counters.stale += u64::from(document.revision < self.revision());
            return false;
        }
        match Config::check_and_resolve(document, self.config.as_deref(), self.guards) {
            Ok(config) => {
                counters.accepted += 1;
                self.config = Some(Arc::new(config));
                self.document = Some(document.clone());
                true
            }
            Err(errors) => {
                counters.rejected += u64::from(document.revision > self.rejected_revision());
                self.rejected = Some((document.revision, errors));
                false
            }
        }
    }

    /// The revision in force; zero before the first.
    pub fn revision(&self) -> Revision {
        self.config.as_ref().map_or(Revision(0), |config| config.revision)
    }

    /// The last revision that was rejected; zero when none was.
    pub fn rejected_revision(&self) -> Revision {
        self.rejected
            .as_ref()
            .map_or(Revision(0), |(revision, _)| *revision)
    }

    /// What was wrong with it.
    pub fn errors(&self) -> &[ConfigError] {
        self.rejected.as_ref().map_or(&[], |(_, errors)| errors)
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// The document in force, for peers that are behind.
    pub fn document(&self) -> Option<&ConfigDocument> {
        self.document.as_ref()
    }
}
