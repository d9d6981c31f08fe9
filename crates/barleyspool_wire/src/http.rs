//! Small HTTP/1.1 helpers on `hyper`: a request with a timeout, and a server that isolates the connections from
//! each other's failures.
//!
//! `peer` is the IP address and port of the HTTP server of a request, such as a target or the configuration service; it
//! need not be a node.

use crate::net;
use crate::read_limit::{self, LimitedBody};
use crate::timer;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::time::Duration;
use tokio::net::TcpListener;

/// A body that is completely in memory.
pub type FullBody = Full<Bytes>;

/// Why a request failed.
#[derive(Debug, displaydoc::Display)]
pub enum HttpError {
    /// {peer}: cannot connect: {cause}
    Connect {
        /// The address of the server.
        peer: String,
        /// The error.
        cause: String,
    },
    /// {peer}: the connection was lost: {cause}
    ConnectionLost {
        /// The address of the server.
        peer: String,
        /// The error.
        cause: String,
    },
    /// {peer}: no answer within {ms} ms
    Timeout {
        /// The address of the server.
        peer: String,
        /// The timeout in milliseconds.
        ms: u64,
    },
    /// {peer}: unexpected status {status}
    Status {
        /// The address of the server.
        peer: String,
        /// The HTTP status.
        status: u16,
    },
    /// {peer}: malformed answer: {cause}
    Malformed {
        /// The address of the server.
        peer: String,
        /// The error.
        cause: String,
    },
}

impl std::error::Error for HttpError {}

/// Sends one request on a new connection and reads the answer, whose body may have at most `max_bytes` bytes.
///
/// # Errors
/// When the connection fails, or the answer is too large or does not arrive in time. A status other than 200 is not
/// an error.
pub async fn send_request(
    peer: &str,
    method: Method,
    path: &str,
    body: Vec<u8>,
    max_bytes: usize,
    timeout: Duration,
) -> Result<(StatusCode, Bytes), HttpError> {
    let exchange = exchange(peer, method, path, body, max_bytes);
    let ms = timeout.as_millis() as u64;
    timer::timeout(timeout, exchange)
        .await
        .map_err(|_| HttpError::Timeout {
            peer: peer.to_owned(),
            ms,
        })?
}

async fn exchange(
    peer: &str,
    method: Method,
    path: &str,
    body: Vec<u8>,
    max_bytes: usize,
) -> Result<(StatusCode, Bytes), HttpError> {
    let connection_lost = |cause: hyper::Error| HttpError::ConnectionLost {
        peer: peer.to_owned(),
        cause: cause.to_string(),
    };
    let stream = net::connect(peer).await.map_err(|cause| HttpError::Connect {
        peer: peer.to_owned(),
        cause: cause.to_string(),
    })?;
    let (mut sender, connection, progress) = read_limit::handshake(stream).await.map_err(connection_lost)?;
    let _connection = AbortOnDrop(tokio::spawn(connection));
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(hyper::header::HOST, peer)
        .body(FullBody::from(body))
        .map_err(|cause| HttpError::Malformed {
            peer: peer.to_owned(),
            cause: cause.to_string(),
        })?;
    let response = sender.send_request(request).await.map_err(connection_lost)?;
    let status = response.status();
    let body = LimitedBody::new(response.into_body(), &progress);
    let body = Limited::new(body, max_bytes)
        .collect()
        .await
        .map_err(|cause| HttpError::ConnectionLost {
            peer: peer.to_owned(),
            cause: cause.to_string(),
        })?;
    Ok((status, body.to_bytes()))
}

/// Aborts a task when dropped, so that a connection does not outlive the exchange that it was opened for.
#[derive(Debug)]
pub struct AbortOnDrop<T>(pub tokio::task::JoinHandle<T>);

impl<T> Drop for AbortOnDrop<T> {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Sends a GET request for JSON: status 200 yields the parsed value, 204 yields `None`.
///
/// # Errors
/// The errors of [`send_request`], any other status, and JSON that does not match the type.
pub async fn get_json<T: serde::de::DeserializeOwned>(
    peer: &str,
    path: &str,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Option<T>, HttpError> {
    let (status, body) = send_request(peer, Method::GET, path, Vec::new(), max_bytes, timeout).await?;
    match status {
        StatusCode::OK => parse_json(peer, &body).map(Some),
        StatusCode::NO_CONTENT => Ok(None),
        status => Err(HttpError::Status {
            peer: peer.to_owned(),
            status: status.as_u16(),
        }),
    }
}

/// Parses JSON; the error names the path of the value that does not match the type.
///
/// # Errors
/// When the JSON is invalid or does not match the type.
pub fn parse_json<T: serde::de::DeserializeOwned>(peer: &str, body: &[u8]) -> Result<T, HttpError> {
    let mut reader = serde_json::Deserializer::from_slice(body);
    serde_path_to_error::deserialize(&mut reader).map_err(|cause| HttpError::Malformed {
        peer: peer.to_owned(),
        cause: cause.to_string(),
    })
}

/// Builds an answer with a complete body.
pub fn reply(status: StatusCode, body: impl Into<Bytes>) -> Response<FullBody> {
    let mut response = Response::new(FullBody::new(body.into()));
    *response.status_mut() = status;
    response
}

/// Serves requests on a listener until the future is dropped. Each connection is served by a separate task.
pub async fn serve<F, R, B>(listener: TcpListener, handle: F)
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + 'static,
    R: Future<Output = Response<B>> + Send + 'static,
    B: hyper::body::Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    loop {
        let Ok(stream) = net::accept(&listener).await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let handle = handle.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let answer = handle(request);
                async move { Ok::<_, Infallible>(answer.await) }
            });
            let mut server = hyper::server::conn::http1::Builder::new();
            server
                .timer(hyper_util::rt::TokioTimer::new())
                .header_read_timeout(Duration::from_secs(10));
            // A connection error affects this client only, and the handlers count the requests that they serve.
            let connection = server.serve_connection(TokioIo::new(stream), service);
            let _ = connection.with_upgrades().await;
        });
    }
}
