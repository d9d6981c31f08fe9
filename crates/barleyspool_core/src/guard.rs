//! The guards on which the promises rest, by name, so that a proof can take one out and see itself fail.
//!
//! Only builds with the feature `proofs`, which the tests of this crate turn on, can take a guard out. In
//! every other build [`Guards::enforces`] is the constant `true`. docs/PROOFS.md lists which proof each one has.

use serde::{Deserialize, Serialize};

/// A check without which a promise does not hold.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Guard {
    /// Lease: a peer's word counts only while it is fresh.
    #[serde(rename = "WordFresh")]
    VoteFresh,
    /// Lease: a peer's word counts only at exactly the node's own epoch.
    #[serde(rename = "WordEpoch")]
    VoteEpoch,
    /// Lease: a node's word to itself does not count.
    #[serde(rename = "OthersOnly")]
    NoSelfVote,
    /// Lease: a peer's word counts only for the newest run of the asking node.
    #[serde(rename = "WordRun")]
    VoteIncarnation,
    /// Lease: a node that has just started gives no word before it has caught up.
    #[serde(rename = "WordJoined")]
    VoteJoined,
    /// Lease: a majority of every earlier era has to have left it before settling begins.
    #[serde(rename = "EarlierSealed")]
    EarlierEpochsClosed,
    /// Lease: a node stays silent while it settles.
    #[serde(rename = "Settling")]
    TakeoverWait,
    /// Lease: the settling time holds the freshness as well as the horizon.
    #[serde(rename = "SettlingMargin")]
    TakeoverFreshness,
    /// Router: an answer must name its own request, step and attempt.
    EchoMatch,
    /// Router: an unrepeatable step that may have run is not sent again.
    #[serde(rename = "UnknownFinal")]
    NoUnsafeRetry,
    /// Router: "not run" is said only when no step of the request ran or may have run.
    #[serde(rename = "RequestUntouched")]
    NotRunProven,
    /// Router: "not run" is not said to a caller that is unsure of an earlier send.
    #[serde(rename = "EarlierSends")]
    EarlierSendsUnknown,
    /// Router: a part that leaves a gap is never passed on.
    #[serde(rename = "PartOffset")]
    NoStreamGap,
    /// Router: an end marker counts only when its length is what came.
    #[serde(rename = "EndLength")]
    StreamLength,
    /// Router: the home remembers unrepeatable keys.
    KeyMemory,
    /// Router: a plan that the control thread has not vouched for lately is not acted on.
    PlanAge,
    /// Router: a target that is leaving gets nothing new.
    TargetLeaving,
    /// Router: no more than half of a service's targets are put into quarantine.
    QuarantineCap,
    /// Router: retries come out of a budget.
    RetryBudget,
    /// Router: a caller that has seen a newer configuration is not served under an older one.
    SeenRevision,
    /// Control: the revision in force only moves up.
    #[serde(rename = "RevisionUp")]
    RevisionMonotonic,
    /// Control: a faulty configuration is refused whole.
    #[serde(rename = "WholeCheck")]
    ConfigAllOrNothing,
    /// Control: a node that starts asks its peers before it serves.
    #[serde(rename = "AskFirst")]
    PeersBeforeServing,
    /// Control: what a target said of its leaving is passed on to peers.
    #[serde(rename = "LeavingSpread")]
    LeavingGossip,
    /// Control: a stopping node stays until nothing is in flight and no caller holds its address.
    #[serde(rename = "StopWaits")]
    DrainBeforeStop,
}

/// Which guards are in force: all, but for the one that a proof has taken out.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Guards {
    #[cfg(feature = "proofs")]
    disabled: Option<Guard>,
}

impl Guards {
    /// All guards but this one.
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

    /// Whether `guard` is in force: always, in a build without the proofs.
    #[cfg(not(feature = "proofs"))]
    pub const fn enforces(self, _guard: Guard) -> bool {
        true
    }
}
