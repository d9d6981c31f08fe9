//! One request on this node, from admission to its outcome.

use crate::chart::symbol;
use crate::{
    AttemptId, CallerId, Echo, OrgKey, Payload, QueueEntry, RequestKey, ResolvedStage, Revision, ServiceIx,
    Span, TargetId, Time,
};

symbol! {
    /// Where a request stands.
    RequestPhase {
        /// Its next step waits for a target.
        Waiting = "waiting",
        /// A step is at a target.
        Running = "running",
        /// Its callers have their outcome.
        Ended = "ended",
    }
}

symbol! {
    /// What can happen to a request.
    RequestEvent {
        /// Its step was sent to a target.
        Dispatched = "dispatched",
        /// A step that is not the last one was answered.
        StepDone = "step_done",
        /// The last step was answered.
        LastDone = "last_done",
        /// The step has to be sent again.
        Retry = "retry",
        /// It was refused or given up.
        GivenUp = "given_up",
    }
}

/// The chart of a request.
pub const REQUEST_CHART: &str = include_str!("../../../charts/request.json");

/// What became of earlier sends of the same key, as the caller says.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Earlier {
    /// This is the first.
    #[default]
    None,
    /// Each was answered as not run.
    AllNotRun,
    /// At least one may have run.
    Uncertain,
}

/// A caller's `Run`, as it arrives.
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
    /// Whether it may run at most once.
    pub unrepeatable: bool,
    /// What became of earlier sends.
    pub earlier: Earlier,
    /// The highest configuration revision that the caller has seen.
    #[serde(rename = "seen")]
    pub seen_revision: Revision,
    /// The payload.
    pub payload: Payload,
    /// A shared beginning of prompts; empty for none.
    pub prefix: String,
}

/// A caller that waits for a request's answer, and how much of it has been passed on.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub struct Listener {
    /// The caller.
    pub caller: CallerId,
    /// Bytes passed on.
    pub sent: u64,
}

/// A send that is under way.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// What the answer must name.
    pub echo: Echo,
    /// The target.
    pub target: TargetId,
    /// When it was sent.
    pub started: Time,
    /// When something last came back.
    pub last_answer: Time,
}

/// A request that has been admitted.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its key.
    pub key: RequestKey,
    /// Its organisation.
    pub org: OrgKey,
    /// The organisation's weight under the admitting configuration.
    pub weight: u32,
    /// The rank of its class.
    pub rank: u8,
    /// Its steps, from the configuration it was admitted with.
    pub stages: Vec<ResolvedStage>,
    /// Its deadline.
    pub deadline: Time,
    /// Whether every step may run at most once.
    pub unrepeatable: bool,
    /// Whether its key is remembered here.
    pub remembered: bool,
    /// What became of earlier sends.
    pub earlier: Earlier,
    /// The shared beginning of prompts, hashed; zero for none.
    pub prefix: u128,
    /// Where it stands.
    pub phase: RequestPhase,
    /// The present step.
    pub step: u8,
    /// Sends of the present step.
    pub sends: u16,
    /// All sends, for naming attempts.
    pub attempts: u32,
    /// The first step that is still counted in its service's backlog: the present one while it waits,
    /// the next one while it is at a target.
    pub first_undispatched: u8,
    /// The present step's input.
    pub input: Payload,
    /// The answer as far as it has come.
    pub answer: Vec<u8>,
    /// Whether any step ran or may have run.
    pub may_have_run: bool,
    /// Who waits for the answer.
    pub listeners: Vec<Listener>,
    /// The send under way.
    pub attempt: Option<AttemptId>,
    /// Where it waits.
    pub queued: Option<QueueEntry>,
    /// When to look at it again.
    pub wake: Time,
    /// The target that failed it last, which a retry avoids.
    pub avoid: Option<TargetId>,
    /// What has been spent on it, per service.
    pub spent: Vec<(ServiceIx, Span)>,
}

impl Request {
    /// The present step.
    pub fn stage(&self) -> &ResolvedStage {
        &self.stages[usize::from(self.step)]
    }

    /// The steps from the present one on.
    pub fn remaining_stages(&self) -> &[ResolvedStage] {
        &self.stages[usize::from(self.step)..]
    }

    /// Whether the present step is the last.
    pub fn is_last_step(&self) -> bool {
        usize::from(self.step) + 1 == self.stages.len()
    }

    /// Whether the present step may be sent again when it may have run.
    pub fn repeatable(&self) -> bool {
        !self.unrepeatable && !self.stage().unrepeatable
    }
}
