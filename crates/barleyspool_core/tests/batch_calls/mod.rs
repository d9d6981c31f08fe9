//! What tests of pools share: answers to their calls.

use barleyspool_core::{BatchCall, BatchOutcome, PieceOutcome, PieceRequest};

/// Every piece of a call was made; each result has another name.
pub fn made(call: &BatchCall) -> BatchOutcome {
    let handle = |piece: &PieceRequest| {
        PieceOutcome::Computed(format!(
            "{}/{}-{}-{:?}",
            call.address, piece.request, piece.piece, call.call
        ))
    };
    BatchOutcome::Done(call.pieces.iter().map(handle).collect())
}
