//! Callers that check every answer: that it is their own, complete, and given once.

use crate::deployment::Deployment;
use crate::replay::Trace;
use crate::run_log::{self, RunLine};
use barleyspool_client::{Answer, Client, ClientSettings, Job, JobOutcome};
use barleyspool_core::{Span, Time};
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The most that a latency is told apart, in microseconds.
const MOST_US: u64 = 120_000_000;

/// How a run of callers goes.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// Entry nodes to ask first.
    pub seeds: Vec<String>,
    /// How many requests.
    pub requests: u32,
    /// How many a second.
    pub rate: f64,
    /// Seed of the mix.
    pub seed: u64,
    /// A recorded trace to drive instead of the mix; its arrivals and their times are kept.
    pub trace: Option<Trace>,
    /// Prefix of the keys, so that two runs do not share any.
    pub prefix: String,
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
    pub took: Duration,
    /// What a whole answer of its own looks like.
    pub wanted: Vec<u8>,
}

/// Counts of what must not happen, and of what may.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdicts {
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
    pub doubled: usize,
    /// Complete answers that are not the caller's own.
    pub misdelivered: usize,
    /// Refused as not run though a target ran some of it.
    pub false_not_run: usize,
}

impl Verdicts {
    /// Whether nothing happened that must not.
    pub fn hold(&self) -> bool {
        self.lost == 0 && self.doubled == 0 && self.misdelivered == 0 && self.false_not_run == 0
    }
}

/// Sends a mix of requests and checks what comes; `progress` hears the number of ended ones.
pub async fn drive(
    deployment: &Deployment,
    settings: &CallerSettings,
    progress: impl Fn(usize) + Send + Sync + 'static,
) -> Vec<Record> {
    let clients: Vec<Arc<Client>> = deployment
        .zones
        .iter()
        .map(|zone| {
            let client = Client::new(settings.seeds.clone(), zone);
            Arc::new(client.with_settings(settings.client.clone()))
        })
        .collect();
    let mut random = StdRng::seed_from_u64(settings.seed);
    let progress = Arc::new(progress);
    let ended = Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let start = tokio::time::Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    for (nth, planned) in schedule(deployment, settings, &mut random)
        .into_iter()
        .enumerate()
    {
        tokio::time::sleep_until(start + planned.at).await;
        let (job, class, wanted) = job(
            deployment,
            &planned,
            format!("{}-{nth}", settings.prefix),
            &mut random,
        );
        let client = Arc::clone(&clients[nth % clients.len()]);
        let (progress, ended) = (Arc::clone(&progress), Arc::clone(&ended));
        tasks.spawn(async move {
            let begun = tokio::time::Instant::now();
            let answer = client.run(&job).await;
            progress(ended.fetch_add(1, std::sync::atomic::Ordering::Relaxed) + 1);
            Record {
                job,
                class,
                answer,
                took: begun.elapsed(),
                wanted,
            }
        });
    }
    tasks.join_all().await
}

/// A request that is going to be sent.
struct Planned {
    at: Duration,
    pipeline: String,
    organisation: String,
    deadline_ms: u64,
    unrepeatable: bool,
}

/// What is sent when: the arrivals of the trace, or the mix at a steady rate.
fn schedule(deployment: &Deployment, settings: &CallerSettings, random: &mut StdRng) -> Vec<Planned> {
    let unrepeatable = |pipeline: &str| {
        deployment
            .mix
            .iter()
            .any(|mix| mix.pipeline == pipeline && mix.unrepeatable)
    };
    if let Some(trace) = &settings.trace {
        let planned = |arrival: &crate::replay::Arrival| {
            let pipeline = trace.head.pipelines[arrival.pipeline].clone();
            Planned {
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
        let org = random.random_range(0..deployment.organisations.len());
        Planned {
            at: Duration::from_secs_f64(f64::from(nth) / settings.rate),
            pipeline: mix.pipeline.clone(),
            organisation: deployment.organisations[org].name.clone(),
            deadline_ms: mix.deadline_ms,
            unrepeatable: mix.unrepeatable,
        }
    };
    (0..settings.requests).map(planned).collect()
}

fn job(
    deployment: &Deployment,
    planned: &Planned,
    key: String,
    random: &mut StdRng,
) -> (Job, String, Vec<u8>) {
    let org = &planned.organisation;
    let payload = format!("{key}|{org}|{}", "x".repeat(random.random_range(16..400)));
    let pipeline = deployment
        .pipelines
        .iter()
        .find(|pipeline| pipeline.name == planned.pipeline);
    let stages = pipeline
        .map(|pipeline| pipeline.stages.as_slice())
        .unwrap_or_default();
    let wanted = stages.iter().fold(payload.clone(), |inner, stage| {
        format!("{}({inner})", stage.service)
    });
    let class = pipeline
        .map(|pipeline| pipeline.class.clone())
        .unwrap_or_default();
    let job = Job {
        key,
        organisation: org.clone(),
        pipeline: planned.pipeline.clone(),
        deadline: wall() + Span::from_millis(planned.deadline_ms),
        unrepeatable: planned.unrepeatable,
        payload: Arc::from(payload.into_bytes()),
        prefix: String::new(),
    };
    (job, class, wanted.into_bytes())
}

// ----------------------------------------------------------------------------
// Judging

/// Judges the records by themselves and by what the targets logged.
pub fn judge(records: &[Record], lines: &[RunLine]) -> Verdicts {
    let begun: std::collections::HashSet<&str> = lines
        .iter()
        .filter(|line| line.event == run_log::RunEvent::Begin)
        .map(|line| line.key.as_str())
        .collect();
    let mut verdicts = Verdicts {
        requests: records.len(),
        ..Verdicts::default()
    };
    for record in records {
        match &record.answer.outcome {
            JobOutcome::Complete if record.answer.data != record.wanted => verdicts.misdelivered += 1,
            JobOutcome::Complete => verdicts.complete += 1,
            JobOutcome::NotRun { .. } => {
                verdicts.refused += 1;
                verdicts.false_not_run += usize::from(begun.contains(record.job.key.as_str()));
            }
            // A node's own word, or an unrepeatable request whose home died or hung with it: whether it ran
            // cannot be told, it must not be sent to anybody else, and its caller was told just that.
            JobOutcome::Unknown { reason } if is_typed(reason) || record.job.unrepeatable => {
                verdicts.unknown += 1;
            }
            JobOutcome::Unknown { .. } => verdicts.lost += 1,
        }
    }
    verdicts.doubled = run_log::unrepeatable_runs(lines)
        .values()
        .filter(|runs| **runs > 1)
        .count();
    verdicts
}

/// Whether a reason is one that a node gave, and not a broken connection.
fn is_typed(reason: &str) -> bool {
    barleyspool_core::Reason::ALL
        .iter()
        .any(|known| known.name() == reason)
}

/// A table line per pipeline: how many, how many complete, refused, unknown, and how long they took.
pub fn table(records: &[Record]) -> String {
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
        let count = |wanted: fn(&JobOutcome) -> bool| {
            records
                .iter()
                .filter(|record| wanted(&record.answer.outcome))
                .count()
        };
        let complete = records
            .iter()
            .filter(|record| record.answer.outcome == JobOutcome::Complete);
        let [p50, p95, p99] = percentiles(complete.map(|record| record.took));
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
    let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, MOST_US, 3) else {
        return [0.0; 3];
    };
    for time in times {
        histogram.saturating_record(time.as_micros() as u64);
    }
    [0.5, 0.95, 0.99].map(|quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0)
}

fn wall() -> Time {
    Time(
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_micros() as u64,
    )
}
