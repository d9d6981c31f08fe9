//! Calls between nodes of the HTTP gateway (`barleyspool_gateway`): orders for pieces of stages, from the node that has
//! the request to the node that owns the pool; placements of calls at engines; and grants for rate-limited targets.
//!
//! A piece is a unit of the work of one stage for one request. A pool is the set of targets that compute the pieces of
//! a service. A large pool is split into shards; one node owns each shard and makes the calls to its targets. A pool
//! that is not split is one shard with the number zero.
//!
//! Times in a message are relative to its arrival, in microseconds, because the clocks of two nodes may differ.
//! The fields of a message are encoded by position, so their order is part of the wire format. Their names are not
//! sent; the `rename` attributes on fields only keep the outer names. Enum variants are sent by name, so their outer
//! names and the names of the service methods are part of the wire format.

use crate::net;
use crate::peer::{self, PeerTransport};
use barleyspool_core::{
    Grant, OrderOutcome, PieceOrder, PoolDemand, RankWaits, RankedPieces, Span, VersionId,
};
use std::io;
use tarpc::serde::{Deserialize, Serialize};
use tarpc::{ClientMessage, Response};
use tokio::net::TcpStream;

/// An order sent to the owner of a shard of a pool.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(crate = "tarpc::serde")]
pub struct RemoteOrder {
    /// The service of the pool.
    pub service: String,
    /// The number of the shard.
    pub shard: u32,
    /// The key of the requesting node.
    #[serde(rename = "from")]
    pub requester: u64,
    /// The order; its times are relative to the arrival of the message.
    pub order: PieceOrder,
    /// The pieces that calls admitted at the requesting node have yet to submit to the pool, by rank, without those of
    /// this order. An older node sends none.
    #[serde(default)]
    pub planned: RankedPieces,
    /// The pieces a second that recent calls at the requesting node ask of the pool, by rank. An older node sends none.
    #[serde(default, skip_serializing_if = "RankedPieces::is_empty")]
    pub offered: RankedPieces,
}

/// The outcome of a remote order.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(crate = "tarpc::serde")]
pub struct RemoteOrderOutcome {
    /// The outcome of the order.
    #[serde(rename = "end")]
    pub outcome: OrderOutcome,
    /// The time until one more piece submitted now would be computed, which is its wait in the queue plus the duration
    /// of its call; zero if the owner did not try to compute the order.
    #[serde(rename = "wait")]
    pub expected_wait: Span,
    /// The same time by the rank of the call; none from an older node, or if the owner did not try to compute the order.
    #[serde(default)]
    pub waits: RankWaits,
    /// What calls at all nodes ask of the pool, if it is more than the pool computes; empty from an older node.
    #[serde(default, skip_serializing_if = "PoolDemand::is_empty")]
    pub demand: PoolDemand,
}

/// Results that a request no longer needs.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(crate = "tarpc::serde")]
pub struct RemoteRelease {
    /// The service of the pool.
    pub service: String,
    /// The number of the shard.
    pub shard: u32,
    /// The handles of the results.
    pub handles: Vec<String>,
}

/// Asks the owner of a shard of an engine service to choose an engine for a call.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(crate = "tarpc::serde")]
pub struct PlaceRequest {
    /// The id of the placement, not of the call: the id of the call, a slash and the number of this placement.
    pub call: String,
    /// The service.
    pub service: String,
    /// The number of the shard.
    pub shard: u32,
    /// The key of the requesting node.
    #[serde(rename = "from")]
    pub requester: u64,
    /// How long the call may wait for a rate-limited engine.
    pub max_wait: Span,
    /// The route of the call.
    pub route: String,
    /// The memory of one engine, in tokens.
    pub engine_memory: u64,
    /// The software version that the engine must have, when the call goes on with a stream.
    pub version: Option<VersionId>,
    /// The hash of the shared prefix of the prompt; zero for none.
    pub prefix: u64,
    /// The number of tokens of the shared prefix.
    pub prefix_tokens: u32,
    /// The number of tokens of the whole prompt.
    pub prompt_tokens: u32,
    /// The zone that stores the inputs of the call.
    pub zone: String,
    /// The size of the inputs, in bytes.
    pub input_bytes: u64,
    /// How long after the choice the call will most likely be sent.
    pub lead: Span,
    /// The ids of targets that must not be chosen: those that failed the call, and those in cooldown at the
    /// requesting node.
    #[serde(rename = "avoid")]
    pub excluded_targets: Vec<String>,
    /// Whether an engine can copy the shared prefix from another engine.
    #[serde(rename = "copies")]
    pub can_copy_prefixes: bool,
}

/// The engine that an owner chose for a call.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(crate = "tarpc::serde")]
pub struct ChosenEngine {
    /// The id of the engine.
    pub target: String,
    /// The address of another engine that most likely holds the shared prefix, when the chosen one does not.
    #[serde(rename = "source")]
    pub prefix_source: Option<String>,
    /// Whether the engine is rate-limited.
    #[serde(rename = "bounded")]
    pub rate_limited: bool,
    /// How long the call must wait before it is sent.
    pub wait: Span,
    /// Whether the call may have to wait at the engine for a slot.
    pub may_queue: bool,
}

/// The answer to a [`PlaceRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(crate = "tarpc::serde")]
pub enum PlaceAnswer {
    /// The engine that was chosen.
    #[serde(rename = "At")]
    Chosen(ChosenEngine),
    /// All usable engines have used up their rate limits; the time until one has capacity again.
    #[serde(rename = "NoRoom")]
    NoCapacity(Span),
    /// No engine is usable.
    #[serde(rename = "Busy")]
    NoneUsable,
}

/// Asks the owner of the rate limit of a target whether a call may be sent to it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(crate = "tarpc::serde")]
pub struct GrantRequest {
    /// The id of the target.
    pub target: String,
    /// The key of the requesting node.
    #[serde(rename = "from")]
    pub requester: u64,
    /// How long the call may wait.
    pub max_wait: Span,
}

/// Asks the owner of a brittle target to reserve room for a call.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(crate = "tarpc::serde")]
pub struct SlotRequest {
    /// The id of the reservation, under which the events of the call are reported: the id of the call, a slash and a
    /// number.
    pub call: String,
    /// The id of the target.
    pub target: String,
    /// How many refusals in a second the target bears.
    pub refusals: f64,
}

/// An event of a call that was placed by another node.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(crate = "tarpc::serde")]
pub enum PlacedCallEvent {
    /// The first output arrived.
    FirstOutput {
        /// The time since the call was sent. A call may be placed long before that.
        took: Span,
    },
    /// The call completed, or its caller disconnected.
    #[serde(rename = "Ended")]
    Finished,
    /// The target failed the call.
    Failed,
    /// The target, which is brittle, refused the call because it is full.
    Refused,
}

/// The service that a gateway node offers to other gateway nodes: as the owner of a pool or of one of its shards it
/// computes and releases pieces, as the owner of a shard of an engine service it places calls, and as the owner of a
/// target's rate limit it grants calls.
#[tarpc::service]
pub trait Pieces {
    /// Computes the pieces of an order; answers when all are computed or the order has failed.
    async fn make(order: RemoteOrder) -> RemoteOrderOutcome;
    /// Releases results.
    async fn release(release: RemoteRelease);
    /// Chooses an engine for a call; `None` when the node is stopping.
    async fn place(request: PlaceRequest) -> Option<PlaceAnswer>;
    /// Decides whether a call may be sent to a rate-limited target; `None` when the node is stopping.
    async fn grant(request: GrantRequest) -> Option<Grant>;
    /// Reserves room for a call at a brittle target; returns whether there is any, or `None` when the node is stopping.
    async fn reserve(request: SlotRequest) -> Option<bool>;
    /// Reports an event of a placed call, or of one for which room was reserved.
    async fn placed(call: String, step: PlacedCallEvent);
    /// Answers at once, so that the requesting node can check that this node responds.
    async fn ping();
}

/// The transport of the server side of a connection.
pub type ServerTransport = PeerTransport<ClientMessage<PiecesRequest>, Response<PiecesResponse>>;

/// Wraps an accepted connection in the framing that `tarpc` uses.
pub fn server_transport(stream: TcpStream) -> ServerTransport {
    peer::transport(stream)
}

/// Connects to another node. The task that drives the connection runs until the client is dropped.
///
/// # Errors
/// When the connection cannot be opened.
pub async fn connect(address: &str) -> io::Result<PiecesClient> {
    let stream = net::connect(address).await?;
    let mut config = tarpc::client::Config::default();
    config.max_in_flight_requests = MAX_IN_FLIGHT;
    config.pending_request_buffer = MAX_IN_FLIGHT;
    Ok(PiecesClient::new(config, peer::transport(stream)).spawn())
}

/// The maximum number of calls in flight on one connection.
const MAX_IN_FLIGHT: usize = 4096;
