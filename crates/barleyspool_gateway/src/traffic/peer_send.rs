//! Sends a call by way of another node when this node reaches no target of its service.
//!
//! The other node chooses a target and sends the call once, under its own knowledge of cooldowns, rate limits and
//! leaving targets. This node keeps the call: its deadline, the number of its sends, the retry budget, and the decision
//! whether it may be sent again. A call goes over one other node at most. See docs/DESIGN.md, "Nodes without a
//! link to targets".

use super::answer_reader;
use super::call::Call;
use super::connections::{Connection, SendFailure};
use super::send_guard::SendGuard;
use super::target_body::TargetBody;
use super::target_reports::{self, SentRequest};
use super::target_send::{self, TargetAnswer};
use barleyspool_core::{Counter, MemberView, Reason, Route, SendEnd, Span, VersionId};
use barleyspool_wire::timer;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST, HeaderName};
use hyper::{Request, Response};
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use std::net::SocketAddr;

/// The path of a request to send a call.
pub const SEND_PATH: &str = "/send";
/// The header with the id of the target that answered. Only answers of targets have it; other answers hold a
/// [`PeerSendFailure`].
pub const TARGET_HEADER: HeaderName = HeaderName::from_static("peer-send-target");
/// The header with the key of that target's software version, in decimal.
pub const VERSION_HEADER: HeaderName = HeaderName::from_static("peer-send-version");
/// Largest body of a [`PeerSendFailure`], in bytes.
const MAX_FAILURE_BYTES: usize = 4096;

/// A call that another node is to send once, in MessagePack.
#[derive(Debug, Serialize, Deserialize)]
pub struct PeerSend {
    /// The service whose target answers it.
    pub service: String,
    /// Its route, by the configuration under which it was admitted.
    pub route: Route,
    /// The organisation that its key belongs to.
    pub organisation: String,
    /// The rank of its priority class.
    pub rank: u8,
    /// The time left until its deadline.
    pub time_left: Span,
    /// Its method.
    pub method: String,
    /// Its path and query.
    pub uri: String,
    /// Its headers, as the caller sent them.
    pub headers: Vec<(String, ByteBuf)>,
    /// Its body.
    pub body: ByteBuf,
    /// The handles of the stage results that it reads.
    pub inputs: Vec<String>,
    /// The number of the last event that the caller received, when a stream is resumed.
    pub resume_after: Option<u64>,
    /// The software version that its target must have, when it goes on with a stream.
    pub version: Option<VersionId>,
    /// The ids of targets that have already failed it.
    pub excluded_targets: Vec<String>,
}

/// Why a node that was to send a call returns no answer of a target.
#[derive(Debug, Serialize, Deserialize)]
pub enum PeerSendFailure {
    /// It sent nothing to any target.
    NotSent {
        /// The reason.
        reason: Reason,
        /// When the caller should retry.
        retry_after: Span,
    },
    /// It sent the call to a target, and the send ended so.
    Ended {
        /// The id of the target.
        target: String,
        /// How the send ended.
        end: SendEnd,
    },
}

/// The peer address of a random node by way of which a call can be sent: it reaches targets of the service and has not
/// failed the call. `None` if there is none, or if this node reaches the service itself or sends the call for
/// another node.
pub fn choose_peer(call: &Call) -> Option<String> {
    let traffic = &call.traffic;
    if call.for_peer || !traffic.reach.is_unreached(&call.service) {
        return None;
    }
    let plan = traffic.plan();
    let failed = call.failed_peers.borrow();
    let can_send = |member: &&MemberView| {
        member.key != plan.me
            && !member.unreached.contains(&call.service)
            && !failed.contains(&member.peer_address)
            && traffic.peers.is_available(traffic.now(), &member.peer_address)
    };
    let peer = plan.members.iter().filter(can_send).choose(&mut rand::rng());
    peer.map(|member| member.peer_address.clone())
}

/// Sends a call by way of the peer of `send`.
///
/// # Errors
/// How the send ended when it brought no answer that may be passed on, as for [`target_send::send_once`].
pub async fn send_once(
    call: &Call,
    send: &mut SendGuard,
    inputs: &[String],
    resume_after: Option<u64>,
) -> Result<TargetAnswer, SendEnd> {
    let traffic = &call.traffic;
    traffic.count(Counter::SentByPeer);
    let peer = send.chosen.address.clone();
    let request = request(call, &peer, inputs, resume_after).ok_or(SendEnd::Unreachable)?;
    let address = send_address(call, &peer).ok_or(SendEnd::Unreachable)?;
    let timeout = target_send::response_timeout(call);
    let sent_at = traffic.now();
    let sent = traffic
        .connections
        .send((&address, &peer), None, request, || call.sending.set(true));
    let sent = timer::timeout(timeout, sent).await;
    if matches!(sent, Ok(Err(SendFailure::NotWritten))) {
        traffic.peers.exclude(traffic.now(), &peer);
    }
    let (connection, response) = sent.map_err(|_| SendEnd::TimedOut)??;
    let target = response.headers().get(&TARGET_HEADER);
    let Some(target) = target.and_then(|target| target.to_str().ok()).map(str::to_owned) else {
        return Err(read_failure(call, send, connection, response).await);
    };
    note_target(call, send, &target);
    let (mut parts, body) = response.into_parts();
    parts.headers.remove(&TARGET_HEADER);
    let version = parts.headers.remove(&VERSION_HEADER);
    let version = version.as_ref().and_then(|version| version.to_str().ok());
    send.chosen.version = version.and_then(|version| version.parse().ok().map(VersionId));
    let sent_request = SentRequest {
        target: &target,
        call: &call.head.id,
        sent_at,
        by_peer: true,
    };
    let head = target_reports::read_head(traffic, sent_request, &parts);
    target_send::read_answer(call, &target, connection, (parts, body), head).await
}

/// Records which target the peer chose, so that the next send avoids it and the log names it.
fn note_target(call: &Call, send: &mut SendGuard, target: &str) {
    target.clone_into(&mut send.chosen.id);
    let key = call.traffic.forwarder.borrow().key(target);
    send.chosen.target = key.unwrap_or_default();
}

/// Reads why the peer returned no answer of a target, and keeps the connection after that. An answer that cannot be read leaves open
/// whether the call ran.
async fn read_failure(
    call: &Call,
    send: &mut SendGuard,
    connection: Connection,
    response: Response<TargetBody>,
) -> SendEnd {
    let peer = send.chosen.address.clone();
    let body = response.into_body();
    let Some(body) = answer_reader::read_whole(&call.traffic, &peer, body, MAX_FAILURE_BYTES).await else {
        return SendEnd::BrokenOff;
    };
    call.traffic.connections.add_idle(connection, None);
    match rmp_serde::from_slice(&body.to_bytes()) {
        Ok(PeerSendFailure::Ended { target, end }) => {
            note_target(call, send, &target);
            end
        }
        Ok(PeerSendFailure::NotSent { reason, retry_after }) => {
            call.failed_peers.borrow_mut().push(send.chosen.address.clone());
            call.peer_refusal.set(Some((reason, retry_after)));
            SendEnd::Unreachable
        }
        Err(_) => SendEnd::BrokenOff,
    }
}

/// The address at which the node with this peer address sends calls for others.
fn send_address(call: &Call, peer: &str) -> Option<String> {
    let peer: SocketAddr = peer.parse().ok()?;
    // All nodes use the same port.
    let port = call.traffic.shared.settings.peer_sends.port();
    Some(SocketAddr::new(peer.ip(), port).to_string())
}

fn request(
    call: &Call,
    peer: &str,
    inputs: &[String],
    resume_after: Option<u64>,
) -> Option<Request<Full<Bytes>>> {
    let traffic = &call.traffic;
    let forwarder = traffic.forwarder.borrow();
    let failed = call.failed_targets.borrow();
    let failed = failed.iter().filter_map(|key| forwarder.target(*key));
    let header = |(name, value): (&HeaderName, &hyper::header::HeaderValue)| {
        (name.as_str().to_owned(), ByteBuf::from(value.as_bytes()))
    };
    let send = PeerSend {
        service: call.service.clone(),
        route: call.route.clone(),
        organisation: call.organisation.clone(),
        rank: call.rank,
        time_left: call.deadline.since(traffic.now()),
        method: call.method.to_string(),
        uri: call.uri.to_string(),
        headers: call.headers.iter().map(header).collect(),
        body: ByteBuf::from(call.body.as_ref()),
        inputs: inputs.to_vec(),
        resume_after,
        version: call.stream_version.get(),
        excluded_targets: failed.map(|record| record.entry.id.clone()).collect(),
    };
    let body = rmp_serde::to_vec(&send).ok()?;
    Request::post(SEND_PATH)
        .header(HOST, peer)
        .header(CONTENT_TYPE, "application/msgpack")
        .body(Full::new(Bytes::from(body)))
        .ok()
}
