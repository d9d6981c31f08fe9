//! The other entry nodes, as this one hears them.

use crate::chart::{Chart, ChartError, symbol};
use crate::{EntryNode, Fleet, Gossip, Incarnation, NodeId, Revision, Span, Time};
use std::collections::BTreeMap;

symbol! {
    /// A peer as this node hears it.
    PeerPhase {
        /// Nothing was heard yet.
        Unheard = "unheard",
        /// It was heard lately.
        Heard = "heard",
        /// It was heard once, but not lately.
        Silent = "silent",
        /// It said that it is stopping.
        Leaving = "leaving",
    }
}

symbol! {
    /// What can happen to a peer.
    PeerEvent {
        /// Something was heard from it.
        Replied = "replied",
        /// Nothing was heard for several beats.
        Silence = "silence",
        /// It said that it is stopping.
        SaidLeaving = "said_leaving",
        /// A newer run of it was heard.
        Replaced = "replaced",
    }
}

const PEER_CHART: &str = include_str!("../../../../charts/peer.json");

/// Beats without a word after which a peer counts as silent.
const SILENT_BEATS: u64 = 4;

/// One peer.
#[derive(Clone, Debug)]
pub struct PeerEntry {
    /// As the list has it.
    pub listed: EntryNode,
    /// Whether it reports.
    pub phase: PeerPhase,
    /// When it last reported.
    pub last_report: Time,
    /// What it last said.
    pub gossip: Gossip,
    run: Incarnation,
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
    pub fn relist(&mut self, fleet: &Fleet, me: NodeId) {
        self.peers.retain(|id, _| fleet.entry(*id).is_some());
        for listed in fleet.entries.iter().filter(|entry| entry.id != me) {
            let phase = self.chart.initial();
            let peer = self.peers.entry(listed.id).or_insert_with(|| PeerEntry {
                listed: listed.clone(),
                phase,
                last_report: Time(0),
                gossip: Gossip::default(),
                run: Incarnation(0),
            });
            peer.listed.clone_from(listed);
        }
    }

    /// Takes what a peer said of itself.
    pub fn take_gossip(&mut self, now: Time, gossip: &Gossip) {
        let Some(peer) = self.peers.get_mut(&gossip.from) else {
            return;
        };
        if gossip.run < peer.run {
            return;
        }
        if gossip.run > peer.run {
            peer.run = gossip.run;
            self.chart.step(&mut peer.phase, PeerEvent::Replaced);
        }
        let event = if gossip.stopping {
            PeerEvent::SaidLeaving
        } else {
            PeerEvent::Replied
        };
        self.chart.step(&mut peer.phase, event);
        peer.last_report = now;
        peer.gossip.clone_from(gossip);
    }

    /// Notices who has not been heard for several beats.
    pub fn silence(&mut self, now: Time, beat: Span) {
        for peer in self.peers.values_mut() {
            if now.since(peer.last_report).0 > beat.0 * SILENT_BEATS {
                self.chart.step(&mut peer.phase, PeerEvent::Silence);
            }
        }
    }

    /// The control address of a peer.
    pub fn control(&self, id: NodeId) -> Option<String> {
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
    pub fn silent(&self, id: NodeId) -> bool {
        self.peers
            .get(&id)
            .is_some_and(|peer| peer.phase == PeerPhase::Silent)
    }

    /// Whether a peer said that it is stopping.
    pub fn leaving(&self, id: NodeId) -> bool {
        self.peers
            .get(&id)
            .is_some_and(|peer| peer.phase == PeerPhase::Leaving)
    }

    /// All peers.
    pub fn iter(&self) -> impl Iterator<Item = &PeerEntry> {
        self.peers.values()
    }
}
