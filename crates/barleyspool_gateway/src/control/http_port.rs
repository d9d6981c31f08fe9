//! A port of the control thread that answers each HTTP request at once, from what the thread knows.

use barleyspool_wire::net;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::RefCell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// How long a connection may rest.
const IDLE: Duration = Duration::from_secs(15);
/// The pause after a connection that could not be accepted, for want of descriptors for example.
const PAUSE: Duration = Duration::from_millis(10);

/// An answer, and what is done when its connection ends.
pub struct PortAnswer {
    /// The answer.
    pub response: Response<Full<Bytes>>,
    /// Called when the caller has closed the connection, as it does once it has the whole answer.
    pub closed: Option<Box<dyn FnOnce()>>,
}

impl From<Response<Full<Bytes>>> for PortAnswer {
    fn from(response: Response<Full<Bytes>>) -> Self {
        Self {
            response,
            closed: None,
        }
    }
}

/// Answers requests until the process ends.
pub async fn serve(listener: TcpListener, answer: impl Fn(&Request<Incoming>) -> PortAnswer + 'static) {
    let answer = Rc::new(answer);
    loop {
        let Ok(stream) = net::accept(&listener).await else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        let answer = Rc::clone(&answer);
        spawn_local(async move {
            let at_end = RefCell::new(Vec::new());
            let service = service_fn(|request| {
                let PortAnswer { response, closed } = answer(&request);
                at_end.borrow_mut().extend(closed);
                async { Ok::<_, Infallible>(response) }
            });
            // A caller that goes away in the middle is no matter of ours.
            let _ = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE)
                .serve_connection(TokioIo::new(stream), service)
                .await;
            at_end.into_inner().into_iter().for_each(|closed| closed());
        });
    }
}
