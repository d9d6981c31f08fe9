//! A port of the control thread that answers each HTTP request at once, from what the thread knows.

use barleyspool_wire::net;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// How long a connection may rest.
const IDLE: Duration = Duration::from_secs(15);
/// The pause after a connection that could not be accepted, for want of descriptors for example.
const PAUSE: Duration = Duration::from_millis(10);

/// Answers requests until the process ends.
pub async fn serve(
    listener: TcpListener,
    answer: impl Fn(&Request<Incoming>) -> Response<Full<Bytes>> + 'static,
) {
    let answer = Rc::new(answer);
    loop {
        let Ok(stream) = net::accept(&listener).await else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        let answer = Rc::clone(&answer);
        spawn_local(async move {
            let service = service_fn(|request| {
                let response = answer(&request);
                async { Ok::<_, Infallible>(response) }
            });
            // A caller that goes away in the middle is no matter of ours.
            let _ = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE)
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}
