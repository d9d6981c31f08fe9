//! Numbers of pieces by rank.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Numbers of pieces by the rank of their calls; rank 0 is the most important. Ranks without pieces are left out, so
/// that a message with few ranks is short.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankedPieces(BTreeMap<u8, u32>);

impl RankedPieces {
    /// Adds pieces of a rank.
    pub fn add(&mut self, rank: u8, count: u32) {
        if count > 0 {
            let pieces = self.0.entry(rank).or_default();
            *pieces = pieces.saturating_add(count);
        }
    }

    /// Adds the pieces of all ranks of `other`.
    pub fn add_all(&mut self, other: &Self) {
        for (rank, count) in &other.0 {
            self.add(*rank, *count);
        }
    }

    /// Subtracts pieces of a rank.
    pub fn subtract(&mut self, rank: u8, count: u32) {
        if let Some(pieces) = self.0.get_mut(&rank) {
            *pieces = pieces.saturating_sub(count);
            if *pieces == 0 {
                self.0.remove(&rank);
            }
        }
    }

    /// Subtracts the pieces of all ranks of `other`.
    pub fn subtract_all(&mut self, other: &Self) {
        for (rank, count) in &other.0 {
            self.subtract(*rank, *count);
        }
    }

    /// Whether there are no pieces of any rank.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The ranks with pieces, the most important first.
    pub fn ranks(&self) -> impl Iterator<Item = u8> + '_ {
        self.0.keys().copied()
    }

    /// The number of pieces of all ranks.
    pub fn total(&self) -> u64 {
        self.0.values().copied().map(u64::from).sum()
    }

    /// The number of pieces of this rank and of more important ones.
    pub fn up_to(&self, rank: u8) -> u64 {
        self.0.range(..=rank).map(|(_, count)| u64::from(*count)).sum()
    }
}
