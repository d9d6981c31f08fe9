//! One target: a stage pool's member, a model engine with continuous batching, or a plain service.
//!
//! What it answers says what it was asked: `service(input)`, so that a caller can tell whether every stage
//! ran on its own request.

use crate::run_log::{RunEvent, RunLine, RunLog};
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

/// Pieces into which an engine cuts its answer.
const PIECES: usize = 8;
/// How old the load is that a target reports.
const REPORT_LAG: Duration = Duration::from_millis(100);

type Body = BoxBody<Bytes, Infallible>;

/// What a target is like.
#[derive(Clone, Debug)]
pub struct TargetSettings {
    /// Its number.
    pub id: u32,
    /// Its service.
    pub service: String,
    /// Calls it works on at once.
    pub slots: u32,
    /// What a call takes.
    pub service_time: Duration,
    /// Whether it reports its load.
    pub reports: bool,
    /// Whether it is an engine, which streams and takes orders.
    pub engine: bool,
    /// Whether it checks fences.
    pub fences: bool,
    /// How long a load of a model takes.
    pub load_time: Duration,
}

#[derive(Debug, Default)]
struct State {
    running: u32,
    /// Calls that wait for a slot, by priority and order of arrival.
    queue: BTreeMap<(u8, u64), oneshot::Sender<()>>,
    arrivals: u64,
    leaving: bool,
    shown: LoadReport,
    shown_at: Option<tokio::time::Instant>,
    engine: EngineReport,
}

/// A target.
#[derive(Clone, Debug)]
pub struct Target {
    settings: Arc<TargetSettings>,
    state: Arc<Mutex<State>>,
    log: Arc<RunLog>,
}

/// A call's place in a target. Giving it up wakes the next call that waits.
#[derive(Debug)]
struct Slot {
    target: Target,
    line: RunLine,
    ended: bool,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.line.event = if self.ended { RunEvent::End } else { RunEvent::Cut };
        self.line.at_ms = now_ms();
        self.target.log.write(&self.line);
        self.target.release();
    }
}

impl Target {
    /// A target with its run log.
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

    /// Serves until the task is dropped.
    pub async fn serve(self, listener: TcpListener) {
        http::serve(listener, move |request| {
            let target = self.clone();
            async move { target.answer(request).await }
        })
        .await;
    }

    /// Says from now on that it is leaving, and refuses new work.
    pub fn leave(&self) {
        self.state().leaving = true;
    }

    /// Whether nothing runs or waits.
    pub fn idle(&self) -> bool {
        let state = self.state();
        state.running == 0 && state.queue.is_empty()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        if path == LOAD_PATH {
            return json(&self.report());
        }
        let Ok(body) = request.into_body().collect().await else {
            return plain(StatusCode::BAD_REQUEST, "broken off\n");
        };
        let body = body.to_bytes();
        match path.as_str() {
            STEPS_PATH => match serde_json::from_slice(&body) {
                Ok(step) => self.step(step).await,
                Err(error) => plain(StatusCode::BAD_REQUEST, &format!("{error}\n")),
            },
            ORDERS_PATH => match serde_json::from_slice(&body) {
                Ok(order) => json(&self.order(&order)),
                Err(error) => plain(StatusCode::BAD_REQUEST, &format!("{error}\n")),
            },
            // The connection's end already stopped the work; there is nothing left to do.
            CANCEL_PATH => plain(StatusCode::OK, ""),
            _ => plain(StatusCode::NOT_FOUND, "no such path\n"),
        }
    }

    // ------------------------------------------------------------------------
    // Steps

    async fn step(&self, step: StepRequest) -> Response<Body> {
        let line = RunLine {
            at_ms: now_ms(),
            target: self.settings.id,
            service: self.settings.service.clone(),
            event: RunEvent::Refused,
            key: key_in(&step.input.0),
            repeatable: step.repeatable,
            revision: 0,
        };
        let leaving = self.state().leaving;
        if leaving || now_ms() >= step.deadline_ms {
            self.log.write(&line);
            return json(&self.reply(&step, None));
        }
        let slot = self.slot(step.priority, line).await;
        let output = self.output(&step.input.0);
        if step.stream && self.settings.engine {
            self.stream(step, output, slot)
        } else {
            self.whole(step, output, slot).await
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

    async fn whole(&self, step: StepRequest, output: Vec<u8>, mut slot: Slot) -> Response<Body> {
        tokio::time::sleep(self.settings.service_time).await;
        slot.ended = true;
        drop(slot);
        json(&self.reply(&step, Some(output)))
    }

    /// Streams the answer from where the caller already has it.
    fn stream(&self, step: StepRequest, output: Vec<u8>, slot: Slot) -> Response<Body> {
        let from = step.so_far.0.len().min(output.len());
        let piece = output.len().div_ceil(PIECES).max(1);
        let pause = self.settings.service_time / PIECES as u32;
        let target = self.clone();
        let start = (from, Some(slot));
        let events = futures::stream::unfold(start, move |(at, slot)| {
            let (target, step, output) = (target.clone(), step.clone(), output.clone());
            async move {
                let mut slot = slot?;
                tokio::time::sleep(pause).await;
                let end = (at + piece).min(output.len());
                let last = end == output.len();
                let report = target.report();
                let event = StreamEvent {
                    echo: step.echo,
                    offset: at as u64,
                    data: Blob(Arc::from(&output[at..end])),
                    length: last.then_some(output.len() as u64),
                    leaving: report.leaving,
                    load: if last { report.load } else { None },
                };
                slot.ended = last;
                let slot = if last { None } else { Some(slot) };
                Some((event, (end, slot)))
            }
        });
        let mut response = Response::new(event_body(events));
        let kind = hyper::header::HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(hyper::header::CONTENT_TYPE, kind);
        response
    }

    fn output(&self, input: &[u8]) -> Vec<u8> {
        let mut output = self.settings.service.clone().into_bytes();
        output.push(b'(');
        output.extend_from_slice(input);
        output.push(b')');
        output
    }

    // ------------------------------------------------------------------------
    // Slots: who works, who waits, and in which order

    /// Waits for a slot. A caller that goes away while it waits is passed over.
    async fn slot(&self, priority: u8, line: RunLine) -> Slot {
        let turn = {
            let mut state = self.state();
            if state.running < self.settings.slots {
                state.running += 1;
                None
            } else {
                let (sender, receiver) = oneshot::channel();
                state.arrivals += 1;
                let place = (priority, state.arrivals);
                state.queue.insert(place, sender);
                Some(receiver)
            }
        };
        if let Some(turn) = turn {
            // The sender only goes when its turn has come.
            let _ = turn.await;
        }
        let line = RunLine {
            event: RunEvent::Begin,
            at_ms: now_ms(),
            ..line
        };
        self.log.write(&line);
        Slot {
            target: self.clone(),
            line,
            ended: false,
        }
    }

    fn release(&self) {
        let mut state = self.state();
        while let Some((_, waiting)) = state.queue.pop_first() {
            if waiting.send(()).is_ok() {
                return;
            }
        }
        state.running -= 1;
    }

    // ------------------------------------------------------------------------
    // Reports and orders

    /// The load as it was a moment ago: reports lag.
    fn report(&self) -> TargetReport {
        let mut state = self.state();
        let queued = state
            .queue
            .values()
            .filter(|waiting| !waiting.is_closed())
            .count() as u32;
        if state.shown_at.is_none_or(|at| at.elapsed() >= REPORT_LAG) {
            state.shown = LoadReport {
                running: state.running,
                queued,
                slots: self.settings.slots,
            };
            state.shown_at = Some(tokio::time::Instant::now());
        }
        TargetReport {
            load: self.settings.reports.then_some(state.shown),
            leaving: state.leaving,
            engine: self.settings.engine.then(|| state.engine.clone()),
        }
    }

    /// Takes an order whose fence is higher than the last; an engine that checks no fences takes any.
    fn order(&self, order: &OrderRequest) -> OrderReply {
        let mut state = self.state();
        if self.settings.fences && order.fence <= state.engine.fence {
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
        self.log.write(&RunLine {
            at_ms: now_ms(),
            target: self.settings.id,
            service: self.settings.service.clone(),
            event: RunEvent::Order,
            key: order.load.iter().cloned().collect::<Vec<_>>().join(","),
            repeatable: true,
            revision: order.fence.revision.0,
        });
        let (target, fence, load) = (self.clone(), order.fence, order.load.clone());
        tokio::spawn(async move {
            tokio::time::sleep(target.settings.load_time).await;
            let mut state = target.state();
            // A later order replaces what this one was loading.
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

/// The caller's key: what stands innermost in the input, up to the first bar.
pub fn key_in(input: &[u8]) -> String {
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

fn plain(status: StatusCode, text: &str) -> Response<Body> {
    let mut response = Response::new(Full::new(Bytes::from(text.to_owned())).boxed());
    *response.status_mut() = status;
    response
}

fn json<T: serde::Serialize>(value: &T) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(body) => Response::new(Full::new(Bytes::from(body)).boxed()),
        Err(error) => plain(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

fn event_body(events: impl Stream<Item = StreamEvent> + Send + Sync + 'static) -> Body {
    let frames = events.map(|event| {
        let json = serde_json::to_string(&event).unwrap_or_default();
        Ok::<_, Infallible>(Frame::data(Bytes::from(format!("data: {json}\n\n"))))
    });
    BodyExt::boxed(StreamBody::new(frames))
}
