//! Differences between two configurations, so that nodes exchange only what changed and not the whole
//! document.

use super::{CallerLimits, CatalogDocument, ForwardOrganisation, ForwardService, Route};
use crate::Revision;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of changes kept. At one change every 100 ms they cover the last six seconds.
const MAX_CHANGES: usize = 64;
/// Maximum number of routes, services and organisations in all changes kept. It limits their memory to that
/// of one large configuration.
const MAX_ENTRIES: usize = 4096;

/// The difference between two versions of one list of a configuration, with entries identified by name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct ListChange<T> {
    #[serde(rename = "put")]
    upserted: Vec<T>,
    #[serde(rename = "gone")]
    removed: Vec<String>,
}

impl<T: Clone + PartialEq> ListChange<T> {
    fn between(before: &[T], after: &[T], name: fn(&T) -> &str) -> Self {
        let old: BTreeMap<&str, &T> = before.iter().map(|entry| (name(entry), entry)).collect();
        let new: BTreeMap<&str, &T> = after.iter().map(|entry| (name(entry), entry)).collect();
        let differs = |entry: &&T| old.get(name(entry)) != Some(entry);
        let removed = old.keys().filter(|name| !new.contains_key(*name));
        Self {
            upserted: after.iter().filter(differs).cloned().collect(),
            removed: removed.map(|name| (*name).to_owned()).collect(),
        }
    }

    fn apply(self, entries: &mut Vec<T>, name: fn(&T) -> &str) {
        entries.retain(|entry| !self.removed.iter().any(|removed| removed == name(entry)));
        for new in self.upserted {
            match entries.iter_mut().find(|entry| name(entry) == name(&new)) {
                Some(entry) => *entry = new,
                None => entries.push(new),
            }
        }
    }

    fn entries(&self) -> usize {
        self.upserted.len() + self.removed.len()
    }
}

/// The difference between a version of the configuration and the version before it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CatalogChange {
    version: Revision,
    limits: CallerLimits,
    routes: ListChange<Route>,
    services: ListChange<ForwardService>,
    #[serde(rename = "holders")]
    organisations: ListChange<ForwardOrganisation>,
}

impl CatalogChange {
    /// The change that turns `before` into `after`. `None` when one of them has duplicate names, since
    /// entries are identified by name; the whole document has to be sent then.
    pub fn between(before: &CatalogDocument, after: &CatalogDocument) -> Option<Self> {
        if !has_unique_names(before) || !has_unique_names(after) {
            return None;
        }
        Some(Self {
            version: after.version,
            limits: after.limits,
            routes: ListChange::between(&before.routes, &after.routes, route_name),
            services: ListChange::between(&before.services, &after.services, service_name),
            organisations: ListChange::between(
                &before.organisations,
                &after.organisations,
                organisation_name,
            ),
        })
    }

    /// The version that results from the change.
    pub fn version(&self) -> Revision {
        self.version
    }

    /// Applies the change to `document`. The order of routes, services and organisations may differ from that
    /// of the original document; it has no effect as long as names are unique.
    pub fn apply(self, document: &mut CatalogDocument) {
        document.version = self.version;
        document.limits = self.limits;
        self.routes.apply(&mut document.routes, route_name);
        self.services.apply(&mut document.services, service_name);
        self.organisations
            .apply(&mut document.organisations, organisation_name);
    }

    fn entries(&self) -> usize {
        self.routes.entries() + self.services.entries() + self.organisations.entries()
    }
}

fn route_name(route: &Route) -> &str {
    &route.name
}

fn service_name(service: &ForwardService) -> &str {
    &service.name
}

fn organisation_name(organisation: &ForwardOrganisation) -> &str {
    &organisation.name
}

fn has_unique_names(document: &CatalogDocument) -> bool {
    fn unique<T>(entries: &[T], name: fn(&T) -> &str) -> bool {
        let names: std::collections::HashSet<&str> = entries.iter().map(name).collect();
        names.len() == entries.len()
    }
    unique(&document.routes, route_name)
        && unique(&document.services, service_name)
        && unique(&document.organisations, organisation_name)
}

/// The latest changes of the configuration, for nodes that have an older version.
#[derive(Clone, Debug, Default)]
pub struct CatalogLog {
    /// The oldest version that the changes can bring up to date.
    base_version: Revision,
    changes: VecDeque<CatalogChange>,
    /// Number of entries in all `changes`.
    entries: usize,
}

impl CatalogLog {
    /// Records that `after` has replaced `before`.
    pub fn record(&mut self, before: Option<&CatalogDocument>, after: &CatalogDocument) {
        let change = before.and_then(|before| CatalogChange::between(before, after));
        let Some(change) = change else {
            *self = Self {
                base_version: after.version,
                ..Self::default()
            };
            return;
        };
        self.entries += change.entries();
        self.changes.push_back(change);
        while self.changes.len() > MAX_CHANGES || self.entries > MAX_ENTRIES {
            let Some(oldest) = self.changes.pop_front() else {
                break;
            };
            self.entries -= oldest.entries();
            self.base_version = oldest.version;
        }
    }

    /// The changes from `version` to the newest version, oldest first; `None` when they are not kept.
    pub fn since(&self, version: Revision) -> Option<Vec<CatalogChange>> {
        let newer = self.changes.iter().filter(|change| change.version > version);
        let known =
            version == self.base_version || self.changes.iter().any(|change| change.version == version);
        known.then(|| newer.cloned().collect())
    }
}
