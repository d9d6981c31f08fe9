//! The control thread: one control state, its questions to peers and platform, and its answers.

use crate::bulk_server;
use crate::lane::LaneNotice;
use crate::platform_client::{PlatformClient, WATCH_WAIT};
use crate::shared::Shared;
use barleyspool_core::chart::Symbol;
use barleyspool_core::{
    Control, ControlAction, ControlEvent, Gossip, NodePhase, PeerReply, Revision, Snapshot,
};
use barleyspool_wire::http::AbortOnDrop;
use barleyspool_wire::{peer, rpc};
use rand::Rng;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::{Mutex, mpsc, oneshot};

/// How often the control state is told that time passed.
const TICK: Duration = Duration::from_millis(20);
/// How long a peer may take to answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(1000);
/// The shortest wait after a failed read of the platform.
const RETRY_SHORTEST: Duration = Duration::from_millis(200);
/// The longest wait after a failed read of the platform.
const RETRY_LONGEST: Duration = Duration::from_secs(3);

/// What the control thread is told.
#[derive(Debug)]
pub enum ControlMessage {
    /// Something happened.
    Event(ControlEvent),
    /// A peer asks.
    Answer {
        /// What it says of itself.
        gossip: Gossip,
        /// Where the answer goes.
        reply: oneshot::Sender<PeerReply>,
    },
    /// A peer fetches what it does not have.
    Snapshot {
        /// The configuration it has.
        config: Revision,
        /// The list it has.
        fleet: Revision,
        /// Where the answer goes.
        reply: oneshot::Sender<Snapshot>,
    },
    /// An operator asks for the node's state.
    Status(oneshot::Sender<rpc::StatusReply>),
    /// An operator asks for the peers.
    Peers(oneshot::Sender<rpc::PeersReply>),
    /// The fetch from a peer has ended, with or without an answer.
    FetchEnded,
}

/// The control thread's inbox.
pub type ControlSender = mpsc::UnboundedSender<ControlMessage>;

/// The shell around the control state.
pub struct ControlThread {
    shared: Arc<Shared>,
    control: Control,
    inbox: ControlSender,
    clients: Arc<Mutex<HashMap<String, peer::PeerClient>>>,
    platform: Arc<Mutex<PlatformClient>>,
    watches: Vec<AbortOnDrop<()>>,
    /// The peer that is being fetched from. One at a time: a node that starts hears of what it lacks from many.
    fetching: Option<String>,
    phase: NodePhase,
    revision: Revision,
    refused: Revision,
}

impl ControlThread {
    /// A control thread around `control`.
    pub fn new(shared: Arc<Shared>, control: Control, inbox: ControlSender) -> Self {
        let settings = &shared.settings;
        let platform = PlatformClient::new(settings.configuration.clone(), settings.fleet.clone());
        Self {
            phase: control.phase(),
            control,
            inbox,
            clients: Arc::default(),
            platform: Arc::new(Mutex::new(platform)),
            watches: Vec::new(),
            fetching: None,
            revision: Revision(0),
            refused: Revision(0),
            shared,
        }
    }

    /// Runs until the daemon ends.
    pub async fn run(
        mut self,
        mut inbox: mpsc::UnboundedReceiver<ControlMessage>,
        mut notices: mpsc::UnboundedReceiver<LaneNotice>,
    ) {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        let mut ending = self.shared.ending.subscribe();
        loop {
            tokio::select! {
                Some(message) = inbox.recv() => self.take(message),
                Some(notice) = notices.recv() => self.step(match notice {
                    LaneNotice::Rest(rest) => ControlEvent::CooldownRequested(rest),
                    LaneNotice::Leaving(target) => ControlEvent::ReportedLeaving(target),
                    LaneNotice::Behind => ControlEvent::NewerRevisionSeen,
                }),
                _ = tick.tick() => {
                    let live = self.live();
                    self.step(ControlEvent::LiveRequests(live));
                }
                _ = ending.changed() => return,
            }
        }
    }

    /// What is still to be done for callers: requests, and streams not yet delivered to the end.
    fn live(&self) -> usize {
        let requests: usize = self.shared.stats.iter().map(|stats| stats.load().live).sum();
        requests + self.shared.open_streams.load(Ordering::Relaxed)
    }

    fn take(&mut self, message: ControlMessage) {
        let now = self.shared.clock.now();
        // An operator or a peer that has gone does not want its answer any more.
        match message {
            ControlMessage::Event(event) => self.step(event),
            ControlMessage::Answer { gossip, reply } => {
                let _ = reply.send(self.control.answer_gossip(now, &gossip));
            }
            ControlMessage::Snapshot { config, fleet, reply } => {
                let _ = reply.send(self.control.snapshot(config, fleet));
            }
            ControlMessage::Status(reply) => {
                let _ = reply.send(self.status());
            }
            ControlMessage::Peers(reply) => {
                let _ = reply.send(self.peers());
            }
            ControlMessage::FetchEnded => self.fetching = None,
        }
    }

    fn step(&mut self, event: ControlEvent) {
        let actions = self.control.step(self.shared.clock.now(), event);
        for action in actions {
            self.execute(action);
        }
        self.log_changes();
        self.shared
            .control_counters
            .store(Arc::new(self.control.counters().clone()));
    }

    fn execute(&mut self, action: ControlAction) {
        match action {
            ControlAction::SendGossip { address, gossip } => self.ask(address, gossip),
            ControlAction::FetchSnapshot {
                address,
                config,
                fleet,
            } => self.fetch(address, config, fleet),
            ControlAction::Watch(true) => {
                self.watches = vec![
                    AbortOnDrop(self.watch_configuration()),
                    AbortOnDrop(self.watch_fleet()),
                ];
            }
            ControlAction::Watch(false) => self.watches.clear(),
            ControlAction::ReadPlatform => self.read(),
            ControlAction::Publish(plan) => {
                self.shared.plan.store(Arc::from(plan));
                self.shared.plan_changed.send_modify(|count| *count += 1);
            }
            ControlAction::Exit => {
                spdlog::info!("stopped");
                self.shared.ending.send_replace(true);
            }
        }
    }

    fn log_changes(&mut self) {
        let (phase, revision) = (self.control.phase(), self.control.revision());
        let refused = self.control.store().rejected_revision();
        if phase != self.phase {
            spdlog::info!("node changed", kv: { phase = phase.name(), revision = revision.0 });
        }
        if revision != self.revision {
            spdlog::info!("configuration in force", kv: { revision = revision.0 });
        }
        if refused != self.refused {
            let faults: Vec<String> = self
                .control
                .store()
                .errors()
                .iter()
                .map(ToString::to_string)
                .collect();
            let faults = faults.join("; ");
            spdlog::warn!("configuration refused", kv: { revision = refused.0, faults = faults.as_str() });
        }
        (self.phase, self.revision, self.refused) = (phase, revision, refused);
    }

    // ------------------------------------------------------------------------
    // Questions

    fn ask(&self, address: String, gossip: Gossip) {
        let (clients, inbox, clock) = (Arc::clone(&self.clients), self.inbox.clone(), self.shared.clock);
        tokio::spawn(async move {
            let asked = clock.now();
            let known = clients.lock().await.get(&address).cloned();
            let client = match known {
                Some(client) => client,
                None => match peer::connect(&address).await {
                    Ok(client) => client,
                    Err(_) => return,
                },
            };
            match peer::ask(&client, gossip, ASK_TIMEOUT).await {
                Ok(reply) => {
                    clients.lock().await.insert(address, client);
                    let event = ControlEvent::PeerReplied {
                        sent_at: asked,
                        reply: Box::new(reply),
                    };
                    let _ = inbox.send(ControlMessage::Event(event));
                }
                Err(_) => {
                    clients.lock().await.remove(&address);
                }
            }
        });
    }

    fn fetch(&mut self, address: String, config: Revision, fleet: Revision) {
        if self.fetching.is_some() {
            return;
        }
        self.fetching = Some(address.clone());
        let inbox = self.inbox.clone();
        tokio::spawn(async move {
            if let Ok(snapshot) = bulk_server::fetch(&address, config, fleet).await {
                let event = ControlEvent::SnapshotReceived {
                    snapshot: Box::new(snapshot),
                };
                let _ = inbox.send(ControlMessage::Event(event));
            }
            let _ = inbox.send(ControlMessage::FetchEnded);
        });
    }

    fn watch_configuration(&self) -> tokio::task::JoinHandle<()> {
        let (platform, inbox) = (Arc::clone(&self.platform), self.inbox.clone());
        tokio::spawn(async move {
            let mut wait = RETRY_SHORTEST;
            // The first read asks for what there is; only then is a change waited for.
            let mut watch = Duration::ZERO;
            loop {
                let read = platform.lock().await.configuration(watch).await;
                watch = WATCH_WAIT;
                let failed = read.is_err();
                let event = match read {
                    Ok(Some(document)) => ControlEvent::ConfigRead {
                        document: Box::new(document),
                    },
                    Ok(None) => ControlEvent::ConfigUnchanged,
                    Err(_) => ControlEvent::ConfigFailed,
                };
                let _ = inbox.send(ControlMessage::Event(event));
                wait = back_off(failed, wait).await;
            }
        })
    }

    fn watch_fleet(&self) -> tokio::task::JoinHandle<()> {
        let (platform, inbox) = (Arc::clone(&self.platform), self.inbox.clone());
        let after = self.control.fleet().revision;
        tokio::spawn(async move {
            let mut after = after;
            let mut wait = RETRY_SHORTEST;
            let client = platform.lock().await.clone();
            loop {
                let read = client.fleet(after, WATCH_WAIT).await;
                let failed = read.is_err();
                match read {
                    Ok(Some(fleet)) => {
                        after = after.max(fleet.revision);
                        let event = ControlEvent::FleetRead {
                            fleet: Box::new(fleet),
                        };
                        let _ = inbox.send(ControlMessage::Event(event));
                    }
                    Ok(None) => {}
                    Err(_) => {
                        let _ = inbox.send(ControlMessage::Event(ControlEvent::FleetFailed));
                    }
                }
                wait = back_off(failed, wait).await;
            }
        })
    }

    /// Reads configuration and list once, for a node that is not one of the readers.
    fn read(&self) {
        let (platform, inbox) = (Arc::clone(&self.platform), self.inbox.clone());
        let after = self.control.fleet().revision;
        tokio::spawn(async move {
            let mut client = platform.lock().await.clone();
            let event = match client.configuration(Duration::ZERO).await {
                Ok(Some(document)) => ControlEvent::ConfigRead {
                    document: Box::new(document),
                },
                Ok(None) => ControlEvent::ConfigUnchanged,
                Err(_) => ControlEvent::ConfigFailed,
            };
            let _ = inbox.send(ControlMessage::Event(event));
            if let Ok(Some(fleet)) = client.fleet(after, Duration::ZERO).await {
                let event = ControlEvent::FleetRead {
                    fleet: Box::new(fleet),
                };
                let _ = inbox.send(ControlMessage::Event(event));
            }
        });
    }

    // ------------------------------------------------------------------------
    // Answers to operators

    fn status(&self) -> rpc::StatusReply {
        let now = self.shared.clock.now();
        let plan = self.shared.plan.load();
        let waiting: u32 = self.shared.stats.iter().map(|stats| stats.load().waiting).sum();
        let (lease, wait) = self.lease_status();
        rpc::StatusReply {
            node: self.shared.settings.node.to_string(),
            zone: self.shared.settings.zone.clone(),
            state: self.control.phase().name().to_owned(),
            revision: self.control.revision().0,
            fleet_revision: self.control.fleet().revision.0,
            epoch: self.control.epoch().0,
            lease,
            lease_wait_ms: wait,
            plan_age_ms: now.since(plan.refreshed_at).as_millis(),
            running: self.live() as u64,
            waiting: waiting.into(),
            uptime_ms: now.since(self.shared.clock.started()).as_millis(),
            version: env!("CARGO_PKG_VERSION").to_owned(),
        }
    }

    /// Whether this node may take unrepeatable keys of its own, and how long it still waits.
    fn lease_status(&self) -> (String, u64) {
        let now = self.shared.clock.now();
        let view = &self.shared.plan.load().lease;
        if now >= view.confirmed_until {
            return ("unconfirmed".to_owned(), 0);
        }
        match view.eras.last().and_then(|(_, settled)| *settled) {
            None => ("unconfirmed".to_owned(), 0),
            Some(settled) if now < settled => ("settling".to_owned(), settled.since(now).ceil_millis()),
            Some(_) => ("held".to_owned(), 0),
        }
    }

    fn peers(&self) -> rpc::PeersReply {
        let now = self.shared.clock.now();
        let state = |peer: &barleyspool_core::PeerEntry| rpc::PeerState {
            node: peer.listed.id.to_string(),
            address: peer.listed.address.clone(),
            zone: peer.listed.zone.clone(),
            state: peer.phase.name().to_owned(),
            epoch: peer.gossip.epoch.0,
            word_age_ms: now.since(peer.last_message_at).as_millis(),
        };
        rpc::PeersReply {
            peers: self.control.peers().iter().map(state).collect(),
        }
    }
}

/// Waits after a failure, longer each time and never in step with others; gives the next wait.
async fn back_off(failed: bool, wait: Duration) -> Duration {
    if !failed {
        return RETRY_SHORTEST;
    }
    let jitter = rand::rng().random_range(0.5..1.5);
    tokio::time::sleep(wait.mul_f64(jitter)).await;
    (wait * 2).min(RETRY_LONGEST)
}
