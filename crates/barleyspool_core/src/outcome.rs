//! Outcomes of requests and attempts, and the reasons for refusals and retries.

use crate::{NodeId, Payload, ServiceIx, Span, TargetId};
use serde::{Deserialize, Serialize};

/// Whether a step that was sent to a target ran.
///
/// Only `NotRun` allows an unrepeatable step to be sent again; see docs/DESIGN.md, "Three-valued outcomes".
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExecutionStatus {
    /// It is certain that it did not run.
    NotRun,
    /// It ran to completion.
    Ran,
    /// It may have run, completely or in part.
    Unknown,
}

/// What an outcome tells the caller about the request as a whole.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The answer is complete.
    Complete,
    /// No part of the request ran anywhere.
    NotRun,
    /// Some part ran or may have run.
    Unknown,
}

/// Where a refusal originated.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalOrigin {
    /// A target.
    Target(TargetId),
    /// An entry node.
    Node(NodeId),
}

macro_rules! reasons {
    ($($(#[$doc:meta])* $variant:ident => $name:literal,)*) => {
        /// Why a request was refused or failed. Each reason has its own counter.
        #[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub enum Reason {
            $($(#[$doc])* $variant,)*
        }

        impl Reason {
            /// Every reason, for counters and tests.
            pub const ALL: &[Self] = &[$(Self::$variant,)*];

            /// The stable name shown to callers and operators.
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
    #[serde(rename = "BadKey")]
    InvalidKey => "bad_key",
    /// The payload is larger than allowed.
    PayloadTooLarge => "payload_too_large",
    /// The deadline has passed.
    DeadlinePast => "deadline_past",
    /// The deadline is further in the future than the configured horizon.
    DeadlineBeyondHorizon => "deadline_beyond_horizon",
    /// The estimated completion time is after the deadline.
    DeadlineUnreachable => "deadline_unreachable",
    /// The deadline passed while the request was in progress.
    DeadlineMissed => "deadline_missed",
    /// This node has no configuration yet.
    NoConfiguration => "no_configuration",
    /// A newer configuration than that of this node is in force, or may be: the caller or another node has seen one, or no
    /// node has confirmed that this one is the latest.
    ConfigurationBehind => "configuration_behind",
    /// The control thread has not refreshed the plan recently enough.
    PlanStale => "plan_stale",
    /// This node is shutting down.
    Leaving => "leaving",
    /// Another node is the home node of this unrepeatable request.
    NotHome => "not_home",
    /// This node became the home node only recently, and its takeover wait has not passed yet.
    #[serde(rename = "Settling")]
    TakeoverWait => "settling",
    /// This node is the home node, but a majority has not confirmed its lease recently enough.
    Unconfirmed => "unconfirmed",
    /// No further unrepeatable key can be remembered.
    MemoryFull => "memory_full",
    /// The key was reused with another deadline or pipeline.
    KeyReused => "key_reused",
    /// A required service has no usable target.
    NoTarget => "no_target",
    /// The queue of the class is full.
    QueueFull => "queue_full",
    /// Targets refused the step and no retry was left.
    TargetRefused => "target_refused",
    /// No target could be reached and no retry was left.
    TargetUnreachable => "target_unreachable",
    /// A step failed and may not be sent again.
    StepFailed => "step_failed",
    /// A step failed and the retry budget was exhausted.
    RetryBudget => "retry_budget",
    /// The answer was larger than allowed.
    AnswerTooLarge => "answer_too_large",
    /// The caller disconnected before the answer was complete.
    CallerLeft => "caller_left",
    /// No route matches the call's host and path.
    UnknownRoute => "unknown_route",
    /// The call's key belongs to no organisation.
    UnknownKey => "unknown_key",
    /// The call's header is invalid.
    #[serde(rename = "BadCall")]
    InvalidCall => "bad_call",
    /// The route's maximum call duration was exceeded.
    RouteTimeout => "route_timeout",
    /// A stage pool has no capacity for the call in time.
    PoolBusy => "pool_busy",
    /// All usable targets have reached their rate limits.
    #[serde(rename = "AtLimit")]
    TargetsAtLimit => "at_limit",
    /// All targets that accept work have requested a cooldown from this node.
    #[serde(rename = "TargetsRest")]
    TargetsCoolingDown => "targets_rest",
    /// No node knows which software version began the stream that the call takes up.
    VersionUnknown => "version_unknown",
    /// No target of the software version that began the stream accepts work.
    VersionGone => "version_gone",
    /// Targets have crashed while processing this call.
    #[serde(rename = "EndsTargets")]
    CrashesTargets => "ends_targets",
}

/// Why a step was retried. Each reason has its own counter.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RetryReason {
    /// The target could not be reached.
    Unreachable,
    /// The target refused the step without running it.
    Refused,
    /// The connection broke before the response was complete, and the step is repeatable.
    #[serde(rename = "BrokenOff")]
    Interrupted,
    /// A stream was interrupted and is resumed at its offset.
    Resumed,
    /// The attempt timed out and the step is repeatable.
    TimedOut,
    /// The target did not run the step, since results that it reads are gone.
    InputsGone,
}

impl RetryReason {
    /// Every retry reason.
    pub const ALL: &[Self] = &[
        Self::Unreachable,
        Self::Refused,
        Self::Interrupted,
        Self::Resumed,
        Self::TimedOut,
        Self::InputsGone,
    ];

    /// The stable name shown to operators.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Refused => "refused",
            Self::Interrupted => "broken_off",
            Self::Resumed => "resumed",
            Self::TimedOut => "timed_out",
            Self::InputsGone => "inputs_gone",
        }
    }
}

/// A refusal or failure of a request, as decided on this node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// Whether any part of the request ran.
    pub verdict: Verdict,
    /// The service of the step that caused it; `None` before the first step.
    pub step: Option<ServiceIx>,
    /// The target or node that caused it.
    #[serde(rename = "peer")]
    pub origin: Option<RefusalOrigin>,
    /// How long the caller should wait before a retry; zero if a retry would not help.
    #[serde(rename = "come_back")]
    pub retry_after: Span,
}

/// The final result of a `Run` call; each call gets exactly one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The answer is complete.
    Complete {
        /// Total length of the answer in bytes.
        length: u64,
    },
    /// The request was refused or failed.
    Refused(Refusal),
}

impl Outcome {
    /// The verdict on the request as a whole.
    pub const fn verdict(&self) -> Verdict {
        match self {
            Self::Complete { .. } => Verdict::Complete,
            Self::Refused(refusal) => refusal.verdict,
        }
    }
}

/// How an attempt ended, as observed by the I/O shell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptEnd {
    /// The target's response is complete. For a stream, `output` is empty and `length` counts from offset 0.
    Done {
        /// The output of a step that does not stream.
        output: Payload,
        /// Total length of the output in bytes.
        length: u64,
    },
    /// The target explicitly refused the step without running it.
    Refused {
        /// Whether the target refused because it is leaving.
        leaving: bool,
        /// Cooldown that the target requested from this node; zero for none.
        #[serde(rename = "rest")]
        cooldown: Span,
    },
    /// The connection could not be established, or no byte of the request was written.
    Unreachable,
    /// Some of the request was written, but no complete response was received.
    #[serde(rename = "BrokenOff")]
    Interrupted,
}

impl AttemptEnd {
    /// Whether the step ran, as far as this end shows.
    pub const fn execution_status(&self) -> ExecutionStatus {
        match self {
            Self::Done { .. } => ExecutionStatus::Ran,
            Self::Refused { .. } | Self::Unreachable => ExecutionStatus::NotRun,
            Self::Interrupted => ExecutionStatus::Unknown,
        }
    }
}
