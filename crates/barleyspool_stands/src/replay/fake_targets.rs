//! Simulated targets of a replay. They model only slots, service times and the delay of load reports.

use super::trace::FaultKind;
use crate::deployment::Deployment;
use barleyspool_core::{AttemptId, LoadReport, Span, StepOrder, TargetId, Time};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// The response of a fake target to a step that was sent to it.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum StepResponse {
    /// The step is answered at this time unless it is cancelled before.
    AnsweredAt(Time),
    /// The connection is lost at this time.
    DisconnectedAt(Time),
    /// The step waits for a slot, or the target never answers.
    Pending,
}

/// How much work the targets of a service did.
#[derive(Copy, Clone, Debug, Default, PartialEq)]
pub struct StageUsage {
    /// The time for which slots were in use, summed over the slots, in microseconds.
    pub busy_us: u64,
    /// The part of `busy_us` spent on requests that completed before their deadline.
    pub useful_us: u64,
    /// The number of steps that occupied a slot.
    pub calls: u64,
}

struct FakeTarget {
    service: String,
    zone: String,
    slots: usize,
    service_time: Span,
    reports_load: bool,
    slowdown: f64,
    unreachable: bool,
    /// Running steps and when they started.
    running_steps: BTreeMap<AttemptId, Time>,
    /// Steps that wait for a slot, ordered by rank and then by arrival.
    queued_steps: BTreeSet<(u8, u64, AttemptId)>,
    load_history: VecDeque<(Time, LoadReport)>,
}

/// All simulated targets of a deployment.
pub struct FakeTargets {
    targets: HashMap<TargetId, FakeTarget>,
    /// Target, rank and sequence number of each step that is running or queued.
    accepted: HashMap<AttemptId, (TargetId, u8, u64)>,
    failing_services: BTreeSet<String>,
    step_count: u64,
    report_lag: Option<Span>,
    random: StdRng,
    /// The service and slot time of each finished or cancelled step that had started; the replay removes them.
    pub execution_times: HashMap<AttemptId, (String, Span)>,
}

impl FakeTargets {
    /// Creates the targets of a deployment. `seed` determines the variation of their service times; without
    /// `report_lag` the targets report no load.
    pub fn new(deployment: &Deployment, report_lag: Option<Span>, seed: u64) -> Self {
        let mut targets = HashMap::new();
        for spec in &deployment.targets {
            for node in deployment.targets_of(spec) {
                let target = FakeTarget {
                    service: spec.service.clone(),
                    zone: node.zone,
                    slots: spec.slots as usize,
                    service_time: Span::from_millis(spec.service_time_ms),
                    reports_load: spec.reports_load,
                    slowdown: 1.0,
                    unreachable: false,
                    running_steps: BTreeMap::new(),
                    queued_steps: BTreeSet::new(),
                    load_history: VecDeque::new(),
                };
                targets.insert(node.id, target);
            }
        }
        Self {
            targets,
            accepted: HashMap::new(),
            failing_services: BTreeSet::new(),
            step_count: 0,
            report_lag,
            random: StdRng::seed_from_u64(seed ^ 0xfa4e),
            execution_times: HashMap::new(),
        }
    }

    /// Applies a fault of the trace; faults stay in effect until the end of the replay.
    pub fn apply_fault(&mut self, fault: &FaultKind) {
        for (id, target) in &mut self.targets {
            match fault {
                FaultKind::SlowService { service, factor } if target.service == *service => {
                    target.slowdown = *factor;
                }
                FaultKind::SlowTarget { target: slow, factor } if id.0 == *slow => target.slowdown = *factor,
                FaultKind::ZoneLost { zone } if target.zone == *zone => target.unreachable = true,
                _ => {}
            }
        }
        if let FaultKind::FailingService { service } = fault {
            self.failing_services.insert(service.clone());
        }
    }

    /// Starts or queues a step and returns how the target will respond.
    pub fn accept_step(&mut self, now: Time, attempt: AttemptId, order: &StepOrder) -> StepResponse {
        self.step_count += 1;
        let sequence = self.step_count;
        let Some(target) = self.targets.get_mut(&order.target) else {
            return StepResponse::Pending;
        };
        if target.unreachable {
            return StepResponse::Pending;
        }
        if self.failing_services.contains(&target.service) {
            return StepResponse::DisconnectedAt(now + Span::from_millis(2));
        }
        self.accepted
            .insert(attempt, (order.target, order.rank, sequence));
        if target.running_steps.len() < target.slots {
            return StepResponse::AnsweredAt(self.start_step(now, order.target, attempt));
        }
        target.queued_steps.insert((order.rank, sequence, attempt));
        StepResponse::Pending
    }

    fn start_step(&mut self, now: Time, id: TargetId, attempt: AttemptId) -> Time {
        // Service times are uniform between 0.6 and 1.4 times the configured mean (about a factor of two
        // between the shortest and the longest).
        let variation = 0.6 + 0.8 * self.random.random::<f64>();
        let Some(target) = self.targets.get_mut(&id) else {
            return now;
        };
        target.running_steps.insert(attempt, now);
        now + target.service_time.scale(variation * target.slowdown)
    }

    /// Finishes an answered or cancelled step. Returns the queued step that starts in the freed slot, with the
    /// time of its answer.
    pub fn finish_step(&mut self, now: Time, attempt: AttemptId) -> Option<(AttemptId, Time)> {
        let (id, rank, sequence) = self.accepted.remove(&attempt)?;
        let target = self.targets.get_mut(&id)?;
        if target.queued_steps.remove(&(rank, sequence, attempt)) {
            return None;
        }
        let started_at = target.running_steps.remove(&attempt)?;
        self.execution_times
            .insert(attempt, (target.service.clone(), now.since(started_at)));
        let (_, _, next) = target.queued_steps.pop_first()?;
        Some((next, self.start_step(now, id, next)))
    }

    /// Whether a step is running or queued. A cancelled step is neither and must not be answered.
    pub fn is_active(&self, attempt: AttemptId) -> bool {
        self.accepted.contains_key(&attempt)
    }

    /// Whether a target responds to health checks.
    pub fn is_healthy(&self, id: TargetId) -> bool {
        self.targets.get(&id).is_some_and(|target| !target.unreachable)
    }

    /// Returns the load that a target reports now, which is delayed by the report lag. Also records the current
    /// load for later reports.
    pub fn load_report(&mut self, now: Time, id: TargetId) -> Option<LoadReport> {
        let report_lag = self.report_lag?;
        let target = self.targets.get_mut(&id).filter(|target| target.reports_load)?;
        let load = LoadReport {
            running: target.running_steps.len() as u32,
            queued: target.queued_steps.len() as u32,
            slots: target.slots as u32,
            work_time: None,
        };
        target.load_history.push_back((now, load));
        while target.load_history.len() > 1 && target.load_history[1].0 <= now - report_lag {
            target.load_history.pop_front();
        }
        target.load_history.front().map(|(_, load)| *load)
    }
}
