//! What the threads of a daemon share: the plan from control to traffic, and what operators look at.

use crate::lane::LaneSender;
use crate::settings::EntrySettings;
use arc_swap::ArcSwap;
use barleyspool_core::{ControlCounters, Counters, Plan, RequestKey, TargetId};
use barleyspool_wire::Clock;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize};
use tokio::sync::watch;

/// A target as one traffic thread sees it.
#[derive(Clone, Debug)]
pub struct TargetView {
    /// Its number.
    pub id: TargetId,
    /// IP number and port.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Its service.
    pub service: String,
    /// Its phase.
    pub phase: &'static str,
    /// Calls of this node.
    pub in_flight: u32,
    /// The present limit.
    pub limit: u32,
    /// Average latency in milliseconds.
    pub latency_ms: u64,
    /// Age of the last load report in milliseconds; `None` when there was none.
    pub report_age_ms: Option<u64>,
}

/// What a traffic thread shows of itself now and then.
#[derive(Clone, Debug, Default)]
pub struct LaneStats {
    /// Its counters.
    pub counters: Counters,
    /// Requests it is working on.
    pub live_requests: usize,
    /// Steps that wait.
    pub waiting_steps: u32,
    /// Its targets.
    pub targets: Vec<TargetView>,
}

/// Shared by all threads of a daemon.
#[derive(Debug)]
pub struct Shared {
    /// The settings.
    pub settings: EntrySettings,
    /// The clock.
    pub clock: Clock,
    /// The plan in force.
    pub plan: ArcSwap<Plan>,
    /// Tells the lanes that the plan was replaced.
    pub plan_changed: watch::Sender<u64>,
    /// The inboxes of the lanes.
    pub lanes: Vec<LaneSender>,
    /// What each lane last showed.
    pub lane_stats: Vec<ArcSwap<LaneStats>>,
    /// What the control state last counted.
    pub control_counters: ArcSwap<ControlCounters>,
    /// Calls refused because their lane took nothing more.
    pub lane_rejects: AtomicU64,
    /// Streams to callers that are open.
    pub open_streams: AtomicUsize,
    /// Set when the daemon is to end.
    pub shutdown: watch::Sender<bool>,
}

impl Shared {
    /// The lane that works on `key`: the same for every repeat of it.
    pub fn lane_for(&self, key: RequestKey) -> &LaneSender {
        &self.lanes[(key.0 % self.lanes.len() as u128) as usize]
    }

    /// All lanes' counters together.
    pub fn total_counters(&self) -> Counters {
        let mut total = Counters::default();
        for stats in &self.lane_stats {
            for (counter, value) in &stats.load().counters.values {
                total.add(*counter, *value);
            }
        }
        total
    }

    /// The name of a service in the configuration in force.
    pub fn service_name(&self, service: barleyspool_core::ServiceIx) -> String {
        let plan: Arc<Plan> = self.plan.load_full();
        let spec = plan
            .config
            .as_ref()
            .and_then(|config| config.services.get(usize::from(service.0)));
        spec.map(|service| service.name.clone()).unwrap_or_default()
    }
}
