//! Shared fixtures of the core's tests: a small configuration, a fleet, and one router with simulated targets.
#![allow(dead_code, reason = "not every test file uses all of it")]
#![allow(clippy::unwrap_used, reason = "a test stops at the first failure")]

use barleyspool_core::*;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Start time of the tests.
pub const START: Time = Time::from_millis(1_000_000);

/// Services of the test configuration, in order.
pub const SERVICES: [&str; 5] = ["encode", "retrieve", "rerank", "generate", "notes"];

pub fn ms(ms: u64) -> Span {
    Span::from_millis(ms)
}

pub fn class(name: &str) -> Class {
    Class {
        name: name.into(),
        queue: 1000,
        deferrable: false,
    }
}

pub fn stage(service: &str, unrepeatable: bool) -> Stage {
    Stage {
        service: service.into(),
        unrepeatable,
        model: String::new(),
    }
}

pub fn organisation(name: &str, weight: u32) -> Organisation {
    Organisation {
        name: name.into(),
        weight,
        pipelines: Vec::new(),
    }
}

/// Two classes, five services, three pipelines: `summary`, `check` (whose last stage is unrepeatable) and
/// `single`.
pub fn document(revision: u64) -> ConfigDocument {
    let service = |name: &&str| Service {
        name: (*name).into(),
        kind: if *name == "generate" {
            ServiceKind::Engine
        } else {
            ServiceKind::Pool
        },
        expected_ms: 10,
        cost: 1.0,
    };
    let pipeline = |name: &str, class: &str, stages: Vec<Stage>| Pipeline {
        name: name.into(),
        class: class.into(),
        deadline_ms: 10_000,
        stages,
    };
    let four = || {
        SERVICES[..4]
            .iter()
            .map(|name| stage(name, false))
            .collect::<Vec<_>>()
    };
    let mut check = four();
    check[3] = stage("notes", true);
    let part = ConfigPart {
        organisations: vec![organisation("small", 1), organisation("large", 1)],
    };
    ConfigDocument {
        revision: Revision(revision),
        head: ConfigHead {
            classes: vec![class("page"), class("assistant")],
            services: SERVICES.iter().map(service).collect(),
            pipelines: vec![
                pipeline("summary", "page", four()),
                pipeline("check", "assistant", check),
                pipeline("single", "assistant", vec![stage("encode", false)]),
            ],
            parts: vec![PartRef {
                key: "organisations/0".into(),
                revision: Revision(1),
            }],
            placement: Vec::new(),
        },
        parts: vec![VersionedPart {
            key: "organisations/0".into(),
            revision: Revision(1),
            part: Arc::new(part),
        }],
    }
}

/// A fleet list of one cell with the given eras, each an epoch and its members.
pub fn fleet(revision: u64, eras: &[(u64, &[u32])]) -> Fleet {
    let members = |ids: &[u32]| ids.iter().map(|id| NodeId(*id)).collect();
    let eras: Vec<Era> = eras
        .iter()
        .map(|(epoch, ids)| Era {
            epoch: Epoch(*epoch),
            members: members(ids),
        })
        .collect();
    let present = eras.last().map(|era| era.members.clone()).unwrap_or_default();
    let entry = |id: NodeId| EntryNode {
        id,
        address: format!("10.0.0.{id}:1"),
        control: format!("10.0.0.{id}:2"),
        bulk: format!("10.0.0.{id}:3"),
        zone: format!("z{}", id.0 % 3),
        region: "r".into(),
        ..EntryNode::default()
    };
    let cell = Cell {
        id: CellId(0),
        region: "r".into(),
        eras,
        ..Cell::default()
    };
    Fleet {
        revision: Revision(revision),
        entries: present.into_iter().map(entry).collect(),
        cells: vec![cell],
        targets: Vec::new(),
    }
}

/// Adds `count` targets of every service to a fleet list.
pub fn with_targets(mut fleet: Fleet, count: u32, slots: u32) -> Fleet {
    for (nth, service) in SERVICES.iter().enumerate() {
        for one in 0..count {
            let id = nth as u32 * 100 + one;
            fleet.targets.push(TargetNode {
                id: TargetId(id),
                incarnation: Incarnation(1),
                address: format!("10.1.0.{id}:1"),
                zone: format!("z{}", one % 3),
                region: "r".into(),
                service: (*service).into(),
                slots,
                ..TargetNode::default()
            });
        }
    }
    fleet
}

/// A plan in which node 1 is the only member of its cell, past its takeover wait and with a confirmed lease.
/// It has `count` targets per service.
pub fn plan(now: Time, count: u32, slots: u32) -> Plan {
    let config = Arc::new(Config::from_document(&document(1), None).unwrap());
    let fleet = Arc::new(with_targets(fleet(1, &[(1, &[1])]), count, slots));
    let target = |node: &TargetNode| PlanTarget {
        id: node.id,
        incarnation: node.incarnation,
        address: node.address.clone(),
        zone: node.zone.clone(),
        same_zone: node.zone == "z0",
        service: config.service(&node.service).unwrap(),
        slots,
        share: f64::from(slots),
        leaving: false,
        cooldown_until: Time(0),
    };
    let era = fleet.cells[0].eras[0].clone();
    Plan {
        refreshed_at: now,
        serving: Serving::Serving,
        targets: Arc::new(fleet.targets.iter().map(target).collect()),
        config: Some(config),
        lease: LeaseView {
            confirmed_until: Time(u64::MAX),
            eras: vec![(era, Some(Time(0)))],
            me: NodeId(1),
        },
        rules: LeaseRules::default(),
        peers: Arc::new(vec![
            PlanPeer {
                id: NodeId(1),
                address: "10.0.0.1:1".into(),
                reachable: true,
                ..PlanPeer::default()
            },
            PlanPeer {
                id: NodeId(2),
                address: "10.0.0.2:1".into(),
                reachable: true,
                ..PlanPeer::default()
            },
        ]),
        me: NodeId(1),
        region: "r".into(),
        fleet,
    }
}

/// What a caller has received.
#[derive(Clone, Debug, Default)]
pub struct CallerRecord {
    pub bytes: Vec<u8>,
    pub gap: bool,
    pub outcomes: Vec<Outcome>,
    pub at: Time,
    pub redirect: Option<String>,
}

/// One router with a simulated clock, the steps it sent and the answers its callers received.
pub struct RouterHarness {
    pub router: Router,
    pub now: Time,
    pub sent: Vec<(AttemptId, StepOrder)>,
    pub cancelled: Vec<AttemptId>,
    pub probes: Vec<TargetId>,
    pub notices: Vec<TrafficAction>,
    pub callers: BTreeMap<CallerId, CallerRecord>,
    next_caller: u64,
}

impl RouterHarness {
    pub fn new(settings: RouterSettings, plan: Plan) -> Self {
        let mut harness = Self {
            router: Router::new(settings).unwrap(),
            now: START,
            sent: Vec::new(),
            cancelled: Vec::new(),
            probes: Vec::new(),
            notices: Vec::new(),
            callers: BTreeMap::new(),
            next_caller: 1,
        };
        harness.apply_plan(plan);
        harness
    }

    /// A router with two targets per service and default settings except for the guards.
    pub fn guarded(guards: Guards) -> Self {
        let settings = RouterSettings {
            node: NodeId(1),
            guards,
            ..RouterSettings::default()
        };
        Self::new(settings, plan(START, 2, 4))
    }

    pub fn apply_plan(&mut self, plan: Plan) {
        let actions = self.router.apply_plan(self.now, Arc::new(plan));
        self.execute(actions);
    }

    /// Applies the current plan again, refreshed at the current time.
    pub fn refresh_plan(&mut self) {
        let plan = Plan {
            refreshed_at: self.now,
            ..Plan::clone(self.router.plan())
        };
        self.apply_plan(plan);
    }

    pub fn step(&mut self, event: TrafficEvent) {
        let actions = self.router.step(self.now, event);
        self.execute(actions);
    }

    pub fn arrive(&mut self, call: Call) -> CallerId {
        let caller = CallerId(self.next_caller);
        self.next_caller += 1;
        self.callers.insert(caller, CallerRecord::default());
        self.step(TrafficEvent::Arrive { caller, call });
        caller
    }

    /// Advances the clock by `span`, waking the router whenever it requests it; the plan is kept refreshed.
    pub fn pass(&mut self, span: Span) {
        let end = self.now + span;
        while let Some(wake) = self.router.next_wake().filter(|wake| *wake <= end) {
            self.now = self.now.max(wake);
            self.refresh_plan();
            self.step(TrafficEvent::Tick);
        }
        self.now = end;
        self.refresh_plan();
        self.step(TrafficEvent::Tick);
    }

    /// Advances the clock in one jump without waking the router, as if the process had been suspended.
    pub fn sleep(&mut self, span: Span) {
        self.now = self.now + span;
    }

    fn execute(&mut self, actions: Vec<TrafficAction>) {
        for action in actions {
            match action {
                TrafficAction::Dispatch { attempt, order } => self.sent.push((attempt, order)),
                TrafficAction::Cancel { attempt, .. } => {
                    self.sent.retain(|(sent, _)| *sent != attempt);
                    self.cancelled.push(attempt);
                }
                TrafficAction::Part { caller, offset, data } => {
                    let received = self.callers.get_mut(&caller).unwrap();
                    received.gap |= offset != received.bytes.len() as u64;
                    received.bytes.extend_from_slice(&data);
                }
                TrafficAction::Finish {
                    caller,
                    outcome,
                    redirect,
                } => {
                    let received = self.callers.get_mut(&caller).unwrap();
                    received.outcomes.push(outcome);
                    received.at = self.now;
                    received.redirect = redirect;
                }
                TrafficAction::Probe { target, .. } => self.probes.push(target),
                notice => self.notices.push(notice),
            }
        }
    }

    pub fn end(&mut self, attempt: AttemptId, echo: Option<Echo>, end: AttemptEnd) {
        self.step(TrafficEvent::Ended {
            attempt,
            echo,
            end,
            report: None,
            leaving: false,
        });
    }

    /// Answers an attempt with the correct response.
    pub fn answer(&mut self, attempt: AttemptId, order: &StepOrder) {
        let output = output_of(order);
        if !order.stream {
            let length = output.len() as u64;
            return self.end(
                attempt,
                Some(order.echo),
                AttemptEnd::Done {
                    output: Arc::from(output),
                    length,
                },
            );
        }
        let from = order.so_far.len().min(output.len());
        let middle = from + (output.len() - from) / 2;
        for (start, end) in [(from, middle), (middle, output.len())] {
            let data = Arc::from(&output[start..end]);
            self.step(TrafficEvent::Part {
                attempt,
                echo: order.echo,
                offset: start as u64,
                data,
            });
        }
        self.end(attempt, Some(order.echo), done(output.len() as u64));
    }

    /// Answers all steps, each `after` a delay, until the router sends no more.
    pub fn answer_all(&mut self, after: Span) {
        while !self.sent.is_empty() {
            self.pass(after);
            for (attempt, order) in std::mem::take(&mut self.sent) {
                self.answer(attempt, &order);
            }
        }
    }

    pub fn outcome(&self, caller: CallerId) -> Option<&Outcome> {
        self.callers[&caller].outcomes.first()
    }

    pub fn refusal(&self, caller: CallerId) -> Option<&Refusal> {
        match self.outcome(caller) {
            Some(Outcome::Refused(refusal)) => Some(refusal),
            _ => None,
        }
    }
}

/// The end of a stream.
pub fn done(length: u64) -> AttemptEnd {
    AttemptEnd::Done {
        output: Payload::default(),
        length,
    }
}

/// The correct output of a step: the name of its service around the input.
pub fn output_of(order: &StepOrder) -> Vec<u8> {
    wrap(SERVICES[usize::from(order.service.0)], &order.input)
}

fn wrap(service: &str, input: &[u8]) -> Vec<u8> {
    [service.as_bytes(), b"(", input, b")"].concat()
}

/// The complete answer of a pipeline with these stages to `payload`.
pub fn whole_answer(stages: &[&str], payload: &str) -> Vec<u8> {
    stages
        .iter()
        .fold(payload.as_bytes().to_vec(), |inner, stage| wrap(stage, &inner))
}

/// A call of the pipeline `summary` with a deadline one second after [`START`].
pub fn call(key: &str) -> Call {
    Call {
        key: key.into(),
        organisation: "small".into(),
        pipeline: "summary".into(),
        deadline: START + ms(1000),
        payload: Arc::from(key.as_bytes()),
        ..Call::default()
    }
}
