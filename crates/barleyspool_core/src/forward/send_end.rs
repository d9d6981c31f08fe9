//! How a send of a forwarded call ended, and what may follow.

use crate::{Fate, RetryReason, Time};

/// How a send ended, as the shell saw it.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum SendEnd {
    /// A whole answer of the target's own came, good or bad.
    Answered {
        /// Whether the answer is a success.
        success: bool,
    },
    /// The target said that it did not run the call.
    Refused {
        /// Whether the address belongs to another target now.
        misdirected: bool,
        /// Whether results that the call needs are gone.
        inputs_gone: bool,
    },
    /// Nothing of the call was written.
    Unreachable,
    /// Something was written, and no whole answer came back.
    BrokenOff,
    /// Something was written, and nothing came back for too long.
    TimedOut,
}

impl SendEnd {
    /// What this says of the call at that target.
    pub const fn fate(self) -> Fate {
        match self {
            Self::Answered { .. } => Fate::Ran,
            Self::Refused { .. } | Self::Unreachable => Fate::NotRun,
            Self::BrokenOff | Self::TimedOut => Fate::Unknown,
        }
    }

    /// The reason to count when the call is sent again.
    pub const fn retry_reason(self) -> RetryReason {
        match self {
            Self::Answered { .. } | Self::BrokenOff => RetryReason::BrokenOff,
            Self::Refused { .. } => RetryReason::Refused,
            Self::Unreachable => RetryReason::Unreachable,
            Self::TimedOut => RetryReason::TimedOut,
        }
    }
}

/// What has been done for a call so far.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub struct SendHistory {
    /// Sends of which something was written.
    pub sends: u32,
    /// Sends that never reached a target.
    pub unreached: u32,
    /// Whether any send ran or may have run.
    pub may_have_run: bool,
}

impl SendHistory {
    /// Takes the end of a send into account.
    pub fn record_end(&mut self, end: SendEnd) {
        match end {
            SendEnd::Unreachable => self.unreached += 1,
            _ => self.sends += 1,
        }
        self.may_have_run |= end.fate() != Fate::NotRun;
    }
}

/// What follows the end of a send.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// The answer goes to the caller.
    Deliver,
    /// Another target may be tried.
    Retry,
    /// The caller is told that nothing ran.
    RefuseNotRun,
    /// The caller is told that it may have run.
    FailUnknown,
}

/// Targets that could not be reached at all do not count as sends, but are not tried without end.
const MAX_UNREACHED: u32 = 3;

/// What follows a send that ended with `end`; `history` includes it. Whether the retry budget allows a
/// retry is asked afterwards.
pub fn next_step(
    now: Time,
    deadline: Time,
    repeatable: bool,
    max_sends: u32,
    history: SendHistory,
    end: SendEnd,
) -> NextStep {
    let again = history.sends < max_sends.max(1) && history.unreached < MAX_UNREACHED && now < deadline;
    match end {
        SendEnd::Answered { success: true } => NextStep::Deliver,
        SendEnd::Answered { success: false } if repeatable && again => NextStep::Retry,
        SendEnd::Answered { success: false } => NextStep::Deliver,
        _ if again && (repeatable || !history.may_have_run) => NextStep::Retry,
        _ if history.may_have_run => NextStep::FailUnknown,
        _ => NextStep::RefuseNotRun,
    }
}
