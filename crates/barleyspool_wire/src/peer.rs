//! Control calls between entry nodes: `tarpc` over our own connections, in MessagePack.

use crate::net;
use barleyspool_core::{Gossip, PeerReply};
use std::io;
use std::time::{Duration, Instant};
use tarpc::client::RpcError;
use tarpc::serde::{Deserialize, Serialize};
use tarpc::serde_transport::Transport;
use tarpc::tokio_util::codec::{Framed, LengthDelimitedCodec};
use tarpc::{ClientMessage, Response, context};
use tokio::net::TcpStream;
use tokio_serde::formats::MessagePack;

/// The largest message between peers, in bytes.
const MAX_FRAME_BYTES: usize = 512 * 1024;

/// What a node answers to its peers.
#[tarpc::service]
pub trait Peer {
    /// Says what the asking node is at, and hears what this one is at and its word for the lease.
    async fn ask(gossip: Gossip) -> PeerReply;
}

/// A transport of `Item`s in and `SinkItem`s out over a connection.
pub type PeerTransport<Item, SinkItem> = Transport<TcpStream, Item, SinkItem, MessagePack<Item, SinkItem>>;

/// The serving side of a connection.
pub type ServerTransport = PeerTransport<ClientMessage<PeerRequest>, Response<PeerResponse>>;

/// Puts `tarpc`'s framing on a connection.
pub fn transport<Item, SinkItem>(stream: TcpStream) -> PeerTransport<Item, SinkItem>
where
    Item: for<'de> Deserialize<'de>,
    SinkItem: Serialize,
{
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    tarpc::serde_transport::new(Framed::new(stream, codec), MessagePack::default())
}

/// Connects to a peer's control address. The connection's task runs until the client is dropped.
///
/// # Errors
/// When the connection cannot be made.
pub async fn connect(address: &str) -> io::Result<PeerClient> {
    let stream = net::connect(address).await?;
    Ok(PeerClient::new(tarpc::client::Config::default(), transport(stream)).spawn())
}

/// Asks a peer; gives up after `timeout`.
///
/// # Errors
/// When the connection fails or the peer does not answer in time.
pub async fn exchange_gossip(
    client: &PeerClient,
    gossip: Gossip,
    timeout: Duration,
) -> Result<PeerReply, RpcError> {
    let mut context = context::current();
    context.deadline = Instant::now() + timeout;
    client.ask(context, gossip).await
}
