//! What tests of pools share: answers to their calls.

use barleyspool_core::{CallOutcome, PieceAsk, PieceCall, PieceOutcome};

/// Every piece of a call was made; each result has another name.
pub fn made(call: &PieceCall) -> CallOutcome {
    let handle = |ask: &PieceAsk| {
        PieceOutcome::Made(format!(
            "{}/{}-{}-{:?}",
            call.address, ask.request, ask.piece, call.call
        ))
    };
    CallOutcome::Done(call.asks.iter().map(handle).collect())
}
