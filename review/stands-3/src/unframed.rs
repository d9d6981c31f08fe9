//! Runners whose answers carry no length crash while they answer. A client must not receive a part of an answer that looks
//! whole.

use crate::deployment::{Gateway, Runners};
use crate::http::exchange;
use crate::runner::parts;
use crate::store::Store;
use std::collections::HashMap;
use std::fmt::Write as _;
use std::fs;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The runners that answer with streams, and after them those that answer plain requests.
const STREAM_RUNNERS: usize = 4;
const PLAIN_RUNNERS: usize = 3;
/// After a gap of two seconds, four times the objective or eight times the pause, whichever is longest, a client gives a stream up.
const STREAM_PATIENCE: Duration = Duration::from_millis(5600);
/// How long a user waits after a request without success.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
const PLAIN_PATIENCE: Duration = Duration::from_millis(3000);

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-stream","host":"s.example","pathPrefix":"/stream/","type":"streaming","timeoutMs":12000,"targetLatencyMs":1400,"priority":1,"service":"svc","maxAttempts":1,"stages":[],"public":false,"sessionAffinity":false,"resumable":false,"gapAimMs":200},
{"name":"r-plain","host":"s.example","pathPrefix":"/plain/","type":"non_idempotent","timeoutMs":1500,"targetLatencyMs":300,"priority":1,"service":"notifier","maxAttempts":1,"stages":[],"public":false,"sessionAffinity":false,"resumable":false}],
"services":[{"name":"svc","healthCheckPath":"/health","maxConnections":370,"protocol":"h1","tls":false},{"name":"notifier","healthCheckPath":"/health","maxConnections":110,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"tenant-a","apiKeys":["9dnn2ctnfzs989anu6ws"],"priority":1}]}"#;

/// The disruption.
#[derive(Copy, Clone, PartialEq, Eq)]
pub enum Trouble {
    /// One runner of four crashes, three times.
    Crash,
    /// All runners crash at the same moment, twice.
    CrashAll,
    /// A gateway stands still, and meanwhile one runner of four crashes and starts again, twice.
    CrashWhileFrozen,
}

impl Trouble {
    /// The clients of streams and of plain requests. Where all runners crash, few answers end shortly before.
    const fn clients(self) -> (usize, usize) {
        match self {
            Self::Crash | Self::CrashWhileFrozen => (24, 12),
            Self::CrashAll => (8, 0),
        }
    }

    const fn rounds(self) -> usize {
        match self {
            Self::Crash => 3,
            Self::CrashAll | Self::CrashWhileFrozen => 2,
        }
    }
}

#[derive(Default)]
struct Record {
    lines: Vec<String>,
    whole: usize,
    failed: usize,
    broken: usize,
    /// Broken too, but by another fault than the one that is shown.
    others: usize,
}

struct Clients {
    addresses: Vec<String>,
    next: AtomicU64,
    stopped: AtomicBool,
    record: Mutex<Record>,
    started: Instant,
    /// Judges only the answers of gateways that have stood still.
    only_frozen: bool,
    frozen: Mutex<Vec<String>>,
    /// The requests without an answer, with the gateway of each.
    waiting: Mutex<HashMap<String, String>>,
}

impl Clients {
    /// Whether a gateway stands still, or has until now.
    fn is_frozen(&self, address: &str) -> bool {
        self.frozen
            .lock()
            .expect("poisoned")
            .iter()
            .any(|frozen| frozen == address)
    }

    fn note(&self, line: &str) {
        let line = format!("{:8.3} {line}", self.started.elapsed().as_secs_f64());
        self.record.lock().expect("poisoned").lines.push(line);
    }

    /// Sends requests one after the other until the clients are stopped.
    fn run(&self, path: &str, patience: Duration, deadline_ms: u32, pause: Duration) {
        while !self.stopped.load(Ordering::Relaxed) {
            let number = self.next.fetch_add(1, Ordering::Relaxed);
            let id = format!("{:08x}{number:08x}", std::process::id());
            // One of the addresses at random, as far as the request tells.
            let choice = number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40;
            let address = &self.addresses[choice as usize % self.addresses.len()];
            let request = format!(
                "POST {path}{number} HTTP/1.1\r\nHost: s.example\r\nBarleyspool-Attempt-Id: {id}\r\nBarleyspool-Deadline-Ms: {deadline_ms}\r\nBarleyspool-Key: 9dnn2ctnfzs989anu6ws\r\nContent-Length: 5\r\n\r\nhello"
            );
            let waiting = |waits| {
                let mut waiting = self.waiting.lock().expect("poisoned");
                if waits {
                    waiting.insert(id.clone(), address.clone());
                } else {
                    waiting.remove(&id);
                }
            };
            waiting(true);
            let seen = exchange(address, request.as_bytes(), patience);
            waiting(false);
            let Ok(seen) = seen else {
                self.record.lock().expect("poisoned").failed += 1;
                self.note(&format!("sent {path}{number} id {id} to {address}: no answer"));
                thread::sleep(RETRY_PAUSE);
                continue;
            };
            let whole = parts(path, &id).0.concat().into_bytes();
            let success = (200..300).contains(&seen.status) && seen.complete;
            let verdict = match (success, seen.body == whole && seen.sealed) {
                (true, true) => "whole",
                (true, false) => "MIXED: a success that looks complete and is not the runner's whole body",
                (false, _) => "failed or cut",
            };
            let mut line = format!(
                "sent {path}{number} id {id} to {address}: status {}, complete {}, {} of {} bytes, {} ms: {verdict}",
                seen.status,
                seen.complete,
                seen.body.len(),
                whole.len(),
                seen.took.as_millis()
            );
            if verdict.starts_with("MIXED") {
                let _ = write!(line, "; body: {:?}", String::from_utf8_lossy(&seen.body));
            }
            self.note(&line);
            let mut record = self.record.lock().expect("poisoned");
            match (success, verdict == "whole") {
                (true, true) => record.whole += 1,
                (true, false) if self.only_frozen && !self.is_frozen(address) => record.others += 1,
                (true, false) => record.broken += 1,
                (false, _) => record.failed += 1,
            }
            drop(record);
            if !success {
                thread::sleep(RETRY_PAUSE);
            }
            // The phases of the clients differ, as those of users do.
            thread::sleep(pause + Duration::from_millis(choice % 211));
        }
    }
}

/// Runs the case; returns its exit code.
pub fn drive(
    trouble: Trouble,
    repository: &Path,
    work: &Path,
    record_path: &Path,
    with_trouble: bool,
) -> i32 {
    let (store, source) = Store::start(&crate::deployment::ip(99));
    store.put("op/config", &CONFIG.replace('\n', ""));
    let runners = Runners::start(
        &store,
        work,
        &[("svc", STREAM_RUNNERS), ("notifier", PLAIN_RUNNERS)],
    );
    let mut gateways = Gateway::start_all(repository, work, &source, 2);
    let ready = gateways.iter().all(Gateway::wait_until_ready);
    let clients = Arc::new(Clients {
        addresses: gateways.iter().map(|gateway| gateway.callers.clone()).collect(),
        next: AtomicU64::new(1),
        stopped: AtomicBool::new(!ready),
        record: Mutex::default(),
        started: Instant::now(),
        only_frozen: trouble == Trouble::CrashWhileFrozen,
        frozen: Mutex::default(),
        waiting: Mutex::default(),
    });
    // The gateways find each other.
    thread::sleep(Duration::from_secs(2));
    let mut threads = Vec::new();
    let (streams, plain) = trouble.clients();
    for number in 0..streams + plain {
        let clients = Arc::clone(&clients);
        // The users don't come at the same moment.
        thread::sleep(Duration::from_millis(47));
        threads.push(thread::spawn(move || {
            if number < streams {
                clients.run("/stream/", STREAM_PATIENCE, 12_000, Duration::from_millis(20));
            } else {
                clients.run("/plain/", PLAIN_PATIENCE, 3_000, Duration::from_millis(100));
            }
        }));
    }
    if ready {
        thread::sleep(Duration::from_secs(3));
        for round in 0..trouble.rounds() {
            play(trouble, round, &runners, &gateways, &clients, with_trouble);
        }
    }
    clients.stopped.store(true, Ordering::Relaxed);
    threads.into_iter().for_each(|thread| drop(thread.join()));
    gateways.iter_mut().for_each(Gateway::stop);
    runners.stop();
    let record = clients.record.lock().expect("poisoned");
    let mut text = record.lines.join("\n");
    let _ = write!(
        text,
        "\n\n{} whole answers, {} failed or cut, {} that look complete and are not (MIXED), {} more at gateways that did not stand still\n",
        record.whole, record.failed, record.broken, record.others
    );
    fs::write(record_path, text).expect("cannot write the record");
    println!(
        "{} whole, {} failed or cut, {} MIXED",
        record.whole, record.failed, record.broken
    );
    match (ready && record.whole > 50, record.broken) {
        (false, _) => 2,
        (true, 0) => 0,
        (true, _) => 1,
    }
}

fn play(
    trouble: Trouble,
    round: usize,
    runners: &Runners,
    gateways: &[Gateway],
    clients: &Clients,
    with_trouble: bool,
) {
    if !with_trouble {
        thread::sleep(Duration::from_secs(7));
        return;
    }
    let frozen = (trouble == Trouble::CrashWhileFrozen).then(|| &gateways[round % gateways.len()]);
    let waiting = clients.waiting.lock().expect("poisoned").clone();
    let of_gateway = |address: &String| frozen.is_none_or(|gateway| gateway.callers == *address);
    let waiting: Vec<String> = waiting
        .into_iter()
        .filter(|(_, address)| of_gateway(address))
        .map(|(id, _)| id)
        .collect();
    let numbers: Vec<usize> = match trouble {
        Trouble::CrashAll => (0..STREAM_RUNNERS + PLAIN_RUNNERS).collect(),
        Trouble::Crash | Trouble::CrashWhileFrozen => vec![runners.busiest(STREAM_RUNNERS, &waiting)],
    };
    let mut down = Duration::from_millis(4500);
    if let Some(gateway) = frozen {
        gateway.freeze();
        clients
            .frozen
            .lock()
            .expect("poisoned")
            .push(gateway.callers.clone());
        clients.note(&format!("TROUBLE: gateway {} stands still", gateway.callers));
        thread::sleep(Duration::from_millis(300));
        down = Duration::from_millis(2000);
    }
    let killed = runners.kill(&numbers);
    clients.note(&format!("TROUBLE: runners {killed} crash"));
    thread::sleep(down);
    numbers.iter().for_each(|number| runners.start_one(*number));
    clients.note("the runners start again");
    if let Some(gateway) = frozen {
        thread::sleep(Duration::from_millis(1000));
        gateway.wake();
        clients.note(&format!("gateway {} wakes", gateway.callers));
    }
    thread::sleep(Duration::from_millis(1000));
    // What began after that is not held up by it.
    clients.frozen.lock().expect("poisoned").clear();
    thread::sleep(Duration::from_millis(4000));
}
