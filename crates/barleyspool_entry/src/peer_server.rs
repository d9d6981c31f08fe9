//! The RPC server for other entry nodes.

use crate::control_thread::{ControlMessage, ControlSender};
use barleyspool_core::{ControlEvent, Gossip, NodeId, PeerReply};
use barleyspool_wire::net;
use barleyspool_wire::peer::{self, Peer, ServerTransport};
use futures::StreamExt;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::TcpListener;
use tokio::sync::oneshot;

/// Answers gossip from peers with the control state.
#[derive(Clone, Debug)]
struct PeerServer {
    control: ControlSender,
}

impl Peer for PeerServer {
    async fn ask(self, _: Context, gossip: Gossip) -> PeerReply {
        let (reply, receiver) = oneshot::channel();
        let sent = self.control.send(ControlMessage::GossipRequest { gossip, reply });
        // Without the control thread the reply is the default, whose lease vote is ignored.
        if sent.is_err() {
            PeerReply::default()
        } else {
            receiver.await.unwrap_or_default()
        }
    }

    async fn links(self, _: Context, from: NodeId, lost: bool) {
        let event = ControlEvent::PeerLinksLost { peer: from, lost };
        // Without the control thread nobody is named to callers.
        let _ = self.control.send(ControlMessage::Event(event));
    }
}

/// Serves peers until the task is dropped.
pub async fn serve(listener: TcpListener, control: ControlSender) {
    let mut connections = std::pin::pin!(net::incoming(listener));
    while let Some(connection) = connections.next().await {
        let Ok(stream) = connection else { continue };
        let transport: ServerTransport = peer::transport(stream);
        let server = PeerServer {
            control: control.clone(),
        };
        let channel = BaseChannel::with_defaults(transport);
        tokio::spawn(channel.execute(server.serve()).for_each(|response| async {
            tokio::spawn(response);
        }));
    }
}
