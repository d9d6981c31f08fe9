//! The client of the targets: sends steps over HTTP/1.1 and reports the exact outcome of each attempt.

use crate::lane::{LaneNotice, unsent_attempt_ended};
use crate::shared::Shared;
use crate::target_links::{TargetBody, TargetConnection, TargetLinks};
use barleyspool_core::{
    AttemptEnd, AttemptId, Echo, LoadReport, Payload, Span, StepOrder, TargetId, TrafficEvent,
};
use barleyspool_wire::http;
use barleyspool_wire::target::{
    CANCEL_PATH, LOAD_PATH, STEPS_PATH, StepReply, StepRequest, StreamEvent, TargetReport,
};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Limited};
use hyper::{Method, Request, Response, StatusCode};
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
/// The maximum size of the reply to a step, in bytes.
const MAX_REPLY_BYTES: usize = 32 << 20;
/// The maximum size of an event of a stream, in bytes. A stream with a longer one is interrupted.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// After an answer was read, the time within which its connection must be ready for reuse; otherwise it is
/// closed.
const READY_TIMEOUT: Duration = Duration::from_millis(50);

/// The client for the targets of one lane, with its idle connections.
#[derive(Debug)]
pub struct TargetClient {
    shared: Arc<Shared>,
    links: Arc<TargetLinks>,
    /// Idle connections by address, and by whether they lead over a peer.
    idle: Mutex<HashMap<(String, bool), Vec<TargetConnection>>>,
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
    /// Creates a client without connections. Changes of the links to targets are reported through `notices`.
    pub fn new(shared: Arc<Shared>, notices: UnboundedSender<LaneNotice>) -> Self {
        Self {
            links: Arc::new(TargetLinks::new(Arc::clone(&shared), notices)),
            shared,
            idle: Mutex::default(),
        }
    }

    /// Watches the links to targets until the task is dropped.
    pub fn watch_links(&self) -> impl Future<Output = ()> + use<> {
        Arc::clone(&self.links).watch()
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
        let (mut connection, by_peer, response) = self.send_step(order, body).await?;
        let Some(response) = response else {
            return Some(AttemptResult::interrupted());
        };
        let mut result = read_answer(attempt, response, events).await;
        // After an answer to another step, the answer to this one may still arrive.
        result.reusable &= result.echo == Some(order.echo);
        if result.reusable {
            result.reusable = tokio::time::timeout(READY_TIMEOUT, connection.sender.ready())
                .await
                .is_ok_and(|ready| ready.is_ok());
        }
        if result.reusable {
            self.add_idle(&order.address, by_peer, connection);
        }
        Some(result)
    }

    /// Sends a step on an idle connection, or on a new one if each idle one turns out to be closed before
    /// anything was written to it. `None`: nothing was sent. `Some((_, _, None))`: a part may have been sent,
    /// but no response was received.
    async fn send_step(
        &self,
        order: &StepOrder,
        body: Bytes,
    ) -> Option<(TargetConnection, bool, Option<Response<TargetBody>>)> {
        loop {
            // Direct connections from before may stay open without passing anything while the links are lost.
            let by_peer = self.links.are_lost();
            let (mut connection, by_peer, is_new) = match self.take_idle(&order.address, by_peer) {
                Some(connection) => (connection, by_peer, false),
                None => {
                    let (connection, by_peer) = self.links.connect(order.target, &order.address).await?;
                    (connection, by_peer, true)
                }
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
            let pending = self.links.begin_request();
            let sent = connection.sender.try_send_request(request).await;
            drop(pending);
            match sent {
                Ok(response) => {
                    self.links.record_response(&order.address);
                    let response = connection.limit(response);
                    return Some((connection, by_peer, Some(response)));
                }
                Err(mut error) => match (error.take_message(), is_new) {
                    (Some(_), false) => {}
                    (Some(_), true) => return None,
                    (None, _) => return Some((connection, by_peer, None)),
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

    fn take_idle(&self, address: &str, by_peer: bool) -> Option<TargetConnection> {
        let mut idle = self.idle.lock().ok()?;
        let connections = idle.get_mut(&(address.to_owned(), by_peer))?;
        while let Some(connection) = connections.pop() {
            if !connection.sender.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    fn add_idle(&self, address: &str, by_peer: bool, connection: TargetConnection) {
        let Ok(mut idle) = self.idle.lock() else { return };
        let connections = idle.entry((address.to_owned(), by_peer)).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(connection);
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

    /// Requests the load report of a target by way of a peer.
    async fn read_report(&self, target: TargetId, address: &str) -> Option<TargetReport> {
        let request = Request::get(LOAD_PATH)
            .header(hyper::header::HOST, address)
            .body(http::FullBody::default())
            .ok()?;
        let read = async {
            let (mut connection, _) = self.links.connect(target, address).await?;
            let response = connection.sender.send_request(request).await.ok()?;
            let body = Limited::new(connection.limit(response).into_body(), MAX_REPORT_BYTES).collect();
            serde_json::from_slice(&body.await.ok()?.to_bytes()).ok()
        };
        tokio::time::timeout(SHORT_CALL_TIMEOUT, read)
            .await
            .ok()
            .flatten()
    }

    /// Probes a target: requests its load report and reports whether it answered.
    pub async fn probe(&self, target: TargetId, address: &str, events: &UnboundedSender<TrafficEvent>) {
        let report = if self.links.are_lost() {
            self.read_report(target, address).await
        } else {
            let answer =
                http::get_json::<TargetReport>(address, LOAD_PATH, MAX_REPORT_BYTES, SHORT_CALL_TIMEOUT);
            answer.await.ok().flatten()
        };
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

async fn read_answer(
    attempt: AttemptId,
    response: Response<TargetBody>,
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
    let body = Limited::new(response.into_body(), MAX_REPLY_BYTES).collect();
    let Ok(body) = body.await else {
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
    mut body: TargetBody,
    events: &UnboundedSender<TrafficEvent>,
) -> AttemptResult {
    let mut buffer = EventBuffer::default();
    let mut end_event: Option<StreamEvent> = None;
    let mut leaving = false;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { break };
        let Ok(data) = frame.into_data() else { continue };
        buffer.bytes.extend_from_slice(&data);
        while let Some(event) = buffer.next_event() {
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
        if buffer.bytes.len() > MAX_EVENT_BYTES {
            return AttemptResult::interrupted();
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

/// The bytes of a stream that are not part of a complete event yet.
#[derive(Debug, Default)]
struct EventBuffer {
    bytes: BytesMut,
    /// How many of them have been searched for the end of the event.
    searched: usize,
}

impl EventBuffer {
    /// Removes the next complete event; `None` if there is none yet. No byte is searched twice.
    fn next_event(&mut self) -> Option<Result<StreamEvent, serde_json::Error>> {
        const EVENT_END: &[u8] = b"\n\n";
        const DATA_FIELD: &[u8] = b"data:";
        let rest = &self.bytes[self.searched..];
        let Some(at) = rest
            .windows(EVENT_END.len())
            .position(|window| window == EVENT_END)
        else {
            self.searched = self.bytes.len().saturating_sub(EVENT_END.len() - 1);
            return None;
        };
        let event = self.bytes.split_to(self.searched + at + EVENT_END.len());
        self.searched = 0;
        let line = event.strip_prefix(DATA_FIELD).unwrap_or(&event);
        Some(serde_json::from_slice(line))
    }
}
