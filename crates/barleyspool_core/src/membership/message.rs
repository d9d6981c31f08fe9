//! What nodes say to each other about who is there.

use super::{MemberFacts, MemberHealth, SourceState};
use crate::{CrashUpdate, Incarnation, LeavingUpdate, LimitUpdate};
use serde::{Deserialize, Serialize};

/// What one node knows of another, passed on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// What the node said of itself.
    pub facts: MemberFacts,
    /// Which run of it.
    pub incarnation: Incarnation,
    /// Which change of its facts.
    #[serde(rename = "change")]
    pub facts_version: u64,
    /// How it is.
    pub health: MemberHealth,
}

/// What a message wants.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MessageKind {
    /// Answer me.
    Probe {
        /// Repeated in the answer.
        number: u64,
    },
    /// Probe that node for me and pass its answer on.
    #[serde(rename = "ProbeFor")]
    IndirectProbe {
        /// Repeated in the answer.
        number: u64,
        /// The node's address.
        target: String,
    },
    /// An answer.
    #[serde(rename = "Answer")]
    Ack {
        /// The number of the probe.
        number: u64,
    },
    /// Tell me whom you know.
    Join {
        /// Marks of what the asking node knows already; that need not be told.
        known: Vec<u32>,
    },
    /// A part of the answer to that.
    #[serde(rename = "Share")]
    JoinReply {
        /// How many others the answering node knows.
        members: u32,
    },
    /// What targets have said of their limits.
    Limits {
        /// Their words.
        updates: Vec<LimitUpdate>,
    },
    /// Targets that have said in an answer that they leave.
    Leaving {
        /// Their runs.
        updates: Vec<LeavingUpdate>,
    },
    /// Nothing but the updates.
    Update,
    /// The sender reads the source, and this is how far.
    Announce,
}

/// A datagram between nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberMessage {
    /// What it wants.
    #[serde(rename = "question")]
    pub kind: MessageKind,
    /// How far the sender has read the source.
    pub source: SourceState,
    /// Updates, the sender's own first.
    pub updates: Vec<MemberUpdate>,
    /// Calls under which targets have ended. Left out when there are none, as nearly always: a node that reads the source
    /// announces that to its whole zone, and a byte in each message is 60 bytes a second at 410 nodes.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<CrashUpdate>,
}
