//! A caller's connection, between the socket and the HTTP library.
//!
//! The library does not tell whether what it was given has left the process. This layer sees the socket: when the first
//! bytes of a head come ([`HeadWatch`]), and whether the kernel takes what is written ([`Delivery`]).

use super::answer_body::AnswerBody;
use super::head_watch::{CallMark, HeadWatch};
use hyper::body::{Body, Frame, SizeHint};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::net::TcpStream;

/// Whether a connection's answers leave the process.
#[derive(Default)]
pub struct Delivery {
    /// Whether the kernel did not take all of the last write: the caller reads more slowly than it is answered.
    pub waiting: Cell<bool>,
    /// The id of the call that was answered last.
    pub last_call: RefCell<String>,
}

/// A caller's connection.
pub struct CallerIo {
    io: TokioIo<TcpStream>,
    heads: Rc<HeadWatch>,
    delivery: Rc<Delivery>,
}

impl CallerIo {
    /// A connection that was just accepted.
    pub fn new(stream: TcpStream, heads: &Rc<HeadWatch>, delivery: &Rc<Delivery>) -> Self {
        Self {
            io: TokioIo::new(stream),
            heads: Rc::clone(heads),
            delivery: Rc::clone(delivery),
        }
    }

    fn noted<T>(&self, written: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        self.delivery.waiting.set(written.is_pending());
        written
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
            self.heads.bytes();
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
        self.noted(written)
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
        let written = Pin::new(&mut self.io).poll_write_vectored(context, parts);
        self.noted(written)
    }
}

/// The body of an answer; its call lasts until it has been handed to the HTTP library.
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
