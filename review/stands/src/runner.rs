//! A stand-in for a runner, one process each, so that it can be killed or stopped alone.

use crate::http::{self, Head};
use crate::record::Log;
use std::collections::HashMap;
use std::fs;
use std::io::{self, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// `slots` and `queue` of the stages in the configurations.
const STAGE_SLOTS: u64 = 1;
const STAGE_QUEUE: u64 = 2;
/// `handleS` of the configurations.
const HANDLE_TTL: Duration = Duration::from_secs(4);

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
    /// A file with a number. The first answer to a stage call after the number changes is sent a second time, late: in the place of
    /// the next answer on its connection. Empty for none.
    pub repeat_flag: String,
    /// With a number N, the runner repeats an answer if the sum of N times three and this is below three, modulo nine.
    pub repeat_slot: u64,
    /// Time of a stage call and of each of its pieces, in milliseconds.
    pub call_ms: u64,
    pub item_ms: u64,
}

impl Options {
    pub fn parse(arguments: &[String]) -> Self {
        let field = |name: &str| {
            let pairs = arguments.iter().filter_map(|text| text.split_once('='));
            pairs
                .into_iter()
                .find(|(key, _)| *key == name)
                .map_or("", |(_, value)| value)
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
            repeat_flag: field("repeat_flag").to_owned(),
            repeat_slot: number("repeat_slot"),
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
            format!("repeat_flag={}", self.repeat_flag),
            format!("repeat_slot={}", self.repeat_slot),
            format!("call_ms={}", self.call_ms),
            format!("item_ms={}", self.item_ms),
        ]
    }
}

/// The quoted texts of a JSON array of strings.
fn quoted(text: &str) -> impl Iterator<Item = &str> {
    text.split('"').skip(1).step_by(2)
}

struct Runner {
    options: Options,
    log: Log,
    /// The slot of a stage runner, which works on one call at a time.
    slot: Mutex<()>,
    /// The number of calls that wait or are at work.
    calls: AtomicU64,
    next_handle: AtomicU64,
    streams: AtomicU64,
    /// The results that this runner holds, and until when.
    results: Mutex<HashMap<String, Instant>>,
    /// The number for which an answer to a stage call was sent twice last.
    repeated: AtomicU64,
}

pub fn run(options: Options) -> io::Result<()> {
    let listener = TcpListener::bind(&options.address)?;
    let log = Log::open(&options.log)?;
    let runner = Arc::new(Runner {
        options,
        log,
        slot: Mutex::default(),
        calls: AtomicU64::new(0),
        next_handle: AtomicU64::new(1),
        streams: AtomicU64::new(0),
        results: Mutex::default(),
        repeated: AtomicU64::new(0),
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
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        // An answer that is to be sent again in the place of the next one.
        let mut late = None;
        while let Ok(Some(head)) = http::read_head(&mut reader) {
            if let Some(bytes) = late.take() {
                let bytes: Vec<u8> = bytes;
                self.log
                    .write(&format!("runner {} sends its last answer again", self.options.id));
                let _ = writer.write_all(&bytes);
            }
            if head.header("barleyspool-attempt-id").is_some() {
                self.note(&head, "arrives");
            }
            let Ok(body) = http::read_body(&mut reader, &head) else {
                return;
            };
            if head.path() == "/stage-run" && self.is_expected(&head) {
                let is_full = self.calls.fetch_add(1, Ordering::SeqCst) >= STAGE_SLOTS + STAGE_QUEUE;
                if is_full {
                    self.calls.fetch_sub(1, Ordering::SeqCst);
                    let load = self.stage_load();
                    let headers = [
                        ("Barleyspool-Not-Executed", "1"),
                        ("Barleyspool-Server-Load", load.as_str()),
                    ];
                    if http::answer(&mut writer, "503 Service Unavailable", &headers, b"").is_err() {
                        return;
                    }
                    continue;
                }
                let answer = self.run_stage(&body);
                if writer.write_all(&answer).is_err() {
                    return;
                }
                let number = fs::read_to_string(&self.options.repeat_flag)
                    .unwrap_or_default()
                    .parse()
                    .unwrap_or(0);
                let is_new = self.repeated.swap(number, Ordering::SeqCst) != number;
                if is_new && (self.options.repeat_slot + 3 * number) % 9 < 3 {
                    late = Some(answer);
                }
                continue;
            }
            if self.answer(&mut writer, &head, &body).is_err() {
                return;
            }
        }
    }

    fn is_expected(&self, head: &Head) -> bool {
        let expected = head.header("barleyspool-expect-instance");
        expected.is_none_or(|expected| expected == self.options.id)
    }

    /// The calls at work, those that wait, and the slots.
    fn stage_load(&self) -> String {
        let calls = self.calls.load(Ordering::SeqCst);
        let running = calls.min(STAGE_SLOTS);
        format!("{running},{},{STAGE_SLOTS}", calls - running)
    }

    fn note(&self, head: &Head, what: &str) {
        let attempt = head.header("barleyspool-attempt-id").unwrap_or("-");
        let after = head.header("last-event-id").unwrap_or("-");
        let left = head.header("barleyspool-deadline-ms").unwrap_or("-");
        self.log.write(&format!(
            "runner {} {what} {attempt} after={after} left_ms={left}",
            self.options.id
        ));
    }

    fn answer(&self, writer: &mut TcpStream, head: &Head, body: &[u8]) -> io::Result<()> {
        let options = &self.options;
        if !self.is_expected(head) {
            let headers = [("Barleyspool-Instance-Id", options.id.as_str())];
            return http::answer(writer, "421 Misdirected Request", &headers, b"");
        }
        match (head.method(), head.path()) {
            ("GET", "/health") => {
                let headers = [("Barleyspool-Instance-Id", options.id.as_str())];
                http::answer(writer, "200 OK", &headers, b"")
            }
            ("GET", "/report") => http::answer(writer, "200 OK", &[], b"{}"),
            ("POST", "/stage-free") => {
                for handle in quoted(&String::from_utf8_lossy(body)).filter(|text| text.contains('/')) {
                    self.log.write(&format!("runner {} frees {handle}", options.id));
                    self.results.lock().unwrap().remove(handle);
                }
                http::answer(writer, "200 OK", &[], b"")
            }
            ("GET", path) if path.starts_with("/stage-fetch?") => {
                let results = self.results.lock().unwrap();
                let held = results
                    .get(&path["/stage-fetch?".len()..])
                    .is_some_and(|until| *until > Instant::now());
                drop(results);
                http::answer(writer, if held { "200 OK" } else { "404 Not Found" }, &[], b"")
            }
            _ if options.kind == "stream" => self.stream(writer, head),
            _ => self.work(writer, head),
        }
    }

    /// Computes the pieces of a call, and returns the bytes of the answer.
    fn run_stage(&self, body: &[u8]) -> Vec<u8> {
        let text = String::from_utf8_lossy(body);
        let items: Vec<&str> = text.split("{\"id\":\"").skip(1).collect();
        let slot = self.slot.lock().unwrap();
        let is_whole: Vec<bool> = items.iter().map(|item| self.fetch_inputs(item)).collect();
        sleep(Duration::from_millis(
            self.options.call_ms + items.len() as u64 * self.options.item_ms,
        ));
        drop(slot);
        self.calls.fetch_sub(1, Ordering::SeqCst);
        let outcome = |(item, whole): (&&str, &bool)| {
            if !whole {
                return "{\"reason\":\"gone\"}".to_owned();
            }
            let number = self.next_handle.fetch_add(1, Ordering::Relaxed);
            let handle = format!("{}/{}x{number}", self.options.address, self.options.id);
            let id = item.split('"').next().unwrap_or("-");
            self.log
                .write(&format!("runner {} makes {handle} of {id}", self.options.id));
            self.results
                .lock()
                .unwrap()
                .insert(handle.clone(), Instant::now() + HANDLE_TTL);
            format!("{{\"handle\":\"{handle}\"}}")
        };
        let outcomes: Vec<String> = items.iter().zip(&is_whole).map(outcome).collect();
        let body = format!("{{\"items\":[{}]}}", outcomes.join(","));
        let load = self.stage_load();
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nBarleyspool-Server-Load: {load}\r\nContent-Length: {}",
            body.len()
        );
        format!("{head}\r\n\r\n{body}").into_bytes()
    }

    /// Fetches the inputs of a piece from their makers; returns whether all were there.
    fn fetch_inputs(&self, item: &str) -> bool {
        let id = item.split('"').next().unwrap_or("-");
        let inputs = item
            .split_once("\"inputs\":[")
            .map_or("", |(_, rest)| rest.split(']').next().unwrap_or(""));
        quoted(inputs).all(|handle| self.fetch(id, handle))
    }

    fn fetch(&self, id: &str, handle: &str) -> bool {
        let address = handle.split('/').next().unwrap_or("");
        let ask = || {
            let mut stream = TcpStream::connect(address).ok()?;
            let request = format!("GET /stage-fetch?{handle} HTTP/1.1\r\nHost: {address}\r\n\r\n");
            stream.write_all(request.as_bytes()).ok()?;
            Some(http::read_head(&mut BufReader::new(stream)).ok()??.status())
        };
        let held = ask() == Some(200);
        let what = if held { "fetches" } else { "finds gone" };
        self.log
            .write(&format!("runner {} {what} {handle} for {id}", self.options.id));
        held
    }

    fn stream(&self, writer: &mut TcpStream, head: &Head) -> io::Result<()> {
        let options = &self.options;
        let id = head.header("barleyspool-attempt-id").unwrap_or("-");
        let inputs = head.header("barleyspool-inputs").unwrap_or("");
        if !inputs
            .split(',')
            .filter(|handle| !handle.is_empty())
            .all(|handle| self.fetch(id, handle))
        {
            let headers = [("Barleyspool-Attempt-Id", id), ("Barleyspool-Not-Executed", "1")];
            return http::answer(writer, "409 Conflict", &headers, b"");
        }
        let after: u64 = head
            .header("last-event-id")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let number = self.streams.fetch_add(1, Ordering::Relaxed) + 1;
        let unframed = options.unframed_every > 0 && number.is_multiple_of(options.unframed_every);
        sleep(Duration::from_millis(options.first_ms));
        self.note(head, if unframed { "runs-without-length" } else { "runs" });
        let framing = if unframed {
            "Connection: close"
        } else {
            "Transfer-Encoding: chunked"
        };
        let attempt = head.header("barleyspool-attempt-id").unwrap_or("-");
        let mut text = format!(
            "HTTP/1.1 200 OK\r\n{framing}\r\nContent-Type: text/event-stream\r\n\
             Barleyspool-Attempt-Id: {attempt}\r\nBarleyspool-Response-Seal: {}\r\n\r\n",
            options.id
        );
        let deadline = head
            .header("barleyspool-deadline-ms")
            .and_then(|text| text.parse().ok());
        let until = Instant::now() + Duration::from_millis(deadline.unwrap_or(60_000));
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
            if Instant::now() > until {
                result = Err(io::ErrorKind::TimedOut.into());
                break;
            }
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
