//! A target's stream on its way to the caller.

use bytes::Bytes;
use hyper::body::{Body, Frame};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::sync::mpsc;

/// A stream broke off; the connection is closed so that the answer does not look complete.
#[derive(Debug, displaydoc::Display)]
pub enum RelayBroken {
    /// the target's stream broke off
    BrokenOff,
}

impl std::error::Error for RelayBroken {}

/// What comes through a relayed stream.
#[derive(Debug)]
pub enum RelayItem {
    /// A part of it.
    Part(Bytes),
    /// It was whole. Without this word a stream was broken off: a task that is dropped or panics says nothing, and what it
    /// leaves must not look complete.
    End,
}

/// A stream that is passed on as it comes.
#[derive(Debug)]
pub struct RelayedStream {
    items: mpsc::Receiver<RelayItem>,
    ended: bool,
}

impl RelayedStream {
    /// The stream that comes through `items`.
    pub fn new(items: mpsc::Receiver<RelayItem>) -> Self {
        Self { items, ended: false }
    }
}

impl Body for RelayedStream {
    type Data = Bytes;
    type Error = RelayBroken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayBroken>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        match ready!(self.items.poll_recv(context)) {
            Some(RelayItem::Part(part)) => Poll::Ready(Some(Ok(Frame::data(part)))),
            Some(RelayItem::End) => {
                self.ended = true;
                Poll::Ready(None)
            }
            None => Poll::Ready(Some(Err(RelayBroken::BrokenOff))),
        }
    }
}
