//! How long a caller takes for the head of a call.
//!
//! The HTTP library knows one time for a connection at rest and for a head that has begun. Callers may rest far longer
//! than a head may take, so the start of a head is noted where its first bytes are read.

use super::answer_body::AnswerBody;
use hyper::body::{Body, Frame, SizeHint};
use hyper::rt::{Read, ReadBufCursor, Write};
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The head that a connection is reading.
#[derive(Default)]
pub struct HeadWatch {
    /// When the first bytes of a head came that is not complete yet.
    since: Cell<Option<Instant>>,
    /// Calls whose answers are not written yet; what is read meanwhile is no late head.
    calls: Cell<u32>,
    begun: Notify,
}

impl HeadWatch {
    /// Bytes were read.
    fn bytes(&self) {
        if self.calls.get() == 0 && self.since.get().is_none() {
            self.since.set(Some(Instant::now()));
            self.begun.notify_one();
        }
    }

    /// A head is complete; the call lasts until what this returns is dropped.
    pub fn call(self: &Rc<Self>) -> CallMark {
        self.since.set(None);
        self.calls.set(self.calls.get() + 1);
        CallMark(Rc::clone(self))
    }

    /// Waits until a head takes longer than `limit`.
    pub async fn overdue(&self, limit: Duration) {
        loop {
            match self.since.get() {
                None => self.begun.notified().await,
                Some(since) if since.elapsed() >= limit => return,
                Some(since) => tokio::time::sleep_until(since + limit).await,
            }
        }
    }
}

/// A call of a connection that is being answered.
pub struct CallMark(Rc<HeadWatch>);

impl Drop for CallMark {
    fn drop(&mut self) {
        self.0.calls.set(self.0.calls.get() - 1);
    }
}

/// A connection whose reads are noted.
pub struct WatchedIo<T> {
    /// The connection.
    pub io: T,
    /// Where its reads are noted.
    pub watch: Rc<HeadWatch>,
}

impl<T: Read + Unpin> Read for WatchedIo<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let read = Pin::new(&mut self.io).poll_read(context, buffer);
        if matches!(read, Poll::Ready(Ok(()))) {
            self.watch.bytes();
        }
        read
    }
}

impl<T: Write + Unpin> Write for WatchedIo<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(context, parts)
    }
}

/// The body of an answer; its call lasts until it has been written.
pub struct WatchedBody {
    /// The body.
    pub body: AnswerBody,
    /// The call.
    #[allow(dead_code, reason = "kept for its drop")]
    pub mark: CallMark,
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
