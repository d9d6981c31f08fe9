//! Accepting callers.

use super::Traffic;
use super::call;
use super::head_watch::{HeadWatch, WatchedBody, WatchedIo};
use barleyspool_core::{CallerLimits, Counter, Span};
use barleyspool_wire::net;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// The least buffer that the HTTP library takes.
const LEAST_BUFFER: usize = 8192;

/// Accepts callers until the planned stop closes the door, then no more.
pub async fn serve(traffic: Rc<Traffic>, listener: TcpListener) {
    let mut closed = traffic.shared.closed.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = net::accept(&listener) => accepted,
            _ = closed.wait_for(|closed| *closed) => return,
        };
        match accepted {
            Ok(stream) => {
                spawn_local(serve_caller(Rc::clone(&traffic), stream));
            }
            // Out of descriptors, most likely: give others the time to close some.
            Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
        }
    }
}

async fn serve_caller(traffic: Rc<Traffic>, stream: TcpStream) {
    let limits = limits(&traffic);
    let stopping = traffic.plan().stopping;
    let heads = Rc::new(HeadWatch::default());
    let io = WatchedIo {
        io: TokioIo::new(stream),
        watch: Rc::clone(&heads),
    };
    let service = service_fn(|request| {
        let traffic = Rc::clone(&traffic);
        let mark = heads.call();
        async move {
            let response = call::serve(traffic, request).await;
            Ok::<_, Infallible>(response.map(|body| WatchedBody { body, mark }))
        }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .keep_alive(!stopping)
        // Callers may take a rested connection up again until the idle time; a head that has begun is watched apart.
        .header_read_timeout(duration(limits.idle_time))
        .max_buf_size(limits.head_bytes.max(LEAST_BUFFER))
        .serve_connection(io, service);
    let mut connection = std::pin::pin!(connection);
    let mut plans = traffic.shared.plan_changed.subscribe();
    let mut closing = stopping;
    loop {
        tokio::select! {
            // A caller that goes away ends its connection; what it waited for has been dropped with it.
            _ = connection.as_mut() => return,
            () = heads.overdue(duration(limits.head_time)) => {
                traffic.count(Counter::SlowHead);
                return;
            }
            Ok(()) = plans.changed(), if !closing => {
                closing = traffic.shared.plan.load().stopping;
                if closing {
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

fn limits(traffic: &Traffic) -> CallerLimits {
    let plan = traffic.plan();
    plan.catalog
        .as_ref()
        .map_or_else(CallerLimits::default, |catalog| catalog.document.limits)
}

/// A span as the timers want it.
pub fn duration(span: Span) -> Duration {
    Duration::from_micros(span.0)
}
