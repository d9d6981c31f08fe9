//! Orders for pieces of stages, from the node that has the request to the node that owns the pool.
//!
//! Times in a message are counted from its arrival, in microseconds: clocks of two nodes need not agree.

use crate::net;
use crate::peer::{self, PeerTransport};
use barleyspool_core::{Grant, OrderOutcome, PieceOrder, Span};
use std::io;
use tarpc::serde::{Deserialize, Serialize};
use tarpc::{ClientMessage, Response};
use tokio::net::TcpStream;

/// An order for a shard of a pool.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(crate = "tarpc::serde")]
pub struct RemoteOrder {
    /// The pool's service.
    pub service: String,
    /// Which shard of it.
    pub shard: u32,
    /// The key of the node that asks.
    #[serde(rename = "from")]
    pub requester: u64,
    /// The order; its times are counted from the message's arrival.
    pub order: PieceOrder,
}

/// How a remote order ended.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(crate = "tarpc::serde")]
pub struct RemoteOrderOutcome {
    /// What became of it.
    #[serde(rename = "end")]
    pub outcome: OrderOutcome,
    /// How long a full call that came now would take, waiting included.
    #[serde(rename = "wait")]
    pub expected_wait: Span,
}

/// Results that a request does not need any more.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(crate = "tarpc::serde")]
pub struct RemoteRelease {
    /// The pool's service.
    pub service: String,
    /// Which shard of it.
    pub shard: u32,
    /// The results.
    pub handles: Vec<String>,
}

/// Asks the owner of a service of engines which of them a call should go to.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(crate = "tarpc::serde")]
pub struct PlaceRequest {
    /// The call's id.
    pub call: String,
    /// The service.
    pub service: String,
    /// Which shard of it.
    pub shard: u32,
    /// The key of the node that asks.
    #[serde(rename = "from")]
    pub requester: u64,
    /// How long the call may wait for an engine that takes so many calls a second and no more.
    pub max_wait: Span,
    /// The call's route.
    pub route: String,
    /// Tokens that fit into one engine.
    pub engine_memory: u64,
    /// The shared beginning of its prompt; zero for none.
    pub prefix: u64,
    /// Tokens of that beginning.
    pub prefix_tokens: u32,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u32,
    /// Where its inputs lie.
    pub zone: String,
    /// The size of its inputs, in bytes.
    pub input_bytes: u64,
    /// Ids of targets that failed it already.
    #[serde(rename = "avoid")]
    pub excluded_targets: Vec<String>,
    /// Whether an engine can take the shared beginning of its prompt from another one.
    #[serde(rename = "copies")]
    pub can_copy_prefixes: bool,
}

/// The engine that an owner chose for a call.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(crate = "tarpc::serde")]
pub struct ChosenEngine {
    /// Its id.
    pub target: String,
    /// The address of an engine that most likely holds the shared beginning of the prompt, when this one does not.
    #[serde(rename = "source")]
    pub prefix_source: Option<String>,
    /// Whether it takes so many calls a second and no more.
    #[serde(rename = "bounded")]
    pub rate_limited: bool,
    /// How long the call has to wait before it is sent.
    pub wait: Span,
}

/// The answer of an owner that was asked for an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(crate = "tarpc::serde")]
pub enum PlaceAnswer {
    /// The call goes there.
    #[serde(rename = "At")]
    Chosen(ChosenEngine),
    /// Every engine that is usable has been given all that it takes; when there is room again.
    #[serde(rename = "NoRoom")]
    NoCapacity(Span),
    /// No engine is usable.
    #[serde(rename = "Busy")]
    NoneUsable,
}

/// Asks the owner of a target's rate whether a call may go there.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(crate = "tarpc::serde")]
pub struct GrantRequest {
    /// The target's id.
    pub target: String,
    /// The key of the node that asks.
    #[serde(rename = "from")]
    pub requester: u64,
    /// How long the call may wait.
    pub max_wait: Span,
}

/// How a placed call goes on.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(crate = "tarpc::serde")]
pub enum PlacedCallEvent {
    /// Its first output came.
    FirstOutput,
    /// It ended well, or its caller left.
    #[serde(rename = "Ended")]
    Finished,
    /// Its target failed it.
    Failed,
}

/// What the owner of a pool does for other nodes.
#[tarpc::service]
pub trait Pieces {
    /// Makes pieces; the answer comes when all are made or the order has failed.
    async fn make(order: RemoteOrder) -> RemoteOrderOutcome;
    /// Frees results.
    async fn release(release: RemoteRelease);
    /// Chooses an engine for a call; none when the node is about to end.
    async fn place(request: PlaceRequest) -> Option<PlaceAnswer>;
    /// Says whether a call may go to a target that takes so many calls a second; none when the node is about to end.
    async fn grant(request: GrantRequest) -> Option<Grant>;
    /// Tells how a placed call goes on.
    async fn placed(call: String, step: PlacedCallEvent);
    /// Answers, so that the asking node sees that this one is there.
    async fn ping();
}

/// The serving side of a connection.
pub type ServerTransport = PeerTransport<ClientMessage<PiecesRequest>, Response<PiecesResponse>>;

/// Puts `tarpc`'s framing on an accepted connection.
pub fn server_transport(stream: TcpStream) -> ServerTransport {
    peer::transport(stream)
}

/// Connects to another node. The connection's task runs until the client is dropped.
///
/// # Errors
/// When the connection cannot be made.
pub async fn connect(address: &str) -> io::Result<PiecesClient> {
    let stream = net::connect(address).await?;
    let mut config = tarpc::client::Config::default();
    config.max_in_flight_requests = MAX_IN_FLIGHT;
    config.pending_request_buffer = MAX_IN_FLIGHT;
    Ok(PiecesClient::new(config, peer::transport(stream)).spawn())
}

/// Orders that may be under way on one connection.
const MAX_IN_FLIGHT: usize = 4096;
