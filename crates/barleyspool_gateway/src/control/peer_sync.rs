//! Requests source data (configuration, evacuated zones, targets) from other nodes that have newer data.

use super::relay::{FeedUpdate, RelayAnswer, relay_path};
use super::state::{ControlState, Origin};
use crate::adapters::Feed;
use crate::event_log::LogEvent;
use barleyspool_core::{
    HeldRevisions, ListHolder, ListRequester, Member, MemberHealth, PackedList, Revision, Span, Time,
    choose_list_holder,
};
use barleyspool_wire::net;
use barleyspool_wire::timer;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::Request;
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// Interval between checks of whether to request data from another node or to announce this node's state. A
/// report of newer data triggers a check at once.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1000);
/// How long other nodes are preferred over a node that failed to answer.
const FAILURE_BACKOFF: Span = Span::from_secs(2);
/// Minimum interval between two requests. Configurations can change ten times per second, and each request
/// costs a connection to a node that receives requests from many others as well.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum size of an answer.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// How long other nodes are preferred over a node that was busy transferring lists: a list takes about 0.1 s
/// on a slow link.
const BUSY_BACKOFF: Span = Span::from_millis(100);
/// Minimum interval between two requests while the nodes that have the list are busy.
const BUSY_REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// Nodes that failed to answer or were busy, and until when other nodes are preferred over them.
type AvoidedPeers = HashMap<SocketAddr, Time>;

/// Requests newer data from other nodes, and periodically announces the source state of this node, until the
/// process ends.
pub async fn run(state: Rc<ControlState>) {
    let mut avoided = AvoidedPeers::new();
    // The longest time until the next check.
    let mut max_wait = CHECK_INTERVAL;
    loop {
        state.source_access.wait_for_newer_report(max_wait).await;
        max_wait = CHECK_INTERVAL;
        state.expire_targets();
        state.update_source_role();
        state.announce_if_due();
        if !state.should_ask() {
            continue;
        }
        let Some(peer) = choose_peer(&state, &avoided) else {
            continue;
        };
        if request_and_apply(&state, &peer, &mut avoided).await {
            tokio::time::sleep(REQUEST_INTERVAL).await;
        } else {
            tokio::time::sleep(BUSY_REQUEST_INTERVAL).await;
            max_wait = Duration::ZERO;
        }
    }
}

/// Requests newer data from a node and applies it. Returns false when the node was too busy to transfer its
/// list.
async fn request_and_apply(state: &ControlState, peer: &SocketAddr, avoided: &mut AvoidedPeers) -> bool {
    avoided.retain(|_, until| state.now() < *until);
    let started = state.now();
    let result = request(state, peer).await;
    state.shared.count_peer_request(result.is_ok());
    match result {
        Ok(answer) => {
            let busy = matches!(answer.targets, FeedUpdate::Busy);
            if busy {
                avoided.insert(*peer, state.now() + BUSY_BACKOFF);
            }
            apply_answer(state, answer, peer);
            !busy
        }
        Err(error) => {
            log_failed_request(state, peer, started, &error);
            avoided.insert(*peer, state.now() + FAILURE_BACKOFF);
            true
        }
    }
}

fn log_failed_request(state: &ControlState, peer: &SocketAddr, started: Time, error: &RequestError) {
    let now = state.now();
    let held = state.held_revisions();
    let holders = state
        .membership
        .borrow()
        .members()
        .filter(|member| is_holder(member, held))
        .count();
    let event = LogEvent::PeerRequestFailed {
        peer: &peer.to_string(),
        step: error.step(),
        cause: &error.to_string(),
        took_ms: now.since(started).as_millis(),
        behind_ms: state.behind_ms(),
        holders,
    };
    state.log.write(now, &event);
}

/// Whether a node can be asked for data that is newer than `held`.
fn is_holder(member: &Member, held: HeldRevisions) -> bool {
    let is_up = matches!(member.health, MemberHealth::Alive | MemberHealth::Leaving);
    is_up && held.is_behind(member.source)
}

/// Chooses the node to request data from and returns its relay address; `None` if no suitable node has newer
/// data.
fn choose_peer(state: &ControlState, avoided: &AvoidedPeers) -> Option<SocketAddr> {
    let held = state.held_revisions();
    let settings = &state.shared.settings;
    let requester = ListRequester {
        link_mbps: settings.link_mbps(),
        waited: state.source_access.behind_for(state.now()),
    };
    // A node that has a list normally receives only the changes, which are small enough to cross zones.
    let may_ask_other_zones = state.has_target_list.get() || requester.may_ask_other_zones();
    let membership = state.membership.borrow();
    let list_holder = |member: &Member| {
        let address: SocketAddr = member.facts.address.parse().ok()?;
        // All nodes use the same relay port.
        let relay_address = SocketAddr::new(address.ip(), settings.relay.port());
        Some(ListHolder {
            address: relay_address,
            avoided: avoided
                .get(&relay_address)
                .is_some_and(|until| state.now() < *until),
            other_zone: member.facts.zone != settings.zone,
            link_mbps: member.facts.link_mbps,
        })
    };
    let holders = membership
        .members()
        .filter(|member| is_holder(member, held))
        .filter_map(list_holder);
    let holders = holders.filter(|holder| may_ask_other_zones || !holder.other_zone);
    choose_list_holder(holders, &mut rand::rng())
}

/// Whether this node accepts a full configuration from another node rather than only the changes. It does so
/// only while the source fails: a full read is one call and about 10 KB, which the source handles better than
/// another node.
fn accepts_full_configuration(state: &ControlState) -> bool {
    [Feed::Configuration, Feed::Targets]
        .iter()
        .any(|feed| state.source_access.is_failing(*feed))
}

/// Why a request to another node failed.
#[derive(Debug, displaydoc::Display)]
enum RequestError {
    /// no answer within the timeout
    TimedOut,
    /// cannot connect to the node: {0}
    Unreachable(std::io::Error),
    /// the connection failed: {0}
    ConnectionFailed(hyper::Error),
    /// the request is not valid: {0}
    InvalidRequest(hyper::http::Error),
    /// the answer is not valid: {0}
    InvalidAnswer(String),
}

impl RequestError {
    /// The step that failed, as in [`LogEvent::PeerRequestFailed`].
    fn step(&self) -> &'static str {
        match self {
            Self::Unreachable(_) => "connect",
            Self::TimedOut | Self::ConnectionFailed(_) | Self::InvalidRequest(_) => "answer",
            Self::InvalidAnswer(_) => "apply",
        }
    }
}

async fn request(state: &ControlState, peer: &SocketAddr) -> Result<RelayAnswer, RequestError> {
    let path = relay_path(state.held_revisions(), accepts_full_configuration(state));
    let answer = timer::timeout(REQUEST_TIMEOUT, fetch(peer, &path)).await;
    answer.unwrap_or(Err(RequestError::TimedOut))
}

fn apply_answer(state: &ControlState, answer: RelayAnswer, peer: &SocketAddr) {
    let address = peer.to_string();
    let origin = Origin::Node(&address);
    // Applied before the configuration and the targets, which could otherwise cause calls to be sent to
    // targets of evacuated zones.
    state.merge_evacuations(answer.evacuations, origin);
    let accepted = match answer.configuration {
        FeedUpdate::Unchanged => false,
        FeedUpdate::Changes(changes) => state.offer_configuration_changes(changes, origin),
        FeedUpdate::Full(document) => state.offer_configuration(document, origin),
        FeedUpdate::HistoryGone | FeedUpdate::Busy => {
            state.source_access.request_full_read(Feed::Configuration);
            false
        }
    };
    if accepted {
        state.source_access.record_full_read(Feed::Configuration);
        state.cancel_overtaken_watch(Feed::Configuration);
    }
    let revision = answer.targets_revision;
    state.note_expiring(revision, answer.expiring);
    let changed = match answer.targets {
        FeedUpdate::Unchanged => false,
        FeedUpdate::Changes(changes) => state.apply_targets(revision, changes, origin),
        FeedUpdate::Full(list) => apply_full_list(state, revision, &list, peer),
        // A later check repeats the request, to this node or to another one.
        FeedUpdate::HistoryGone | FeedUpdate::Busy => false,
    };
    if changed {
        state.cancel_overtaken_watch(Feed::Targets);
    }
}

/// Applies a full target list. Returns whether the list changed.
fn apply_full_list(state: &ControlState, revision: Revision, bytes: &[u8], peer: &SocketAddr) -> bool {
    let invalid = |error: &dyn ToString| RequestError::InvalidAnswer(error.to_string());
    let list = rmp_serde::from_slice::<PackedList>(bytes).map_err(|error| invalid(&error));
    match list.and_then(|list| list.unpack().map_err(|error| invalid(&error))) {
        Ok(table) => {
            state.source_access.record_full_read(Feed::Targets);
            state.replace_targets(revision, table, Origin::Node(&peer.to_string()))
        }
        Err(cause) => {
            log_failed_request(state, peer, state.now(), &cause);
            false
        }
    }
}

async fn fetch(peer: &SocketAddr, path: &str) -> Result<RelayAnswer, RequestError> {
    let stream = net::connect(&peer.to_string())
        .await
        .map_err(RequestError::Unreachable)?;
    let io = TokioIo::new(stream);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(io)
        .await
        .map_err(RequestError::ConnectionFailed)?;
    spawn_local(connection);
    let request = Request::get(path)
        .header("host", peer.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(RequestError::InvalidRequest)?;
    let response = sender
        .send_request(request)
        .await
        .map_err(RequestError::ConnectionFailed)?;
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
        .collect()
        .await;
    let body = body.map_err(|error| RequestError::InvalidAnswer(error.to_string()))?;
    rmp_serde::from_slice(&body.to_bytes()).map_err(|error| RequestError::InvalidAnswer(error.to_string()))
}
