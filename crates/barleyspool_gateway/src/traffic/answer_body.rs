//! The body of an answer to a caller.

use super::call_guard::CallGuard;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// A stream broke off; the connection is closed so that the answer does not look complete.
#[derive(Debug, displaydoc::Display)]
pub enum RelayBroken {
    /// the target's stream broke off
    BrokenOff,
}

impl std::error::Error for RelayBroken {}

/// What comes through a relayed stream.
pub type RelayItem = Result<Bytes, RelayBroken>;

/// The body of an answer: whole, or as it comes.
pub enum AnswerBody {
    /// Whole; the guard counts the call as in flight until the body is dropped.
    Whole(
        Option<Bytes>,
        #[allow(dead_code, reason = "kept for its drop")] Option<CallGuard>,
    ),
    /// As it comes.
    Stream(mpsc::Receiver<RelayItem>),
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = RelayBroken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayBroken>>> {
        match &mut *self {
            Self::Whole(bytes, _) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(items) => items
                .poll_recv(context)
                .map(|item| item.map(|item| item.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes, _) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes, _) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
