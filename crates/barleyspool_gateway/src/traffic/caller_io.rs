//! The I/O layer between the socket of a caller's connection and the HTTP library.
//!
//! The library does not report whether the bytes passed to it have left the process. This layer records reads and
//! writes of the socket in [`ConnectionWatch`]. It closes in two steps: first the writing side, then, when the caller
//! has closed too or after [`LINGER`], the whole socket. A socket that is closed with unread bytes is reset, and a
//! reset discards the bytes that the kernel has not sent yet.

use super::answer_body::AnswerBody;
use super::connection_watch::{ActiveCall, ConnectionWatch};
use super::read_call::DEFAULT_MAX_WAIT;
use hyper::body::{Body, Frame, SizeHint};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep, sleep_until};

/// How long a connection is still read after its last bytes before it is closed completely. This is long compared with
/// the network delay of a call that crosses the close, and it adds a bounded time to a planned stop. A caller that
/// needs longer to read the bytes in the kernel still receives them, unless it sends more meanwhile.
const LINGER: Duration = Duration::from_secs(1);
/// How long a caller may read none of the written bytes before its connection ends. A call is held no longer than this
/// ([`DEFAULT_MAX_WAIT`]) unless its route sets a longer timeout, so a caller that reads nothing for so long counts as
/// one that has given up or has lost power.
const STALL_TIMEOUT: Duration = Duration::from_micros(DEFAULT_MAX_WAIT.0);
/// The buffer size for reading a connection that is closed for writing, in bytes.
const DISCARD_BUFFER_BYTES: usize = 4096;

/// A caller's connection.
pub struct CallerIo {
    io: TokioIo<TcpStream>,
    watch: Rc<ConnectionWatch>,
    /// The timer at whose end lingering stops; `None` while answers may be written.
    linger: Option<Pin<Box<Sleep>>>,
    /// The timer that ends a stalled write; `None` while the caller reads the written bytes.
    stalled: Option<Pin<Box<Sleep>>>,
}

impl CallerIo {
    /// Wraps a connection that was just accepted.
    pub fn new(stream: TcpStream, watch: &Rc<ConnectionWatch>) -> Self {
        Self {
            io: TokioIo::new(stream),
            watch: Rc::clone(watch),
            linger: None,
            stalled: None,
        }
    }

    /// Records the result of a write; a write that has been pending for [`STALL_TIMEOUT`] fails.
    fn record_write<T>(
        &mut self,
        written: Poll<io::Result<T>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<T>> {
        self.watch.record_write(written.is_pending());
        if written.is_ready() {
            self.stalled = None;
            return written;
        }
        let stalled = self.stalled.get_or_insert_with(|| Box::pin(sleep(STALL_TIMEOUT)));
        ready!(stalled.as_mut().poll(context));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Reads and discards bytes until the caller has closed its side.
    fn poll_discard(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let mut bytes = [0; DISCARD_BUFFER_BYTES];
        loop {
            let mut buffer = ReadBuf::new(&mut bytes);
            let stream = Pin::new(self.io.inner_mut());
            match ready!(stream.poll_read(context, &mut buffer)) {
                Ok(()) if !buffer.filled().is_empty() => {}
                // A caller that resets the connection reads no more.
                Ok(()) | Err(_) => return Poll::Ready(()),
            }
        }
    }
}

impl Read for CallerIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let read = Pin::new(&mut self.io).poll_read(context, buffer);
        if matches!(read, Poll::Ready(Ok(()))) {
            self.watch.record_read();
        }
        read
    }
}

impl Write for CallerIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write(context, bytes);
        self.record_write(written, context)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger.is_none() {
            ready!(Pin::new(&mut self.io).poll_shutdown(context))?;
            self.linger = Some(Box::pin(sleep_until(self.watch.last_activity() + LINGER)));
        }
        if self.poll_discard(context).is_ready() {
            return Poll::Ready(Ok(()));
        }
        match &mut self.linger {
            Some(linger) => linger.as_mut().poll(context).map(Ok),
            None => Poll::Ready(Ok(())),
        }
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write_vectored(context, parts);
        self.record_write(written, context)
    }
}

/// The body of an answer; its call stays active until the body has been passed to the HTTP library.
pub struct WatchedBody {
    /// The body.
    pub body: AnswerBody,
    /// Keeps the call active until the body is dropped.
    #[allow(dead_code, reason = "kept for its drop")]
    pub mark: ActiveCall,
}

impl Body for WatchedBody {
    type Data = <AnswerBody as Body>::Data;
    type Error = <AnswerBody as Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
