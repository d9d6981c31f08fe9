//! All gateways are killed and start again while the list of runners holds an entry of another writer.

use crate::fleet::{exchange, folder, gateway_ip, unable, Gateway, Record, Runner, HEARTBEAT};
use crate::store::Store;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// `recoveryS` of the site, and how long requests are counted after it.
const RECOVERY: Duration = Duration::from_secs(18);
const COUNTED: Duration = Duration::from_secs(12);
/// How long the processes are away.
const DOWN: Duration = Duration::from_millis(530);
const GATEWAYS: u32 = 2;
/// The runners of another service, which gets no requests.
const OTHERS: u32 = 199;
const WORK_MS: &str = "20";

const CONFIG: &str = r#"{"version": 1, "routes": [
 {"name": "ticket-sync", "host": "shop.example", "pathPrefix": "/sync/", "type": "idempotent", "timeoutMs": 3000,
  "targetLatencyMs": 300, "priority": 1, "service": "notifier", "maxAttempts": 2, "stages": [], "public": false,
  "sessionAffinity": false, "resumable": false}],
 "services": [{"name": "notifier", "healthCheckPath": "/health", "maxConnections": 110},
  {"name": "archive", "healthCheckPath": "/health", "maxConnections": 110}],
 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 100000, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
 "tenants": [{"name": "verona", "apiKeys": ["k1"], "priority": 1}]}"#;

pub fn run(record: &Record, trouble: bool) -> bool {
    let folder = folder();
    let store = Store::start();
    store.put("op/config", CONFIG);
    let entry = |number: u32, sequence: u32| {
        format!(
            "{{\"service\":\"archive\",\"address\":\"127.9.0.{}:9\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":4,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":{sequence}}}",
            number + 1
        )
    };
    for number in 0..OTHERS {
        store.put(&format!("servers/i-{number:04}"), &entry(number, 1));
    }
    // They write their entries as living runners do.
    let written = store.clone();
    std::thread::spawn(move || {
        for sequence in 2.. {
            std::thread::sleep(HEARTBEAT);
            for number in 0..OTHERS {
                written.put_unchanged(&format!("servers/i-{number:04}"), &entry(number, sequence));
            }
        }
    });
    let start = |id: &str| Runner::start(&store, record, id, "notifier", 6, &["0", WORK_MS, "0", "0"]);
    let runners = [start("r-1"), start("r-2")];
    let ips: Vec<String> = (0..GATEWAYS).map(gateway_ip).collect();
    let begin = || -> Vec<Gateway> {
        ips.iter()
            .map(|ip| Gateway::start(&folder, ip, &ips, &store))
            .collect()
    };
    let mut gateways = begin();
    gateways.iter().for_each(Gateway::wait_until_ready);
    // Another writer's entry: it names no runner, and the others still hold.
    record.line("another writer stores its entry");
    store.put(
        &format!("servers/i-{:04} before the move", OTHERS - 1),
        "{\"note\":\"kept until Friday\"}",
    );
    let phases: Arc<[Phase; 3]> = Arc::default();
    let (phase, stop) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicBool::new(false)));
    let callers: Vec<_> = (0..4)
        .map(|caller| {
            let (stop, phase, phases, record) = (
                Arc::clone(&stop),
                Arc::clone(&phase),
                Arc::clone(&phases),
                record.clone(),
            );
            let address = gateways[caller % gateways.len()].callers();
            std::thread::spawn(move || {
                let mut number = 0;
                while !stop.load(Ordering::Relaxed) {
                    number += 1;
                    call(
                        address,
                        &format!("{caller:04x}{number:012x}"),
                        &phases[phase.load(Ordering::Relaxed)],
                        &record,
                    );
                    std::thread::sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(6));
    phase.store(1, Ordering::Relaxed);
    if trouble {
        record.line("all gateways are killed");
        gateways.clear();
        std::thread::sleep(DOWN);
        gateways = begin();
        record.line("they start again");
    }
    std::thread::sleep(RECOVERY);
    phase.store(2, Ordering::Relaxed);
    record.line("recoveryS is over");
    std::thread::sleep(COUNTED);
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    drop((gateways, runners));
    let _ = std::fs::remove_dir_all(folder);
    let share = |phase: &Phase| {
        let (sent, served) = (phase.0.load(Ordering::Relaxed), phase.1.load(Ordering::Relaxed));
        (sent, served, f64::from(served) / f64::from(sent.max(1)))
    };
    let (before, after) = (share(&phases[0]), share(&phases[2]));
    record.tell(&format!(
        "before: {} requests, {} served; sent more than recoveryS after the return: {} requests, {} served",
        before.0, before.1, after.0, after.1
    ));
    if before.2 < 0.25 {
        unable("less than a quarter of the requests were served before");
    }
    after.2 >= 0.25
}

/// The requests sent, and those of them that were served.
type Phase = (AtomicU32, AtomicU32);

fn call(address: SocketAddr, id: &str, counts: &Phase, record: &Record) {
    let request = format!(
        "POST /sync/a HTTP/1.1\r\nHost: shop.example\r\nBarleyspool-Attempt-Id: {id}\r\nBarleyspool-Deadline-Ms: 3000\r\nBarleyspool-Key: k1\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi"
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
