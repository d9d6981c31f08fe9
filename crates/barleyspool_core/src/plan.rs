//! The plan that the control thread publishes to the traffic threads: an immutable value that is replaced as a
//! whole.

use crate::{
    Config, Fleet, Incarnation, LeaseRules, LeaseView, ListState, NodeId, RequestKey, ServiceIx, Span,
    TargetId, Time, rendezvous,
};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Whether this node accepts requests.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub enum Serving {
    /// Not yet: it still waits for a configuration or for replies from its peers.
    #[default]
    CatchingUp,
    /// It accepts requests.
    Serving,
    /// A planned stop is in progress.
    Stopping,
}

/// A target that this node uses.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlanTarget {
    /// Its number.
    pub id: TargetId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// IP address and port.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is in this node's availability zone.
    pub same_zone: bool,
    /// Its service.
    pub service: ServiceIx,
    /// Number of calls that it processes concurrently.
    pub slots: u32,
    /// This node's share of the slots: the slots divided by the published number of nodes that use the target.
    pub share: f64,
    /// Whether it is leaving, according to any source: the fleet list, a peer or the target itself.
    pub leaving: bool,
    /// End of the cooldown that it requested from this node.
    pub cooldown_until: Time,
}

/// A cooldown that an incarnation of a target requested from this node in a refusal.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetCooldown {
    /// The target.
    pub target: TargetId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// End of the cooldown.
    pub until: Time,
}

/// An entry node of this node's region, which may be this node itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlanPeer {
    /// Its number.
    pub id: NodeId,
    /// Where callers connect.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is leaving, according to its own messages or the fleet list.
    pub state: ListState,
    /// False if it has sent messages before, but none recently. True for this node itself, and for a listed
    /// node that has sent nothing yet.
    pub reachable: bool,
    /// Whether it has lost its links to all targets.
    pub without_links: bool,
    /// Its bulk address, where it opens tunnels to targets; empty for this node itself and before its first message.
    pub bulk: String,
}

/// The state that a traffic thread acts on.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// When the control thread last refreshed this plan.
    pub refreshed_at: Time,
    /// Whether this node accepts requests.
    pub serving: Serving,
    /// The configuration in force; `None` until the first one is accepted.
    pub config: Option<Arc<Config>>,
    /// The fleet list.
    pub fleet: Arc<Fleet>,
    /// The targets that this node uses.
    pub targets: Arc<Vec<PlanTarget>>,
    /// The lease for unrepeatable requests.
    pub lease: LeaseView,
    /// The timing rules of the lease.
    pub rules: LeaseRules,
    /// The entry nodes of this region, including this node.
    pub peers: Arc<Vec<PlanPeer>>,
    /// This node.
    pub me: NodeId,
    /// This node's region.
    pub region: String,
}

/// Maximum number of addresses in a reply to `Ask`.
const MAX_ADDRESSES: usize = 6;

impl Plan {
    /// Whether the plan was refreshed within `age` before `now`, so that it may still be acted on.
    pub fn is_fresh(&self, now: Time, age: Span) -> bool {
        now.since(self.refreshed_at) <= age
    }

    /// The address of an entry node.
    pub fn address(&self, id: NodeId) -> Option<&str> {
        self.peers
            .iter()
            .find(|peer| peer.id == id)
            .map(|peer| peer.address.as_str())
    }

    /// The entry nodes that a caller in `zone` should use, best first.
    ///
    /// Leaving nodes are omitted, and so are nodes without links to targets unless all are such nodes. The home node of `key` is first, then reachable nodes, then nodes in the
    /// caller's zone. Remaining ties are broken by a hash of `spread`, which distributes callers over the
    /// nodes.
    pub fn addresses(&self, zone: &str, key: Option<RequestKey>, spread: u128) -> Vec<&PlanPeer> {
        let home = key.and_then(|key| self.fleet.home(&self.region, key));
        let mut peers: Vec<&PlanPeer> = self
            .peers
            .iter()
            .filter(|peer| peer.state == ListState::Live)
            .collect();
        if peers.iter().any(|peer| !peer.without_links) {
            peers.retain(|peer| !peer.without_links);
        }
        peers.sort_by_cached_key(|peer| {
            let last = rendezvous::order(spread, u64::from(peer.id.0));
            (Some(peer.id) != home, !peer.reachable, peer.zone != zone, last)
        });
        peers.truncate(MAX_ADDRESSES);
        peers
    }
}
