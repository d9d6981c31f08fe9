//! Simulated target: a member of a stage pool, a model engine with continuous batching, or a plain service.
//!
//! The output contains the input, as `service(input)`, so that a caller can verify that each stage ran on the
//! caller's own request.

use crate::run_log::{RunEvent, RunLog, RunRecord};
use barleyspool_core::{EngineReport, LoadReport};
use barleyspool_wire::http::{self};
use barleyspool_wire::target::{
    Blob, CANCEL_PATH, LOAD_PATH, ORDERS_PATH, OrderReply, OrderRequest, STEPS_PATH, StepReply, StepRequest,
    StreamEvent, TargetReport,
};
use bytes::Bytes;
use futures::Stream;
use futures::stream::StreamExt;
use http_body_util::{BodyExt, Full, StreamBody, combinators::BoxBody};
use hyper::body::{Frame, Incoming};
use hyper::{Request, Response, StatusCode};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::oneshot;

/// Number of events into which an engine splits an answer.
const EVENTS_PER_STREAM: usize = 8;
/// Minimum interval between updates of the reported load.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

type Body = BoxBody<Bytes, Infallible>;

/// Settings of a target.
#[derive(Clone, Debug)]
pub struct TargetSettings {
    /// Id of the target.
    pub id: u32,
    /// Service that the target provides.
    pub service: String,
    /// Number of calls that the target processes concurrently.
    pub slots: u32,
    /// Duration of a call.
    pub service_time: Duration,
    /// Whether the target reports its load.
    pub reports_load: bool,
    /// Whether the target is an engine, which streams answers and accepts orders.
    pub engine: bool,
    /// Whether the target rejects orders with an outdated fence.
    pub checks_fences: bool,
    /// Time to load models.
    pub model_load_time: Duration,
}

#[derive(Debug, Default)]
struct State {
    running: u32,
    /// Calls that wait for a slot, by priority, then by arrival.
    queue: BTreeMap<(u8, u64), oneshot::Sender<()>>,
    arrivals: u64,
    leaving: bool,
    reported: LoadReport,
    reported_at: Option<tokio::time::Instant>,
    engine: EngineReport,
}

/// A simulated target. Clones share their state.
#[derive(Clone, Debug)]
pub struct Target {
    settings: Arc<TargetSettings>,
    state: Arc<Mutex<State>>,
    log: Arc<RunLog>,
}

/// A slot that a call occupies. Dropping it records the end of the call and passes the slot to the next one.
#[derive(Debug)]
struct Slot {
    target: Target,
    record: RunRecord,
    completed: bool,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.record.event = if self.completed {
            RunEvent::Completed
        } else {
            RunEvent::Cancelled
        };
        self.record.at_ms = now_ms();
        self.target.log.write(&self.record);
        self.target.release_slot();
    }
}

impl Target {
    /// Creates a target that holds `models` and records its steps in `log`.
    pub fn new(settings: TargetSettings, log: RunLog, models: impl IntoIterator<Item = String>) -> Self {
        let engine = EngineReport {
            models: models.into_iter().collect(),
            ..EngineReport::default()
        };
        let state = State {
            engine,
            ..State::default()
        };
        Self {
            settings: Arc::new(settings),
            state: Arc::new(Mutex::new(state)),
            log: Arc::new(log),
        }
    }

    /// Serves requests until the task is dropped.
    pub async fn serve(self, listener: TcpListener) {
        http::serve(listener, move |request| {
            let target = self.clone();
            async move { target.handle(request).await }
        })
        .await;
    }

    /// Reports from now on that the target is leaving, and refuses new steps.
    pub fn start_leaving(&self) {
        self.state().leaving = true;
    }

    /// Whether no call runs or waits.
    pub fn is_idle(&self) -> bool {
        let state = self.state();
        state.running == 0 && state.queue.is_empty()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        if path == LOAD_PATH {
            return json_response(&self.report());
        }
        let Ok(body) = request.into_body().collect().await else {
            return text_response(StatusCode::BAD_REQUEST, "the request body was interrupted\n");
        };
        let body = body.to_bytes();
        match path.as_str() {
            STEPS_PATH => match serde_json::from_slice(&body) {
                Ok(step) => self.run_step(step).await,
                Err(error) => text_response(StatusCode::BAD_REQUEST, &format!("{error}\n")),
            },
            ORDERS_PATH => match serde_json::from_slice(&body) {
                Ok(order) => json_response(&self.apply_order(&order)),
                Err(error) => text_response(StatusCode::BAD_REQUEST, &format!("{error}\n")),
            },
            // The closed connection has already cancelled the step.
            CANCEL_PATH => text_response(StatusCode::OK, ""),
            _ => text_response(StatusCode::NOT_FOUND, "no such path\n"),
        }
    }

    // ------------------------------------------------------------------------
    // Steps

    async fn run_step(&self, step: StepRequest) -> Response<Body> {
        let record = RunRecord {
            at_ms: now_ms(),
            target: self.settings.id,
            service: self.settings.service.clone(),
            event: RunEvent::Refused,
            key: key_from_input(&step.input.0),
            repeatable: step.repeatable,
            revision: 0,
        };
        let leaving = self.state().leaving;
        if leaving || now_ms() >= step.deadline_ms {
            self.log.write(&record);
            return json_response(&self.reply(&step, None));
        }
        let slot = self.acquire_slot(step.priority, record).await;
        let output = self.output_for(&step.input.0);
        if step.stream && self.settings.engine {
            self.answer_stream(step, output, slot)
        } else {
            self.answer_complete(step, output, slot).await
        }
    }

    fn reply(&self, step: &StepRequest, output: Option<Vec<u8>>) -> StepReply {
        let report = self.report();
        StepReply {
            echo: step.echo,
            not_run: output.is_none(),
            output: output.map(|output| Blob(Arc::from(output))),
            leaving: report.leaving,
            cooldown_ms: 0,
            load: report.load,
        }
    }

    async fn answer_complete(&self, step: StepRequest, output: Vec<u8>, mut slot: Slot) -> Response<Body> {
        tokio::time::sleep(self.settings.service_time).await;
        slot.completed = true;
        drop(slot);
        json_response(&self.reply(&step, Some(output)))
    }

    /// Streams the answer from the end of the data that the requester already has.
    fn answer_stream(&self, step: StepRequest, output: Vec<u8>, slot: Slot) -> Response<Body> {
        let start_offset = step.so_far.0.len().min(output.len());
        let event_bytes = output.len().div_ceil(EVENTS_PER_STREAM).max(1);
        let event_interval = self.settings.service_time / EVENTS_PER_STREAM as u32;
        let target = self.clone();
        let initial = (start_offset, Some(slot));
        let events = futures::stream::unfold(initial, move |(offset, slot)| {
            let (target, step, output) = (target.clone(), step.clone(), output.clone());
            async move {
                let mut slot = slot?;
                tokio::time::sleep(event_interval).await;
                let end = (offset + event_bytes).min(output.len());
                let is_last = end == output.len();
                let report = target.report();
                let event = StreamEvent {
                    echo: step.echo,
                    offset: offset as u64,
                    data: Blob(Arc::from(&output[offset..end])),
                    length: is_last.then_some(output.len() as u64),
                    leaving: report.leaving,
                    load: if is_last { report.load } else { None },
                };
                slot.completed = is_last;
                let slot = if is_last { None } else { Some(slot) };
                Some((event, (end, slot)))
            }
        });
        let mut response = Response::new(event_body(events));
        let content_type = hyper::header::HeaderValue::from_static("text/event-stream");
        response
            .headers_mut()
            .insert(hyper::header::CONTENT_TYPE, content_type);
        response
    }

    fn output_for(&self, input: &[u8]) -> Vec<u8> {
        let mut output = self.settings.service.clone().into_bytes();
        output.push(b'(');
        output.extend_from_slice(input);
        output.push(b')');
        output
    }

    // ------------------------------------------------------------------------
    // Slots and the queue of waiting calls

    /// Waits for a slot. Calls that are cancelled while they wait are skipped.
    async fn acquire_slot(&self, priority: u8, record: RunRecord) -> Slot {
        let grant = {
            let mut state = self.state();
            if state.running < self.settings.slots {
                state.running += 1;
                None
            } else {
                let (sender, receiver) = oneshot::channel();
                state.arrivals += 1;
                let rank = (priority, state.arrivals);
                state.queue.insert(rank, sender);
                Some(receiver)
            }
        };
        if let Some(grant) = grant {
            // The sender is only dropped after it has granted the slot.
            let _ = grant.await;
        }
        let record = RunRecord {
            event: RunEvent::Started,
            at_ms: now_ms(),
            ..record
        };
        self.log.write(&record);
        Slot {
            target: self.clone(),
            record,
            completed: false,
        }
    }

    fn release_slot(&self) {
        let mut state = self.state();
        while let Some((_, waiter)) = state.queue.pop_first() {
            if waiter.send(()).is_ok() {
                return;
            }
        }
        state.running -= 1;
    }

    // ------------------------------------------------------------------------
    // Reports and orders

    /// Current report. Its load may be out of date by up to [`REPORT_INTERVAL`].
    fn report(&self) -> TargetReport {
        let mut state = self.state();
        let queued = state.queue.values().filter(|waiter| !waiter.is_closed()).count() as u32;
        if state.reported_at.is_none_or(|at| at.elapsed() >= REPORT_INTERVAL) {
            state.reported = LoadReport {
                running: state.running,
                queued,
                slots: self.settings.slots,
                work_time: None,
            };
            state.reported_at = Some(tokio::time::Instant::now());
        }
        TargetReport {
            load: self.settings.reports_load.then_some(state.reported),
            leaving: state.leaving,
            engine: self.settings.engine.then(|| state.engine.clone()),
        }
    }

    /// Applies an order if its fence is higher than the last one. An engine that checks no fences applies any order.
    fn apply_order(&self, order: &OrderRequest) -> OrderReply {
        let mut state = self.state();
        if self.settings.checks_fences && order.fence <= state.engine.fence {
            return OrderReply {
                accepted: false,
                fence: state.engine.fence,
            };
        }
        state.engine.fence = order.fence;
        for model in &order.unload {
            state.engine.models.remove(model);
            state.engine.loading.remove(model);
        }
        state.engine.loading = order.load.clone();
        self.log.write(&RunRecord {
            at_ms: now_ms(),
            target: self.settings.id,
            service: self.settings.service.clone(),
            event: RunEvent::OrderApplied,
            key: order.load.iter().cloned().collect::<Vec<_>>().join(","),
            repeatable: true,
            revision: order.fence.revision.0,
        });
        let (target, fence, load) = (self.clone(), order.fence, order.load.clone());
        tokio::spawn(async move {
            tokio::time::sleep(target.settings.model_load_time).await;
            let mut state = target.state();
            // A later order replaces the models that this order was loading.
            if state.engine.fence == fence {
                state.engine.loading.clear();
                state.engine.models.extend(load);
            }
        });
        OrderReply {
            accepted: true,
            fence: order.fence,
        }
    }
}

/// Key of the request: the innermost text of the input up to the first `|`.
pub fn key_from_input(input: &[u8]) -> String {
    let text = String::from_utf8_lossy(input);
    let inner = text.rsplit('(').next().unwrap_or_default();
    inner.split(['|', ')']).next().unwrap_or_default().to_owned()
}

fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

fn text_response(status: StatusCode, text: &str) -> Response<Body> {
    let mut response = Response::new(Full::new(Bytes::from(text.to_owned())).boxed());
    *response.status_mut() = status;
    response
}

fn json_response<T: serde::Serialize>(value: &T) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(body) => Response::new(Full::new(Bytes::from(body)).boxed()),
        Err(error) => text_response(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

fn event_body(events: impl Stream<Item = StreamEvent> + Send + Sync + 'static) -> Body {
    let frames = events.map(|event| {
        let json = serde_json::to_string(&event).unwrap_or_default();
        Ok::<_, Infallible>(Frame::data(Bytes::from(format!("data: {json}\n\n"))))
    });
    BodyExt::boxed(StreamBody::new(frames))
}
