//! The body of an answer to a caller.

use super::call_guard::CallGuard;
use super::held_bytes::HeldBytes;
use super::relayed_stream::{RelayBroken, RelayedStream};
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// The bytes of a whole answer that are handed to the HTTP library at once. The rest counts as held, and its call as in flight,
/// until the caller takes it; a part of this size is written in one piece.
const PART: usize = 64 << 10;

/// The body of an answer: whole, or as it comes.
pub enum AnswerBody {
    /// Whole.
    Whole(WholeBody),
    /// As it comes.
    Stream(RelayedStream),
}

/// A whole body that is being written.
pub struct WholeBody {
    /// What has not been handed on.
    rest: Bytes,
    /// Counts the call as in flight.
    #[allow(dead_code, reason = "kept for its drop")]
    guard: Rc<CallGuard>,
    /// Counts the body as held.
    #[allow(dead_code, reason = "kept for its drop")]
    held: Option<HeldBytes>,
}

impl WholeBody {
    /// A refusal of this node, which is a few bytes long.
    pub fn refusal(body: Bytes, guard: Rc<CallGuard>) -> Self {
        Self {
            rest: body,
            guard,
            held: None,
        }
    }

    /// A target's answer.
    pub fn answer(body: Bytes, held: HeldBytes, guard: Rc<CallGuard>) -> Self {
        Self {
            rest: body,
            guard,
            held: Some(held),
        }
    }

    fn next(&mut self) -> Option<Bytes> {
        if self.rest.is_empty() {
            return None;
        }
        let part = self.rest.len().min(PART);
        Some(self.rest.split_to(part))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = RelayBroken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayBroken>>> {
        match &mut *self {
            Self::Whole(body) => Poll::Ready(body.next().map(|part| Ok(Frame::data(part)))),
            Self::Stream(stream) => Pin::new(stream).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.rest.is_empty(),
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => SizeHint::with_exact(body.rest.len() as u64),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
