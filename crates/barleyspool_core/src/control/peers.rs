//! The other entry nodes, as this one hears them.

use crate::chart::{Chart, ChartError, symbol};
use crate::{EntryNode, Fleet, Gossip, Incarnation, NodeId, Revision, Span, Time};
use std::collections::BTreeMap;

symbol! {
    /// A peer as this node hears it.
    PeerPhase {
        /// Nothing was heard yet.
        #[serde(rename = "Unheard")]
        Unknown = "unheard",
        /// It was heard lately.
        #[serde(rename = "Heard")]
        Responsive = "heard",
        /// It was heard once, but not lately.
        #[serde(rename = "Silent")]
        Unresponsive = "silent",
        /// It said that it is stopping.
        Leaving = "leaving",
    }
}

symbol! {
    /// What can happen to a peer.
    PeerEvent {
        /// Something was heard from it.
        #[serde(rename = "Replied")]
        MessageReceived = "replied",
        /// Nothing was heard for several beats.
        #[serde(rename = "Silence")]
        TimedOut = "silence",
        /// It said that it is stopping.
        #[serde(rename = "SaidLeaving")]
        LeavingAnnounced = "said_leaving",
        /// A newer run of it was heard.
        #[serde(rename = "Replaced")]
        Restarted = "replaced",
    }
}

const PEER_CHART: &str = include_str!("../../../../charts/peer.json");

/// Beats without a word after which a peer counts as silent.
const MAX_MISSED_HEARTBEATS: u64 = 4;

/// One peer.
#[derive(Clone, Debug)]
pub struct PeerEntry {
    /// As the list has it.
    pub listed: EntryNode,
    /// Whether it reports.
    pub phase: PeerPhase,
    /// When it last reported.
    pub last_message_at: Time,
    /// What it last said.
    pub gossip: Gossip,
    incarnation: Incarnation,
}

/// The other entry nodes.
#[derive(Debug)]
pub struct PeerTable {
    chart: Chart<PeerPhase, PeerEvent>,
    peers: BTreeMap<NodeId, PeerEntry>,
}

impl PeerTable {
    /// An empty table.
    ///
    /// # Errors
    /// When the chart file does not fit the code.
    pub fn new() -> Result<Self, ChartError> {
        Ok(Self {
            chart: Chart::load("peer", PEER_CHART)?,
            peers: BTreeMap::new(),
        })
    }

    /// Takes the entry nodes of a newer list; what was heard of those that stay is kept.
    pub fn apply_fleet(&mut self, fleet: &Fleet, own_id: NodeId) {
        self.peers.retain(|id, _| fleet.entry(*id).is_some());
        for listed in fleet.entries.iter().filter(|entry| entry.id != own_id) {
            let phase = self.chart.initial();
            let peer = self.peers.entry(listed.id).or_insert_with(|| PeerEntry {
                listed: listed.clone(),
                phase,
                last_message_at: Time(0),
                gossip: Gossip::default(),
                incarnation: Incarnation(0),
            });
            peer.listed.clone_from(listed);
        }
    }

    /// Takes what a peer said of itself.
    pub fn apply_gossip(&mut self, now: Time, gossip: &Gossip) {
        let Some(peer) = self.peers.get_mut(&gossip.from) else {
            return;
        };
        if gossip.run < peer.incarnation {
            return;
        }
        if gossip.run > peer.incarnation {
            peer.incarnation = gossip.run;
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

    /// Notices who has not been heard for several beats.
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

    /// The highest configuration revision that any peer has said to have.
    pub fn newest_config(&self) -> Revision {
        self.peers
            .values()
            .map(|peer| peer.gossip.config)
            .max()
            .unwrap_or_default()
    }

    /// Whether a peer was heard once, but not lately.
    pub fn is_unresponsive(&self, id: NodeId) -> bool {
        self.peers
            .get(&id)
            .is_some_and(|peer| peer.phase == PeerPhase::Unresponsive)
    }

    /// Whether a peer said that it is stopping.
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
