//! Runners crash while they send answers that end with their connection.

use crate::fleet::{exchange_kept, folder, gateway_ip, Gateway, Record, Runner};
use crate::http::Link;
use crate::store::Store;
use crate::target::body_of;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The runners of the service: a crash of one is the share that the pages name, .15.
const RUNNERS: u32 = 7;
/// The runners of which a part of the answers has no length: less than the share of .5 that the pages name.
const UNFRAMED_RUNNERS: u32 = 3;
/// How many of a hundred answers of these have no length, as in a day of the site file.
const UNFRAMED_SHARE: &str = "5";
const SLOTS: u32 = 64;
/// 40 for each of the runners while one is away, which have 64 slots, so that no request has to wait.
const CALLERS: u32 = 240;
/// The time between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(20);
const WORK_MS: &str = "300";
const CRASHES: u32 = 8;
/// How long a runner is away, and the time from its return to the next crash.
const AWAY: Duration = Duration::from_millis(4500);
const BETWEEN: Duration = Duration::from_millis(500);
/// How long a part of the answers has no length, 5 s in the site file, and how much of that is before the crash.
const GARBLED: Duration = Duration::from_millis(4900);
const BEFORE: Duration = Duration::from_millis(2500);
/// The entry of a crashed runner goes after three heartbeats of 1.2 s.
const ENTRY_GONE: Duration = Duration::from_millis(3600);

const CONFIG: &str = r#"{"version": 1, "routes": [
 {"name": "alert-push", "host": "shop.example", "pathPrefix": "/push/", "type": "non_idempotent", "timeoutMs": 3000,
  "targetLatencyMs": 300, "priority": 1, "service": "notifier", "maxAttempts": 2, "stages": [], "public": false,
  "sessionAffinity": false, "resumable": false}],
 "services": [{"name": "notifier", "healthCheckPath": "/health", "maxConnections": 110}],
 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 100000, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
 "tenants": [{"name": "verona", "apiKeys": ["k1"], "priority": 1}]}"#;

#[derive(Default)]
struct Counts {
    sent: AtomicU32,
    whole: AtomicU32,
    failed: AtomicU32,
    cut: AtomicU32,
    next: AtomicU32,
}

pub fn run(record: &Record, trouble: bool) -> bool {
    let folder = folder();
    let store = Store::start();
    store.put("op/config", CONFIG);
    let start = |number: u32, id: &str| {
        let unframed = if number < UNFRAMED_RUNNERS {
            UNFRAMED_SHARE
        } else {
            "0"
        };
        Runner::start(
            &store,
            record,
            id,
            "notifier",
            SLOTS,
            &[unframed, WORK_MS, "0", "0"],
        )
    };
    let mut runners: Vec<Runner> = (0..RUNNERS)
        .map(|number| start(number, &format!("i-{number}")))
        .collect();
    let ip = gateway_ip(0);
    let gateway = Gateway::start(&folder, &ip, &[ip.clone()], &store);
    gateway.wait_until_ready();
    std::thread::sleep(Duration::from_millis(500));
    let counts = Arc::new(Counts::default());
    let stop = Arc::new(AtomicBool::new(false));
    let address = gateway.callers();
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            let (counts, stop, record) = (Arc::clone(&counts), Arc::clone(&stop), record.clone());
            std::thread::spawn(move || {
                let mut link = None;
                while !stop.load(Ordering::Relaxed) {
                    call(address, &mut link, &counts, &record);
                    std::thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(2));
    for crash in 0..CRASHES {
        let garbled = |runners: &mut Vec<Runner>, on| {
            record.line(&format!("a part of the answers has no length: {on}"));
            runners
                .iter_mut()
                .take(UNFRAMED_RUNNERS as usize)
                .for_each(|runner| runner.set_unframed(on));
        };
        garbled(&mut runners, true);
        std::thread::sleep(BEFORE);
        let place = (crash % UNFRAMED_RUNNERS) as usize;
        let crashed_at = Instant::now();
        if trouble {
            record.line(&format!("runner {} crashes", runners[place].id));
            runners[place].crash();
        }
        std::thread::sleep(GARBLED - BEFORE);
        garbled(&mut runners, false);
        std::thread::sleep(ENTRY_GONE.saturating_sub(crashed_at.elapsed()));
        if trouble {
            store.remove(&format!("servers/{}", runners[place].id));
        }
        std::thread::sleep(AWAY.saturating_sub(crashed_at.elapsed()));
        if trouble {
            runners[place] = start(place as u32, &format!("i-{place}-{crash}"));
        }
        std::thread::sleep(BETWEEN);
    }
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    drop(gateway);
    drop(runners);
    let _ = std::fs::remove_dir_all(folder);
    let count = |count: &AtomicU32| count.load(Ordering::Relaxed);
    record.tell(&format!(
        "{} requests sent; whole answers {}, failures {}, cut answers that look whole {}",
        count(&counts.sent),
        count(&counts.whole),
        count(&counts.failed),
        count(&counts.cut)
    ));
    if count(&counts.whole) * 2 < count(&counts.sent) {
        crate::fleet::unable("most requests were not served");
    }
    count(&counts.cut) == 0
}

fn call(address: SocketAddr, link: &mut Option<Link>, counts: &Counts, record: &Record) {
    let id = format!("{:016x}", 0x1000 + counts.next.fetch_add(1, Ordering::Relaxed));
    let request = format!(
        "POST /push/a HTTP/1.1\r\nHost: shop.example\r\nBarleyspool-Attempt-Id: {id}\r\nBarleyspool-Deadline-Ms: 3000\r\nBarleyspool-Key: k1\r\nContent-Length: 2\r\n\r\nhi"
    );
    counts.sent.fetch_add(1, Ordering::Relaxed);
    record.line(&format!("sent {id}"));
    let Some(answer) = exchange_kept(address, link, &request, Duration::from_secs(5)) else {
        counts.failed.fetch_add(1, Ordering::Relaxed);
        record.line(&format!("answered {id}: the connection ended"));
        return;
    };
    let looks_whole = answer.status() == 200 && answer.whole;
    let is_whole = answer.text() == body_of(&id);
    let seal = answer
        .header("barleyspool-response-seal")
        .unwrap_or("none")
        .to_owned();
    let verdict = match (looks_whole, is_whole) {
        (true, true) => {
            counts.whole.fetch_add(1, Ordering::Relaxed);
            "whole"
        }
        (true, false) => {
            counts.cut.fetch_add(1, Ordering::Relaxed);
            "BROKEN: looks whole and is not"
        }
        (false, _) => {
            counts.failed.fetch_add(1, Ordering::Relaxed);
            "failed"
        }
    };
    let length = answer.header("content-length").unwrap_or("none").to_owned();
    record.line(&format!(
        "answered {id}: {} with {} bytes, content-length {length}, seal {seal}: {verdict}",
        answer.status(),
        answer.body.len()
    ));
}
