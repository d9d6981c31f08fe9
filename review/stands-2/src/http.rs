//! A minimal HTTP/1.1 reader and writer over blocking sockets.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;

/// A request or an answer as read from a socket.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    /// The header lines, with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says. A body without length and chunks is whole when its connection was closed
    /// without a reset.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The status of an answer; 0 if this is none.
    pub fn status(&self) -> u16 {
        let mut words = self.start.split(' ');
        words.nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    /// The target of a request, with its query.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection with the bytes that were read too far.
pub struct Link {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

impl Link {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            rest: Vec::new(),
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Reads more bytes; `Some(false)` at the end of the connection, `None` after an error.
    fn fill(&mut self) -> Option<bool> {
        let mut buffer = [0u8; 16384];
        loop {
            match self.stream.read(&mut buffer) {
                Ok(0) => return Some(false),
                Ok(count) => {
                    self.rest.extend_from_slice(&buffer[..count]);
                    return Some(true);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return None,
            }
        }
    }

    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(at) = self.rest.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.rest.drain(..at + 2).collect();
                return Some(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            if self.fill() != Some(true) {
                return None;
            }
        }
    }

    fn take(&mut self, count: usize) -> (Vec<u8>, bool) {
        while self.rest.len() < count {
            if self.fill() != Some(true) {
                return (std::mem::take(&mut self.rest), false);
            }
        }
        (self.rest.drain(..count).collect(), true)
    }

    /// Reads the head of a message; `None` when the connection ends before.
    pub fn head(&mut self) -> Option<Message> {
        let start = self.line()?;
        let mut headers = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
        Some(Message {
            start,
            headers,
            ..Message::default()
        })
    }

    /// Reads a request with its body.
    pub fn request(&mut self) -> Option<Message> {
        let mut message = self.head()?;
        self.body(&mut message, false);
        message.whole.then_some(message)
    }

    /// Reads an answer with its body. One that breaks off is returned with `whole` unset.
    pub fn answer(&mut self) -> Option<Message> {
        let mut message = self.head()?;
        while message.status() / 100 == 1 {
            message = self.head()?;
        }
        self.body(&mut message, true);
        Some(message)
    }

    fn body(&mut self, message: &mut Message, is_answer: bool) {
        if message
            .header("transfer-encoding")
            .is_some_and(|value| value.contains("chunked"))
        {
            loop {
                let Some(line) = self.line() else { return };
                let size = line.split(';').next().unwrap_or("").trim();
                let Ok(size) = usize::from_str_radix(size, 16) else {
                    return;
                };
                let (bytes, whole) = self.take(size);
                message.body.extend(bytes);
                if !whole || self.line().is_none() {
                    return;
                }
                if size == 0 {
                    message.whole = true;
                    return;
                }
            }
        }
        if let Some(length) = message.header("content-length") {
            let length = length.parse().unwrap_or(0);
            let (bytes, whole) = self.take(length);
            message.body = bytes;
            message.whole = whole;
            return;
        }
        if !is_answer {
            message.whole = true;
            return;
        }
        loop {
            match self.fill() {
                Some(true) => {}
                end => {
                    message.body = std::mem::take(&mut self.rest);
                    message.whole = end == Some(false);
                    return;
                }
            }
        }
    }
}
