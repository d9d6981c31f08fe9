//! Connections to targets by way of another entry node, for a node that has lost its own links to them.
//!
//! The other node opens a connection to a listed target and passes bytes in both directions. The requesting node speaks
//! with the target as over a connection of its own, so that whatever it knows of attempts, offsets, cancellations and
//! cooldowns holds unchanged. A tunnel leads over one node only: that node opens a direct connection.

use crate::http::FullBody;
use crate::net;
use crate::timer;
use barleyspool_core::TargetId;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HOST, UPGRADE};
use hyper::upgrade::Upgraded;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;

/// The path of a request for a tunnel: `/tunnel?target=ID`.
pub const TUNNEL_PATH: &str = "/tunnel";
/// The name of the protocol to which a connection is upgraded.
const PROTOCOL: &str = "barleyspool-tunnel";
/// How long opening a tunnel may take; the other node takes up to [`net::CONNECT_TIMEOUT`] of it.
const OPEN_TIMEOUT: Duration = Duration::from_millis(800);

/// Opens a connection to a target by way of the node with this bulk address. The task that drives the connection to that
/// node ends with the tunnel.
///
/// # Errors
/// When that node cannot be reached in time, or opens no connection to the target. No byte has reached the target then.
pub async fn open(peer: &str, target: TargetId) -> io::Result<Upgraded> {
    timer::timeout(OPEN_TIMEOUT, request_tunnel(peer, target)).await?
}

async fn request_tunnel(peer: &str, target: TargetId) -> io::Result<Upgraded> {
    let stream = net::connect(peer).await?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    tokio::spawn(connection.with_upgrades());
    let request = Request::get(format!("{TUNNEL_PATH}?target={}", target.0))
        .header(HOST, peer)
        .header(CONNECTION, "upgrade")
        .header(UPGRADE, PROTOCOL)
        .body(FullBody::default())
        .map_err(io::Error::other)?;
    let response = sender.send_request(request).await.map_err(io::Error::other)?;
    if response.status() != StatusCode::SWITCHING_PROTOCOLS {
        return Err(io::Error::other(format!("{peer}: status {}", response.status())));
    }
    hyper::upgrade::on(response).await.map_err(io::Error::other)
}

/// The target that a request for a tunnel names in its query.
pub fn target_of(query: &str) -> Option<TargetId> {
    let id = query.strip_prefix("target=")?;
    id.parse().ok().map(TargetId)
}

/// The answer that opens a tunnel to `target`, and the task that passes its bytes until either side closes.
pub fn accept(
    request: &mut Request<Incoming>,
    mut target: TcpStream,
) -> (Response<FullBody>, impl Future<Output = ()> + use<>) {
    let upgrade = hyper::upgrade::on(request);
    let pass = async move {
        let Ok(requester) = upgrade.await else { return };
        // An error is a closed connection, which both sides notice.
        let _ = tokio::io::copy_bidirectional(&mut TokioIo::new(requester), &mut target).await;
    };
    let mut response = Response::new(FullBody::new(Bytes::new()));
    *response.status_mut() = StatusCode::SWITCHING_PROTOCOLS;
    let headers = response.headers_mut();
    headers.insert(CONNECTION, hyper::header::HeaderValue::from_static("upgrade"));
    headers.insert(UPGRADE, hyper::header::HeaderValue::from_static(PROTOCOL));
    (response, pass)
}
