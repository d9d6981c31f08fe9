//! The last report of the owner of a pool, at a node that sends it orders.

use super::{PoolDemand, RankWaits};
use crate::{Span, Time};

/// How long a report is used. After that it says nothing of a queue that a burst of calls fills or a single second
/// empties.
const MAX_REPORT_AGE: Span = Span::from_millis(1500);

/// The expected waits that the owner of a pool sent with its last answer. Each is the time until one more piece
/// submitted then would be computed: its wait and the duration of its batch call.
#[derive(Clone, Debug)]
pub struct WaitReport {
    /// The wait behind all waiting pieces.
    pub expected: Span,
    /// The waits by rank; empty from a node that does not estimate them.
    pub waits: RankWaits,
    /// What calls at all nodes ask of the pool; empty from a node that does not add it up.
    pub demand: PoolDemand,
    /// When the report arrived.
    pub received_at: Time,
}

impl WaitReport {
    /// The wait for a call of a rank. `None` if the report is too old or has no waits by rank.
    pub fn rank_wait(&self, now: Time, rank: u8) -> Option<Span> {
        self.aged(now, self.waits.wait(rank)?)
    }

    /// The wait for any call. `None` if the report is too old.
    pub fn any_wait(&self, now: Time) -> Option<Span> {
        self.aged(now, self.expected)
    }

    /// What calls at all nodes ask of the pool. `None` if the report is too old, or the pool can compute it all.
    pub fn demand(&self, now: Time) -> Option<&PoolDemand> {
        let recent = now.since(self.received_at) < MAX_REPORT_AGE;
        (recent && !self.demand.is_empty()).then_some(&self.demand)
    }

    /// A reported wait less half of the age of the report, since the pool works off its queue while other nodes go on
    /// filling it.
    fn aged(&self, now: Time, wait: Span) -> Option<Span> {
        let age = now.since(self.received_at);
        (age < MAX_REPORT_AGE).then(|| Span(wait.0.saturating_sub(age.0 / 2)))
    }
}
