//! What entry nodes say to each other: small, and the same size however large the fleet is.

use crate::{ConfigDocument, Epoch, Fleet, Incarnation, LeaseRules, LeaseVote, NodeId, Revision, TargetId};
use serde::{Deserialize, Serialize};

/// A run of a target that is on its way out.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeavingTarget {
    /// The target.
    pub target: TargetId,
    /// The run of it.
    pub incarnation: Incarnation,
}

/// What a node says of itself with every question and every reply.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Gossip {
    /// The node.
    pub from: NodeId,
    /// This run of it.
    pub run: Incarnation,
    /// The spans on which its lease rests; words between nodes with different ones do not count.
    pub rules: LeaseRules,
    /// Its epoch.
    pub epoch: Epoch,
    /// The configuration it has in force.
    pub config: Revision,
    /// The fleet list it has.
    pub fleet: Revision,
    /// Milliseconds since the youngest read of the configuration service that it knows of, by anybody.
    pub read_age: u32,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Where it can be fetched from: IP number and port.
    pub bulk: String,
    /// Targets that it knows to be leaving and that the list does not show so yet.
    pub leaving: Vec<LeavingTarget>,
}

/// The answer of a peer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PeerReply {
    /// What it says of itself.
    pub gossip: Gossip,
    /// Its vote for the lease of the asking node.
    #[serde(rename = "word")]
    pub vote: LeaseVote,
}

/// What a node that is behind fetches from a peer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The configuration, without the parts that the asking node has; `None` when it is not behind.
    pub document: Option<ConfigDocument>,
    /// The fleet list; `None` when it is not behind.
    pub fleet: Option<Fleet>,
}
