//! The state of one request on this node, from admission to its outcome.

use crate::chart::symbol;
use crate::{
    AttemptId, CallerId, Echo, OrgKey, Payload, QueueEntry, RequestKey, ResolvedStage, Revision, ServiceIx,
    Span, TargetId, Time,
};

symbol! {
    /// The phase of a request.
    RequestPhase {
        /// Its next step waits for a target.
        Waiting = "waiting",
        /// A step is running at a target.
        Running = "running",
        /// Its callers have received the outcome.
        Ended = "ended",
    }
}

symbol! {
    /// The events that change the phase of a request.
    RequestEvent {
        /// Its step was sent to a target.
        Dispatched = "dispatched",
        /// A step other than the last one completed.
        StepDone = "step_done",
        /// The last step completed.
        LastDone = "last_done",
        /// The step has to be retried.
        Retry = "retry",
        /// It was refused or failed.
        GivenUp = "given_up",
    }
}

/// The state chart of a request.
pub const REQUEST_CHART: &str = include_str!("../../../charts/request.json");

/// The results of earlier requests with the same key, as reported by the caller.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Earlier {
    /// This is the first request with the key.
    #[default]
    None,
    /// Each was answered with the verdict "not run".
    AllNotRun,
    /// At least one may have run.
    Uncertain,
}

/// A caller's `Run` call, as received.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Call {
    /// The caller's key.
    pub key: String,
    /// The organisation.
    pub organisation: String,
    /// The pipeline.
    pub pipeline: String,
    /// The absolute deadline.
    pub deadline: Time,
    /// Whether the request may run at most once.
    pub unrepeatable: bool,
    /// The results of earlier requests with the same key.
    pub earlier: Earlier,
    /// The highest configuration revision that the caller has seen.
    #[serde(rename = "seen")]
    pub seen_revision: Revision,
    /// The payload.
    pub payload: Payload,
    /// Identifies a prefix that the prompt shares with others; empty for none.
    pub prefix: String,
}

/// A caller that waits for the answer of a request, and how much of it has been sent to the caller.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub struct Listener {
    /// The caller.
    pub caller: CallerId,
    /// Bytes of the answer sent to the caller.
    pub sent: u64,
}

/// An attempt in progress.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The identification that the response must repeat.
    pub echo: Echo,
    /// The target.
    pub target: TargetId,
    /// When it was sent.
    pub started: Time,
    /// When data was last received.
    pub last_answer: Time,
}

/// An admitted request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its key.
    pub key: RequestKey,
    /// Its organisation.
    pub org: OrgKey,
    /// The weight of the organisation in the configuration that the request was admitted with.
    pub weight: u32,
    /// The rank of its class.
    pub rank: u8,
    /// The stages of its pipeline in the configuration that it was admitted with.
    pub stages: Vec<ResolvedStage>,
    /// Its deadline.
    pub deadline: Time,
    /// Whether every step may run at most once.
    pub unrepeatable: bool,
    /// Whether its key is remembered on this node.
    pub remembered: bool,
    /// The results of earlier requests with the same key.
    pub earlier: Earlier,
    /// Hash of the shared prompt prefix; zero for none.
    pub prefix: u128,
    /// Its phase.
    pub phase: RequestPhase,
    /// Index of the current step.
    pub step: u8,
    /// Number of attempts of the current step.
    pub sends: u16,
    /// Number of attempts of all steps; numbers the attempts.
    pub attempts: u32,
    /// Index of the first step that is still counted in its service's backlog: the current step while it is
    /// queued, the next one while the current step is at a target.
    pub first_undispatched: u8,
    /// The input of the current step.
    pub input: Payload,
    /// The part of the answer received so far.
    pub answer: Vec<u8>,
    /// Whether any step ran or may have run.
    pub may_have_run: bool,
    /// The callers that wait for the answer.
    pub listeners: Vec<Listener>,
    /// The attempt in progress.
    pub attempt: Option<AttemptId>,
    /// The position of the current step in its service's queue, while it is queued.
    pub queued: Option<QueueEntry>,
    /// When the router has to check the request next.
    pub wake: Time,
    /// The target of the last failed attempt, which a retry avoids.
    pub avoid: Option<TargetId>,
    /// Service time spent on it, by service.
    pub spent: Vec<(ServiceIx, Span)>,
}

impl Request {
    /// The stage of the current step.
    pub fn stage(&self) -> &ResolvedStage {
        &self.stages[usize::from(self.step)]
    }

    /// The stages from the current step on.
    pub fn remaining_stages(&self) -> &[ResolvedStage] {
        &self.stages[usize::from(self.step)..]
    }

    /// Whether the current step is the last one.
    pub fn is_last_step(&self) -> bool {
        usize::from(self.step) + 1 == self.stages.len()
    }

    /// Whether the current step may be retried even if it may have run.
    pub fn repeatable(&self) -> bool {
        !self.unrepeatable && !self.stage().unrepeatable
    }
}
