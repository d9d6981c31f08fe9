//! Deterministic subsetting: which targets an entry node connects to.
//!
//! With 410 entry nodes and 720 targets, a full mesh of connections would exceed the budget for control
//! traffic. Each node uses a subset of the targets of each service and zone, chosen so that every target is
//! used by nearly the same number of nodes. See docs/DESIGN.md, "Target subsets".

use crate::{EntryNode, Fleet, ListState, NodeId, TargetNode, rendezvous};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Number of targets of each service that a node uses.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubsetSize {
    /// Targets in the node's own availability zone.
    #[serde(rename = "near")]
    pub same_zone: usize,
    /// Targets in each other availability zone of the region.
    #[serde(rename = "far")]
    pub other_zones: usize,
}

impl Default for SubsetSize {
    fn default() -> Self {
        Self {
            same_zone: 16,
            other_zones: 6,
        }
    }
}

/// The targets of `me`'s region that `me` should use.
///
/// The nodes are assigned consecutive sections of a shuffled sequence of the targets, with a new shuffle each
/// time the sequence is used up, so the numbers of nodes that use two targets of a zone differ by at most one.
pub fn subset<'a>(fleet: &'a Fleet, me: &EntryNode, size: SubsetSize) -> Vec<&'a TargetNode> {
    let mut pools: BTreeMap<(&str, &str), Vec<&TargetNode>> = BTreeMap::new();
    for target in fleet.targets.iter().filter(|target| target.region == me.region) {
        pools
            .entry((&target.service, &target.zone))
            .or_default()
            .push(target);
    }
    let mut chosen = Vec::new();
    for ((service, zone), mut pool) in pools {
        pool.sort_by_key(|target| target.id);
        let near = zone == me.zone;
        let nodes = sharing_nodes(fleet, me, zone, near);
        let Some(position) = nodes.iter().position(|node| *node == me.id) else {
            continue;
        };
        let want = if near { size.same_zone } else { size.other_zones };
        chosen.extend(assign(&pool, position, want, rendezvous::text_key(service)));
    }
    chosen
}

/// The entry nodes that share the targets of `zone` with `me`, in an order that all nodes agree on.
fn sharing_nodes(fleet: &Fleet, me: &EntryNode, zone: &str, near: bool) -> Vec<NodeId> {
    let same = |entry: &&EntryNode| entry.region == me.region && (entry.zone == zone) == near;
    let mut nodes: Vec<NodeId> = fleet.entries.iter().filter(same).map(|entry| entry.id).collect();
    if !nodes.contains(&me.id) {
        nodes.push(me.id);
    }
    nodes.sort_unstable();
    nodes
}

/// The `want` targets of `pool` that are assigned to the node at `position` in the node order.
fn assign<'a>(pool: &[&'a TargetNode], position: usize, want: usize, salt: u128) -> Vec<&'a TargetNode> {
    if want >= pool.len() {
        return pool.to_vec();
    }
    let mut assigned = Vec::new();
    let mut seen = BTreeSet::new();
    for nth in position * want..position * want + want {
        let round = (nth / pool.len()) as u128;
        let order = rendezvous::rank(
            salt ^ (round << 64),
            pool.iter().map(|target| u64::from(target.id.0)),
        );
        let id = order[nth % pool.len()];
        if seen.insert(id) {
            assigned.extend(pool.iter().find(|target| u64::from(target.id.0) == id));
        }
    }
    assigned
}

/// Number of entry nodes that share a target according to the fleet list; the target's slots are divided by it.
///
/// It counts the nodes that the list shows as live, whether they are reachable or not. Otherwise, in a
/// network partition, the nodes of each side would claim the whole target.
pub fn sharers(fleet: &Fleet, target: &TargetNode, size: SubsetSize) -> usize {
    let live = |entry: &&EntryNode| entry.region == target.region && entry.state == ListState::Live;
    let pool = |other: &&TargetNode| {
        other.region == target.region && other.service == target.service && other.zone == target.zone
    };
    let pool = fleet.targets.iter().filter(pool).count().max(1);
    let near = fleet
        .entries
        .iter()
        .filter(live)
        .filter(|entry| entry.zone == target.zone)
        .count();
    let far = fleet.entries.iter().filter(live).count() - near;
    let share = |nodes: usize, want: usize| (nodes * want.min(pool)).div_ceil(pool);
    (share(near, size.same_zone) + share(far, size.other_zones)).max(1)
}
