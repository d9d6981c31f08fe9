//! Sending steps to targets over HTTP/1.1, and telling exactly what became of each.

use crate::lane::not_sent;
use crate::shared::Shared;
use barleyspool_core::{
    AttemptEnd, AttemptId, Echo, LoadReport, Payload, Span, StepOrder, TargetId, TrafficEvent,
};
use barleyspool_wire::target::{
    CANCEL_PATH, LOAD_PATH, STEPS_PATH, StepReply, StepRequest, StreamEvent, TargetReport,
};
use barleyspool_wire::{http, net};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;

/// Idle connections kept per target.
const MAX_IDLE: usize = 64;
/// How long a probe or a cancellation may take.
const SIDE_CALL: Duration = Duration::from_millis(500);
/// The largest report of a target, in bytes.
const MAX_REPORT: usize = 64 * 1024;
/// How long a finished answer may take to close before its connection is given up.
const CLOSE_WAIT: Duration = Duration::from_millis(50);

type Sender = SendRequest<http::Whole>;

/// The connections of one lane to its targets.
#[derive(Debug)]
pub struct TargetPool {
    shared: Arc<Shared>,
    idle: Mutex<HashMap<String, Vec<Sender>>>,
}

/// How the answer to an attempt ended.
struct Ending {
    echo: Option<Echo>,
    end: AttemptEnd,
    report: Option<LoadReport>,
    leaving: bool,
    /// Whether everything was read, so that the connection may be used again.
    clean: bool,
}

impl Ending {
    fn broken() -> Self {
        Self {
            echo: None,
            end: AttemptEnd::Interrupted,
            report: None,
            leaving: false,
            clean: false,
        }
    }
}

impl TargetPool {
    /// A pool with no connections.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            idle: Mutex::default(),
        }
    }

    /// Sends a step and reports its parts and its end. Dropping the future closes the connection.
    pub async fn run(&self, attempt: AttemptId, order: StepOrder, events: &UnboundedSender<TrafficEvent>) {
        let event = match self.exchange(attempt, &order, events).await {
            None => not_sent(attempt),
            Some(Ending {
                echo,
                end,
                report,
                leaving,
                ..
            }) => TrafficEvent::Ended {
                attempt,
                echo,
                end,
                report,
                leaving,
            },
        };
        // The lane only goes when the daemon ends.
        let _ = events.send(event);
    }

    /// `None` when nothing of the step was sent.
    async fn exchange(
        &self,
        attempt: AttemptId,
        order: &StepOrder,
        events: &UnboundedSender<TrafficEvent>,
    ) -> Option<Ending> {
        let body = Bytes::from(serde_json::to_vec(&StepRequest::from(order)).ok()?);
        let (mut sender, response) = self.send(order, body).await?;
        let Some(response) = response else {
            return Some(Ending::broken());
        };
        let mut ending = read_answer(attempt, response, events).await;
        if ending.clean {
            ending.clean = tokio::time::timeout(CLOSE_WAIT, sender.ready())
                .await
                .is_ok_and(|ready| ready.is_ok());
        }
        if ending.clean {
            self.keep(&order.address, sender);
        }
        Some(ending)
    }

    /// Sends on an idle connection, or on a new one when the idle ones turn out to be closed before
    /// anything was written. `Some((_, None))` means that something was written and no answer began.
    async fn send(&self, order: &StepOrder, body: Bytes) -> Option<(Sender, Option<Response<Incoming>>)> {
        loop {
            let (mut sender, fresh) = match self.take(&order.address) {
                Some(sender) => (sender, false),
                None => (connect(&order.address).await?, true),
            };
            let request = Request::builder()
                .method(Method::POST)
                .uri(STEPS_PATH)
                .header(hyper::header::HOST, &order.address)
                .header(hyper::header::CONTENT_TYPE, "application/json")
                .body(http::Whole::new(body.clone()))
                .ok()?;
            // The process may have slept since the decision: look at the clock once more.
            if !self.still_due(order) {
                return None;
            }
            match sender.try_send_request(request).await {
                Ok(response) => return Some((sender, Some(response))),
                Err(mut error) => match (error.take_message(), fresh) {
                    (Some(_), false) => {}
                    (Some(_), true) => return None,
                    (None, _) => return Some((sender, None)),
                },
            }
        }
    }

    fn still_due(&self, order: &StepOrder) -> bool {
        let now = self.shared.clock.now();
        now < order.deadline
            && self
                .shared
                .plan
                .load()
                .is_fresh(now, self.shared.settings.plan_age)
    }

    fn take(&self, address: &str) -> Option<Sender> {
        let mut idle = self.idle.lock().ok()?;
        let senders = idle.get_mut(address)?;
        while let Some(sender) = senders.pop() {
            if !sender.is_closed() {
                return Some(sender);
            }
        }
        None
    }

    fn keep(&self, address: &str, sender: Sender) {
        let Ok(mut idle) = self.idle.lock() else { return };
        let senders = idle.entry(address.to_owned()).or_default();
        if senders.len() < MAX_IDLE {
            senders.push(sender);
        }
    }

    /// Tells a target that nobody waits for a step any more. It is only a hint: nothing depends on it.
    pub async fn cancel(address: &str, echo: Echo) {
        if let Ok(body) = serde_json::to_vec(&echo) {
            let _ = http::call(address, Method::POST, CANCEL_PATH, body, MAX_REPORT, SIDE_CALL).await;
        }
    }

    /// Asks a target for its load, to see whether it answers.
    pub async fn probe(target: TargetId, address: &str, events: &UnboundedSender<TrafficEvent>) {
        let answer = http::get_json::<TargetReport>(address, LOAD_PATH, MAX_REPORT, SIDE_CALL).await;
        let report = answer.ok().flatten();
        let ok = report.is_some();
        let report = report.unwrap_or_default();
        let event = TrafficEvent::Probed {
            target,
            ok,
            report: report.load,
            leaving: report.leaving,
        };
        let _ = events.send(event);
    }
}

/// Makes a connection; its task ends when the sender is dropped.
async fn connect(address: &str) -> Option<Sender> {
    let stream = net::connect(address).await.ok()?;
    let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .ok()?;
    tokio::spawn(connection);
    Some(sender)
}

async fn read_answer(
    attempt: AttemptId,
    response: Response<Incoming>,
    events: &UnboundedSender<TrafficEvent>,
) -> Ending {
    if response.status() != StatusCode::OK {
        // A bare error status says nothing of whether the step ran.
        return Ending::broken();
    }
    let kind = response.headers().get(hyper::header::CONTENT_TYPE);
    if kind.is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream")) {
        return read_stream(attempt, response.into_body(), events).await;
    }
    let Ok(body) = response.into_body().collect().await else {
        return Ending::broken();
    };
    let Ok(reply) = serde_json::from_slice::<StepReply>(&body.to_bytes()) else {
        return Ending::broken();
    };
    let end = match reply.output {
        Some(output) => AttemptEnd::Done {
            length: output.0.len() as u64,
            output: output.0,
        },
        None if reply.not_run => AttemptEnd::Refused {
            leaving: reply.leaving,
            cooldown: Span::from_millis(reply.rest_ms),
        },
        None => AttemptEnd::Interrupted,
    };
    Ending {
        echo: Some(reply.echo),
        end,
        report: reply.load,
        leaving: reply.leaving,
        clean: true,
    }
}

/// Reads server-sent events until the one that ends the answer.
async fn read_stream(
    attempt: AttemptId,
    mut body: Incoming,
    events: &UnboundedSender<TrafficEvent>,
) -> Ending {
    let mut buffer = BytesMut::new();
    let mut last: Option<StreamEvent> = None;
    let mut leaving = false;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { break };
        let Ok(data) = frame.into_data() else { continue };
        buffer.extend_from_slice(&data);
        while let Some(event) = next_event(&mut buffer) {
            let Ok(event) = event else { return Ending::broken() };
            if event.leaving && !leaving {
                // At once: the stream may go on for seconds, or break off.
                leaving = true;
                let _ = events.send(TrafficEvent::TargetLeaves { attempt });
            }
            if !event.data.0.is_empty() {
                let (echo, offset, data): (Echo, u64, Payload) =
                    (event.echo, event.offset, event.data.0.clone());
                let _ = events.send(TrafficEvent::Part {
                    attempt,
                    echo,
                    offset,
                    data,
                });
            }
            if event.length.is_some() {
                last = Some(event);
            }
        }
    }
    let clean = hyper::body::Body::is_end_stream(&body);
    match last {
        Some(StreamEvent {
            echo,
            length: Some(length),
            load,
            ..
        }) => {
            let end = AttemptEnd::Done {
                output: Payload::default(),
                length,
            };
            Ending {
                echo: Some(echo),
                end,
                report: load,
                leaving,
                clean,
            }
        }
        _ => Ending::broken(),
    }
}

/// Takes the next whole event out of what has been read; `None` when there is none yet.
fn next_event(buffer: &mut BytesMut) -> Option<Result<StreamEvent, serde_json::Error>> {
    const END: &[u8] = b"\n\n";
    const FIELD: &[u8] = b"data:";
    let at = buffer.windows(END.len()).position(|window| window == END)?;
    let event = buffer.split_to(at + END.len());
    let line = event.strip_prefix(FIELD).unwrap_or(&event);
    Some(serde_json::from_slice(line))
}
