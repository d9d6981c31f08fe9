//! `barleyspool-bench`: measures the latency that one entry node adds to a call, and its throughput on one
//! traffic thread.
//!
//! The benchmark starts an entry node as a separate process, in front of a plain target that answers immediately,
//! all on the loopback interface. It runs for a bounded time and stops what it started.

use barleyspool_client::{Client, Job, JobOutcome};
use barleyspool_core::{Echo, Span, Time};
use barleyspool_stands::caller::percentiles;
use barleyspool_stands::deployment::Deployment;
use barleyspool_stands::platform::Platform;
use barleyspool_stands::process::{cpu_time, resident_bytes};
use barleyspool_stands::run_log::RunLog;
use barleyspool_stands::target::{Target, TargetSettings};
use barleyspool_wire::net;
use barleyspool_wire::rpc::AskRequest;
use barleyspool_wire::rpc::gateway_client::GatewayClient;
use barleyspool_wire::target::{Blob, STEPS_PATH, StepRequest};
use http_body_util::{BodyExt, Full};
use hyper::Request;
use std::error::Error;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

type BoxError = Box<dyn Error + Send + Sync>;

/// First port of the benchmark.
const BASE_PORT: u16 = 11_800;
/// Calls of the latency measurements, sent one after the other.
const SEQUENTIAL_CALLS: usize = 4_000;
/// Concurrent callers of the throughput measurements.
const CONCURRENT_CALLERS: usize = 64;
/// Duration of each throughput measurement.
const LOAD_DURATION: Duration = Duration::from_secs(5);

/// The entry process and its settings file. Dropping it kills the process and removes the file.
struct EntryProcess(Child, std::path::PathBuf);

impl Drop for EntryProcess {
    fn drop(&mut self) {
        // Fails if the process has already exited.
        let _ = self.0.kill();
        let _ = self.0.wait();
        let _ = std::fs::remove_file(&self.1);
    }
}

#[allow(clippy::print_stdout, reason = "the figures are this program's output")]
#[tokio::main(flavor = "multi_thread", worker_threads = 4)]
async fn main() -> Result<(), BoxError> {
    let mut deployment = Deployment::load(std::path::Path::new("settings/kirjakoda/deployment.json"))?;
    deployment.platform_address = format!("127.0.0.1:{BASE_PORT}");
    deployment.base_target_port = BASE_PORT + 20;
    deployment.entries.truncate(1);
    deployment.entries[0].caller_address = format!("127.0.0.1:{}", BASE_PORT + 1);
    deployment.entries[0].control_address = format!("127.0.0.1:{}", BASE_PORT + 2);
    deployment.entries[0].bulk_address = format!("127.0.0.1:{}", BASE_PORT + 3);
    deployment.targets.retain(|spec| spec.service == "reader");
    deployment.targets[0].count = 1;
    deployment.targets[0].slots = 1_000;
    deployment.pipelines.retain(|pipeline| pipeline.name == "page");
    deployment.services.retain(|service| service.name == "reader");
    deployment.placement.clear();
    tokio::spawn(Platform::new(&deployment).serve(net::listen(deployment.platform_address.parse()?)?));
    let target = start_target(&deployment)?;
    let started = Instant::now();
    let entry = start_entry(&deployment)?;
    let caller_address = deployment.entries[0].caller_address.clone();
    let client = Arc::new(Client::new(vec![caller_address.clone()], "tallinn-a"));
    while client.run(&test_job(0)).await.outcome != JobOutcome::Complete {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    println!(
        "first answer {:.2} s after the start of the entry node",
        started.elapsed().as_secs_f64()
    );
    println!(
        "resident, idle: {:.1} MB",
        resident_bytes(entry.0.id()) as f64 / 1e6
    );

    let direct = measure_direct(&target).await?;
    let through_entry = measure_through_entry(&client).await;
    let [direct_p50, _, direct_p99] = percentiles(direct.into_iter());
    let [entry_p50, _, entry_p99] = percentiles(through_entry.into_iter());
    println!(
        "{SEQUENTIAL_CALLS} calls one after the other: direct p50 {direct_p50:.3} ms p99 {direct_p99:.3} ms; through the entry p50 {entry_p50:.3} ms p99 {entry_p99:.3} ms"
    );
    println!(
        "added: p50 {:.3} ms, p99 {:.3} ms; ratio p50 {:.2}",
        entry_p50 - direct_p50,
        entry_p99 - direct_p99,
        entry_p50 / direct_p50
    );

    let before = cpu_time(entry.0.id());
    let (requests, elapsed) = measure_throughput(&client).await;
    let cpu_used = cpu_time(entry.0.id()) - before;
    println!(
        "{CONCURRENT_CALLERS} concurrent callers: {:.0} requests/s on one traffic thread, {:.0} us of CPU time each; resident {:.1} MB",
        requests as f64 / elapsed.as_secs_f64(),
        cpu_used.as_secs_f64() * 1e6 / requests as f64,
        resident_bytes(entry.0.id()) as f64 / 1e6
    );
    let asks_per_s = measure_ask_rate(&caller_address).await?;
    println!("{CONCURRENT_CALLERS} concurrent callers: {asks_per_s:.0} answers to Ask per second");
    Ok(())
}

fn start_target(deployment: &Deployment) -> Result<String, BoxError> {
    let (spec, node) = deployment
        .target(deployment.targets[0].first_id)
        .ok_or("no target")?;
    let settings = TargetSettings {
        id: node.id.0,
        service: spec.service.clone(),
        slots: spec.slots,
        service_time: Duration::ZERO,
        reports_load: true,
        engine: false,
        checks_fences: false,
        model_load_time: Duration::ZERO,
    };
    let target = Target::new(settings, RunLog::open(None, node.id.0)?, []);
    tokio::spawn(target.serve(net::listen(node.address.parse()?)?));
    Ok(node.address)
}

fn start_entry(deployment: &Deployment) -> Result<EntryProcess, BoxError> {
    let spec = &deployment.entries[0];
    let settings = serde_json::json!({
        "node": 1, "zone": spec.zone, "region": deployment.region, "callers": spec.caller_address,
        "control": spec.control_address, "bulk": spec.bulk_address, "operators": format!("127.0.0.1:{}", BASE_PORT + 4),
        "configuration": deployment.platform_address, "fleet": deployment.platform_address, "log_level": "error",
    });
    let file = std::env::temp_dir().join(format!("barleyspool-bench-{}.json", std::process::id()));
    std::fs::write(&file, settings.to_string())?;
    let binary = std::env::current_exe()?.with_file_name("barleyspool-entry");
    let child = Command::new(binary)
        .arg("--settings")
        .arg(&file)
        .stdin(Stdio::null())
        .spawn()?;
    Ok(EntryProcess(child, file))
}

fn test_job(nth: u64) -> Job {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_micros() as u64;
    Job {
        key: format!("b{nth}"),
        organisation: "tartu-labs".to_owned(),
        pipeline: "page".to_owned(),
        deadline: Time(now) + Span::from_millis(450),
        payload: Arc::from(vec![b'x'; 200]),
        ..Job::default()
    }
}

/// Latencies of the same step, sent directly to the target on one connection.
async fn measure_direct(address: &str) -> Result<Vec<Duration>, BoxError> {
    let stream = net::connect(address).await?;
    let io = hyper_util::rt::TokioIo::new(stream);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await?;
    tokio::spawn(connection);
    let mut times = Vec::with_capacity(SEQUENTIAL_CALLS);
    for nth in 0..SEQUENTIAL_CALLS as u64 {
        let step = StepRequest {
            echo: Echo {
                request: nth,
                ..Echo::default()
            },
            input: Blob(Arc::from(vec![b'x'; 200])),
            deadline_ms: u64::MAX,
            ..StepRequest::default()
        };
        let body = Full::new(bytes::Bytes::from(serde_json::to_vec(&step)?));
        let started = Instant::now();
        let request = Request::post(STEPS_PATH).header("host", address).body(body)?;
        sender.ready().await?;
        sender.send_request(request).await?.into_body().collect().await?;
        times.push(started.elapsed());
    }
    Ok(times)
}

/// Latencies of complete calls through the entry node, one after the other.
async fn measure_through_entry(client: &Client) -> Vec<Duration> {
    let mut times = Vec::with_capacity(SEQUENTIAL_CALLS);
    for nth in 1..=SEQUENTIAL_CALLS as u64 {
        let started = Instant::now();
        if client.run(&test_job(nth)).await.outcome == JobOutcome::Complete {
            times.push(started.elapsed());
        }
    }
    times
}

/// Number of complete calls of all concurrent callers, and the time that they took.
async fn measure_throughput(client: &Arc<Client>) -> (u64, Duration) {
    let count = Arc::new(AtomicU64::new(0));
    let started = Instant::now();
    let callers = (0..CONCURRENT_CALLERS as u64).map(|caller| {
        let (client, count) = (Arc::clone(client), Arc::clone(&count));
        tokio::spawn(async move {
            let mut nth = caller << 32;
            while started.elapsed() < LOAD_DURATION {
                nth += 1;
                if client.run(&test_job(nth)).await.outcome == JobOutcome::Complete {
                    count.fetch_add(1, Ordering::Relaxed);
                }
            }
        })
    });
    for caller in callers.collect::<Vec<_>>() {
        // A panic of a caller appears as a lower request count.
        let _ = caller.await;
    }
    (count.load(Ordering::Relaxed), started.elapsed())
}

/// Answers to Ask per second, for all concurrent callers on one connection.
async fn measure_ask_rate(callers: &str) -> Result<f64, BoxError> {
    let channel = tonic::transport::Endpoint::from_shared(format!("http://{callers}"))?
        .connect()
        .await?;
    let count = Arc::new(AtomicU64::new(0));
    let started = Instant::now();
    let tasks = (0..CONCURRENT_CALLERS).map(|_| {
        let (mut client, count) = (GatewayClient::new(channel.clone()), Arc::clone(&count));
        tokio::spawn(async move {
            while started.elapsed() < LOAD_DURATION {
                let request = AskRequest {
                    organisation: "tartu-labs".to_owned(),
                    ..AskRequest::default()
                };
                if client.ask(request).await.is_ok() {
                    count.fetch_add(1, Ordering::Relaxed);
                }
            }
        })
    });
    for task in tasks.collect::<Vec<_>>() {
        // A panic of a caller appears as a lower request count.
        let _ = task.await;
    }
    Ok(count.load(Ordering::Relaxed) as f64 / started.elapsed().as_secs_f64())
}
