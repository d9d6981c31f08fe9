//! What happened, counted. Logs say only when a state changed; these say how often.

use crate::{Reason, RetryReason, ServiceIx};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One thing that is counted.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Counter {
    /// Requests that arrived.
    Arrived,
    /// Requests of a class, by rank, that were answered completely before their deadline.
    Complete(u8),
    /// Requests refused as not run.
    RefusedNotRun(Reason),
    /// Requests given up when some of them ran or may have run.
    RefusedUnknown(Reason),
    /// Steps sent to a target.
    Dispatched(ServiceIx),
    /// Steps sent again.
    Retried(RetryReason),
    /// Retries that the budget did not allow.
    RetryDenied,
    /// Answers that did not name their own request, step and attempt.
    Misdirected,
    /// Connections that were closed because the head of a call came too slowly.
    SlowHead,
    /// A caller's connection that ended while the kernel had not taken all of an answer.
    Undelivered,
    /// Answers that came after their attempt had been given up.
    Late,
    /// Streams whose offsets left a gap.
    Gap,
    /// Repeats of an unrepeatable key that joined the one run of it.
    Joined,
    /// Repeats of an unrepeatable key that were answered from memory.
    Remembered,
    /// Attempts cancelled at their target.
    Cancelled,
    /// Targets put into quarantine by this node.
    Quarantined,
    /// Quarantines that were not made because too many targets were in it.
    QuarantineCapped,
    /// Targets that said they were leaving.
    ReportedLeaving,
    /// Sends under which a target ended.
    TargetEnded,
    /// Refusals in which a target asked for rest.
    AskedRest,
    /// Refusals that named a time of rest which cannot be read.
    RestUnreadable,
    /// Answers whose target named a limit that cannot be read.
    LimitUnreadable,
    /// Microseconds of a service spent on requests, all in all.
    Spent(ServiceIx),
    /// Microseconds of a service spent on requests that were not completed in time.
    Wasted(ServiceIx),
}

impl Counter {
    /// The name under which the counter is published.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Arrived => "arrived",
            Self::Complete(_) => "complete",
            Self::RefusedNotRun(_) => "refused_not_run",
            Self::RefusedUnknown(_) => "refused_unknown",
            Self::Dispatched(_) => "dispatched",
            Self::Retried(_) => "retried",
            Self::RetryDenied => "retry_denied",
            Self::Misdirected => "misdirected",
            Self::SlowHead => "slow_head",
            Self::Undelivered => "undelivered",
            Self::Late => "late",
            Self::Gap => "gap",
            Self::Joined => "joined",
            Self::Remembered => "remembered",
            Self::Cancelled => "cancelled",
            Self::Quarantined => "quarantined",
            Self::QuarantineCapped => "quarantine_capped",
            Self::ReportedLeaving => "reported_leaving",
            Self::TargetEnded => "target_ended",
            Self::AskedRest => "asked_rest",
            Self::RestUnreadable => "rest_unreadable",
            Self::LimitUnreadable => "limit_unreadable",
            Self::Spent(_) => "spent_us",
            Self::Wasted(_) => "wasted_us",
        }
    }
}

/// Every counter that is not zero.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Counters {
    /// The values.
    pub values: BTreeMap<Counter, u64>,
}

impl Counters {
    /// Counts one.
    pub fn count(&mut self, counter: Counter) {
        self.add(counter, 1);
    }

    /// Counts `amount`.
    pub fn add(&mut self, counter: Counter, amount: u64) {
        *self.values.entry(counter).or_default() += amount;
    }

    /// The value of `counter`.
    pub fn get(&self, counter: Counter) -> u64 {
        self.values.get(&counter).copied().unwrap_or_default()
    }

    /// The sum over all counters that `wanted` picks.
    pub fn sum(&self, wanted: impl Fn(Counter) -> bool) -> u64 {
        self.values
            .iter()
            .filter(|(counter, _)| wanted(**counter))
            .map(|(_, value)| value)
            .sum()
    }
}
