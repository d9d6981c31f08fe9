//! Messages between entry nodes. The regular ones are small, and their size does not grow with the fleet.

use crate::{ConfigDocument, Epoch, Fleet, Incarnation, LeaseRules, LeaseVote, NodeId, Revision, TargetId};
use serde::{Deserialize, Serialize};

/// An incarnation of a target that is shutting down.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeavingTarget {
    /// The target.
    pub target: TargetId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// A node's state, sent with every heartbeat and every reply.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Gossip {
    /// The node.
    pub from: NodeId,
    /// The node's incarnation.
    #[serde(rename = "run")]
    pub incarnation: Incarnation,
    /// The node's lease timing. Votes between nodes with different rules do not count.
    pub rules: LeaseRules,
    /// The node's epoch.
    pub epoch: Epoch,
    /// The revision of the configuration in force on the node.
    pub config: Revision,
    /// The revision of the node's fleet list.
    pub fleet: Revision,
    /// Milliseconds since the most recent read of the configuration service, by any node, that it knows of.
    #[serde(rename = "read_age")]
    pub read_age_ms: u32,
    /// Whether the node is stopping.
    pub stopping: bool,
    /// Where its configuration and fleet list can be fetched: IP address and port.
    pub bulk: String,
    /// Targets that it has learned to be leaving, each until the fleet list drops the target or has a newer
    /// incarnation of it.
    pub leaving: Vec<LeavingTarget>,
}

/// A peer's reply to a heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PeerReply {
    /// The peer's state.
    pub gossip: Gossip,
    /// The peer's vote for the lease of the requesting node.
    #[serde(rename = "word")]
    pub vote: LeaseVote,
}

/// What a node with an outdated configuration or fleet list fetches from a peer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The configuration without the parts that the requesting node already has; `None` if it is up to date.
    pub document: Option<ConfigDocument>,
    /// The fleet list; `None` if the requesting node's list is up to date.
    pub fleet: Option<Fleet>,
}
