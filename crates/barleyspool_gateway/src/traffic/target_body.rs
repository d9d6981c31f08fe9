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
    /// Searches a body that ends with its connection for another answer.
    second: Option<SecondAnswer>,
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
        let second = ends_with_connection(&parts.headers).then(|| SecondAnswer::new(marks));
        let body = Self {
            body: LimitedBody::new(body, progress),
            second,
            fault: None,
        };
        Response::from_parts(parts, body)
    }

    /// The progress of its connection.
    pub fn progress(&self) -> &ReadProgress {
        self.body.progress()
    }

    /// What is wrong with the part that has been read, if anything is.
    pub fn fault(&self) -> Option<AnswerFault> {
        self.fault
    }
}

impl Body for TargetBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<hyper::Result<Frame<Bytes>>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        if let Some(second) = &mut self.second {
            let is_found = match &frame {
                Some(Ok(frame)) => frame.data_ref().is_some_and(|data| second.find(data).is_some()),
                Some(Err(_)) => false,
                None => second.is_cut(),
            };
            if is_found {
                self.fault = Some(AnswerFault::SecondAnswer);
            }
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.second.is_none() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
