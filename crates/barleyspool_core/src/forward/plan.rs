//! The state that the control thread publishes to the traffic thread for forwarded calls.

use super::{
    BrittleTable, Catalog, PoolShards, ServiceSet, ServiceTargets, Shard, TargetEntry, TargetTable,
    handle_address,
};
use crate::{LimitTable, Reachability, Time, rendezvous};
use std::collections::HashMap;
use std::sync::Arc;

/// A node as seen by the traffic thread.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberView {
    /// Identifier that stays the same while the node keeps its address.
    pub key: u64,
    /// IP address and port on which it accepts pieces.
    pub peer_address: String,
    /// Its availability zone.
    pub zone: String,
    /// The services of which it reaches no target.
    pub unreached: ServiceSet,
    /// The bandwidth of its link, in Mbit/s.
    pub link_mbps: u32,
}

/// Bandwidth from which a link carries the work of an owner, in Mbit/s. The owner of a pool sends the handles of all
/// inputs with each piece: 6,000 pieces a second with eight inputs each are 15 Mbit/s.
const OWNER_MBPS: u32 = 100;

/// The least share of the members with a fast link for which only those are owners. Fewer would be overloaded with the
/// work of all shards.
const MIN_FAST_SHARE: f64 = 0.02;

/// The member that owns the work of `service` with this key: the rendezvous choice among the members that reach
/// targets of the service and have a fast link. If there are none, the choice is among those that reach targets, then
/// among those with a fast link, then among all. `None` if there are no members.
pub fn owner_among<'a>(
    members: impl Iterator<Item = &'a MemberView> + Clone,
    service: &str,
    key: u128,
) -> Option<&'a MemberView> {
    let has_fast_link = |member: &MemberView| member.link_mbps >= OWNER_MBPS;
    let fast = members.clone().filter(|member| has_fast_link(member)).count();
    let prefers_fast = fast as f64 >= members.clone().count() as f64 * MIN_FAST_SHARE;
    let reaches = |member: &MemberView| !member.unreached.contains(service);
    let is_fast = |member: &MemberView| prefers_fast && has_fast_link(member);
    let suitability = |member: &MemberView| (reaches(member), is_fast(member));
    let best = members.clone().map(suitability).max()?;
    let suitable = members.clone().filter(|member| suitability(member) == best);
    let owner = rendezvous::pick(key, suitable.map(|member| member.key));
    members.into_iter().find(|member| Some(member.key) == owner)
}

/// The least share of the nodes that callers are sent to. A node without links has others send its calls, so it can take
/// part in the work for callers when only a few nodes have all links.
const MIN_NAMED_SHARE: f64 = 0.25;

/// Keeps the nodes that callers are sent to: those that reach targets of all services, or all nodes if those are too
/// few to serve all callers. `unreached` are the services of which a node reaches no target.
pub fn retain_named<T>(nodes: &mut Vec<T>, unreached: impl Fn(&T) -> ServiceSet) {
    let reaches_all = |node: &T| unreached(node).is_empty();
    let count = nodes.iter().filter(|node| reaches_all(node)).count();
    if count > 0 && count as f64 >= nodes.len() as f64 * MIN_NAMED_SHARE {
        nodes.retain(reaches_all);
    }
}

/// Everything that the traffic thread bases its decisions on. It is replaced as a whole.
#[derive(Clone, Debug, Default)]
pub struct ForwardPlan {
    /// When the control thread created it.
    pub created_at: Time,
    /// The current configuration; `None` before the first is received.
    pub catalog: Option<Arc<Catalog>>,
    /// Whether a whole target list has been received.
    pub listed: bool,
    /// The target list.
    pub targets: Arc<TargetTable>,
    /// Zones of the listed targets, by address; see [`ForwardPlan::zones_by_address`].
    pub zones: Arc<HashMap<String, String>>,
    /// When targets were seen to have restarted under the same id, by address; see
    /// [`ForwardPlan::is_result_lost`].
    pub restarts: Arc<HashMap<String, Time>>,
    /// Targets of each service, by service name; see [`super::service_targets`].
    pub services: Arc<HashMap<String, ServiceTargets>>,
    /// The nodes that serve calls, including this one, ordered by key.
    pub members: Arc<Vec<MemberView>>,
    /// This node's key.
    pub me: u64,
    /// The number of members that callers are sent to, which share the calls; see [`retain_named`].
    pub named: usize,
    /// Whether `members` most likely contains all nodes. A node that has just started knows only a few others
    /// and would claim pools that other nodes own.
    pub converged: bool,
    /// How many of the members this node can reach.
    pub reachability: Reachability,
    /// Rate limits reported by targets.
    pub limits: Arc<LimitTable>,
    /// The services whose targets report that they are brittle.
    pub brittle: Arc<BrittleTable>,
    /// When a planned stop ends the calls that are still in progress; `None` while no stop is requested.
    pub abort_at: Option<Time>,
}

impl ForwardPlan {
    /// Whether this node has the data that it needs to serve calls.
    pub fn is_complete(&self) -> bool {
        self.listed && self.catalog.is_some()
    }

    /// Zones of the listed targets, by address. The map is built once per list, so that looking up the holder
    /// of a result takes constant time.
    pub fn zones_by_address(targets: &TargetTable) -> HashMap<String, String> {
        let zone = |entry: &TargetEntry| (entry.address.clone(), entry.zone.clone());
        targets.values().map(zone).collect()
    }

    /// When targets were seen to have restarted under the same id, by address.
    pub fn restarts_by_address(targets: &TargetTable) -> HashMap<String, Time> {
        let restarted = targets
            .values()
            .filter(|entry| entry.times.restarted_at > Time(0));
        restarted
            .map(|entry| (entry.address.clone(), entry.times.restarted_at))
            .collect()
    }

    /// Whether a result that was received at `since` was lost by a restart of the target that holds it. A
    /// result that the new incarnation computed before this node learned of the restart also counts as lost
    /// and is computed again.
    pub fn is_result_lost(&self, handle: &str, since: Time) -> bool {
        let restarted = self.restarts.get(handle_address(handle));
        restarted.is_some_and(|restarted| since < *restarted)
    }

    /// Number of listed targets that have reported a rate limit.
    pub fn count_rate_limited(&self) -> usize {
        let reported = |entry: &&TargetEntry| self.limits.reported(entry.incarnation_id()).is_some();
        self.targets.values().filter(reported).count()
    }

    /// Number of targets of a service that accept work.
    pub fn count_working(&self, service: &str) -> usize {
        self.services.get(service).map_or(0, |targets| targets.working)
    }

    /// Whether any serving node reaches a target of a service, as far as this node knows.
    pub fn is_reached(&self, service: &str) -> bool {
        let reaches = |member: &MemberView| !member.unreached.contains(service);
        self.members.is_empty() || self.members.iter().any(reaches)
    }

    /// The shards of a pool; `None` when no target of it is listed.
    pub fn pool_shards(&self, service: &str) -> Option<&PoolShards> {
        self.services.get(service).map(|targets| &targets.pool)
    }

    /// The fraction of the targets of a service accepting work that are in a zone.
    pub fn zone_share(&self, service: &str, zone: &str) -> f64 {
        self.services
            .get(service)
            .map_or(0.0, |targets| targets.zone_share(zone))
    }

    /// Number of shards into which the engines of a service are split.
    pub fn engine_shards(&self, service: &str) -> u32 {
        self.services
            .get(service)
            .map_or(1, |targets| targets.engines.count())
    }

    /// The engine shard that handles the work of `key`.
    pub fn engine_shard(&self, service: &str, key: u128) -> Shard {
        let targets = self.services.get(service);
        targets.map_or(Shard::WHOLE, |targets| targets.engines.pick(key))
    }

    /// The zone of the target that holds a result.
    pub fn holder_zone(&self, handle: &str) -> Option<&str> {
        self.zones.get(handle_address(handle)).map(String::as_str)
    }

    /// Number of `handles` whose results are held outside `zone`.
    pub fn count_held_outside(&self, handles: &[String], zone: &str) -> usize {
        let outside = |handle: &&String| self.holder_zone(handle).is_some_and(|holder| holder != zone);
        handles.iter().filter(outside).count()
    }
}
