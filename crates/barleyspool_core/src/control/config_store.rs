//! The configuration in force. Its revision only increases, and an invalid document never replaces it.

use super::ControlCounters;
use crate::{Config, ConfigDocument, ConfigError, Guard, Guards, Revision};
use std::sync::Arc;

/// The configuration in force, and the errors of the last document that was rejected.
#[derive(Debug, Default)]
pub struct ConfigStore {
    guards: Guards,
    document: Option<ConfigDocument>,
    config: Option<Arc<Config>>,
    rejected: Option<(Revision, Vec<ConfigError>)>,
}

impl ConfigStore {
    /// Creates a store without a configuration.
    pub fn new(guards: Guards) -> Self {
        Self {
            guards,
            ..Self::default()
        }
    }
    /// Checks a complete document and puts it in force if it is newer and valid; returns whether it did.
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

    /// The revision that was rejected last; zero when none was.
    pub fn rejected_revision(&self) -> Revision {
        self.rejected
            .as_ref()
            .map_or(Revision(0), |(revision, _)| *revision)
    }

    /// The errors of the last document that was rejected; empty when none was.
    pub fn errors(&self) -> &[ConfigError] {
        self.rejected.as_ref().map_or(&[], |(_, errors)| errors)
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// The document in force, from which peers at an older revision are updated.
    pub fn document(&self) -> Option<&ConfigDocument> {
        self.document.as_ref()
    }
}
