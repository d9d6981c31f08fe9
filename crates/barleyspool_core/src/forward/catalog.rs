//! Routes, services and keys for forwarded calls, checked whole before they are in force.

use super::ForwardService;
use crate::{Revision, Span};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap, HashSet};

/// Whether a call may run again.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// Any number of times.
    Repeatable,
    /// At most once.
    #[default]
    Unrepeatable,
    /// At most once, and the answer is a stream of events. See [`Route::resumable`].
    Streaming,
}

/// A service's share of a route.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TrafficShare {
    /// The service.
    pub service: String,
    /// Its weight among the shares of the route.
    pub weight: u32,
}

/// A stage that must be complete before the call itself can run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StageSpec {
    /// The pool that runs it.
    pub service: String,
    /// The stages whose results it needs, by their place in the route.
    pub needs: Vec<usize>,
    /// The approximate size of one piece's result, in bytes.
    pub bytes: u64,
}

/// How calls to one host and path prefix are served.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host that a call names.
    pub host: String,
    /// What the call's path begins with; it starts and ends with a slash.
    pub path: String,
    /// Whether a call may run again.
    pub kind: RouteKind,
    /// The longest time a call is held.
    pub timeout: Span,
    /// The time within which an answer is worth most; streams: their first event.
    #[serde(rename = "aim")]
    pub objective: Span,
    /// The priority; 0 is the most important.
    pub rank: u8,
    /// The services that answer, with their weights.
    pub shares: Vec<TrafficShare>,
    /// The most targets to which one call may be sent.
    pub max_sends: u32,
    /// What must be complete before the call runs.
    pub stages: Vec<StageSpec>,
    /// Whether no key is needed.
    pub public: bool,
    /// Whether calls that share a prefix should meet at the same target.
    pub affinity: bool,
    /// Whether a stream may go on at another target after its last event.
    pub resumable: bool,
}

impl Route {
    /// Whether a call may be sent again although it may have run.
    pub fn repeatable(&self) -> bool {
        self.kind == RouteKind::Repeatable || (self.kind == RouteKind::Streaming && self.resumable)
    }
}

/// Bounds on what a caller may send.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Bytes of a call's head.
    #[serde(rename = "head_bytes")]
    pub max_header_bytes: usize,
    /// Bytes of a call's body.
    #[serde(rename = "body_bytes")]
    pub max_body_bytes: usize,
    /// How long a head may take to arrive.
    #[serde(rename = "head_time")]
    pub header_timeout: Span,
    /// How long a connection may rest.
    #[serde(rename = "idle_time")]
    pub idle_timeout: Span,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 << 20,
            header_timeout: Span::from_secs(3),
            idle_timeout: Span::from_secs(15),
        }
    }
}

/// An organisation with its keys.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardOrganisation {
    /// The organisation.
    pub name: String,
    /// Its keys.
    pub keys: Vec<String>,
    /// Its priority, which goes before that of the route.
    pub rank: Option<u8>,
}

/// A whole configuration for forwarded calls, as read or relayed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CatalogDocument {
    /// The operator's version; it only rises.
    pub version: Revision,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<ForwardService>,
    /// Bounds on callers.
    pub limits: CallerLimits,
    /// Organisations; none at all means that no key is asked for.
    #[serde(rename = "holders")]
    pub organisations: Vec<ForwardOrganisation>,
}

/// One thing that is wrong with a configuration.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum CatalogError {
    /// route {route}: service "{service}" is not defined
    UndefinedService {
        /// The route.
        route: String,
        /// The service that it names.
        service: String,
    },
    /// route {route}: it names no service
    NoService {
        /// The route.
        route: String,
    },
    /// route {route}: path "{path}" does not start and end with a slash
    InvalidPath {
        /// The route.
        route: String,
        /// Its path.
        path: String,
    },
    /// route {route}: stage {stage} needs stage {needed}, which does not stand before it
    StageOrder {
        /// The route.
        route: String,
        /// The stage.
        stage: usize,
        /// What it needs.
        needed: usize,
    },
    /// route {route}: stage {stage} names "{service}", which is not a stage pool
    NotAPool {
        /// The route.
        route: String,
        /// The stage.
        stage: usize,
        /// The service that it names.
        service: String,
    },
}

impl std::error::Error for CatalogError {}

/// A configuration that has been checked and indexed.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// What it was made of.
    pub document: CatalogDocument,
    routes_by_host: HashMap<String, Vec<usize>>,
    route_names: HashSet<String>,
    services_by_name: HashMap<String, usize>,
    organisations_by_key: HashMap<String, usize>,
    /// The priorities that calls can have, the most important first: that of the organisation, then that of the route.
    ranks: BTreeSet<(u8, u8)>,
}

impl Catalog {
    /// Checks `document` whole and indexes it. The verdict depends on nothing else, so all nodes judge alike.
    ///
    /// # Errors
    /// Everything that is wrong, not just the first.
    pub fn build(document: CatalogDocument) -> Result<Self, Vec<CatalogError>> {
        let services_by_name: HashMap<String, usize> = document
            .services
            .iter()
            .enumerate()
            .map(|(place, service)| (service.name.clone(), place))
            .collect();
        let pool = |name: &str| {
            services_by_name
                .get(name)
                .is_some_and(|place| document.services[*place].pool.is_some())
        };
        let errors: Vec<CatalogError> = document
            .routes
            .iter()
            .flat_map(|route| route_errors(route, &services_by_name, &pool))
            .collect();
        if !errors.is_empty() {
            return Err(errors);
        }
        let mut routes_by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (place, route) in document.routes.iter().enumerate() {
            routes_by_host
                .entry(route.host.to_ascii_lowercase())
                .or_default()
                .push(place);
        }
        // The longest prefix wins, so it is tried first.
        for places in routes_by_host.values_mut() {
            places.sort_by_key(|place| std::cmp::Reverse(document.routes[*place].path.len()));
        }
        let organisations_by_key = document
            .organisations
            .iter()
            .enumerate()
            .flat_map(|(place, organisation)| organisation.keys.iter().map(move |key| (key.clone(), place)))
            .collect();
        let ranks = ranks(&document);
        let route_names = document.routes.iter().map(|route| route.name.clone()).collect();
        Ok(Self {
            document,
            routes_by_host,
            route_names,
            services_by_name,
            organisations_by_key,
            ranks,
        })
    }

    /// The version.
    pub fn version(&self) -> Revision {
        self.document.version
    }

    /// The route of a call.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let places = match self.routes_by_host.get(host) {
            Some(places) => places,
            None => self.routes_by_host.get(&host.to_ascii_lowercase())?,
        };
        places
            .iter()
            .map(|place| &self.document.routes[*place])
            .find(|route| path.starts_with(&route.path))
    }

    /// Whether there is a route of that name.
    pub fn has_route(&self, name: &str) -> bool {
        self.route_names.contains(name)
    }

    /// The service of that name.
    pub fn service(&self, name: &str) -> Option<&ForwardService> {
        let place = self.services_by_name.get(name)?;
        self.document.services.get(*place)
    }

    /// The organisation that holds a key.
    pub fn organisation(&self, key: &str) -> Option<&ForwardOrganisation> {
        let place = self.organisations_by_key.get(key)?;
        self.document.organisations.get(*place)
    }

    /// The place of a call among all that the configuration knows; 0 is the most important. Organisations go before
    /// routes, and what one organisation sends is told apart by its routes.
    pub fn rank(&self, organisation: Option<&ForwardOrganisation>, route: &Route) -> u8 {
        let rank = rank_pair(organisation, route);
        let before = self.ranks.range(..rank).count();
        u8::try_from(before).unwrap_or(u8::MAX)
    }

    /// Whether calls need a key at all.
    pub fn requires_key(&self) -> bool {
        !self.document.organisations.is_empty()
    }
}

fn rank_pair(organisation: Option<&ForwardOrganisation>, route: &Route) -> (u8, u8) {
    let first = organisation
        .and_then(|organisation| organisation.rank)
        .unwrap_or(route.rank);
    (first, route.rank)
}

fn ranks(document: &CatalogDocument) -> BTreeSet<(u8, u8)> {
    // Whether organisations have priorities does not depend on the route, so few pairs come of many of both.
    let organisations: BTreeSet<Option<u8>> = document
        .organisations
        .iter()
        .map(|organisation| organisation.rank)
        .chain([None])
        .collect();
    let routes: BTreeSet<u8> = document.routes.iter().map(|route| route.rank).collect();
    let pairs = |route: u8| {
        let first = move |organisation: &Option<u8>| (organisation.unwrap_or(route), route);
        organisations.iter().map(first).collect::<Vec<_>>()
    };
    routes.into_iter().flat_map(pairs).collect()
}

fn route_errors(
    route: &Route,
    services: &HashMap<String, usize>,
    pool: &impl Fn(&str) -> bool,
) -> Vec<CatalogError> {
    let name = || route.name.clone();
    let mut errors = Vec::new();
    if !route.path.starts_with('/') || !route.path.ends_with('/') {
        errors.push(CatalogError::InvalidPath {
            route: name(),
            path: route.path.clone(),
        });
    }
    if route.shares.is_empty() {
        errors.push(CatalogError::NoService { route: name() });
    }
    for share in &route.shares {
        if !services.contains_key(&share.service) {
            errors.push(CatalogError::UndefinedService {
                route: name(),
                service: share.service.clone(),
            });
        }
    }
    for (place, stage) in route.stages.iter().enumerate() {
        if !pool(&stage.service) {
            errors.push(CatalogError::NotAPool {
                route: name(),
                stage: place,
                service: stage.service.clone(),
            });
        }
        for &needed in stage.needs.iter().filter(|needed| **needed >= place) {
            errors.push(CatalogError::StageOrder {
                route: name(),
                stage: place,
                needed,
            });
        }
    }
    errors
}
