//! The part of HTTP/1.1 that the stand-ins need.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

pub struct Head {
    /// Request line or status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.line
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }

    pub fn length(&self) -> Option<usize> {
        self.header("content-length")?.parse().ok()
    }

    pub fn is_chunked(&self) -> bool {
        self.header("transfer-encoding")
            .is_some_and(|value| value.contains("chunked"))
    }
}

/// Reads a request or answer head; `None` if the connection ends before one starts.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut text = String::new();
        if reader.read_line(&mut text)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = text.trim_end();
        if text.is_empty() {
            break;
        }
        if let Some((key, value)) = text.split_once(':') {
            headers.push((key.trim().to_owned(), value.trim().to_owned()));
        }
    }
    Ok(Some(Head {
        line: line.trim_end().to_owned(),
        headers,
    }))
}

/// Reads a body with a length or in chunks.
pub fn read_body(reader: &mut BufReader<TcpStream>, head: &Head) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.is_chunked() {
        while let Some(chunk) = read_chunk(reader)? {
            body.extend_from_slice(&chunk);
        }
    } else if let Some(length) = head.length() {
        body.resize(length, 0);
        reader.read_exact(&mut body)?;
    }
    Ok(body)
}

/// Reads a chunk; `None` for the last one.
pub fn read_chunk(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut bytes = vec![0; size + 2];
    reader.read_exact(&mut bytes)?;
    bytes.truncate(size);
    Ok((size > 0).then_some(bytes))
}

/// Writes an answer with a length, on a connection that stays open.
pub fn answer(stream: &mut TcpStream, status: &str, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (key, value) in headers {
        text.push_str(&format!("{key}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}
