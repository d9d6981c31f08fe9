//! The pieces that calls at one node ask of a pool.

use super::RankedPieces;
use super::decaying_count::DecayingCount;
use crate::{Span, Time};
use std::collections::BTreeMap;
use std::f64::consts::LN_2;

/// The half-life of the counts. A node of the reference pool gets about two important calls a second, so that a shorter
/// one would follow single calls; with a longer one, calls would be refused after a burst for what it asked.
const OFFERED_HALF_LIFE: Span = Span::from_millis(700);

/// The pieces of recent calls at one node that ask for a pool, by rank. Calls that this pool refuses count too, and those
/// that another one refuses do not: this pool would not get them in any case.
#[derive(Clone, Debug, Default)]
pub struct OfferedPieces(BTreeMap<u8, DecayingCount>);

impl OfferedPieces {
    /// Counts the pieces of a call.
    pub fn add(&mut self, now: Time, rank: u8, pieces: u32) {
        let count = self.0.entry(rank).or_default();
        count.add(now, OFFERED_HALF_LIFE, f64::from(pieces));
    }

    /// The pieces a second, by rank.
    pub fn per_second(&self, now: Time) -> RankedPieces {
        let mut pieces = RankedPieces::default();
        for (rank, count) in &self.0 {
            let rate = count.value(now, OFFERED_HALF_LIFE) * LN_2 / OFFERED_HALF_LIFE.as_secs();
            pieces.add(*rank, rate.round() as u32);
        }
        pieces
    }
}
