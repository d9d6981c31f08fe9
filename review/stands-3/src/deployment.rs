//! A small deployment on loopback addresses: gateways started by the command of the deploy file, and runners, which are
//! processes of this program.

use crate::store::Store;
use std::collections::HashMap;
use std::fs::{self, File};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

const SIGTERM: i32 = 15;
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

/// How often a runner writes its entry, as `heartbeatMs` says.
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// Sends a signal to a process that this test has started.
fn signal(child: &Child, number: i32) {
    // SAFETY: `kill` has no preconditions; the process is a child that has not been waited for.
    unsafe { kill(child.id().cast_signed(), number) };
}

/// A loopback address of this test's own.
pub fn ip(number: u32) -> String {
    let pid = std::process::id();
    format!("127.{}.{}.{number}", 20 + pid % 200, 1 + pid / 200 % 250)
}

pub fn free_port(ip: &str) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("no free port");
    listener.local_addr().expect("no address").port()
}

pub struct Gateway {
    child: Child,
    program: PathBuf,
    settings: PathBuf,
    repository: PathBuf,
    log: PathBuf,
    pub callers: String,
    pub ready: String,
}

impl Gateway {
    /// Starts the gateways of a deployment, with the settings that the template of the deploy file gives.
    pub fn start_all(repository: &Path, folder: &Path, source: &str, count: u32) -> Vec<Self> {
        let template =
            fs::read_to_string(repository.join("deploy/gateway.json.template")).expect("no template");
        let deploy = fs::read_to_string(repository.join("deploy/system.toml")).expect("no deploy file");
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = "));
        let program = repository.join(run.expect("no command").trim_matches('"'));
        let ips: Vec<String> = (1..=count).map(ip).collect();
        // All machines share the same ports.
        let ports: Vec<u16> = (0..7).map(|_| free_port(&ips[0])).collect();
        let seeds: Vec<String> = ips.iter().map(|ip| format!("\"{ip}:{}\"", ports[3])).collect();
        let mut gateways = Vec::new();
        for (number, ip) in ips.iter().enumerate() {
            let address = |port: usize| format!("\"{ip}:{}\"", ports[port]);
            let name = format!("frontend-z-{}", number + 1);
            let fields = HashMap::from([
                ("nodeName|json", format!("\"{name}\"")),
                ("zone|json", "\"z\"".to_owned()),
                ("region|json", "\"r\"".to_owned()),
                ("listen.frontend|json", address(0)),
                ("listen.ready|json", address(1)),
                ("listen.directory|json", address(2)),
                ("listen.control|json", address(3)),
                ("ip", ip.clone()),
                ("internalPorts.0", ports[4].to_string()),
                ("internalPorts.1", ports[5].to_string()),
                ("seeds|json", format!("[{}]", seeds.join(","))),
                ("platform.address|json", format!("\"{source}\"")),
                ("bounds.retryBudgetRatio", "0.2".to_owned()),
                ("bounds.retryBudgetSlack", "58".to_owned()),
                ("bounds.retryWindowS", "10".to_owned()),
                ("limits.linkMbps", "1000.0".to_owned()),
            ]);
            let settings = folder.join(format!("{name}.json"));
            fs::write(&settings, fill(&template, &fields)).expect("cannot write the settings");
            let log = folder.join(format!("{name}.log"));
            gateways.push(Self {
                child: spawn_gateway(&program, &settings, repository, &log),
                program: program.clone(),
                settings,
                repository: repository.to_owned(),
                log,
                callers: format!("{ip}:{}", ports[0]),
                ready: format!("{ip}:{}", ports[1]),
            });
        }
        gateways
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process and starts it again, as the platform does.
    pub fn kill_and_start(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        thread::sleep(Duration::from_millis(300));
        self.child = spawn_gateway(&self.program, &self.settings, &self.repository, &self.log);
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            let request = b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";
            let seen = crate::http::exchange(&self.ready, request, Duration::from_secs(1));
            if seen.is_ok_and(|seen| seen.status == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn freeze(&self) {
        signal(&self.child, SIGSTOP);
    }

    pub fn wake(&self) {
        signal(&self.child, SIGCONT);
    }

    pub fn stop(&mut self) {
        signal(&self.child, SIGCONT);
        signal(&self.child, SIGTERM);
        let until = Instant::now() + Duration::from_secs(8);
        while Instant::now() < until && matches!(self.child.try_wait(), Ok(None)) {
            thread::sleep(Duration::from_millis(50));
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn_gateway(program: &Path, settings: &Path, repository: &Path, log: &Path) -> Child {
    let log = File::options()
        .create(true)
        .append(true)
        .open(log)
        .expect("no log");
    Command::new(program)
        .current_dir(repository)
        .env("BARLEYSPOOL_NODE_FILE", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("no log"))
        .stderr(log)
        .spawn()
        .expect("the gateway does not start")
}

fn fill(template: &str, fields: &HashMap<&str, String>) -> String {
    let mut text = template.to_owned();
    for (name, value) in fields {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    assert!(
        !text.contains("{{"),
        "a field of the template is not known: {text}"
    );
    text
}

/// A runner and its entry in the store.
struct Runner {
    child: Option<Child>,
    id: String,
    service: String,
    address: String,
    starts: u32,
    sequence: u64,
}

/// The runners of a deployment. A living one writes its entry each heartbeat; the entry of a dead one goes after three.
#[derive(Clone)]
pub struct Runners {
    all: Arc<Mutex<Vec<Runner>>>,
    store: Store,
    folder: PathBuf,
}

impl Runners {
    pub fn start(store: &Store, folder: &Path, services: &[(&str, usize)]) -> Self {
        let runners = Self {
            all: Arc::default(),
            store: store.clone(),
            folder: folder.to_owned(),
        };
        let mut number = 0;
        for (service, count) in services {
            for _ in 0..*count {
                let ip = ip(100 + number);
                runners.all.lock().expect("poisoned").push(Runner {
                    child: None,
                    id: String::new(),
                    service: (*service).to_owned(),
                    address: format!("{ip}:{}", free_port(&ip)),
                    starts: 0,
                    sequence: 0,
                });
                runners.start_one(number as usize);
                number += 1;
            }
        }
        let beating = runners.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                beating.beat();
            }
        });
        runners
    }

    /// Starts a runner as a new incarnation at its address.
    pub fn start_one(&self, number: usize) {
        let mut all = self.all.lock().expect("poisoned");
        let runner = &mut all[number];
        runner.starts += 1;
        runner.id = format!("i-{number}-{}", runner.starts);
        runner.sequence = 0;
        let log = File::create(self.log(&runner.id)).expect("no log");
        let child = Command::new(std::env::current_exe().expect("no program"))
            .args(["runner", &runner.address, &runner.id])
            .stdin(Stdio::null())
            .stdout(log)
            .spawn()
            .expect("the runner does not start");
        let until = Instant::now() + Duration::from_secs(5);
        while TcpStream::connect(&runner.address).is_err() && Instant::now() < until {
            thread::sleep(Duration::from_millis(10));
        }
        runner.child = Some(child);
        write_entry(&self.store, runner);
    }

    fn beat(&self) {
        for runner in self.all.lock().expect("poisoned").iter_mut() {
            if runner.child.is_some() {
                write_entry(&self.store, runner);
            }
        }
    }

    /// The runner among the first `count` that answers the most of these requests now, as the logs of the runners tell.
    pub fn busiest(&self, count: usize, requests: &[String]) -> usize {
        let all = self.all.lock().expect("poisoned");
        let answering = |number: &usize| {
            let log = fs::read_to_string(self.log(&all[*number].id)).unwrap_or_default();
            let has =
                |word: &str, id: &String| log.lines().any(|line| line.split_once(' ') == Some((word, id)));
            requests
                .iter()
                .filter(|id| has("run", id) && !has("whole", id))
                .count()
        };
        (0..count).max_by_key(answering).unwrap_or(0)
    }

    fn log(&self, id: &str) -> PathBuf {
        self.folder.join(format!("runner-{id}.log"))
    }

    /// Kills runners at one moment. Their entries go after three heartbeats.
    pub fn kill(&self, numbers: &[usize]) -> String {
        let mut killed = Vec::new();
        {
            let mut all = self.all.lock().expect("poisoned");
            let mut children = Vec::new();
            for number in numbers {
                if let Some(mut child) = all[*number].child.take() {
                    let _ = child.kill();
                    children.push(child);
                    killed.push(all[*number].id.clone());
                }
            }
            for mut child in children {
                let _ = child.wait();
            }
        }
        let (store, ids) = (self.store.clone(), killed.clone());
        thread::spawn(move || {
            thread::sleep(HEARTBEAT * 3);
            ids.iter().for_each(|id| store.remove(&format!("servers/{id}")));
        });
        killed.join(", ")
    }

    pub fn stop(&self) {
        for runner in self.all.lock().expect("poisoned").iter_mut() {
            if let Some(mut child) = runner.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

fn write_entry(store: &Store, runner: &mut Runner) {
    runner.sequence += 1;
    let entry = format!(
        "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":{}}}",
        runner.service, runner.address, runner.sequence
    );
    store.put(&format!("servers/{}", runner.id), &entry);
}
