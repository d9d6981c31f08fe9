//! A small deployment on loopback addresses: the store, gateways and runners, with their processes.

use crate::http;
use crate::record::{Log, now_ms};
use crate::runner::Options;
use crate::store::Store;
use std::fs::{self, File};
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// The file with the ids of the processes that were started, in the temporary folder. `run.sh` ends them if this program did not.
pub fn pid_file() -> PathBuf {
    std::env::temp_dir().join("pids")
}

fn record_pid(child: &Child) {
    if let Ok(mut file) = File::options().create(true).append(true).open(pid_file()) {
        let _ = writeln!(file, "{}", child.id());
    }
}

/// `limits.memoryMb` of a machine.
pub const MEMORY_MB: u64 = 260;
/// `heartbeatMs` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// An entry goes after this many heartbeats of silence.
const LAPSE_HEARTBEATS: u32 = 3;

pub struct Runner {
    pub id: String,
    child: Child,
    entry: Entry,
}

/// The entry of a runner in the store.
#[derive(Clone)]
struct Entry {
    key: String,
    service: String,
    address: String,
    slots: u32,
    state: &'static str,
    sequence: u64,
}

impl Entry {
    fn text(&self) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"mi-a\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{}\",\"coldRemainingMs\":0,\"sequence\":{}}}",
            self.service, self.address, self.slots, self.state, self.sequence
        )
    }
}

pub struct Gateway {
    pub ip: String,
    child: Child,
    settings: PathBuf,
}

impl Gateway {
    pub fn callers(&self) -> String {
        format!("{}:8625", self.ip)
    }

    /// The resident memory of the process, in MB of 1,000,000 bytes.
    pub fn memory_mb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
        kib.unwrap_or(0) * 1024 / 1_000_000
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub struct Deployment {
    pub folder: PathBuf,
    pub log: Arc<Log>,
    pub store: Store,
    pub gateways: Vec<Gateway>,
    pub runners: Vec<Runner>,
    /// The entries whose runners write to the store.
    beating: Arc<Mutex<Vec<Entry>>>,
    /// The first three numbers of all addresses.
    net: String,
    next_ip: u32,
}

impl Deployment {
    /// Starts the store, on addresses that are made from the id of this process.
    pub fn new(folder: &Path, config: &str) -> Result<Self, String> {
        let pid = std::process::id();
        let net = format!("127.{}.{}", 60 + pid / 250 % 150, 1 + pid % 250);
        Self::at(folder, config, &[net.as_str()])
    }

    /// Starts the store, on the first of `nets` where its address is free. A net is the first three numbers of all addresses.
    pub fn at(folder: &Path, config: &str, nets: &[&str]) -> Result<Self, String> {
        let fail = |error: std::io::Error| error.to_string();
        fs::create_dir_all(folder).map_err(fail)?;
        let log = Arc::new(Log::open(folder.join("events")).map_err(fail)?);
        let start = |net: &&str| Some(((*net).to_owned(), Store::start(&format!("{net}.250:8624")).ok()?));
        let (net, store) = nets
            .iter()
            .find_map(start)
            .ok_or_else(|| format!("port 8624 is taken on {}", nets.join(", ")))?;
        store.put("op/config", config);
        let beating: Arc<Mutex<Vec<Entry>>> = Arc::default();
        let (entries, beats) = (Arc::clone(&beating), store.clone());
        thread::spawn(move || {
            loop {
                sleep(HEARTBEAT);
                for entry in entries.lock().unwrap().iter_mut() {
                    entry.sequence += 1;
                    beats.put(&entry.key, &entry.text());
                }
            }
        });
        Ok(Self {
            folder: folder.to_owned(),
            log,
            store,
            gateways: Vec::new(),
            runners: Vec::new(),
            beating,
            net,
            next_ip: 1,
        })
    }

    fn take_ip(&mut self) -> String {
        self.next_ip += 1;
        format!("{}.{}", self.net, self.next_ip)
    }

    /// Starts a runner and enters it in the store.
    pub fn start_runner(&mut self, service: &str, slots: u32, options: &Options) -> Result<usize, String> {
        let number = self.runners.len();
        let id = format!("i-{service}{number:02}");
        let address = format!("{}:8783", self.take_ip());
        let options = Options {
            id: id.clone(),
            address: address.clone(),
            log: self.folder.join("events").display().to_string(),
            ..options.clone()
        };
        let program = std::env::current_exe().map_err(|error| error.to_string())?;
        let child = Command::new(program)
            .arg("runner")
            .args(options.arguments())
            .spawn();
        let child = child.map_err(|error| error.to_string())?;
        record_pid(&child);
        let entry = Entry {
            key: format!("servers/{id}"),
            service: service.to_owned(),
            address: address.clone(),
            slots,
            state: "ready",
            sequence: 1,
        };
        self.runners.push(Runner {
            id,
            child,
            entry: entry.clone(),
        });
        wait_until(Duration::from_secs(5), || TcpStream::connect(&address).is_ok())
            .then_some(())
            .ok_or_else(|| format!("runner at {address} does not listen"))?;
        self.store.put(&entry.key, &entry.text());
        self.beating.lock().unwrap().push(entry);
        Ok(number)
    }

    /// Ends a runner with SIGKILL. Its entry goes after three heartbeats.
    pub fn crash_runner(&mut self, number: usize) {
        let runner = &mut self.runners[number];
        self.log
            .write(&format!("trouble: runner {} is killed", runner.id));
        let _ = runner.child.kill();
        let _ = runner.child.wait();
        self.lapse(number);
    }

    /// Ends a draining runner with SIGKILL; its entry goes at once.
    pub fn end_runner(&mut self, number: usize) {
        let runner = &mut self.runners[number];
        self.log.write(&format!("trouble: runner {} is gone", runner.id));
        let _ = runner.child.kill();
        let _ = runner.child.wait();
        let key = runner.entry.key.clone();
        self.beating.lock().unwrap().retain(|entry| entry.key != key);
        self.store.remove(&key);
    }

    /// Stops a runner with SIGSTOP: it accepts connections and answers nothing. Its entry goes after three heartbeats. With
    /// SIGCONT it goes on, and is entered again.
    pub fn darken_runner(&mut self, number: usize, length: Duration) {
        let (id, pid) = (self.runners[number].id.clone(), self.runners[number].child.id());
        let mut entry = self.runners[number].entry.clone();
        self.log.write(&format!("trouble: runner {id} goes dark"));
        signal(pid, "STOP");
        self.lapse(number);
        let (store, log, beating) = (
            self.store.clone(),
            Arc::clone(&self.log),
            Arc::clone(&self.beating),
        );
        thread::spawn(move || {
            sleep(length);
            log.write(&format!("trouble: runner {id} goes on"));
            signal(pid, "CONT");
            entry.sequence += 100;
            store.put(&entry.key, &entry.text());
            beating.lock().unwrap().push(entry);
        });
    }

    /// Has a runner write to its entry. The answer of the store is lost, and the store does the write `after` that.
    pub fn lose_write(&mut self, number: usize, after: Duration) {
        let Some(entry) = self.write_entry(number, None) else {
            return;
        };
        let (store, log) = (self.store.clone(), Arc::clone(&self.log));
        let write = format!(
            "the write of {} as {}, sequence {}",
            entry.key, entry.state, entry.sequence
        );
        log.write(&format!("trouble: store loses its answer to {write}"));
        thread::spawn(move || {
            sleep(after);
            log.write(&format!("trouble: store does {write}"));
            store.put(&entry.key, &entry.text());
        });
    }

    /// Has a runner say that it is draining; returns when the store has acknowledged it, in milliseconds since 1970.
    pub fn drain_runner(&mut self, number: usize) -> u64 {
        if let Some(entry) = self.write_entry(number, Some("draining")) {
            self.store.put(&entry.key, &entry.text());
            self.log.write(&format!(
                "store: acknowledges {} as draining, sequence {}",
                entry.key, entry.sequence
            ));
        }
        now_ms()
    }

    /// The next write of a runner to its entry.
    fn write_entry(&self, number: usize, state: Option<&'static str>) -> Option<Entry> {
        let key = &self.runners[number].entry.key;
        let mut beating = self.beating.lock().unwrap();
        let entry = beating.iter_mut().find(|entry| entry.key == *key)?;
        entry.sequence += 1;
        entry.state = state.unwrap_or(entry.state);
        Some(entry.clone())
    }

    fn lapse(&self, number: usize) {
        let key = self.runners[number].entry.key.clone();
        self.beating.lock().unwrap().retain(|entry| entry.key != key);
        let (store, log) = (self.store.clone(), Arc::clone(&self.log));
        thread::spawn(move || {
            sleep(HEARTBEAT * LAPSE_HEARTBEATS);
            log.write(&format!("store: {key} lapses"));
            store.remove(&key);
        });
    }

    /// Starts gateways with the settings template of the repository, and waits until they are in touch.
    pub fn start_gateways(&mut self, count: usize) -> Result<(), String> {
        let ips: Vec<String> = (0..count).map(|_| self.take_ip()).collect();
        for ip in &ips {
            if let Some(port) = [8625, 8621, 8628, 8620, 7740, 7748, 7755]
                .iter()
                .find(|port| TcpListener::bind(format!("{ip}:{port}")).is_err())
            {
                return Err(format!("{ip}:{port} is taken"));
            }
        }
        let template =
            fs::read_to_string("deploy/gateway.json.template").map_err(|error| error.to_string())?;
        for (number, ip) in ips.iter().enumerate() {
            let seeds: Vec<String> = ips.iter().take(3).map(|ip| format!("\"{ip}:8628\"")).collect();
            let fields = [
                ("{{nodeName|json}}", format!("\"frontend-mi-a-{}\"", number + 1)),
                ("{{zone|json}}", "\"mi-a\"".to_owned()),
                ("{{region|json}}", "\"milano\"".to_owned()),
                ("{{listen.frontend|json}}", format!("\"{ip}:8625\"")),
                ("{{listen.ready|json}}", format!("\"{ip}:8621\"")),
                ("{{listen.directory|json}}", format!("\"{ip}:8620\"")),
                ("{{listen.control|json}}", format!("\"{ip}:8628\"")),
                ("{{ip}}", ip.clone()),
                ("{{internalPorts.0}}", "7740".to_owned()),
                ("{{internalPorts.1}}", "7755".to_owned()),
                ("{{seeds|json}}", format!("[{}]", seeds.join(","))),
                ("{{platform.address|json}}", format!("\"{}\"", self.store.address)),
                ("{{bounds.retryBudgetRatio}}", "0.2".to_owned()),
                ("{{bounds.retryBudgetSlack}}", "58".to_owned()),
                ("{{bounds.retryWindowS}}", "10".to_owned()),
                ("{{limits.linkMbps}}", "1000.0".to_owned()),
            ];
            let text = fields
                .iter()
                .fold(template.clone(), |text, (gap, value)| text.replace(gap, value));
            if text.contains("{{") {
                return Err("the settings template has a field that the stand-in does not know".to_owned());
            }
            let settings = self.folder.join(format!("gateway-{}.json", number + 1));
            fs::write(&settings, text).map_err(|error| error.to_string())?;
            let child = spawn_gateway(&settings)?;
            self.gateways.push(Gateway {
                ip: ip.clone(),
                child,
                settings,
            });
        }
        let ready = wait_until(Duration::from_secs(15), || {
            self.gateways.iter().all(|gateway| is_ready(&gateway.ip))
        });
        if !ready {
            return Err("the gateways do not get ready".to_owned());
        }
        // `contactMs`, in which nothing may have happened to a machine that is in touch, and a second more.
        sleep(Duration::from_millis(4000));
        Ok(())
    }

    /// Starts a gateway that has ended again.
    pub fn restart_gateway(&mut self, number: usize) {
        if let Ok(child) = spawn_gateway(&self.gateways[number].settings) {
            self.gateways[number].child = child;
        }
    }

    /// A frontend address of the directory, chosen at random.
    pub fn resolve(&self) -> Option<String> {
        let gateway = &self.gateways[random(self.gateways.len())];
        let stream = TcpStream::connect(format!("{}:8620", gateway.ip)).ok()?;
        let mut writer = stream.try_clone().ok()?;
        let request =
            "GET /resolve?name=shop.example&region=milano&zone=mi-a HTTP/1.1\r\nHost: directory\r\n\r\n";
        writer.write_all(request.as_bytes()).ok()?;
        let mut reader = BufReader::new(stream);
        let head = http::read_head(&mut reader).ok()??;
        let body = http::read_body(&mut reader, &head).ok()?;
        let text = String::from_utf8_lossy(&body).into_owned();
        let quoted: Vec<String> = text.split('"').map(str::to_owned).collect();
        let addresses: Vec<String> = quoted
            .into_iter()
            .filter(|part| part.ends_with(":8625"))
            .collect();
        (!addresses.is_empty()).then(|| addresses[random(addresses.len())].clone())
    }

    /// The lines of the record so far.
    pub fn events(&self) -> Vec<String> {
        let text = fs::read_to_string(self.folder.join("events")).unwrap_or_default();
        text.lines().map(str::to_owned).collect()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for gateway in &mut self.gateways {
            gateway.kill();
        }
        for runner in &mut self.runners {
            let _ = runner.child.kill();
            let _ = runner.child.wait();
        }
        let _ = fs::remove_file(pid_file());
    }
}

/// The command of the deploy file, with the variables that the platform sets.
fn spawn_gateway(settings: &Path) -> Result<Child, String> {
    let log = settings.with_extension("log");
    let open = || File::options().create(true).append(true).open(&log);
    let (out, err) = (
        open().map_err(|error| error.to_string())?,
        open().map_err(|error| error.to_string())?,
    );
    let mut command = Command::new("target/release/barleyspool-gateway");
    command.env_clear();
    for name in ["PATH", "HOME", "LANG"] {
        if let Some(value) = std::env::var_os(name) {
            command.env(name, value);
        }
    }
    command
        .env("BARLEYSPOOL_NODE_FILE", settings)
        .stdout(out)
        .stderr(err)
        .stdin(Stdio::null());
    let child = command
        .spawn()
        .map_err(|error| format!("target/release/barleyspool-gateway: {error}"))?;
    record_pid(&child);
    Ok(child)
}

fn is_ready(ip: &str) -> bool {
    let ask = || {
        let stream = TcpStream::connect(format!("{ip}:8621")).ok()?;
        let mut writer = stream.try_clone().ok()?;
        writer
            .write_all(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            .ok()?;
        Some(http::read_head(&mut BufReader::new(stream)).ok()??.status())
    };
    ask() == Some(200)
}

fn signal(pid: u32, name: &str) {
    let command = format!("kill -{name} {pid}");
    let _ = Command::new("sh").args(["-c", &command]).status();
}

pub fn wait_until(limit: Duration, mut done: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if done() {
            return true;
        }
        sleep(Duration::from_millis(50));
    }
    false
}

/// A random number below `below`.
pub fn random(below: usize) -> usize {
    use std::hash::{BuildHasher, Hasher};
    let mut hasher = std::collections::hash_map::RandomState::new().build_hasher();
    hasher.write_u64(now_ms());
    hasher.finish() as usize % below.max(1)
}
