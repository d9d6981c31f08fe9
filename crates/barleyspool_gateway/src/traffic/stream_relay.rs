//! Relays a stream of events from a target to the caller, and resumes it at another target where that is allowed.
//! It has nothing to do with the relay port, which passes source data to other nodes.

use super::answer_body::AnswerBody;
use super::answer_framing::ends_with_connection;
use super::call::Call;
use super::call_bounds::{Interruption, bounded};
use super::call_guard::CallGuard;
use super::callers::duration;
use super::connections::Connection;
use super::final_send;
use super::held_answer::{self, HeldAnswer, HeldPart};
use super::relay_progress::RelayProgress;
use super::relayed_stream::{RelayItem, RelayedStream};
use super::send_guard::SendGuard;
use super::stage_results::StageResults;
use super::stages;
use super::target_body::{BodyError, TargetBody};
use super::target_crashes;
use super::target_send::{self, TargetAnswer};
use crate::event_log::LogEvent;
use crate::failure::CallFailure;
use barleyspool_core::{AnswerDrop, Counter, NextStep, Reason, SendEnd, Span, StageProgress, next_step};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Frame;
use hyper::http::response::Parts;
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

/// Parts buffered for a caller that reads slowly; when the buffer is full, the target is not read either.
const MAX_BUFFERED_PARTS: usize = 4;
/// The maximum size of an event that is buffered until it is complete, in bytes. A stream with a longer one is broken off.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// A stream that has started, with the state needed to resume it.
pub struct Relay {
    /// The call.
    pub call: Rc<Call>,
    /// The guard that records the outcome of the call.
    pub guard: Rc<CallGuard>,
    /// The send that the stream comes from.
    pub send: SendGuard,
    /// The connection of that send, reused after a complete stream.
    pub connection: Option<Connection>,
    /// How long the target keeps the idle connection open.
    pub keep_alive: Option<Span>,
    /// Whether the stream ends with the connection to the target, by which it cannot be told from one that was broken off
    /// between two events.
    pub unframed: bool,
    /// The status and headers of the answer.
    pub parts: Parts,
    /// The body that the target streams.
    pub body: Option<TargetBody>,
    /// The stage results that the call uses.
    pub results: StageResults,
    /// The handles of the results that the call itself reads.
    pub inputs: Vec<String>,
}

/// How the relay of a stream ended.
enum RelayEnd {
    Complete,
    CallerLeft,
    /// The stream broke off and cannot go on at another target.
    BrokenOff,
}

/// Why the relay of one target's stream ended.
enum StreamEnd {
    Complete,
    /// The stream failed, or ended within an event. The send is recorded as [`SendEnd::BrokenOff`].
    Interrupted,
    /// The target ended the stream, as its framing says, within an event. The send is recorded as [`SendEnd::BrokenOff`] too.
    WithinEvent,
    CallerLeft,
}

/// Starts a task that relays a stream, and returns the response that carries it.
pub fn start(relay: Relay) -> Response<AnswerBody> {
    let (sender, items) = mpsc::channel(MAX_BUFFERED_PARTS);
    let mut head = Response::new(());
    *head.status_mut() = relay.parts.status;
    *head.headers_mut() = relay.parts.headers.clone();
    spawn_local(relay_stream(relay, sender));
    head.map(|()| AnswerBody::Stream(RelayedStream::new(items)))
}

async fn relay_stream(mut relay: Relay, sender: mpsc::Sender<RelayItem>) {
    let call = Rc::clone(&relay.call);
    let ended = tokio::select! {
        biased;
        ended = bounded(&call.traffic, call.deadline, relay_all(&mut relay, &sender)) => ended,
        () = sender.closed() => Ok(RelayEnd::CallerLeft),
    };
    match ended {
        Ok(RelayEnd::Complete) => complete(relay, &sender).await,
        Ok(RelayEnd::CallerLeft) => {}
        Ok(RelayEnd::BrokenOff) => fail(&relay, Reason::StepFailed),
        Err(Interruption::DeadlinePassed) => fail(&relay, Reason::RouteTimeout),
        Err(Interruption::Stopped) => fail(&relay, Reason::Leaving),
    }
}

/// Relays the stream, from one target after the other where it may be resumed.
async fn relay_all(relay: &mut Relay, sender: &mpsc::Sender<RelayItem>) -> RelayEnd {
    let mut relayed = RelayProgress::after(relay.call.head.resume_after);
    loop {
        match relay_target(relay, &mut relayed, sender).await {
            StreamEnd::Complete => return RelayEnd::Complete,
            StreamEnd::CallerLeft => return RelayEnd::CallerLeft,
            end @ (StreamEnd::Interrupted | StreamEnd::WithinEvent) => {
                record_broken_off(relay, relayed.event);
                if matches!(end, StreamEnd::WithinEvent) {
                    target_crashes::record_if_running(&relay.call, &relay.send);
                }
                relay.send.end(SendEnd::BrokenOff);
                final_send::after_failed_send(&relay.call, &relay.send, SendEnd::BrokenOff).await;
                if !resume(relay, &mut relayed).await {
                    return RelayEnd::BrokenOff;
                }
            }
        }
    }
}

async fn complete(mut relay: Relay, sender: &mpsc::Sender<RelayItem>) {
    relay.send.end(SendEnd::Answered { success: true });
    relay.guard.record_answer(relay.parts.status);
    relay.call.traffic.crashes.record_answered(&relay.call);
    if let Some(connection) = relay.connection.take() {
        let keep_alive = relay.keep_alive.map(duration);
        relay.call.traffic.connections.add_idle(connection, keep_alive);
    }
    // Fails only when the caller has disconnected, and then nobody waits for the end of the stream.
    let _ = sender.send(RelayItem::End).await;
}

/// Counts and logs a stream that broke off after the event with the number `last_event`.
fn record_broken_off(relay: &Relay, last_event: Option<u64>) {
    let call = &relay.call;
    let now = call.traffic.now();
    call.traffic.count(Counter::StreamBrokenOff);
    let line = LogEvent::StreamBrokenOff {
        id: &call.head.id,
        service: &call.service,
        target: &relay.send.chosen.id,
        last_event,
        resumable: call.route.resumable,
        time_left_ms: call.deadline.since(now).as_millis(),
    };
    call.traffic.log.write(now, &line);
}

/// Fails a stream that cannot continue. The caller's connection is closed, since no [`RelayItem::End`] follows.
fn fail(relay: &Relay, reason: Reason) {
    let failure = CallFailure::unknown(reason).at(&relay.call.service, &relay.send.chosen.id);
    relay.guard.record_failure(0, &failure);
}

/// Relays one target's stream until it ends.
async fn relay_target(
    relay: &mut Relay,
    relayed: &mut RelayProgress,
    sender: &mpsc::Sender<RelayItem>,
) -> StreamEnd {
    let resumable = relay.call.route.resumable;
    let held = Rc::new(HeldAnswer::begin(&relay.call.traffic, &relay.send.chosen.address));
    loop {
        let frame = tokio::select! {
            biased;
            frame = next_frame(&mut relay.body) => frame,
            () = held.dropped() => return drop_stream(relay, AnswerDrop::MemoryFull, relayed),
        };
        let data = match frame {
            None if relayed.is_between_events() => return end_of_body(relay).await,
            None if !relay.unframed => return StreamEnd::WithinEvent,
            None | Some(Err(_)) => return interrupted(relay, relayed),
            Some(Ok(frame)) => match frame.into_data() {
                Ok(data) => data,
                Err(_) => continue,
            },
        };
        relay.send.first_output();
        relay.guard.record_first_output();
        relay.results.release_all();
        held.add(data.len());
        let buffered = relayed.incomplete_bytes() + data.len();
        let output = relayed.next_output(data, resumable);
        let output_bytes = output.as_ref().map_or(0, Bytes::len);
        // Events that were relayed before are not relayed again.
        held.remove(buffered - relayed.incomplete_bytes() - output_bytes);
        if relayed.incomplete_bytes() > MAX_EVENT_BYTES {
            return drop_stream(relay, AnswerDrop::TooLarge, relayed);
        }
        let Some(data) = output else {
            if relayed.is_spoiled() {
                return drop_stream(relay, AnswerDrop::Spoiled, relayed);
            }
            continue;
        };
        if resumable {
            relay
                .call
                .stream_version
                .record_event(&relay.call, &relay.send.chosen);
        }
        let part = HeldPart::new(&held, data.len());
        let sent = tokio::select! {
            biased;
            sent = sender.send(RelayItem::Part(data, Some(part))) => sent,
            () = held.dropped() => return drop_stream(relay, AnswerDrop::MemoryFull, relayed),
        };
        if sent.is_err() {
            return StreamEnd::CallerLeft;
        }
        if relayed.is_spoiled() {
            return drop_stream(relay, AnswerDrop::Spoiled, relayed);
        }
    }
}

/// The end of a stream that failed, or was broken off by this node because of the framing that its target sends.
fn interrupted(relay: &Relay, relayed: &RelayProgress) -> StreamEnd {
    let Some(body) = &relay.body else {
        return StreamEnd::Interrupted;
    };
    if body.progress().is_exhausted() {
        return drop_stream(relay, AnswerDrop::NoResult, relayed);
    }
    if let Some(fault) = body.fault() {
        let address = &relay.send.chosen.address;
        held_answer::record_fault(&relay.call.traffic, address, fault, relayed.incomplete_bytes());
    }
    StreamEnd::Interrupted
}

/// The end of a stream that this node breaks off, with what it holds of an incomplete event.
fn drop_stream(relay: &Relay, cause: AnswerDrop, relayed: &RelayProgress) -> StreamEnd {
    let traffic = &relay.call.traffic;
    held_answer::record_dropped(
        traffic,
        &relay.send.chosen.address,
        cause,
        relayed.incomplete_bytes(),
    );
    StreamEnd::Interrupted
}

/// The end of a stream whose body ended between two events.
async fn end_of_body(relay: &Relay) -> StreamEnd {
    if relay.unframed && target_crashes::may_have_ended_with_process(&relay.call, &relay.send).await {
        StreamEnd::Interrupted
    } else {
        StreamEnd::Complete
    }
}

async fn next_frame(body: &mut Option<TargetBody>) -> Option<Result<Frame<Bytes>, BodyError>> {
    match body {
        Some(body) => body.frame().await,
        None => None,
    }
}

/// Resumes the stream at another target; returns false when that is not allowed or fails.
async fn resume(relay: &mut Relay, relayed: &mut RelayProgress) -> bool {
    let call = Rc::clone(&relay.call);
    relayed.drop_incomplete();
    // The connection of the old send must be closed before a new send starts.
    relay.body = None;
    relay.connection = None;
    loop {
        let end = SendEnd::BrokenOff;
        let step = next_step(
            call.traffic.now(),
            call.deadline,
            call.route.repeatable(),
            call.route.max_sends,
            call.history.get(),
            end,
        );
        if step != NextStep::Retry
            || !call.stream_version.may_resume(&call.traffic.plan())
            || !final_send::allow_retry(&call, end)
        {
            return false;
        }
        call.failed_targets.borrow_mut().push(relay.send.chosen.target);
        if target_crashes::check_blocked(&call).is_err() || !recompute_inputs(relay).await {
            return false;
        }
        let Ok(send) = SendGuard::choose(&call).await else {
            return false;
        };
        relay.send = send;
        final_send::log_sent(&call, &relay.send.chosen, &relay.inputs, "resumed");
        let sent = target_send::send_once(&call, &mut relay.send, &relay.inputs, relayed.event).await;
        let mut history = call.history.get();
        match sent {
            Ok(TargetAnswer::Stream(parts, body, connection, head)) => {
                history.record_end(SendEnd::Answered { success: true });
                call.history.set(history);
                relay.unframed = ends_with_connection(&parts.headers);
                relay.body = Some(body);
                relay.connection = Some(connection);
                relay.keep_alive = head.keep_alive;
                call.traffic.count(Counter::StreamResumed);
                return true;
            }
            Ok(TargetAnswer::Buffered(..)) => {
                history.record_end(SendEnd::Answered { success: false });
                relay.send.end(SendEnd::Answered { success: false });
            }
            Err(end) => {
                history.record_end(end);
                relay.send.end(end);
                final_send::after_failed_send(&call, &relay.send, end).await;
            }
        }
        call.history.set(history);
    }
}

/// Recomputes the stage results that were released after the first target had fetched them.
async fn recompute_inputs(relay: &mut Relay) -> bool {
    if relay.inputs.is_empty() {
        return true;
    }
    let mut progress = StageProgress::new(&relay.call.route.stages, &relay.call.head.pieces);
    let computed = stages::run(&relay.call, &mut progress, &mut relay.results).await;
    relay.inputs = progress.outputs();
    computed.is_ok()
}
