//! Starts gateways with the command of the deploy file and runners as processes of their own, and ends them all.

use crate::http::{Link, Message};
use crate::store::Store;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The record of a case: what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    begun: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            file: Arc::new(Mutex::new(file)),
            begun: Instant::now(),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.begun.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().expect("the lock"), "{at:8.3} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn tell(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// The processes that this run has started and not ended yet.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// A process that is killed when this is dropped.
pub struct Process(Child);

impl Process {
    pub fn new(child: Child) -> Self {
        STARTED.lock().expect("the lock").push(child.id());
        Self(child)
    }

    pub fn kill(&mut self) {
        STARTED.lock().expect("the lock").retain(|id| *id != self.0.id());
        let _ = self.0.kill();
        let _ = self.0.wait();
    }

    /// Sends the named signal.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("sh")
            .arg("-c")
            .arg(format!("kill -{name} {}", self.0.id()))
            .status();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// `heartbeatMs` of the sites.
pub const HEARTBEAT: Duration = Duration::from_millis(1200);

/// A runner.
pub struct Runner {
    pub id: String,
    pub address: String,
    pub process: Process,
    pub service: String,
    pub slots: u32,
    pub zone: String,
    /// The lines that it has printed, and when they came.
    pub runs: Arc<Mutex<Vec<(Instant, String)>>>,
    input: ChildStdin,
    beats: Arc<Mutex<Beats>>,
}

/// The writes of a runner to its entry.
#[derive(Default)]
struct Beats {
    state: String,
    sequence: u32,
    stopped: bool,
}

impl Drop for Runner {
    fn drop(&mut self) {
        self.stop_beats();
    }
}

impl Runner {
    /// Starts a runner of `service`, whose arguments are `options`, and lists it in the store.
    pub fn start(
        store: &Store,
        record: &Record,
        id: &str,
        service: &str,
        slots: u32,
        options: &[&str],
    ) -> Self {
        Self::start_as(store, record, "target", id, service, slots, options)
    }

    /// The same for a runner of this kind, which is the first word of the program's arguments.
    pub fn start_as(
        store: &Store,
        record: &Record,
        kind: &str,
        id: &str,
        service: &str,
        slots: u32,
        options: &[&str],
    ) -> Self {
        let program = std::env::current_exe().expect("the path of this program");
        let mut child = Command::new(program)
            .args([kind, id])
            .args(options)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the runner starts");
        let input = child.stdin.take().expect("its input");
        let mut lines = BufReader::new(child.stdout.take().expect("its output"));
        let mut address = String::new();
        lines.read_line(&mut address).expect("its address");
        let (record, name) = (record.clone(), id.to_owned());
        let runs = Arc::new(Mutex::new(Vec::new()));
        let noted = Arc::clone(&runs);
        std::thread::spawn(move || {
            for line in lines.lines().map_while(Result::ok) {
                record.line(&format!("runner {name}: {line}"));
                noted.lock().expect("the lock").push((Instant::now(), line));
            }
        });
        let runner = Self {
            id: id.to_owned(),
            address: address.trim().to_owned(),
            process: Process::new(child),
            service: service.to_owned(),
            slots,
            zone: "z".to_owned(),
            runs,
            input,
            beats: Arc::default(),
        };
        runner.list(store, "ready");
        runner.beat_often(store);
        runner
    }

    /// Writes its entry in this state.
    pub fn list(&self, store: &Store, state: &str) {
        let mut beats = self.beats.lock().expect("the lock");
        beats.sequence += 1;
        beats.state = state.to_owned();
        store.put(
            &format!("servers/{}", self.id),
            &self.entry(state, beats.sequence),
        );
    }

    /// Writes its entry every [`HEARTBEAT`] until it crashes or ends.
    fn beat_often(&self, store: &Store) {
        let (store, beats, key) = (
            store.clone(),
            Arc::clone(&self.beats),
            format!("servers/{}", self.id),
        );
        let (before, after) = self.entry_around();
        std::thread::spawn(move || loop {
            std::thread::sleep(HEARTBEAT);
            let mut beats = beats.lock().expect("the lock");
            if beats.stopped {
                return;
            }
            beats.sequence += 1;
            let entry = format!("{before}{}{after}{}}}", beats.state, beats.sequence);
            store.put_unchanged(&key, &entry);
        });
    }

    /// Ends its own heartbeats, and returns the number of its last write.
    pub fn stop_beats(&self) -> u32 {
        let mut beats = self.beats.lock().expect("the lock");
        beats.stopped = true;
        beats.sequence
    }

    /// Kills it.
    pub fn crash(&mut self) {
        self.stop_beats();
        self.process.kill();
    }

    /// Tells it whether some of its answers have no length from now on.
    pub fn set_unframed(&mut self, on: bool) {
        let _ = writeln!(self.input, "{}", if on { "on" } else { "off" });
    }

    /// Its entry in this state, as its write with this number.
    pub fn entry(&self, state: &str, sequence: u32) -> String {
        let (before, after) = self.entry_around();
        format!("{before}{state}{after}{sequence}}}")
    }

    /// Its entry before the state, and from there to the number of the write.
    fn entry_around(&self) -> (String, &'static str) {
        let before = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\"state\":\"",
            self.service, self.address, self.zone, self.slots
        );
        (before, "\",\"coldRemainingMs\":0,\"sequence\":")
    }
}

/// A gateway.
pub struct Gateway {
    pub ip: String,
    pub process: Process,
}

/// The ports of a gateway.
const PORTS: [u16; 7] = [8620, 8621, 8625, 8628, 7740, 7755, 7748];

/// The IP address of gateway `number` of this run, in the loopback range: the first on which all ports are free.
pub fn gateway_ip(number: u32) -> String {
    let pid = std::process::id();
    for attempt in 0..20 {
        let second = 20 + (pid / 250 + attempt * 7) % 200;
        let ip = format!("127.{second}.{}.{}", pid % 250, 1 + number);
        let is_free = |port: &u16| TcpListener::bind((ip.as_str(), *port)).is_ok();
        if PORTS.iter().all(is_free) && UdpSocket::bind((ip.as_str(), 7740)).is_ok() {
            return ip;
        }
    }
    unable("no loopback address with free ports");
}

impl Gateway {
    /// Starts a gateway with the settings that the template of the deploy file makes.
    pub fn start(folder: &Path, ip: &str, seeds: &[String], store: &Store) -> Self {
        let settings = folder.join(format!("{ip}.json"));
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}:8628\"")).collect();
        let text = format!(
            r#"{{"node": "frontend-{ip}", "zone": "z", "region": "r",
 "callers": "{ip}:8625", "ready": "{ip}:8621", "directory": "{ip}:8620", "members": "{ip}:7740", "pieces": "{ip}:7740",
 "peer_sends": "{ip}:8628", "relay": "{ip}:7755", "metrics": "{ip}:7748", "seeds": [{}], "source": "{}",
 "address_keep_ms": 2000, "stop_accept_ms": 2500, "stop_end_ms": 7200,
 "retry": {{ "ratio": 0.2, "fixed": 58, "window_s": 10 }}, "link_mbps": 1000, "body_memory_mb": 64, "answer_memory_mb": 48,
 "callers_resend_keys": false, "log": {{ "lines_per_s": 400, "good_lines_per_s": 300, "queue": 2048 }} }}"#,
            seeds.join(","),
            store.address
        );
        std::fs::write(&settings, text).expect("the settings can be written");
        let process = Self::spawn(folder, ip, &settings);
        Self {
            ip: ip.to_owned(),
            process,
        }
    }

    /// Starts the program as the deploy file does: from the root of the repository, without arguments.
    fn spawn(folder: &Path, ip: &str, settings: &Path) -> Process {
        let log = File::options()
            .create(true)
            .append(true)
            .open(folder.join(format!("{ip}.log")));
        let child = Command::new("target/release/barleyspool-gateway")
            .env("BARLEYSPOOL_NODE_FILE", settings)
            .stdout(log.expect("the log can be written"))
            .spawn()
            .unwrap_or_else(|error| unable(&format!("the gateway does not start: {error}")));
        Process::new(child)
    }

    pub fn callers(&self) -> SocketAddr {
        format!("{}:8625", self.ip).parse().expect("an address")
    }

    /// Waits until it says that it is ready.
    pub fn wait_until_ready(&self) {
        let address: SocketAddr = format!("{}:8621", self.ip).parse().expect("an address");
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            let request = "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
            if exchange(address, request, Duration::from_secs(1)).is_some_and(|answer| answer.status() == 200)
            {
                return;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        unable("the gateway does not become ready");
    }
}

/// Sends one request on a new connection; `None` when no head of an answer came.
pub fn exchange(address: SocketAddr, request: &str, wait: Duration) -> Option<Message> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    let _ = stream.set_read_timeout(Some(wait));
    let mut link = Link::new(stream);
    if !link.write(request.as_bytes()) {
        return None;
    }
    link.answer()
}

/// Sends one request on the kept connection, or on a new one if there is none; `None` when no head of an answer came. The
/// connection is kept after a whole answer that does not close it.
pub fn exchange_kept(
    address: SocketAddr,
    kept: &mut Option<Link>,
    request: &str,
    wait: Duration,
) -> Option<Message> {
    let mut link = match kept.take() {
        Some(link) => link,
        None => {
            let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
            let _ = stream.set_read_timeout(Some(wait));
            Link::new(stream)
        }
    };
    if !link.write(request.as_bytes()) {
        return None;
    }
    let answer = link.answer()?;
    let closes = answer
        .header("connection")
        .is_some_and(|value| value.eq_ignore_ascii_case("close"));
    if answer.whole && !closes {
        *kept = Some(link);
    }
    Some(answer)
}

/// Ends the case as one that could not run.
pub fn unable(cause: &str) -> ! {
    eprintln!("could not run: {cause}");
    let started = STARTED.lock().map(|ids| ids.clone()).unwrap_or_default();
    for id in started {
        let _ = Command::new("sh")
            .arg("-c")
            .arg(format!("kill -KILL {id}"))
            .status();
    }
    let _ = std::fs::remove_dir_all(folder_path());
    std::process::exit(2);
}

fn folder_path() -> PathBuf {
    std::env::temp_dir().join(format!("review-2-{}", std::process::id()))
}

/// A new folder for the files of this run.
pub fn folder() -> PathBuf {
    let path = folder_path();
    std::fs::create_dir_all(&path).unwrap_or_else(|error| unable(&format!("{}: {error}", path.display())));
    path
}
