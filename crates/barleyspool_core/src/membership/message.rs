//! Membership messages between nodes.

use super::{BrittleUpdate, MemberFacts, MemberHealth, ReachUpdate, SourceState};
use crate::{CrashUpdate, Incarnation, LeavingUpdate, LimitUpdate, StreamId, StreamRecord};
use serde::{Deserialize, Serialize};

/// What a node knows about another node, or publishes about itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The facts that the node published.
    pub facts: MemberFacts,
    /// The incarnation of the node.
    pub incarnation: Incarnation,
    /// The version of the facts within the incarnation.
    #[serde(rename = "change")]
    pub facts_version: u64,
    /// The health of the node.
    pub health: MemberHealth,
}

/// The purpose of a message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MessageKind {
    /// Requests an ack.
    Probe {
        /// Probe number, repeated in the ack.
        number: u64,
    },
    /// Requests an indirect probe: the receiver probes the target and forwards its ack.
    #[serde(rename = "ProbeFor")]
    IndirectProbe {
        /// Probe number, repeated in the ack.
        number: u64,
        /// The address of the target node.
        target: String,
    },
    /// Acknowledges a probe.
    #[serde(rename = "Answer")]
    Ack {
        /// The number of the probe.
        number: u64,
    },
    /// Requests updates about the nodes that the sender does not know.
    Join {
        /// Digests of what the sender knows already, which the reply omits.
        known: Vec<u32>,
    },
    /// Part of the reply to a `Join`.
    #[serde(rename = "Share")]
    JoinReply {
        /// How many other nodes the sender knows.
        members: u32,
    },
    /// Rate limits that targets have reported.
    Limits {
        /// The limits.
        updates: Vec<LimitUpdate>,
    },
    /// Targets that have reported in an answer that they are leaving.
    Leaving {
        /// Their incarnations.
        updates: Vec<LeavingUpdate>,
    },
    /// The services whose targets nodes do not reach.
    Reach {
        /// The reports of these nodes.
        updates: Vec<ReachUpdate>,
    },
    /// The services whose targets report that they are brittle.
    Brittle {
        /// The reports.
        updates: Vec<BrittleUpdate>,
    },
    /// Streams that nodes relay, with the versions that began them.
    Streams {
        /// The streams.
        records: Vec<StreamRecord>,
    },
    /// Requests the version that began a stream.
    StreamQuery {
        /// The stream.
        stream: StreamId,
    },
    /// The reply to a `StreamQuery`.
    StreamAnswer {
        /// The stream.
        stream: StreamId,
        /// What the sender knows of it.
        record: Option<StreamRecord>,
    },
    /// Carries only updates.
    Update,
    /// The sender reads the source and announces its state.
    Announce,
}

/// A datagram between nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberMessage {
    /// The purpose of the message.
    #[serde(rename = "question")]
    pub kind: MessageKind,
    /// The source state of the sender.
    pub source: SourceState,
    /// Updates about nodes, with that of the sender itself first. Empty in an `Announce`.
    pub updates: Vec<MemberUpdate>,
    /// Suspects of crashes. Omitted when empty, which it nearly always is: a node that reads the
    /// source announces its state to its whole zone, where one more byte in each message costs 60 bytes a
    /// second with 410 nodes.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<CrashUpdate>,
}
