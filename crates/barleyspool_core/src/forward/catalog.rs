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
pub struct Share {
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
    pub shares: Vec<Share>,
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
    pub head_bytes: usize,
    /// Bytes of a call's body.
    pub body_bytes: usize,
    /// How long a head may take to arrive.
    pub head_time: Span,
    /// How long a connection may rest.
    pub idle_time: Span,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 << 20,
            head_time: Span::from_secs(3),
            idle_time: Span::from_secs(15),
        }
    }
}

/// An organisation with its keys.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyHolder {
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
    pub holders: Vec<KeyHolder>,
}

/// One thing that is wrong with a configuration.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum CatalogFault {
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
    BadPath {
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

impl std::error::Error for CatalogFault {}

/// A configuration that has been checked and indexed.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// What it was made of.
    pub document: CatalogDocument,
    routes_by_host: HashMap<String, Vec<usize>>,
    route_names: HashSet<String>,
    services_by_name: HashMap<String, usize>,
    holders_by_key: HashMap<String, usize>,
    /// The priorities that calls can have, the most important first: that of the organisation, then that of the route.
    ranks: BTreeSet<(u8, u8)>,
}

impl Catalog {
    /// Checks `document` whole and indexes it. The verdict depends on nothing else, so all nodes judge alike.
    ///
    /// # Errors
    /// Everything that is wrong, not just the first.
    pub fn accept(document: CatalogDocument) -> Result<Self, Vec<CatalogFault>> {
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
        let faults: Vec<CatalogFault> = document
            .routes
            .iter()
            .flat_map(|route| route_faults(route, &services_by_name, &pool))
            .collect();
        if !faults.is_empty() {
            return Err(faults);
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
        let holders_by_key = document
            .holders
            .iter()
            .enumerate()
            .flat_map(|(place, holder)| holder.keys.iter().map(move |key| (key.clone(), place)))
            .collect();
        let ranks = ranks(&document);
        let route_names = document.routes.iter().map(|route| route.name.clone()).collect();
        Ok(Self {
            document,
            routes_by_host,
            route_names,
            services_by_name,
            holders_by_key,
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
    pub fn holder(&self, key: &str) -> Option<&KeyHolder> {
        let place = self.holders_by_key.get(key)?;
        self.document.holders.get(*place)
    }

    /// The place of a call among all that the configuration knows; 0 is the most important. Organisations go before
    /// routes, and what one organisation sends is told apart by its routes.
    pub fn rank(&self, holder: Option<&KeyHolder>, route: &Route) -> u8 {
        let rank = rank_pair(holder, route);
        let before = self.ranks.range(..rank).count();
        u8::try_from(before).unwrap_or(u8::MAX)
    }

    /// Whether calls need a key at all.
    pub fn keyed(&self) -> bool {
        !self.document.holders.is_empty()
    }
}

fn rank_pair(holder: Option<&KeyHolder>, route: &Route) -> (u8, u8) {
    let first = holder.and_then(|holder| holder.rank).unwrap_or(route.rank);
    (first, route.rank)
}

fn ranks(document: &CatalogDocument) -> BTreeSet<(u8, u8)> {
    // Whether organisations have priorities does not depend on the route, so few pairs come of many of both.
    let holders: BTreeSet<Option<u8>> = document
        .holders
        .iter()
        .map(|holder| holder.rank)
        .chain([None])
        .collect();
    let routes: BTreeSet<u8> = document.routes.iter().map(|route| route.rank).collect();
    let pairs = |route: u8| {
        let first = move |holder: &Option<u8>| (holder.unwrap_or(route), route);
        holders.iter().map(first).collect::<Vec<_>>()
    };
    routes.into_iter().flat_map(pairs).collect()
}

fn route_faults(
    route: &Route,
    services: &HashMap<String, usize>,
    pool: &impl Fn(&str) -> bool,
) -> Vec<CatalogFault> {
    let name = || route.name.clone();
    let mut faults = Vec::new();
    if !route.path.starts_with('/') || !route.path.ends_with('/') {
        faults.push(CatalogFault::BadPath {
            route: name(),
            path: route.path.clone(),
        });
    }
    if route.shares.is_empty() {
        faults.push(CatalogFault::NoService { route: name() });
    }
    for share in &route.shares {
        if !services.contains_key(&share.service) {
            faults.push(CatalogFault::UndefinedService {
                route: name(),
                service: share.service.clone(),
            });
        }
    }
    for (place, stage) in route.stages.iter().enumerate() {
        if !pool(&stage.service) {
            faults.push(CatalogFault::NotAPool {
                route: name(),
                stage: place,
                service: stage.service.clone(),
            });
        }
        for &needed in stage.needs.iter().filter(|needed| **needed >= place) {
            faults.push(CatalogFault::StageOrder {
                route: name(),
                stage: place,
                needed,
            });
        }
    }
    faults
}
