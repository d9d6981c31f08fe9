//! The state shared by the threads of a daemon: the plan, which the control thread publishes to the lanes,
//! and the state that operators read.

use crate::lane::LaneSender;
use crate::settings::EntrySettings;
use arc_swap::ArcSwap;
use barleyspool_core::{ControlCounters, Counters, Plan, RequestKey, TargetId};
use barleyspool_wire::Clock;
use std::sync::atomic::{AtomicU64, AtomicUsize};
use std::sync::{Arc, OnceLock};
use tokio::runtime::Handle;
use tokio::sync::watch;

/// The state of a target as one lane sees it.
#[derive(Clone, Debug)]
pub struct TargetView {
    /// The id of the target.
    pub id: TargetId,
    /// The IP address and port of the target.
    pub address: String,
    /// The availability zone of the target.
    pub zone: String,
    /// The name of the target's service.
    pub service: String,
    /// The name of the target's phase.
    pub phase: &'static str,
    /// The number of calls from this lane to the target.
    pub in_flight: u32,
    /// The current limit of `in_flight`.
    pub limit: u32,
    /// The average latency in milliseconds.
    pub latency_ms: u64,
    /// The age of the last load report in milliseconds; `None` if there was none.
    pub report_age_ms: Option<u64>,
}

/// The counters and state of a lane, which it publishes periodically.
#[derive(Clone, Debug, Default)]
pub struct LaneStats {
    /// The counters of the lane.
    pub counters: Counters,
    /// The number of unfinished requests.
    pub live_requests: usize,
    /// The number of waiting steps.
    pub waiting_steps: u32,
    /// The targets that the lane uses.
    pub targets: Vec<TargetView>,
}

/// The state shared by all threads of a daemon.
#[derive(Debug)]
pub struct Shared {
    /// The settings of the node.
    pub settings: EntrySettings,
    /// The clock that all threads use.
    pub clock: Clock,
    /// The plan in force.
    pub plan: ArcSwap<Plan>,
    /// Notifies the lanes that the plan was replaced.
    pub plan_changed: watch::Sender<u64>,
    /// The inboxes of the lanes.
    pub lanes: Vec<LaneSender>,
    /// The last published stats of each lane.
    pub lane_stats: Vec<ArcSwap<LaneStats>>,
    /// The last published counters of the control state.
    pub control_counters: ArcSwap<ControlCounters>,
    /// The number of calls refused because the inbox of their lane was full.
    pub lane_rejects: AtomicU64,
    /// The number of open streams to callers.
    pub open_streams: AtomicUsize,
    /// The number of tunnels to targets that are open for peers.
    pub open_tunnels: AtomicUsize,
    /// The runtime of a traffic thread, on which tunnels pass their bytes.
    pub traffic: OnceLock<Handle>,
    /// Set to `true` to shut the daemon down.
    pub shutdown: watch::Sender<bool>,
}

impl Shared {
    /// The lane for requests with `key`. Retries of a request have the same key and get the same lane.
    pub fn lane_for(&self, key: RequestKey) -> &LaneSender {
        &self.lanes[(key.0 % self.lanes.len() as u128) as usize]
    }

    /// The sum of the counters of all lanes.
    pub fn total_counters(&self) -> Counters {
        let mut total = Counters::default();
        for stats in &self.lane_stats {
            for (counter, value) in &stats.load().counters.values {
                total.add(*counter, *value);
            }
        }
        total
    }

    /// The name of a service in the configuration in force; empty if it is unknown.
    pub fn service_name(&self, service: barleyspool_core::ServiceIx) -> String {
        let plan: Arc<Plan> = self.plan.load_full();
        let spec = plan
            .config
            .as_ref()
            .and_then(|config| config.services.get(usize::from(service.0)));
        spec.map(|service| service.name.clone()).unwrap_or_default()
    }
}
