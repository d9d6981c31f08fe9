//! Configuration and targets by way of other nodes, for those that the source does not answer; and metrics.

use super::http_port;
use super::state::ControlState;
use crate::edges::Feed;
use crate::metrics::Metrics;
use barleyspool_core::{CatalogDocument, MemberHealth, Revision, TargetTable};
use barleyspool_wire::net;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Full, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// How often another node is asked while the source does not answer.
const ASK_EVERY: Duration = Duration::from_millis(400);
/// How long a question may take.
const ASK_TIMEOUT: Duration = Duration::from_millis(1000);
/// The largest answer, in bytes.
const MOST_BYTES: usize = 16 << 20;
/// Where metrics are read.
const METRICS_PATH: &str = "/metrics";
/// Where other nodes read what this one knows.
const KNOWN_PATH: &str = "/known";

/// What one node knows, for another.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Known {
    /// The configuration, when it is newer than what the asking node has.
    document: Option<CatalogDocument>,
    /// The revision of the list of targets.
    at: Revision,
    /// The list, when it is newer than what the asking node has.
    targets: Option<TargetTable>,
}

// ----------------------------------------------------------------------------
// Answering

/// Serves other nodes and readers of metrics until the process ends.
pub async fn serve(state: Rc<ControlState>, listener: TcpListener, metrics: Rc<Metrics>) {
    http_port::serve(listener, move |request| answer(&state, &metrics, request)).await;
}

fn answer(state: &ControlState, metrics: &Metrics, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let body = match request.uri().path() {
        METRICS_PATH => metrics.text(),
        KNOWN_PATH => known(state, request.uri().query().unwrap_or_default()),
        _ => Vec::new(),
    };
    let found = !body.is_empty();
    let mut response = Response::new(Full::new(Bytes::from(body)));
    if !found {
        *response.status_mut() = StatusCode::NOT_FOUND;
    }
    response
}

/// What this node knows beyond what the query names: "VERSION,REVISION".
fn known(state: &ControlState, query: &str) -> Vec<u8> {
    let mut have = query.split(',').map(|text| text.parse().unwrap_or(0));
    let (version, at) = (have.next().unwrap_or(0), have.next().unwrap_or(0));
    let catalogs = state.catalogs.borrow();
    let targets = state.targets.borrow();
    let newer = catalogs
        .catalog
        .as_ref()
        .filter(|catalog| catalog.version() > Revision(version));
    let known = Known {
        document: newer.map(|catalog| catalog.document.clone()),
        at: targets.at,
        targets: (state.targets_known.get() && targets.at > Revision(at)).then(|| (*targets.table).clone()),
    };
    rmp_serde::to_vec(&known).unwrap_or_default()
}

// ----------------------------------------------------------------------------
// Asking

/// Asks another node whenever the source does not answer, or another node has a newer configuration.
pub async fn follow_peers(state: Rc<ControlState>) {
    let mut told = Revision(0);
    loop {
        tokio::time::sleep(ASK_EVERY).await;
        state.expire_targets();
        if let Some(peer) = peer_to_ask(&state, told) {
            ask(&state, &peer).await;
        }
        told = newest_list(&state);
    }
}

/// The newest revision of the list of targets that another node told of.
fn newest_list(state: &ControlState) -> Revision {
    let membership = state.membership.borrow();
    let lists = membership.members().map(|member| member.source.list);
    lists.max().unwrap_or_default()
}

/// The relay address of the node to ask now, if any. `told` is the newest list that others told of a while ago:
/// a node that still has an older one has a watch that hears nothing any more.
fn peer_to_ask(state: &ControlState, told: Revision) -> Option<SocketAddr> {
    let version = state.catalogs.borrow().version();
    let list = state.targets.borrow().at;
    let behind = list < told;
    let lost = state.source_lost();
    let membership = state.membership.borrow();
    let candidates = membership
        .members()
        .filter(|member| matches!(member.health, MemberHealth::Alive | MemberHealth::Leaving))
        .filter(|member| {
            let newer = member.source.version > version || (behind && member.source.list > list);
            newer || (lost && member.source.version > Revision(0))
        });
    let chosen = candidates.choose(&mut rand::rng())?;
    let address: SocketAddr = chosen.facts.address.parse().ok()?;
    // All nodes use the same ports.
    Some(SocketAddr::new(address.ip(), state.shared.settings.relay.port()))
}

async fn ask(state: &ControlState, peer: &SocketAddr) {
    let query = format!(
        "{KNOWN_PATH}?{},{}",
        state.catalogs.borrow().version().0,
        state.targets.borrow().at.0
    );
    let Ok(Some(known)) = tokio::time::timeout(ASK_TIMEOUT, fetch(peer, &query)).await else {
        return;
    };
    let from = peer.to_string();
    if let Some(document) = known.document
        && state.offer(document, &from)
    {
        state.overtaken(Feed::Configuration);
    }
    if let Some(table) = known.targets
        && state.replace_targets(known.at, table, &from)
    {
        state.overtaken(Feed::Targets);
    }
}

async fn fetch(peer: &SocketAddr, path: &str) -> Option<Known> {
    let stream = net::connect(&peer.to_string()).await.ok()?;
    let io = TokioIo::new(stream);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await.ok()?;
    spawn_local(connection);
    let request = Request::get(path)
        .header("host", peer.to_string())
        .body(Empty::<Bytes>::new())
        .ok()?;
    let response = sender.send_request(request).await.ok()?;
    let body = Limited::new(response.into_body(), MOST_BYTES)
        .collect()
        .await
        .ok()?;
    rmp_serde::from_slice(&body.to_bytes()).ok()
}
