//! How a call that gets no target's answer ends.

use barleyspool_core::{Reason, Span, Verdict};

/// The final answer to a call that no target answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallFailure {
    /// Why.
    pub reason: Reason,
    /// Whether any of the call ran.
    pub verdict: Verdict,
    /// The step at which it arose: a service, or empty before the first.
    pub step: String,
    /// The target or node at which it arose; empty for this node.
    pub peer: String,
    /// When to come back; zero when coming back does not help.
    pub retry_after: Span,
}

impl CallFailure {
    /// A call of which nothing ran.
    pub fn not_run(reason: Reason) -> Self {
        Self {
            reason,
            verdict: Verdict::NotRun,
            step: String::new(),
            peer: String::new(),
            retry_after: Span::ZERO,
        }
    }

    /// A call that ran or may have run.
    pub fn unknown(reason: Reason) -> Self {
        Self {
            verdict: Verdict::Unknown,
            ..Self::not_run(reason)
        }
    }

    /// The same, with when to come back.
    pub fn with_retry_after(mut self, retry_after: Span) -> Self {
        self.retry_after = retry_after;
        self
    }

    /// The same, with the step and the peer at which it arose.
    pub fn at(mut self, step: &str, peer: &str) -> Self {
        step.clone_into(&mut self.step);
        peer.clone_into(&mut self.peer);
        self
    }
}
