//! Many clients send bodies of the largest size that the limits allow, and the gateway outgrows the memory of its machine.

use crate::client::{End, Kept};
use crate::deployment::{Deployment, MEMORY_MB};
use crate::record::Log;
use crate::runner::Options;
use crate::{Verdict, arrivals};
use std::collections::HashSet;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

const CONFIG: &str = r#"{"version":7,
"routes":[{"name":"order","host":"shop.example","pathPrefix":"/order/","type":"non_idempotent","timeoutMs":8000,
 "targetLatencyMs":1600,"priority":0,"service":"desk","maxAttempts":1,"stages":[],
 "public":false,"sessionAffinity":false,"resumable":false}],
"services":[{"name":"desk","healthCheckPath":"/health","maxConnections":370,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"ministry","apiKeys":["k1"],"priority":1}]}"#;

const GATEWAYS: usize = 2;
/// Uploads at a time in ordinary traffic, and in a burst of 2.4 times the traffic.
const USUAL_UPLOADS: usize = 70;
const BURST_UPLOADS: usize = 168;
const BODY_BYTES: usize = 4_194_304;
const PARTS: usize = 64;
/// The pause between the parts of a body: about 1.1 MB a second for each client.
const PART_PAUSE: Duration = Duration::from_millis(60);
/// The time over which the uploads start.
const START_SPREAD: Duration = Duration::from_millis(1000);
/// Clients that send small requests on kept connections meanwhile.
const ORDER_CLIENTS: usize = 40;
/// The rule is broken by more than this many.
const ALLOWED: usize = 3;

pub fn play(folder: &Path, trouble: bool) -> Result<Verdict, String> {
    let mut deployment = Deployment::new(folder, CONFIG)?;
    let desk = Options {
        kind: "plain".to_owned(),
        first_ms: 300,
        ..Options::default()
    };
    for _ in 0..3 {
        deployment.start_runner("desk", 64, &desk)?;
    }
    deployment.start_gateways(GATEWAYS)?;

    let stop = Arc::new(AtomicBool::new(false));
    let unanswered: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut clients = Vec::new();
    for number in 0..ORDER_CLIENTS {
        let address = deployment.resolve().ok_or("the directory names no gateway")?;
        let (stop, unanswered, log) = (
            Arc::clone(&stop),
            Arc::clone(&unanswered),
            Arc::clone(&deployment.log),
        );
        clients.push(thread::spawn(move || {
            send_orders(&log, &address, number, &stop, &unanswered)
        }));
    }
    sleep(Duration::from_secs(2));
    let uploads = if trouble { BURST_UPLOADS } else { USUAL_UPLOADS };
    deployment.log.write(&format!(
        "trouble: {uploads} clients send bodies of {BODY_BYTES} bytes at a time"
    ));
    let body = Arc::new(vec![b'x'; BODY_BYTES]);
    for number in 0..uploads {
        let address = deployment.resolve().ok_or("the directory names no gateway")?;
        let (body, log) = (Arc::clone(&body), Arc::clone(&deployment.log));
        clients.push(thread::spawn(move || upload(&log, &address, number, &body)));
        sleep(START_SPREAD / uploads as u32);
    }
    // The platform: it kills a process that goes over `memoryMb`, and starts it again after a short delay.
    let mut most = [0; GATEWAYS];
    let mut kills = 0;
    let until = Instant::now() + Duration::from_secs(8);
    while Instant::now() < until {
        for (number, most) in most.iter_mut().enumerate() {
            let memory = deployment.gateways[number].memory_mb();
            *most = (*most).max(memory);
            // Mebibytes, the larger reading of the limit.
            if memory * 1_000_000 > MEMORY_MB << 20 {
                let line = format!("platform: gateway {} uses {memory} MB and is killed", number + 1);
                deployment.log.write(&line);
                deployment.gateways[number].kill();
                kills += 1;
                sleep(Duration::from_millis(500));
                deployment.restart_gateway(number);
            }
        }
        sleep(Duration::from_millis(10));
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }

    let arrived: HashSet<String> = arrivals(&deployment).into_iter().map(|(_, id)| id).collect();
    let unanswered = unanswered.lock().unwrap();
    let lost = unanswered.iter().filter(|id| arrived.contains(*id)).count();
    let summary = vec![
        format!(
            "{uploads} uploads at a time, {ORDER_CLIENTS} clients with small requests, {GATEWAYS} gateways"
        ),
        format!("most memory of the gateways: {most:?} MB, of {MEMORY_MB} MB; killed for it: {kills}"),
        format!(
            "requests from kept connections that reached a runner and whose connection ended without an answer: {lost} (more than {ALLOWED} break LOST)"
        ),
    ];
    Ok(Verdict {
        held: lost <= ALLOWED,
        summary,
    })
}

fn head(id: &str, length: usize) -> String {
    format!(
        "POST /order/{id} HTTP/1.1\r\nHost: shop.example\r\nBarleyspool-Attempt-Id: {id}\r\n\
         Barleyspool-Deadline-Ms: 8000\r\nBarleyspool-Key: k1\r\nContent-Length: {length}\r\n\r\n"
    )
}

/// Sends small requests on a kept connection, one after the other.
fn send_orders(log: &Log, address: &str, number: usize, stop: &AtomicBool, unanswered: &Mutex<Vec<String>>) {
    let mut kept = Kept::default();
    let mut count = 0;
    while !stop.load(Ordering::SeqCst) {
        count += 1;
        let id = format!("c{number:02}x{count}");
        log.write(&format!("client sends {id} to {address}"));
        match kept.send(address, &head(&id, 600), &[&[b'o'; 600]], Duration::ZERO) {
            End::Status(status) => log.write(&format!("client gets {status} for {id}")),
            End::NoAnswer { kept } => {
                log.write(&format!(
                    "client sees the connection end without an answer for {id}, kept={kept}"
                ));
                if kept {
                    unanswered.lock().unwrap().push(id);
                }
            }
            End::NoConnection => {
                log.write(&format!("client cannot connect for {id}"));
                sleep(Duration::from_millis(200));
            }
        }
    }
}

fn upload(log: &Log, address: &str, number: usize, body: &[u8]) {
    let id = format!("u{number:03}");
    log.write(&format!("client starts to send {id} to {address}"));
    let parts: Vec<&[u8]> = body.chunks(BODY_BYTES / PARTS).collect();
    match Kept::default().send(address, &head(&id, body.len()), &parts, PART_PAUSE) {
        End::Status(status) => log.write(&format!("client gets {status} for {id}")),
        End::NoAnswer { .. } => log.write(&format!(
            "client sees the connection end without an answer for {id}"
        )),
        End::NoConnection => log.write(&format!("client cannot connect for {id}")),
    }
}
