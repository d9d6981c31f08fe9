//! Load generator that checks every answer: it must be complete, belong to its request and have run at most once.

use crate::deployment::Deployment;
use crate::replay::Trace;
use crate::run_log::{self, RunRecord};
use barleyspool_client::{Answer, Client, ClientSettings, Job, JobOutcome};
use barleyspool_core::{Span, Time};
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Upper bound of the latency histogram. Longer latencies are recorded as this value.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Settings of a load run.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Caller addresses of the entry nodes that clients know at first.
    pub seed_nodes: Vec<String>,
    /// Number of requests.
    pub request_count: u32,
    /// Rate of the requests.
    pub requests_per_s: f64,
    /// Seed of the random choice of requests and payloads.
    pub seed: u64,
    /// Recorded trace to send instead of the deployment's mix, with its arrival times.
    pub trace: Option<Trace>,
    /// Prefix of the request keys, so that two runs do not share keys.
    pub key_prefix: String,
    /// Settings of the clients.
    pub client: ClientSettings,
}

/// A request and its outcome.
#[derive(Clone, Debug)]
pub struct Record {
    /// The request.
    pub job: Job,
    /// Class of the pipeline.
    pub class: String,
    /// Answer to the request.
    pub answer: Answer,
    /// Time from the submission to the outcome, including retries.
    pub latency: Duration,
    /// Data of the correct complete answer.
    pub expected: Vec<u8>,
}

/// Counts of allowed outcomes and of violated guarantees.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub struct CheckSummary {
    /// All requests.
    pub requests: usize,
    /// Complete answers with the data of their request.
    pub complete: usize,
    /// Requests refused as not run. `barleyspool-stand-caller` prints the sum of these and the unknown ones as refused.
    pub refused: usize,
    /// Requests reported as unknown, which are not among the refused ones here: a part may have run, and they must not
    /// be sent again.
    pub unknown: usize,
    /// Repeatable requests for which no node reported an outcome. Such a request could have been sent to another node.
    pub lost: usize,
    /// Unrepeatable steps that started more than once.
    pub duplicated: usize,
    /// Complete answers whose data does not belong to the request.
    pub misdelivered: usize,
    /// Requests refused as not run although a target ran a part of them.
    pub false_not_run: usize,
}

impl CheckSummary {
    /// Whether no guarantee was violated.
    pub fn has_no_violation(&self) -> bool {
        self.lost == 0 && self.duplicated == 0 && self.misdelivered == 0 && self.false_not_run == 0
    }
}

/// Sends the requests and records their answers. Calls `progress` with the number of finished requests.
pub async fn run_load(
    deployment: &Deployment,
    settings: &LoadSettings,
    progress: impl Fn(usize) + Send + Sync + 'static,
) -> Vec<Record> {
    let clients: Vec<Arc<Client>> = deployment
        .zones
        .iter()
        .map(|zone| {
            let client = Client::new(settings.seed_nodes.clone(), zone);
            Arc::new(client.with_settings(settings.client.clone()))
        })
        .collect();
    let mut random = StdRng::seed_from_u64(settings.seed);
    let progress = Arc::new(progress);
    let finished = Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let start = tokio::time::Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    for (nth, planned) in schedule(deployment, settings, &mut random)
        .into_iter()
        .enumerate()
    {
        tokio::time::sleep_until(start + planned.at).await;
        let (job, class, expected) = build_job(
            deployment,
            &planned,
            format!("{}-{nth}", settings.key_prefix),
            &mut random,
        );
        let client = Arc::clone(&clients[nth % clients.len()]);
        let (progress, finished) = (Arc::clone(&progress), Arc::clone(&finished));
        tasks.spawn(async move {
            let started = tokio::time::Instant::now();
            let answer = client.run(&job).await;
            progress(finished.fetch_add(1, std::sync::atomic::Ordering::Relaxed) + 1);
            Record {
                job,
                class,
                answer,
                latency: started.elapsed(),
                expected,
            }
        });
    }
    tasks.join_all().await
}

/// A request that is scheduled to be sent.
struct PlannedRequest {
    at: Duration,
    pipeline: String,
    organisation: String,
    deadline_ms: u64,
    unrepeatable: bool,
}

/// Schedules the arrivals of the trace, or the deployment's mix at a constant rate.
fn schedule(deployment: &Deployment, settings: &LoadSettings, random: &mut StdRng) -> Vec<PlannedRequest> {
    let unrepeatable = |pipeline: &str| {
        deployment
            .mix
            .iter()
            .any(|mix| mix.pipeline == pipeline && mix.unrepeatable)
    };
    if let Some(trace) = &settings.trace {
        let planned = |arrival: &crate::replay::Arrival| {
            let pipeline = trace.header.pipelines[arrival.pipeline].clone();
            PlannedRequest {
                at: Duration::from_millis(arrival.at_ms),
                organisation: trace.header.organisations[arrival.organisation].clone(),
                deadline_ms: arrival.deadline_ms,
                unrepeatable: unrepeatable(&pipeline),
                pipeline,
            }
        };
        return trace.arrivals.iter().map(planned).collect();
    }
    let planned = |nth: u32| {
        let mix = &deployment.mix[deployment.pick_mix(random)];
        let organisation = random.random_range(0..deployment.organisations.len());
        PlannedRequest {
            at: Duration::from_secs_f64(f64::from(nth) / settings.requests_per_s),
            pipeline: mix.pipeline.clone(),
            organisation: deployment.organisations[organisation].name.clone(),
            deadline_ms: mix.deadline_ms,
            unrepeatable: mix.unrepeatable,
        }
    };
    (0..settings.request_count).map(planned).collect()
}

fn build_job(
    deployment: &Deployment,
    planned: &PlannedRequest,
    key: String,
    random: &mut StdRng,
) -> (Job, String, Vec<u8>) {
    let organisation = &planned.organisation;
    let payload = format!(
        "{key}|{organisation}|{}",
        "x".repeat(random.random_range(16..400))
    );
    let pipeline = deployment
        .pipelines
        .iter()
        .find(|pipeline| pipeline.name == planned.pipeline);
    let stages = pipeline
        .map(|pipeline| pipeline.stages.as_slice())
        .unwrap_or_default();
    let expected = stages.iter().fold(payload.clone(), |inner, stage| {
        format!("{}({inner})", stage.service)
    });
    let class = pipeline
        .map(|pipeline| pipeline.class.clone())
        .unwrap_or_default();
    let job = Job {
        key,
        organisation: organisation.clone(),
        pipeline: planned.pipeline.clone(),
        deadline: unix_time() + Span::from_millis(planned.deadline_ms),
        unrepeatable: planned.unrepeatable,
        payload: Arc::from(payload.into_bytes()),
        prefix: String::new(),
    };
    (job, class, expected.into_bytes())
}

// ----------------------------------------------------------------------------
// Checks

/// Checks the records by themselves and against the run logs of the targets.
pub fn check_records(records: &[Record], run_records: &[RunRecord]) -> CheckSummary {
    let started_keys: std::collections::HashSet<&str> = run_records
        .iter()
        .filter(|run| run.event == run_log::RunEvent::Started)
        .map(|run| run.key.as_str())
        .collect();
    let mut summary = CheckSummary {
        requests: records.len(),
        ..CheckSummary::default()
    };
    for record in records {
        match &record.answer.outcome {
            JobOutcome::Complete if record.answer.data != record.expected => summary.misdelivered += 1,
            JobOutcome::Complete => summary.complete += 1,
            JobOutcome::NotRun { .. } => {
                summary.refused += 1;
                summary.false_not_run += usize::from(started_keys.contains(record.job.key.as_str()));
            }
            // Either a node reported the reason, or the node that held an unrepeatable request crashed or hung.
            // Such a request may have run and must not be sent to another node, so "unknown" is the correct outcome.
            JobOutcome::Unknown { reason } if is_node_reason(reason) || record.job.unrepeatable => {
                summary.unknown += 1;
            }
            JobOutcome::Unknown { .. } => summary.lost += 1,
        }
    }
    summary.duplicated = run_log::count_unrepeatable_runs(run_records)
        .values()
        .filter(|runs| **runs > 1)
        .count();
    summary
}

/// Whether a reason was reported by a node, in contrast to a connection error.
fn is_node_reason(reason: &str) -> bool {
    barleyspool_core::Reason::ALL
        .iter()
        .any(|reason_code| reason_code.name() == reason)
}

/// Formats a table with the outcomes and the latency percentiles of complete answers, one line per pipeline.
pub fn summary_table(records: &[Record]) -> String {
    let mut groups: BTreeMap<(&str, &str), Vec<&Record>> = BTreeMap::new();
    for record in records {
        groups
            .entry((&record.class, &record.job.pipeline))
            .or_default()
            .push(record);
    }
    let mut text = format!(
        "{:<12} {:<18} {:>6} {:>9} {:>8} {:>8} {:>8} {:>8} {:>8}\n",
        "class", "pipeline", "sent", "complete", "not run", "unknown", "p50 ms", "p95 ms", "p99 ms"
    );
    for ((class, pipeline), records) in groups {
        let count = |matches: fn(&JobOutcome) -> bool| {
            records
                .iter()
                .filter(|record| matches(&record.answer.outcome))
                .count()
        };
        let complete = records
            .iter()
            .filter(|record| record.answer.outcome == JobOutcome::Complete);
        let [p50, p95, p99] = percentiles(complete.map(|record| record.latency));
        text += &format!(
            "{class:<12} {pipeline:<18} {:>6} {:>9} {:>8} {:>8} {p50:>8.1} {p95:>8.1} {p99:>8.1}\n",
            records.len(),
            count(|outcome| *outcome == JobOutcome::Complete),
            count(|outcome| matches!(outcome, JobOutcome::NotRun { .. })),
            count(|outcome| matches!(outcome, JobOutcome::Unknown { .. })),
        );
    }
    text
}

/// The 50th, 95th and 99th percentiles in milliseconds.
pub fn percentiles(times: impl Iterator<Item = Duration>) -> [f64; 3] {
    let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, 3) else {
        return [0.0; 3];
    };
    for time in times {
        histogram.saturating_record(time.as_micros() as u64);
    }
    [0.5, 0.95, 0.99].map(|quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0)
}

fn unix_time() -> Time {
    Time(
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_micros() as u64,
    )
}
