//! Reads and writes HTTP/1.1 messages on blocking sockets.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// The head of a request or of an answer, with the body of a request.
pub struct Message {
    /// The request line or the status line.
    pub first_line: String,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body, as far as its length is known from the head.
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The path and query of a request.
    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// A socket with the bytes that were read from it and not used yet.
pub struct Reader {
    pub stream: TcpStream,
    bytes: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            bytes: Vec::new(),
        }
    }

    /// Reads more bytes; false at the end of the connection.
    fn fill(&mut self) -> io::Result<bool> {
        let mut buffer = [0; 65_536];
        let count = self.stream.read(&mut buffer)?;
        self.bytes.extend_from_slice(&buffer[..count]);
        Ok(count > 0)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(at) = self.bytes.windows(2).position(|two| two == b"\r\n") {
                let line = String::from_utf8_lossy(&self.bytes[..at]).into_owned();
                self.bytes.drain(..at + 2);
                return Ok(Some(line));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    fn exactly(&mut self, count: usize) -> io::Result<Option<Vec<u8>>> {
        while self.bytes.len() < count {
            if !self.fill()? {
                return Ok(None);
            }
        }
        Ok(Some(self.bytes.drain(..count).collect()))
    }

    /// Reads the head of a message; `None` if the connection ends before.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let Some(first_line) = self.line()? else {
            return Ok(None);
        };
        let mut headers = Vec::new();
        loop {
            let Some(line) = self.line()? else { return Ok(None) };
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
        Ok(Some(Message {
            first_line,
            headers,
            body: Vec::new(),
        }))
    }

    /// Reads a request with its body.
    pub fn request(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else {
            return Ok(None);
        };
        let length = message
            .header("content-length")
            .and_then(|length| length.parse().ok());
        let Some(body) = self.exactly(length.unwrap_or(0))? else {
            return Ok(None);
        };
        message.body = body;
        Ok(Some(message))
    }

    /// Reads the body of an answer by its framing. Returns what came of it, and whether it is complete by that framing.
    pub fn answer_body(&mut self, head: &Message) -> (Vec<u8>, bool) {
        let mut body = Vec::new();
        if head.header("transfer-encoding").is_none() {
            let length: usize = head
                .header("content-length")
                .and_then(|length| length.parse().ok())
                .unwrap_or(0);
            while self.bytes.len() < length {
                if !matches!(self.fill(), Ok(true)) {
                    return (std::mem::take(&mut self.bytes), false);
                }
            }
            return (self.bytes.drain(..length).collect(), true);
        }
        loop {
            let Ok(Some(size)) = self.line() else {
                return (body, false);
            };
            let Ok(size) = usize::from_str_radix(size.split(';').next().unwrap_or_default().trim(), 16)
            else {
                return (body, false);
            };
            match self.exactly(size + 2) {
                Ok(Some(chunk)) => body.extend_from_slice(&chunk[..size]),
                _ => return (body, false),
            }
            if size == 0 {
                return (body, true);
            }
        }
    }
}

/// What a client saw of one request.
pub struct Seen {
    pub status: u16,
    pub sealed: bool,
    pub body: Vec<u8>,
    /// Whether the answer is complete by its framing.
    pub complete: bool,
    pub took: Duration,
}

/// Sends a request on a new connection and reads the answer. `patience` is the longest silence that the client bears.
pub fn exchange(address: &str, request: &[u8], patience: Duration) -> io::Result<Seen> {
    let started = Instant::now();
    let address = address.parse().map_err(io::Error::other)?;
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(patience))?;
    stream.write_all(request)?;
    let mut reader = Reader::new(stream);
    let Some(head) = reader.head()? else {
        return Ok(Seen {
            status: 0,
            sealed: false,
            body: Vec::new(),
            complete: false,
            took: started.elapsed(),
        });
    };
    let (body, complete) = reader.answer_body(&head);
    Ok(Seen {
        status: head.status(),
        sealed: head.header("barleyspool-response-seal").is_some(),
        body,
        complete,
        took: started.elapsed(),
    })
}
