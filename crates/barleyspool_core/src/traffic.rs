//! Events and actions of a [`crate::Router`]. They implement `serde` traits, so that a run can be recorded.

use crate::{
    AttemptEnd, AttemptId, Call, CallerId, Incarnation, LoadReport, NodeId, Outcome, ServiceIx,
    TargetCooldown, TargetId, Time,
};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A shared, immutable byte string.
pub type Payload = Arc<[u8]>;

/// Identifies one attempt of one step of one request of one incarnation of a node. The target repeats it in its
/// response, so that a response that was delivered to the wrong connection is detected.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Echo {
    /// The node.
    pub node: NodeId,
    /// The incarnation of the node.
    #[serde(rename = "run")]
    pub incarnation: Incarnation,
    /// The node's number of the request.
    pub request: u64,
    /// Index of the step.
    pub step: u8,
    /// Number of the attempt within the request.
    pub attempt: u32,
}

/// One attempt to run a step at a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StepOrder {
    /// The identification that the response must repeat.
    pub echo: Echo,
    /// The target.
    pub target: TargetId,
    /// The target's IP address and port.
    pub address: String,
    /// The service.
    pub service: ServiceIx,
    /// The model; empty for none.
    pub model: String,
    /// The input of the step.
    pub input: Payload,
    /// The part of the answer that was already received; the target continues after it.
    pub so_far: Payload,
    /// The request's deadline. The target refuses the step after it.
    pub deadline: Time,
    /// The rank of the class, for engines that support priorities.
    pub rank: u8,
    /// Whether the response is streamed.
    pub stream: bool,
    /// Whether the step may run more than once.
    pub repeatable: bool,
}

/// An input event of a router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum TrafficEvent {
    /// A caller sent a `Run` request.
    Arrive {
        /// The caller's open stream.
        caller: CallerId,
        /// The request.
        call: Call,
    },
    /// A caller closed its stream before it received its outcome.
    CallerLeft {
        /// The caller.
        caller: CallerId,
    },
    /// A part of a streamed response was received.
    Part {
        /// The attempt on whose connection it was received.
        attempt: AttemptId,
        /// The identification that it repeats.
        echo: Echo,
        /// Offset of its first byte in the whole answer.
        offset: u64,
        /// Its bytes.
        data: Payload,
    },
    /// The target reported in the middle of a streamed response that it is leaving.
    TargetLeaves {
        /// The attempt on whose connection the report was received.
        attempt: AttemptId,
    },
    /// An attempt ended.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// The identification that the response repeats; `None` without a response.
        echo: Option<Echo>,
        /// How it ended.
        end: AttemptEnd,
        /// The load report in the response, if any.
        report: Option<LoadReport>,
        /// Whether the target reported that it is leaving.
        leaving: bool,
    },
    /// A probe completed.
    Probed {
        /// The target.
        target: TargetId,
        /// Whether the target answered the probe successfully.
        ok: bool,
        /// The load report in the response, if any.
        report: Option<LoadReport>,
        /// Whether the target reported that it is leaving.
        leaving: bool,
    },
    /// No external event: lets the router act on the time that has passed.
    Tick,
}

/// An action that a router requests from its traffic thread.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum TrafficAction {
    /// Send a step to a target.
    Dispatch {
        /// The attempt to name in the events that report on this send.
        attempt: AttemptId,
        /// The step to send.
        order: StepOrder,
    },
    /// Cancel an attempt: close its connection and notify the target.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
        /// The identification of the attempt.
        echo: Echo,
        /// The target.
        target: TargetId,
        /// The target's IP address and port.
        address: String,
    },
    /// Send a part of the answer to a caller.
    Part {
        /// The caller.
        caller: CallerId,
        /// Offset of the first byte in the whole answer.
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
        /// IP address and port of another entry node that the caller should use instead.
        redirect: Option<String>,
    },
    /// Request a load report from a target, to check whether it responds.
    Probe {
        /// The target.
        target: TargetId,
        /// The target's IP address and port.
        address: String,
    },
    /// Notify the other lanes (traffic threads) of this node that a target requested a cooldown from this
    /// node. The control state gets it as [`crate::ControlEvent::CooldownRequested`], and publishes a plan
    /// with the cooldown to all lanes.
    #[serde(rename = "NotifyRest")]
    NotifyCooldown(TargetCooldown),
    /// Notify the control thread that a target is leaving.
    NotifyLeaving {
        /// The target.
        target: TargetId,
        /// The incarnation that is leaving.
        incarnation: Incarnation,
    },
    /// Notify the control thread that a caller has seen a newer configuration than this node has.
    #[serde(rename = "NotifyBehind")]
    NotifyNewerRevision,
}
