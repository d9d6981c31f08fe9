//! How far a stream of events has been relayed, and what of it is relayed next.

use super::event_scanner::{EventScanner, begins_answer, event_number};
use bytes::{Bytes, BytesMut};

/// How far a stream has been relayed. Only whole events are: part of the number of an event looks like another number, so that
/// the event would seem to be one that came before.
#[derive(Debug, Default)]
pub struct RelayProgress {
    /// The number of the last relayed event.
    pub event: Option<u64>,
    /// Bytes of an incomplete event.
    part: BytesMut,
    /// Finds the end of that event. It has read all bytes of `part`.
    scanner: EventScanner,
    /// Whether the stream has brought events, and ends with a whole one.
    between_events: bool,
    /// Whether the target has sent what belongs to no stream that goes on from the events before.
    spoiled: bool,
}

impl RelayProgress {
    /// The progress of a stream of which the caller has received the event with this number, if any.
    pub fn after(event: Option<u64>) -> Self {
        Self {
            event,
            ..Self::default()
        }
    }

    /// The bytes of an incomplete event.
    pub fn incomplete_bytes(&self) -> usize {
        self.part.len()
    }

    /// Drops the incomplete event of a target that broke it off, and what else is known of that target's stream.
    pub fn drop_incomplete(&mut self) {
        self.part.clear();
        self.scanner = EventScanner::default();
        self.spoiled = false;
    }

    /// The bytes to relay to the caller now: the events that `data` completes, without those that were relayed before.
    ///
    /// A target that resumes a stream may begin earlier than asked. Where that is not allowed, an event that comes again shows
    /// that the stream is spoiled, as other bytes after its end do; nothing is relayed from there on.
    pub fn next_output(&mut self, data: Bytes, resumable: bool) -> Option<Bytes> {
        if data.is_empty() || self.spoiled {
            return None;
        }
        let mut read = self.part.len();
        let mut rest = if self.part.is_empty() {
            data
        } else {
            self.part.extend_from_slice(&data);
            std::mem::take(&mut self.part).freeze()
        };
        let mut output = Output::default();
        while let Some(end) = self.scanner.event_end(&rest, read) {
            read = 0;
            let event = rest.split_to(end);
            let number = event_number(&event);
            let is_repeated = number.is_some_and(|number| self.event.is_some_and(|last| number <= last));
            self.spoiled = begins_answer(&event) || (is_repeated && !resumable);
            if self.spoiled {
                return output.into_bytes();
            }
            if !is_repeated {
                self.event = number.or(self.event);
                output.push(event);
            }
        }
        self.between_events = rest.is_empty();
        self.part = BytesMut::from(rest);
        output.into_bytes()
    }

    /// Whether the received bytes end with a complete event.
    pub fn is_between_events(&self) -> bool {
        self.between_events
    }

    /// Whether the target has sent events again, or another answer, after the events that were relayed.
    pub fn is_spoiled(&self) -> bool {
        self.spoiled
    }
}

/// Events that are relayed together. A single one, which is the usual case, is not copied.
#[derive(Default)]
struct Output {
    first: Bytes,
    joined: BytesMut,
}

impl Output {
    fn push(&mut self, event: Bytes) {
        if self.first.is_empty() {
            self.first = event;
            return;
        }
        if self.joined.is_empty() {
            self.joined.extend_from_slice(&self.first);
        }
        self.joined.extend_from_slice(&event);
    }

    fn into_bytes(self) -> Option<Bytes> {
        let bytes = if self.joined.is_empty() {
            self.first
        } else {
            self.joined.freeze()
        };
        (!bytes.is_empty()).then_some(bytes)
    }
}
