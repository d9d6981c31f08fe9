//! The response body that relays a target's stream to the caller.

use super::held_answer::HeldPart;
use bytes::Bytes;
use hyper::body::{Body, Frame};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::sync::mpsc;

/// A stream was interrupted; the connection is closed so that the answer does not look complete.
#[derive(Debug, displaydoc::Display)]
pub enum RelayError {
    /// the target's stream broke off
    Interrupted,
}

impl std::error::Error for RelayError {}

/// A message from the task that relays a stream to the response body.
pub enum RelayItem {
    /// The next bytes of the stream, and what counts them as memory of the answer.
    Part(Bytes, Option<HeldPart>),
    /// The stream is complete. A channel that closes without this item means an interrupted stream: a task that is
    /// dropped or panics sends nothing, and its partial answer must not look complete.
    End,
}

/// A stream that is relayed while the target sends it.
pub struct RelayedStream {
    items: mpsc::Receiver<RelayItem>,
    ended: bool,
}

impl RelayedStream {
    /// The stream whose items arrive through `items`.
    pub fn new(items: mpsc::Receiver<RelayItem>) -> Self {
        Self { items, ended: false }
    }
}

impl Body for RelayedStream {
    type Data = Bytes;
    type Error = RelayError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        match ready!(self.items.poll_recv(context)) {
            Some(RelayItem::Part(part, _)) => Poll::Ready(Some(Ok(Frame::data(part)))),
            Some(RelayItem::End) => {
                self.ended = true;
                Poll::Ready(None)
            }
            None => Poll::Ready(Some(Err(RelayError::Interrupted))),
        }
    }
}
