//! Serves readiness checks and the addresses of nodes that accept calls.

use super::http_port;
use super::state::ControlState;
use crate::adapters::DirectoryAdapter;
use barleyspool_core::{Span, retain_named};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use rand::seq::SliceRandom;
use std::rc::Rc;
use tokio::net::TcpListener;

/// Maximum number of addresses in a response.
const MAX_ADDRESSES: usize = 16;
/// Time after the start of a node during which it may know only few of the serving nodes.
const STARTUP_PERIOD: Span = Span::from_secs(3);
/// How long callers may cache addresses from a node within [`STARTUP_PERIOD`]. With the normal TTL, all
/// callers of a starting fleet would keep using the first nodes that serve.
const STARTUP_ADDRESS_TTL: Span = Span::from_millis(300);
/// Minimum number of serving nodes in the caller's zone for a response that contains only nodes of that zone.
const MIN_ZONE_NODES: usize = 2;

/// Serves the readiness port or the directory port until the process ends.
pub async fn serve(state: Rc<ControlState>, adapter: Rc<DirectoryAdapter>, listener: TcpListener) {
    http_port::serve(listener, move |request| {
        handle_request(&state, &adapter, request).into()
    })
    .await;
}

fn handle_request(
    state: &ControlState,
    adapter: &DirectoryAdapter,
    request: &Request<Incoming>,
) -> Response<Full<Bytes>> {
    let path = request.uri().path();
    if path == adapter.ready_path {
        let status = if state.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        return build_response(status, Bytes::new());
    }
    if path != adapter.addresses_path {
        return build_response(StatusCode::NOT_FOUND, Bytes::new());
    }
    let query = (adapter.read_query)(request.uri().query().unwrap_or_default());
    let addresses = select_addresses(state, &query.zone);
    if addresses.is_empty() {
        return build_response(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    }
    let ttl = address_ttl(state);
    let mut response = build_response(StatusCode::OK, (adapter.addresses_body)(&addresses, ttl));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// How long callers may cache the addresses.
fn address_ttl(state: &ControlState) -> Span {
    let ttl = state.shared.settings.address_ttl();
    let age = state.now().since(state.shared.clock.started_at());
    if age < STARTUP_PERIOD {
        ttl.min(STARTUP_ADDRESS_TTL)
    } else {
        ttl
    }
}

fn build_response(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}

/// Addresses for a caller in `zone`: nodes of that zone if there are at least [`MIN_ZONE_NODES`], otherwise
/// nodes of all zones. [`retain_named`] leaves out nodes without links.
fn select_addresses(state: &ControlState, zone: &str) -> Vec<String> {
    let membership = state.membership.borrow();
    let mut serving = membership.serving();
    retain_named(&mut serving, |facts| {
        membership.unreached_services(&facts.address)
    });
    let same_zone: Vec<String> = serving
        .iter()
        .filter(|facts| facts.zone == zone)
        .map(|facts| facts.caller_address.clone())
        .collect();
    let mut selected = if same_zone.len() >= MIN_ZONE_NODES {
        same_zone
    } else {
        serving.into_iter().map(|facts| facts.caller_address).collect()
    };
    selected.shuffle(&mut rand::rng());
    selected.truncate(MAX_ADDRESSES);
    selected
}
