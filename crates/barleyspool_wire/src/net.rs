//! Opens and accepts connections.
//!
//! Every connection of every process goes through [`connect`] or through [`listen`] with [`accept`], so that TLS
//! can be added here alone.

use crate::timer;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Timeout for opening a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a connection may be idle before the first TCP keep-alive probe, and the interval of the probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// The number of unanswered probes after which the kernel closes a connection.
const KEEPALIVE_RETRIES: u32 = 3;
/// How long written bytes may stay unacknowledged before the kernel closes a connection between processes of the
/// deployment. The kernel also counts the time in which the receive window of the other side is closed, so
/// connections of callers, who may read slowly, have no such limit.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);
/// The maximum number of established connections that wait to be accepted.
const BACKLOG: i32 = 1024;

/// Opens a connection to an IP address and port.
///
/// # Errors
/// When `address` is not an IP address and port, or the connection cannot be opened in time. No data has been sent
/// in that case.
pub async fn connect(address: &str) -> io::Result<TcpStream> {
    let address: SocketAddr = address.parse().map_err(io::Error::other)?;
    let stream = timer::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    set_socket_options(&stream)?;
    set_unacknowledged_timeout(&stream)?;
    Ok(stream)
}

/// Sets the socket options of every connection: no delay of small writes, and keep-alive probes, which close an idle
/// connection within seconds when the other side has lost power or is unreachable. In that case no TCP reset
/// arrives.
fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    let probes = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&probes)
}

/// Closes a connection within seconds also while written bytes are unacknowledged; the kernel sends keep-alive
/// probes on idle connections only.
fn set_unacknowledged_timeout(stream: &TcpStream) -> io::Result<()> {
    socket2::SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}

/// Listens on an IP address and port. Several traffic threads may listen on the same address.
///
/// # Errors
/// When the address cannot be bound, for instance because it is in use.
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

/// Accepts one connection from another process of the deployment.
///
/// # Errors
/// When the operating system returns an error, for instance because no file descriptors are left.
pub async fn accept(listener: &TcpListener) -> io::Result<TcpStream> {
    let stream = accept_caller(listener).await?;
    set_unacknowledged_timeout(&stream)?;
    Ok(stream)
}

/// Accepts one connection from a caller. It stays open however slowly the caller reads.
///
/// # Errors
/// When the operating system returns an error, for instance because no file descriptors are left.
pub async fn accept_caller(listener: &TcpListener) -> io::Result<TcpStream> {
    let (stream, _) = listener.accept().await?;
    set_socket_options(&stream)?;
    Ok(stream)
}

/// Accepts all connections of callers that the kernel has established so far, and closes the listener.
///
/// Closing a listening socket resets the connections that have not been accepted, and loses the calls that were sent
/// on them. An error, for instance because no file descriptors are left, stops the accepting early; the remaining
/// connections are reset.
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

/// The connections from other processes of the deployment as a stream, for servers that need one. An accept that
/// fails yields an error, and the stream continues.
pub fn incoming(listener: TcpListener) -> impl futures::Stream<Item = io::Result<TcpStream>> {
    accept_all(listener, async |listener| accept(listener).await)
}

/// The connections from callers as a stream; see [`accept_caller`].
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
            // Most likely no file descriptors are left; wait until other connections are closed.
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Some((accepted, (listener, accept)))
    })
}
