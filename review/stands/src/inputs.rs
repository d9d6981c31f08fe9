//! A pool is split while answers of its runners are still to come a second time, and requests get each other's results.

use crate::client::Stream;
use crate::deployment::Deployment;
use crate::runner::Options;
use crate::{Verdict, event};
use std::collections::{HashMap, HashSet};
use std::path::Path;
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::Duration;

const CONFIG: &str = r#"{"version":7,
"routes":[{"name":"digest","host":"shop.example","pathPrefix":"/digest/","type":"streaming","timeoutMs":8000,
 "targetLatencyMs":1600,"priority":0,"service":"llm","maxAttempts":1,
 "stages":[{"service":"ingest","sinceRevision":[],"bytes":8000},
  {"service":"symbolicate","sinceRevision":[0],"bytes":60000}],
 "public":false,"sessionAffinity":true,"resumable":false,"gapAimMs":200}],
"services":[{"name":"llm","healthCheckPath":"/health","maxConnections":370,"protocol":"h1","tls":false,
  "engine":{"slots":64,"kvCapacityTokens":614608,"kvTokenBytes":163840,"linkMbps":1100000.0,"moves":false,"backups":false,
   "stride":5,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{"name":"m"}]}},
 {"name":"ingest","healthCheckPath":"/health","maxConnections":370,"protocol":"h1","tls":false,
  "pieces":{"slots":1,"queue":2,"batch":8,"callMs":150.0,"itemMs":16.0,"headroomMb":39.0,"handleS":4.0,"linkMbps":10000}},
 {"name":"symbolicate","healthCheckPath":"/health","maxConnections":370,"protocol":"h1","tls":false,
  "pieces":{"slots":1,"queue":2,"batch":32,"callMs":150.0,"itemMs":4.0,"headroomMb":5.5,"handleS":4.0,"linkMbps":10000}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"ministry","apiKeys":["k1"],"priority":1}]}"#;

/// The runners of the first stage; with one more the gateways split their pool.
const INGEST: usize = 16;
/// Those that repeat answers: three of them one each at a change.
const GARBLED: usize = 9;
/// The number of requests before the first change of the runners, and after each.
const WARM_UP: usize = 500;
const AFTER: usize = 440;
const CHANGES: usize = 5;
/// The limits of `garble` "extra late": its length, and the share of answers that come twice meanwhile.
const GARBLE_MS: u64 = 5000;
const GARBLE_SHARE: f64 = 0.03;
/// The runner that was added drains for this many requests before it is gone: over 2 s.
const DRAIN_REQUESTS: usize = 160;
const PAUSE: Duration = Duration::from_millis(15);
/// The owner of a pool follows from the addresses of the gateways. On these the owner of the unsplit pool owns both of its shards.
const NETS: [&str; 6] = [
    "127.59.1",
    "127.59.9",
    "127.59.15",
    "127.59.18",
    "127.59.27",
    "127.59.36",
];

pub fn play(folder: &Path, trouble: bool) -> Result<Verdict, String> {
    let mut deployment = Deployment::at(folder, CONFIG, &NETS)?;
    let flag = deployment.folder.join("repeat");
    let engine = Options {
        kind: "stream".to_owned(),
        first_ms: 20,
        gap_ms: 20,
        events: 3,
        ..Options::default()
    };
    for _ in 0..2 {
        deployment.start_runner("llm", 64, &engine)?;
    }
    let ingest = Options {
        kind: "stage".to_owned(),
        call_ms: 150,
        item_ms: 16,
        ..Options::default()
    };
    let mut garbled = Vec::new();
    for number in 0..INGEST {
        let repeat_flag = if number < GARBLED {
            flag.display().to_string()
        } else {
            String::new()
        };
        let options = Options {
            repeat_flag,
            repeat_slot: number as u64,
            ..ingest.clone()
        };
        let runner = deployment.start_runner("ingest", 1, &options)?;
        if number < GARBLED {
            garbled.push(deployment.runners[runner].id.clone());
        }
    }
    for _ in 0..12 {
        let options = Options {
            item_ms: 4,
            ..ingest.clone()
        };
        deployment.start_runner("symbolicate", 1, &options)?;
    }
    deployment.start_gateways(2)?;

    let mut clients = Vec::new();
    let mut added = 0;
    for number in 0..WARM_UP + AFTER * CHANGES {
        let since_change = number.saturating_sub(WARM_UP) % AFTER;
        let change = number.saturating_sub(WARM_UP) / AFTER + 1;
        if trouble && number >= WARM_UP && since_change == 0 {
            deployment
                .log
                .write(&format!("trouble: change {change}, and some answers come twice"));
            std::fs::write(&flag, change.to_string()).map_err(|error| error.to_string())?;
            if change % 2 == 1 {
                added = deployment.start_runner("ingest", 1, &ingest)?;
            } else {
                deployment.end_runner(added);
            }
        }
        if trouble && change % 2 == 1 && since_change == AFTER - DRAIN_REQUESTS && change < CHANGES {
            deployment.drain_runner(added);
        }
        let address = deployment.resolve().ok_or("the directory names no gateway")?;
        let id = format!("f{number:04}");
        let request = format!(
            "POST /digest/{number} HTTP/1.1\r\nHost: shop.example\r\nBarleyspool-Attempt-Id: {id}\r\n\
             Barleyspool-Model: m\r\nBarleyspool-Token-Counts: 100,15\r\nBarleyspool-Prefix-Hash: {number:x}:100\r\n\
             Barleyspool-Pieces: 1,1\r\nBarleyspool-Piece-Key: 7c1e{number:04x}\r\nBarleyspool-Deadline-Ms: 8000\r\n\
             Barleyspool-Key: k1\r\nContent-Length: 4\r\n\r\nbody"
        );
        let log = Arc::clone(&deployment.log);
        clients.push(thread::spawn(move || {
            Stream::new(&id).run(&log, &address, &request, 8000, 6400)
        }));
        sleep(PAUSE);
    }
    for client in clients {
        let _ = client.join();
    }
    sleep(Duration::from_millis(300));

    let lines = deployment.events();
    let mut makers: HashMap<&str, &str> = HashMap::new();
    let mut results = 0;
    let (mut changes, mut answers, mut repeats) = (Vec::new(), HashSet::new(), Vec::new());
    for (time, words) in lines.iter().filter_map(|line| event(line)) {
        match words.as_slice() {
            ["trouble:", "change", ..] => changes.push(time),
            ["runner", runner, "makes", handle, "of", id] => {
                makers.insert(*handle, *id);
                results += 1;
                if garbled.iter().any(|id| id == runner) {
                    answers.insert((time, *runner));
                }
            }
            ["runner", _, "sends", ..] => repeats.push(time),
            _ => {}
        }
    }
    let share = largest_share(&changes, &answers, &repeats)?;
    let foreign: Vec<&String> = lines
        .iter()
        .filter(|line| match event(line).map(|(_, words)| words).as_deref() {
            Some(["runner", _, "fetches", handle, "for", id]) => makers.get(handle) != Some(id),
            _ => false,
        })
        .collect();
    let summary = vec![
        format!(
            "{results} results were made; {} answers came a second time, at most {share:.4} of those of the garbled runners in the {GARBLE_MS} ms after a change",
            repeats.len()
        ),
        format!(
            "inputs of another request that a runner received: {} (one breaks MIXED)",
            foreign.len()
        ),
        format!(
            "the first: {}",
            foreign.first().map_or("none", |line| line.as_str())
        ),
    ];
    Ok(Verdict {
        held: foreign.is_empty(),
        summary,
    })
}

/// The largest share of the answers of the garbled runners that came twice after a change. Fails beyond the limits of the site file.
fn largest_share(changes: &[u64], answers: &HashSet<(u64, &str)>, repeats: &[u64]) -> Result<f64, String> {
    let within = |start: u64, time: u64| (start..start + GARBLE_MS).contains(&time);
    if !repeats
        .iter()
        .all(|time| changes.iter().any(|start| within(*start, *time)))
    {
        return Err(format!(
            "an answer came twice later than {GARBLE_MS} ms after a change"
        ));
    }
    let share = |start: &u64| {
        let repeated = repeats.iter().filter(|time| within(*start, **time)).count();
        let all = answers.iter().filter(|(time, _)| within(*start, *time)).count();
        repeated as f64 / all.max(1) as f64
    };
    let largest = changes.iter().map(share).fold(0.0, f64::max);
    if largest > GARBLE_SHARE {
        return Err(format!("{largest:.4} of the answers came twice"));
    }
    Ok(largest)
}
