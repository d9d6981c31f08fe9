//! The state machine of one traffic thread: admission, queues, load balancing, retries and answers.
//!
//! [`Router::step`] takes the time and an event, and returns the actions to carry out. A router owns no
//! clock, socket or thread, so tests and replays drive it exactly as the daemon does.

mod admission;
mod answer;
mod completion;
mod dispatch;

pub use admission::Forecast;

use crate::chart::{Chart, ChartError};
use crate::{
    Attempt, AttemptId, CallerId, Counter, Counters, Guard, Guards, Incarnation, KeyMemory, ListState,
    NodeId, Plan, PlanTarget, Policy, REQUEST_CHART, Request, RequestEvent, RequestId, RequestPhase,
    RetryBudget, ServiceIx, ServiceState, Serving, Span, TARGET_CHART, TargetEvent, TargetId, TargetPhase,
    TargetState, Time, TrafficAction, TrafficEvent,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::SlotMap;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// The settings of a router.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// This node.
    pub node: NodeId,
    /// The incarnation of this node that answers must name.
    pub incarnation: Incarnation,
    /// The number of traffic threads that share this node's part of each target's capacity.
    pub lanes: u32,
    /// Seed of the random choices.
    pub seed: u64,
    /// The largest payload, in bytes.
    pub max_payload: usize,
    /// The largest answer, in bytes.
    pub max_answer: usize,
    /// The most unrepeatable keys that are remembered.
    pub max_keys: usize,
    /// The router acts on no plan that was refreshed longer ago than this.
    pub max_plan_age: Span,
    /// The largest difference between two clocks.
    pub skew: Span,
    /// The policy of admission, load balancing and retries.
    pub policy: Policy,
    /// The guards in force. Tests can disable one.
    pub guards: Guards,
}

impl Default for RouterSettings {
    fn default() -> Self {
        Self {
            node: NodeId(0),
            incarnation: Incarnation(0),
            lanes: 1,
            seed: 1,
            max_payload: 1 << 20,
            max_answer: 4 << 20,
            max_keys: 100_000,
            max_plan_age: Span::from_secs(3),
            skew: Span::from_millis(500),
            policy: Policy::default(),
            guards: Guards::default(),
        }
    }
}

/// The state machine of one traffic thread.
#[derive(Debug)]
pub struct Router {
    settings: RouterSettings,
    plan: Arc<Plan>,
    requests: SlotMap<RequestId, Request>,
    attempts: SlotMap<AttemptId, Attempt>,
    /// The request of each attempt.
    attempt_owner: HashMap<AttemptId, RequestId>,
    /// The request that each caller waits for.
    caller_requests: HashMap<CallerId, RequestId>,
    /// When each request has to be checked next.
    timers: BTreeSet<(Time, RequestId)>,
    /// The state of each service, indexed by [`ServiceIx`].
    services: Vec<ServiceState>,
    targets: BTreeMap<TargetId, TargetState>,
    key_memory: KeyMemory,
    retry_budget: RetryBudget,
    /// The number of waiting steps of each class, by its rank.
    waiting_by_rank: BTreeMap<u8, u32>,
    counters: Counters,
    random: SmallRng,
    request_chart: Chart<RequestPhase, RequestEvent>,
    target_chart: Chart<TargetPhase, TargetEvent>,
    /// The actions of the current event, in order.
    actions: Vec<TrafficAction>,
}

impl Router {
    /// A router without a plan. It refuses every call until [`Router::apply_plan`].
    ///
    /// # Errors
    /// When a state chart does not match the code. Daemons create their routers at start, so they fail
    /// there.
    pub fn new(settings: RouterSettings) -> Result<Self, ChartError> {
        Ok(Self {
            key_memory: KeyMemory::new(settings.max_keys, settings.skew),
            random: SmallRng::seed_from_u64(settings.seed),
            request_chart: Chart::load("request", REQUEST_CHART)?,
            target_chart: Chart::load("target", TARGET_CHART)?,
            settings,
            plan: Arc::default(),
            requests: SlotMap::with_key(),
            attempts: SlotMap::with_key(),
            attempt_owner: HashMap::new(),
            caller_requests: HashMap::new(),
            timers: BTreeSet::new(),
            services: Vec::new(),
            targets: BTreeMap::new(),
            retry_budget: RetryBudget::default(),
            waiting_by_rank: BTreeMap::new(),
            counters: Counters::default(),
            actions: Vec::new(),
        })
    }

    /// Handles what happened at `now` and returns the actions to carry out.
    pub fn step(&mut self, now: Time, event: TrafficEvent) -> Vec<TrafficAction> {
        self.run_timers(now);
        match event {
            TrafficEvent::Arrive { caller, call } => self.handle_call(now, caller, &call),
            TrafficEvent::CallerLeft { caller } => self.handle_caller_left(now, caller),
            TrafficEvent::Part {
                attempt,
                echo,
                offset,
                data,
            } => self.handle_part(now, attempt, echo, offset, &data),
            TrafficEvent::TargetLeaves { attempt } => self.apply_answer_report(now, attempt, None, true),
            TrafficEvent::Ended {
                attempt,
                echo,
                end,
                report,
                leaving,
            } => {
                self.apply_answer_report(now, attempt, report, leaving);
                self.handle_attempt_end(now, attempt, echo, end);
            }
            TrafficEvent::Probed {
                target,
                ok,
                report,
                leaving,
            } => {
                self.handle_probe_result(now, target, ok, report, leaving);
            }
            TrafficEvent::Tick => {}
        }
        std::mem::take(&mut self.actions)
    }

    /// When the router needs a [`TrafficEvent::Tick`], if no other event comes first.
    pub fn next_wake(&self) -> Option<Time> {
        let probe = self.targets.values().filter_map(|target| target.probe_at).min();
        let timer = self.timers.first().map(|(at, _)| *at);
        [probe, timer].into_iter().flatten().min()
    }

    // ------------------------------------------------------------------------
    // The plan

    /// Replaces the plan by a newer one of the control thread, and dispatches the steps that it allows.
    pub fn apply_plan(&mut self, now: Time, plan: Arc<Plan>) -> Vec<TrafficAction> {
        let targets_changed = !Arc::ptr_eq(&plan.targets, &self.plan.targets);
        self.plan = plan;
        if let Some(config) = self.plan.config.clone() {
            for service in config.services.iter().skip(self.services.len()) {
                // The configured expected time of a step, in microseconds.
                let took = Span::from_millis(service.expected_ms).0 as f64;
                self.services.push(ServiceState {
                    avg_step_us: took,
                    ..ServiceState::default()
                });
            }
        }
        if targets_changed {
            self.apply_targets();
        }
        for service in 0..self.services.len() {
            self.dispatch_waiting(now, ServiceIx(service as u16));
        }
        std::mem::take(&mut self.actions)
    }

    fn apply_targets(&mut self) {
        let plan = Arc::clone(&self.plan);
        for service in &mut self.services {
            service.targets.clear();
        }
        for listed in plan.targets.iter() {
            if let Some(service) = self.services.get_mut(usize::from(listed.service.0)) {
                service.targets.push(listed.id);
                self.apply_target(listed);
            }
        }
        // A target that is no longer listed gets no new work; the calls that it is working on may
        // finish.
        let listed: BTreeSet<TargetId> = plan.targets.iter().map(|target| target.id).collect();
        self.targets
            .retain(|id, target| listed.contains(id) || target.in_flight > 0);
    }

    fn apply_target(&mut self, listed: &PlanTarget) {
        let mut listed = listed.clone();
        listed.share /= f64::from(self.settings.lanes.max(1));
        let policy = &self.settings.policy;
        let target = self
            .targets
            .entry(listed.id)
            .or_insert_with(|| TargetState::new(listed.clone(), policy));
        if listed.incarnation > target.plan.incarnation {
            self.target_chart.step(&mut target.phase, TargetEvent::Replaced);
            target.probe_at = None;
            target.cooldown_until = Time(0);
        }
        target.update(&listed, policy);
        target.start_cooldown(listed.cooldown_until, &self.target_chart);
        if listed.leaving && self.settings.guards.enforces(Guard::TargetLeaving) {
            self.target_chart
                .step(&mut target.phase, TargetEvent::ReportedLeaving);
        }
    }

    // ------------------------------------------------------------------------
    // Timers

    fn run_timers(&mut self, now: Time) {
        self.key_memory.expire(now);
        self.fire_request_timers(now);
        let due: Vec<TargetId> = self
            .targets
            .iter()
            .filter(|(_, target)| target.probe_at.is_some_and(|at| at <= now))
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            self.send_probe(id);
        }
    }

    fn fire_request_timers(&mut self, now: Time) {
        while let Some(&(at, request)) = self.timers.first()
            && at <= now
        {
            self.timers.pop_first();
            self.handle_timer(now, request);
        }
    }

    fn set_wake(&mut self, id: RequestId, at: Time) {
        if let Some(request) = self.requests.get_mut(id) {
            self.timers.remove(&(request.wake, id));
            request.wake = at;
            self.timers.insert((at, id));
        }
    }

    fn send_probe(&mut self, id: TargetId) {
        if let Some(target) = self.targets.get_mut(&id) {
            target.probe_at = None;
            let address = target.plan.address.clone();
            self.actions.push(TrafficAction::Probe { target: id, address });
        }
    }

    // ------------------------------------------------------------------------
    // Views for callers, operators and tests

    /// The counters of this router.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// The targets, with what this thread knows of them.
    pub fn targets(&self) -> impl Iterator<Item = &TargetState> {
        self.targets.values()
    }

    /// The number of requests that were admitted and have not ended.
    pub fn live_requests(&self) -> usize {
        self.requests.len()
    }

    /// The number of steps that wait for a target.
    pub fn waiting_steps(&self) -> u32 {
        self.services.iter().map(|service| service.queue.len()).sum()
    }

    /// The number of unrepeatable keys that are remembered.
    pub fn remembered_keys(&self) -> usize {
        self.key_memory.len()
    }

    /// The number of organisations that this router holds state of.
    pub fn active_organisations(&self) -> usize {
        self.services
            .iter()
            .map(|service| service.backlog.organisation_count())
            .max()
            .unwrap_or_default()
    }

    /// The current plan.
    pub fn plan(&self) -> &Arc<Plan> {
        &self.plan
    }

    fn stopping(&self) -> bool {
        self.plan.serving == Serving::Stopping
    }

    /// The address of another live entry node, for callers that a stopping node rejects.
    fn redirect_address(&self, spread: u128) -> Option<String> {
        let peers = self.plan.addresses("", None, spread);
        let other = peers
            .iter()
            .find(|peer| peer.id != self.plan.me && peer.state == ListState::Live);
        other.map(|peer| peer.address.clone())
    }

    fn enforces(&self, guard: Guard) -> bool {
        self.settings.guards.enforces(guard)
    }

    /// Whether the plan is too old to act on: the control thread hangs, or the process was suspended.
    fn plan_stale(&self, now: Time) -> bool {
        !self.plan.is_fresh(now, self.settings.max_plan_age) && self.enforces(Guard::PlanAge)
    }

    fn count(&mut self, counter: Counter) {
        self.counters.count(counter);
    }
}
