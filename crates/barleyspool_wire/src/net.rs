//! Making and accepting connections.
//!
//! Every connection of every process goes through [`connect`] or [`listen`] with [`accept`]. TLS will go
//! here, and nowhere else.

use crate::timer;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// How long a connection may take to be made.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a connection rests before it is probed, and how long between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer that end a connection.
const KEEPALIVE_RETRIES: u32 = 3;
/// How long written bytes may stay unacknowledged before a connection between processes of the deployment ends. The kernel also
/// counts the time in which the other side takes nothing, so connections of callers, who may read slowly, have no such limit.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);
/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;

/// Makes a connection to an IP number and port.
///
/// # Errors
/// When the address is not an IP number and port, or the connection cannot be made in time. Nothing has
/// been sent then.
pub async fn connect(address: &str) -> io::Result<TcpStream> {
    let address: SocketAddr = address.parse().map_err(io::Error::other)?;
    let stream = timer::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    set_socket_options(&stream)?;
    set_unacknowledged_timeout(&stream)?;
    Ok(stream)
}

/// Sets what every connection needs: no delay of small writes, and an end within seconds when it is at rest and the other side
/// has lost power or is cut off, which no reset tells.
fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    let probes = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&probes)
}

/// Ends a connection within seconds also while written bytes wait to be acknowledged: probes are sent at rest only.
fn set_unacknowledged_timeout(stream: &TcpStream) -> io::Result<()> {
    socket2::SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}

/// Listens on an IP number and port. Several traffic threads may listen on the same.
///
/// # Errors
/// When the address is malformed or in use.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Accepts one connection of another process of the deployment.
///
/// # Errors
/// When the operating system refuses, for instance for want of file descriptors.
pub async fn accept(listener: &TcpListener) -> io::Result<TcpStream> {
    let stream = accept_caller(listener).await?;
    set_unacknowledged_timeout(&stream)?;
    Ok(stream)
}

/// Accepts one connection of a caller, which lasts however slowly the caller reads.
///
/// # Errors
/// When the operating system refuses, for instance for want of file descriptors.
pub async fn accept_caller(listener: &TcpListener) -> io::Result<TcpStream> {
    let (stream, _) = listener.accept().await?;
    set_socket_options(&stream)?;
    Ok(stream)
}

/// Takes every connection of callers that the kernel has made, and listens no more.
///
/// A listening socket that is closed resets the connections that nobody has taken, with the calls that were sent on them.
/// An error, for want of file descriptors for instance, ends it early: what still waits is reset.
pub fn accept_pending(listener: TcpListener) -> Vec<TcpStream> {
    let Ok(listener) = listener.into_std() else {
        return Vec::new();
    };
    let pending = listener.incoming().map_while(Result::ok);
    let streams = pending.filter_map(|stream| {
        stream.set_nonblocking(true).ok()?;
        let stream = TcpStream::from_std(stream).ok()?;
        set_socket_options(&stream).ok()?;
        Some(stream)
    });
    streams.collect()
}

/// The connections of other processes of the deployment as a stream, for servers that want one. A failed accept is skipped.
pub fn incoming(listener: TcpListener) -> impl futures::Stream<Item = io::Result<TcpStream>> {
    accept_all(listener, async |listener| accept(listener).await)
}

/// The connections of callers as a stream; see [`accept_caller`].
pub fn incoming_callers(listener: TcpListener) -> impl futures::Stream<Item = io::Result<TcpStream>> {
    accept_all(listener, async |listener| accept_caller(listener).await)
}

fn accept_all(
    listener: TcpListener,
    accept: impl AsyncFn(&TcpListener) -> io::Result<TcpStream>,
) -> impl futures::Stream<Item = io::Result<TcpStream>> {
    futures::stream::unfold((listener, accept), |(listener, accept)| async {
        let accepted = accept(&listener).await;
        if accepted.is_err() {
            // Out of descriptors, most likely: give others the time to close some.
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Some((accepted, (listener, accept)))
    })
}
