//! Answers that a target sends late, in the place of the answer to a later step on the same connection.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::print_stdout,
    reason = "a test panics where it fails"
)]

mod support;

use barleyspool_client::{Client, Job, JobOutcome};
use barleyspool_core::Time;
use barleyspool_wire::target::{LOAD_PATH, STEPS_PATH, StepReply, StepRequest, TargetReport};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use support::Cluster;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// The time of a step after the late answer, in which the next step arrives on the same connection.
const STEP_TIME: Duration = Duration::from_millis(150);
const JOBS: usize = 10;

/// Serves a target at `address` that, once, sends the answer to a step once more, in the place of the next answer.
async fn serve_with_late_answer(address: String) {
    let listener = TcpListener::bind(address).await.unwrap();
    let was_late = Arc::new(AtomicBool::new(false));
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve_connection(stream, Arc::clone(&was_late)));
    }
}

async fn serve_connection(mut stream: TcpStream, was_late: Arc<AtomicBool>) {
    let mut bytes = Vec::new();
    let mut previous: Option<Vec<u8>> = None;
    let mut step_time = Duration::ZERO;
    while let Some((path, body)) = read_request(&mut stream, &mut bytes).await {
        let answer = match path.as_str() {
            STEPS_PATH => {
                let step: StepRequest = serde_json::from_slice(&body).unwrap();
                let reply = StepReply {
                    echo: step.echo,
                    output: Some(step.input),
                    not_run: false,
                    leaving: false,
                    cooldown_ms: 0,
                    load: None,
                };
                json_answer(&reply)
            }
            LOAD_PATH => json_answer(&TargetReport::default()),
            _ => json_answer(&()),
        };
        if let Some(late) = previous.take()
            && !was_late.swap(true, Ordering::Relaxed)
        {
            stream.write_all(&late).await.unwrap();
            step_time = STEP_TIME;
        }
        tokio::time::sleep(step_time).await;
        if stream.write_all(&answer).await.is_err() {
            return;
        }
        previous = (path == STEPS_PATH).then_some(answer);
    }
}

fn json_answer(value: &impl serde::Serialize) -> Vec<u8> {
    let body = serde_json::to_string(value).unwrap();
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}")
        .into_bytes()
}

/// Reads the path and the body of the next request. `bytes` keeps data received beyond its end.
async fn read_request(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<(String, Vec<u8>)> {
    loop {
        let head_end = bytes.windows(4).position(|window| window == b"\r\n\r\n");
        if let Some(head_end) = head_end {
            let head = String::from_utf8_lossy(&bytes[..head_end]).to_lowercase();
            let length = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length:"))
                .map_or(0, |length| length.trim().parse().unwrap());
            let end = head_end + 4 + length;
            if bytes.len() >= end {
                let path = head.split(' ').nth(1)?.to_owned();
                let body = bytes[head_end + 4..end].to_vec();
                bytes.drain(..end);
                return Some((path, body));
            }
        }
        let mut buffer = [0; 4096];
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return None,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
        }
    }
}

// Guards against a connection that stays in use after a late answer, so that each later step gets the answer to the one before
// and its job ends with an unknown outcome.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_connection_with_a_late_answer_is_not_used_again() {
    let mut cluster = Cluster::start(1).await;
    let targets = cluster.deployment.fleet().targets.into_iter();
    let targets: Vec<_> = targets.filter(|target| target.service == "account").collect();
    for target in &targets {
        cluster.kill_target(target.id.0);
        tokio::spawn(serve_with_late_answer(target.address.clone()));
    }
    let client = Client::new(vec![cluster.deployment.entries[0].caller_address.clone()], "");
    let mut outcomes = Vec::new();
    for number in 0..JOBS {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let job = Job {
            key: format!("job-{number}"),
            organisation: "ministry-culture".to_owned(),
            pipeline: "account".to_owned(),
            deadline: Time((now + Duration::from_secs(2)).as_micros() as u64),
            unrepeatable: true,
            payload: Arc::from(format!("job-{number}").into_bytes()),
            prefix: String::new(),
        };
        let answer = client.run(&job).await;
        if answer.outcome == JobOutcome::Complete {
            assert_eq!(answer.data, job.payload.to_vec());
        }
        outcomes.push(answer.outcome);
    }
    let complete = outcomes
        .iter()
        .filter(|outcome| **outcome == JobOutcome::Complete)
        .count();
    // Only the step that meets the late answer of a target has an unknown outcome.
    assert!(complete + targets.len() >= JOBS, "{outcomes:?}");
}
