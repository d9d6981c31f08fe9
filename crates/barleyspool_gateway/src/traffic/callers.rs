//! Accepts and serves the connections of callers.

use super::Traffic;
use super::call::{self, CallId};
use super::caller_io::{CallerIo, WatchedBody};
use super::connection_watch::{ConnectionWatch, Overdue};
use crate::event_log::LogEvent;
use barleyspool_core::{CallerLimits, Counter, Span, StopPhase};
use barleyspool_wire::net;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::service::service_fn;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// The smallest buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8192;

/// An idle timeout longer than any connection lasts, for a connection that is already closing for idleness.
const NO_IDLE_TIMEOUT: Duration = Duration::from_secs(24 * 3600);
/// The value of the `Connection` header that tells a caller to open a new connection for its next call.
const CONNECTION_CLOSE: HeaderValue = HeaderValue::from_static("close");

/// Accepts callers until the planned stop closes the listener, then those that already wait in its backlog.
pub async fn serve(traffic: Rc<Traffic>, listener: TcpListener) {
    let mut stop = traffic.shared.stop.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = net::accept_caller(&listener) => accepted,
            _ = stop.wait_for(|phase| *phase >= StopPhase::Closing) => break,
        };
        match accepted {
            Ok(stream) => {
                let open = OpenCaller::new(&traffic);
                spawn_local(serve_caller(open, stream));
            }
            // Most likely the process is out of file descriptors: wait for other connections to close.
            Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
        }
    }
    for stream in net::accept_pending(listener) {
        let open = OpenCaller::new(&traffic);
        spawn_local(serve_caller(open, stream));
    }
    traffic.shared.listener_closed.store(true, Ordering::Release);
}

async fn serve_caller(open: OpenCaller, stream: TcpStream) {
    let traffic = Rc::clone(&open.0);
    let limits = limits(&traffic);
    let watch = Rc::new(ConnectionWatch::default());
    let io = CallerIo::new(stream, &watch);
    let service = service_fn(|request| {
        let (traffic, watch) = (Rc::clone(&traffic), Rc::clone(&watch));
        let mark = watch.start_call();
        async move {
            let mut response = call::serve(Rc::clone(&traffic), request).await;
            if traffic.shared.stop_reached(StopPhase::Leaving) {
                response.headers_mut().insert(CONNECTION, CONNECTION_CLOSE);
            }
            if let Some(CallId(id)) = response.extensions_mut().remove() {
                watch.set_last_call(id);
            }
            Ok::<_, Infallible>(response.map(|body| WatchedBody { body, mark }))
        }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(io, service);
    let mut connection = std::pin::pin!(connection);
    let mut stop = traffic.shared.stop.subscribe();
    let (header_timeout, mut idle_timeout) = (duration(limits.header_timeout), duration(limits.idle_timeout));
    let mut closing = false;
    loop {
        tokio::select! {
            // Bytes that have arrived are read before a timeout closes the connection.
            biased;
            // When a caller disconnects, its calls have been dropped with the connection.
            ended = connection.as_mut() => return log_undelivered(&traffic, &watch, &ended),
            overdue = watch.overdue(header_timeout, idle_timeout) => {
                if overdue == Overdue::Header {
                    return traffic.count(Counter::SlowHeader);
                }
                idle_timeout = NO_IDLE_TIMEOUT;
                connection.as_mut().graceful_shutdown();
            }
            _ = stop.wait_for(|phase| *phase >= StopPhase::Draining), if !closing => {
                closing = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

/// Logs a connection that ended before the kernel accepted all of an answer: the caller did not receive it.
fn log_undelivered(traffic: &Traffic, watch: &ConnectionWatch, ended: &hyper::Result<()>) {
    let (Err(error), Some(id)) = (ended, watch.undelivered()) else {
        return;
    };
    traffic.count(Counter::Undelivered);
    let line = LogEvent::AnswerUndelivered {
        id: &id,
        cause: &with_source(error),
    };
    traffic.log.write(traffic.now(), &line);
}

/// The error text of the HTTP library, with the error of the operating system that caused it.
fn with_source(error: &hyper::Error) -> String {
    match std::error::Error::source(error) {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}

/// Counts a caller's connection from its acceptance until everything is written; a planned stop waits for it.
struct OpenCaller(Rc<Traffic>);

impl OpenCaller {
    fn new(traffic: &Rc<Traffic>) -> Self {
        traffic.shared.caller_connections.fetch_add(1, Ordering::AcqRel);
        Self(Rc::clone(traffic))
    }
}

impl Drop for OpenCaller {
    fn drop(&mut self) {
        self.0.shared.caller_connections.fetch_sub(1, Ordering::AcqRel);
    }
}

fn limits(traffic: &Traffic) -> CallerLimits {
    let plan = traffic.plan();
    plan.catalog
        .as_ref()
        .map_or_else(CallerLimits::default, |catalog| catalog.document.limits)
}

/// Converts a span to the duration type of the timers.
pub fn duration(span: Span) -> Duration {
    Duration::from_micros(span.0)
}
