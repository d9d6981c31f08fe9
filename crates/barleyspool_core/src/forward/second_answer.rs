//! Finds another answer in the body of an answer.
//!
//! What a target sends behind a body that ends with its connection looks like a part of it. So does what it sends after a body or chunk
//! that it has not completed, up to the length that it stated. The head of an answer is the only sign. See docs/DESIGN.md, "Where an
//! answer ends".

use memchr::{memchr, memmem};

/// How a status line begins.
const VERSION: &[u8] = b"HTTP/1.";
/// The least bytes of a status line at the end of a body that count as an answer which was cut off. Fewer are common in texts.
const MIN_CUT_BYTES: usize = b"HTTP/".len();
/// How much of a head is read before the bytes are taken for text.
const MAX_HEAD_BYTES: usize = 4096;

/// Finds the head of another answer in a body that arrives in parts.
///
/// A body may be a text about HTTP, which contains heads too. Most of those have lines that end with LF alone, and no header of the
/// targets' protocol.
#[derive(Clone, Debug)]
pub struct SecondAnswer {
    /// The names of headers that only answers of targets have, in lower case.
    marks: &'static [&'static str],
    /// Whether a length or chunks tell the end of the body.
    is_framed: bool,
    /// The last bytes of the body, if they may begin a head.
    begun: Vec<u8>,
}

impl SecondAnswer {
    /// Begins to search a body. An answer whose head has one of the headers `marks`, in lower case, is one of a target. In a body
    /// that is framed, only such heads count, of which the status line ends with CR LF.
    pub fn new(marks: &'static [&'static str], is_framed: bool) -> Self {
        Self {
            marks,
            is_framed,
            begun: Vec::new(),
        }
    }

    /// Searches the next part of the body. Returns how many of its bytes precede another answer, if there is one.
    pub fn find(&mut self, part: &[u8]) -> Option<usize> {
        if self.begun.is_empty() {
            return self.search(part, 0);
        }
        let mut bytes = std::mem::take(&mut self.begun);
        let earlier = bytes.len();
        bytes.extend_from_slice(part);
        self.search(&bytes, earlier)
    }

    /// Whether the body ends with the beginning of an answer, if it has no further part.
    pub fn is_cut(&self) -> bool {
        match memchr(b'\n', &self.begun) {
            Some(end) => end > 0 && self.begun[end - 1] == b'\r',
            None => self.begun.len() >= MIN_CUT_BYTES,
        }
    }

    /// Searches bytes of which the first `earlier` belong to the parts before.
    fn search(&mut self, bytes: &[u8], earlier: usize) -> Option<usize> {
        let mut from = 0;
        while let Some(at) = memmem::find(&bytes[from..], VERSION) {
            let begin = from + at;
            match self.read_head(&bytes[begin..]) {
                Head::Answer => return Some(begin.saturating_sub(earlier)),
                Head::Text(length) => from = begin + length,
                Head::Incomplete => {
                    self.begun = bytes[begin..].to_vec();
                    return None;
                }
            }
        }
        let rest = &bytes[from..];
        let begun = (1..VERSION.len())
            .rev()
            .find(|length| rest.ends_with(&VERSION[..*length]));
        self.begun = rest[rest.len() - begun.unwrap_or(0)..].to_vec();
        None
    }

    /// Reads a head as far as it is needed to tell it from a text about HTTP. A header of it may hold another status line, with which
    /// a head may begin too.
    fn read_head(&self, bytes: &[u8]) -> Head {
        match read_status_line(bytes) {
            Head::Answer => {}
            other => return other,
        }
        let head = &bytes[..bytes.len().min(MAX_HEAD_BYTES)];
        let mut end = 0;
        // Whether the lines end with CR LF, from a status line on.
        let mut is_crlf = false;
        loop {
            let line_end = memchr(b'\n', &head[end..]);
            let line = line_end.map_or(&head[end..], |line_end| &head[end..=end + line_end]);
            if end > 0 {
                let name = field_name(line);
                let is_marked = name.is_some_and(|name| is_mark(name, self.marks));
                let is_end = line == b"\r\n";
                let is_answer = if self.is_framed {
                    is_marked && is_crlf
                } else {
                    is_marked || (is_crlf && (name.is_some() || is_end))
                };
                if is_answer {
                    return Head::Answer;
                }
                if name.is_none() && line_end.is_some() {
                    return Head::Text(end);
                }
            }
            if line_end.is_none() {
                break;
            }
            end += line.len();
            is_crlf = line.ends_with(b"\r\n") && (is_crlf || has_status_line(line));
        }
        if bytes.len() > MAX_HEAD_BYTES {
            return Head::Text(end.max(VERSION.len()));
        }
        Head::Incomplete
    }
}

/// Whether the value of a header contains a status line.
pub fn has_status_line(value: &[u8]) -> bool {
    memmem::find_iter(value, VERSION).any(|at| read_status_line(&value[at..]) == Head::Answer)
}

/// What bytes are that begin with [`VERSION`].
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
enum Head {
    Answer,
    /// A text, of which this many bytes begin no answer. No byte is searched more than once for each part of the body.
    Text(usize),
    /// More bytes are needed to tell.
    Incomplete,
}

/// Reads a status line up to its status.
fn read_status_line(bytes: &[u8]) -> Head {
    let rest = &bytes[VERSION.len()..];
    // The minor version, a blank and the status.
    let is_expected = |(index, byte): (usize, &u8)| match index {
        1 => *byte == b' ',
        2 => (b'1'..=b'9').contains(byte),
        _ => byte.is_ascii_digit(),
    };
    let shape = &rest[..rest.len().min(5)];
    if !shape.iter().enumerate().all(is_expected) {
        return Head::Text(VERSION.len());
    }
    match rest.get(5) {
        None if shape.len() < 5 => Head::Incomplete,
        None | Some(b' ' | b'\r' | b'\n') => Head::Answer,
        Some(_) => Head::Text(VERSION.len()),
    }
}

fn is_mark(name: &[u8], marks: &[&str]) -> bool {
    marks
        .iter()
        .any(|mark| name.eq_ignore_ascii_case(mark.as_bytes()))
}

/// The name of a header line; `None` if it is none.
fn field_name(line: &[u8]) -> Option<&[u8]> {
    let name = &line[..memchr(b':', line)?];
    let is_token = |byte: &u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(byte);
    (!name.is_empty() && name.iter().all(is_token)).then_some(name)
}
