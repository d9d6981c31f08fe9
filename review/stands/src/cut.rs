//! A draining runner is gone in the middle of its answers, and answers without a length look complete to their clients.

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
"routes":[{"name":"summary","host":"shop.example","pathPrefix":"/summary/","type":"streaming","timeoutMs":12000,
 "targetLatencyMs":1600,"priority":0,"service":"llm","maxAttempts":1,"stages":[],
 "public":false,"sessionAffinity":true,"resumable":false,"gapAimMs":200}],
"services":[{"name":"llm","healthCheckPath":"/health","maxConnections":370,"protocol":"h1","tls":false,
  "engine":{"slots":64,"kvCapacityTokens":614608,"kvTokenBytes":163840,"linkMbps":1100000.0,"moves":false,"backups":false,
   "stride":5,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{"name":"m"}]}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"ministry","apiKeys":["k1"],"priority":1}]}"#;

const RUNNERS: usize = 6;
const STREAMS: usize = 300;
const EVENTS: u64 = 40;
/// The runners that give answers without a length.
const GARBLED: usize = 3;
/// One answer in 20 of theirs carries none.
const UNFRAMED_EVERY: u64 = 20;
/// How long after its notice the runner is gone.
const NOTICE: Duration = Duration::from_secs(2);

pub fn play(folder: &Path, trouble: bool) -> Result<Verdict, String> {
    let mut deployment = Deployment::new(folder, CONFIG)?;
    let engine = Options {
        kind: "stream".to_owned(),
        first_ms: 50,
        gap_ms: 150,
        events: EVENTS,
        ..Options::default()
    };
    for number in 0..RUNNERS {
        let unframed_every = if number < GARBLED { UNFRAMED_EVERY } else { 0 };
        let engine = Options {
            unframed_every,
            ..engine.clone()
        };
        deployment.start_runner("llm", 64, &engine)?;
    }
    deployment.start_gateways(2)?;

    let streams: Vec<Arc<Stream>> = (0..STREAMS)
        .map(|number| Arc::new(Stream::new(&format!("e{number:03}"))))
        .collect();
    let mut clients = Vec::new();
    for (number, stream) in streams.iter().enumerate() {
        let address = deployment.resolve().ok_or("the directory names no gateway")?;
        let request = format!(
            "POST /summary/{number} HTTP/1.1\r\nHost: shop.example\r\nBarleyspool-Attempt-Id: {}\r\n\
             Barleyspool-Model: m\r\nBarleyspool-Token-Counts: 400,200\r\nBarleyspool-Prefix-Hash: {number:x}:400\r\n\
             Barleyspool-Deadline-Ms: 12000\r\nBarleyspool-Key: k1\r\nContent-Length: 4\r\n\r\nbody",
            stream.id
        );
        let (stream, log) = (Arc::clone(stream), Arc::clone(&deployment.log));
        clients.push(thread::spawn(move || {
            stream.run(&log, &address, &request, 12_000, 6400)
        }));
        sleep(Duration::from_millis(8));
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
    let on = |runner: &str| {
        streams
            .iter()
            .filter(|stream| *stream.seal.lock().unwrap() == runner)
            .count()
    };
    let busiest = (0..GARBLED)
        .max_by_key(|number| on(&deployment.runners[*number].id))
        .unwrap_or(0);
    if trouble {
        deployment.drain_runner(busiest);
        sleep(NOTICE);
        deployment.end_runner(busiest);
    }
    for client in clients {
        let _ = client.join();
    }

    let complete: Vec<&Arc<Stream>> = streams
        .iter()
        .filter(|stream| stream.complete.load(Ordering::SeqCst))
        .collect();
    let cut = complete
        .iter()
        .filter(|stream| stream.events.load(Ordering::SeqCst) < EVENTS);
    let cut: Vec<String> = cut
        .map(|stream| format!("{} ({} events)", stream.id, stream.events.load(Ordering::SeqCst)))
        .collect();
    let summary = vec![
        format!(
            "{STREAMS} streams of {EVENTS} events; {} ended as complete",
            complete.len()
        ),
        format!(
            "ended as complete with fewer events (one breaks ORDER): {}",
            cut.join(", ")
        ),
    ];
    Ok(Verdict {
        held: cut.is_empty(),
        summary,
    })
}
