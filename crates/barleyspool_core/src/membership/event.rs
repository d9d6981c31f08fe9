//! Events and actions of a membership table.

use super::{Evidence, MemberHealth, MemberMessage, SourceState};
use crate::{CrashReport, IncarnationId, ServiceSet, StreamId, StreamRecord, Suspect, Time};

/// An event that the table handles.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberEvent {
    /// A message was received.
    Message {
        /// The address of the sender.
        from: String,
        /// The message.
        message: MemberMessage,
    },
    /// Time has passed.
    Tick,
    /// Whether this node accepts calls now.
    Serving(bool),
    /// How far this node has read the source.
    Source(SourceState),
    /// Announces the source state of this node to the nodes at these addresses.
    Announce(Vec<String>),
    /// A target crashed while it was processing a call.
    Crashed(CrashReport),
    /// A target has given a call with a suspect a complete answer.
    Answered {
        /// The suspect.
        suspect: Suspect,
        /// When.
        at: Time,
        /// How many such answers this node has had lately.
        count: u32,
    },
    /// An answer from a target reported its rate limit, or none.
    LimitReceived {
        /// The incarnation of the target.
        incarnation: IncarnationId,
        /// The limit in calls per second from all nodes together; `None` once there is no limit.
        per_s: Option<f64>,
    },
    /// An answer from a target reported that the target is leaving.
    TargetLeaves {
        /// The incarnation of the target.
        incarnation: IncarnationId,
    },
    /// An answer from a target of a service reported how many refusals in a second the targets bear.
    BrittleReported {
        /// The service.
        service: String,
        /// The refusals in a second; finite and not negative.
        refusals: f64,
    },
    /// The services of which this node reaches no target.
    Unreached(ServiceSet),
    /// This node relays a stream, which this version began.
    Stream(StreamRecord),
    /// A caller takes up a stream here. [`MemberAction::StreamFound`] or [`MemberAction::StreamUnknown`] follows, unless
    /// the nodes that were asked do not answer.
    FindStream(StreamId),
    /// A call needs to know whether the list of targets is current. [`MemberAction::ListsCompared`] follows once all nodes that are
    /// asked have answered, and [`super::Membership::take_list_check`] has the result.
    CompareLists(StreamId),
    /// A planned stop of this node begins.
    Leave,
    /// The settings have new seeds.
    Seeds(Vec<String>),
}

/// An action for the caller of [`super::Membership::step`].
#[derive(Clone, Debug, PartialEq)]
pub enum MemberAction {
    /// Send a datagram.
    Send {
        /// The address of the receiver.
        to: String,
        /// The message.
        message: MemberMessage,
    },
    /// Another node reads the source and announced its state, or has read something newer than this node.
    SourceReported {
        /// The source state of that node.
        source: SourceState,
        /// Whether that node reads the source.
        reads: bool,
    },
    /// What all nodes know of a suspect of crashes has changed: it may be blocked now, or not any more.
    BlockedCallsChanged,
    /// A target has reported in an answer, to this node or to another, that it is leaving.
    TargetLeaves {
        /// The incarnation of the target.
        incarnation: IncarnationId,
    },
    /// The known rate limits of targets have changed.
    LimitsChanged,
    /// The known services with brittle targets have changed, or a report of one was renewed.
    BrittleChanged,
    /// The services that a node, possibly this one, does not reach have changed.
    ReachChanged,
    /// What is known of a stream that was looked for.
    StreamFound(StreamRecord),
    /// No node that was asked for a stream knows it.
    StreamUnknown(StreamId),
    /// All nodes that were asked for a call have answered with the revisions of their lists.
    ListsCompared(StreamId),
    /// The number of nodes that this one reaches has changed.
    ReachabilityChanged,
    /// A node joined, or its health or whether it serves has changed.
    Changed {
        /// The address of the node.
        address: String,
        /// Its health now.
        health: MemberHealth,
        /// The evidence for it.
        evidence: Evidence,
    },
}

/// Counts that show operators how well updates propagate.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberCounts {
    /// Nodes with an update that is still to be passed on.
    pub queued_updates: usize,
    /// Suspicions and deaths that were ignored because the sender knew only older facts of the same
    /// incarnation.
    pub outdated_suspicions: u64,
}
