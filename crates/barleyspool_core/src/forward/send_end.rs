//! How an attempt to send a forwarded call ended, and what may follow.

use crate::{ExecutionStatus, RetryReason, Time};
use serde::{Deserialize, Serialize};

/// How an attempt ended, as seen by the code that does the I/O.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SendEnd {
    /// The target itself returned a complete answer, successful or not.
    Answered {
        /// Whether the answer is a success.
        success: bool,
    },
    /// The target reported that it did not run the call.
    Refused {
        /// Whether the address belongs to another target now.
        misdirected: bool,
        /// Whether results that the call needs are gone.
        inputs_gone: bool,
    },
    /// No byte of the call was written.
    Unreachable,
    /// At least a part of the call was written, and no complete answer came back.
    BrokenOff,
    /// At least a part of the call was written, and nothing came back in time.
    TimedOut,
}

impl SendEnd {
    /// Whether the call ran at that target, as far as this end tells.
    pub const fn fate(self) -> ExecutionStatus {
        match self {
            Self::Answered { .. } => ExecutionStatus::Ran,
            Self::Refused { .. } | Self::Unreachable => ExecutionStatus::NotRun,
            Self::BrokenOff | Self::TimedOut => ExecutionStatus::Unknown,
        }
    }

    /// The reason to count if the call is retried. A complete answer that is a failure counts as an
    /// interruption, like one that broke off.
    pub const fn retry_reason(self) -> RetryReason {
        match self {
            Self::Answered { .. } | Self::BrokenOff => RetryReason::Interrupted,
            Self::Refused {
                inputs_gone: true, ..
            } => RetryReason::InputsGone,
            Self::Refused { .. } => RetryReason::Refused,
            Self::Unreachable => RetryReason::Unreachable,
            Self::TimedOut => RetryReason::TimedOut,
        }
    }
}

/// The attempts for a call so far.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub struct SendHistory {
    /// Attempts that wrote at least a part of the call.
    pub sends: u32,
    /// Attempts that never reached a target.
    pub unreached: u32,
    /// Whether any attempt ran or may have run.
    pub may_have_run: bool,
}

impl SendHistory {
    /// Records the end of an attempt.
    pub fn record_end(&mut self, end: SendEnd) {
        match end {
            SendEnd::Unreachable => self.unreached += 1,
            _ => self.sends += 1,
        }
        self.may_have_run |= end.fate() != ExecutionStatus::NotRun;
    }
}

/// What follows the end of an attempt.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Deliver the answer to the caller.
    Deliver,
    /// Try another target.
    Retry,
    /// Report to the caller that the call did not run.
    RefuseNotRun,
    /// Report to the caller that the call may have run.
    FailUnknown,
}

/// The limit of attempts that reach no target. They do not count as sends and therefore have their own
/// limit.
const MAX_UNREACHED: u32 = 3;

/// Decides what follows an attempt that ended with `end`, which `history` already includes. The retry
/// budget is checked afterwards.
pub fn next_step(
    now: Time,
    deadline: Time,
    repeatable: bool,
    max_sends: u32,
    history: SendHistory,
    end: SendEnd,
) -> NextStep {
    let may_retry = history.sends < max_sends.max(1) && history.unreached < MAX_UNREACHED && now < deadline;
    match end {
        SendEnd::Answered { success: true } => NextStep::Deliver,
        SendEnd::Answered { success: false } if repeatable && may_retry => NextStep::Retry,
        SendEnd::Answered { success: false } => NextStep::Deliver,
        _ if may_retry && (repeatable || !history.may_have_run) => NextStep::Retry,
        _ if history.may_have_run => NextStep::FailUnknown,
        _ => NextStep::RefuseNotRun,
    }
}
