//! What tests of pools share: answers to their calls.

use barleyspool_core::{BatchCall, BatchOutcome, PieceOutcome, PieceRequest};

/// Every piece of a call was made; each result has another name.
pub fn made(call: &BatchCall) -> BatchOutcome {
    let handle = |ask: &PieceRequest| {
        PieceOutcome::Made(format!(
            "{}/{}-{}-{:?}",
            call.address, ask.request, ask.piece, call.call
        ))
    };
    BatchOutcome::Done(call.asks.iter().map(handle).collect())
}
