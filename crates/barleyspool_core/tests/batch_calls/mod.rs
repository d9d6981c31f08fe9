//! Answers to batch calls, shared by the tests of pools.

use barleyspool_core::{BatchCall, BatchOutcome, PieceOutcome, PieceRequest};

/// An answer in which every piece of the call is computed, with a different handle for each result.
pub fn all_computed(call: &BatchCall) -> BatchOutcome {
    let handle = |piece: &PieceRequest| {
        PieceOutcome::Computed(format!(
            "{}/{}-{}-{:?}",
            call.address, piece.request, piece.piece, call.call
        ))
    };
    BatchOutcome::Done(call.pieces.iter().map(handle).collect())
}
