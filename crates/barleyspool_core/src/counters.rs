//! Event counters. The log records only state changes; the counters record how often each event occurred.

use crate::{AnswerDrop, AnswerFault, AnswerId, Reason, RetryReason, ServiceIx};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A counted event or amount.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Counter {
    /// Requests received.
    Arrived,
    /// Requests of a class, by rank, that were answered completely before their deadline.
    Complete(u8),
    /// Requests refused with the verdict "not run".
    RefusedNotRun(Reason),
    /// Forwarded calls refused with the verdict "not run", by rank. Calls whose header was rejected have no rank and are
    /// not among them.
    RefusedByRank(u8),
    /// Requests that failed after a part of them ran or may have run.
    RefusedUnknown(Reason),
    /// Steps sent to a target, retries included.
    Dispatched(ServiceIx),
    /// Answers by which a target refuses a forwarded call, by which call they name.
    SendRefused(AnswerId),
    /// Retried steps, by the reason for the retry.
    Retried(RetryReason),
    /// Retries that the retry budget denied.
    RetryDenied,
    /// Responses whose [`Echo`](crate::Echo) did not match the request, step and attempt they came for.
    Misdirected,
    /// Connections closed because the header of a call arrived too slowly.
    #[serde(rename = "SlowHead")]
    SlowHeader,
    /// Caller connections that ended before the kernel had accepted all bytes of a response.
    Undelivered,
    /// Answers of targets that were dropped before they were complete, by the reason.
    AnswerDropped(AnswerDrop),
    /// Answers that cannot be told from another one on their connection, by the reason.
    AnswerFaulty(AnswerFault),
    /// Responses that arrived after their attempt had been cancelled.
    #[serde(rename = "Late")]
    LateAnswer,
    /// Streams whose offsets had a gap.
    #[serde(rename = "Gap")]
    StreamGap,
    /// Repeated unrepeatable requests that joined the execution already in progress.
    Joined,
    /// Repeated unrepeatable requests that were answered from the remembered outcome of their key.
    Remembered,
    /// Attempts cancelled at their target.
    Cancelled,
    /// Targets that this node put into quarantine.
    Quarantined,
    /// Targets not put into quarantine because too many already were.
    QuarantineCapped,
    /// Targets that reported that they are leaving.
    ReportedLeaving,
    /// Sends during which the target crashed.
    #[serde(rename = "TargetEnded")]
    TargetCrashed,
    /// Refusals in which a target requested a cooldown.
    #[serde(rename = "AskedRest")]
    CooldownRequested,
    /// Refusals whose cooldown time could not be parsed.
    #[serde(rename = "RestUnreadable")]
    CooldownUnreadable,
    /// Streams that broke off at a target before their end.
    StreamBrokenOff,
    /// Streams that this node resumed at another target within one answer.
    StreamResumed,
    /// Calls that resume a stream which an earlier call began.
    StreamTakenUp,
    /// Responses whose rate limit could not be parsed.
    LimitUnreadable,
    /// Responses whose number of refusals that a brittle target bears could not be parsed.
    BrittleUnreadable,
    /// Responses whose load report could not be parsed.
    LoadUnreadable,
    /// Orders of pieces that the owner of a pool refused because they starved in a shortage.
    OrderStarved,
    /// Sends by way of another node, since this one reaches no target of the service.
    SentByPeer,
    /// Calls that this node sends for other nodes.
    PeerSend,
    /// Requests for the health of a target, in checks whether this node reaches its service.
    HealthChecked,
    /// Total service time spent on requests, in microseconds.
    Spent(ServiceIx),
    /// Service time spent on requests that were not completed by their deadline, in microseconds.
    Wasted(ServiceIx),
}

impl Counter {
    /// The published name of the counter, without its labels.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Arrived => "arrived",
            Self::Complete(_) => "complete",
            Self::RefusedNotRun(_) => "refused_not_run",
            Self::RefusedByRank(_) => "refused_by_rank",
            Self::RefusedUnknown(_) => "refused_unknown",
            Self::Dispatched(_) => "dispatched",
            Self::SendRefused(_) => "sends_refused",
            Self::Retried(_) => "retried",
            Self::RetryDenied => "retry_denied",
            Self::Misdirected => "misdirected",
            Self::SlowHeader => "slow_head",
            Self::Undelivered => "undelivered",
            Self::AnswerDropped(_) => "answers_dropped",
            Self::AnswerFaulty(_) => "answers_faulty",
            Self::LateAnswer => "late",
            Self::StreamGap => "gap",
            Self::Joined => "joined",
            Self::Remembered => "remembered",
            Self::Cancelled => "cancelled",
            Self::Quarantined => "quarantined",
            Self::QuarantineCapped => "quarantine_capped",
            Self::ReportedLeaving => "reported_leaving",
            Self::TargetCrashed => "target_ended",
            Self::CooldownRequested => "asked_rest",
            Self::CooldownUnreadable => "rest_unreadable",
            Self::StreamBrokenOff => "streams_broken_off",
            Self::StreamResumed => "streams_resumed",
            Self::StreamTakenUp => "streams_taken_up",
            Self::LimitUnreadable => "limit_unreadable",
            Self::BrittleUnreadable => "brittle_unreadable",
            Self::LoadUnreadable => "load_unreadable",
            Self::OrderStarved => "orders_starved",
            Self::SentByPeer => "sent_by_peer",
            Self::PeerSend => "peer_sends",
            Self::HealthChecked => "health_checked",
            Self::Spent(_) => "spent_us",
            Self::Wasted(_) => "wasted_us",
        }
    }
}

/// The values of all counters that are not zero.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Counters {
    /// The values by counter; a missing counter is zero.
    pub values: BTreeMap<Counter, u64>,
}

impl Counters {
    /// Increments `counter` by one.
    pub fn count(&mut self, counter: Counter) {
        self.add(counter, 1);
    }

    /// Increments `counter` by `amount`.
    pub fn add(&mut self, counter: Counter, amount: u64) {
        *self.values.entry(counter).or_default() += amount;
    }

    /// The value of `counter`.
    pub fn get(&self, counter: Counter) -> u64 {
        self.values.get(&counter).copied().unwrap_or_default()
    }

    /// The sum of all counters for which `wanted` returns true.
    pub fn sum(&self, wanted: impl Fn(Counter) -> bool) -> u64 {
        self.values
            .iter()
            .filter(|(counter, _)| wanted(**counter))
            .map(|(_, value)| value)
            .sum()
    }
}
