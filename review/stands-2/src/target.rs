//! A runner in a process of its own, so that it can be killed like one.
//!
//! It prints its address, and then a line for each request on which it began to work: the id and the bytes of the whole answer.

use crate::http::Link;
use std::io::Write;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Whether a part of the answers has no length now, as the last line of the standard input says.
static UNFRAMED: AtomicBool = AtomicBool::new(false);

/// How a runner answers.
#[derive(Clone, Debug)]
pub struct Options {
    pub id: String,
    /// The time of work.
    pub work: Duration,
    /// How many of a hundred answers have neither a length nor chunks, and end with their connection.
    pub unframed: u64,
    /// The events of an answer, sent one after the other during the work; 0 for answers that are no streams.
    pub events: u32,
    /// Its port; 0 for a free one.
    pub port: u16,
}

/// The body of every answer: 800 bytes that begin with the id of the request.
pub fn body_of(id: &str) -> String {
    let mut body = format!("{id} ");
    while body.len() < 800 {
        body.push((b'a' + (body.len() % 26) as u8) as char);
    }
    body
}

/// The event with this number, from 1, in the stream that answers a request.
pub fn event_of(id: &str, number: u32) -> String {
    format!("id: {number}\ndata: {id} {number}\n\n")
}

pub fn run(options: Options) {
    let listener = TcpListener::bind(("127.0.0.1", options.port)).expect("the port is free");
    say(&listener.local_addr().expect("an address").to_string());
    let options = Arc::new(options);
    std::thread::spawn(|| {
        for line in std::io::stdin().lines().map_while(Result::ok) {
            UNFRAMED.store(line == "on", Ordering::Relaxed);
        }
    });
    for stream in listener.incoming().flatten() {
        let options = Arc::clone(&options);
        std::thread::spawn(move || serve(&options, Link::new(stream)));
    }
}

/// Whether a request is among `share` of a hundred, which depends on its id alone.
fn is_drawn(id: &str, share: u64) -> bool {
    let hash = id.bytes().fold(14_695_981_039_346_656_037u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(1_099_511_628_211)
    });
    (hash >> 20) % 100 < share
}

pub fn say(line: &str) {
    let mut output = std::io::stdout().lock();
    let _ = writeln!(output, "{line}");
    let _ = output.flush();
}

fn serve(options: &Options, mut link: Link) {
    while let Some(request) = link.request() {
        let id = request.header("barleyspool-attempt-id").unwrap_or("").to_owned();
        let expected = request.header("barleyspool-expect-instance");
        if expected.is_some_and(|expected| expected != options.id) {
            let head = format!(
                "HTTP/1.1 421 Misdirected Request\r\nBarleyspool-Attempt-Id: {id}\r\nBarleyspool-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            if !link.write(head.as_bytes()) {
                return;
            }
            continue;
        }
        if request.method() == "GET" && request.target().starts_with("/health") {
            let head = format!(
                "HTTP/1.1 200 OK\r\nBarleyspool-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                options.id
            );
            if !link.write(head.as_bytes()) {
                return;
            }
            continue;
        }
        if id.is_empty() {
            let head = "HTTP/1.1 400 Bad Request\r\nBarleyspool-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            if !link.write(head.as_bytes()) {
                return;
            }
            continue;
        }
        let body = body_of(&id);
        say(&format!("RUN {id}"));
        let unframed = UNFRAMED.load(Ordering::Relaxed) && is_drawn(&id, options.unframed);
        let framing = if unframed {
            "Connection: close\r\n".to_owned()
        } else if options.events > 0 {
            "Transfer-Encoding: chunked\r\n".to_owned()
        } else {
            format!("Content-Length: {}\r\n", body.len())
        };
        let kind = if options.events > 0 {
            "text/event-stream"
        } else {
            "text/plain"
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: {kind}\r\nBarleyspool-Attempt-Id: {id}\r\nBarleyspool-Response-Seal: {}.{id}\r\n{framing}\r\n",
            options.id
        );
        if !link.write(head.as_bytes()) || !send_body(options, &mut link, &id, &body, unframed) || unframed {
            return;
        }
    }
}

/// Sends the body of an answer, in two halves or event by event.
fn send_body(options: &Options, link: &mut Link, id: &str, body: &str, unframed: bool) -> bool {
    if options.events == 0 {
        let (first, rest) = body.split_at(body.len() / 2);
        if !link.write(first.as_bytes()) {
            return false;
        }
        std::thread::sleep(options.work);
        return link.write(rest.as_bytes());
    }
    for number in 1..=options.events {
        std::thread::sleep(options.work / options.events);
        let event = event_of(id, number);
        let part = if unframed {
            event
        } else {
            format!("{:x}\r\n{event}\r\n", event.len())
        };
        if !link.write(part.as_bytes()) {
            return false;
        }
    }
    unframed || link.write(b"0\r\n\r\n")
}
