//! What the two threads of a gateway share.

use crate::settings::GatewaySettings;
use arc_swap::ArcSwap;
use barleyspool_core::{BlockedCalls, CallFingerprint, Counters, ForwardPlan, IncarnationId, StopPhase};
use barleyspool_wire::Clock;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use tokio::sync::watch;

/// What the traffic thread has seen of a run of a target and tells the control thread, for other nodes.
#[derive(Copy, Clone, Debug)]
pub enum TargetObservation {
    /// It ended while it had a call.
    Crashed {
        /// The call.
        fingerprint: CallFingerprint,
        /// The run.
        incarnation: IncarnationId,
    },
    /// An answer said that it leaves.
    Leaving {
        /// The run.
        incarnation: IncarnationId,
    },
    /// An answer said what it takes.
    RateLimit {
        /// The run.
        incarnation: IncarnationId,
        /// The calls a second that it takes from all nodes; `None` when it limits nothing any more.
        per_s: Option<f64>,
    },
}

/// Shared by the threads of a gateway.
#[derive(Debug)]
pub struct Shared {
    /// The settings of the start.
    pub settings: GatewaySettings,
    /// The clock.
    pub clock: Clock,
    /// What traffic acts on.
    pub plan: ArcSwap<ForwardPlan>,
    /// Tells the traffic thread that the plan was replaced.
    pub plan_changed: watch::Sender<u64>,
    /// Calls that get no target for a while, since targets have ended under them.
    pub blocked_calls: ArcSwap<BlockedCalls>,
    /// What the traffic thread last counted.
    pub counters: ArcSwap<Counters>,
    /// Nodes whose updates wait to be passed on.
    pub queued_updates: AtomicUsize,
    /// Suspicions that were ignored because the teller knew older facts.
    pub outdated_suspicions: AtomicU64,
    /// Datagrams of other nodes that could not be read.
    pub datagrams_unreadable: AtomicU64,
    /// Calls to the source.
    pub source_calls: AtomicU64,
    /// When the source, or a node that reads it, last told how things are, in microseconds of the clock.
    pub source_answered_at: AtomicU64,
    /// Whether this node reads the source for its zone.
    pub is_source_reader: AtomicBool,
    /// Questions to other nodes for what is newer there.
    pub peer_requests: AtomicU64,
    /// Those that were not answered.
    pub failed_peer_requests: AtomicU64,
    /// Calls in flight.
    pub in_flight: AtomicUsize,
    /// Callers' connections that are open.
    pub caller_connections: AtomicUsize,
    /// How far a planned stop is.
    pub stop: watch::Sender<StopPhase>,
    /// Set when every connection of a caller that had been made was taken, and no new one can be made.
    pub listener_closed: AtomicBool,
    /// Whether the traffic thread is listening.
    pub listening: AtomicBool,
}

impl Shared {
    /// Counts a call to the source.
    pub fn count_source_call(&self) {
        self.source_calls.fetch_add(1, Ordering::Relaxed);
    }

    /// Whether a planned stop has come to `phase`.
    pub fn stop_reached(&self, phase: StopPhase) -> bool {
        *self.stop.borrow() >= phase
    }

    /// Counts a question to another node for what is newer there.
    pub fn count_peer_request(&self, answered: bool) {
        self.peer_requests.fetch_add(1, Ordering::Relaxed);
        self.failed_peer_requests
            .fetch_add(u64::from(!answered), Ordering::Relaxed);
    }
}
