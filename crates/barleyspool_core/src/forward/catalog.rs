//! Configuration of forwarded calls: routes, services and API keys. A document is validated as a whole before
//! it is applied.

use super::ForwardService;
use crate::{Revision, Span};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap, HashSet};

/// How often a call may be executed.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// Idempotent: the call may be executed any number of times.
    Repeatable,
    /// Not idempotent: the call may be executed at most once.
    #[default]
    Unrepeatable,
    /// Executed at most once, with an event stream as its response. See [`Route::resumable`] for the
    /// exception.
    Streaming,
}

/// The share of a route's calls that one service receives.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TrafficShare {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the other shares of the route.
    pub weight: u32,
}

/// A preparatory stage, which must complete before the call itself is sent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StageSpec {
    /// Name of the pool service that runs the stage.
    pub service: String,
    /// Indexes (in [`Route::stages`]) of the stages whose results it needs.
    pub needs: Vec<usize>,
    /// Approximate size of the result of one piece, in bytes.
    pub bytes: u64,
}

/// How calls for one host and path prefix are served.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host name that a call must carry; compared without regard to ASCII case.
    pub host: String,
    /// Path prefix, which starts and ends with a slash.
    pub path: String,
    /// How often a call may be executed.
    pub kind: RouteKind,
    /// Maximum time that a call may take.
    pub timeout: Span,
    /// Latency objective: the time within which a call should be answered, or a stream should yield its first
    /// event.
    #[serde(rename = "aim")]
    pub objective: Span,
    /// Priority; 0 is the highest.
    pub rank: u8,
    /// The services that answer calls, with their weights.
    pub shares: Vec<TrafficShare>,
    /// Maximum number of targets to which one call may be sent.
    pub max_sends: u32,
    /// Stages that must complete before the call is sent.
    pub stages: Vec<StageSpec>,
    /// Whether calls are accepted without an API key.
    pub public: bool,
    /// Whether calls with the same prompt prefix should be routed to the same target.
    pub affinity: bool,
    /// Whether an interrupted stream may be resumed at another target after the last event that was
    /// delivered.
    pub resumable: bool,
}

impl Route {
    /// Whether a call may be sent again although an earlier attempt may have been executed.
    pub fn repeatable(&self) -> bool {
        self.kind == RouteKind::Repeatable || (self.kind == RouteKind::Streaming && self.resumable)
    }
}

/// Limits on the requests and connections of callers.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of the request line and headers, in bytes.
    #[serde(rename = "head_bytes")]
    pub max_header_bytes: usize,
    /// Maximum size of the body, in bytes.
    #[serde(rename = "body_bytes")]
    pub max_body_bytes: usize,
    /// Maximum time in which the headers must arrive.
    #[serde(rename = "head_time")]
    pub header_timeout: Span,
    /// Maximum time for which a connection may stay idle.
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

/// An organisation with its API keys.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardOrganisation {
    /// Name of the organisation.
    pub name: String,
    /// Its API keys.
    pub keys: Vec<String>,
    /// Its priority, which takes precedence over that of the route.
    pub rank: Option<u8>,
}

/// A complete configuration of forwarded calls, as read from the platform or received from another node.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CatalogDocument {
    /// Version set by the operator; it only increases.
    pub version: Revision,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<ForwardService>,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// The organisations. If there are none, calls need no API key.
    #[serde(rename = "holders")]
    pub organisations: Vec<ForwardOrganisation>,
}

/// An error in a configuration.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum CatalogError {
    /// route {route}: service "{service}" is not defined
    UndefinedService {
        /// Name of the route.
        route: String,
        /// Name of the service.
        service: String,
    },
    /// route {route}: no service is named
    NoService {
        /// Name of the route.
        route: String,
    },
    /// route {route}: path "{path}" does not start and end with a slash
    InvalidPath {
        /// Name of the route.
        route: String,
        /// Path prefix of the route.
        path: String,
    },
    /// route {route}: stage {stage} needs stage {needed}, which does not precede it
    StageOrder {
        /// Name of the route.
        route: String,
        /// Index of the stage.
        stage: usize,
        /// Index of the stage that it needs.
        needed: usize,
    },
    /// route {route}: stage {stage} names "{service}", which is not a stage pool
    NotAPool {
        /// Name of the route.
        route: String,
        /// Index of the stage.
        stage: usize,
        /// Name of the service.
        service: String,
    },
}

impl std::error::Error for CatalogError {}

/// A validated and indexed configuration.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// The document from which the catalog was built.
    pub document: CatalogDocument,
    routes_by_host: HashMap<String, Vec<usize>>,
    route_names: HashSet<String>,
    services_by_name: HashMap<String, usize>,
    organisations_by_key: HashMap<String, usize>,
    /// All priorities that a call can have, as (organisation, route), highest first.
    ranks: BTreeSet<(u8, u8)>,
}

impl Catalog {
    /// Validates and indexes `document`. The result depends on the document alone, so all nodes accept or
    /// reject it alike.
    ///
    /// # Errors
    /// Returns all errors of the document, not just the first.
    pub fn build(document: CatalogDocument) -> Result<Self, Vec<CatalogError>> {
        let services_by_name: HashMap<String, usize> = document
            .services
            .iter()
            .enumerate()
            .map(|(index, service)| (service.name.clone(), index))
            .collect();
        let pool = |name: &str| {
            services_by_name
                .get(name)
                .is_some_and(|index| document.services[*index].pool.is_some())
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
        for (index, route) in document.routes.iter().enumerate() {
            routes_by_host
                .entry(route.host.to_ascii_lowercase())
                .or_default()
                .push(index);
        }
        // The longest matching prefix wins, so longer prefixes are tried first.
        for indexes in routes_by_host.values_mut() {
            indexes.sort_by_key(|index| std::cmp::Reverse(document.routes[*index].path.len()));
        }
        let organisations_by_key = document
            .organisations
            .iter()
            .enumerate()
            .flat_map(|(index, organisation)| organisation.keys.iter().map(move |key| (key.clone(), index)))
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

    /// Version of the configuration.
    pub fn version(&self) -> Revision {
        self.document.version
    }

    /// The route for a call to `host` (with or without a port) and `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let indexes = match self.routes_by_host.get(host) {
            Some(indexes) => indexes,
            None => self.routes_by_host.get(&host.to_ascii_lowercase())?,
        };
        indexes
            .iter()
            .map(|index| &self.document.routes[*index])
            .find(|route| path.starts_with(&route.path))
    }

    /// Whether a route with this name exists.
    pub fn has_route(&self, name: &str) -> bool {
        self.route_names.contains(name)
    }

    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<&ForwardService> {
        let index = self.services_by_name.get(name)?;
        self.document.services.get(*index)
    }

    /// The organisation that owns an API key.
    pub fn organisation(&self, key: &str) -> Option<&ForwardOrganisation> {
        let index = self.organisations_by_key.get(key)?;
        self.document.organisations.get(*index)
    }

    /// The rank of a call among all priorities of the configuration; 0 is the highest. The priority of the
    /// organisation decides first; calls of equal organisation priority are ordered by the priority of their
    /// route.
    pub fn rank(&self, organisation: Option<&ForwardOrganisation>, route: &Route) -> u8 {
        let rank = rank_pair(organisation, route);
        let before = self.ranks.range(..rank).count();
        u8::try_from(before).unwrap_or(u8::MAX)
    }

    /// Whether calls need an API key, apart from those on public routes.
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
    // Only distinct priorities are combined, so many organisations and routes yield few pairs.
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
    for (index, stage) in route.stages.iter().enumerate() {
        if !pool(&stage.service) {
            errors.push(CatalogError::NotAPool {
                route: name(),
                stage: index,
                service: stage.service.clone(),
            });
        }
        for &needed in stage.needs.iter().filter(|needed| **needed >= index) {
            errors.push(CatalogError::StageOrder {
                route: name(),
                stage: index,
                needed,
            });
        }
    }
    errors
}
