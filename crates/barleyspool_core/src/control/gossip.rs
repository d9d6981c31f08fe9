//! Gossip with peers, and the choice of the nodes that read the platform.

use super::{Control, ControlAction, NodePhase};
use crate::{Gossip, Guard, LeavingTarget, PeerReply, Span, Time, rendezvous};
use rand::seq::IteratorRandom;

/// Nodes of a zone that watch the configuration service and the fleet list. The number is constant, so that
/// the load on the platform does not grow with the fleet.
const READERS_PER_ZONE: usize = 2;
/// Maximum number of leaving targets in one message.
const MAX_LEAVING: usize = 64;

impl Control {
    /// The gossip message that describes this node at `now`.
    pub(super) fn own_gossip(&self, now: Time) -> Gossip {
        Gossip {
            from: self.settings.node,
            incarnation: self.settings.incarnation,
            rules: self.settings.rules,
            epoch: self.lease.epoch(),
            config: self.store.revision(),
            fleet: self.fleet.revision,
            read_age_ms: now.since(self.read_at).as_millis().min(u64::from(u32::MAX)) as u32,
            stopping: self.phase == NodePhase::Stopping,
            leaving: self.leaving_targets(),
            bulk: self.settings.bulk_address.clone(),
        }
    }

    /// The leaving targets to gossip, at most [`MAX_LEAVING`].
    pub(super) fn leaving_targets(&self) -> Vec<LeavingTarget> {
        if !self.settings.guards.enforces(Guard::LeavingGossip) {
            return Vec::new();
        }
        self.leaving.iter().rev().take(MAX_LEAVING).copied().collect()
    }

    /// Merges the gossip of a peer, from a request or a reply.
    pub(super) fn apply_gossip(&mut self, now: Time, gossip: &Gossip) {
        self.peers.apply_gossip(now, gossip);
        let read_at = now - Span::from_millis(gossip.read_age_ms.into());
        self.read_at = self.read_at.max(read_at);
        for target in &gossip.leaving {
            let listed = self
                .fleet
                .targets
                .iter()
                .find(|listed| listed.id == target.target);
            if listed.is_none_or(|listed| listed.incarnation <= target.incarnation) {
                self.handle_leaving(now, *target);
            }
        }
    }

    /// Merges a peer's reply, applies its lease vote, and fetches what the peer has newer.
    pub(super) fn handle_reply(&mut self, now: Time, sent_at: Time, reply: &PeerReply) {
        self.counters.replies_received += 1;
        self.apply_gossip(now, &reply.gossip);
        if reply.gossip.rules == self.settings.rules {
            self.lease.apply_vote(now, reply.gossip.from, sent_at, reply.vote);
        } else {
            self.counters.mismatched_rules += 1;
        }
        let newer = reply.gossip.config > self.store.revision().max(self.store.rejected_revision())
            || reply.gossip.fleet > self.fleet.revision;
        if newer {
            let (config, fleet) = (self.store.revision(), self.fleet.revision);
            let address = reply.gossip.bulk.clone();
            self.actions.push(ControlAction::FetchSnapshot {
                address,
                config,
                fleet,
            });
        }
    }

    /// Once per heartbeat interval: gossips with peers, updates the platform watches and publishes a plan.
    pub(super) fn heartbeat(&mut self, now: Time) {
        if now < self.next_heartbeat_at {
            return;
        }
        self.next_heartbeat_at = now + self.settings.heartbeat_interval;
        self.peers
            .mark_unresponsive(now, self.settings.heartbeat_interval);
        let gossip = self.own_gossip(now);
        for address in self.gossip_addresses() {
            self.counters.gossip_sent += 1;
            if self.links_lost {
                // Repeated for peers that were added, restarted or missed the first report.
                let (address, lost) = (address.clone(), true);
                self.actions.push(ControlAction::ReportLinks { address, lost });
            }
            self.actions.push(ControlAction::SendGossip {
                address,
                gossip: gossip.clone(),
            });
        }
        let is_reader = self.is_platform_reader(now);
        if self.watches_platform != Some(is_reader) {
            self.watches_platform = Some(is_reader);
            self.actions.push(ControlAction::Watch(is_reader));
        }
        if !is_reader && now.since(self.read_at) > self.settings.max_read_age && now >= self.next_read_at {
            self.counters.fallback_reads += 1;
            self.read_platform(now);
        }
        self.publish(now);
    }

    /// Records whether this node has lost its links to all targets, and reports it.
    pub(super) fn set_links_lost(&mut self, now: Time, lost: bool) {
        if self.links_lost != lost {
            self.links_lost = lost;
            self.report_links();
            self.publish(now);
        }
    }

    /// Reports to all peers whether this node has lost its links to all targets.
    fn report_links(&mut self) {
        let lost = self.links_lost;
        for address in self.peers.control_addresses() {
            self.actions.push(ControlAction::ReportLinks { address, lost });
        }
    }

    /// Control addresses to gossip with now: the cell and `fanout` random nodes of the region, or the seeds
    /// while there is no fleet list.
    pub(super) fn gossip_addresses(&mut self) -> Vec<String> {
        let voters = self.lease.voters();
        let mut addresses: Vec<String> = voters
            .iter()
            .filter_map(|node| self.peers.control_address(*node))
            .collect();
        let region = &self.settings.region;
        let others = self.fleet.entries.iter().filter(|entry| {
            entry.region == *region && entry.id != self.settings.node && !voters.contains(&entry.id)
        });
        let chosen = others.choose_multiple(&mut self.random, self.settings.fanout);
        addresses.extend(chosen.into_iter().map(|entry| entry.control.clone()));
        if addresses.is_empty() {
            addresses.extend(self.settings.seeds.iter().cloned());
        }
        addresses
    }

    /// Whether this node is one of the [`READERS_PER_ZONE`] of its zone that watch the platform.
    pub(super) fn is_platform_reader(&self, now: Time) -> bool {
        let in_zone = |entry: &&crate::EntryNode| {
            entry.zone == self.settings.zone && entry.region == self.settings.region
        };
        let nodes = self
            .fleet
            .entries
            .iter()
            .filter(in_zone)
            .map(|entry| u64::from(entry.id.0));
        let ranked = rendezvous::rank(rendezvous::text_key("readers"), nodes);
        let own_id = u64::from(self.settings.node.0);
        if ranked.is_empty() {
            // Before the first fleet list a node waits for one from a peer: when a whole zone restarts, the
            // first node that reads the platform passes its list on to the others.
            return now >= self.first_read_at;
        }
        ranked.iter().take(READERS_PER_ZONE).any(|node| *node == own_id)
    }
}
