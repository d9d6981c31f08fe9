//! The control state of an entry node: what is in force, who is there, and under which lease it serves.
//!
//! Like the router it is stepped with the time and what happened. What it knows leaves it as a [`Plan`].

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
    /// Whether a node serves.
    NodePhase {
        /// It has no configuration.
        Empty = "empty",
        /// It has one, and asks its peers whether they know better.
        CatchingUp = "catching_up",
        /// It serves.
        Serving = "serving",
        /// A planned stop is under way.
        Stopping = "stopping",
    }
}

symbol! {
    /// What can happen to a node's readiness.
    NodeEvent {
        /// A configuration was accepted.
        Accepted = "accepted",
        /// A majority of peers was heard, or the wait for them is over.
        CaughtUp = "caught_up",
        /// A planned stop was asked for.
        Stop = "stop",
    }
}

const CONFIGURATION_CHART: &str = include_str!("../../../../charts/configuration.json");

/// When a starting node that no peer has told anything reads the platform itself, at random in between.
const FIRST_READ_DELAY: (Span, Span) = (Span::from_millis(100), Span::from_millis(1500));

/// The control state of one entry node.
#[derive(Debug)]
pub struct Control {
    settings: ControlSettings,
    phase: NodePhase,
    chart: Chart<NodePhase, NodeEvent>,
    store: ConfigStore,
    fleet: Arc<Fleet>,
    targets: Arc<Vec<PlanTarget>>,
    lease: Lease,
    peers: PeerTable,
    leaving: BTreeSet<LeavingTarget>,
    /// Until when runs of targets want nothing from this node.
    cooldowns: BTreeMap<(TargetId, Incarnation), Time>,
    started_at: Time,
    read_at: Time,
    next_heartbeat_at: Time,
    next_read_at: Time,
    first_read_at: Time,
    stop_at: Option<Time>,
    live_requests: usize,
    watches_platform: Option<bool>,
    random: SmallRng,
    counters: ControlCounters,
    actions: Vec<ControlAction>,
}

impl Control {
    /// The control state of a node that starts at `now` and knows nothing but its settings.
    ///
    /// # Errors
    /// When a chart file does not fit the code.
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
            stop_at: None,
            live_requests: 0,
            watches_platform: None,
            random,
            counters: ControlCounters::default(),
            actions: Vec::new(),
            settings,
        })
    }

    /// Tells the control state what happened at `now`, and takes what it wants done.
    pub fn step(&mut self, now: Time, event: ControlEvent) -> Vec<ControlAction> {
        match event {
            ControlEvent::ConfigRead { document } => {
                self.read_at = now;
                self.apply_document(now, &document);
            }
            ControlEvent::ConfigUnchanged => self.read_at = now,
            ControlEvent::FleetRead { fleet } => self.apply_fleet(now, *fleet),
            ControlEvent::ConfigFailed | ControlEvent::FleetFailed => self.counters.failed_reads += 1,
            ControlEvent::PeerReplied { asked_at, reply } => self.handle_reply(now, asked_at, &reply),
            ControlEvent::SnapshotReceived { snapshot } => self.handle_snapshot(now, *snapshot),
            ControlEvent::ReportedLeaving(target) => self.handle_leaving(now, target),
            ControlEvent::CooldownRequested(cooldown) => self.handle_cooldown(now, cooldown),
            ControlEvent::NewerRevisionSeen => self.handle_newer_revision(now),
            ControlEvent::Stop => self.begin_stop(now),
            ControlEvent::LiveRequests(count) => self.live_requests = count,
            ControlEvent::Tick => {}
        }
        self.check_caught_up(now);
        self.heartbeat(now);
        self.exit_when_drained(now);
        std::mem::take(&mut self.actions)
    }

    /// Answers a peer's question.
    pub fn answer_gossip(&mut self, now: Time, gossip: &Gossip) -> PeerReply {
        self.apply_gossip(now, gossip);
        let vote = if gossip.rules == self.settings.rules {
            self.lease.vote_for(gossip.from, gossip.run)
        } else {
            self.counters.mismatched_rules += 1;
            LeaseVote::default()
        };
        PeerReply {
            gossip: self.own_gossip(now),
            vote,
        }
    }

    /// What a peer that has `config` and `fleet` does not have yet.
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
    // What others may look at

    /// Whether the node serves.
    pub fn phase(&self) -> NodePhase {
        self.phase
    }

    /// The revision in force; zero before the first.
    pub fn revision(&self) -> Revision {
        self.store.revision()
    }

    /// The configuration in force and what was refused.
    pub fn store(&self) -> &ConfigStore {
        &self.store
    }

    /// The fleet list.
    pub fn fleet(&self) -> &Arc<Fleet> {
        &self.fleet
    }

    /// The node's epoch.
    pub fn epoch(&self) -> Epoch {
        self.lease.epoch()
    }

    /// The peers.
    pub fn peers(&self) -> &PeerTable {
        &self.peers
    }

    /// Whether this node could take `key` as unrepeatable, for operators.
    ///
    /// # Errors
    /// Why not.
    pub fn check_key(&self, now: Time, key: RequestKey) -> Result<(), crate::LeaseRefusal> {
        self.lease.view().check(now, key)
    }

    /// What has been counted.
    pub fn counters(&self) -> &ControlCounters {
        &self.counters
    }
}
