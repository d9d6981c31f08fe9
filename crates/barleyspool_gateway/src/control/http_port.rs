//! A minimal HTTP server for the ports of the control thread. Each response is built synchronously from the
//! state of the thread.

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

/// Timeout for the header of the next request on a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Delay after a connection could not be accepted, for example because file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// A response, and a callback for the end of its connection.
pub struct PortResponse {
    /// The response.
    pub response: Response<Full<Bytes>>,
    /// Called when the connection has ended. Clients close it once they have received the whole response.
    pub on_close: Option<Box<dyn FnOnce()>>,
}

impl From<Response<Full<Bytes>>> for PortResponse {
    fn from(response: Response<Full<Bytes>>) -> Self {
        Self {
            response,
            on_close: None,
        }
    }
}

/// Serves requests until the process ends.
pub async fn serve(listener: TcpListener, handle: impl Fn(&Request<Incoming>) -> PortResponse + 'static) {
    let handle = Rc::new(handle);
    loop {
        let Ok(stream) = net::accept(&listener).await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let handle = Rc::clone(&handle);
        spawn_local(async move {
            let close_callbacks = RefCell::new(Vec::new());
            let service = service_fn(|request| {
                let PortResponse { response, on_close } = handle(&request);
                close_callbacks.borrow_mut().extend(on_close);
                async { Ok::<_, Infallible>(response) }
            });
            // A client that disconnects early is not an error of this node.
            let _ = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service)
                .await;
            close_callbacks
                .into_inner()
                .into_iter()
                .for_each(|on_close| on_close());
        });
    }
}
