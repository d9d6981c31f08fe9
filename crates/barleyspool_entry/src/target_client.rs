//! The client of the targets: sends steps over HTTP/1.1 and reports the exact outcome of each attempt.

use crate::lane::unsent_attempt_ended;
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

/// The maximum number of idle connections per target.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// The timeout of a probe or a cancellation.
const SHORT_CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// The maximum size of a response to a probe or a cancellation.
const MAX_REPORT_BYTES: usize = 64 * 1024;
/// After an answer was read, the time within which its connection must be ready for reuse; otherwise it is
/// closed.
const READY_TIMEOUT: Duration = Duration::from_millis(50);

type RequestSender = SendRequest<http::FullBody>;

/// The client for the targets of one lane, with its idle connections.
#[derive(Debug)]
pub struct TargetClient {
    shared: Arc<Shared>,
    idle: Mutex<HashMap<String, Vec<RequestSender>>>,
}

/// The result of an attempt of which at least a part was sent.
struct AttemptResult {
    echo: Option<Echo>,
    end: AttemptEnd,
    report: Option<LoadReport>,
    leaving: bool,
    /// Whether the answer was read completely, so that the connection can be reused.
    reusable: bool,
}

impl AttemptResult {
    fn interrupted() -> Self {
        Self {
            echo: None,
            end: AttemptEnd::Interrupted,
            report: None,
            leaving: false,
            reusable: false,
        }
    }
}

impl TargetClient {
    /// Creates a client without connections.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            idle: Mutex::default(),
        }
    }

    /// Sends a step, and reports the parts and the end of the answer as events. Dropping the future closes
    /// the connection.
    pub async fn run_step(
        &self,
        attempt: AttemptId,
        order: StepOrder,
        events: &UnboundedSender<TrafficEvent>,
    ) {
        let event = match self.exchange(attempt, &order, events).await {
            None => unsent_attempt_ended(attempt),
            Some(AttemptResult {
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
        // The receiver is closed only at shutdown.
        let _ = events.send(event);
    }

    /// Sends a step and reads the answer; `None` if nothing of the step was sent.
    async fn exchange(
        &self,
        attempt: AttemptId,
        order: &StepOrder,
        events: &UnboundedSender<TrafficEvent>,
    ) -> Option<AttemptResult> {
        let body = Bytes::from(serde_json::to_vec(&StepRequest::from(order)).ok()?);
        let (mut sender, response) = self.send_step(order, body).await?;
        let Some(response) = response else {
            return Some(AttemptResult::interrupted());
        };
        let mut result = read_answer(attempt, response, events).await;
        if result.reusable {
            result.reusable = tokio::time::timeout(READY_TIMEOUT, sender.ready())
                .await
                .is_ok_and(|ready| ready.is_ok());
        }
        if result.reusable {
            self.add_idle(&order.address, sender);
        }
        Some(result)
    }

    /// Sends a step on an idle connection, or on a new one if each idle one turns out to be closed before
    /// anything was written to it. `None`: nothing was sent. `Some((_, None))`: a part may have been sent,
    /// but no response was received.
    async fn send_step(
        &self,
        order: &StepOrder,
        body: Bytes,
    ) -> Option<(RequestSender, Option<Response<Incoming>>)> {
        loop {
            let (mut sender, is_new) = match self.take_idle(&order.address) {
                Some(sender) => (sender, false),
                None => (connect(&order.address).await?, true),
            };
            let request = Request::builder()
                .method(Method::POST)
                .uri(STEPS_PATH)
                .header(hyper::header::HOST, &order.address)
                .header(hyper::header::CONTENT_TYPE, "application/json")
                .body(http::FullBody::new(body.clone()))
                .ok()?;
            // Check the clock again: the process may have been suspended since the router chose the target.
            if !self.may_still_send(order) {
                return None;
            }
            match sender.try_send_request(request).await {
                Ok(response) => return Some((sender, Some(response))),
                Err(mut error) => match (error.take_message(), is_new) {
                    (Some(_), false) => {}
                    (Some(_), true) => return None,
                    (None, _) => return Some((sender, None)),
                },
            }
        }
    }

    fn may_still_send(&self, order: &StepOrder) -> bool {
        let now = self.shared.clock.now();
        now < order.deadline
            && self
                .shared
                .plan
                .load()
                .is_fresh(now, self.shared.settings.max_plan_age)
    }

    fn take_idle(&self, address: &str) -> Option<RequestSender> {
        let mut idle = self.idle.lock().ok()?;
        let senders = idle.get_mut(address)?;
        while let Some(sender) = senders.pop() {
            if !sender.is_closed() {
                return Some(sender);
            }
        }
        None
    }

    fn add_idle(&self, address: &str, sender: RequestSender) {
        let Ok(mut idle) = self.idle.lock() else { return };
        let senders = idle.entry(address.to_owned()).or_default();
        if senders.len() < MAX_IDLE_CONNECTIONS {
            senders.push(sender);
        }
    }

    /// Notifies a target that the answer to a step is no longer needed. This is a hint: correctness does not
    /// depend on its delivery.
    pub async fn cancel(address: &str, echo: Echo) {
        if let Ok(body) = serde_json::to_vec(&echo) {
            let _ = http::send_request(
                address,
                Method::POST,
                CANCEL_PATH,
                body,
                MAX_REPORT_BYTES,
                SHORT_CALL_TIMEOUT,
            )
            .await;
        }
    }

    /// Probes a target: requests its load report and reports whether it answered.
    pub async fn probe(target: TargetId, address: &str, events: &UnboundedSender<TrafficEvent>) {
        let answer =
            http::get_json::<TargetReport>(address, LOAD_PATH, MAX_REPORT_BYTES, SHORT_CALL_TIMEOUT).await;
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

/// Opens a connection. Its task ends when the sender is dropped.
async fn connect(address: &str) -> Option<RequestSender> {
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
) -> AttemptResult {
    if response.status() != StatusCode::OK {
        // An error status does not say whether the step ran.
        return AttemptResult::interrupted();
    }
    let content_type = response.headers().get(hyper::header::CONTENT_TYPE);
    if content_type.is_some_and(|content_type| content_type.as_bytes().starts_with(b"text/event-stream")) {
        return read_event_stream(attempt, response.into_body(), events).await;
    }
    let Ok(body) = response.into_body().collect().await else {
        return AttemptResult::interrupted();
    };
    let Ok(reply) = serde_json::from_slice::<StepReply>(&body.to_bytes()) else {
        return AttemptResult::interrupted();
    };
    let end = match reply.output {
        Some(output) => AttemptEnd::Done {
            length: output.0.len() as u64,
            output: output.0,
        },
        None if reply.not_run => AttemptEnd::Refused {
            leaving: reply.leaving,
            cooldown: Span::from_millis(reply.cooldown_ms),
        },
        None => AttemptEnd::Interrupted,
    };
    AttemptResult {
        echo: Some(reply.echo),
        end,
        report: reply.load,
        leaving: reply.leaving,
        reusable: true,
    }
}

/// Reads a stream of server-sent events up to its end; the last event has the length of the answer.
async fn read_event_stream(
    attempt: AttemptId,
    mut body: Incoming,
    events: &UnboundedSender<TrafficEvent>,
) -> AttemptResult {
    let mut buffer = BytesMut::new();
    let mut end_event: Option<StreamEvent> = None;
    let mut leaving = false;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { break };
        let Ok(data) = frame.into_data() else { continue };
        buffer.extend_from_slice(&data);
        while let Some(event) = next_event(&mut buffer) {
            let Ok(event) = event else {
                return AttemptResult::interrupted();
            };
            if event.leaving && !leaving {
                // Report this immediately: the stream may last several seconds more, or be interrupted.
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
                end_event = Some(event);
            }
        }
    }
    let reusable = hyper::body::Body::is_end_stream(&body);
    match end_event {
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
            AttemptResult {
                echo: Some(echo),
                end,
                report: load,
                leaving,
                reusable,
            }
        }
        _ => AttemptResult::interrupted(),
    }
}

/// Removes the next complete event from the buffer; `None` if there is none yet.
fn next_event(buffer: &mut BytesMut) -> Option<Result<StreamEvent, serde_json::Error>> {
    const EVENT_END: &[u8] = b"\n\n";
    const DATA_FIELD: &[u8] = b"data:";
    let end = buffer
        .windows(EVENT_END.len())
        .position(|window| window == EVENT_END)?;
    let event = buffer.split_to(end + EVENT_END.len());
    let line = event.strip_prefix(DATA_FIELD).unwrap_or(&event);
    Some(serde_json::from_slice(line))
}
