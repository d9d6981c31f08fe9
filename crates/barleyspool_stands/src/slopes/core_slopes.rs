//! The cost of the core's state machines, measured within this process.

use super::Slope;
use crate::process::resident_bytes;
use barleyspool_core::{
    AttemptEnd, Call, CallerId, Cell, CellId, Class, Config, ConfigDocument, ConfigHead, ConfigPart, Control,
    ControlEvent, ControlSettings, EntryNode, Epoch, Era, Fleet, Gossip, Incarnation, LeavingTarget,
    ListState, NodeId, Organisation, PartRef, Payload, PeerReply, Pipeline, Plan, Revision, Router,
    RouterSettings, Service, ServiceKind, Span, Stage, TargetId, TargetNode, Time, TrafficAction,
    TrafficEvent, VersionedPart,
};
use std::error::Error;
use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant;

/// The number of configuration parts that the organisations are distributed over, so that the stored value of
/// each part stays under a megabyte.
const PART_COUNT: usize = 64;
/// The number of entry nodes in a cell at the planned size.
const CELL_SIZE: usize = 13;
/// The virtual time at which the measurements start; the value is arbitrary.
const START: Time = Time::from_millis(1_000_000_000);

/// Builds a configuration with four services, seven pipelines and this many organisations.
fn test_document(organisations: usize) -> ConfigDocument {
    let services = ["encode", "retrieve", "rerank", "generate"];
    let service = |name: &&str| Service {
        name: (*name).to_owned(),
        kind: if *name == "generate" {
            ServiceKind::Engine
        } else {
            ServiceKind::Pool
        },
        expected_ms: 1,
        cost: 1.0,
    };
    let stages = services
        .iter()
        .map(|name| Stage {
            service: (*name).to_owned(),
            ..Stage::default()
        })
        .collect();
    let pipelines = (0..7).map(|nth| Pipeline {
        name: format!("pipeline-{nth}"),
        class: "page".to_owned(),
        deadline_ms: 60_000,
        stages: Vec::clone(&stages),
    });
    let organisation = |nth: usize| Organisation {
        name: format!("organisation-{nth:06}"),
        weight: 1,
        pipelines: vec!["pipeline-1".to_owned(), "pipeline-2".to_owned()],
    };
    let part = |nth: usize| VersionedPart {
        key: format!("organisations/{nth}"),
        revision: Revision(1),
        part: Arc::new(ConfigPart {
            organisations: (0..organisations)
                .filter(|org| org % PART_COUNT == nth)
                .map(organisation)
                .collect(),
        }),
    };
    ConfigDocument {
        revision: Revision(1),
        head: ConfigHead {
            classes: vec![Class {
                name: "page".to_owned(),
                queue: 1_000_000,
                deferrable: false,
            }],
            services: services.iter().map(service).collect(),
            pipelines: pipelines.collect(),
            parts: (0..PART_COUNT)
                .map(|nth| PartRef {
                    key: format!("organisations/{nth}"),
                    revision: Revision(1),
                })
                .collect(),
            placement: Vec::new(),
        },
        parts: (0..PART_COUNT).map(part).collect(),
    }
}

/// Builds a fleet list with this many entry nodes and targets, in four zones and two regions.
fn test_fleet(entries: usize, targets: usize) -> Fleet {
    let cells = entries.div_ceil(CELL_SIZE);
    let entry = |nth: usize| EntryNode {
        id: NodeId(nth as u32 + 1),
        address: format!("10.20.{}.{}:7100", nth / 250, nth % 250),
        control: format!("10.20.{}.{}:7101", nth / 250, nth % 250),
        bulk: format!("10.20.{}.{}:7102", nth / 250, nth % 250),
        zone: format!("zone-{}", nth % 4),
        region: format!("region-{}", nth % 4 / 2),
        cell: CellId((nth / CELL_SIZE) as u16),
        state: ListState::Live,
    };
    let target = |nth: usize| TargetNode {
        id: TargetId(nth as u32),
        incarnation: Incarnation(1),
        address: format!("10.30.{}.{}:8000", nth / 250, nth % 250),
        zone: format!("zone-{}", nth % 4),
        region: format!("region-{}", nth % 4 / 2),
        service: ["encode", "retrieve", "rerank", "generate"][nth / 4 % 4].to_owned(),
        slots: 8,
        fences: true,
        state: ListState::Live,
    };
    let cell = |nth: usize| Cell {
        id: CellId(nth as u16),
        region: format!("region-{}", nth % 2),
        eras: vec![Era {
            epoch: Epoch(1),
            members: (nth * CELL_SIZE..entries.min((nth + 1) * CELL_SIZE))
                .map(|id| NodeId(id as u32 + 1))
                .collect(),
        }],
        ..Cell::default()
    };
    Fleet {
        revision: Revision(1),
        entries: (0..entries).map(entry).collect(),
        cells: (0..cells).map(cell).collect(),
        targets: (0..targets).map(target).collect(),
    }
}

fn new_control(seed: u64) -> Result<Control, Box<dyn Error>> {
    let settings = ControlSettings {
        node: NodeId(1),
        incarnation: Incarnation(1),
        zone: "zone-0".to_owned(),
        region: "region-0".to_owned(),
        seed,
        ..ControlSettings::default()
    };
    Ok(Control::new(settings, START)?)
}

/// Creates a control state machine that has read its configuration and a fleet list, and is ready to serve.
fn control_with_fleet(
    organisations: usize,
    entries: usize,
    targets: usize,
) -> Result<Control, Box<dyn Error>> {
    let mut control = new_control(1)?;
    control.step(
        START,
        ControlEvent::ConfigRead {
            document: Box::new(test_document(organisations)),
        },
    );
    control.step(
        START,
        ControlEvent::FleetRead {
            fleet: Box::new(test_fleet(entries, targets)),
        },
    );
    control.step(START + Span::from_secs(4), ControlEvent::Tick);
    Ok(control)
}

fn slope(
    name: &str,
    size_unit: &'static str,
    cost_unit: &'static str,
    projected_size: f64,
    points: Vec<(f64, f64)>,
) -> Slope {
    Slope {
        name: name.to_owned(),
        size_unit,
        cost_unit,
        points,
        projected_size,
    }
}

/// Returns the shortest of several runs, in microseconds. The minimum is the least affected by other load on
/// the machine.
fn shortest_run_us(runs: usize, mut body: impl FnMut()) -> f64 {
    let time = |_| {
        let started_at = Instant::now();
        body();
        started_at.elapsed().as_secs_f64() * 1e6
    };
    (0..runs).map(time).fold(f64::MAX, f64::min)
}

/// Measures the costs of the core at several sizes.
///
/// # Errors
/// When a state chart cannot be loaded or a message cannot be encoded.
pub fn core_slopes() -> Result<Vec<Slope>, Box<dyn Error>> {
    let organisations = [5, 11_750, 23_500, 47_000];
    let fleets = [(9, 40), (102, 180), (205, 360), (410, 720)];
    // Memory is measured as growth of the resident size of this process. Memory freed by earlier measurements
    // would hide that growth, so the measurements of memory run first.
    let mut slopes = request_slopes()?;
    slopes.extend(configuration_slopes(&organisations)?);
    slopes.extend(fleet_list_slopes(&fleets)?);
    Ok(slopes)
}

fn configuration_slopes(sizes: &[usize]) -> Result<Vec<Slope>, Box<dyn Error>> {
    let (mut check_time, mut memory, mut full_size, mut change_size) =
        (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    for &size in sizes {
        let document = test_document(size);
        check_time.push((
            size as f64,
            shortest_run_us(3, || drop(black_box(Config::from_document(&document, None)))) / 1000.0,
        ));
        let before = resident_bytes(std::process::id());
        let copies: Vec<_> = (0..4)
            .map(|_| (Config::from_document(&document, None), deep_copy(&document)))
            .collect();
        let used_bytes =
            resident_bytes(std::process::id()).saturating_sub(before) as f64 / copies.len() as f64;
        memory.push((size as f64, used_bytes / 1e6));
        drop(black_box(copies));
        full_size.push((
            size as f64,
            rmp_serde::to_vec_named(&document)?.len() as f64 / 1000.0,
        ));
        let mut changed = document.clone();
        changed.revision = Revision(2);
        changed.parts[0].revision = Revision(2);
        change_size.push((
            size as f64,
            rmp_serde::to_vec_named(&changed.changes_since(Revision(1)))?.len() as f64 / 1000.0,
        ));
    }
    Ok(vec![
        slope(
            "control: check and resolve a configuration",
            "organisations",
            "ms",
            47_000.0,
            check_time,
        ),
        slope(
            "control: a configuration in memory, document and resolved",
            "organisations",
            "MB",
            47_000.0,
            memory,
        ),
        slope(
            "bulk: a whole configuration, as a starting node fetches it",
            "organisations",
            "KB",
            47_000.0,
            full_size,
        ),
        slope(
            "bulk: a change of one part, as a running node fetches it",
            "organisations",
            "KB",
            47_000.0,
            change_size,
        ),
    ])
}

/// Returns a copy that shares no parts with `document`, as if it had been parsed separately.
fn deep_copy(document: &ConfigDocument) -> ConfigDocument {
    let copy = |at: &VersionedPart| VersionedPart {
        part: Arc::new(ConfigPart::clone(&at.part)),
        ..at.clone()
    };
    ConfigDocument {
        parts: document.parts.iter().map(copy).collect(),
        ..document.clone()
    }
}

fn fleet_list_slopes(fleets: &[(usize, usize)]) -> Result<Vec<Slope>, Box<dyn Error>> {
    let (mut bytes, mut apply_time, mut tick_time, mut answer_time, mut gossip_rate) =
        (Vec::new(), Vec::new(), Vec::new(), Vec::new(), Vec::new());
    let (mut exchange_bytes, mut used_targets) = (Vec::new(), Vec::new());
    for &(entries, targets) in fleets {
        let list = test_fleet(entries, targets);
        let size = (entries + targets) as f64;
        bytes.push((size, rmp_serde::to_vec_named(&list)?.len() as f64 / 1000.0));
        let mut revision = 1;
        let mut node = control_with_fleet(5, entries, targets)?;
        apply_time.push((
            size,
            shortest_run_us(5, || {
                revision += 1;
                let fleet = Box::new(Fleet {
                    revision: Revision(revision),
                    ..list.clone()
                });
                drop(black_box(node.step(START, ControlEvent::FleetRead { fleet })));
            }) / 1000.0,
        ));
        let mut now = START + Span::from_secs(10);
        let mut gossip_sent = 0.0;
        let cost = shortest_run_us(20, || {
            now = now + Span::from_millis(500);
            let actions = node.step(now, ControlEvent::Tick);
            gossip_sent = actions
                .iter()
                .filter(|action| matches!(action, barleyspool_core::ControlAction::SendGossip { .. }))
                .count() as f64;
            drop(black_box(actions));
        });
        tick_time.push((size, cost / 1000.0));
        // Each step is one heartbeat, and the default heartbeat interval is 500 ms, so there are two per second.
        gossip_rate.push((entries as f64, gossip_sent * 2.0));
        let gossip = Gossip {
            from: NodeId(2),
            bulk: "10.20.0.1:7102".to_owned(),
            leaving: vec![
                LeavingTarget {
                    target: TargetId(1),
                    incarnation: Incarnation(1)
                };
                3
            ],
            ..Gossip::default()
        };
        answer_time.push((
            size,
            shortest_run_us(20, || drop(black_box(node.answer_gossip(now, &gossip)))),
        ));
        let reply = PeerReply {
            gossip: gossip.clone(),
            ..PeerReply::default()
        };
        let message = rmp_serde::to_vec(&gossip)?.len() + rmp_serde::to_vec(&reply)?.len();
        exchange_bytes.push((entries as f64, message as f64));
        used_targets.push((size, node.plan(now).targets.len() as f64));
    }
    Ok(vec![
        slope("bulk: a fleet list", "entries and targets", "KB", 1130.0, bytes),
        slope(
            "control: apply a fleet list",
            "entries and targets",
            "ms",
            1130.0,
            apply_time,
        ),
        slope(
            "control: one tick",
            "entries and targets",
            "ms",
            1130.0,
            tick_time,
        ),
        slope(
            "control: answer one gossip request",
            "entries and targets",
            "us",
            1130.0,
            answer_time,
        ),
        slope(
            "control: questions (gossip requests) to peers a second",
            "entries",
            "questions",
            410.0,
            gossip_rate,
        ),
        slope(
            "control: bytes of one gossip request with its reply",
            "entries",
            "bytes",
            410.0,
            exchange_bytes,
        ),
        slope(
            "traffic: targets that a node uses",
            "entries and targets",
            "targets",
            1130.0,
            used_targets,
        ),
    ])
}

// ----------------------------------------------------------------------------
// Requests

/// A router with the plan of a whole fleet, whose dispatched steps are answered by the harness.
struct RouterHarness {
    router: Router,
    /// Dispatched steps that have no answer yet.
    dispatched: Vec<(barleyspool_core::AttemptId, barleyspool_core::StepOrder)>,
    now: Time,
    last_request: u64,
}

impl RouterHarness {
    fn new(organisations: usize, entries: usize, targets: usize) -> Result<Self, Box<dyn Error>> {
        let now = START + Span::from_secs(4);
        let plan: Plan = control_with_fleet(organisations, entries, targets)?.plan(now);
        let mut router = Router::new(RouterSettings {
            node: NodeId(1),
            ..RouterSettings::default()
        })?;
        router.apply_plan(now, Arc::new(plan));
        Ok(Self {
            router,
            dispatched: Vec::new(),
            now,
            last_request: 0,
        })
    }

    fn submit_request(&mut self, organisation: usize) {
        self.last_request += 1;
        let call = Call {
            key: format!("k{}", self.last_request),
            organisation: format!("organisation-{organisation:06}"),
            pipeline: "pipeline-1".to_owned(),
            deadline: self.now + Span::from_secs(50),
            ..Call::default()
        };
        let event = TrafficEvent::Arrive {
            caller: CallerId(self.last_request),
            call,
        };
        let actions = self.router.step(self.now, event);
        self.record_dispatches(actions);
    }

    fn record_dispatches(&mut self, actions: Vec<TrafficAction>) {
        for action in actions {
            if let TrafficAction::Dispatch { attempt, order } = action {
                self.dispatched.push((attempt, order));
            }
        }
    }

    fn answer_last_dispatched(&mut self) {
        let Some((attempt, order)) = self.dispatched.pop() else {
            return;
        };
        self.now = self.now + Span(10);
        let end = AttemptEnd::Done {
            output: Payload::default(),
            length: 0,
        };
        let event = TrafficEvent::Ended {
            attempt,
            echo: Some(order.echo),
            end,
            report: None,
            leaving: false,
        };
        let actions = self.router.step(self.now, event);
        self.record_dispatches(actions);
    }

    /// Returns the average time, in microseconds, that the router takes to process a request of four stages.
    fn request_us(&mut self, count: usize) -> f64 {
        let started_at = Instant::now();
        for _ in 0..count {
            self.submit_request(0);
            while !self.dispatched.is_empty() {
                self.answer_last_dispatched();
            }
        }
        started_at.elapsed().as_secs_f64() * 1e6 / count as f64
    }
}

fn request_slopes() -> Result<Vec<Slope>, Box<dyn Error>> {
    let (mut by_targets, mut by_organisations, mut memory, mut answer_time) =
        (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    for (entries, targets) in [(9, 40), (102, 180), (205, 360), (410, 720)] {
        let mut harness = RouterHarness::new(5, entries, targets)?;
        let shortest = (0..5).map(|_| harness.request_us(400)).fold(f64::MAX, f64::min);
        by_targets.push((targets as f64, shortest));
        let plan = Arc::clone(harness.router.plan());
        let lookup_time = shortest_run_us(20, || {
            (0..100).for_each(|n| drop(black_box(plan.addresses("zone-1", None, n))));
        }) / 100.0;
        answer_time.push((entries as f64, lookup_time));
    }
    let mut harness = RouterHarness::new(47_000, 9, 40)?;
    let before = resident_bytes(std::process::id());
    for active in [5, 500, 5_000, 23_500, 47_000] {
        (harness.router.live_requests()..active)
            .for_each(|organisation| harness.submit_request(organisation));
        if active >= 5_000 {
            let used_bytes = resident_bytes(std::process::id()).saturating_sub(before);
            memory.push((harness.router.live_requests() as f64, used_bytes as f64 / 1e6));
        }
        // The time to process one more arrival while all those requests wait.
        let shortest = (0..5)
            .map(|_| {
                let started_at = Instant::now();
                (0..200).for_each(|nth| harness.submit_request(nth));
                started_at.elapsed().as_secs_f64() * 1e6 / 200.0
            })
            .fold(f64::MAX, f64::min);
        by_organisations.push((harness.router.active_organisations() as f64, shortest));
    }
    Ok(vec![
        slope(
            "traffic: decisions about one request of four stages",
            "targets",
            "us",
            720.0,
            by_targets,
        ),
        slope(
            "traffic: decide about an arrival, with others waiting",
            "organisations active",
            "us",
            47_000.0,
            by_organisations,
        ),
        slope(
            "traffic: memory of waiting requests of as many organisations",
            "requests",
            "MB",
            47_000.0,
            memory,
        ),
        slope("traffic: answer one Ask", "entries", "us", 410.0, answer_time),
    ])
}
