//! A caller's connection, between the socket and the HTTP library.
//!
//! The library does not tell whether what it was given has left the process. This layer sees the socket, and tells
//! [`ConnectionWatch`]. It closes in two steps: first for writing, then, when the caller has closed too or after
//! [`LINGER`], altogether. A socket that is closed with unread bytes is reset, and a reset takes along what the kernel has
//! not sent yet.

use super::answer_body::AnswerBody;
use super::connection_watch::{ActiveCall, ConnectionWatch};
use super::read_call::LONGEST;
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

/// How long after its last bytes a connection is read on before it is closed altogether. Chosen, not measured: it is long
/// against the way of a call that crosses the close, and what it adds to a planned stop is bounded. A caller that takes longer
/// for what the kernel holds still gets it, unless it sends more meanwhile.
const LINGER: Duration = Duration::from_secs(1);
/// How long a caller may take nothing of what is written before its connection ends. No call is held longer than this
/// ([`LONGEST`]), so a caller that takes nothing for so long has given up or has lost power.
const STALLED: Duration = Duration::from_micros(LONGEST.0);
/// Bytes read at once from a connection on which nothing is answered any more.
const DISCARDED: usize = 4096;

/// A caller's connection.
pub struct CallerIo {
    io: TokioIo<TcpStream>,
    watch: Rc<ConnectionWatch>,
    /// The end of lingering; `None` while answers may be written.
    linger: Option<Pin<Box<Sleep>>>,
    /// When the caller has taken nothing for too long; `None` while it takes what is written.
    stalled: Option<Pin<Box<Sleep>>>,
}

impl CallerIo {
    /// A connection that was just accepted.
    pub fn new(stream: TcpStream, watch: &Rc<ConnectionWatch>) -> Self {
        Self {
            io: TokioIo::new(stream),
            watch: Rc::clone(watch),
            linger: None,
            stalled: None,
        }
    }

    /// Notes what became of a write; one that has waited for [`STALLED`] fails.
    fn noted<T>(&mut self, written: Poll<io::Result<T>>, context: &mut Context<'_>) -> Poll<io::Result<T>> {
        self.watch.record_write(written.is_pending());
        if written.is_ready() {
            self.stalled = None;
            return written;
        }
        let stalled = self.stalled.get_or_insert_with(|| Box::pin(sleep(STALLED)));
        ready!(stalled.as_mut().poll(context));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Reads and drops what comes until the caller has closed.
    fn poll_discard(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let mut bytes = [0; DISCARDED];
        loop {
            let mut buffer = ReadBuf::new(&mut bytes);
            let stream = Pin::new(self.io.inner_mut());
            match ready!(stream.poll_read(context, &mut buffer)) {
                Ok(()) if !buffer.filled().is_empty() => {}
                // A caller that resets wants nothing more.
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
        self.noted(written, context)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger.is_none() {
            ready!(Pin::new(&mut self.io).poll_shutdown(context))?;
            self.linger = Some(Box::pin(sleep_until(self.watch.active() + LINGER)));
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
        self.noted(written, context)
    }
}

/// The body of an answer; its call lasts until it has been handed to the HTTP library.
pub struct WatchedBody {
    /// The body.
    pub body: AnswerBody,
    /// The call.
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
