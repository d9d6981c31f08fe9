//! Requests source data (configuration, evacuated zones, targets) from other nodes that have newer data.

use super::relay::{FeedUpdate, RelayAnswer, relay_path};
use super::state::{ControlState, Origin};
use crate::adapters::Feed;
use crate::event_log::LogEvent;
use barleyspool_core::{
    HeldRevisions, HolderRequests, ListHolder, ListRequester, Member, MemberHealth, PackedList, RequestEnd,
    Revision, Span, Time,
};
use barleyspool_wire::net;
use barleyspool_wire::timer;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::Request;
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinSet, spawn_local};

/// Interval between checks of whether to request data from another node or to announce this node's state. A
/// report of newer data triggers a check at once.
const CHECK_INTERVAL: Span = Span::from_millis(200);
/// The same while a newer state is known and this node waits for its own watch to deliver it.
const GRACE_CHECK_INTERVAL: Span = Span::from_millis(50);
/// Shortest wait between two checks, so that a due request that finds no node to ask causes no busy loop.
const MIN_CHECK_INTERVAL: Span = Span::from_millis(20);
/// Timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1000);
/// Maximum size of an answer.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// A request to another node that has ended.
struct EndedRequest {
    peer: SocketAddr,
    started: Time,
    /// What this node had when it asked.
    held: HeldRevisions,
    result: Result<RelayAnswer, RequestError>,
}

/// Requests newer data from other nodes, and periodically announces the source state of this node, until the
/// process ends.
pub async fn run(state: Rc<ControlState>) {
    let mut requests = HolderRequests::default();
    let mut pending = JoinSet::new();
    let mut max_wait = CHECK_INTERVAL;
    loop {
        tokio::select! {
            Some(ended) = pending.join_next() => {
                // A request panics only on a defect, which the panic message reports.
                if let Ok(ended) = ended {
                    finish_request(&state, &mut requests, ended);
                }
            }
            () = state.source_access.wait_for_newer_report(duration(max_wait)) => {}
        }
        state.expire_targets();
        state.update_source_role();
        state.announce_if_due();
        max_wait = CHECK_INTERVAL;
        if !state.should_ask() {
            cancel_requests(&state, &mut requests, &mut pending);
            if state.behind_ms() > 0 {
                max_wait = GRACE_CHECK_INTERVAL;
            }
            continue;
        }
        state.read_if_overdue();
        if let Some(peer) = start_request(&state, &mut requests) {
            let state = Rc::clone(&state);
            pending.spawn_local(async move {
                let started = state.now();
                let held = state.held_revisions();
                let result = request(&state, &peer, held).await;
                EndedRequest {
                    peer,
                    started,
                    held,
                    result,
                }
            });
        }
        let next_start = requests.next_start().since(state.now());
        max_wait = next_start.clamp(MIN_CHECK_INTERVAL, CHECK_INTERVAL);
    }
}

fn duration(span: Span) -> Duration {
    Duration::from_micros(span.0)
}

/// Applies the answer of a node, or logs why there is none.
fn finish_request(state: &ControlState, requests: &mut HolderRequests<SocketAddr>, ended: EndedRequest) {
    let EndedRequest {
        peer,
        started,
        held,
        result,
    } = ended;
    state.shared.count_peer_request(result.is_ok());
    let end = match result {
        Ok(answer) => {
            let busy = matches!(answer.targets, FeedUpdate::Busy);
            apply_answer(state, answer, held, &peer);
            if busy {
                RequestEnd::Busy
            } else {
                RequestEnd::Answered
            }
        }
        Err(error) => {
            log_failed_request(state, &peer, started, &error);
            RequestEnd::Failed
        }
    };
    requests.end(state.now(), peer, end);
}

/// Gives up the requests to nodes that have not answered by the time that another one has.
fn cancel_requests(
    state: &ControlState,
    requests: &mut HolderRequests<SocketAddr>,
    pending: &mut JoinSet<EndedRequest>,
) {
    pending.abort_all();
    for (peer, started) in requests.cancel(state.now()) {
        state.shared.count_peer_request(false);
        log_failed_request(state, &peer, started, &RequestError::Overtaken);
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

/// Starts a request if one is due and a suitable node has newer data; returns the relay address of that node.
fn start_request(state: &ControlState, requests: &mut HolderRequests<SocketAddr>) -> Option<SocketAddr> {
    let now = state.now();
    let held = state.held_revisions();
    let settings = &state.shared.settings;
    let requester = ListRequester {
        link_mbps: settings.link_mbps(),
        waited: state.source_access.behind_for(now),
    };
    let has_list = state.has_target_list.get();
    // A node that has a list normally receives only the changes, which are small enough to cross zones.
    let may_ask_other_zones = has_list || requester.may_ask_other_zones();
    let membership = state.membership.borrow();
    let list_holder = |member: &Member| {
        let address: SocketAddr = member.facts.address.parse().ok()?;
        Some(ListHolder {
            // All nodes use the same relay port.
            address: SocketAddr::new(address.ip(), settings.relay.port()),
            avoided: false,
            other_zone: member.facts.zone != settings.zone,
            link_mbps: member.facts.link_mbps,
        })
    };
    let holders = membership
        .members()
        .filter(|member| is_holder(member, held))
        .filter_map(list_holder);
    let holders = holders.filter(|holder| may_ask_other_zones || !holder.other_zone);
    requests.start(now, !has_list, holders, &mut rand::rng())
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
    /// no answer before that of another node
    Overtaken,
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
            Self::TimedOut | Self::Overtaken | Self::ConnectionFailed(_) | Self::InvalidRequest(_) => {
                "answer"
            }
            Self::InvalidAnswer(_) => "apply",
        }
    }
}

async fn request(
    state: &ControlState,
    peer: &SocketAddr,
    held: HeldRevisions,
) -> Result<RelayAnswer, RequestError> {
    let path = relay_path(held, accepts_full_configuration(state));
    let answer = timer::timeout(REQUEST_TIMEOUT, fetch(peer, &path)).await;
    answer.unwrap_or(Err(RequestError::TimedOut))
}

/// Applies the answer to a request that stated `held`. Its differences start from there, and are ignored if newer data has arrived
/// from elsewhere meanwhile; a later check requests the rest.
fn apply_answer(state: &ControlState, answer: RelayAnswer, held: HeldRevisions, peer: &SocketAddr) {
    let address = peer.to_string();
    let origin = Origin::Node(&address);
    // Applied before the configuration and the targets, which could otherwise cause calls to be sent to
    // targets of evacuated zones.
    state.merge_evacuations(answer.evacuations, origin);
    let accepted = match answer.configuration {
        FeedUpdate::Unchanged => false,
        FeedUpdate::Changes(changes) => state.offer_configuration_changes(held.version, changes, origin),
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
        FeedUpdate::Changes(changes) => state.apply_target_difference(held.list, revision, changes, origin),
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
