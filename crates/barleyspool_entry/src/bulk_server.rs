//! The HTTP server of an entry node: snapshots of the configuration and the fleet list for peers, in
//! MessagePack, and the metrics.

use crate::control_thread::{ControlMessage, ControlSender};
use crate::metrics::Metrics;
use barleyspool_core::{Revision, Snapshot};
use barleyspool_wire::http::{self, FullBody, HttpError};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use std::sync::Arc;
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
/// The timeout for fetching a snapshot.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);

/// Serves snapshots and metrics until the task is dropped.
pub async fn serve(listener: TcpListener, control: ControlSender, metrics: Arc<Metrics>) {
    http::serve(listener, move |request| {
        let (control, metrics) = (control.clone(), Arc::clone(&metrics));
        async move { respond(&request, &control, &metrics).await }
    })
    .await;
}

async fn respond(
    request: &Request<Incoming>,
    control: &ControlSender,
    metrics: &Metrics,
) -> Response<FullBody> {
    match request.uri().path() {
        METRICS_PATH => http::reply(StatusCode::OK, metrics.encode_text()),
        SNAPSHOT_PATH => snapshot_response(request.uri().query().unwrap_or_default(), control).await,
        _ => http::reply(StatusCode::NOT_FOUND, "no such path\n"),
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
