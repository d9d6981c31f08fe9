//! Sends calls for other nodes that reach no target of the service; see [`super::peer_send`].

use super::Traffic;
use super::answer_body::{AnswerBody, BufferedBody};
use super::call::{self, Call};
use super::call_bounds::{Interruption, bounded};
use super::call_guard::CallGuard;
use super::final_send;
use super::peer_send::{PeerSend, PeerSendFailure, SEND_PATH, TARGET_HEADER, VERSION_HEADER};
use super::read_call::AcceptedHeader;
use super::send_guard::SendGuard;
use super::stage_results::StageResults;
use super::stopping;
use super::stream_origins::StreamOrigin;
use super::target_choice;
use super::target_crashes;
use super::target_send::{self, TargetAnswer};
use crate::failure::CallFailure;
use barleyspool_core::{Counter, Reason, SendEnd, Span, Time, TrafficShare};
use barleyspool_wire::net;
use bytes::Bytes;
use futures::StreamExt;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// The number of calls that this node sends for others at a time. More are refused, so that the calls of a partitioned
/// majority leave room for those of its own callers.
const MAX_SENDS: usize = 256;
/// How long the rest of a request may take whose header has been received. The deadline of its call is in it, so nothing else
/// bounds the wait for a node that is suspended while it sends.
const REQUEST_TIMEOUT: Span = Span::from_secs(3);
/// What a request may be larger than the body of its call, in bytes: its headers, route and inputs.
const MAX_HEADER_BYTES: usize = 1 << 20;

/// Serves other nodes until the process ends. A connection that breaks drops its call, whose target connection is then
/// closed.
pub async fn serve(traffic: Rc<Traffic>, listener: TcpListener) {
    let mut connections = std::pin::pin!(net::incoming(listener));
    while let Some(connection) = connections.next().await {
        let Ok(stream) = connection else { continue };
        let traffic = Rc::clone(&traffic);
        spawn_local(async move {
            let service = service_fn(|request| {
                let traffic = Rc::clone(&traffic);
                async move { Ok::<_, Infallible>(serve_request(&traffic, request).await) }
            });
            let connection =
                hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // An error is a lost connection; the requesting node notices it too.
            let _ = connection.await;
        });
    }
}

async fn serve_request(traffic: &Rc<Traffic>, request: Request<Incoming>) -> Response<AnswerBody> {
    let arrived = traffic.now();
    let Some(send) = read_request(traffic, request).await else {
        return unreadable(traffic, arrived);
    };
    let (inputs, resume_after) = (send.inputs.clone(), send.resume_after);
    let Some(call) = build_call(traffic, send, arrived) else {
        return unreadable(traffic, arrived);
    };
    let guard = Rc::new(CallGuard::for_peer(
        traffic,
        &call.head.id,
        &call.route.name,
        arrived,
    ));
    if let Some(refusal) = refusal(traffic) {
        return failure(&refusal, &guard);
    }
    traffic.count(Counter::PeerSend);
    let call = Rc::new(call);
    let work = send_for_peer(&call, &guard, inputs, resume_after);
    let sent = match bounded(traffic, call.deadline, work).await {
        Ok(sent) => sent,
        Err(Interruption::DeadlinePassed) => {
            Err(interrupted(&call, Reason::DeadlineMissed, SendEnd::TimedOut))
        }
        Err(Interruption::Stopped) => Err(interrupted(&call, Reason::Leaving, SendEnd::BrokenOff)),
    };
    sent.unwrap_or_else(|end| failure(&end, &guard))
}

async fn read_request(traffic: &Traffic, request: Request<Incoming>) -> Option<PeerSend> {
    if request.uri().path() != SEND_PATH {
        return None;
    }
    let catalog = traffic.plan().catalog.clone()?;
    let limit = catalog
        .document
        .limits
        .max_body_bytes
        .saturating_add(MAX_HEADER_BYTES);
    let body = Limited::new(request.into_body(), limit).collect();
    let body = bounded(traffic, traffic.now() + REQUEST_TIMEOUT, body)
        .await
        .ok()?
        .ok()?;
    rmp_serde::from_slice(&body.to_bytes()).ok()
}

/// The answer to a request that this node cannot read, as one of another version may be. The requesting node has another
/// one send the call; the call itself is not to blame.
fn unreadable(traffic: &Rc<Traffic>, arrived: Time) -> Response<AnswerBody> {
    let guard = CallGuard::for_peer(traffic, "", "", arrived);
    failure(&not_sent(Reason::TargetUnreachable), &guard)
}

/// Why this node does not take another call, if it does not.
fn refusal(traffic: &Traffic) -> Option<PeerSendFailure> {
    // From mebibytes to bytes.
    let memory = traffic.shared.settings.body_memory_mb << 20;
    if stopping::refuses_new_calls(traffic) {
        Some(not_sent(Reason::Leaving))
    } else if traffic.held_bytes.get() > memory || traffic.peer_sends.get() >= MAX_SENDS {
        Some(not_sent(Reason::MemoryFull))
    } else {
        None
    }
}

/// The outcome of a call that ends before its send has.
fn interrupted(call: &Call, reason: Reason, end: SendEnd) -> PeerSendFailure {
    if call.may_have_run() {
        let target = String::new();
        PeerSendFailure::Ended { target, end }
    } else {
        not_sent(reason)
    }
}

fn not_sent(reason: Reason) -> PeerSendFailure {
    refused(&CallFailure::not_run(reason))
}

fn refused(failure: &CallFailure) -> PeerSendFailure {
    PeerSendFailure::NotSent {
        reason: failure.reason,
        retry_after: failure.retry_after,
    }
}

fn failure(failure: &PeerSendFailure, guard: &CallGuard) -> Response<AnswerBody> {
    // An empty body, in case the encoding failed, leaves open whether the call ran.
    let body = rmp_serde::to_vec(failure).unwrap_or_default();
    guard.record_peer_failure(failure);
    let mut response = Response::new(AnswerBody::Buffered(BufferedBody::internal(Bytes::from(body))));
    *response.status_mut() = StatusCode::BAD_GATEWAY;
    response
}

/// Builds the call as the requesting node has it. It has one send, which is not repeated or resumed here.
fn build_call(traffic: &Rc<Traffic>, send: PeerSend, arrived: Time) -> Option<Call> {
    let mut request = Request::builder().method(send.method.as_str()).uri(send.uri);
    for (name, value) in &send.headers {
        request = request.header(name.as_str(), HeaderValue::from_bytes(value).ok()?);
    }
    let (parts, ()) = request.body(()).ok()?.into_parts();
    let origin = send.version.map(|version| StreamOrigin {
        service: send.service.clone(),
        version,
    });
    let mut route = send.route;
    route.shares = vec![TrafficShare {
        service: send.service,
        weight: 1,
    }];
    route.max_sends = 1;
    route.resumable = false;
    let accepted = AcceptedHeader {
        head: (traffic.adapters.caller.read_call)(&parts).ok()?,
        route,
        organisation: send.organisation,
        rank: send.rank,
        catalog: traffic.plan().catalog.clone()?,
    };
    let mut call = call::build(
        traffic,
        accepted,
        parts,
        Bytes::from(send.body.into_vec()),
        (arrived, origin),
    );
    call.deadline = call.deadline.min(arrived + send.time_left);
    call.for_peer = true;
    let forwarder = traffic.forwarder.borrow();
    let excluded = send.excluded_targets.iter().filter_map(|id| forwarder.key(id));
    call.failed_targets.borrow_mut().extend(excluded);
    drop(forwarder);
    Some(call)
}

async fn send_for_peer(
    call: &Rc<Call>,
    guard: &Rc<CallGuard>,
    inputs: Vec<String>,
    resume_after: Option<u64>,
) -> Result<Response<AnswerBody>, PeerSendFailure> {
    call.note_inputs(&inputs);
    let refused = |failure: CallFailure| refused(&failure);
    target_crashes::check_blocked(call).map_err(refused)?;
    let chosen = target_choice::choose(call).await.map_err(refused)?;
    let mut send = SendGuard::begin(call, chosen);
    final_send::log_sent(call, &send.chosen, &inputs, "for_peer");
    let (target, version) = (send.chosen.id.clone(), send.chosen.version);
    let mut response = match target_send::send_once(call, &mut send, &inputs, resume_after).await {
        Ok(TargetAnswer::Stream(parts, body, connection, head)) => {
            let stream = (parts, body, connection, head);
            let used = (StageResults::new(&call.traffic), inputs);
            final_send::start_stream((call, guard), send, stream, used)
        }
        Ok(TargetAnswer::Buffered(parts, body, success)) => {
            send.end(SendEnd::Answered { success });
            if success {
                call.traffic.crashes.record_answered(call);
            }
            final_send::buffered_response((call, guard), parts, body)
        }
        Err(end) => {
            send.end(end);
            target_crashes::check_target(call, &send, end);
            return Err(PeerSendFailure::Ended { target, end });
        }
    };
    if let Ok(target) = HeaderValue::from_str(&target) {
        response.headers_mut().insert(TARGET_HEADER, target);
    }
    if let Some(version) = version {
        response
            .headers_mut()
            .insert(VERSION_HEADER, HeaderValue::from(version.0));
    }
    Ok(response)
}
