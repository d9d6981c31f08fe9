//! The store does a runner's write late, after the runner has said that it drains.

use crate::fleet::{exchange, folder, gateway_ip, unable, Gateway, Record, Runner, HEARTBEAT};
use crate::store::Store;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// `drainMs` of the site.
const DRAIN: Duration = Duration::from_millis(2000);
/// How long a runner serves on after `drainMs`.
const SERVES_ON: Duration = Duration::from_millis(300);
/// The heartbeat of a round whose answer is lost, which is the last one in the disruption, and how much later it is done.
const LOST: u32 = 1;
const LATE: Duration = Duration::from_millis(5500);
/// The heartbeat with which the runner says that it drains: 3.6 s after the lost one, when the store has been stable again for
/// `contactMs` (3 s).
const DRAINS: u32 = 4;
const RUNNERS: u32 = 6;
const ROUNDS: u32 = 6;

const CONFIG: &str = r#"{"version": 1, "routes": [
 {"name": "alert-push", "host": "shop.example", "pathPrefix": "/push/", "type": "non_idempotent", "timeoutMs": 3000,
  "targetLatencyMs": 300, "priority": 1, "service": "notifier", "maxAttempts": 2, "stages": [], "public": false,
  "sessionAffinity": false, "resumable": false}],
 "services": [{"name": "notifier", "healthCheckPath": "/health", "maxConnections": 110}],
 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 100000, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
 "tenants": [{"name": "verona", "apiKeys": ["k1"], "priority": 1}]}"#;

pub fn run(record: &Record, trouble: bool) -> bool {
    let folder = folder();
    let store = Store::start();
    store.put("op/config", CONFIG);
    let start = |id: &str| Runner::start(&store, record, id, "notifier", 6, &["0", "60", "0", "0"]);
    let mut runners: Vec<Runner> = (0..RUNNERS).map(|number| start(&format!("i-{number}"))).collect();
    let ip = gateway_ip(0);
    let gateway = Gateway::start(&folder, &ip, &[ip.clone()], &store);
    gateway.wait_until_ready();
    let counts = Arc::new((AtomicU32::new(0), AtomicU32::new(0)));
    let stop = Arc::new(AtomicBool::new(false));
    let address = gateway.callers();
    let callers: Vec<_> = (0..8)
        .map(|caller| {
            let (stop, counts, record) = (Arc::clone(&stop), Arc::clone(&counts), record.clone());
            std::thread::spawn(move || {
                let mut number = 0;
                while !stop.load(Ordering::Relaxed) {
                    number += 1;
                    call(address, &format!("{caller:04x}{number:012x}"), &counts, &record);
                    std::thread::sleep(Duration::from_millis(40));
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(3));
    let mut late = 0;
    for round in 0..ROUNDS {
        let leaving = runners.remove(0);
        late += drain(record, &store, &leaving, trouble);
        store.remove(&format!("servers/{}", leaving.id));
        record.line(&format!("{} ends", leaving.id));
        drop(leaving);
        runners.push(start(&format!("n-{round}")));
        std::thread::sleep(Duration::from_secs(3));
    }
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    drop((gateway, runners));
    let _ = std::fs::remove_dir_all(folder);
    let (sent, served) = (counts.0.load(Ordering::Relaxed), counts.1.load(Ordering::Relaxed));
    record.tell(&format!(
        "{sent} requests sent, {served} served; {late} reached a runner later than drainMs after the store acknowledged it as draining"
    ));
    if served * 2 < sent {
        unable("most requests were not served");
    }
    late == 0
}

/// Plays the heartbeats of a runner until it ends. Returns how many requests reached it too late.
fn drain(record: &Record, store: &Store, runner: &Runner, trouble: bool) -> usize {
    let key = format!("servers/{}", runner.id);
    let begun = Instant::now();
    let wait = |until: Duration| std::thread::sleep(until.saturating_sub(begun.elapsed()));
    let mut acknowledged = None;
    let mut late_write = None;
    let mut was_ready = true;
    let end = HEARTBEAT * DRAINS + DRAIN + SERVES_ON;
    let mut beat = 0;
    // The last of its own heartbeats before these.
    let base = runner.stop_beats();
    let lost = base + 1 + LOST;
    loop {
        let next = HEARTBEAT * beat;
        if let Some(at) = late_write.filter(|at| *at <= next.min(end)) {
            wait(at);
            record.line(&format!(
                "the store does write {} of {} late: ready",
                lost, runner.id
            ));
            store.put(&key, &runner.entry("ready", lost));
            (late_write, was_ready) = (None, true);
        }
        if next >= end {
            break;
        }
        wait(next);
        let (state, sequence) = (if beat < DRAINS { "ready" } else { "draining" }, base + 1 + beat);
        beat += 1;
        if trouble && sequence == lost {
            record.line(&format!(
                "the answer to write {sequence} of {} is lost",
                runner.id
            ));
            late_write = Some(next + LATE);
            continue;
        }
        let is_ready = state == "ready";
        if is_ready == was_ready {
            store.put_unchanged(&key, &runner.entry(state, sequence));
        } else {
            store.put(&key, &runner.entry(state, sequence));
        }
        was_ready = is_ready;
        record.line(&format!(
            "the store acknowledges write {sequence} of {}: {state}",
            runner.id
        ));
        if !is_ready {
            acknowledged.get_or_insert(Instant::now());
        }
    }
    wait(end);
    let runs = runner.runs.lock().expect("the lock");
    let is_late = |at: Instant| acknowledged.is_some_and(|acknowledged| at > acknowledged + DRAIN);
    runs.iter().filter(|(at, _)| is_late(*at)).count()
}

fn call(address: SocketAddr, id: &str, counts: &(AtomicU32, AtomicU32), record: &Record) {
    let request = format!(
        "POST /push/a HTTP/1.1\r\nHost: shop.example\r\nBarleyspool-Attempt-Id: {id}\r\nBarleyspool-Deadline-Ms: 3000\r\nBarleyspool-Key: k1\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi"
    );
    counts.0.fetch_add(1, Ordering::Relaxed);
    record.line(&format!("sent {id}"));
    match exchange(address, &request, Duration::from_secs(5)) {
        Some(answer) => {
            counts
                .1
                .fetch_add(u32::from(answer.status() == 200), Ordering::Relaxed);
            record.line(&format!("answered {id}: {}", answer.status()));
        }
        None => record.line(&format!("answered {id}: the connection ended")),
    }
}
