//! A stream that is taken up at a runner that is dark hangs beyond the timeout of its route.

use crate::Verdict;
use crate::client::Stream;
use crate::deployment::{Deployment, wait_until};
use crate::runner::Options;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::{self, sleep};
use std::time::Duration;

const CONFIG: &str = r#"{"version":7,
"routes":[{"name":"chat","host":"shop.example","pathPrefix":"/chat/","type":"streaming","timeoutMs":6000,
 "targetLatencyMs":1600,"priority":0,"service":"llm","maxAttempts":2,"stages":[],
 "public":false,"sessionAffinity":true,"resumable":true,"gapAimMs":200}],
"services":[{"name":"llm","healthCheckPath":"/health","maxConnections":370,"protocol":"h1","tls":false,
  "engine":{"slots":64,"kvCapacityTokens":614608,"kvTokenBytes":163840,"linkMbps":1100000.0,"moves":false,"backups":false,
   "stride":5,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{"name":"m"}]}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"ministry","apiKeys":["k1"],"priority":1}]}"#;

const RUNNERS: usize = 8;
const STREAMS: usize = 256;
/// How long the runner is dark.
const DARK: Duration = Duration::from_millis(4500);
const TIMEOUT_MS: u64 = 6000;
const GRACE_MS: u64 = 500;
/// The rule is broken by this many requests without an answer, if they are also more than a quarter.
const MANY: usize = 8;

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
    deployment.start_gateways(2)?;

    let streams: Vec<Arc<Stream>> = (0..STREAMS)
        .map(|number| Arc::new(Stream::new(&format!("b{number:03}"))))
        .collect();
    let mut clients = Vec::new();
    for (number, stream) in streams.iter().enumerate() {
        let address = deployment.resolve().ok_or("the directory names no gateway")?;
        let request = format!(
            "POST /chat/{number} HTTP/1.1\r\nHost: shop.example\r\nBarleyspool-Attempt-Id: {}\r\n\
             Barleyspool-Model: m\r\nBarleyspool-Token-Counts: 100,150\r\nBarleyspool-Prefix-Hash: {number:x}:100\r\n\
             Barleyspool-Deadline-Ms: 12000\r\nBarleyspool-Key: k1\r\nContent-Length: 4\r\n\r\nbody",
            stream.id
        );
        let (stream, log) = (Arc::clone(stream), Arc::clone(&deployment.log));
        clients.push(thread::spawn(move || {
            stream.run(&log, &address, &request, 12_000, 6400)
        }));
        sleep(Duration::from_millis(10));
    }
    let started = wait_until(Duration::from_secs(3), || {
        streams
            .iter()
            .filter(|stream| !stream.seal.lock().unwrap().is_empty())
            .count()
            >= STREAMS * 9 / 10
    });
    if !started {
        return Err("the streams do not start".to_owned());
    }
    // A runner is added, and goes dark. Then one that runs streams crashes.
    let added = deployment.start_runner("llm", 64, &engine)?;
    sleep(Duration::from_millis(1000));
    let on = |runner: &str| {
        streams
            .iter()
            .filter(|stream| *stream.seal.lock().unwrap() == runner)
            .count()
    };
    let busiest = (0..RUNNERS)
        .max_by_key(|number| on(&deployment.runners[*number].id))
        .unwrap_or(0);
    if trouble {
        deployment.darken_runner(added, DARK);
        deployment.crash_runner(busiest);
    }
    for client in clients {
        let _ = client.join();
    }

    let (mut past, mut late) = (0, 0);
    for stream in &streams {
        let sent = stream.sent_ms.load(Ordering::SeqCst);
        let took = stream.end_ms.load(Ordering::SeqCst).saturating_sub(sent);
        past += usize::from(took > TIMEOUT_MS);
        late += usize::from(took > TIMEOUT_MS + GRACE_MS);
    }
    let summary = vec![
        format!("{STREAMS} streams on a route with timeoutMs {TIMEOUT_MS}"),
        format!(
            "without a final answer at timeoutMs: {past}; {GRACE_MS} ms later still: {late} ({MANY} or more, and more than a quarter, break CONFIG)"
        ),
    ];
    Ok(Verdict {
        held: late < MANY || late * 4 <= past,
        summary,
    })
}
