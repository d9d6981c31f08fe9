//! Orders of pieces, batch calls with pieces of several orders, and the outcomes of both. The module
//! documentation of `forward` defines pieces, results and handles.

use crate::{CallFingerprint, OrgKey, Span, Time};
use serde::{Deserialize, Serialize};

slotmap::new_key_type! {
    /// Identifies an order that is waiting or in progress.
    pub struct OrderKey;
    /// Identifies a batch call to a target.
    pub struct BatchKey;
}

/// The pieces of one stage of one request that are to be computed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PieceOrder {
    /// The id of the request.
    pub request: String,
    /// The fingerprint that all tries of the same call share.
    #[serde(rename = "print")]
    pub fingerprint: CallFingerprint,
    /// The index of the stage in its route.
    pub stage: u32,
    /// The number of pieces; their indexes start at 0.
    pub pieces: u32,
    /// The key that is sent with pieces without inputs, from which the target computes them; empty for
    /// pieces with inputs.
    pub key: String,
    /// The handles of the results that each piece reads.
    pub inputs: Vec<String>,
    /// The time at which the request fails.
    pub deadline: Time,
    /// The time at which the stage should be done for the request to meet its deadline.
    pub due: Time,
    /// The priority of the request; 0 is the highest.
    pub rank: u8,
    /// The approximate size of one result, in bytes.
    pub bytes: u64,
    /// The approximate total size of the inputs of each piece, in bytes.
    pub input_bytes: u64,
    /// The availability zone in which the results will be read; empty when any zone will do.
    pub zone: String,
    /// The organisation that the request belongs to. Orders of older nodes name none, and share what one organisation
    /// gets.
    #[serde(default)]
    pub organisation: OrgKey,
}

/// The outcome of one piece of a batch call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PieceOutcome {
    /// The piece was computed; the handle of its result.
    Computed(String),
    /// The deadline had passed before the target started on the piece.
    Expired,
    /// An input is no longer stored.
    InputsGone,
    /// The target has no memory left for the result.
    NoCapacity,
    /// The piece failed for another reason.
    Failed,
}

/// The outcome of a batch call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BatchOutcome {
    /// Answered, with one outcome for each piece of the call.
    Done(Vec<PieceOutcome>),
    /// The target reported that it did not run the call.
    Refused {
        /// Whether the address now belongs to another target.
        misdirected: bool,
    },
    /// No byte of the request was written.
    Unreachable,
    /// Part of the request was written, and no complete answer was received.
    BrokenOff,
    /// Like `BrokenOff`, and the target has crashed.
    TargetCrashed,
}

/// The outcome of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderOutcome {
    /// Every piece was computed; the handles of the results by piece index.
    #[serde(rename = "Made")]
    Computed(Vec<String>),
    /// Inputs are no longer stored.
    InputsGone,
    /// The order cannot be completed by its deadline; the time after which to retry.
    TooLate(Span),
    /// Another node now owns the pool, and no piece of the order was started here.
    Moved,
    /// A piece failed too often, or too many targets crashed while computing pieces of the order.
    Failed,
}

/// A piece of a batch call, identified by its order.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(super) struct BatchItem {
    /// The order that it belongs to.
    pub(super) order: OrderKey,
    /// The index of the piece in the order.
    pub(super) piece: u32,
    /// The approximate size of its result, in bytes. The result takes it even if the order ends before the call.
    pub(super) bytes: u64,
}

/// The request for one piece as it is sent to a target.
///
/// It copies the data of the order, because the order may be cancelled before the call is written, and the
/// outcomes in an answer are matched to the pieces of the call by position alone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PieceRequest {
    /// The id of the request.
    pub request: String,
    /// The fingerprint that all tries of the same call share.
    pub fingerprint: CallFingerprint,
    /// The index of the stage in its route.
    pub stage: u32,
    /// The index of the piece in the order.
    pub piece: u32,
    /// The time until the deadline of the request.
    pub time_left: Span,
    /// The key that a piece without inputs is computed from; empty for a piece with inputs.
    pub key: String,
    /// The handles of the results that the piece reads.
    pub inputs: Vec<String>,
    /// The approximate total size of the inputs, in bytes.
    pub input_bytes: u64,
}

/// A call with pieces of one or more orders that is to be sent to a target of a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchCall {
    /// Identifies the call in the queue.
    pub call: BatchKey,
    /// The id of the target.
    pub id: String,
    /// The address of the target.
    pub address: String,
    /// The requested pieces; an answer has one outcome for each, in the same order.
    pub pieces: Vec<PieceRequest>,
}
