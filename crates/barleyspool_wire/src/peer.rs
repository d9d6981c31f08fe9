//! Gossip between entry nodes: `tarpc` with MessagePack over the connections of [`net`].
//!
//! A peer of an entry node is another entry node. The transport of this module also carries the calls of
//! [`crate::pieces`] between gateway nodes.

use crate::net;
use barleyspool_core::{Gossip, NodeId, PeerReply};
use std::io;
use std::time::{Duration, Instant};
use tarpc::client::RpcError;
use tarpc::serde::{Deserialize, Serialize};
use tarpc::serde_transport::Transport;
use tarpc::tokio_util::codec::{Framed, LengthDelimitedCodec};
use tarpc::{ClientMessage, Response, context};
use tokio::net::TcpStream;
use tokio_serde::formats::MessagePack;

/// The largest message between two nodes, in bytes.
const MAX_FRAME_BYTES: usize = 512 * 1024;

/// The service that an entry node offers to its peers, the other entry nodes. The method name is part of the
/// wire format.
#[tarpc::service]
pub trait Peer {
    /// Exchanges gossip: the request carries the state of the requesting node, the reply the state of the answering
    /// node and its vote for the lease.
    async fn ask(gossip: Gossip) -> PeerReply;
    /// Reports whether the node `from` has lost its links to all targets.
    async fn links(from: NodeId, lost: bool);
}

/// A transport that receives `Item`s and sends `SinkItem`s over a connection.
pub type PeerTransport<Item, SinkItem> = Transport<TcpStream, Item, SinkItem, MessagePack<Item, SinkItem>>;

/// The transport of the server side of a connection.
pub type ServerTransport = PeerTransport<ClientMessage<PeerRequest>, Response<PeerResponse>>;

/// Wraps a connection in the length-delimited framing that `tarpc` uses.
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

/// Connects to the control address of a peer. The task that drives the connection runs until the client is dropped.
///
/// # Errors
/// When the connection cannot be opened.
pub async fn connect(address: &str) -> io::Result<PeerClient> {
    let stream = net::connect(address).await?;
    Ok(PeerClient::new(tarpc::client::Config::default(), transport(stream)).spawn())
}

/// Exchanges gossip with a peer, with a timeout.
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

/// Reports to a peer whether the node `from` has lost its links to all targets, with a timeout.
///
/// # Errors
/// When the connection fails or the peer does not answer in time, as a peer of an earlier version does not.
pub async fn report_links(
    client: &PeerClient,
    from: NodeId,
    lost: bool,
    timeout: Duration,
) -> Result<(), RpcError> {
    let mut context = context::current();
    context.deadline = Instant::now() + timeout;
    client.links(context, from, lost).await
}
