//! The traffic thread: it serves callers, sends to targets and batches pieces.

mod admission;
mod answer_body;
mod answer_framing;
mod answer_reader;
mod call;
mod call_bounds;
mod call_guard;
mod caller_io;
mod callers;
mod connection_watch;
mod connections;
mod event_scanner;
mod final_send;
mod grants;
mod held_answer;
mod held_bytes;
mod peer_send;
mod peer_send_server;
mod peers;
mod placement;
mod pool;
mod pools;
mod reach;
mod read_call;
mod relay_progress;
mod relayed_stream;
mod retry_times;
mod send_guard;
mod send_request;
mod stage_results;
mod stages;
mod starting;
mod stopping;
mod stream_origins;
mod stream_relay;
mod target_body;
mod target_choice;
mod target_crashes;
mod target_reports;
mod target_send;

pub use answer_framing::head_fault;
pub use relay_progress::RelayProgress;
pub use relayed_stream::{RelayItem, RelayedStream};

use crate::adapters::Adapters;
use crate::event_log::EventLog;
use crate::shared::{Shared, StreamQuery, TargetObservation};
use barleyspool_core::{
    Counter, Counters, ForecastCorrection, ForwardPlan, Forwarder, OfferedPieces, RankedPieces, Time,
};
use barleyspool_wire::process::EssentialTasks;
use connections::Connections;
use held_answer::HeldAnswers;
use peers::{Owner, Peers};
use placement::Placements;
use pools::{PoolId, Pools};
use reach::ReachChecks;
use retry_times::RetryTimes;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use stream_origins::StreamOrigins;
use target_crashes::TargetCrashes;
use target_reports::TargetReports;
use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc};

/// How often the counters are published to the other threads.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(500);

/// The state that all tasks of the traffic thread share.
pub struct Traffic {
    /// The state that the threads share.
    pub shared: Arc<Shared>,
    /// The protocol adapters for callers and targets.
    pub adapters: Adapters,
    /// The event log.
    pub log: EventLog,
    /// The plan in force.
    pub plan: RefCell<Arc<ForwardPlan>>,
    /// Notifies calls that wait for a complete plan.
    pub plan_applied: Notify,
    /// Chooses targets for calls.
    pub forwarder: RefCell<Forwarder>,
    /// Idle connections to targets.
    pub connections: Connections,
    /// The pools that this node owns.
    pub pools: Pools,
    /// The other nodes: owners of pools and of engine placements.
    pub peers: Peers,
    /// The counters of this thread.
    pub counters: RefCell<Counters>,
    /// The total size of call and answer bodies in memory, in bytes; see [`held_bytes::HeldBytes`].
    pub held_bytes: Cell<u64>,
    /// The memory that answers of targets use, also while they are being received.
    pub answers: HeldAnswers,
    /// Calls that this node has placed at engines.
    pub placements: RefCell<Placements>,
    /// The pieces that calls admitted here have yet to submit, by the pool that will most likely get them.
    pub planned: RefCell<HashMap<PoolId, RankedPieces>>,
    /// The pieces that recent calls here asked for, by the pool that would most likely get them.
    pub offered: RefCell<HashMap<PoolId, OfferedPieces>>,
    /// The ratio of actual to forecast stage time, by route.
    pub forecast_correction: RefCell<ForecastCorrection>,
    /// When refused callers should retry.
    pub retry_times: RetryTimes,
    /// Calls under which targets crash.
    pub crashes: TargetCrashes,
    /// The reports of targets in the headers of their answers.
    pub reports: TargetReports,
    /// The software versions of streams.
    pub streams: StreamOrigins,
    /// Which services this node reaches over its own links.
    pub reach: ReachChecks,
    /// The number of calls that this node sends for other nodes now.
    pub peer_sends: Cell<usize>,
}

impl Traffic {
    /// The time now.
    pub fn now(&self) -> Time {
        self.shared.clock.now()
    }

    /// The plan in force.
    pub fn plan(&self) -> Arc<ForwardPlan> {
        Arc::clone(&self.plan.borrow())
    }

    /// Increments a counter.
    pub fn count(&self, counter: Counter) {
        self.counters.borrow_mut().count(counter);
    }

    /// The pieces a second that recent calls here ask of a pool, by rank.
    pub fn offered_to(&self, pool: &PoolId) -> RankedPieces {
        let offered = self.offered.borrow();
        let of_pool = offered.get(pool);
        of_pool.map_or_else(RankedPieces::default, |pieces| pieces.per_second(self.now()))
    }

    fn apply_plan(&self) {
        let plan = self.shared.plan.load_full();
        self.forwarder.borrow_mut().apply_plan(&plan);
        self.pools.apply_plan(&plan);
        if let Some(catalog) = &plan.catalog {
            self.forecast_correction
                .borrow_mut()
                .retain(|route| catalog.has_route(route));
            self.reach.retain(|service| catalog.service(service).is_some());
            self.retry_times
                .retain(|service| catalog.service(service).is_some());
            self.offered
                .borrow_mut()
                .retain(|id, _| id.is_current(&plan) && catalog.service(&id.service).is_some());
        }
        let before = self.plan.replace(Arc::clone(&plan));
        for (address, at) in plan.restarts.iter() {
            if before.restarts.get(address) != Some(at) {
                self.connections.forget(address);
            }
        }
        for (id, pool) in self.pools.all() {
            if self.peers.owner(self, &id) != Owner::Local || !id.is_current(&plan) {
                pool.hand_over(!self.reach.is_unreached(&id.service));
            }
        }
        if !Arc::ptr_eq(&before.targets, &plan.targets) {
            self.streams.apply_plan(self.now(), &plan);
        }
        self.plan_applied.notify_waiters();
    }
}

/// The listeners of the traffic thread.
#[derive(Debug)]
pub struct TrafficPorts {
    /// For callers.
    pub callers: TcpListener,
    /// For other nodes that need pieces or engines.
    pub pieces: TcpListener,
    /// For other nodes that reach no target of a service.
    pub peer_sends: TcpListener,
}

/// Runs the traffic thread until the process ends.
pub async fn run(
    shared: Arc<Shared>,
    adapters: Adapters,
    forwarder: Forwarder,
    log: EventLog,
    ports: TrafficPorts,
    (observations, stream_queries): (
        mpsc::UnboundedSender<TargetObservation>,
        mpsc::UnboundedSender<StreamQuery>,
    ),
) {
    // From mebibytes to bytes.
    let answers = HeldAnswers::new(shared.settings.answer_memory_mb << 20);
    let traffic = Rc::new(Traffic {
        shared,
        connections: Connections::new(adapters.target.answer_marks),
        adapters,
        log,
        plan: RefCell::default(),
        plan_applied: Notify::new(),
        forwarder: RefCell::new(forwarder),
        pools: Pools::default(),
        peers: Peers::default(),
        counters: RefCell::default(),
        held_bytes: Cell::new(0),
        answers,
        placements: RefCell::default(),
        planned: RefCell::default(),
        offered: RefCell::default(),
        forecast_correction: RefCell::default(),
        retry_times: RetryTimes::default(),
        crashes: TargetCrashes::new(observations.clone()),
        reports: TargetReports::new(observations.clone()),
        streams: StreamOrigins::new(observations.clone(), stream_queries),
        reach: ReachChecks::new(observations),
        peer_sends: Cell::new(0),
    });
    traffic.apply_plan();
    let mut tasks = EssentialTasks::default();
    tasks.spawn_local(callers::serve(Rc::clone(&traffic), ports.callers));
    tasks.spawn_local(peers::serve(Rc::clone(&traffic), ports.pieces));
    tasks.spawn_local(peer_send_server::serve(Rc::clone(&traffic), ports.peer_sends));
    tasks.spawn_local(reach::watch(Rc::clone(&traffic)));
    traffic.shared.listening.store(true, Ordering::Relaxed);
    let mut plans = traffic.shared.plan_changed.subscribe();
    let mut blocked = traffic.shared.blocked_changed.subscribe();
    let mut publish = tokio::time::interval(PUBLISH_INTERVAL);
    loop {
        tokio::select! {
            Ok(()) = plans.changed() => traffic.apply_plan(),
            Ok(()) = blocked.changed() => traffic.crashes.report_answers(&traffic),
            () = tasks.watch() => {}
            _ = publish.tick() => {
                traffic.connections.expire();
                let counters = traffic.counters.borrow().clone();
                if *traffic.shared.counters.load_full() != counters {
                    traffic.shared.counters.store(Arc::new(counters));
                }
            }
        }
    }
}
