//! What calls at all nodes ask of a pool, when that is more than it can compute.

use super::RankedPieces;
use crate::Span;
use serde::{Deserialize, Serialize};

/// Calls are admitted at such a rate that the wait would reach its limit after this time. It is longer than the half
/// second or so after which an admitted call shows in the reports of an owner: nodes that react faster than they are
/// told admit and refuse in turns.
const LIMIT_APPROACH_TIME: Span = Span::from_secs(1);

/// The throughput of a pool and the pieces a second that calls at all nodes ask of it, by rank. Empty unless they ask for
/// more than the throughput: nodes then admit all calls that they expect to be in time.
///
/// The wait alone says too little. A node learns late what others have admitted, so that all of them admit until the
/// wait is far above the limit, and refuse until the pool has nothing left that can be in time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolDemand {
    /// In pieces a second.
    throughput: u32,
    offered: RankedPieces,
}

impl PoolDemand {
    /// The demand on a pool that computes `throughput` pieces a second, of which calls ask for `offered` a second.
    pub fn new(throughput: u32, offered: &RankedPieces) -> Self {
        if throughput == 0 || offered.total() <= u64::from(throughput) {
            return Self::default();
        }
        Self {
            throughput,
            offered: offered.clone(),
        }
    }

    /// Whether calls ask for no more than the pool computes, or nothing is known of them.
    pub fn is_empty(&self) -> bool {
        self.throughput == 0
    }

    /// The share of the calls of a rank that are to be admitted, from 0 to 1. `slack` is the time by which the wait of
    /// such a call is below its limit. More important ranks come first; this one gets what they leave, and as many pieces
    /// as may join the queue before the wait reaches the limit.
    pub fn admitted_share(&self, rank: u8, slack: Span) -> f64 {
        let above = rank.checked_sub(1).map_or(0, |above| self.offered.up_to(above));
        let offered = self.offered.up_to(rank) - above;
        if self.is_empty() || offered == 0 {
            return 1.0;
        }
        let throughput = f64::from(self.throughput);
        let left = (throughput - above as f64).max(0.0);
        let queued = throughput * slack.as_secs() / LIMIT_APPROACH_TIME.as_secs();
        ((left + queued) / offered as f64).min(1.0)
    }
}
