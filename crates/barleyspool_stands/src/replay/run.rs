//! The event loop of a replay: arrivals, answers, faults and the timers of the router, in virtual time.

use super::fake_targets::{FakeTargets, StepResponse};
use super::report::{FinalOutcome, Report};
use super::trace::{FaultKind, Trace};
use crate::deployment::Deployment;
use barleyspool_core::{
    AttemptEnd, AttemptId, Call, CallerId, Config, ConfigDocument, Echo, Era, LeaseView, ListState, NodeId,
    Payload, Plan, PlanTarget, Policy, Router, RouterSettings, Serving, Span, StepOrder, TargetId, Time,
    TrafficAction, TrafficEvent,
};
use barleyspool_wire::platform;
use std::collections::{BTreeMap, HashMap};
use std::error::Error;
use std::sync::Arc;

/// The virtual time at which replays start; the value is arbitrary.
const START: Time = Time::from_millis(1_000_000_000);
/// The interval at which the router's plan is refreshed, so that it does not become stale.
const PLAN_REFRESH_INTERVAL: Span = Span::from_millis(300);
/// How long a replay continues after the last arrival.
const DRAIN_TIME: Span = Span::from_secs(10);

/// A scheduled event of the simulation.
#[derive(Clone, Debug)]
enum SimEvent {
    /// The arrival with this index in the trace.
    Arrive(usize),
    /// A target answers a step, unless it was cancelled.
    Answer(AttemptId),
    /// The connection of a step is lost.
    Disconnect(AttemptId),
    Fault(FaultKind),
    RefreshPlan,
    /// A timer of the router expires.
    Wake,
}

struct Replay<'a> {
    trace: &'a Trace,
    router: Router,
    targets: FakeTargets,
    plan: Plan,
    /// Scheduled events by time, and by order of scheduling at the same time.
    event_queue: BTreeMap<(Time, u64), SimEvent>,
    sequence: u64,
    orders: HashMap<AttemptId, StepOrder>,

    report: Report,
}

/// Replays `trace` under `policy`.
///
/// # Errors
/// When the deployment's configuration is invalid or a state chart cannot be loaded.
pub fn replay(trace: &Trace, deployment: &Deployment, policy: Policy) -> Result<Report, Box<dyn Error>> {
    let settings = RouterSettings {
        node: NodeId(1),
        policy,
        seed: trace.header.seed,
        ..RouterSettings::default()
    };
    let router = Router::new(settings)?;
    let lag = trace.header.report_lag_ms.map(Span::from_millis);
    let mut replay = Replay {
        trace,
        router,
        targets: FakeTargets::new(deployment, lag, trace.header.seed),
        plan: single_node_plan(deployment)?,
        event_queue: BTreeMap::new(),
        sequence: 0,
        orders: HashMap::new(),

        report: Report::new(deployment),
    };
    replay.schedule_trace();
    replay.run();
    Ok(replay.report)
}

/// Builds the plan of a single node that serves, holds a lease that never expires, and uses all targets of the
/// deployment.
fn single_node_plan(deployment: &Deployment) -> Result<Plan, Box<dyn Error>> {
    let revision = barleyspool_core::Revision(1);
    let part = platform::PartValue {
        revision,
        value: deployment.config_part(),
    };
    let parts = [(crate::deployment::PART_KEY.to_owned(), part)];
    let document: ConfigDocument =
        platform::assemble_document(revision, &deployment.config_head(revision), &parts);
    let config = Config::from_document(&document, None).map_err(|errors| {
        errors
            .iter()
            .map(ToString::to_string)
            .collect::<Vec<_>>()
            .join("; ")
    })?;
    let mut fleet = deployment.fleet();
    let era = Era {
        members: vec![NodeId(1)],
        ..fleet.cells[0].eras[0].clone()
    };
    fleet.cells[0].eras = vec![era.clone()];
    let target = |node: &barleyspool_core::TargetNode| {
        Some(PlanTarget {
            id: node.id,
            incarnation: node.incarnation,
            address: node.address.clone(),
            zone: node.zone.clone(),
            same_zone: node.zone == deployment.zones[0],
            service: config.service(&node.service)?,
            slots: node.slots,
            share: f64::from(node.slots),
            leaving: node.state == ListState::Leaving,
            cooldown_until: Time(0),
        })
    };
    Ok(Plan {
        refreshed_at: START,
        serving: Serving::Serving,
        targets: Arc::new(fleet.targets.iter().filter_map(target).collect()),
        lease: LeaseView {
            confirmed_until: Time(u64::MAX),
            eras: vec![(era, Some(Time(0)))],
            me: NodeId(1),
        },
        me: NodeId(1),
        region: deployment.region.clone(),
        fleet: Arc::new(fleet),
        config: Some(Arc::new(config)),
        ..Plan::default()
    })
}

impl Replay<'_> {
    fn schedule_trace(&mut self) {
        for (index, arrival) in self.trace.arrivals.iter().enumerate() {
            self.schedule(START + Span::from_millis(arrival.at_ms), SimEvent::Arrive(index));
        }
        for fault in &self.trace.faults {
            self.schedule(
                START + Span::from_millis(fault.at_ms),
                SimEvent::Fault(fault.kind.clone()),
            );
        }
        self.schedule(START, SimEvent::RefreshPlan);
    }

    fn schedule(&mut self, at: Time, event: SimEvent) {
        self.sequence += 1;
        self.event_queue.insert((at, self.sequence), event);
    }

    fn run(&mut self) {
        let last = self.trace.arrivals.last().map_or(0, |arrival| arrival.at_ms);
        let end = START + Span::from_millis(last) + DRAIN_TIME;
        while let Some(((now, _), event)) = self.event_queue.pop_first()
            && now <= end
        {
            self.handle_event(now, event);
            if let Some(wake) = self.router.next_wake().filter(|wake| *wake <= end) {
                let first = self.event_queue.first_key_value().map(|((at, _), _)| *at);
                if first.is_none_or(|first| wake < first) {
                    self.schedule(wake.max(now), SimEvent::Wake);
                }
            }
        }
    }

    fn handle_event(&mut self, now: Time, event: SimEvent) {
        match event {
            SimEvent::Arrive(index) => self.submit_request(now, index),
            SimEvent::Answer(attempt) => self.answer_step(now, attempt),
            SimEvent::Disconnect(attempt) => {
                self.orders.remove(&attempt);
                self.finish_attempt(now, attempt, None, AttemptEnd::Interrupted, None);
            }
            SimEvent::Fault(fault) => self.targets.apply_fault(&fault),
            SimEvent::RefreshPlan => {
                self.plan.refreshed_at = now;
                let actions = self.router.apply_plan(now, Arc::new(self.plan.clone()));
                self.execute(now, actions);
                self.schedule(now + PLAN_REFRESH_INTERVAL, SimEvent::RefreshPlan);
            }
            SimEvent::Wake => self.step_router(now, TrafficEvent::Tick),
        }
    }

    fn step_router(&mut self, now: Time, event: TrafficEvent) {
        let actions = self.router.step(now, event);
        self.execute(now, actions);
    }

    /// Passes the arrival at index `at` of the trace to the router, and measures the time of its decision.
    fn submit_request(&mut self, now: Time, at: usize) {
        let arrival = self.trace.arrivals[at];
        let caller = CallerId(at as u64);
        let call = Call {
            key: format!("t{at}"),
            organisation: self.trace.header.organisations[arrival.organisation].clone(),
            pipeline: self.trace.header.pipelines[arrival.pipeline].clone(),
            deadline: now + Span::from_millis(arrival.deadline_ms),
            payload: Arc::from(caller.0.to_le_bytes().as_slice()),
            ..Call::default()
        };
        self.report.record_arrival(caller, now, &call);

        let started_at = std::time::Instant::now();
        let actions = self.router.step(now, TrafficEvent::Arrive { caller, call });
        self.report.record_decision_time(started_at.elapsed());
        self.execute(now, actions);
    }

    fn answer_step(&mut self, now: Time, attempt: AttemptId) {
        if !self.targets.is_active(attempt) {
            return;
        }
        let Some(order) = self.orders.remove(&attempt) else {
            return;
        };
        self.release_slot(now, attempt);
        let report = self.targets.load_report(now, order.target);
        let echo = Some(order.echo);
        // Every stage returns its input, so that the input of each later step identifies the caller.
        let (data, length) = (Arc::clone(&order.input), order.input.len() as u64);
        let mut output = Arc::clone(&data);
        if order.stream {
            self.step_router(
                now,
                TrafficEvent::Part {
                    attempt,
                    echo: order.echo,
                    offset: 0,
                    data,
                },
            );
            output = Payload::default();
        }
        self.finish_attempt(now, attempt, echo, AttemptEnd::Done { output, length }, report);
    }

    fn finish_attempt(
        &mut self,
        now: Time,
        attempt: AttemptId,
        echo: Option<Echo>,
        end: AttemptEnd,
        report: Option<barleyspool_core::LoadReport>,
    ) {
        self.step_router(
            now,
            TrafficEvent::Ended {
                attempt,
                echo,
                end,
                report,
                leaving: false,
            },
        );
    }

    /// Releases the slot of a finished or cancelled step, records its slot time, and schedules the answer of the
    /// queued step that takes the slot.
    fn release_slot(&mut self, now: Time, attempt: AttemptId) {
        let next = self.targets.finish_step(now, attempt);
        if let Some((service, duration)) = self.targets.execution_times.remove(&attempt) {
            self.report.record_execution(attempt, &service, duration);
        }
        if let Some((next, at)) = next {
            self.schedule(at, SimEvent::Answer(next));
        }
    }

    fn execute(&mut self, now: Time, actions: Vec<TrafficAction>) {
        for action in actions {
            match action {
                TrafficAction::Dispatch { attempt, order } => self.dispatch_step(now, attempt, order),
                TrafficAction::Cancel { attempt, .. } => {
                    self.orders.remove(&attempt);
                    self.release_slot(now, attempt);
                }
                TrafficAction::Finish { caller, outcome, .. } => {
                    self.report
                        .record_outcome(caller, FinalOutcome { at: now, outcome });
                }
                TrafficAction::Probe { target, .. } => self.answer_probe(now, target),
                TrafficAction::Part { .. }
                | TrafficAction::NotifyLeaving { .. }
                | TrafficAction::NotifyCooldown(_)
                | TrafficAction::NotifyNewerRevision => {}
            }
        }
    }

    fn dispatch_step(&mut self, now: Time, attempt: AttemptId, order: StepOrder) {
        if let Some(caller) = caller_of(&order) {
            self.report.record_dispatch(attempt, caller);
        }
        match self.targets.accept_step(now, attempt, &order) {
            StepResponse::AnsweredAt(at) => self.schedule(at, SimEvent::Answer(attempt)),
            StepResponse::DisconnectedAt(at) => self.schedule(at, SimEvent::Disconnect(attempt)),
            StepResponse::Pending => {}
        }
        self.orders.insert(attempt, order);
    }

    fn answer_probe(&mut self, now: Time, target: TargetId) {
        let ok = self.targets.is_healthy(target);
        let report = if ok {
            self.targets.load_report(now, target)
        } else {
            None
        };
        self.step_router(
            now,
            TrafficEvent::Probed {
                target,
                ok,
                report,
                leaving: false,
            },
        );
    }
}

/// Returns the caller of a step, which its input identifies.
fn caller_of(order: &StepOrder) -> Option<CallerId> {
    let bytes = order.input.as_ref().try_into().ok()?;
    Some(CallerId(u64::from_le_bytes(bytes)))
}
