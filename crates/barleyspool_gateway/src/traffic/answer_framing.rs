//! Where answers of targets end, and which heads are those of one answer. See docs/DESIGN.md, "Where an answer ends".

use barleyspool_core::{AnswerFault, has_status_line};
use hyper::ext::ReasonPhrase;
use hyper::header::{CONTENT_LENGTH, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::{Response, StatusCode};

/// The only transfer coding that tells where a body ends.
const CHUNKED: &[u8] = b"chunked";

/// Whether a status is that of a final answer. One from 100 to 199 announces another answer, and one above 599 is not defined, so
/// that a caller can't tell whether its call succeeded. The HTTP library refuses those below 100.
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Whether an answer has neither a length nor chunks, so that it ends with its connection.
pub fn ends_with_connection(headers: &HeaderMap) -> bool {
    !headers.contains_key(CONTENT_LENGTH) && !headers.contains_key(TRANSFER_ENCODING)
}

/// Why a head is not that of one answer whose end can be told, if it is not. A head that was begun before may end in its status line
/// or in a header.
pub fn head_fault<B>(answer: &Response<B>) -> Option<AnswerFault> {
    let headers = answer.headers();
    let reason = answer.extensions().get::<ReasonPhrase>();
    let mut values = headers.values().map(HeaderValue::as_bytes);
    if values.any(has_status_line) || reason.is_some_and(|reason| has_status_line(reason.as_bytes())) {
        return Some(AnswerFault::TwoHeads);
    }
    // The HTTP library reads a body in another coding up to the end of its connection, and does not decode it.
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let is_unknown = codings.any(|coding| !coding.as_bytes().trim_ascii().eq_ignore_ascii_case(CHUNKED));
    is_unknown.then_some(AnswerFault::TransferCoding)
}
