//! Many users upload bodies of the permitted size at once. The platform stand-in kills a gateway that goes over its memory, and
//! starts it again.

use crate::deployment::{Gateway, Runners};
use crate::http::Reader;
use crate::store::Store;
use std::fmt::Write as _;
use std::fs;
use std::io::{self, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// `limits.memoryMb` of the settings, read as mebibytes, the larger unit.
const MEMORY_LIMIT: u64 = 260 << 20;
/// `maxBodyBytes` of the configuration.
const BODY_BYTES: usize = 4_194_304;
/// A client sends this much at a time, with this pause: about 1 MB/s, so that all clients of a gateway together stay below its
/// link of 1,000 Mbit/s.
const PART_BYTES: usize = 65_536;
const PART_PAUSE: Duration = Duration::from_millis(64);
/// The users of one gateway that upload at a time on an ordinary day.
const USUAL_USERS: usize = 40;
/// `x` and `for_s` of the burst.
const BURST: f64 = 2.4;
const BURST_LENGTH: Duration = Duration::from_millis(6600);
const BURSTS: usize = 3;
const QUIET: Duration = Duration::from_secs(6);
const GATEWAYS: usize = 2;

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-upload","host":"s.example","pathPrefix":"/upload/","type":"non_idempotent","timeoutMs":8000,"targetLatencyMs":6000,"priority":1,"service":"svc","maxAttempts":1,"stages":[],"public":false,"sessionAffinity":false,"resumable":false}],
"services":[{"name":"svc","healthCheckPath":"/health","maxConnections":370,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"tenant-a","apiKeys":["9dnn2ctnfzs989anu6ws"],"priority":1}]}"#;

struct Users {
    next: AtomicU64,
    stopped: AtomicBool,
    lines: Mutex<Vec<String>>,
    served: AtomicU64,
    refused: AtomicU64,
    lost: AtomicU64,
    started: Instant,
}

impl Users {
    fn note(&self, line: &str) {
        let line = format!("{:8.3} {line}", self.started.elapsed().as_secs_f64());
        self.lines.lock().expect("poisoned").push(line);
    }

    /// One user: uploads one body after the other until the time is over.
    fn run(&self, address: &str, until: Option<Instant>) {
        while !self.stopped.load(Ordering::Relaxed) && until.is_none_or(|until| Instant::now() < until) {
            let number = self.next.fetch_add(1, Ordering::Relaxed);
            let id = format!("{:08x}{number:08x}", std::process::id());
            let (outcome, counter, pause) = match upload(address, &id, number) {
                Ok(200) => ("200".to_owned(), &self.served, 200),
                Ok(503) => ("503, refused".to_owned(), &self.refused, 1000),
                Ok(status) => (format!("{status}"), &self.refused, 1000),
                Err(error) => (format!("no answer: {error}"), &self.lost, 1000),
            };
            counter.fetch_add(1, Ordering::Relaxed);
            self.note(&format!("upload {number} id {id} to {address}: {outcome}"));
            thread::sleep(Duration::from_millis(pause + number * 7919 % 211));
        }
    }
}

fn upload(address: &str, id: &str, number: u64) -> io::Result<u16> {
    let address = address.parse().map_err(io::Error::other)?;
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(8)))?;
    stream.set_write_timeout(Some(Duration::from_secs(8)))?;
    let head = format!(
        "POST /upload/{number} HTTP/1.1\r\nHost: s.example\r\nBarleyspool-Attempt-Id: {id}\r\nBarleyspool-Deadline-Ms: 8000\r\nBarleyspool-Key: 9dnn2ctnfzs989anu6ws\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    let part = [b'u'; PART_BYTES];
    for _ in 0..BODY_BYTES / PART_BYTES {
        stream.write_all(&part)?;
        thread::sleep(PART_PAUSE);
    }
    let mut reader = Reader::new(stream);
    let head = reader.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let (_, complete) = reader.answer_body(&head);
    if complete {
        Ok(head.status())
    } else {
        Err(io::ErrorKind::UnexpectedEof.into())
    }
}

/// The memory of a process that is its own, in bytes.
fn memory(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    let kib = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok());
    kib.unwrap_or(0) << 10
}

/// Runs the case; returns its exit code.
pub fn drive(repository: &Path, work: &Path, record_path: &Path, with_trouble: bool) -> i32 {
    let (store, source) = Store::start(&crate::deployment::ip(99));
    store.put("op/config", &CONFIG.replace('\n', ""));
    let runners = Runners::start(&store, work, &[("svc", 4)]);
    let gateways = Gateway::start_all(repository, work, &source, GATEWAYS as u32);
    let ready = gateways.iter().all(Gateway::wait_until_ready);
    let addresses: Vec<String> = gateways.iter().map(|gateway| gateway.callers.clone()).collect();
    let users = Arc::new(Users {
        next: AtomicU64::new(1),
        stopped: AtomicBool::new(!ready),
        lines: Mutex::default(),
        served: AtomicU64::new(0),
        refused: AtomicU64::new(0),
        lost: AtomicU64::new(0),
        started: Instant::now(),
    });
    thread::sleep(Duration::from_secs(2));
    let platforms: Vec<_> = gateways
        .into_iter()
        .map(|gateway| {
            let users = Arc::clone(&users);
            thread::spawn(move || watch(gateway, &users))
        })
        .collect();
    let mut threads = Vec::new();
    let mut start_users = |count: usize, until: Option<Instant>| {
        for address in &addresses {
            for _ in 0..count {
                let (users, address) = (Arc::clone(&users), address.clone());
                threads.push(thread::spawn(move || users.run(&address, until)));
                if until.is_none() {
                    thread::sleep(Duration::from_millis(40));
                }
            }
        }
    };
    if ready {
        start_users(USUAL_USERS, None);
        for _ in 0..BURSTS {
            thread::sleep(QUIET);
            if with_trouble {
                users.note("TROUBLE: many users come at once");
                let more = (USUAL_USERS as f64 * (BURST - 1.0)) as usize;
                start_users(more, Some(Instant::now() + BURST_LENGTH));
            }
            thread::sleep(BURST_LENGTH);
        }
        thread::sleep(Duration::from_secs(2));
    }
    users.stopped.store(true, Ordering::Relaxed);
    threads.into_iter().for_each(|thread| drop(thread.join()));
    let ends: Vec<(usize, u64)> = platforms
        .into_iter()
        .filter_map(|platform| platform.join().ok())
        .collect();
    runners.stop();
    let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    let mut text = users.lines.lock().expect("poisoned").join("\n");
    let summary = format!(
        "{} served, {} refused or failed, {} without an answer; ends of each gateway over its memory, and the most that it used in MiB: {}",
        count(&users.served),
        count(&users.refused),
        count(&users.lost),
        ends.iter()
            .map(|(ends, most)| format!("{ends} ({})", most >> 20))
            .collect::<Vec<_>>()
            .join(", ")
    );
    let _ = write!(text, "\n\n{summary}\n");
    fs::write(record_path, text).expect("cannot write the record");
    println!("{summary}");
    let over = ends.iter().filter(|(ends, _)| *ends >= 3).count();
    match (ready && count(&users.served) > 50, over) {
        (false, _) => 2,
        (true, over) if over >= 2 => 1,
        (true, _) => 0,
    }
}

/// Watches the memory of a gateway as the platform does, until the users stop. Returns how often it was over its memory, and the
/// most that it used.
fn watch(mut gateway: Gateway, users: &Users) -> (usize, u64) {
    let (mut ends, mut most) = (0, 0);
    while !users.stopped.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(20));
        let used = memory(gateway.pid());
        most = most.max(used);
        let ended = !gateway.is_running();
        if used > MEMORY_LIMIT || ended {
            ends += 1;
            users.note(&format!(
                "PLATFORM: gateway {} uses {} MiB of {}{}; it is killed and starts again",
                gateway.callers,
                used >> 20,
                MEMORY_LIMIT >> 20,
                if ended { " and has ended" } else { "" }
            ));
            gateway.kill_and_start();
        }
    }
    gateway.stop();
    (ends, most)
}
