//! Asking other nodes for what the source told them.

use super::relay::{FeedUpdate, RelayAnswer, relay_path};
use super::state::{ControlState, Origin};
use crate::adapters::Feed;
use crate::event_log::Line;
use barleyspool_core::{
    ListHolder, ListRequester, Member, MemberHealth, PackedList, Revision, Span, Time, choose_list_holder,
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

/// How often it is looked whether another node is to be asked, or notified, besides when one reports something newer.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// How long a question may take.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1000);
/// How long a node that did not answer is not asked again while another one can be.
const FAILURE_BACKOFF: Span = Span::from_secs(2);
/// The least time between two questions: configurations can come ten a second, and each question is a connection and a
/// request to a node that many others ask too.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// The largest answer, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// How long a node that was busy handing out lists is not asked again while another one can be: a list takes some 0.1 s on a weak link.
const BUSY_BACKOFF: Span = Span::from_millis(100);
/// The least time between two questions while those that have the list are busy.
const BUSY_REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// Nodes that did not answer or were busy, and until when others are asked before them.
type AvoidedPeers = HashMap<SocketAddr, Time>;

/// Asks another node whenever one has something newer, and notifies others now and then of how far this one is.
pub async fn run(state: Rc<ControlState>) {
    let mut avoided = AvoidedPeers::new();
    let mut next_check = CHECK_INTERVAL;
    loop {
        state.source_access.wait_for_newer_report(next_check).await;
        next_check = CHECK_INTERVAL;
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
            next_check = Duration::ZERO;
        }
    }
}

/// Asks a node and takes what it answers. Returns false when it was too busy to hand out its list.
async fn request_and_apply(state: &ControlState, peer: &SocketAddr, avoided: &mut AvoidedPeers) -> bool {
    avoided.retain(|_, until| state.now() < *until);
    let result = request(state, peer).await;
    state.shared.count_asked(result.is_ok());
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
            let line = Line::AskFailed {
                peer: &peer.to_string(),
                cause: &error.to_string(),
            };
            state.log.write(state.now(), &line);
            avoided.insert(*peer, state.now() + FAILURE_BACKOFF);
            true
        }
    }
}

/// The relay address of the node to ask now, if any has something newer.
fn choose_peer(state: &ControlState, avoided: &AvoidedPeers) -> Option<SocketAddr> {
    let held = state.held_revisions();
    let settings = &state.shared.settings;
    let requester = ListRequester {
        link_mbps: settings.link(),
        waited: state.source_access.behind_for(state.now()),
    };
    // Differences are small, so they come from anywhere.
    let may_ask_other_zones = state.has_target_list.get() || requester.may_ask_other_zones();
    let membership = state.membership.borrow();
    let is_ahead = |member: &&Member| {
        let is_up = matches!(member.health, MemberHealth::Alive | MemberHealth::Leaving);
        is_up && held.is_behind(member.source)
    };
    let list_holder = |member: &Member| {
        let address: SocketAddr = member.facts.address.parse().ok()?;
        // All nodes use the same ports.
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
    let holders = membership.members().filter(is_ahead).filter_map(list_holder);
    let holders = holders.filter(|holder| may_ask_other_zones || !holder.other_zone);
    choose_list_holder(holders, &mut rand::rng())
}

/// Whether a whole configuration is to come from another node. Differences do; the whole is one call and some ten KB at the source, which
/// is better fit for it while it answers.
fn accepts_full_configuration(state: &ControlState) -> bool {
    [Feed::Configuration, Feed::Targets]
        .iter()
        .any(|feed| state.source_access.is_failing(*feed))
}

/// Why another node did not tell what it knows.
#[derive(Debug, displaydoc::Display)]
enum RequestError {
    /// no answer in time
    TimedOut,
    /// it cannot be reached: {0}
    Unreachable(std::io::Error),
    /// the connection failed: {0}
    ConnectionFailed(hyper::Error),
    /// the question cannot be written: {0}
    InvalidRequest(hyper::http::Error),
    /// the answer cannot be read: {0}
    InvalidResponse(String),
}

async fn request(state: &ControlState, peer: &SocketAddr) -> Result<RelayAnswer, RequestError> {
    let query = relay_path(state.held_revisions(), accepts_full_configuration(state));
    let answer = timer::timeout(REQUEST_TIMEOUT, fetch(peer, &query)).await;
    answer.unwrap_or(Err(RequestError::TimedOut))
}

fn apply_answer(state: &ControlState, answer: RelayAnswer, peer: &SocketAddr) {
    let address = peer.to_string();
    let origin = Origin::Node(&address);
    // Before what may open a first way to targets of these zones.
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
        FeedUpdate::Full(list) => apply_full_list(state, revision, &list, origin),
        // Asked again, or another node.
        FeedUpdate::HistoryGone | FeedUpdate::Busy => false,
    };
    if changed {
        state.cancel_overtaken_watch(Feed::Targets);
    }
}

/// Takes a whole list. Returns whether it is another one than before.
fn apply_full_list(state: &ControlState, revision: Revision, bytes: &[u8], origin: Origin) -> bool {
    let invalid = |error: &dyn ToString| RequestError::InvalidResponse(error.to_string());
    let list = rmp_serde::from_slice::<PackedList>(bytes).map_err(|error| invalid(&error));
    match list.and_then(|list| list.unpack().map_err(|error| invalid(&error))) {
        Ok(table) => {
            state.source_access.record_full_read(Feed::Targets);
            state.replace_targets(revision, table, origin)
        }
        Err(cause) => {
            let line = Line::AskFailed {
                peer: origin.name(),
                cause: &cause.to_string(),
            };
            state.log.write(state.now(), &line);
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
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
        .collect()
        .await;
    let body = body.map_err(|error| RequestError::InvalidResponse(error.to_string()))?;
    rmp_serde::from_slice(&body.to_bytes()).map_err(|error| RequestError::InvalidResponse(error.to_string()))
}
