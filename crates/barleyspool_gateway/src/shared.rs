//! The state that the two threads of a gateway share.

use crate::pool_usages::PoolUsages;
use crate::settings::GatewaySettings;
use arc_swap::ArcSwap;
use barleyspool_core::{
    BlockedCalls, Counters, CrashReport, ForwardPlan, IncarnationId, ServiceSet, StopPhase, StreamId,
    StreamRecord, Suspect, Time, VersionId,
};
use barleyspool_wire::Clock;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use tokio::sync::{oneshot, watch};

/// What the traffic thread observed of a target, or of the links to targets. It is sent to the control thread, which passes
/// it on to other nodes.
#[derive(Clone, Debug)]
pub enum TargetObservation {
    /// The target crashed while it processed a call.
    Crashed(CrashReport),
    /// A target has given a call a complete answer that has something in common with those under which targets crashed.
    Answered {
        /// What they have in common.
        suspect: Suspect,
        /// When.
        at: Time,
        /// How many such answers this node has had lately.
        count: u32,
    },
    /// An answer reported that the target is shutting down.
    Leaving {
        /// The incarnation.
        incarnation: IncarnationId,
    },
    /// An answer reported the rate limit of the target.
    RateLimit {
        /// The incarnation.
        incarnation: IncarnationId,
        /// The calls per second that it accepts from all nodes together; `None` when it has no limit any more.
        per_s: Option<f64>,
    },
    /// An answer reported how many refusals in a second the targets of a service bear.
    Brittle {
        /// The service.
        service: String,
        /// The refusals in a second.
        refusals: f64,
    },
    /// The services of which this node reaches no target have changed to these.
    Unreached(ServiceSet),
    /// The software version of a target whose stream this node relays.
    Stream(StreamRecord),
}

/// A request of the traffic thread about a stream that a caller takes up.
#[derive(Debug)]
pub enum StreamQuery {
    /// Which software version began it.
    Version {
        /// The stream.
        stream: StreamId,
        /// Receives the version; `None` if it is unknown.
        reply: oneshot::Sender<Option<VersionId>>,
    },
    /// Whether other nodes confirm that this node's list of targets is current.
    ListCheck {
        /// The call that takes the stream up.
        call: StreamId,
        /// Receives whether it is.
        reply: oneshot::Sender<bool>,
    },
}

/// The state that the threads of a gateway share.
#[derive(Debug)]
pub struct Shared {
    /// The settings with which the process started.
    pub settings: GatewaySettings,
    /// The clock.
    pub clock: Clock,
    /// The plan that the traffic thread acts on.
    pub plan: ArcSwap<ForwardPlan>,
    /// Notifies the traffic thread that the plan was replaced.
    pub plan_changed: watch::Sender<u64>,
    /// Suspects of crashes, and which calls are not sent to targets for a while because of them.
    pub blocked_calls: ArcSwap<BlockedCalls>,
    /// Notifies the traffic thread that the blocked calls were replaced.
    pub blocked_changed: watch::Sender<u64>,
    /// The counters, as last published by the traffic thread.
    pub counters: ArcSwap<Counters>,
    /// The number of nodes whose updates wait to be sent to other nodes.
    pub queued_updates: AtomicUsize,
    /// Suspicions that were ignored because their sender had outdated information.
    pub outdated_suspicions: AtomicU64,
    /// Datagrams of other nodes that could not be decoded.
    pub unreadable_datagrams: AtomicU64,
    /// Requests to the source.
    pub source_calls: AtomicU64,
    /// When the source, or a node that reads it, last answered, in microseconds of the clock.
    pub source_answered_at: AtomicU64,
    /// The latest version of the configuration that another node has reported; zero before the first report.
    pub reported_version: AtomicU64,
    /// Whether this node reads the source on behalf of its zone.
    pub is_source_reader: AtomicBool,
    /// Requests to other nodes for newer configuration or targets.
    pub peer_requests: AtomicU64,
    /// Requests to other nodes that failed.
    pub failed_peer_requests: AtomicU64,
    /// Log lines that were not written, since the queue of lines was full or the output failed.
    pub dropped_lines: Arc<AtomicU64>,
    /// The number of services of which this node reaches no target.
    pub services_unreached: AtomicUsize,
    /// What the capacity for results of the pools of this node is used for.
    pub pool_usages: PoolUsages,
    /// Calls in flight.
    pub in_flight: AtomicUsize,
    /// Open connections of callers.
    pub caller_connections: AtomicUsize,
    /// The phase of a planned stop.
    pub stop: watch::Sender<StopPhase>,
    /// Whether the listener for callers is closed and every connection established before was accepted.
    pub listener_closed: AtomicBool,
    /// Whether the traffic thread accepts connections.
    pub listening: AtomicBool,
}

impl Shared {
    /// Counts a request to the source.
    pub fn count_source_call(&self) {
        self.source_calls.fetch_add(1, Ordering::Relaxed);
    }

    /// Whether a planned stop has reached `phase`.
    pub fn stop_reached(&self, phase: StopPhase) -> bool {
        *self.stop.borrow() >= phase
    }

    /// Counts a request to another node for newer configuration or targets, and its failure unless it was answered.
    pub fn count_peer_request(&self, answered: bool) {
        self.peer_requests.fetch_add(1, Ordering::Relaxed);
        self.failed_peer_requests
            .fetch_add(u64::from(!answered), Ordering::Relaxed);
    }
}
