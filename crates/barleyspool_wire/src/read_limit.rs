//! Limits what is read from the other side of a client connection: how much in one go, and how much without a result.
//!
//! The HTTP library reads for as long as bytes arrive and what it parses is not complete. Interim answers, empty lines, the framing
//! of chunks and other bytes that are no part of an answer may come without end. They would keep the thread from its other tasks and
//! timers, and the connection would stay open. So each connection pauses after every `MAX_BURST_BYTES`, and fails after
//! `MAX_BYTES_WITHOUT_RESULT` of which neither the head of an answer nor a part of a body came.

use bytes::Buf;
use hyper::body::{Body, Frame, SizeHint};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::io;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::task::yield_now;

/// The size of the read buffer of a connection, in bytes: the largest head of an answer, and the largest part of a body.
const READ_BUFFER_BYTES: usize = 16 << 10;
/// How much a connection reads before other tasks of its thread run, in bytes.
const MAX_BURST_BYTES: usize = READ_BUFFER_BYTES;
/// How much a connection reads without the head of an answer or a part of a body before it fails, in bytes. Above the read buffer,
/// of which the reader of a body may not have taken all.
const MAX_BYTES_WITHOUT_RESULT: usize = 4 * READ_BUFFER_BYTES;

/// too many bytes arrived that are no part of an answer
#[derive(Copy, Clone, Debug, displaydoc::Display)]
pub struct NoResult;

impl std::error::Error for NoResult {}

/// The bytes that a connection has read since the last part of an answer.
#[derive(Clone, Debug, Default)]
pub struct ReadProgress(Arc<AtomicUsize>);

impl ReadProgress {
    /// Records that the head of an answer or a part of a body was received.
    pub fn record_result(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    /// Whether the connection has failed because too many bytes came without a result.
    pub fn is_exhausted(&self) -> bool {
        self.0.load(Ordering::Relaxed) > MAX_BYTES_WITHOUT_RESULT
    }

    fn add(&self, bytes: usize) {
        self.0.fetch_add(bytes, Ordering::Relaxed);
    }
}

/// A stream that pauses between bursts, and fails when too many bytes come without a result.
#[derive(Debug)]
pub struct LimitedStream<S> {
    stream: S,
    /// Bytes read since the stream last had none, or last paused.
    burst: usize,
    progress: ReadProgress,
}

impl<S: AsyncRead + Unpin> AsyncRead for LimitedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.burst >= MAX_BURST_BYTES {
            self.burst = 0;
            // Unlike an immediate wake, this lets the runtime look at all sockets and timers before the task is polled again.
            return pin!(yield_now()).poll(context).map(Ok);
        }
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if read.is_pending() {
            self.burst = 0;
        }
        ready!(read)?;
        let bytes = buffer.filled().len() - before;
        self.burst += bytes;
        self.progress.add(bytes);
        if self.progress.is_exhausted() {
            return Poll::Ready(Err(io::Error::other(NoResult)));
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for LimitedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }
}

/// A body whose parts count as results of its connection.
#[derive(Debug)]
pub struct LimitedBody<B> {
    body: B,
    progress: ReadProgress,
}

impl<B> LimitedBody<B> {
    /// The body of an answer whose head has just been received on a connection with this progress.
    pub fn new(body: B, progress: &ReadProgress) -> Self {
        progress.record_result();
        Self {
            body,
            progress: progress.clone(),
        }
    }

    /// The progress of its connection.
    pub fn progress(&self) -> &ReadProgress {
        &self.progress
    }
}

impl<B: Body + Unpin> Body for LimitedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        if let Some(Ok(frame)) = &frame
            && frame.data_ref().is_some_and(Buf::has_remaining)
        {
            self.progress.record_result();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// The task that drives a connection until it is closed.
pub type Driver<S, B> = http1::Connection<TokioIo<LimitedStream<S>>, B>;

/// Prepares a new connection for HTTP requests. Returns what sends them, the task that has to be spawned for it, and the progress
/// of reading, to which [`LimitedBody`] adds.
///
/// # Errors
/// As the HTTP library.
pub async fn handshake<S, B>(stream: S) -> hyper::Result<(SendRequest<B>, Driver<S, B>, ReadProgress)>
where
    S: AsyncRead + AsyncWrite + Unpin,
    B: Body + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let progress = ReadProgress::default();
    let stream = LimitedStream {
        stream,
        burst: 0,
        progress: progress.clone(),
    };
    let mut builder = http1::Builder::new();
    builder.max_buf_size(READ_BUFFER_BYTES);
    let (sender, driver) = builder.handshake(TokioIo::new(stream)).await?;
    Ok((sender, driver, progress))
}
