//! What the control thread hands to the traffic threads: one immutable value, replaced as a whole.

use crate::{
    Config, Fleet, Incarnation, LeaseRules, LeaseView, ListState, NodeId, RequestKey, ServiceIx, Span,
    TargetId, Time, rendezvous,
};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Whether this node takes requests.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub enum Serving {
    /// Not yet: it does not know enough.
    #[default]
    CatchingUp,
    /// It does.
    Serving,
    /// A planned stop is under way.
    Stopping,
}

/// A target that this node uses.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlanTarget {
    /// Its number.
    pub id: TargetId,
    /// Which run of it this is.
    pub incarnation: Incarnation,
    /// IP number and port.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is in this node's zone.
    pub near: bool,
    /// Its service.
    pub service: ServiceIx,
    /// How many calls it works on at once.
    pub slots: u32,
    /// This node's share of the slots, by the published number of nodes that use it.
    pub share: f64,
    /// Whether it is on its way out, by whatever source said so first.
    pub leaving: bool,
    /// Until when it wants nothing from this node.
    pub rest_until: Time,
}

/// A run of a target wants nothing from this node for a while, as it said in a refusal.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRest {
    /// The target.
    pub target: TargetId,
    /// Its run.
    pub incarnation: Incarnation,
    /// Until when.
    pub until: Time,
}

/// Another entry node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlanPeer {
    /// Its number.
    pub id: NodeId,
    /// Where callers connect.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Whether it said or the list says that it is leaving.
    pub state: ListState,
    /// Whether it answered lately, or is not expected to.
    pub reachable: bool,
}

/// Everything that a traffic thread acts on.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// When the control thread last vouched for this.
    pub made: Time,
    /// Whether this node takes requests.
    pub serving: Serving,
    /// The configuration in force; `None` before the first.
    pub config: Option<Arc<Config>>,
    /// The fleet list.
    pub fleet: Arc<Fleet>,
    /// The targets that this node uses.
    pub targets: Arc<Vec<PlanTarget>>,
    /// The lease for unrepeatable requests.
    pub lease: LeaseView,
    /// The spans on which the lease rests.
    pub rules: LeaseRules,
    /// The entry nodes of this region, this one included.
    pub peers: Arc<Vec<PlanPeer>>,
    /// This node.
    pub me: NodeId,
    /// This node's region.
    pub region: String,
}

/// The most addresses that one answer to `Ask` names.
const MAX_ADDRESSES: usize = 6;

impl Plan {
    /// Whether the control thread has vouched for this plan lately enough to act on it.
    pub fn fresh(&self, now: Time, age: Span) -> bool {
        now.since(self.made) <= age
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
    /// Nodes that are leaving are left out. The home of `key` comes first, then the caller's zone; within
    /// a zone, `spread` decides, so that callers do not all choose the same node.
    pub fn addresses(&self, zone: &str, key: Option<RequestKey>, spread: u128) -> Vec<&PlanPeer> {
        let home = key.and_then(|key| self.fleet.home(&self.region, key));
        let mut peers: Vec<&PlanPeer> = self
            .peers
            .iter()
            .filter(|peer| peer.state == ListState::Live)
            .collect();
        peers.sort_by_cached_key(|peer| {
            let last = rendezvous::place(spread, u64::from(peer.id.0));
            (Some(peer.id) != home, !peer.reachable, peer.zone != zone, last)
        });
        peers.truncate(MAX_ADDRESSES);
        peers
    }
}
