//! The outcome of a call that fails without a target's answer.

use barleyspool_core::{Reason, Span, Verdict};

/// The failure of a call that no target answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallFailure {
    /// The reason.
    pub reason: Reason,
    /// Whether the call may have run.
    pub verdict: Verdict,
    /// The step that failed: the name of its service, or empty before the first one. For an invalid call, the text that
    /// says what is invalid.
    pub step: String,
    /// The target or node that caused the failure; empty for this node.
    pub peer: String,
    /// When the caller should retry; zero when a retry does not help.
    pub retry_after: Span,
}

impl CallFailure {
    /// The failure of a call that certainly did not run.
    pub fn not_run(reason: Reason) -> Self {
        Self {
            reason,
            verdict: Verdict::NotRun,
            step: String::new(),
            peer: String::new(),
            retry_after: Span::ZERO,
        }
    }

    /// The failure of a call that ran or may have run: nothing rules out that it ran.
    pub fn unknown(reason: Reason) -> Self {
        Self {
            verdict: Verdict::Unknown,
            ..Self::not_run(reason)
        }
    }

    /// The same failure of a call that was sent before; `may_have_run` says whether one of these sends may have run it. A step
    /// that fails after them, as when lost inputs are computed again, says nothing of the call itself.
    pub fn after_sends(self, may_have_run: bool) -> Self {
        if !may_have_run {
            return self;
        }
        Self {
            verdict: Verdict::Unknown,
            retry_after: Span::ZERO,
            ..self
        }
    }

    /// Sets when the caller should retry.
    pub fn with_retry_after(mut self, retry_after: Span) -> Self {
        self.retry_after = retry_after;
        self
    }

    /// Sets the step that failed, and the target or node that caused it.
    pub fn at(mut self, step: &str, peer: &str) -> Self {
        step.clone_into(&mut self.step);
        peer.clone_into(&mut self.peer);
        self
    }
}
