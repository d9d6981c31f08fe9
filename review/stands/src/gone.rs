//! Clients leave while the gateway takes up their streams at another runner.

use crate::client::Stream;
use crate::deployment::Deployment;
use crate::record::now_ms;
use crate::runner::Options;
use crate::{Verdict, arrivals};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::{self, sleep};
use std::time::Duration;

const CONFIG: &str = r#"{"version":7,
"routes":[{"name":"digest","host":"shop.example","pathPrefix":"/digest/","type":"streaming","timeoutMs":8000,
 "targetLatencyMs":1600,"priority":0,"service":"llm","maxAttempts":2,
 "stages":[{"service":"ingest","sinceRevision":[],"bytes":8000},
  {"service":"symbolicate","sinceRevision":[0],"bytes":60000},
  {"service":"dashboard","sinceRevision":[1],"bytes":6000}],
 "public":false,"sessionAffinity":true,"resumable":true,"gapAimMs":200}],
"services":[{"name":"llm","healthCheckPath":"/health","maxConnections":370,"protocol":"h1","tls":false,
  "engine":{"slots":64,"kvCapacityTokens":614608,"kvTokenBytes":163840,"linkMbps":1100000.0,"moves":false,"backups":false,
   "stride":5,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{"name":"m"}]}},
 {"name":"ingest","healthCheckPath":"/health","maxConnections":370,"protocol":"h1","tls":false,
  "pieces":{"slots":1,"queue":2,"batch":8,"callMs":200.0,"itemMs":21.0,"headroomMb":18.0,"handleS":4.0,"linkMbps":10000}},
 {"name":"symbolicate","healthCheckPath":"/health","maxConnections":370,"protocol":"h1","tls":false,
  "pieces":{"slots":1,"queue":2,"batch":24,"callMs":200.0,"itemMs":7.1,"headroomMb":3.1,"handleS":4.0,"linkMbps":10000}},
 {"name":"dashboard","healthCheckPath":"/health","maxConnections":370,"protocol":"h1","tls":false,
  "pieces":{"slots":1,"queue":2,"batch":40,"callMs":200.0,"itemMs":4.3,"headroomMb":0.52,"handleS":4.0,"linkMbps":10000}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"ministry","apiKeys":["k1"],"priority":1}]}"#;

const RUNNERS: usize = 4;
const STREAMS: usize = 40;
/// The largest share of the clients that may leave (`give_up`).
const LEAVING_SHARE: f64 = 0.3;
/// How late after the close of its client a request may still reach a runner.
const GRACE_MS: u64 = 500;
/// The rule allows a few such requests.
const A_FEW: usize = 5;

pub fn play(folder: &Path, trouble: bool) -> Result<Verdict, String> {
    let mut deployment = Deployment::new(folder, CONFIG)?;
    let engine = Options {
        kind: "stream".to_owned(),
        first_ms: 50,
        gap_ms: 150,
        events: 30,
        ..Options::default()
    };
    for _ in 0..RUNNERS {
        deployment.start_runner("llm", 64, &engine)?;
    }
    for (service, item_ms) in [("ingest", 21), ("symbolicate", 7), ("dashboard", 4)] {
        let stage = Options {
            kind: "stage".to_owned(),
            call_ms: 200,
            item_ms,
            ..Options::default()
        };
        for _ in 0..4 {
            deployment.start_runner(service, 1, &stage)?;
        }
    }
    deployment.start_gateways(2)?;

    let streams: Vec<Arc<Stream>> = (0..STREAMS)
        .map(|number| Arc::new(Stream::new(&format!("a{number:03}"))))
        .collect();
    let mut clients = Vec::new();
    for (number, stream) in streams.iter().enumerate() {
        let address = deployment.resolve().ok_or("the directory names no gateway")?;
        let request = format!(
            "POST /digest/{number} HTTP/1.1\r\nHost: shop.example\r\nBarleyspool-Attempt-Id: {}\r\n\
             Barleyspool-Model: m\r\nBarleyspool-Token-Counts: 400,150\r\nBarleyspool-Prefix-Hash: {number:x}:400\r\n\
             Barleyspool-Pieces: 1,1,1\r\nBarleyspool-Piece-Key: 7c1e{number:04x}\r\nBarleyspool-Deadline-Ms: 8000\r\n\
             Barleyspool-Key: k1\r\nContent-Length: 4\r\n\r\nbody",
            stream.id
        );
        let (stream, log) = (Arc::clone(stream), Arc::clone(&deployment.log));
        clients.push(thread::spawn(move || {
            stream.run(&log, &address, &request, 8000, 6400)
        }));
        sleep(Duration::from_millis(15));
    }
    let started = crate::deployment::wait_until(Duration::from_secs(4), || {
        streams
            .iter()
            .filter(|stream| !stream.seal.lock().unwrap().is_empty())
            .count()
            >= STREAMS * 9 / 10
    });
    if !started {
        return Err("the streams do not start".to_owned());
    }
    // The runner that most streams come from crashes, and the clients of its streams leave: at most three in ten of all.
    let on = |runner: &str| {
        streams
            .iter()
            .filter(|stream| *stream.seal.lock().unwrap() == runner)
            .count()
    };
    let number = (0..RUNNERS)
        .max_by_key(|number| on(&deployment.runners[*number].id))
        .unwrap_or(0);
    let id = deployment.runners[number].id.clone();
    let crashed_ms = now_ms();
    if trouble {
        deployment.crash_runner(number);
    }
    let most = (STREAMS as f64 * LEAVING_SHARE) as usize;
    let leaving: Vec<&Arc<Stream>> = streams
        .iter()
        .filter(|stream| *stream.seal.lock().unwrap() == id)
        .take(most)
        .collect();
    for stream in &leaving {
        stream.leave_at.store(crashed_ms + 50, Ordering::SeqCst);
    }
    for client in clients {
        let _ = client.join();
    }
    sleep(Duration::from_millis(500));

    let arrivals = arrivals(&deployment);
    let is_late = |stream: &&&Arc<Stream>| {
        let closed = stream.end_ms.load(Ordering::SeqCst);
        arrivals
            .iter()
            .any(|(time, id)| *id == stream.id && *time > closed + GRACE_MS)
    };
    let late = leaving.iter().filter(is_late).count();
    let summary = vec![
        format!(
            "{STREAMS} streams; {} clients left, all while {id} ran their streams",
            leaving.len()
        ),
        format!(
            "requests of clients that left that reached a runner over {GRACE_MS} ms later: {late} (more than {A_FEW} break GONE)"
        ),
    ];
    Ok(Verdict {
        held: late <= A_FEW,
        summary,
    })
}
