//! The body of an answer to a caller.

use super::call_guard::CallGuard;
use super::relayed_stream::{RelayBroken, RelayedStream};
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};

/// The body of an answer: whole, or as it comes.
pub enum AnswerBody {
    /// Whole; the guard counts the call as in flight until the body is dropped.
    Whole(
        Option<Bytes>,
        #[allow(dead_code, reason = "kept for its drop")] Option<CallGuard>,
    ),
    /// As it comes.
    Stream(RelayedStream),
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
            Self::Stream(stream) => Pin::new(stream).poll_frame(context),
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
