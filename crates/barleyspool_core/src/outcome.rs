//! How requests and their attempts end, and why.

use crate::{NodeId, Payload, ServiceIx, Span, TargetId};
use serde::{Deserialize, Serialize};

/// What became of something that was sent to a target.
///
/// See docs/DESIGN.md, "Three-valued outcomes": only the first allows an unrepeatable step to be sent again.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fate {
    /// It certainly did not run.
    NotRun,
    /// It ran to its end.
    Ran,
    /// It may have run, wholly or in part.
    Unknown,
}

/// What a refusal or a failed request tells its caller about the whole request.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The answer is complete.
    Complete,
    /// No part of the request ran anywhere.
    NotRun,
    /// Some part ran or may have run.
    Unknown,
}

/// Where a refusal arose.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Peer {
    /// At a target.
    Target(TargetId),
    /// At an entry node.
    Node(NodeId),
}

macro_rules! reasons {
    ($($(#[$doc:meta])* $variant:ident => $name:literal,)*) => {
        /// Why a request was refused or given up. Each has a counter of its own.
        #[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub enum Reason {
            $($(#[$doc])* $variant,)*
        }

        impl Reason {
            /// Every reason, for counters and tests.
            pub const ALL: &[Self] = &[$(Self::$variant,)*];

            /// The stable name that callers and operators see.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$variant => $name,)* }
            }
        }
    };
}

reasons! {
    /// The pipeline is not configured.
    UnknownPipeline => "unknown_pipeline",
    /// The organisation is not configured.
    UnknownOrganisation => "unknown_organisation",
    /// The organisation may not use this pipeline.
    PipelineNotAttached => "pipeline_not_attached",
    /// The key or the organisation's name is empty or longer than allowed.
    BadKey => "bad_key",
    /// The payload is larger than allowed.
    PayloadTooLarge => "payload_too_large",
    /// The deadline has passed.
    DeadlinePast => "deadline_past",
    /// The deadline lies further ahead than the horizon.
    DeadlineBeyondHorizon => "deadline_beyond_horizon",
    /// The request cannot be finished by its deadline.
    DeadlineUnreachable => "deadline_unreachable",
    /// The deadline passed while the request was being worked on.
    DeadlineMissed => "deadline_missed",
    /// This node has no configuration yet.
    NoConfiguration => "no_configuration",
    /// The caller has seen a newer configuration than this node has.
    ConfigurationBehind => "configuration_behind",
    /// The control thread has not refreshed the plan for too long.
    PlanStale => "plan_stale",
    /// This node is stopping.
    Leaving => "leaving",
    /// Another node is the home of this unrepeatable request.
    NotHome => "not_home",
    /// This node is the home, but has not been for long enough.
    #[serde(rename = "Settling")]
    TakeoverWait => "settling",
    /// This node is the home, but a majority has not confirmed it lately.
    Unconfirmed => "unconfirmed",
    /// The memory of unrepeatable keys is full.
    MemoryFull => "memory_full",
    /// The key was sent again with another deadline or pipeline.
    KeyReused => "key_reused",
    /// No target of a needed service is usable.
    NoTarget => "no_target",
    /// The queue of the class is full.
    QueueFull => "queue_full",
    /// Targets refused the step and no retry was left.
    TargetRefused => "target_refused",
    /// A step failed and may not be sent again.
    StepFailed => "step_failed",
    /// A step failed and the retry budget was used up.
    RetryBudget => "retry_budget",
    /// The answer was larger than allowed.
    AnswerTooLarge => "answer_too_large",
    /// The caller left before the answer was complete.
    CallerLeft => "caller_left",
    /// No route fits the call's host and path.
    UnknownRoute => "unknown_route",
    /// The call's key belongs to no organisation.
    UnknownKey => "unknown_key",
    /// The call's head is not what it should be.
    BadCall => "bad_call",
    /// The route's longest time was over.
    RouteTimeout => "route_timeout",
    /// A stage pool has no room for the call in time.
    PoolBusy => "pool_busy",
    /// All targets that are usable have been given the calls a second that they take.
    AtLimit => "at_limit",
    /// All targets that may get work have asked this node for rest.
    TargetsRest => "targets_rest",
    /// Targets have ended under this call.
    EndsTargets => "ends_targets",
}

/// Why a step was sent again. Each has a counter of its own.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RetryReason {
    /// The target could not be reached.
    Unreachable,
    /// The target refused the step as not run.
    Refused,
    /// The target broke off and the step is repeatable.
    BrokenOff,
    /// A stream broke off and is resumed at its offset.
    Resumed,
    /// The target took far too long and the step is repeatable.
    TimedOut,
}

impl RetryReason {
    /// Every retry reason.
    pub const ALL: &[Self] = &[
        Self::Unreachable,
        Self::Refused,
        Self::BrokenOff,
        Self::Resumed,
        Self::TimedOut,
    ];

    /// The stable name that operators see.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Refused => "refused",
            Self::BrokenOff => "broken_off",
            Self::Resumed => "resumed",
            Self::TimedOut => "timed_out",
        }
    }
}

/// A refusal, as decided on this node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Whether any of the request ran.
    pub verdict: Verdict,
    /// The service of the step at which it arose; `None` before the first step.
    pub step: Option<ServiceIx>,
    /// The target or node at which it arose.
    pub peer: Option<Peer>,
    /// When to come back; zero when coming back does not help.
    pub come_back: Span,
}

/// The final answer to a caller: exactly one per `Run`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Complete, with the total length in bytes.
    Complete {
        /// Total length in bytes.
        length: u64,
    },
    /// Refused or given up.
    Refused(Refusal),
}

impl Outcome {
    /// What this outcome says of the request as a whole.
    pub const fn verdict(&self) -> Verdict {
        match self {
            Self::Complete { .. } => Verdict::Complete,
            Self::Refused(refusal) => refusal.verdict,
        }
    }
}

/// How an attempt ended, as the shell saw it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptEnd {
    /// The target's answer is whole. For a stream, `output` is empty and `length` counts from offset 0.
    Done {
        /// The output of a step that does not stream.
        output: Payload,
        /// The total length in bytes.
        length: u64,
    },
    /// The target's own explicit "refused, not run".
    Refused {
        /// Whether it refuses because it is leaving.
        leaving: bool,
        /// How long it wants nothing from this node.
        rest: Span,
    },
    /// The connection could not be made, or nothing of the request was written.
    Unreachable,
    /// Something was written, and no whole answer came back.
    BrokenOff,
}

impl AttemptEnd {
    /// What this end says of the step.
    pub const fn fate(&self) -> Fate {
        match self {
            Self::Done { .. } => Fate::Ran,
            Self::Refused { .. } | Self::Unreachable => Fate::NotRun,
            Self::BrokenOff => Fate::Unknown,
        }
    }
}
