//! What a membership table is told, and what it wants done.

use super::{Evidence, MemberHealth, MemberMessage, SourceState};
use crate::{CallFingerprint, IncarnationId};

/// Something that happened to the table.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberEvent {
    /// A message came.
    Message {
        /// From which address.
        from: String,
        /// The message.
        message: MemberMessage,
    },
    /// Time has passed.
    Tick,
    /// Whether this node takes calls now.
    Serving(bool),
    /// How far this node has read the source.
    Source(SourceState),
    /// Tell these nodes how far this one has read the source.
    Announce(Vec<String>),
    /// A run of a target was seen to end while it had a call.
    Crashed {
        /// The call.
        fingerprint: CallFingerprint,
        /// The run.
        incarnation: IncarnationId,
    },
    /// An answer of a target said what it takes.
    LimitReceived {
        /// The run of the target.
        incarnation: IncarnationId,
        /// The calls a second that it takes from all nodes; `None` when it limits nothing any more.
        per_s: Option<f64>,
    },
    /// An answer of a target said that it leaves.
    TargetLeaves {
        /// The run of the target.
        incarnation: IncarnationId,
    },
    /// A planned stop begins.
    Leave,
    /// New seeds are in the settings.
    Seeds(Vec<String>),
}

/// What the table wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberAction {
    /// Send a datagram.
    Send {
        /// The address.
        to: String,
        /// The message.
        message: MemberMessage,
    },
    /// Another node reads the source and told how far, or has something that this one has not.
    SourceReported {
        /// What it told.
        source: SourceState,
        /// Whether it reads the source.
        reads: bool,
    },
    /// There is another call that gets no target for a while, or one that gets none for longer.
    BlockedCallsChanged,
    /// A target has said that it leaves, in an answer to this node or another one.
    TargetLeaves {
        /// The run of the target.
        incarnation: IncarnationId,
    },
    /// Targets take more or less than was known.
    LimitsChanged,
    /// More or fewer of the nodes are heard.
    ReachabilityChanged,
    /// Who is there, how they are, or whether they serve has changed.
    Changed {
        /// The node's address.
        address: String,
        /// How it is now.
        health: MemberHealth,
        /// What that rests on.
        evidence: Evidence,
    },
}

/// How well updates travel, for operators.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberCounts {
    /// Nodes whose updates are to be passed on.
    pub queued_updates: usize,
    /// Suspicions that were ignored because the teller knew older facts of the same run.
    pub outdated_suspicions: u64,
}
