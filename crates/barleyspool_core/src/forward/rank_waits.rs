//! The expected wait of a pool by rank, as its owner reports it.

use crate::Span;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The time until one more piece submitted now would be computed, by the rank of its call: the wait in the queue and
/// the duration of its batch call.
///
/// Only ranks that differ from the next more important one are listed. A report of a node that does not estimate waits
/// by rank lists none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankWaits(BTreeMap<u8, Span>);

impl RankWaits {
    /// The waits of the given ranks.
    pub fn new(waits: impl IntoIterator<Item = (u8, Span)>) -> Self {
        Self(waits.into_iter().collect())
    }

    /// The wait for a rank, which is that of the next more important rank when it is not listed. `None` if neither
    /// is.
    pub fn wait(&self, rank: u8) -> Option<Span> {
        self.0.range(..=rank).next_back().map(|(_, wait)| *wait)
    }
}
