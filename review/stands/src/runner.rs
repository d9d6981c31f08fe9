//! A stand-in for a runner, one process each, so that it can be killed or stopped alone.

use crate::http::{self, Head};
use crate::record::Log;
use std::io::{self, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::Duration;

/// What a runner does, from its command line.
#[derive(Clone, Default)]
pub struct Options {
    pub kind: String,
    pub id: String,
    pub address: String,
    pub log: String,
    /// Time until the first event or the answer, in milliseconds.
    pub first_ms: u64,
    /// Time between events, in milliseconds.
    pub gap_ms: u64,
    /// Number of events of a stream.
    pub events: u64,
    /// Every answer of this number carries no length and ends with its connection; 0 for none.
    pub unframed_every: u64,
    /// Time of a stage call and of each of its pieces, in milliseconds.
    pub call_ms: u64,
    pub item_ms: u64,
}

impl Options {
    pub fn parse(arguments: &[String]) -> Self {
        let field = |name: &str| {
            let pairs = arguments.iter().filter_map(|text| text.split_once('='));
            pairs.into_iter().find(|(key, _)| *key == name).map_or("", |(_, value)| value)
        };
        let number = |name: &str| field(name).parse().unwrap_or(0);
        Self {
            kind: field("kind").to_owned(),
            id: field("id").to_owned(),
            address: field("address").to_owned(),
            log: field("log").to_owned(),
            first_ms: number("first_ms"),
            gap_ms: number("gap_ms"),
            events: number("events"),
            unframed_every: number("unframed_every"),
            call_ms: number("call_ms"),
            item_ms: number("item_ms"),
        }
    }

    pub fn arguments(&self) -> Vec<String> {
        vec![
            format!("kind={}", self.kind),
            format!("id={}", self.id),
            format!("address={}", self.address),
            format!("log={}", self.log),
            format!("first_ms={}", self.first_ms),
            format!("gap_ms={}", self.gap_ms),
            format!("events={}", self.events),
            format!("unframed_every={}", self.unframed_every),
            format!("call_ms={}", self.call_ms),
            format!("item_ms={}", self.item_ms),
        ]
    }
}

struct Runner {
    options: Options,
    log: Log,
    /// The slot of a stage runner, which works on one call at a time.
    slot: Mutex<()>,
    next_handle: AtomicU64,
    streams: AtomicU64,
}

pub fn run(options: Options) -> io::Result<()> {
    let listener = TcpListener::bind(&options.address)?;
    let log = Log::open(&options.log)?;
    let runner = Arc::new(Runner {
        options,
        log,
        slot: Mutex::default(),
        next_handle: AtomicU64::new(1),
        streams: AtomicU64::new(0),
    });
    for stream in listener.incoming().flatten() {
        let runner = Arc::clone(&runner);
        thread::spawn(move || runner.serve(stream));
    }
    Ok(())
}

impl Runner {
    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = http::read_head(&mut reader) {
            if head.header("barleyspool-attempt-id").is_some() {
                self.note(&head, "arrives");
            }
            let Ok(body) = http::read_body(&mut reader, &head) else { return };
            if self.answer(&mut writer, &head, &body).is_err() {
                return;
            }
        }
    }

    fn note(&self, head: &Head, what: &str) {
        let attempt = head.header("barleyspool-attempt-id").unwrap_or("-");
        let after = head.header("last-event-id").unwrap_or("-");
        let left = head.header("barleyspool-deadline-ms").unwrap_or("-");
        self.log
            .write(&format!("runner {} {what} {attempt} after={after} left_ms={left}", self.options.id));
    }

    fn answer(&self, writer: &mut TcpStream, head: &Head, body: &[u8]) -> io::Result<()> {
        let options = &self.options;
        let expected = head.header("barleyspool-expect-instance");
        if expected.is_some_and(|expected| expected != options.id) {
            let headers = [("Barleyspool-Instance-Id", options.id.as_str())];
            return http::answer(writer, "421 Misdirected Request", &headers, b"");
        }
        match (head.method(), head.path()) {
            ("GET", "/health") => {
                let headers = [("Barleyspool-Instance-Id", options.id.as_str())];
                http::answer(writer, "200 OK", &headers, b"")
            }
            ("GET", "/report") => http::answer(writer, "200 OK", &[], b"{}"),
            ("POST", "/stage-run") => self.run_stage(writer, body),
            ("POST", "/stage-free") => http::answer(writer, "200 OK", &[], b""),
            _ if options.kind == "stream" => self.stream(writer, head),
            _ => self.work(writer, head),
        }
    }

    fn run_stage(&self, writer: &mut TcpStream, body: &[u8]) -> io::Result<()> {
        let text = String::from_utf8_lossy(body);
        let items = text.matches("\"piece\":").count() as u64;
        let slot = self.slot.lock().unwrap();
        sleep(Duration::from_millis(self.options.call_ms + items * self.options.item_ms));
        drop(slot);
        let handles = (0..items).map(|_| {
            let number = self.next_handle.fetch_add(1, Ordering::Relaxed);
            format!("{{\"handle\":\"{}/{}{number:x}\"}}", self.options.address, self.options.id)
        });
        let handles: Vec<String> = handles.collect();
        let answer = format!("{{\"items\":[{}]}}", handles.join(","));
        let json = ("Content-Type", "application/json");
        http::answer(writer, "200 OK", &[json], answer.as_bytes())
    }

    fn stream(&self, writer: &mut TcpStream, head: &Head) -> io::Result<()> {
        let options = &self.options;
        let after: u64 = head.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        let number = self.streams.fetch_add(1, Ordering::Relaxed) + 1;
        let unframed = options.unframed_every > 0 && number.is_multiple_of(options.unframed_every);
        sleep(Duration::from_millis(options.first_ms));
        self.note(head, if unframed { "runs-without-length" } else { "runs" });
        let framing = if unframed { "Connection: close" } else { "Transfer-Encoding: chunked" };
        let attempt = head.header("barleyspool-attempt-id").unwrap_or("-");
        let mut text = format!(
            "HTTP/1.1 200 OK\r\n{framing}\r\nContent-Type: text/event-stream\r\n\
             Barleyspool-Attempt-Id: {attempt}\r\nBarleyspool-Response-Seal: {}\r\n\r\n",
            options.id
        );
        let mut result = Ok(());
        for number in after + 1..=options.events {
            let event = format!("id: {number}\ndata: from {}\n\n", options.id);
            if unframed {
                text.push_str(&event);
            } else {
                text.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
            }
            result = writer.write_all(text.as_bytes());
            text.clear();
            if result.is_err() {
                break;
            }
            sleep(Duration::from_millis(options.gap_ms));
        }
        self.note(head, if result.is_ok() { "ends" } else { "drops" });
        result?;
        if unframed {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        text.push_str("0\r\n\r\n");
        writer.write_all(text.as_bytes())
    }

    fn work(&self, writer: &mut TcpStream, head: &Head) -> io::Result<()> {
        self.note(head, "runs");
        sleep(Duration::from_millis(self.options.first_ms));
        let attempt = head.header("barleyspool-attempt-id").unwrap_or("-");
        let headers = [
            ("Barleyspool-Attempt-Id", attempt),
            ("Barleyspool-Response-Seal", self.options.id.as_str()),
        ];
        let result = http::answer(writer, "200 OK", &headers, b"done");
        self.note(head, if result.is_ok() { "ends" } else { "drops" });
        result
    }
}
