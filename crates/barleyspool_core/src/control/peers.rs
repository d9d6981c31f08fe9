//! The other entry nodes, from the point of view of this node.

use crate::chart::{Chart, ChartError, symbol};
use crate::{EntryNode, Fleet, Gossip, Incarnation, NodeId, Revision, Span, Time};
use std::collections::BTreeMap;

symbol! {
    /// Reachability of a peer from this node.
    PeerPhase {
        /// No message has been received from the peer.
        #[serde(rename = "Unheard")]
        Unknown = "unheard",
        /// A message was received recently.
        #[serde(rename = "Heard")]
        Responsive = "heard",
        /// Messages were received, but none recently.
        #[serde(rename = "Silent")]
        Unresponsive = "silent",
        /// The peer announced its planned stop.
        Leaving = "leaving",
    }
}

symbol! {
    /// Events that change the phase of a peer.
    PeerEvent {
        /// A message was received.
        #[serde(rename = "Replied")]
        MessageReceived = "replied",
        /// No message was received for more than [`MAX_MISSED_HEARTBEATS`] heartbeat intervals.
        #[serde(rename = "Silence")]
        TimedOut = "silence",
        /// The peer announced its planned stop.
        #[serde(rename = "SaidLeaving")]
        LeavingAnnounced = "said_leaving",
        /// A message of a newer incarnation was received.
        #[serde(rename = "Replaced")]
        Restarted = "replaced",
    }
}

const PEER_CHART: &str = include_str!("../../../../charts/peer.json");

/// Heartbeat intervals without a message after which a peer counts as unresponsive.
const MAX_MISSED_HEARTBEATS: u64 = 4;

/// A peer.
#[derive(Clone, Debug)]
pub struct PeerEntry {
    /// Its entry in the fleet list.
    pub listed: EntryNode,
    /// Its phase.
    pub phase: PeerPhase,
    /// When its last message was received; zero before the first.
    pub last_message_at: Time,
    /// Its last gossip message.
    pub gossip: Gossip,
    /// Whether it reported that it has lost its links to all targets.
    pub links_lost: bool,
    incarnation: Incarnation,
}

/// The other entry nodes.
#[derive(Debug)]
pub struct PeerTable {
    chart: Chart<PeerPhase, PeerEvent>,
    peers: BTreeMap<NodeId, PeerEntry>,
}

impl PeerTable {
    /// Creates an empty table.
    ///
    /// # Errors
    /// When the state chart file does not match the states and events of the code.
    pub fn new() -> Result<Self, ChartError> {
        Ok(Self {
            chart: Chart::load("peer", PEER_CHART)?,
            peers: BTreeMap::new(),
        })
    }

    /// Applies the entry nodes of a newer fleet list; the state of nodes that stay listed is kept.
    pub fn apply_fleet(&mut self, fleet: &Fleet, own_id: NodeId) {
        self.peers.retain(|id, _| fleet.entry(*id).is_some());
        for listed in fleet.entries.iter().filter(|entry| entry.id != own_id) {
            let phase = self.chart.initial();
            let peer = self.peers.entry(listed.id).or_insert_with(|| PeerEntry {
                listed: listed.clone(),
                phase,
                last_message_at: Time(0),
                gossip: Gossip::default(),
                links_lost: false,
                incarnation: Incarnation(0),
            });
            peer.listed.clone_from(listed);
        }
    }

    /// Records a gossip message of a peer; messages of unlisted nodes and of older incarnations are ignored.
    pub fn apply_gossip(&mut self, now: Time, gossip: &Gossip) {
        let Some(peer) = self.peers.get_mut(&gossip.from) else {
            return;
        };
        if gossip.incarnation < peer.incarnation {
            return;
        }
        if gossip.incarnation > peer.incarnation {
            peer.incarnation = gossip.incarnation;
            peer.links_lost = false;
            self.chart.step(&mut peer.phase, PeerEvent::Restarted);
        }
        let event = if gossip.stopping {
            PeerEvent::LeavingAnnounced
        } else {
            PeerEvent::MessageReceived
        };
        self.chart.step(&mut peer.phase, event);
        peer.last_message_at = now;
        peer.gossip.clone_from(gossip);
    }

    /// Marks the peers that have sent nothing for more than 4 heartbeat intervals as unresponsive.
    pub fn mark_unresponsive(&mut self, now: Time, heartbeat_interval: Span) {
        for peer in self.peers.values_mut() {
            if now.since(peer.last_message_at).0 > heartbeat_interval.0 * MAX_MISSED_HEARTBEATS {
                self.chart.step(&mut peer.phase, PeerEvent::TimedOut);
            }
        }
    }

    /// The control address of a peer.
    pub fn control_address(&self, id: NodeId) -> Option<String> {
        self.peers.get(&id).map(|peer| peer.listed.control.clone())
    }

    /// Records whether a peer has lost its links to all targets.
    pub fn record_links(&mut self, id: NodeId, lost: bool) {
        if let Some(peer) = self.peers.get_mut(&id) {
            peer.links_lost = lost;
        }
    }

    /// Whether a peer has lost its links to all targets.
    pub fn has_lost_links(&self, id: NodeId) -> bool {
        self.peers.get(&id).is_some_and(|peer| peer.links_lost)
    }

    /// Where a peer serves snapshots and tunnels; empty before its first message.
    pub fn bulk_address(&self, id: NodeId) -> String {
        self.peers
            .get(&id)
            .map(|peer| peer.gossip.bulk.clone())
            .unwrap_or_default()
    }

    /// The control addresses of all peers.
    pub fn control_addresses(&self) -> Vec<String> {
        self.peers
            .values()
            .map(|peer| peer.listed.control.clone())
            .collect()
    }

    /// The highest configuration revision that any peer has reported.
    pub fn newest_config(&self) -> Revision {
        self.peers
            .values()
            .map(|peer| peer.gossip.config)
            .max()
            .unwrap_or_default()
    }

    /// Whether a peer has sent messages before, but none recently.
    pub fn is_unresponsive(&self, id: NodeId) -> bool {
        self.peers
            .get(&id)
            .is_some_and(|peer| peer.phase == PeerPhase::Unresponsive)
    }

    /// Whether a peer has announced its planned stop.
    pub fn is_leaving(&self, id: NodeId) -> bool {
        self.peers
            .get(&id)
            .is_some_and(|peer| peer.phase == PeerPhase::Leaving)
    }

    /// All peers.
    pub fn iter(&self) -> impl Iterator<Item = &PeerEntry> {
        self.peers.values()
    }
}
