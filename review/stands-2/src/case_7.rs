//! Many users come at once, and requests wait at the model runners for a slot.

use crate::fleet::{exchange, folder, gateway_ip, unable, Gateway, Record, Runner};
use crate::store::Store;
use std::collections::HashSet;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// `retryBudgetRatio`, `retryBudgetSlack` and `retryWindowS` of the site.
const RATIO: f64 = 0.2;
const SLACK: f64 = 58.0;
const WINDOW: f64 = 10.0;
/// Requests a second of each kind in calm, and how many times as many of the first kind come in the burst.
const HUNTS_PER_S: f64 = 30.0;
const LABELS_PER_S: f64 = 14.0;
const BURST: f64 = 2.4;
const CALM: Duration = Duration::from_secs(12);
const BURST_TIME: Duration = Duration::from_millis(6600);
const AFTER: Duration = Duration::from_secs(14);
const STAGE_RUNNERS: u32 = 5;
const MODEL_RUNNERS: u32 = 2;

const CONFIG: &str = r#"{"version": 1, "routes": [
 {"name": "regression-hunt", "host": "shop.example", "pathPrefix": "/hunt/", "type": "streaming", "timeoutMs": 8000,
  "targetLatencyMs": 1600, "priority": 0, "service": "triage-llm", "maxAttempts": 2,
  "stages": [{"service": "dashboard", "sinceRevision": [], "bytes": 20000}], "public": false, "sessionAffinity": true,
  "resumable": false},
 {"name": "dedup-label", "host": "shop.example", "pathPrefix": "/label/", "type": "streaming", "timeoutMs": 12000,
  "targetLatencyMs": 1400, "priority": 2, "service": "triage-llm", "maxAttempts": 1,
  "stages": [{"service": "dashboard", "sinceRevision": [], "bytes": 20000}], "public": false, "sessionAffinity": true,
  "resumable": false}],
 "services": [{"name": "triage-llm", "healthCheckPath": "/health", "maxConnections": 370,
   "engine": {"slots": 16, "kvCapacityTokens": 614608, "moves": false}},
  {"name": "dashboard", "healthCheckPath": "/health", "maxConnections": 370,
   "pieces": {"slots": 1, "queue": 2, "batch": 62, "callMs": 150.0, "itemMs": 2.1, "headroomMb": 39.0, "handleS": 4.0,
    "linkMbps": 10000}}],
 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 100000, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
 "tenants": [{"name": "verona", "apiKeys": ["k1"], "priority": 1}]}"#;

pub fn run(record: &Record, trouble: bool) -> bool {
    let folder = folder();
    let store = Store::start();
    store.put("op/config", CONFIG);
    let begun = Instant::now();
    let mut runners: Vec<Runner> = (0..STAGE_RUNNERS)
        .map(|number| {
            Runner::start_as(
                &store,
                record,
                "stage",
                &format!("d-{number}"),
                "dashboard",
                1,
                &["150", "2.1", "4000"],
            )
        })
        .collect();
    for number in 0..MODEL_RUNNERS {
        let id = format!("m-{number}");
        runners.push(Runner::start_as(
            &store,
            record,
            "model",
            &id,
            "triage-llm",
            16,
            &["16", "32", "440"],
        ));
    }
    let ip = gateway_ip(0);
    let gateway = Gateway::start(&folder, &ip, &[ip.clone()], &store);
    gateway.wait_until_ready();
    std::thread::sleep(Duration::from_secs(1));
    let address = gateway.callers();
    let sent: Arc<Mutex<Vec<f64>>> = Arc::default();
    let ends: Arc<[AtomicU32; 3]> = Arc::default();
    let mut number = 0u32;
    let mut callers = Vec::new();
    let mut call_for = |time: Duration, hunts_per_s: f64| {
        let start = Instant::now();
        let mut next = [start, start];
        loop {
            let kind = usize::from(next[1] < next[0]);
            if next[kind] >= start + time {
                return;
            }
            std::thread::sleep(next[kind].saturating_duration_since(Instant::now()));
            next[kind] += Duration::from_secs_f64(1.0 / [hunts_per_s, LABELS_PER_S][kind]);
            let (path, deadline) = [("/hunt/a", 8000), ("/label/a", 12000)][kind];
            number += 1;
            let id = format!("{number:016x}");
            sent.lock().expect("the lock").push(begun.elapsed().as_secs_f64());
            record.line(&format!("sent {id}"));
            let (record, ends) = (record.clone(), Arc::clone(&ends));
            callers.push(std::thread::spawn(move || {
                let request = format!(
                    "POST {path} HTTP/1.1\r\nHost: shop.example\r\nBarleyspool-Attempt-Id: {id}\r\nBarleyspool-Model: m\r\nBarleyspool-Token-Counts: 1460,80\r\nBarleyspool-Prefix-Hash: 5c1e07a2:350,{id}:1110\r\nBarleyspool-Pieces: 3\r\nBarleyspool-Piece-Key: {id}\r\nBarleyspool-Deadline-Ms: {deadline}\r\nBarleyspool-Key: k1\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi"
                );
                let answer = exchange(address, &request, Duration::from_secs(14));
                let status = answer.map_or(0, |answer| if answer.whole { answer.status() } else { 0 });
                let end = match status {
                    200 => 0,
                    503 => 1,
                    _ => 2,
                };
                ends[end].fetch_add(1, Ordering::Relaxed);
                record.line(&format!("answered {id}: {status}"));
            }));
        }
    };
    call_for(CALM, HUNTS_PER_S);
    record.line("many users come at once");
    call_for(
        BURST_TIME,
        if trouble { HUNTS_PER_S * BURST } else { HUNTS_PER_S },
    );
    record.line("that is over");
    call_for(AFTER, HUNTS_PER_S);
    for caller in callers {
        let _ = caller.join();
    }
    std::thread::sleep(Duration::from_millis(200));
    let mut lines: Vec<(f64, String)> = Vec::new();
    for runner in runners.iter().filter(|runner| runner.service == "triage-llm") {
        let runs = runner.runs.lock().expect("the lock");
        lines.extend(
            runs.iter()
                .map(|(at, line)| (at.duration_since(begun).as_secs_f64(), line.clone())),
        );
    }
    lines.sort_by(|one, other| one.0.total_cmp(&other.0));
    drop((gateway, runners));
    let _ = std::fs::remove_dir_all(folder);
    let sent = sent.lock().expect("the lock").clone();
    let mut known = HashSet::new();
    let arrivals = lines
        .iter()
        .filter_map(|(at, line)| Some((*at, line.strip_prefix("ARRIVED ")?)));
    let repeats: Vec<f64> = arrivals
        .filter(|(_, id)| !known.insert((*id).to_owned()))
        .map(|(at, _)| at)
        .collect();
    let gone = lines.iter().filter(|(_, line)| line.starts_with("GONE")).count();
    let full = lines.iter().filter(|(_, line)| line.starts_with("FULL")).count();
    let count = |times: &[f64], from: f64| {
        times
            .iter()
            .filter(|at| **at >= from && **at < from + WINDOW)
            .count() as f64
    };
    let mut worst = (f64::MIN, 0.0, 0.0, 0.0);
    for step in 0..(begun.elapsed().as_secs() * 10) {
        let from = step as f64 / 10.0;
        let requests = count(&sent, from)
            .max(count(&sent, from - WINDOW))
            .max(count(&sent, from - WINDOW / 2.0));
        let (again, allowed) = (count(&repeats, from), RATIO * requests + SLACK);
        if again - allowed > worst.0 {
            worst = (again - allowed, from, again, allowed);
        }
    }
    let end = |end: usize| ends[end].load(Ordering::Relaxed);
    record.tell(&format!(
        "{} requests: {} served, {} answered 503, {} other ends; at the model runners {gone} found their inputs gone, {full} found the runner full; worst window from {:.1} s: {} arrivals beyond the first, {:.1} allowed",
        sent.len(), end(0), end(1), end(2), worst.1, worst.2, worst.3
    ));
    if end(0) * 4 < sent.len() as u32 {
        unable("less than a quarter of the requests were served");
    }
    worst.0 <= 0.0
}
