//! The HTTP server of an entry node: snapshots of the configuration and the fleet list for peers, in
//! MessagePack, tunnels to targets for peers that have lost their own links, and the metrics.

use crate::control_thread::{ControlMessage, ControlSender};
use crate::metrics::Metrics;
use crate::shared::Shared;
use barleyspool_core::{Revision, Snapshot};
use barleyspool_wire::http::{self, FullBody, HttpError};
use barleyspool_wire::net;
use barleyspool_wire::tunnel::{self, TUNNEL_PATH};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

/// The path of a snapshot: `/snapshot?config=REVISION&fleet=REVISION`, with the revisions that the peer
/// already has.
const SNAPSHOT_PATH: &str = "/snapshot";
/// The path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// The maximum size of a snapshot.
const MAX_SNAPSHOT_BYTES: usize = 64 << 20;
/// The number of tunnels at a time; more are refused, so that a partitioned majority leaves room for the calls of this node.
const MAX_TUNNELS: usize = 256;
/// The timeout for fetching a snapshot.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);

/// Serves snapshots and metrics until the task is dropped.
pub async fn serve(
    listener: TcpListener,
    shared: Arc<Shared>,
    control: ControlSender,
    metrics: Arc<Metrics>,
) {
    http::serve(listener, move |request| {
        let (shared, control, metrics) = (Arc::clone(&shared), control.clone(), Arc::clone(&metrics));
        async move { respond(request, &shared, &control, &metrics).await }
    })
    .await;
}

async fn respond(
    request: Request<Incoming>,
    shared: &Arc<Shared>,
    control: &ControlSender,
    metrics: &Metrics,
) -> Response<FullBody> {
    match request.uri().path() {
        TUNNEL_PATH => open_tunnel(request, shared).await,
        METRICS_PATH => http::reply(StatusCode::OK, metrics.encode_text()),
        SNAPSHOT_PATH => snapshot_response(request.uri().query().unwrap_or_default(), control).await,
        _ => http::reply(StatusCode::NOT_FOUND, "no such path\n"),
    }
}

/// Opens a tunnel to a listed target for a peer. Its bytes are passed on a traffic thread.
async fn open_tunnel(mut request: Request<Incoming>, shared: &Arc<Shared>) -> Response<FullBody> {
    let id = tunnel::target_of(request.uri().query().unwrap_or_default());
    let plan = shared.plan.load_full();
    let target = plan.targets.iter().find(|target| Some(target.id) == id);
    let Some(target) = target.filter(|target| !target.leaving) else {
        return http::reply(StatusCode::NOT_FOUND, "no such target accepts work\n");
    };
    if shared.open_tunnels.fetch_add(1, Ordering::Relaxed) >= MAX_TUNNELS {
        shared.open_tunnels.fetch_sub(1, Ordering::Relaxed);
        return http::reply(StatusCode::SERVICE_UNAVAILABLE, "too many tunnels\n");
    }
    let guard = TunnelGuard(Arc::clone(shared));
    let Ok(stream) = net::connect(&target.address).await else {
        return http::reply(StatusCode::BAD_GATEWAY, "the target cannot be reached\n");
    };
    let (response, pass) = tunnel::accept(&mut request, stream);
    let pass = async move {
        pass.await;
        drop(guard);
    };
    match shared.traffic.get() {
        Some(traffic) => drop(traffic.spawn(pass)),
        None => drop(tokio::spawn(pass)),
    }
    response
}

/// Counts a tunnel as open until dropped.
struct TunnelGuard(Arc<Shared>);

impl Drop for TunnelGuard {
    fn drop(&mut self) {
        self.0.open_tunnels.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn snapshot_response(query: &str, control: &ControlSender) -> Response<FullBody> {
    let (Some(config), Some(fleet)) = (query_number(query, "config"), query_number(query, "fleet")) else {
        return http::reply(
            StatusCode::BAD_REQUEST,
            "config and fleet must be unsigned integers\n",
        );
    };
    let (reply, receiver) = oneshot::channel();
    let message = ControlMessage::SnapshotRequest {
        config: Revision(config),
        fleet: Revision(fleet),
        reply,
    };
    if control.send(message).is_err() {
        return http::reply(StatusCode::SERVICE_UNAVAILABLE, "the node is shutting down\n");
    }
    let body = receiver
        .await
        .ok()
        .and_then(|snapshot| rmp_serde::to_vec_named(&snapshot).ok());
    match body {
        Some(body) => http::reply(StatusCode::OK, body),
        None => http::reply(StatusCode::INTERNAL_SERVER_ERROR, "no snapshot\n"),
    }
}

/// The value of an integer parameter in a query string.
fn query_number(query: &str, name: &str) -> Option<u64> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name)?.1.parse().ok()
}

/// Fetches from a peer what is newer than the revisions `config` and `fleet` of this node.
///
/// # Errors
/// If the peer does not respond, or its response is not a snapshot.
pub async fn fetch_snapshot(peer: &str, config: Revision, fleet: Revision) -> Result<Snapshot, HttpError> {
    let path = format!("{SNAPSHOT_PATH}?config={config}&fleet={fleet}");
    let (status, body) = http::send_request(
        peer,
        Method::GET,
        &path,
        Vec::new(),
        MAX_SNAPSHOT_BYTES,
        FETCH_TIMEOUT,
    )
    .await?;
    if status != StatusCode::OK {
        return Err(HttpError::Status {
            peer: peer.to_owned(),
            status: status.as_u16(),
        });
    }
    rmp_serde::from_slice(&body).map_err(|cause| HttpError::Malformed {
        peer: peer.to_owned(),
        cause: cause.to_string(),
    })
}
