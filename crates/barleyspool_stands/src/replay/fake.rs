//! The targets of a replay: slots, service times and a lag on their reports, and nothing else.

use super::trace::FaultKind;
use crate::deployment::Deployment;
use barleyspool_core::{AttemptId, LoadReport, Span, StepOrder, TargetId, Time};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// How a step that was sent to a fake target goes on.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It will be answered at this time, if nobody cancels it.
    Answered(Time),
    /// The connection breaks at this time.
    Broken(Time),
    /// It waits for a slot, or is never answered.
    Silent,
}

/// What the targets of a service were busy with.
#[derive(Copy, Clone, Debug, Default, PartialEq)]
pub struct StageUse {
    /// Microseconds of slots in use.
    pub busy: u64,
    /// Microseconds of those that went into requests completed in time.
    pub useful: u64,
    /// Calls that began.
    pub calls: u64,
}

struct Fake {
    service: String,
    zone: String,
    slots: usize,
    time: Span,
    reports: bool,
    factor: f64,
    lost: bool,
    running: BTreeMap<AttemptId, Time>,
    waiting: BTreeSet<(u8, u64, AttemptId)>,
    history: VecDeque<(Time, LoadReport)>,
}

/// All targets of a deployment.
pub struct FakeTargets {
    targets: HashMap<TargetId, Fake>,
    places: HashMap<AttemptId, (TargetId, u8, u64)>,
    failing: BTreeSet<String>,
    arrivals: u64,
    lag: Option<Span>,
    random: StdRng,
    /// What each finished or cancelled call took, by attempt.
    pub took: HashMap<AttemptId, (String, Span)>,
}

impl FakeTargets {
    /// The targets of a deployment, whose service times vary with `seed`.
    pub fn new(deployment: &Deployment, lag: Option<Span>, seed: u64) -> Self {
        let mut targets = HashMap::new();
        for spec in &deployment.targets {
            for node in deployment.targets_of(spec) {
                let fake = Fake {
                    service: spec.service.clone(),
                    zone: node.zone,
                    slots: spec.slots as usize,
                    time: Span::from_millis(spec.service_time_ms),
                    reports: spec.reports_load,
                    factor: 1.0,
                    lost: false,
                    running: BTreeMap::new(),
                    waiting: BTreeSet::new(),
                    history: VecDeque::new(),
                };
                targets.insert(node.id, fake);
            }
        }
        Self {
            targets,
            places: HashMap::new(),
            failing: BTreeSet::new(),
            arrivals: 0,
            lag,
            random: StdRng::seed_from_u64(seed ^ 0xfa4e),
            took: HashMap::new(),
        }
    }

    /// Applies a fault.
    pub fn fault(&mut self, fault: &FaultKind) {
        for (id, target) in &mut self.targets {
            match fault {
                FaultKind::Slow { service, factor } if target.service == *service => target.factor = *factor,
                FaultKind::SlowTarget { target: slow, factor } if id.0 == *slow => target.factor = *factor,
                FaultKind::ZoneLost { zone } if target.zone == *zone => target.lost = true,
                _ => {}
            }
        }
        if let FaultKind::Failing { service } = fault {
            self.failing.insert(service.clone());
        }
    }

    /// Takes a step.
    pub fn take(&mut self, now: Time, attempt: AttemptId, order: &StepOrder) -> Fate {
        self.arrivals += 1;
        let arrival = self.arrivals;
        let Some(target) = self.targets.get_mut(&order.target) else {
            return Fate::Silent;
        };
        if target.lost {
            return Fate::Silent;
        }
        if self.failing.contains(&target.service) {
            return Fate::Broken(now + Span::from_millis(2));
        }
        self.places.insert(attempt, (order.target, order.rank, arrival));
        if target.running.len() < target.slots {
            return Fate::Answered(self.begin(now, order.target, attempt));
        }
        target.waiting.insert((order.rank, arrival, attempt));
        Fate::Silent
    }

    fn begin(&mut self, now: Time, id: TargetId, attempt: AttemptId) -> Time {
        // Service times vary by a factor of two or so to either side, with the mean as given.
        let vary = 0.6 + 0.8 * self.random.random::<f64>();
        let Some(target) = self.targets.get_mut(&id) else {
            return now;
        };
        target.running.insert(attempt, now);
        now + target.time.scale(vary * target.factor)
    }

    /// Ends a call, answered or cancelled, and gives the one that begins in its place.
    pub fn end(&mut self, now: Time, attempt: AttemptId) -> Option<(AttemptId, Time)> {
        let (id, rank, arrival) = self.places.remove(&attempt)?;
        let target = self.targets.get_mut(&id)?;
        if target.waiting.remove(&(rank, arrival, attempt)) {
            return None;
        }
        let begun = target.running.remove(&attempt)?;
        self.took
            .insert(attempt, (target.service.clone(), now.since(begun)));
        let (_, _, next) = target.waiting.pop_first()?;
        Some((next, self.begin(now, id, next)))
    }

    /// Whether a call is still running: a cancelled one is not answered.
    pub fn running(&self, attempt: AttemptId) -> bool {
        self.places.contains_key(&attempt)
    }

    /// Whether a target answers its health check.
    pub fn healthy(&self, id: TargetId) -> bool {
        self.targets.get(&id).is_some_and(|target| !target.lost)
    }

    /// What a target reports now: its load as it was a while ago.
    pub fn report(&mut self, now: Time, id: TargetId) -> Option<LoadReport> {
        let lag = self.lag?;
        let target = self.targets.get_mut(&id).filter(|target| target.reports)?;
        let load = LoadReport {
            running: target.running.len() as u32,
            queued: target.waiting.len() as u32,
            slots: target.slots as u32,
        };
        target.history.push_back((now, load));
        while target.history.len() > 1 && target.history[1].0 <= now - lag {
            target.history.pop_front();
        }
        target.history.front().map(|(_, load)| *load)
    }
}
