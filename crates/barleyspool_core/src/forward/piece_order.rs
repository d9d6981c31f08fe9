//! Orders for pieces, calls with pieces of several orders, and what becomes of both.

use crate::{CallFingerprint, Span, Time};
use serde::{Deserialize, Serialize};

slotmap::new_key_type! {
    /// An order that is waiting or at work.
    pub struct OrderKey;
    /// A call to a target.
    pub struct BatchKey;
}

/// Pieces of one stage of one request, to be made.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PieceOrder {
    /// The request's id.
    pub request: String,
    /// What the request has in common with other tries of the same call.
    pub print: CallFingerprint,
    /// The stage's place in the route.
    pub stage: u32,
    /// How many pieces; they are counted from 0.
    pub pieces: u32,
    /// What pieces without inputs work on; empty otherwise.
    pub key: String,
    /// The results that each piece needs.
    pub inputs: Vec<String>,
    /// When the request is given up.
    pub deadline: Time,
    /// When the stage should be done for the request to be in time.
    pub due: Time,
    /// The request's priority; 0 is the most important.
    pub rank: u8,
    /// The approximate size of one result, in bytes.
    pub bytes: u64,
    /// The approximate size of all results that each piece needs, in bytes.
    pub input_bytes: u64,
    /// The zone where the results will be read; empty when it does not matter.
    pub zone: String,
}

/// What became of one piece of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PieceOutcome {
    /// It was made.
    Computed(String),
    /// Its time was over when its turn came.
    Expired,
    /// One of its inputs is gone.
    InputsGone,
    /// The target has no room for the result.
    NoCapacity,
    /// It failed otherwise.
    Failed,
}

/// What became of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BatchOutcome {
    /// Answered, with one outcome for each of its items.
    Done(Vec<PieceOutcome>),
    /// The target said that it did not run it.
    Refused {
        /// Whether its address belongs to another target now.
        misdirected: bool,
    },
    /// Nothing of it was written.
    Unreachable,
    /// Something was written, and no whole answer came back.
    BrokenOff,
    /// The same, and the target has ended.
    TargetCrashed,
}

/// How an order ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderOutcome {
    /// Every piece was made; the handles in order.
    #[serde(rename = "Made")]
    Computed(Vec<String>),
    /// Inputs are gone.
    InputsGone,
    /// It cannot be made in time; when to come back.
    TooLate(Span),
    /// Another node owns the pool now; nothing of the order was begun here.
    Moved,
    /// Pieces failed too often.
    Failed,
}

/// One piece of a call, by the order that it belongs to.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(super) struct BatchItem {
    /// The order.
    pub(super) order: OrderKey,
    /// Which piece of it.
    pub(super) piece: u32,
}

/// One piece as it is asked of a target. It is a copy: the order may be withdrawn before the call is written, and the
/// outcomes of an answer belong to the pieces of the call by their place alone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PieceRequest {
    /// The request's id.
    pub request: String,
    /// What the request has in common with other tries of the same call.
    pub print: CallFingerprint,
    /// The stage's place in the route.
    pub stage: u32,
    /// Which piece of it.
    pub piece: u32,
    /// How long the result is of use.
    pub time_left: Span,
    /// What a piece without inputs works on; empty otherwise.
    pub key: String,
    /// The results that it needs.
    pub inputs: Vec<String>,
    /// The approximate size of all of them, in bytes.
    pub input_bytes: u64,
}

/// A call that is to be made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchCall {
    /// The call.
    pub call: BatchKey,
    /// The run of the target that is meant.
    pub id: String,
    /// Its address.
    pub address: String,
    /// The pieces; an answer has one outcome for each, in this order.
    pub pieces: Vec<PieceRequest>,
}
