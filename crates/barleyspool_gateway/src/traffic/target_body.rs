//! The body of an answer of a target, up to another answer that its target sends behind it.

use super::answer_framing::ends_with_connection;
use barleyspool_core::{AnswerFault, SecondAnswer};
use barleyspool_wire::read_limit::{LimitedBody, ReadProgress};
use bytes::Bytes;
use hyper::Response;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

/// The body of an answer of a target.
#[derive(Debug)]
pub struct TargetBody {
    body: LimitedBody<Incoming>,
    /// Whether a length or chunks tell its end.
    is_framed: bool,
    /// Searches it for another answer.
    second: SecondAnswer,
    fault: Option<AnswerFault>,
}

impl TargetBody {
    /// Takes the body of an answer whose head has just been received on a connection with this progress. `marks` are the names of
    /// headers that only answers of targets have, in lower case.
    pub fn of(
        answer: Response<Incoming>,
        progress: &ReadProgress,
        marks: &'static [&'static str],
    ) -> Response<Self> {
        let (parts, body) = answer.into_parts();
        let is_framed = !ends_with_connection(&parts.headers);
        let body = Self {
            body: LimitedBody::new(body, progress),
            is_framed,
            second: SecondAnswer::new(marks, is_framed),
            fault: None,
        };
        Response::from_parts(parts, body)
    }

    /// The progress of its connection.
    pub fn progress(&self) -> &ReadProgress {
        self.body.progress()
    }

    /// Whether the last bytes begin another answer. A text may end so too; behind the beginning of an answer more bytes follow.
    pub fn ends_like_head(&self) -> bool {
        self.second.is_cut()
    }

    /// Why it ended before its target's connection did, if it did.
    pub fn fault(&self) -> Option<AnswerFault> {
        self.fault
    }
}

/// The body of an answer ended before the answer was complete.
#[derive(Debug, displaydoc::Display)]
pub enum BodyError {
    /// the connection failed: {0}
    Connection(hyper::Error),
    /// another answer follows in the body
    SecondAnswer,
}

impl std::error::Error for BodyError {}

impl Body for TargetBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.fault.is_some() {
            return Poll::Ready(Some(Err(BodyError::SecondAnswer)));
        }
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        let frame = frame.map(|frame| frame.map_err(BodyError::Connection));
        let end = match &frame {
            Some(Ok(frame)) => frame.data_ref().and_then(|data| self.second.find(data)),
            Some(Err(_)) => None,
            None => (!self.is_framed && self.second.is_cut()).then_some(0),
        };
        let Some(end) = end else {
            return Poll::Ready(frame);
        };
        self.fault = Some(AnswerFault::SecondAnswer);
        // What precedes the other answer may be complete events of a stream.
        let data = frame
            .and_then(Result::ok)
            .and_then(|frame| frame.into_data().ok());
        Poll::Ready(Some(match data {
            Some(data) if end > 0 => Ok(Frame::data(data.slice(..end))),
            _ => Err(BodyError::SecondAnswer),
        }))
    }

    fn is_end_stream(&self) -> bool {
        self.is_framed && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
