//! A write of a runner that the store does late makes the gateways forget that the runner drains.

use crate::client::{End, Kept};
use crate::deployment::Deployment;
use crate::record::Log;
use crate::runner::Options;
use crate::{Verdict, event};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, sleep};
use std::time::Duration;

const CONFIG: &str = r#"{"version":7,
"routes":[{"name":"order","host":"shop.example","pathPrefix":"/order/","type":"non_idempotent","timeoutMs":3000,
 "targetLatencyMs":300,"priority":0,"service":"desk","maxAttempts":1,"stages":[],
 "public":false,"sessionAffinity":false,"resumable":false}],
"services":[{"name":"desk","healthCheckPath":"/health","maxConnections":110,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"ministry","apiKeys":["k1"],"priority":1}]}"#;

const GATEWAYS: usize = 2;
const CLIENTS: usize = 8;
const DRAIN_MS: u64 = 2000;
/// How late the store does the write whose answer is lost; the page allows 1 to 6 s.
const LATE: Duration = Duration::from_millis(5000);

pub fn play(folder: &Path, trouble: bool) -> Result<Verdict, String> {
    let mut deployment = Deployment::new(folder, CONFIG)?;
    let desk = Options {
        kind: "plain".to_owned(),
        first_ms: 60,
        ..Options::default()
    };
    for _ in 0..3 {
        deployment.start_runner("desk", 6, &desk)?;
    }
    deployment.start_gateways(GATEWAYS)?;
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let address = format!("{}:8625", deployment.gateways[number % GATEWAYS].ip);
        let (stop, log) = (Arc::clone(&stop), Arc::clone(&deployment.log));
        clients.push(thread::spawn(move || send_orders(&log, &address, number, &stop)));
    }
    sleep(Duration::from_secs(2));
    if trouble {
        deployment.lose_write(0, LATE);
    }
    sleep(Duration::from_millis(1500));
    let drained_ms = deployment.drain_runner(0);
    // The runner serves on for `drainMs` and some seconds more. It writes to its entry all that time.
    sleep(Duration::from_secs(8));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }

    let id = deployment.runners[0].id.clone();
    let lines = deployment.events();
    let arrived = |line: &&String| {
        event(line).is_some_and(|(time, words)| {
            words.len() > 3 && words[1] == id && words[2] == "arrives" && time > drained_ms + DRAIN_MS
        })
    };
    let late: Vec<&String> = lines.iter().filter(arrived).collect();
    let summary = vec![
        format!("{id} drains from {drained_ms}, with {GATEWAYS} gateways"),
        format!(
            "requests that reached it over {DRAIN_MS} ms after that: {} (one breaks DRAIN)",
            late.len()
        ),
        format!("the first: {}", late.first().map_or("none", |line| line.as_str())),
    ];
    Ok(Verdict {
        held: late.is_empty(),
        summary,
    })
}

fn send_orders(log: &Log, address: &str, number: usize, stop: &AtomicBool) {
    let mut kept = Kept::default();
    let mut count = 0;
    while !stop.load(Ordering::SeqCst) {
        count += 1;
        let id = format!("d{number:02}x{count}");
        let head = format!(
            "POST /order/{id} HTTP/1.1\r\nHost: shop.example\r\nBarleyspool-Attempt-Id: {id}\r\n\
             Barleyspool-Deadline-Ms: 3000\r\nBarleyspool-Key: k1\r\nContent-Length: 4\r\n\r\nbody"
        );
        log.write(&format!("client sends {id} to {address}"));
        match kept.send(address, &head, &[], Duration::ZERO) {
            End::Status(status) => log.write(&format!("client gets {status} for {id}")),
            End::NoAnswer { .. } => log.write(&format!(
                "client sees the connection end without an answer for {id}"
            )),
            End::NoConnection => log.write(&format!("client cannot connect for {id}")),
        }
        sleep(Duration::from_millis(40));
    }
}
