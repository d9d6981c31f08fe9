//! The control state of an entry node: the configuration in force, the fleet list, the peers and the lease.
//!
//! It is a state machine without I/O: [`Control::step`] takes the current time and an event, and returns the
//! actions to execute. The traffic threads receive its state as a [`Plan`].

mod config_store;
mod counters;
mod gossip;
mod message;
mod peers;
mod planning;
mod settings;
mod updates;

pub use config_store::ConfigStore;
pub use counters::ControlCounters;
pub use message::{ControlAction, ControlEvent};
pub use peers::{PeerEntry, PeerPhase, PeerTable};
pub use settings::ControlSettings;

use crate::chart::{Chart, ChartError, symbol};
use crate::{
    Epoch, Fleet, Gossip, Incarnation, Lease, LeaseVote, LeavingTarget, PeerReply, PlanTarget, RequestKey,
    Revision, Snapshot, Span, TargetId, Time,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

symbol! {
    /// Readiness of a node.
    NodePhase {
        /// The node has no configuration.
        Empty = "empty",
        /// The node has a configuration and asks its peers whether they have a newer one.
        CatchingUp = "catching_up",
        /// The node admits requests.
        Serving = "serving",
        /// A planned stop is under way.
        Stopping = "stopping",
    }
}

symbol! {
    /// Events that change a node's readiness.
    NodeEvent {
        /// A configuration was accepted.
        Accepted = "accepted",
        /// A majority of the cell has replied and no peer has reported a newer configuration, or the startup
        /// timeout has expired.
        CaughtUp = "caught_up",
        /// A planned stop was requested.
        Stop = "stop",
    }
}

/// The chart of the readiness of a node, [`NodePhase`].
const CONFIGURATION_CHART: &str = include_str!("../../../../charts/configuration.json");

/// Range of the random delay after which a starting node that has received no fleet list from a peer reads
/// the platform itself: the configuration from the configuration service, and the fleet list.
const FIRST_READ_DELAY: (Span, Span) = (Span::from_millis(100), Span::from_millis(1500));

/// The control state of one entry node.
#[derive(Debug)]
pub struct Control {
    settings: ControlSettings,
    phase: NodePhase,
    chart: Chart<NodePhase, NodeEvent>,
    store: ConfigStore,
    fleet: Arc<Fleet>,
    /// The targets that this node uses, rebuilt whenever the configuration or the state of a target changes.
    targets: Arc<Vec<PlanTarget>>,
    lease: Lease,
    peers: PeerTable,
    /// Targets that reported their leaving, until the fleet list drops them or has a newer incarnation.
    leaving: BTreeSet<LeavingTarget>,
    /// End of the cooldown that an incarnation of a target requested from this node.
    cooldowns: BTreeMap<(TargetId, Incarnation), Time>,
    started_at: Time,
    /// The latest read of the configuration service that this node knows of, by any node.
    read_at: Time,
    next_heartbeat_at: Time,
    /// The earliest time of the next read of the platform by a node that keeps no watch.
    next_read_at: Time,
    /// When this node starts to read the platform if it still has no fleet list.
    first_read_at: Time,
    /// Whether this node has lost its links to all targets.
    links_lost: bool,
    /// When the planned stop began.
    stop_at: Option<Time>,
    /// Requests that the traffic threads have not finished.
    live_requests: usize,
    /// The last value of [`ControlAction::Watch`]; `None` before the first.
    watches_platform: Option<bool>,
    random: SmallRng,
    counters: ControlCounters,
    actions: Vec<ControlAction>,
}

impl Control {
    /// Creates the control state of a node that starts at `now`, with no configuration and no fleet list.
    ///
    /// # Errors
    /// When a state chart file does not match the states and events of the code.
    pub fn new(settings: ControlSettings, now: Time) -> Result<Self, ChartError> {
        let chart: Chart<NodePhase, NodeEvent> = Chart::load("configuration", CONFIGURATION_CHART)?;
        let mut random = SmallRng::seed_from_u64(settings.seed);
        let first_read_at = now + Span(random.random_range(FIRST_READ_DELAY.0.0..=FIRST_READ_DELAY.1.0));
        Ok(Self {
            phase: chart.initial(),
            chart,
            store: ConfigStore::new(settings.guards),
            fleet: Arc::default(),
            targets: Arc::default(),
            lease: Lease::new(settings.rules, settings.node, settings.incarnation)
                .with_guards(settings.guards),
            peers: PeerTable::new()?,
            leaving: BTreeSet::new(),
            cooldowns: BTreeMap::new(),
            started_at: now,
            read_at: Time(0),
            next_heartbeat_at: now,
            next_read_at: first_read_at,
            first_read_at,
            links_lost: false,
            stop_at: None,
            live_requests: 0,
            watches_platform: None,
            random,
            counters: ControlCounters::default(),
            actions: Vec::new(),
            settings,
        })
    }

    /// Handles an event at `now` and returns the actions to execute, in order.
    pub fn step(&mut self, now: Time, event: ControlEvent) -> Vec<ControlAction> {
        match event {
            ControlEvent::ConfigRead { document } => {
                self.read_at = now;
                self.apply_document(now, &document);
            }
            ControlEvent::ConfigUnchanged => self.read_at = now,
            ControlEvent::FleetRead { fleet } => self.apply_fleet(now, *fleet),
            ControlEvent::ConfigFailed | ControlEvent::FleetFailed => self.counters.failed_reads += 1,
            ControlEvent::PeerReplied { sent_at, reply } => self.handle_reply(now, sent_at, &reply),
            ControlEvent::SnapshotReceived { snapshot } => self.handle_snapshot(now, *snapshot),
            ControlEvent::ReportedLeaving(target) => self.handle_leaving(now, target),
            ControlEvent::CooldownRequested(cooldown) => self.handle_cooldown(now, cooldown),
            ControlEvent::NewerRevisionSeen => self.handle_newer_revision(now),
            ControlEvent::LinksLost(lost) => self.set_links_lost(now, lost),
            ControlEvent::PeerLinksLost { peer, lost } => {
                self.peers.record_links(peer, lost);
                self.publish(now);
            }
            ControlEvent::Stop => self.begin_stop(now),
            ControlEvent::LiveRequests(count) => self.live_requests = count,
            ControlEvent::Tick => {}
        }
        self.check_caught_up(now);
        self.heartbeat(now);
        self.exit_when_drained(now);
        std::mem::take(&mut self.actions)
    }

    /// Merges a peer's gossip and returns the reply: this node's gossip and its lease vote for the peer.
    pub fn answer_gossip(&mut self, now: Time, gossip: &Gossip) -> PeerReply {
        self.apply_gossip(now, gossip);
        let vote = if gossip.rules == self.settings.rules {
            self.lease.vote_for(gossip.from, gossip.incarnation)
        } else {
            self.counters.mismatched_rules += 1;
            LeaseVote::default()
        };
        PeerReply {
            gossip: self.own_gossip(now),
            vote,
        }
    }

    /// The changes that a peer at configuration revision `config` and fleet revision `fleet` lacks.
    pub fn snapshot(&self, config: Revision, fleet: Revision) -> Snapshot {
        let document = self
            .store
            .document()
            .filter(|document| document.revision > config);
        Snapshot {
            document: document.map(|document| document.changes_since(config)),
            fleet: (self.fleet.revision > fleet).then(|| Fleet::clone(&self.fleet)),
        }
    }

    // ------------------------------------------------------------------------
    // Accessors

    /// The readiness of the node.
    pub fn phase(&self) -> NodePhase {
        self.phase
    }

    /// The configuration revision in force; zero before the first.
    pub fn revision(&self) -> Revision {
        self.store.revision()
    }

    /// The configuration in force and the last one that was rejected.
    pub fn store(&self) -> &ConfigStore {
        &self.store
    }

    /// The latest fleet list.
    pub fn fleet(&self) -> &Arc<Fleet> {
        &self.fleet
    }

    /// The epoch of the node's lease.
    pub fn epoch(&self) -> Epoch {
        self.lease.epoch()
    }

    /// The other entry nodes.
    pub fn peers(&self) -> &PeerTable {
        &self.peers
    }

    /// Checks whether this node could accept an unrepeatable request with `key` at `now`; for operators.
    ///
    /// # Errors
    /// The reason why the lease does not permit it.
    pub fn check_key(&self, now: Time, key: RequestKey) -> Result<(), crate::LeaseRefusal> {
        self.lease.view().check(now, key)
    }

    /// Counters of the control state.
    pub fn counters(&self) -> &ControlCounters {
        &self.counters
    }
}
