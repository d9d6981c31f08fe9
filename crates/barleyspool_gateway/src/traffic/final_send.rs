//! Sends a call until it is answered, and repeats the send where that is allowed. [`super::target_send`] does each send.

use super::answer_body::{AnswerBody, BufferedBody};
use super::answer_framing::ends_with_connection;
use super::answer_reader::HeldBody;
use super::call::Call;
use super::call_guard::CallGuard;
use super::callers::duration;
use super::connections::Connection;
use super::held_bytes::HeldBytes;
use super::reach;
use super::send_guard::SendGuard;
use super::send_request::answer_parts;
use super::stage_results::StageResults;
use super::stream_relay::{self, Relay};
use super::target_body::TargetBody;
use super::target_crashes;
use super::target_send::{TargetAnswer, send_once};
use crate::adapters::AnswerHead;
use crate::event_log::LogEvent;
use crate::failure::CallFailure;
use barleyspool_core::{Counter, NextStep, Reason, SendEnd, Span, StageProgress, TargetChoice, next_step};
use barleyspool_wire::timer;
use hyper::Response;
use hyper::http::response::Parts;
use std::rc::Rc;

/// Result of sending a call.
pub enum Outcome {
    /// The call was answered, with a complete body or a stream.
    Answered(Response<AnswerBody>),
    /// The inputs of the call are lost and have to be recomputed.
    InputsGone(StageResults),
}

/// Sends a call until it is answered or may not be sent again.
///
/// # Errors
/// When no target answered and no further send is allowed.
pub async fn answer(
    call: &Rc<Call>,
    guard: &Rc<CallGuard>,
    stages: &StageProgress,
    mut results: StageResults,
) -> Result<Outcome, CallFailure> {
    let inputs = stages.outputs();
    call.note_inputs(&inputs);
    let mut retry = "";
    loop {
        target_crashes::check_blocked(call)?;
        let mut send = SendGuard::choose(call).await?;
        log_sent(call, &send.chosen, &inputs, retry);
        let delay = release_delay(call, &send).filter(|_| !inputs.is_empty());
        let (sent, released) = {
            let sent = send_once(call, &mut send, &inputs, call.head.resume_after);
            await_and_release(sent, &mut results, delay).await
        };
        call.sending.set(false);
        let end = match sent {
            Ok(TargetAnswer::Stream(parts, body, connection, head)) => {
                record_end(call, SendEnd::Answered { success: true });
                let stream = (parts, body, connection, head);
                let response = start_stream((call, guard), send, stream, (results, inputs));
                return Ok(Outcome::Answered(response));
            }
            Ok(TargetAnswer::Buffered(parts, body, success)) => {
                let end = SendEnd::Answered { success };
                send.end(end);
                record_end(call, end);
                if success {
                    call.traffic.crashes.record_answered(call);
                }
                if step_after(call, end) != NextStep::Retry || !allow_retry(call, end) {
                    guard.record_first_output();
                    let response = buffered_response((call, guard), parts, body);
                    return Ok(Outcome::Answered(response));
                }
                retry = end.retry_reason().name();
                call.failed_targets.borrow_mut().push(send.chosen.target);
                continue;
            }
            Err(end) => end,
        };
        send.end(end);
        after_failed_send(call, &send, end).await;
        record_end(call, end);
        if let SendEnd::Refused {
            inputs_gone: true, ..
        } = end
        {
            record_inputs_gone(call, &send, released);
            return match step_after(call, end) {
                NextStep::Retry if allow_retry(call, end) => Ok(Outcome::InputsGone(results)),
                _ if call.history.get().may_have_run => Err(unknown_failure(call, &send.chosen)),
                _ => Err(refused(call, &send.chosen, end)),
            };
        }
        call.failed_targets.borrow_mut().push(send.chosen.target);
        match step_after(call, end) {
            NextStep::Retry if allow_retry(call, end) => retry = end.retry_reason().name(),
            NextStep::FailUnknown => return Err(unknown_failure(call, &send.chosen)),
            _ if call.history.get().may_have_run => return Err(unknown_failure(call, &send.chosen)),
            _ => {
                return Err(refused(call, &send.chosen, end));
            }
        }
    }
}

/// How long after this send the inputs of the call are released; `None` if they are kept until the first output.
fn release_delay(call: &Call, send: &SendGuard) -> Option<Span> {
    if send.by_peer {
        // The peer has yet to choose a target.
        return None;
    }
    let traffic = &call.traffic;
    let forwarder = traffic.forwarder.borrow();
    forwarder.input_release_delay(traffic.now(), &call.service, &send.chosen, call.fetch_time())
}

/// Waits for an answer. When `delay` is over before that, the inputs of the call are released. Returns also whether they were.
async fn await_and_release<T>(
    sent: impl Future<Output = T>,
    results: &mut StageResults,
    delay: Option<Span>,
) -> (T, bool) {
    let mut sent = std::pin::pin!(sent);
    if let Some(delay) = delay {
        match timer::timeout(duration(delay), sent.as_mut()).await {
            Ok(sent) => return (sent, false),
            Err(_) => results.release_all(),
        }
    }
    (sent.await, delay.is_some())
}

/// Logs that a target found the inputs of a call gone. If this node had released them, those of later calls are kept longer.
fn record_inputs_gone(call: &Call, send: &SendGuard, released: bool) {
    let traffic = &call.traffic;
    let now = traffic.now();
    if released {
        traffic
            .forwarder
            .borrow_mut()
            .record_input_loss(now, &call.service);
    }
    let line = LogEvent::InputsGone {
        id: &call.head.id,
        service: &call.service,
        target: &send.chosen.id,
        released,
        after_ms: now.since(send.began_at).as_millis(),
    };
    traffic.log.write(now, &line);
}

/// Starts to relay the stream of a send, and returns the response that carries it. `used` are the stage results that the call
/// uses, and the handles of those that it reads itself.
pub fn start_stream(
    (call, guard): (&Rc<Call>, &Rc<CallGuard>),
    send: SendGuard,
    (parts, body, connection, head): (Parts, TargetBody, Connection, Box<AnswerHead>),
    (results, inputs): (StageResults, Vec<String>),
) -> Response<AnswerBody> {
    stream_relay::start(Relay {
        call: Rc::clone(call),
        guard: Rc::clone(guard),
        send,
        connection: Some(connection),
        keep_alive: head.keep_alive,
        unframed: ends_with_connection(&parts.headers),
        parts: answer_parts(parts),
        body: Some(body),
        results,
        inputs,
    })
}

/// Records a complete answer in memory, and returns the response that carries it.
pub fn buffered_response(
    (call, guard): (&Call, &Rc<CallGuard>),
    parts: Parts,
    body: HeldBody,
) -> Response<AnswerBody> {
    guard.record_answer(parts.status);
    let held = HeldBytes::new(&call.traffic, body.length());
    let body = BufferedBody::answer(body, held, Rc::clone(guard));
    Response::from_parts(answer_parts(parts), AnswerBody::Buffered(body))
}

/// What follows a send without an answer that may be passed on, whether or not the call is sent again: a check whether the
/// target has crashed, and the end of the check whether this node still reaches the service.
pub async fn after_failed_send(call: &Call, send: &SendGuard, end: SendEnd) {
    if send.by_peer {
        return;
    }
    target_crashes::check_target(call, send, end);
    // A single target that cannot be reached is most likely down, and another one can serve the call at once.
    if end == SendEnd::Unreachable && call.history.get().unreached > 0 {
        reach::wait_for_check(&call.traffic, &call.service).await;
    }
}

/// When a caller should retry a call that targets refused.
const REFUSED_RETRY_AFTER: Span = Span::from_millis(200);

/// The failure of a call that no target accepted.
fn refused(call: &Call, chosen: &TargetChoice, end: SendEnd) -> CallFailure {
    let (reason, retry_after) = match (end, call.peer_refusal.get()) {
        (SendEnd::Unreachable, Some(refusal)) => refusal,
        (SendEnd::Unreachable, None) => (Reason::TargetUnreachable, REFUSED_RETRY_AFTER),
        _ => (Reason::TargetRefused, REFUSED_RETRY_AFTER),
    };
    CallFailure::not_run(reason)
        .with_retry_after(retry_after.max(REFUSED_RETRY_AFTER))
        .at(&call.service, &chosen.id)
}

fn unknown_failure(call: &Call, chosen: &TargetChoice) -> CallFailure {
    CallFailure::unknown(Reason::StepFailed).at(&call.service, &chosen.id)
}

fn record_end(call: &Call, end: SendEnd) {
    let mut history = call.history.get();
    history.record_end(end);
    call.history.set(history);
}

fn step_after(call: &Call, end: SendEnd) -> NextStep {
    next_step(
        call.traffic.now(),
        call.deadline,
        call.route.repeatable(),
        call.route.max_sends,
        call.history.get(),
        end,
    )
}

/// Takes a retry from the budget of the service if there is one left, and counts the result. A target that
/// could not be reached received nothing, so the retry after that is free.
pub fn allow_retry(call: &Call, end: SendEnd) -> bool {
    let traffic = &call.traffic;
    let allowed = end == SendEnd::Unreachable
        || traffic
            .forwarder
            .borrow_mut()
            .allow_retry(traffic.now(), &call.service);
    traffic.count(if allowed {
        Counter::Retried(end.retry_reason())
    } else {
        Counter::RetryDenied
    });
    allowed
}

/// Logs that a call is sent. `retry_reason` is the reason of a repeated send, and empty for the first one.
pub fn log_sent(call: &Call, chosen: &TargetChoice, inputs: &[String], retry_reason: &str) {
    let now = call.traffic.now();
    let plan = call.traffic.plan();
    let target = plan.targets.get(&chosen.id);
    let cross_zone_inputs = target.map_or(0, |target| plan.count_held_outside(inputs, &target.zone) as u64);
    let history = call.history.get();
    let line = LogEvent::CallSent {
        id: &call.head.id,
        service: &call.service,
        target: &chosen.id,
        send_number: history.sends + history.unreached + 1,
        time_left_ms: call.deadline.since(now).as_millis(),
        cross_zone_kb: call.input_bytes() * cross_zone_inputs / inputs.len().max(1) as u64 / 1000,
        retry_reason,
        software: target.map_or("", |target| target.software_version.as_str()),
        resume_after: call.head.resume_after,
        stream: call.head.stream_id.as_deref(),
    };
    if retry_reason.is_empty() {
        call.traffic.log.write_routine(now, &line);
    } else {
        call.traffic.log.write(now, &line);
    }
}
