//! What goes over HTTP between entry nodes, configurations and lists in MessagePack, and the metrics.

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

/// Where a peer fetches what it does not have: `/snapshot?config=REVISION&fleet=REVISION`.
const SNAPSHOT_PATH: &str = "/snapshot";
/// Where metrics are read.
const METRICS_PATH: &str = "/metrics";
/// The largest snapshot, in bytes.
const MAX_SNAPSHOT_BYTES: usize = 64 << 20;
/// How long a snapshot may take.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);

/// Serves peers and metric readers until the task is dropped.
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
            "config and fleet: whole numbers are needed\n",
        );
    };
    let (reply, receiver) = oneshot::channel();
    let message = ControlMessage::SnapshotRequest {
        config: Revision(config),
        fleet: Revision(fleet),
        reply,
    };
    if control.send(message).is_err() {
        return http::reply(StatusCode::SERVICE_UNAVAILABLE, "ending\n");
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

/// A whole number out of a query.
fn query_number(query: &str, name: &str) -> Option<u64> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name)?.1.parse().ok()
}

/// Fetches from a peer what this node does not have.
///
/// # Errors
/// When the peer does not answer, or not with a snapshot.
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
