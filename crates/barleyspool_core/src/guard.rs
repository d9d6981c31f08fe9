//! The checks that the guarantees depend on, by name, so that a test can disable one and show that the
//! guarantee fails without it.
//!
//! Guards can be disabled only in builds with the feature `proofs`, which the tests of this crate
//! enable. In all other builds [`Guards::enforces`] is the constant `true`. docs/PROOFS.md lists the
//! test of each guard.

use serde::{Deserialize, Serialize};

/// A check that a guarantee depends on.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Guard {
    /// Lease: a peer's vote counts only until it expires.
    #[serde(rename = "WordFresh")]
    VoteFresh,
    /// Lease: a peer's vote counts only if it is at exactly this node's epoch.
    #[serde(rename = "WordEpoch")]
    VoteEpoch,
    /// Lease: a node's vote for itself does not count.
    #[serde(rename = "OthersOnly")]
    NoSelfVote,
    /// Lease: a peer's vote counts only for the newest incarnation of the requesting node.
    #[serde(rename = "WordRun")]
    VoteIncarnation,
    /// Lease: the votes of a node that has just started do not count before it has caught up.
    #[serde(rename = "WordJoined")]
    VoteJoined,
    /// Lease: the takeover wait begins only when a majority has left every earlier era.
    #[serde(rename = "EarlierSealed")]
    EarlierEpochsClosed,
    /// Lease: a node accepts no unrepeatable keys during the takeover wait.
    #[serde(rename = "Settling")]
    TakeoverWait,
    /// Lease: the takeover wait includes the validity time of votes as well as the horizon.
    #[serde(rename = "SettlingMargin")]
    TakeoverFreshness,
    /// Router: an answer must name the request, step and attempt that it belongs to.
    EchoMatch,
    /// Router: an unrepeatable step that may have run is not sent again.
    #[serde(rename = "UnknownFinal")]
    NoUnsafeRetry,
    /// Router: the verdict "not run" is given only if no step of the request ran or may have run.
    #[serde(rename = "RequestUntouched")]
    NotRunProven,
    /// Router: the verdict "not run" is not given to a caller that does not know whether an earlier
    /// send ran.
    #[serde(rename = "EarlierSends")]
    EarlierSendsUnknown,
    /// Router: a part of a stream that leaves a gap is not forwarded.
    #[serde(rename = "PartOffset")]
    NoStreamGap,
    /// Router: the end of a stream counts only if its length matches the bytes received.
    #[serde(rename = "EndLength")]
    StreamLength,
    /// Router: a home node remembers unrepeatable keys.
    KeyMemory,
    /// Router: a plan that the control thread has not refreshed recently is not used.
    PlanAge,
    /// Router: a target that is leaving gets no new work.
    TargetLeaving,
    /// Router: at most half of a service's targets are quarantined.
    QuarantineCap,
    /// Router: retries are paid from a budget.
    RetryBudget,
    /// Router: a caller that has seen a newer configuration is not served under an older one.
    SeenRevision,
    /// Control: the configuration revision in force never decreases.
    #[serde(rename = "RevisionUp")]
    RevisionMonotonic,
    /// Control: a configuration with any fault is rejected as a whole.
    #[serde(rename = "WholeCheck")]
    ConfigAllOrNothing,
    /// Control: a starting node asks its peers for their configuration before it serves.
    #[serde(rename = "AskFirst")]
    PeersBeforeServing,
    /// Control: a target's own report that it is leaving is passed on to peers.
    #[serde(rename = "LeavingSpread")]
    LeavingGossip,
    /// Control: a stopping node exits only when nothing is in flight and no caller still has its
    /// address.
    #[serde(rename = "StopWaits")]
    DrainBeforeStop,
}

/// The guards in force: all of them, except one that a test may have disabled.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Guards {
    #[cfg(feature = "proofs")]
    disabled: Option<Guard>,
}

impl Guards {
    /// All guards except `guard`.
    #[cfg(feature = "proofs")]
    pub fn without(guard: Guard) -> Self {
        Self {
            disabled: Some(guard),
        }
    }

    /// Whether `guard` is in force.
    #[cfg(feature = "proofs")]
    pub fn enforces(self, guard: Guard) -> bool {
        self.disabled != Some(guard)
    }

    /// Whether `guard` is in force; always true without the feature `proofs`.
    #[cfg(not(feature = "proofs"))]
    pub const fn enforces(self, _guard: Guard) -> bool {
        true
    }
}
