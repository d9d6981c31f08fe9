//! A gateway stands still while a runner crashes and another one gets its address.

use crate::fleet::{folder, gateway_ip, unable, Gateway, Record, Runner};
use crate::http::Link;
use crate::store::Store;
use crate::target::event_of;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const RUNNERS: u32 = 7;
/// The runners of which a part of the answers has no length: less than the share of .5 that the pages name.
const UNFRAMED_RUNNERS: u32 = 3;
/// How many of a hundred answers of these have no length, as in a day of the site file.
const UNFRAMED_SHARE: &str = "5";
const SLOTS: u32 = 64;
const CALLERS: u32 = 350;
const EVENTS: u32 = 34;
const STREAM_MS: &str = "3400";
const ROUNDS: u32 = 8;
/// How long the gateway stands still.
const FREEZE: Duration = Duration::from_secs(4);
/// When the runner crashes, and when another one has its address, which `reuseAfterS` (2) allows 2 s after that.
const CRASH: Duration = Duration::from_millis(200);
const REUSE: Duration = Duration::from_millis(2300);
const ENTRY_GONE: Duration = Duration::from_millis(3800);
const BETWEEN: Duration = Duration::from_millis(1000);
/// A client gives a stream up after a gap of two seconds, four times the objective or eight times the pause, whichever is longest: the
/// second here.
const PATIENCE: Duration = Duration::from_millis(5600);
/// How long streams without a length begin before the gateway stands still: below the 5 s of the site file.
const GARBLED: Duration = Duration::from_millis(4500);

const CONFIG: &str = r#"{"version": 1, "routes": [
 {"name": "dedup-label", "host": "shop.example", "pathPrefix": "/label/", "type": "streaming", "timeoutMs": 12000,
  "targetLatencyMs": 1400, "priority": 2, "service": "labels", "maxAttempts": 1, "stages": [], "public": false,
  "sessionAffinity": false, "resumable": false}],
 "services": [{"name": "labels", "healthCheckPath": "/health", "maxConnections": 370},
  {"name": "archive", "healthCheckPath": "/health", "maxConnections": 110}],
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
    let start = |number: u32, id: &str, service: &str, port: &str| {
        let unframed = if number < UNFRAMED_RUNNERS {
            UNFRAMED_SHARE
        } else {
            "0"
        };
        Runner::start(
            &store,
            record,
            id,
            service,
            SLOTS,
            &[unframed, STREAM_MS, "34", port],
        )
    };
    let mut runners: Vec<Runner> = (0..RUNNERS)
        .map(|number| start(number, &format!("i-{number}"), "labels", "0"))
        .collect();
    let mut others = Vec::new();
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
                while !stop.load(Ordering::Relaxed) {
                    call(address, &counts, &record);
                    std::thread::sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(2));
    for round in 0..ROUNDS {
        let garbled = |runners: &mut Vec<Runner>, on| {
            record.line(&format!("a part of the streams has no length: {on}"));
            runners
                .iter_mut()
                .take(UNFRAMED_RUNNERS as usize)
                .for_each(|runner| runner.set_unframed(on));
        };
        garbled(&mut runners, true);
        std::thread::sleep(GARBLED);
        garbled(&mut runners, false);
        let begun = Instant::now();
        let wait = |until: Duration| std::thread::sleep(until.saturating_sub(begun.elapsed()));
        let number = round % UNFRAMED_RUNNERS;
        let place = number as usize;
        if trouble {
            record.line("the gateway stands still");
            gateway.process.signal("STOP");
            wait(CRASH);
            record.line(&format!("runner {} crashes", runners[place].id));
            runners[place].crash();
            wait(REUSE);
            let port = runners[place]
                .address
                .rsplit(':')
                .next()
                .unwrap_or("0")
                .to_owned();
            record.line(&format!(
                "a runner of another service gets the address {}",
                runners[place].address
            ));
            others.push(start(RUNNERS, &format!("a-{round}"), "archive", &port));
            wait(ENTRY_GONE);
            store.remove(&format!("servers/{}", runners[place].id));
            wait(FREEZE);
            record.line("the gateway goes on");
            gateway.process.signal("CONT");
        }
        wait(FREEZE + Duration::from_millis(500));
        if trouble {
            runners[place] = start(number, &format!("i-{number}-{round}"), "labels", "0");
        }
        wait(FREEZE + BETWEEN);
    }
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    drop((gateway, runners, others));
    let _ = std::fs::remove_dir_all(folder);
    let count = |count: &AtomicU32| count.load(Ordering::Relaxed);
    record.tell(&format!(
        "{} streams requested; whole {}, failed {}, cut ones that end as complete {}",
        count(&counts.sent),
        count(&counts.whole),
        count(&counts.failed),
        count(&counts.cut)
    ));
    if count(&counts.whole) * 2 < count(&counts.sent) {
        unable("most streams were not served");
    }
    count(&counts.cut) == 0
}

fn call(address: SocketAddr, counts: &Counts, record: &Record) {
    let id = format!("{:016x}", 0x1000 + counts.next.fetch_add(1, Ordering::Relaxed));
    let request = format!(
        "POST /label/a HTTP/1.1\r\nHost: shop.example\r\nBarleyspool-Attempt-Id: {id}\r\nBarleyspool-Deadline-Ms: 12000\r\nBarleyspool-Key: k1\r\nContent-Length: 2\r\n\r\nhi"
    );
    counts.sent.fetch_add(1, Ordering::Relaxed);
    record.line(&format!("sent {id}"));
    let answer = TcpStream::connect_timeout(&address, Duration::from_secs(5))
        .ok()
        .and_then(|stream| {
            let _ = stream.set_read_timeout(Some(PATIENCE));
            let mut link = Link::new(stream);
            link.write(request.as_bytes());
            link.answer()
        });
    let Some(answer) = answer else {
        counts.failed.fetch_add(1, Ordering::Relaxed);
        record.line(&format!("answered {id}: the connection ended"));
        return;
    };
    let whole: String = (1..=EVENTS).map(|number| event_of(&id, number)).collect();
    let events = answer.text().matches("\n\n").count();
    let verdict = if answer.status() != 200 || !answer.whole {
        counts.failed.fetch_add(1, Ordering::Relaxed);
        "failed or cut"
    } else if answer.text() == whole {
        counts.whole.fetch_add(1, Ordering::Relaxed);
        "whole"
    } else {
        counts.cut.fetch_add(1, Ordering::Relaxed);
        "BROKEN: ends as complete and is not"
    };
    let seal = answer
        .header("barleyspool-response-seal")
        .unwrap_or("none")
        .to_owned();
    record.line(&format!(
        "answered {id}: {}, {events} of {EVENTS} events, chunked to its end: {}, seal {seal}: {verdict}",
        answer.status(),
        answer.whole
    ));
}
