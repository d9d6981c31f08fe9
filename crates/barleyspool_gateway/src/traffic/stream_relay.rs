//! Passing a stream of events on as it comes, and taking it up again at another target where that is allowed.

use super::answer_body::AnswerBody;
use super::call::Call;
use super::call_guard::CallGuard;
use super::callers::duration;
use super::connections::Connection;
use super::final_send::{self, SendGuard, TargetAnswer};
use super::relayed_stream::{RelayItem, RelayedStream};
use super::stage_results::StageResults;
use super::stages;
use super::stopping;
use super::target_choice;
use super::target_crashes;
use crate::failure::CallFailure;
use barleyspool_core::{NextStep, Reason, SendEnd, Span, StageProgress, next_step};
use barleyspool_wire::timer;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::{Frame, Incoming};
use hyper::http::response::Parts;
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

/// Parts that may wait for a caller that reads slowly; then the target is not read either.
const WAITING_PARTS: usize = 8;
/// The end of an event.
const EVENT_END: &[u8] = b"\n\n";
/// The field that carries an event's number.
const EVENT_ID: &[u8] = b"id:";
/// The most bytes of one event.
const MOST_EVENT: usize = 1 << 20;

/// A stream that has begun.
pub struct Relay {
    /// The call.
    pub call: Rc<Call>,
    /// Its guard.
    pub guard: Rc<CallGuard>,
    /// The send that the stream comes from.
    pub send: SendGuard,
    /// Its connection, to be used again after a whole stream.
    pub connection: Option<Connection>,
    /// How long the target keeps it.
    pub keep: Option<Span>,
    /// The head of the answer.
    pub parts: Parts,
    /// The stream.
    pub body: Option<Incoming>,
    /// The stage results that the call uses.
    pub results: StageResults,
    /// Those that the call itself needs.
    pub inputs: Vec<String>,
}

/// Why the reading of one target's stream ended.
enum StreamEnd {
    Whole,
    Broken,
    CallerLeft,
    TimeOver,
    Stopped,
}

/// Starts to pass a stream on.
pub fn start(relay: Relay) -> Response<AnswerBody> {
    let (sender, items) = mpsc::channel(WAITING_PARTS);
    let mut head = Response::new(());
    *head.status_mut() = relay.parts.status;
    *head.headers_mut() = relay.parts.headers.clone();
    spawn_local(run(relay, sender));
    head.map(|()| AnswerBody::Stream(RelayedStream::new(items)))
}

/// What has been passed on of a stream.
#[derive(Debug, Default)]
struct Passed {
    /// The last event.
    event: Option<u64>,
    /// Bytes of an event that is not whole yet, where only whole events are passed on.
    part: BytesMut,
    /// The last bytes, to tell whether the stream ends between two events.
    tail: [u8; 2],
}

async fn run(mut relay: Relay, sender: mpsc::Sender<RelayItem>) {
    let mut passed = Passed {
        event: relay.call.head.resume_after,
        ..Passed::default()
    };
    loop {
        match pass_on(&mut relay, &mut passed, &sender).await {
            StreamEnd::Whole => return whole(relay, &sender).await,
            StreamEnd::CallerLeft => return,
            StreamEnd::Stopped => return broken(&relay, Reason::Leaving),
            StreamEnd::TimeOver => return broken(&relay, Reason::RouteTimeout),
            StreamEnd::Broken => {
                relay.send.end(SendEnd::BrokenOff);
                target_crashes::check_target(&relay.call, &relay.send.chosen, SendEnd::BrokenOff);
                if !resume(&mut relay, &mut passed).await {
                    return broken(&relay, Reason::StepFailed);
                }
            }
        }
    }
}

async fn whole(mut relay: Relay, sender: &mpsc::Sender<RelayItem>) {
    relay.send.end(SendEnd::Answered { success: true });
    relay.guard.answered(relay.parts.status);
    let traffic = &relay.call.traffic;
    traffic.ends.record_answered(traffic.now(), relay.call.print);
    if let Some(connection) = relay.connection.take() {
        let keep = relay.keep.map(duration);
        relay.call.traffic.connections.put_back(connection, keep);
    }
    // When the caller has left meanwhile, nobody needs to be told.
    let _ = sender.send(RelayItem::End).await;
}

/// A stream that cannot go on. Its caller's connection is cut, since no [`RelayItem::End`] follows.
fn broken(relay: &Relay, reason: Reason) {
    let failure = CallFailure::unknown(reason).at(&relay.call.service, &relay.send.chosen.id);
    relay.guard.failed(0, &failure);
}

/// Passes one target's stream on until it ends.
async fn pass_on(relay: &mut Relay, passed: &mut Passed, sender: &mpsc::Sender<RelayItem>) -> StreamEnd {
    let resumable = relay.call.route.resumable;
    let left = relay.call.deadline.since(relay.call.traffic.now());
    let mut time_over = std::pin::pin!(timer::sleep(duration(left)));
    let traffic = Rc::clone(&relay.call.traffic);
    let mut cut = std::pin::pin!(stopping::cut(&traffic));
    loop {
        let frame = tokio::select! {
            // What is ready is delivered, however late it is.
            biased;
            frame = next_frame(&mut relay.body) => frame,
            () = sender.closed() => return StreamEnd::CallerLeft,
            () = &mut time_over => return StreamEnd::TimeOver,
            () = &mut cut => return StreamEnd::Stopped,
        };
        let data = match frame {
            None if passed.is_between_events() => return StreamEnd::Whole,
            None | Some(Err(_)) => return StreamEnd::Broken,
            Some(Ok(frame)) => match frame.into_data() {
                Ok(data) => data,
                Err(_) => continue,
            },
        };
        relay.send.first_output();
        relay.guard.first_output();
        relay.results.release_all();
        let Some(data) = passed.take(data, resumable) else {
            continue;
        };
        let sent = tokio::select! {
            biased;
            sent = sender.send(RelayItem::Part(data)) => sent,
            () = &mut time_over => return StreamEnd::TimeOver,
            () = &mut cut => return StreamEnd::Stopped,
        };
        if sent.is_err() {
            return StreamEnd::CallerLeft;
        }
    }
}

async fn next_frame(body: &mut Option<Incoming>) -> Option<hyper::Result<Frame<Bytes>>> {
    match body {
        Some(body) => body.frame().await,
        None => None,
    }
}

/// Takes the stream up again at another target; false when that may not be done or fails.
async fn resume(relay: &mut Relay, passed: &mut Passed) -> bool {
    let call = Rc::clone(&relay.call);
    passed.part.clear();
    // The old run must have ended before a new one begins.
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
        if step != NextStep::Retry || !final_send::allow_retry(&call, end) {
            return false;
        }
        call.avoid.borrow_mut().push(relay.send.chosen.target);
        if target_crashes::check_blocked(&call).is_err() || !make_inputs(relay).await {
            return false;
        }
        let Ok(chosen) = target_choice::choose(&call).await else {
            return false;
        };
        relay.send = SendGuard::begin(&call, chosen);
        final_send::log_sent(&call, &relay.send.chosen, &relay.inputs, "resumed");
        let sent = final_send::send_once(&call, &relay.send.chosen, &relay.inputs, passed.event).await;
        let mut history = call.history.get();
        match sent {
            Ok(TargetAnswer::Stream(_, body, connection, head)) => {
                history.record_end(SendEnd::Answered { success: true });
                call.history.set(history);
                relay.body = Some(body);
                relay.connection = Some(connection);
                relay.keep = head.keep;
                return true;
            }
            Ok(TargetAnswer::Whole(..)) => {
                history.record_end(SendEnd::Answered { success: false });
                relay.send.end(SendEnd::Answered { success: false });
            }
            Err(end) => {
                history.record_end(end);
                relay.send.end(end);
                target_crashes::check_target(&call, &relay.send.chosen, end);
            }
        }
        call.history.set(history);
    }
}

/// Makes the stage results anew that the first target has fetched and that were freed then.
async fn make_inputs(relay: &mut Relay) -> bool {
    if relay.inputs.is_empty() {
        return true;
    }
    let mut run = StageProgress::new(&relay.call.route.stages, &relay.call.head.pieces);
    let made = stages::run(&relay.call, &mut run, &mut relay.results).await;
    relay.inputs = run.outputs();
    made.is_ok()
}

impl Passed {
    /// What of `data` goes to the caller now: all of it, or whole new events only.
    fn take(&mut self, data: Bytes, whole_events: bool) -> Option<Bytes> {
        if data.is_empty() {
            return None;
        }
        if !whole_events {
            self.note_tail(&data);
            return Some(data);
        }
        self.part.extend_from_slice(&data);
        let mut out = BytesMut::new();
        while let Some(end) = find(&self.part, EVENT_END) {
            let event = self.part.split_to(end + EVENT_END.len());
            let number = event_number(&event);
            let old = number.is_some_and(|number| self.event.is_some_and(|last| number <= last));
            if !old {
                self.event = number.or(self.event);
                out.extend_from_slice(&event);
            }
        }
        self.tail = if self.part.is_empty() { *b"\n\n" } else { *b"xx" };
        if self.part.len() > MOST_EVENT {
            self.part.clear();
        }
        (!out.is_empty()).then(|| out.freeze())
    }

    fn note_tail(&mut self, data: &[u8]) {
        let joined = [&self.tail[..], data].concat();
        let end = joined.len();
        self.tail = [joined[end - 2], joined[end - 1]];
    }

    /// Whether nothing, or whole events only, came.
    fn is_between_events(&self) -> bool {
        self.tail == *EVENT_END
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|window| window == wanted)
}

/// The number of an event, when it has one.
fn event_number(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(EVENT_ID))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
