//! Finds the ends of events in a stream of server-sent events.

use memchr::memchr2;

/// The first bytes of another answer. No field of an event is named so.
const ANSWER_START: &[u8] = b"HTTP/1.";
/// The mark that may precede the first event of a stream.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";
/// The name of the field with an event's number.
const EVENT_ID_FIELD: &[u8] = b"id:";

/// Finds the ends of events, which are empty lines. Lines end with LF, CR LF or CR. No byte is read twice.
#[derive(Debug)]
pub struct EventScanner {
    /// Whether the current line is empty so far.
    line_empty: bool,
    /// Whether the last byte was a CR, to which a following LF belongs.
    after_cr: bool,
    /// Whether the last line that a CR ended had an LF after it.
    uses_cr_lf: bool,
    /// Whether an event has ended with a CR, and waits for the LF after it.
    awaits_lf: bool,
}

impl Default for EventScanner {
    fn default() -> Self {
        Self {
            line_empty: true,
            after_cr: false,
            uses_cr_lf: false,
            awaits_lf: false,
        }
    }
}

impl EventScanner {
    /// The end of the first event that ends in `bytes` from index `from` on; `None` if none does. The next call continues there, or
    /// with the bytes that follow.
    pub fn event_end(&mut self, bytes: &[u8], from: usize) -> Option<usize> {
        let mut index = from;
        while let Some(byte) = bytes.get(index) {
            let after_cr = std::mem::take(&mut self.after_cr);
            let awaits_lf = std::mem::take(&mut self.awaits_lf);
            match byte {
                b'\n' if after_cr => {
                    self.uses_cr_lf = true;
                    if awaits_lf {
                        return Some(index + 1);
                    }
                }
                _ if awaits_lf => return Some(index),
                b'\n' | b'\r' => {
                    self.after_cr = *byte == b'\r';
                    let is_event_end = std::mem::replace(&mut self.line_empty, true);
                    // In a stream of lines that end with CR alone, no LF follows.
                    self.awaits_lf = is_event_end && self.after_cr && self.uses_cr_lf;
                    if is_event_end && !self.awaits_lf {
                        return Some(index + 1);
                    }
                }
                _ => {
                    self.uses_cr_lf &= !after_cr;
                    self.line_empty = false;
                    // The rest of the line changes nothing, and searching for its end is faster than reading each byte.
                    let rest = &bytes[index + 1..];
                    index += memchr2(b'\n', b'\r', rest).unwrap_or(rest.len());
                }
            }
            index += 1;
        }
        None
    }
}

/// The lines of an event.
fn lines(event: &[u8]) -> impl Iterator<Item = &[u8]> {
    let event = event.strip_prefix(BYTE_ORDER_MARK).unwrap_or(event);
    event.split(|byte| matches!(byte, b'\n' | b'\r'))
}

/// The number of an event; `None` when it has none.
pub fn event_number(event: &[u8]) -> Option<u64> {
    let number = lines(event).find_map(|line| line.strip_prefix(EVENT_ID_FIELD))?;
    std::str::from_utf8(number).ok()?.trim().parse().ok()
}

/// Whether an event begins another answer, which a target has sent after the stream.
pub fn begins_answer(event: &[u8]) -> bool {
    event.starts_with(ANSWER_START)
}
