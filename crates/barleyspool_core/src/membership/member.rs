//! A node as recorded in the membership tables of the others.

use crate::{Incarnation, Revision, Time};
use serde::{Deserialize, Serialize};

/// The health of a node. The order matters: of two updates with the same incarnation and facts version, the
/// greater health wins, except that an update from the node itself wins with a lower one too.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberHealth {
    /// Responds to probes.
    #[default]
    Alive,
    /// Did not respond to the latest probes, and may still refute the suspicion.
    Suspect,
    /// Has started a planned stop.
    Leaving,
    /// Did not refute a suspicion in time.
    Dead,
}

/// The evidence on which a change of health is based.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// A message or an ack from the node itself.
    Answer,
    /// The node did not respond to the node that holds this table, or did not refute a suspicion in time.
    Silence,
    /// An update that another node passed on.
    Gossip,
}

/// The facts that a node publishes about itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberFacts {
    /// IP address and UDP port for membership messages. Identifies the node.
    pub address: String,
    /// Address for callers.
    #[serde(rename = "callers")]
    pub caller_address: String,
    /// Address at which other nodes place pieces (the units of work that are batched into the calls to a
    /// stage pool) and fetch stage results.
    #[serde(rename = "peers")]
    pub peer_address: String,
    /// The availability zone of the node.
    pub zone: String,
    /// Whether the node accepts calls.
    pub serving: bool,
    /// Bandwidth of its link in Mbit/s. Nodes with a fast link read the source on behalf of others.
    pub link_mbps: u32,
}

/// How far a node has read the source: the platform, from which nodes read the configuration, the list of
/// targets and the evacuated zones.
///
/// Each node sends only its own state, with every message. If it were gossiped, every configuration would
/// cause an update about every node, and these would delay updates about deaths and planned stops: with ten
/// configurations a second the median node of 86 would receive a death after 13.7 s instead of 1.6 s.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SourceState {
    /// The version of its configuration.
    pub version: Revision,
    /// The revision of the last change to its list of targets.
    pub list: Revision,
    /// The revision of the last change to the set of evacuated zones.
    pub evacuations: Revision,
    /// Whether requests of the node to the source fail.
    pub failing: bool,
}

impl SourceState {
    /// Combines two states: the newest revision of each part. It is failing only if both are.
    pub fn merge(self, other: Self) -> Self {
        Self {
            version: self.version.max(other.version),
            list: self.list.max(other.list),
            evacuations: self.evacuations.max(other.evacuations),
            failing: self.failing && other.failing,
        }
    }
}

/// A node in the membership table of another node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Member {
    /// The facts that it published last.
    pub facts: MemberFacts,
    /// Its incarnation, raised on each start and to refute a suspicion.
    pub incarnation: Incarnation,
    /// Version of its facts and planned stop within the incarnation.
    pub facts_version: u64,
    /// Its current health.
    pub health: MemberHealth,
    /// Hash of its address, for rendezvous hashing.
    pub key: u128,
    /// When its health last changed.
    pub health_since: Time,
    /// The source state in its latest message.
    pub source: SourceState,
    /// Whether this node has ever received a message or an ack from it directly.
    pub heard_directly: bool,
    /// Whether it announced a planned stop.
    pub left_gracefully: bool,
}
