//! The report of a replay: attainment, refusals, latency, and cost by stage.

use super::fake_targets::StageUsage;
use super::trace::{Bound, ExpectedOutcome, Measure, Trace};
use crate::caller::percentiles;
use crate::deployment::Deployment;
use barleyspool_core::{AttemptId, Call, CallerId, Outcome, Span, Time};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// The final outcome of a caller's request.
#[derive(Clone, Debug)]
pub struct FinalOutcome {
    /// When the request finished.
    pub at: Time,
    /// The outcome.
    pub outcome: Outcome,
}

/// One request of a replay.
#[derive(Clone, Debug)]
struct RequestRecord {
    class: String,
    pipeline: String,
    organisation: String,
    arrived_at: Time,
    deadline: Time,
    final_outcome: Option<FinalOutcome>,
    /// The services that worked on the request, with the slot time of each step.
    executions: Vec<(String, Span)>,
}

impl RequestRecord {
    fn completed_in_time(&self) -> bool {
        let complete =
            |final_outcome: &FinalOutcome| matches!(final_outcome.outcome, Outcome::Complete { .. });
        self.final_outcome
            .as_ref()
            .is_some_and(|final_outcome| complete(final_outcome) && final_outcome.at <= self.deadline)
    }
}

/// Statistics of a group of requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GroupStats {
    /// The number of requests.
    pub requests: usize,
    /// The number of requests completed before their deadline.
    pub completed_in_time: usize,
    /// The number of refusals by reason.
    pub refusals: BTreeMap<&'static str, usize>,
    /// The 50th, 95th and 99th percentile of the latency of requests completed in time, in milliseconds.
    pub latency_ms: [f64; 3],
}

impl GroupStats {
    /// The share of requests completed in time.
    pub fn attainment(&self) -> f64 {
        self.completed_in_time as f64 / self.requests.max(1) as f64
    }
}

/// The records of all requests of a replay, and the statistics computed from them.
#[derive(Clone, Debug)]
pub struct Report {
    class_by_pipeline: HashMap<String, String>,
    cost_by_service: BTreeMap<String, f64>,
    requests: BTreeMap<CallerId, RequestRecord>,
    caller_by_attempt: HashMap<AttemptId, CallerId>,
    calls_by_service: BTreeMap<String, u64>,
    decision_times: Vec<Duration>,
}

impl Report {
    /// Creates an empty report for a deployment.
    pub fn new(deployment: &Deployment) -> Self {
        let class = |pipeline: &barleyspool_core::Pipeline| (pipeline.name.clone(), pipeline.class.clone());
        Self {
            class_by_pipeline: deployment.pipelines.iter().map(class).collect(),
            cost_by_service: deployment
                .services
                .iter()
                .map(|service| (service.name.clone(), service.cost))
                .collect(),
            requests: BTreeMap::new(),
            caller_by_attempt: HashMap::new(),
            calls_by_service: BTreeMap::new(),
            decision_times: Vec::new(),
        }
    }

    pub(super) fn record_arrival(&mut self, caller: CallerId, now: Time, call: &Call) {
        let request = RequestRecord {
            class: self
                .class_by_pipeline
                .get(&call.pipeline)
                .cloned()
                .unwrap_or_default(),
            pipeline: call.pipeline.clone(),
            organisation: call.organisation.clone(),
            arrived_at: now,
            deadline: call.deadline,
            final_outcome: None,
            executions: Vec::new(),
        };
        self.requests.insert(caller, request);
    }

    pub(super) fn record_decision_time(&mut self, duration: Duration) {
        self.decision_times.push(duration);
    }

    pub(super) fn record_dispatch(&mut self, attempt: AttemptId, caller: CallerId) {
        self.caller_by_attempt.insert(attempt, caller);
    }

    pub(super) fn record_execution(&mut self, attempt: AttemptId, service: &str, duration: Span) {
        *self.calls_by_service.entry(service.to_owned()).or_default() += 1;
        let request = self
            .caller_by_attempt
            .get(&attempt)
            .and_then(|caller| self.requests.get_mut(caller));
        if let Some(request) = request {
            request.executions.push((service.to_owned(), duration));
        }
    }

    pub(super) fn record_outcome(&mut self, caller: CallerId, final_outcome: FinalOutcome) {
        if let Some(request) = self.requests.get_mut(&caller) {
            request.final_outcome = Some(final_outcome);
        }
    }

    // ------------------------------------------------------------------------
    // Statistics

    fn stats_of<'a>(requests: impl Iterator<Item = &'a RequestRecord> + Clone) -> GroupStats {
        let mut group = GroupStats::default();
        for request in requests.clone() {
            group.requests += 1;
            group.completed_in_time += usize::from(request.completed_in_time());
            if let Some(FinalOutcome {
                outcome: Outcome::Refused(refusal),
                ..
            }) = &request.final_outcome
            {
                *group.refusals.entry(refusal.reason.name()).or_default() += 1;
            }
        }
        let latencies = requests
            .filter(|request| request.completed_in_time())
            .filter_map(|request| {
                let final_outcome = request.final_outcome.as_ref()?;
                Some(Duration::from_micros(
                    final_outcome.at.since(request.arrived_at).0,
                ))
            });
        group.latency_ms = percentiles(latencies);
        group
    }

    /// Statistics of the requests of a class, an organisation, or both; of all requests if neither is given.
    pub fn group_stats(&self, class: Option<&str>, organisation: Option<&str>) -> GroupStats {
        let is_selected = |request: &&RequestRecord| {
            class.is_none_or(|class| request.class == class)
                && organisation.is_none_or(|organisation| request.organisation == organisation)
        };
        Self::stats_of(self.requests.values().filter(is_selected))
    }

    /// Returns the work done by each service.
    pub fn stage_usage(&self) -> BTreeMap<&str, StageUsage> {
        let mut stages: BTreeMap<&str, StageUsage> = BTreeMap::new();
        for request in self.requests.values() {
            for (service, duration) in &request.executions {
                let stage = stages.entry(service).or_default();
                stage.busy_us += duration.0;
                stage.useful_us += if request.completed_in_time() {
                    duration.0
                } else {
                    0
                };
                stage.calls += 1;
            }
        }
        stages
    }

    /// Returns the accelerator-seconds spent, and those spent on requests completed in time.
    pub fn accelerator_seconds(&self) -> (f64, f64) {
        self.stage_usage()
            .iter()
            .fold((0.0, 0.0), |(spent, useful), (service, stage)| {
                let cost = self.cost_by_service.get(*service).copied().unwrap_or_default() / 1e6;
                (
                    spent + stage.busy_us as f64 * cost,
                    useful + stage.useful_us as f64 * cost,
                )
            })
    }

    /// Returns the accelerator-seconds per request of `class` completed in time, including the wasted work of
    /// the class.
    pub fn cost_per_answer(&self, class: &str) -> f64 {
        let requests = self.requests.values().filter(|request| request.class == class);
        let cost = |(service, duration): &(String, Span)| {
            duration.as_secs() * self.cost_by_service.get(service).copied().unwrap_or_default()
        };
        let spent: f64 = requests
            .clone()
            .flat_map(|request| request.executions.iter().map(cost))
            .sum();
        spent
            / requests
                .filter(|request| request.completed_in_time())
                .count()
                .max(1) as f64
    }

    /// The share of accelerator-seconds spent on requests that were not completed in time.
    pub fn wasted_share(&self) -> f64 {
        let (spent, useful) = self.accelerator_seconds();
        if spent > 0.0 { 1.0 - useful / spent } else { 0.0 }
    }

    /// The 50th, 95th and 99th percentile of the time that the router takes to process an arriving request, in
    /// milliseconds. This is the only value measured in real time.
    pub fn decision_percentiles_ms(&self) -> [f64; 3] {
        percentiles(self.decision_times.iter().copied())
    }

    /// Returns the expected outcomes of the trace, each with the measured value and whether it holds.
    pub fn check_outcomes(&self, trace: &Trace) -> Vec<(ExpectedOutcome, f64, bool)> {
        let measured_value = |expected: &ExpectedOutcome| match expected.measure {
            Measure::Wasted => self.wasted_share(),
            Measure::Attainment => self
                .group_stats(expected.class.as_deref(), expected.organisation.as_deref())
                .attainment(),
        };
        let holds = |bound: Bound, value: f64| match bound {
            Bound::AtLeast(least) => value >= least,
            Bound::AtMost(most) => value <= most,
        };
        let results = trace.header.outcomes.iter().map(|expected| {
            let value = measured_value(expected);
            (expected.clone(), value, holds(expected.bound, value))
        });
        results.collect()
    }

    /// Formats tables by class, pipeline, organisation and stage.
    pub fn to_tables(&self) -> String {
        let mut text = format!(
            "{:<28} {:>7} {:>7} {:>8} {:>8} {:>8}  refused\n",
            "", "sent", "in time", "p50 ms", "p95 ms", "p99 ms"
        );
        let mut groups: BTreeMap<(u8, &str), Vec<&RequestRecord>> = BTreeMap::new();
        for request in self.requests.values() {
            groups.entry((0, &request.class)).or_default().push(request);
            groups.entry((1, &request.pipeline)).or_default().push(request);
            groups
                .entry((2, &request.organisation))
                .or_default()
                .push(request);
        }
        for ((kind, name), requests) in groups {
            let kind = ["class", "pipeline", "organisation"][usize::from(kind)];
            let group = Self::stats_of(requests.into_iter());
            let refused: Vec<String> = group
                .refusals
                .iter()
                .map(|(why, count)| format!("{why}={count}"))
                .collect();
            let [p50, p95, p99] = group.latency_ms;
            let label = format!("{kind} {name}");
            text += &format!(
                "{label:<28} {:>7} {:>6.1}% {p50:>8.1} {p95:>8.1} {p99:>8.1}  {}\n",
                group.requests,
                group.attainment() * 100.0,
                refused.join(" ")
            );
        }
        text += &format!("{:<28} {:>7} {:>10} {:>8}\n", "", "calls", "acc-s", "wasted");
        for (service, stage) in self.stage_usage() {
            let cost = self.cost_by_service.get(service).copied().unwrap_or_default() / 1e6;
            let wasted = (stage.busy_us - stage.useful_us) as f64 / stage.busy_us.max(1) as f64;
            let label = format!("stage {service}");
            text += &format!(
                "{label:<28} {:>7} {:>10.2} {:>7.1}%\n",
                stage.calls,
                stage.busy_us as f64 * cost,
                wasted * 100.0
            );
        }
        text
    }
}
