//! The control thread: runs the control state, and exchanges its messages with peers, the platform and
//! operators.

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

/// The interval at which the control thread sends [`ControlEvent::LiveRequests`] to the control state. These are its
/// timer events: every event also tells it the time, so this thread never sends [`ControlEvent::Tick`].
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// The timeout of a gossip exchange with a peer.
const GOSSIP_TIMEOUT: Duration = Duration::from_millis(1000);
/// The delay after the first failed read from the platform.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);
/// The maximum delay between failed reads from the platform, before jitter.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(3);

/// A message to the control thread.
#[derive(Debug)]
pub enum ControlMessage {
    /// An event for the control state.
    Event(ControlEvent),
    /// A peer has sent its gossip.
    GossipRequest {
        /// The state of the peer.
        gossip: Gossip,
        /// Receives the reply.
        reply: oneshot::Sender<PeerReply>,
    },
    /// A peer fetches a newer configuration or fleet list.
    SnapshotRequest {
        /// The revision of the peer's configuration.
        config: Revision,
        /// The revision of the peer's fleet list.
        fleet: Revision,
        /// Receives the reply.
        reply: oneshot::Sender<Snapshot>,
    },
    /// An operator requests the state of the node.
    StatusRequest(oneshot::Sender<rpc::StatusReply>),
    /// An operator requests the list of peers.
    PeersRequest(oneshot::Sender<rpc::PeersReply>),
    /// The snapshot fetch from a peer has finished or failed.
    SnapshotFetchEnded,
}

/// The sender of the control thread's inbox.
pub type ControlSender = mpsc::UnboundedSender<ControlMessage>;

/// Passes events to the control state and executes its actions.
pub struct ControlThread {
    shared: Arc<Shared>,
    control: Control,
    inbox: ControlSender,
    peer_clients: Arc<Mutex<HashMap<String, peer::PeerClient>>>,
    platform: Arc<Mutex<PlatformClient>>,
    watch_tasks: Vec<AbortOnDrop<()>>,
    /// The peer from which a snapshot is being fetched. Only one fetch runs at a time, because many peers
    /// offer newer revisions to a starting node.
    snapshot_source: Option<String>,
    logged_phase: NodePhase,
    logged_revision: Revision,
    logged_rejection: Revision,
}

impl ControlThread {
    /// Creates the control thread for `control`.
    pub fn new(shared: Arc<Shared>, control: Control, inbox: ControlSender) -> Self {
        let settings = &shared.settings;
        let platform = PlatformClient::new(
            settings.configuration_address.clone(),
            settings.fleet_address.clone(),
        );
        Self {
            logged_phase: control.phase(),
            control,
            inbox,
            peer_clients: Arc::default(),
            platform: Arc::new(Mutex::new(platform)),
            watch_tasks: Vec::new(),
            snapshot_source: None,
            logged_revision: Revision(0),
            logged_rejection: Revision(0),
            shared,
        }
    }

    /// Runs until the daemon shuts down.
    pub async fn run(
        mut self,
        mut inbox: mpsc::UnboundedReceiver<ControlMessage>,
        mut notices: mpsc::UnboundedReceiver<LaneNotice>,
    ) {
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        let mut shutdown = self.shared.shutdown.subscribe();
        loop {
            tokio::select! {
                Some(message) = inbox.recv() => self.handle_message(message),
                Some(notice) = notices.recv() => self.step(match notice {
                    LaneNotice::Cooldown(cooldown) => ControlEvent::CooldownRequested(cooldown),
                    LaneNotice::Leaving(target) => ControlEvent::ReportedLeaving(target),
                    LaneNotice::NewerRevision => ControlEvent::NewerRevisionSeen,
                    LaneNotice::LinksLost(lost) => ControlEvent::LinksLost(lost),
                }),
                _ = tick.tick() => {
                    let live_requests = self.live_requests_and_streams();
                    self.step(ControlEvent::LiveRequests(live_requests));
                }
                _ = shutdown.changed() => return,
            }
        }
    }

    /// The number of unfinished requests plus the number of open streams to callers; a stopping node waits
    /// for both.
    fn live_requests_and_streams(&self) -> usize {
        let requests: usize = self
            .shared
            .lane_stats
            .iter()
            .map(|stats| stats.load().live_requests)
            .sum();
        requests + self.shared.open_streams.load(Ordering::Relaxed)
    }

    fn handle_message(&mut self, message: ControlMessage) {
        let now = self.shared.clock.now();
        // Sending a reply fails if the requester has disconnected; the error is ignored.
        match message {
            ControlMessage::Event(event) => self.step(event),
            ControlMessage::GossipRequest { gossip, reply } => {
                let _ = reply.send(self.control.answer_gossip(now, &gossip));
            }
            ControlMessage::SnapshotRequest { config, fleet, reply } => {
                let _ = reply.send(self.control.snapshot(config, fleet));
            }
            ControlMessage::StatusRequest(reply) => {
                let _ = reply.send(self.status());
            }
            ControlMessage::PeersRequest(reply) => {
                let _ = reply.send(self.peers());
            }
            ControlMessage::SnapshotFetchEnded => self.snapshot_source = None,
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
            ControlAction::SendGossip { address, gossip } => self.send_gossip(address, gossip),
            ControlAction::ReportLinks { address, lost } => self.report_links(address, lost),
            ControlAction::FetchSnapshot {
                address,
                config,
                fleet,
            } => self.fetch_snapshot(address, config, fleet),
            ControlAction::Watch(true) => {
                self.watch_tasks = vec![
                    AbortOnDrop(self.watch_configuration()),
                    AbortOnDrop(self.watch_fleet()),
                ];
            }
            ControlAction::Watch(false) => self.watch_tasks.clear(),
            ControlAction::ReadPlatform => self.read_platform(),
            ControlAction::Publish(plan) => {
                self.shared.plan.store(Arc::from(plan));
                self.shared.plan_changed.send_modify(|count| *count += 1);
            }
            ControlAction::Exit => {
                spdlog::info!("stopped");
                self.shared.shutdown.send_replace(true);
            }
        }
    }

    fn log_changes(&mut self) {
        let (phase, revision) = (self.control.phase(), self.control.revision());
        let rejected = self.control.store().rejected_revision();
        if phase != self.logged_phase {
            spdlog::info!("node changed", kv: { phase = phase.name(), revision = revision.0 });
        }
        if revision != self.logged_revision {
            spdlog::info!("configuration in force", kv: { revision = revision.0 });
        }
        if rejected != self.logged_rejection {
            let errors: Vec<String> = self
                .control
                .store()
                .errors()
                .iter()
                .map(ToString::to_string)
                .collect();
            let errors = errors.join("; ");
            spdlog::warn!("configuration refused", kv: { revision = rejected.0, faults = errors.as_str() });
        }
        (self.logged_phase, self.logged_revision, self.logged_rejection) = (phase, revision, rejected);
    }

    // ------------------------------------------------------------------------
    // Requests to peers and the platform

    fn send_gossip(&self, address: String, gossip: Gossip) {
        let (clients, inbox, clock) = (
            Arc::clone(&self.peer_clients),
            self.inbox.clone(),
            self.shared.clock,
        );
        tokio::spawn(async move {
            let sent_at = clock.now();
            let existing = clients.lock().await.get(&address).cloned();
            let client = match existing {
                Some(client) => client,
                None => match peer::connect(&address).await {
                    Ok(client) => client,
                    Err(_) => return,
                },
            };
            match peer::exchange_gossip(&client, gossip, GOSSIP_TIMEOUT).await {
                Ok(reply) => {
                    clients.lock().await.insert(address, client);
                    let event = ControlEvent::PeerReplied {
                        sent_at,
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

    /// Reports to a peer whether this node has lost its links to targets. A report that is lost is repeated with the next
    /// gossip.
    fn report_links(&self, address: String, lost: bool) {
        let from = self.shared.settings.node;
        tokio::spawn(async move {
            if let Ok(client) = peer::connect(&address).await {
                let _ = peer::report_links(&client, from, lost, GOSSIP_TIMEOUT).await;
            }
        });
    }

    fn fetch_snapshot(&mut self, address: String, config: Revision, fleet: Revision) {
        if self.snapshot_source.is_some() {
            return;
        }
        self.snapshot_source = Some(address.clone());
        let inbox = self.inbox.clone();
        tokio::spawn(async move {
            if let Ok(snapshot) = bulk_server::fetch_snapshot(&address, config, fleet).await {
                let event = ControlEvent::SnapshotReceived {
                    snapshot: Box::new(snapshot),
                };
                let _ = inbox.send(ControlMessage::Event(event));
            }
            let _ = inbox.send(ControlMessage::SnapshotFetchEnded);
        });
    }

    fn watch_configuration(&self) -> tokio::task::JoinHandle<()> {
        let (platform, inbox) = (Arc::clone(&self.platform), self.inbox.clone());
        tokio::spawn(async move {
            let mut delay = MIN_RETRY_DELAY;
            // The first read returns the current document at once; the later ones wait for a change.
            let mut watch_wait = Duration::ZERO;
            loop {
                let read = platform.lock().await.read_configuration(watch_wait).await;
                watch_wait = WATCH_WAIT;
                let failed = read.is_err();
                let event = match read {
                    Ok(Some(document)) => ControlEvent::ConfigRead {
                        document: Box::new(document),
                    },
                    Ok(None) => ControlEvent::ConfigUnchanged,
                    Err(_) => ControlEvent::ConfigFailed,
                };
                let _ = inbox.send(ControlMessage::Event(event));
                delay = back_off(failed, delay).await;
            }
        })
    }

    fn watch_fleet(&self) -> tokio::task::JoinHandle<()> {
        let (platform, inbox) = (Arc::clone(&self.platform), self.inbox.clone());
        let after = self.control.fleet().revision;
        tokio::spawn(async move {
            let mut after = after;
            let mut delay = MIN_RETRY_DELAY;
            let client = platform.lock().await.clone();
            loop {
                let read = client.read_fleet(after, WATCH_WAIT).await;
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
                delay = back_off(failed, delay).await;
            }
        })
    }

    /// Reads the configuration and the fleet list once, on a node that does not watch them.
    fn read_platform(&self) {
        let (platform, inbox) = (Arc::clone(&self.platform), self.inbox.clone());
        let after = self.control.fleet().revision;
        tokio::spawn(async move {
            let mut client = platform.lock().await.clone();
            let event = match client.read_configuration(Duration::ZERO).await {
                Ok(Some(document)) => ControlEvent::ConfigRead {
                    document: Box::new(document),
                },
                Ok(None) => ControlEvent::ConfigUnchanged,
                Err(_) => ControlEvent::ConfigFailed,
            };
            let _ = inbox.send(ControlMessage::Event(event));
            if let Ok(Some(fleet)) = client.read_fleet(after, Duration::ZERO).await {
                let event = ControlEvent::FleetRead {
                    fleet: Box::new(fleet),
                };
                let _ = inbox.send(ControlMessage::Event(event));
            }
        });
    }

    // ------------------------------------------------------------------------
    // Replies to operators

    /// The reply to a status request. Its `running` counts the unfinished requests and the open streams to callers,
    /// whereas `running` in the reply to a stop request counts the requests only.
    fn status(&self) -> rpc::StatusReply {
        let now = self.shared.clock.now();
        let plan = self.shared.plan.load();
        let waiting_steps: u32 = self
            .shared
            .lane_stats
            .iter()
            .map(|stats| stats.load().waiting_steps)
            .sum();
        let (lease, lease_wait_ms) = self.lease_status();
        rpc::StatusReply {
            node: self.shared.settings.node.to_string(),
            zone: self.shared.settings.zone.clone(),
            state: self.control.phase().name().to_owned(),
            revision: self.control.revision().0,
            fleet_revision: self.control.fleet().revision.0,
            epoch: self.control.epoch().0,
            lease,
            lease_wait_ms,
            plan_age_ms: now.since(plan.refreshed_at).as_millis(),
            running: self.live_requests_and_streams() as u64,
            waiting: waiting_steps.into(),
            uptime_ms: now.since(self.shared.clock.started_at()).as_millis(),
            version: env!("CARGO_PKG_VERSION").to_owned(),
        }
    }

    /// The state of the lease, under which this node accepts its own unrepeatable keys, and the remaining
    /// takeover wait in milliseconds.
    fn lease_status(&self) -> (String, u64) {
        let now = self.shared.clock.now();
        let lease = &self.shared.plan.load().lease;
        if now >= lease.confirmed_until {
            return ("unconfirmed".to_owned(), 0);
        }
        match lease.eras.last().and_then(|(_, owned_from)| *owned_from) {
            None => ("unconfirmed".to_owned(), 0),
            Some(owned_from) if now < owned_from => {
                ("settling".to_owned(), owned_from.since(now).ceil_millis())
            }
            Some(_) => ("held".to_owned(), 0),
        }
    }

    fn peers(&self) -> rpc::PeersReply {
        let now = self.shared.clock.now();
        let peer_state = |peer: &barleyspool_core::PeerEntry| rpc::PeerState {
            node: peer.listed.id.to_string(),
            address: peer.listed.address.clone(),
            zone: peer.listed.zone.clone(),
            state: peer.phase.name().to_owned(),
            epoch: peer.gossip.epoch.0,
            word_age_ms: now.since(peer.last_message_at).as_millis(),
        };
        rpc::PeersReply {
            peers: self.control.peers().iter().map(peer_state).collect(),
        }
    }
}

/// Waits after a failed read, with jitter so that nodes do not retry in step. Returns the delay for the next
/// failure, which doubles up to [`MAX_RETRY_DELAY`].
async fn back_off(failed: bool, delay: Duration) -> Duration {
    if !failed {
        return MIN_RETRY_DELAY;
    }
    let jitter = rand::rng().random_range(0.5..1.5);
    tokio::time::sleep(delay.mul_f64(jitter)).await;
    (delay * 2).min(MAX_RETRY_DELAY)
}
