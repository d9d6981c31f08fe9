//! The body of an answer to a caller.

use super::answer_reader::HeldBody;
use super::call_guard::CallGuard;
use super::held_bytes::HeldBytes;
use super::relayed_stream::{RelayError, RelayedStream};
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// The body of an answer: complete in memory, or a stream.
pub enum AnswerBody {
    /// A body that is complete in memory.
    Buffered(BufferedBody),
    /// A body that is relayed while the target sends it.
    Stream(RelayedStream),
}

/// A complete body that is being written. The rest of it counts as held memory, and its call as in flight, until the caller reads
/// on.
pub struct BufferedBody {
    /// The bytes not yet passed to the HTTP library.
    remaining: Remaining,
    /// Counts the call as in flight until the body is dropped.
    #[allow(dead_code, reason = "kept for its drop")]
    guard: Option<Rc<CallGuard>>,
    /// Counts the body as held memory until it is dropped.
    #[allow(dead_code, reason = "kept for its drop")]
    held: Option<HeldBytes>,
}

enum Remaining {
    /// A few bytes that this node wrote.
    Own(Bytes),
    /// The body of a target's answer.
    Answer(HeldBody),
}

impl BufferedBody {
    /// The body of a refusal by this node; it is a few bytes long and not counted as held.
    pub fn refusal(body: Bytes, guard: Rc<CallGuard>) -> Self {
        Self {
            remaining: Remaining::Own(body),
            guard: Some(guard),
            held: None,
        }
    }

    /// The body of an answer to another node that holds no answer of a target.
    pub fn internal(body: Bytes) -> Self {
        Self {
            remaining: Remaining::Own(body),
            guard: None,
            held: None,
        }
    }

    /// The body of a target's answer.
    pub fn answer(body: HeldBody, held: HeldBytes, guard: Rc<CallGuard>) -> Self {
        Self {
            remaining: Remaining::Answer(body),
            guard: Some(guard),
            held: Some(held),
        }
    }

    fn length(&self) -> usize {
        match &self.remaining {
            Remaining::Own(bytes) => bytes.len(),
            Remaining::Answer(body) => body.length(),
        }
    }

    fn next(&mut self) -> Option<Bytes> {
        match &mut self.remaining {
            Remaining::Own(bytes) => (!bytes.is_empty()).then(|| std::mem::take(bytes)),
            Remaining::Answer(body) => body.next_block(),
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = RelayError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        match &mut *self {
            Self::Buffered(body) => Poll::Ready(body.next().map(|part| Ok(Frame::data(part)))),
            Self::Stream(stream) => Pin::new(stream).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(body) => body.length() == 0,
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => SizeHint::with_exact(body.length() as u64),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
