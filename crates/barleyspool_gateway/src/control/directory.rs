//! Answering whether this node is ready, and which addresses to use.

use super::http_port;
use super::state::ControlState;
use crate::adapters::DirectoryAdapter;
use barleyspool_core::Span;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use rand::seq::SliceRandom;
use std::rc::Rc;
use tokio::net::TcpListener;

/// The most addresses that one answer names.
const MOST_ADDRESSES: usize = 16;
/// For so long after its start a node may know few of those that serve.
const YOUNG: Span = Span::from_secs(3);
/// How long callers may keep the addresses that it names: all callers of a fleet that starts would go on with the first nodes that serve.
const YOUNG_KEEP: Span = Span::from_millis(300);
/// A zone's own nodes are named alone when there are at least this many of them.
const ENOUGH_IN_ZONE: usize = 2;

/// Serves one of the two ports until the process ends.
pub async fn serve(state: Rc<ControlState>, adapter: Rc<DirectoryAdapter>, listener: TcpListener) {
    http_port::serve(listener, move |request| answer(&state, &adapter, request).into()).await;
}

fn answer(
    state: &ControlState,
    adapter: &DirectoryAdapter,
    request: &Request<Incoming>,
) -> Response<Full<Bytes>> {
    let path = request.uri().path();
    if path == adapter.ready_path {
        let status = if state.ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        return plain(status, Bytes::new());
    }
    if path != adapter.ask_path {
        return plain(StatusCode::NOT_FOUND, Bytes::new());
    }
    let query = (adapter.read)(request.uri().query().unwrap_or_default());
    let addresses = addresses(state, &query.zone);
    if addresses.is_empty() {
        return plain(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    }
    let keep = address_keep(state);
    let mut response = plain(StatusCode::OK, (adapter.answer)(&addresses, keep));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// How long callers may keep the addresses.
fn address_keep(state: &ControlState) -> Span {
    let keep = state.shared.settings.address_keep();
    let age = state.now().since(state.shared.clock.started());
    if age < YOUNG { keep.min(YOUNG_KEEP) } else { keep }
}

fn plain(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}

/// The addresses for a caller in `zone`: its own zone's nodes when there are enough of them, else all.
fn addresses(state: &ControlState, zone: &str) -> Vec<String> {
    let serving = state.membership.borrow().serving();
    let near: Vec<String> = serving
        .iter()
        .filter(|facts| facts.zone == zone)
        .map(|facts| facts.caller_address.clone())
        .collect();
    let mut named = if near.len() >= ENOUGH_IN_ZONE {
        near
    } else {
        serving.into_iter().map(|facts| facts.caller_address).collect()
    };
    named.shuffle(&mut rand::rng());
    named.truncate(MOST_ADDRESSES);
    named
}
