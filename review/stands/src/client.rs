//! Clients: streams that may be left, and kept connections that carry one request after the other.

use crate::http;
use crate::record::{Log, now_ms};
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

/// A streaming request, and how it ended.
pub struct Stream {
    pub id: String,
    /// The time, in milliseconds since 1970, at which its client leaves; 0 while it stays.
    pub leave_at: AtomicU64,
    /// The runner that the head of the answer names, once there is one.
    pub seal: std::sync::Mutex<String>,
    pub sent_ms: AtomicU64,
    /// The number of events received so far.
    pub events: AtomicU64,
    /// Whether the answer ended as a complete one.
    pub complete: AtomicBool,
    /// When the answer ended or the client closed the connection; 0 before that.
    pub end_ms: AtomicU64,
}

impl Stream {
    pub fn new(id: &str) -> Self {
        Self {
            id: id.to_owned(),
            leave_at: AtomicU64::new(0),
            seal: std::sync::Mutex::default(),
            sent_ms: AtomicU64::new(0),
            events: AtomicU64::new(0),
            complete: AtomicBool::new(false),
            end_ms: AtomicU64::new(0),
        }
    }

    /// Sends the request and reads its events. `gap_ms` is the pause after which the client gives up.
    pub fn run(&self, log: &Log, address: &str, request: &str, deadline_ms: u64, gap_ms: u64) {
        let how = self.read(log, address, request, deadline_ms, gap_ms);
        self.end_ms.store(now_ms(), Ordering::SeqCst);
        let events = self.events.load(Ordering::SeqCst);
        log.write(&format!("client {how} {}, with {events} events", self.id));
    }

    fn read(&self, log: &Log, address: &str, request: &str, deadline_ms: u64, gap_ms: u64) -> String {
        let Ok(mut stream) = TcpStream::connect(address) else {
            return "cannot connect".to_owned();
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(10)));
        log.write(&format!("client sends {} to {address}", self.id));
        let sent = now_ms();
        self.sent_ms.store(sent, Ordering::SeqCst);
        if stream.write_all(request.as_bytes()).is_err() {
            return "cannot send".to_owned();
        }
        let mut received = Vec::new();
        let mut heard = sent;
        let mut buffer = [0; 4096];
        loop {
            let now = now_ms();
            let leave_at = self.leave_at.load(Ordering::SeqCst);
            if leave_at > 0 && now >= leave_at {
                return "leaves".to_owned();
            }
            if now >= sent + deadline_ms {
                return "reaches its deadline with".to_owned();
            }
            if now >= heard + gap_ms {
                return "gives up after a pause".to_owned();
            }
            match stream.read(&mut buffer) {
                Ok(0) => return "sees the connection closed of".to_owned(),
                Ok(count) => {
                    heard = now_ms();
                    received.extend_from_slice(&buffer[..count]);
                    let text = String::from_utf8_lossy(&received);
                    if self.seal.lock().unwrap().is_empty()
                        && let Some(seal) = header(&text, "barleyspool-response-seal")
                    {
                        log.write(&format!("client gets the head of {} from {seal}", self.id));
                        *self.seal.lock().unwrap() = seal;
                    }
                    self.events
                        .store(text.matches("id: ").count() as u64, Ordering::SeqCst);
                    if text.ends_with("\r\n0\r\n\r\n") {
                        self.complete.store(true, Ordering::SeqCst);
                        return "gets the whole answer of".to_owned();
                    }
                    if !text.starts_with("HTTP/1.1 200") && text.contains("\r\n\r\n") {
                        return format!("gets {} for", text.lines().next().unwrap_or(""));
                    }
                }
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => return "sees a reset of".to_owned(),
            }
        }
    }
}

fn header(text: &str, name: &str) -> Option<String> {
    let head = text.split_once("\r\n\r\n")?.0;
    head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
    })
}

/// A kept connection. It carries one request at a time and is opened again when it ends.
#[derive(Default)]
pub struct Kept {
    connection: Option<(TcpStream, BufReader<TcpStream>)>,
    /// The number of requests that were answered on the connection.
    answered: u32,
}

/// How a request on a kept connection ended.
pub enum End {
    Status(u16),
    /// The connection ended without an answer; whether it had carried an answer before.
    NoAnswer {
        kept: bool,
    },
    NoConnection,
}

impl Kept {
    /// Sends a request, its body in `parts` with a pause after each, and reads its answer.
    pub fn send(&mut self, address: &str, head: &str, parts: &[&[u8]], pause: Duration) -> End {
        if self.connection.is_none() {
            self.answered = 0;
            let Ok(stream) = TcpStream::connect(address) else {
                return End::NoConnection;
            };
            let _ = stream.set_nodelay(true);
            let _ = stream.set_read_timeout(Some(Duration::from_secs(15)));
            let Ok(reader) = stream.try_clone() else {
                return End::NoConnection;
            };
            self.connection = Some((stream, BufReader::new(reader)));
        }
        let kept = self.answered > 0;
        let Some((stream, reader)) = &mut self.connection else {
            return End::NoConnection;
        };
        let mut sent = stream.write_all(head.as_bytes()).is_ok();
        for part in parts {
            sent = sent && stream.write_all(part).is_ok();
            std::thread::sleep(pause);
        }
        let answer = http::read_head(reader).ok().flatten();
        let body = answer
            .as_ref()
            .and_then(|head| http::read_body(reader, head).ok());
        let (Some(head), Some(_)) = (answer, body) else {
            self.connection = None;
            return End::NoAnswer { kept };
        };
        self.answered += 1;
        if !sent
            || head
                .header("connection")
                .is_some_and(|value| value.eq_ignore_ascii_case("close"))
        {
            self.connection = None;
        }
        End::Status(head.status())
    }
}
