//! Builds requests to targets and answer headers to callers, without the headers that belong to one connection.

use super::call::Call;
use crate::adapters::SendHead;
use barleyspool_core::TargetChoice;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, TRANSFER_ENCODING};
use hyper::http::response::Parts;

/// The request to a target: the request of the caller, with the headers of this system. `None` if one of their texts cannot be
/// sent.
pub fn request(
    call: &Call,
    chosen: &TargetChoice,
    inputs: &[String],
    resume_after: Option<u64>,
) -> Option<Request<Full<Bytes>>> {
    let uri = call.uri.path_and_query()?.as_str();
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(uri)
        .body(Full::new(call.body.clone()))
        .ok()?;
    let mut headers = call.headers.clone();
    drop_connection_headers(&mut headers, call.traffic.adapters.target.caller_headers);
    let head = SendHead {
        incarnation: chosen.id.clone(),
        organisation: call.organisation.clone(),
        time_left: call.deadline.since(call.traffic.now()),
        rank: call.engine_memory.map(|_| call.rank),
        inputs: inputs.to_vec(),
        resume_after,
        prefix_source: chosen.source.clone(),
    };
    let can_send = (call.traffic.adapters.target.prepare_headers)(&mut headers, &head);
    *request.headers_mut() = headers;
    can_send.then_some(request)
}

/// The status and headers of a target's answer, as sent to the caller.
pub fn answer_parts(mut parts: Parts) -> Parts {
    drop_connection_headers(&mut parts.headers, &[]);
    parts
}

/// Headers that apply to one connection only.
const CONNECTION_HEADERS: &[&str] = &["keep-alive", "proxy-connection", "te", "trailer", "upgrade"];

/// Removes the headers that apply to one connection: a fixed list, and those that `Connection` names, except `kept`.
fn drop_connection_headers(headers: &mut HeaderMap, kept: &[HeaderName]) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| !kept.contains(name))
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in CONNECTION_HEADERS {
        headers.remove(*name);
    }
    headers.remove(CONNECTION);
    headers.remove(TRANSFER_ENCODING);
    // The HTTP library sets the content length itself.
    headers.remove(CONTENT_LENGTH);
}
