//! Sends a call to a target once, and reads its answer as far as it may be passed on.

use super::answer_framing::ends_with_connection;
use super::answer_reader::{self, HeldBody};
use super::call::Call;
use super::callers::duration;
use super::connections::Connection;
use super::held_answer;
use super::peer_send;
use super::send_guard::SendGuard;
use super::send_request::request;
use super::target_body::TargetBody;
use super::target_crashes::may_have_ended_with_process;
use super::target_reports::{self, SentRequest};
use crate::adapters::AnswerHead;
use crate::event_log::LogEvent;
use barleyspool_core::{AnswerFault, AnswerId, Counter, RouteKind, SendEnd, Span};
use barleyspool_wire::timer;
use hyper::http::response::Parts;
use std::time::Duration;

/// Largest answer that is buffered in memory, in bytes.
const MAX_ANSWER_BYTES: usize = 32 << 20;
/// Largest body of a refusal after which its connection is reused, in bytes.
const MAX_REFUSAL_BYTES: usize = 64 << 10;
/// A repeatable call is sent to another target after this multiple of the expected time to the first output.
const TIMEOUT_FACTOR: f64 = 5.0;
/// Lower bound of the timeout of a repeatable call.
const MIN_TIMEOUT: Span = Span::from_millis(250);
/// How long the body of a refusal may take: a caller does not wait for more of it than usually comes with its header.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(50);
/// Lower bound of that timeout as a share of the route's objective: a target that is slow because it is busy
/// is not unresponsive.
const MIN_TIMEOUT_SHARE: f64 = 0.5;

/// Answer of a target that may be passed on to the caller.
pub enum TargetAnswer {
    /// The header of a stream, whose body is still to be read.
    Stream(Parts, TargetBody, Connection, Box<AnswerHead>),
    /// A complete answer in memory, and whether its status is a success.
    Buffered(Parts, HeldBody, bool),
}

/// Sends a call once.
///
/// # Errors
/// How the send ended when it brought no answer that may be passed on. [`SendEnd::BrokenOff`] covers interrupted sends
/// and answers that must not be passed on: those with a wrong id or a content encoding, successes without the
/// header that marks a complete answer, failures whose status a caller would take as a promise that the call did
/// not run, and bodies that are too large. A request that cannot be built ends as [`SendEnd::Unreachable`].
pub async fn send_once(
    call: &Call,
    send: &mut SendGuard,
    inputs: &[String],
    resume_after: Option<u64>,
) -> Result<TargetAnswer, SendEnd> {
    if send.by_peer {
        return peer_send::send_once(call, send, inputs, resume_after).await;
    }
    let (traffic, chosen) = (&call.traffic, &send.chosen);
    let request = request(call, chosen, inputs, resume_after).ok_or(SendEnd::Unreachable)?;
    let response_timeout = response_timeout(call);
    let sent_at = traffic.now();
    let target = (chosen.address.as_str(), chosen.id.as_str());
    let sent = traffic.send_call(&call.service, target, Some(&call.head.id), request, || {
        call.sending.set(true);
    });
    let sent = timer::timeout(response_timeout, sent).await;
    let (connection, response) = sent.map_err(|_| SendEnd::TimedOut)??;
    let (parts, body) = response.into_parts();
    let sent_request = SentRequest {
        target: &chosen.id,
        call: &call.head.id,
        sent_at,
        by_peer: false,
    };
    let head = target_reports::read_head(traffic, sent_request, &parts);
    let is_unframed = ends_with_connection(&parts.headers);
    let answer = read_answer(call, &chosen.id, connection, (parts, body), head).await?;
    if is_unframed
        && matches!(answer, TargetAnswer::Buffered(..))
        && may_have_ended_with_process(call, send).await
    {
        return Err(SendEnd::BrokenOff);
    }
    Ok(answer)
}

/// Reads an answer whose header has been received, as [`send_once`] does.
///
/// # Errors
/// How the send ended when the answer may not be passed on.
pub async fn read_answer(
    call: &Call,
    target: &str,
    mut connection: Connection,
    (parts, body): (Parts, TargetBody),
    head: AnswerHead,
) -> Result<TargetAnswer, SendEnd> {
    let traffic = &call.traffic;
    let id = AnswerId::of(head.id.as_deref(), &call.head.id);
    let refused = head.misdirected || head.not_run;
    if refused {
        record_refusal(call, target, &connection, (&parts, &head));
    }
    let belongs_to_call = if refused {
        id.proves_refusal(connection.is_reused())
    } else {
        id == AnswerId::Own
    };
    if !belongs_to_call {
        // The connection is closed: the answer to the call may still arrive on it.
        traffic.count(Counter::Misdirected);
        return Err(SendEnd::BrokenOff);
    }
    if refused || !parts.status.is_success() {
        connection.record_failure(&call.head.id);
    }
    if refused {
        // The refusal stands without its body, which is read for the connection alone.
        if !ends_with_connection(&parts.headers) && read_refusal_body(body).await {
            traffic.connections.add_idle(connection, keep_alive(&head));
        }
        return Err(SendEnd::Refused {
            misdirected: head.misdirected,
            inputs_gone: head.inputs_gone,
        });
    }
    let success = parts.status.is_success();
    if (success && !head.sealed) || head.encoded || (!success && head.promises_not_run) {
        return Err(SendEnd::BrokenOff);
    }
    if success && call.route.kind == RouteKind::Streaming {
        return Ok(TargetAnswer::Stream(parts, body, connection, Box::new(head)));
    }
    let body = answer_reader::read_whole(traffic, connection.address(), body, MAX_ANSWER_BYTES).await;
    let body = body.ok_or(SendEnd::BrokenOff)?;
    if body.ends_like_head() && connection.has_more().await {
        held_answer::record_fault(
            traffic,
            connection.address(),
            AnswerFault::SecondAnswer,
            body.length(),
        );
        return Err(SendEnd::BrokenOff);
    }
    traffic.connections.add_idle(connection, keep_alive(&head));
    Ok(TargetAnswer::Buffered(parts, body, success))
}

/// Reads the body of a refusal, so that its connection can be reused; returns whether it is complete.
async fn read_refusal_body(body: TargetBody) -> bool {
    let discarded = answer_reader::discard(body, MAX_REFUSAL_BYTES);
    timer::timeout(REFUSAL_BODY_TIMEOUT, discarded).await == Ok(true)
}

/// Counts and logs an answer by which a target refuses a call, with the call that it names.
fn record_refusal(call: &Call, target: &str, connection: &Connection, (parts, head): (&Parts, &AnswerHead)) {
    let traffic = &call.traffic;
    let id = AnswerId::of(head.id.as_deref(), &call.head.id);
    traffic.count(Counter::SendRefused(id));
    let line = LogEvent::SendRefused {
        id: &call.head.id,
        service: &call.service,
        target,
        status: parts.status.as_u16(),
        answers: head.id.as_deref().unwrap_or_default(),
        reused: connection.is_reused(),
        sealed: head.sealed,
    };
    if id == AnswerId::Own {
        traffic.log.write_routine(traffic.now(), &line);
    } else {
        traffic.log.write(traffic.now(), &line);
    }
}

fn keep_alive(head: &AnswerHead) -> Option<Duration> {
    head.keep_alive.map(duration)
}

/// How long a send may take until the header of its answer arrives. A repeatable call with a send left is
/// sent to another target after that.
pub fn response_timeout(call: &Call) -> Duration {
    let time_left = call.deadline.since(call.traffic.now());
    let may_send_again = call.history.get().sends + 1 < call.route.max_sends;
    if !call.route.repeatable() || !may_send_again {
        // The deadline of the call passes before this timeout, and its handling reports how the call ended.
        return duration(time_left + time_left + MIN_TIMEOUT);
    }
    let timeout = call
        .expected_first_output()
        .scale(TIMEOUT_FACTOR)
        .max(MIN_TIMEOUT);
    let timeout = timeout.max(call.route.objective.scale(MIN_TIMEOUT_SHARE));
    duration(timeout.min(time_left))
}
