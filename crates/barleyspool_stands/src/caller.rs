//! Callers that check every answer: that it is their own, complete, and given once.

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

/// The most that a latency is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 120_000_000;

/// How a run of callers goes.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Entry nodes to ask first.
    pub seed_nodes: Vec<String>,
    /// How many requests.
    pub request_count: u32,
    /// How many a second.
    pub requests_per_s: f64,
    /// Seed of the mix.
    pub seed: u64,
    /// A recorded trace to drive instead of the mix; its arrivals and their times are kept.
    pub trace: Option<Trace>,
    /// Prefix of the keys, so that two runs do not share any.
    pub key_prefix: String,
    /// The client's behaviour.
    pub client: ClientSettings,
}

/// One request and how it ended.
#[derive(Clone, Debug)]
pub struct Record {
    /// What was asked.
    pub job: Job,
    /// Its class.
    pub class: String,
    /// What came.
    pub answer: Answer,
    /// How long it took.
    pub latency: Duration,
    /// What a whole answer of its own looks like.
    pub expected: Vec<u8>,
}

/// Counts of what must not happen, and of what may.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub struct CheckSummary {
    /// Requests.
    pub requests: usize,
    /// Complete answers.
    pub complete: usize,
    /// Refused as not run.
    pub refused: usize,
    /// Told "unknown": some of it ran or may have run, and it may not be sent again.
    pub unknown: usize,
    /// Without an outcome though it could have been sent elsewhere.
    pub lost: usize,
    /// Unrepeatable steps that began more than once.
    pub duplicated: usize,
    /// Complete answers that are not the caller's own.
    pub misdelivered: usize,
    /// Refused as not run though a target ran some of it.
    pub false_not_run: usize,
}

impl CheckSummary {
    /// Whether nothing happened that must not.
    pub fn has_no_violation(&self) -> bool {
        self.lost == 0 && self.duplicated == 0 && self.misdelivered == 0 && self.false_not_run == 0
    }
}

/// Sends a mix of requests and checks what comes; `progress` hears the number of ended ones.
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

/// A request that is going to be sent.
struct PlannedRequest {
    at: Duration,
    pipeline: String,
    organisation: String,
    deadline_ms: u64,
    unrepeatable: bool,
}

/// What is sent when: the arrivals of the trace, or the mix at a steady rate.
fn schedule(deployment: &Deployment, settings: &LoadSettings, random: &mut StdRng) -> Vec<PlannedRequest> {
    let unrepeatable = |pipeline: &str| {
        deployment
            .mix
            .iter()
            .any(|mix| mix.pipeline == pipeline && mix.unrepeatable)
    };
    if let Some(trace) = &settings.trace {
        let planned = |arrival: &crate::replay::Arrival| {
            let pipeline = trace.head.pipelines[arrival.pipeline].clone();
            PlannedRequest {
                at: Duration::from_millis(arrival.at_ms),
                organisation: trace.head.organisations[arrival.organisation].clone(),
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
// Judging

/// Judges the records by themselves and by what the targets logged.
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
            // A node's own word, or an unrepeatable request whose home died or hung with it: whether it ran
            // cannot be told, it must not be sent to anybody else, and its caller was told just that.
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

/// Whether a reason is one that a node gave, and not a broken connection.
fn is_node_reason(reason: &str) -> bool {
    barleyspool_core::Reason::ALL
        .iter()
        .any(|reason_code| reason_code.name() == reason)
}

/// A table line per pipeline: how many, how many complete, refused, unknown, and how long they took.
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

/// The 50th, 95th and 99th percentile in milliseconds.
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
