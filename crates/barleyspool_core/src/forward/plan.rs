//! What the control thread hands to the traffic thread for forwarded calls.

use super::{Catalog, PoolShards, ServiceTargets, Shard, TargetEntry, TargetTable, handle_address};
use crate::{LimitTable, Reachability, Time};
use std::collections::HashMap;
use std::sync::Arc;

/// Another node as the traffic thread sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberView {
    /// A number that stays the same while the node keeps its address.
    pub key: u64,
    /// Where it takes pieces: IP number and port.
    pub peer_address: String,
    /// Its zone.
    pub zone: String,
}

/// Everything that the traffic thread acts on, replaced as a whole.
#[derive(Clone, Debug, Default)]
pub struct ForwardPlan {
    /// When the control thread made it.
    pub made: Time,
    /// The configuration in force; `None` before the first.
    pub catalog: Option<Arc<Catalog>>,
    /// Whether the list of targets was ever taken whole.
    pub listed: bool,
    /// Listed targets.
    pub targets: Arc<TargetTable>,
    /// The zone of each listed target, by its address; see [`ForwardPlan::zones_by_address`].
    pub zones: Arc<HashMap<String, String>>,
    /// When targets that ran again under their id were seen to, by address; see [`ForwardPlan::is_result_lost`].
    pub restarts: Arc<HashMap<String, Time>>,
    /// The targets of each service, by its name; see [`super::service_targets`].
    pub services: Arc<HashMap<String, ServiceTargets>>,
    /// Nodes that serve, this one included, in the order of their keys.
    pub members: Arc<Vec<MemberView>>,
    /// This node's key.
    pub me: u64,
    /// Whether the nodes are likely to be all there are. A node that has just started knows a few at first and
    /// would take pools for its own that others own.
    pub converged: bool,
    /// How many of the nodes this one hears.
    pub reach: Reachability,
    /// What targets have said of their limits.
    pub limits: Arc<LimitTable>,
    /// When the last answers are given; `None` while no stop was asked for.
    pub abort_at: Option<Time>,
}

impl ForwardPlan {
    /// Whether enough is known to serve calls.
    pub fn is_complete(&self) -> bool {
        self.listed && self.catalog.is_some()
    }

    /// The zones of listed targets, by address. It is made once for each list, so that looking up the maker of a
    /// result costs the same however many targets there are.
    pub fn zones_by_address(targets: &TargetTable) -> HashMap<String, String> {
        let zone = |entry: &TargetEntry| (entry.address.clone(), entry.zone.clone());
        targets.values().map(zone).collect()
    }

    /// When targets that ran again under their id were seen to, by address.
    pub fn restarts_by_address(targets: &TargetTable) -> HashMap<String, Time> {
        let restarted = targets
            .values()
            .filter(|entry| entry.times.restarted_at > Time(0));
        restarted
            .map(|entry| (entry.address.clone(), entry.times.restarted_at))
            .collect()
    }

    /// Whether a result that was known at `since` went with the run of its maker. One that the new run made before this node
    /// heard of it counts as lost too, and is made again.
    pub fn is_result_lost(&self, handle: &str, since: Time) -> bool {
        let restarted = self.restarts.get(handle_address(handle));
        restarted.is_some_and(|restarted| since < *restarted)
    }

    /// How many listed targets name a limit.
    pub fn count_rate_limited(&self) -> usize {
        let named = |entry: &&TargetEntry| self.limits.reported(entry.incarnation_id()).is_some();
        self.targets.values().filter(named).count()
    }

    /// How many targets of a service may get work.
    pub fn count_working(&self, service: &str) -> usize {
        self.services.get(service).map_or(0, |targets| targets.working)
    }

    /// The shards of a pool; `None` when no target of it is listed.
    pub fn pool_shards(&self, service: &str) -> Option<&PoolShards> {
        self.services.get(service).map(|targets| &targets.pool)
    }

    /// The part of the working targets of a service that lies in a zone.
    pub fn zone_share(&self, service: &str, zone: &str) -> f64 {
        self.services
            .get(service)
            .map_or(0.0, |targets| targets.zone_share(zone))
    }

    /// Into how many shards the engines of a service are split.
    pub fn engine_shards(&self, service: &str) -> u32 {
        self.services
            .get(service)
            .map_or(1, |targets| targets.engines.count())
    }

    /// The shard of engines that takes the work of `key`.
    pub fn engine_shard(&self, service: &str, key: u128) -> Shard {
        let targets = self.services.get(service);
        targets.map_or(Shard::WHOLE, |targets| targets.engines.pick(key))
    }

    /// The zone of the target that made a result.
    pub fn holder_zone(&self, handle: &str) -> Option<&str> {
        self.zones.get(handle_address(handle)).map(String::as_str)
    }

    /// How many of some results were made outside `zone`.
    pub fn count_held_outside(&self, handles: &[String], zone: &str) -> usize {
        let far = |handle: &&String| self.holder_zone(handle).is_some_and(|maker| maker != zone);
        handles.iter().filter(far).count()
    }
}
