//! What differs between two configurations, so that a change costs its own size and not that of the whole.

use super::{CallerLimits, CatalogDocument, ForwardOrganisation, ForwardService, Route};
use crate::Revision;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// The most changes that are kept: at one every 100 ms those of the last six seconds.
const MOST_CHANGES: usize = 64;
/// The most routes, services and organisations in them, so that a row of large changes costs memory of one large
/// configuration at the most.
const MOST_PARTS: usize = 4096;

/// What is new, different or gone in one named list of a configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct ListChange<T> {
    put: Vec<T>,
    gone: Vec<String>,
}

impl<T: Clone + PartialEq> ListChange<T> {
    fn between(before: &[T], after: &[T], name: fn(&T) -> &str) -> Self {
        let old: BTreeMap<&str, &T> = before.iter().map(|part| (name(part), part)).collect();
        let new: BTreeMap<&str, &T> = after.iter().map(|part| (name(part), part)).collect();
        let differs = |part: &&T| old.get(name(part)) != Some(part);
        let gone = old.keys().filter(|name| !new.contains_key(*name));
        Self {
            put: after.iter().filter(differs).cloned().collect(),
            gone: gone.map(|name| (*name).to_owned()).collect(),
        }
    }

    fn apply(self, parts: &mut Vec<T>, name: fn(&T) -> &str) {
        parts.retain(|part| !self.gone.iter().any(|gone| gone == name(part)));
        for new in self.put {
            match parts.iter_mut().find(|part| name(part) == name(&new)) {
                Some(part) => *part = new,
                None => parts.push(new),
            }
        }
    }

    fn parts(&self) -> usize {
        self.put.len() + self.gone.len()
    }
}

/// What a version of the configuration changes in the one before it.
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
    /// What turns `before` into `after`; `None` when names stand twice, so that nothing less than the whole tells it.
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

    /// The version that it leads to.
    pub fn version(&self) -> Revision {
        self.version
    }

    /// Makes the change. The order of routes, services and organisations may be another one than in the original,
    /// which no decision looks at while names are unique.
    pub fn apply(self, document: &mut CatalogDocument) {
        document.version = self.version;
        document.limits = self.limits;
        self.routes.apply(&mut document.routes, route_name);
        self.services.apply(&mut document.services, service_name);
        self.organisations
            .apply(&mut document.organisations, organisation_name);
    }

    fn parts(&self) -> usize {
        self.routes.parts() + self.services.parts() + self.organisations.parts()
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
    fn unique<T>(parts: &[T], name: fn(&T) -> &str) -> bool {
        let names: std::collections::HashSet<&str> = parts.iter().map(name).collect();
        names.len() == parts.len()
    }
    unique(&document.routes, route_name)
        && unique(&document.services, service_name)
        && unique(&document.organisations, organisation_name)
}

/// The last changes of the configuration, for nodes that have an older version.
#[derive(Clone, Debug, Default)]
pub struct CatalogLog {
    /// The oldest version from which the changes lead to the newest one.
    from: Revision,
    changes: VecDeque<CatalogChange>,
    parts: usize,
}

impl CatalogLog {
    /// Notes that `after` came into force, and what was in force before.
    pub fn note(&mut self, before: Option<&CatalogDocument>, after: &CatalogDocument) {
        let change = before.and_then(|before| CatalogChange::between(before, after));
        let Some(change) = change else {
            *self = Self {
                from: after.version,
                ..Self::default()
            };
            return;
        };
        self.parts += change.parts();
        self.changes.push_back(change);
        while self.changes.len() > MOST_CHANGES || self.parts > MOST_PARTS {
            let Some(oldest) = self.changes.pop_front() else {
                break;
            };
            self.parts -= oldest.parts();
            self.from = oldest.version;
        }
    }

    /// The changes that lead from `version` to the newest one, oldest first; `None` when they are not known.
    pub fn since(&self, version: Revision) -> Option<Vec<CatalogChange>> {
        let newer = self.changes.iter().filter(|change| change.version > version);
        let known = version == self.from || self.changes.iter().any(|change| change.version == version);
        known.then(|| newer.cloned().collect())
    }
}
