//! What goes into and comes out of a [`crate::Router`]: typed, and `serde`, so that a run can be recorded.

use crate::{
    AttemptEnd, AttemptId, Call, CallerId, Incarnation, LoadReport, NodeId, Outcome, ServiceIx,
    TargetCooldown, TargetId, Time,
};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Bytes that are shared and never change.
pub type Payload = Arc<[u8]>;

/// Names one send of one step of one request on one run of one node. An answer has to repeat it.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Echo {
    /// The node.
    pub node: NodeId,
    /// The run of the node.
    #[serde(rename = "run")]
    pub incarnation: Incarnation,
    /// The request, as the node numbers it.
    pub request: u64,
    /// The step.
    pub step: u8,
    /// The send.
    pub attempt: u32,
}

/// One send of a step to a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StepOrder {
    /// What the answer must name.
    pub echo: Echo,
    /// The target.
    pub target: TargetId,
    /// Its IP number and port.
    pub address: String,
    /// The service.
    pub service: ServiceIx,
    /// The model; empty for none.
    pub model: String,
    /// The input.
    pub input: Payload,
    /// What has come of the answer already; the target goes on after it.
    pub so_far: Payload,
    /// The request's deadline. The target refuses what comes later.
    pub deadline: Time,
    /// The rank of the class, for engines that honour priorities.
    pub rank: u8,
    /// Whether the answer comes as a stream.
    pub stream: bool,
    /// Whether it may run more than once.
    pub repeatable: bool,
}

/// What a traffic thread tells its router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum TrafficEvent {
    /// A caller asks for a run.
    Arrive {
        /// The caller's open stream.
        caller: CallerId,
        /// What it asks.
        call: Call,
    },
    /// A caller closed its stream before its outcome.
    CallerLeft {
        /// The caller.
        caller: CallerId,
    },
    /// A piece of a stream came.
    Part {
        /// The attempt on whose connection it came.
        attempt: AttemptId,
        /// What it says it belongs to.
        echo: Echo,
        /// Where it begins, in bytes of the whole answer.
        offset: u64,
        /// Its bytes.
        data: Payload,
    },
    /// A piece of a stream that goes on says that its target is leaving.
    TargetLeaves {
        /// The attempt on whose connection it came.
        attempt: AttemptId,
    },
    /// An attempt ended.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// What the answer says it belongs to; `None` when there was no answer.
        echo: Option<Echo>,
        /// How it ended.
        end: AttemptEnd,
        /// The load report that came with it.
        report: Option<LoadReport>,
        /// Whether the target said that it is leaving.
        leaving: bool,
    },
    /// A probe came back.
    Probed {
        /// The target.
        target: TargetId,
        /// Whether it answered well.
        ok: bool,
        /// The load report that came with it.
        report: Option<LoadReport>,
        /// Whether the target said that it is leaving.
        leaving: bool,
    },
    /// Time passed.
    Tick,
}

/// What a router wants done.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum TrafficAction {
    /// Send a step.
    Dispatch {
        /// Under which attempt to report back.
        attempt: AttemptId,
        /// What to send.
        order: StepOrder,
    },
    /// Give an attempt up: close its connection, and tell the target.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
        /// What was sent.
        echo: Echo,
        /// The target.
        target: TargetId,
        /// Its IP number and port.
        address: String,
    },
    /// Pass bytes on to a caller.
    Part {
        /// The caller.
        caller: CallerId,
        /// Where they begin, in bytes of the whole answer.
        offset: u64,
        /// The bytes.
        data: Payload,
    },
    /// End a caller's stream with its outcome.
    Finish {
        /// The caller.
        caller: CallerId,
        /// The outcome.
        outcome: Outcome,
        /// Where to go instead: IP number and port of another entry node.
        redirect: Option<String>,
    },
    /// Ask a target for its load, to see whether it answers.
    Probe {
        /// The target.
        target: TargetId,
        /// Its IP number and port.
        address: String,
    },
    /// Notify the other lanes that a target wants nothing from this node for a while.
    #[serde(rename = "NotifyRest")]
    NotifyCooldown(TargetCooldown),
    /// Tell the control thread that a target is leaving.
    NotifyLeaving {
        /// The target.
        target: TargetId,
        /// The run of it that said so.
        incarnation: Incarnation,
    },
    /// Tell the control thread that a caller has seen a newer configuration.
    #[serde(rename = "NotifyBehind")]
    NotifyNewerRevision,
}
