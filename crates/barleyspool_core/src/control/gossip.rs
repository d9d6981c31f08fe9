//! What a node and its peers tell each other, and who reads the platform.

use super::{Control, ControlAction, NodePhase};
use crate::{Gossip, Guard, LeavingTarget, PeerReply, Span, Time, rendezvous};
use rand::seq::IteratorRandom;

/// How many nodes of a zone read the configuration service; their number does not grow with the fleet.
const READERS: usize = 2;
/// The most leaving targets that one message names.
const MAX_LEAVING: usize = 64;

impl Control {
    pub(super) fn gossip(&self, now: Time) -> Gossip {
        Gossip {
            from: self.settings.node,
            run: self.settings.run,
            rules: self.settings.rules,
            epoch: self.lease.epoch(),
            config: self.store.revision(),
            fleet: self.fleet.revision,
            read_age: now.since(self.read_at).as_millis().min(u64::from(u32::MAX)) as u32,
            stopping: self.phase == NodePhase::Stopping,
            leaving: self.known_leaving(),
            bulk: self.settings.bulk.clone(),
        }
    }

    pub(super) fn known_leaving(&self) -> Vec<LeavingTarget> {
        if !self.settings.guards.enforces(Guard::LeavingGossip) {
            return Vec::new();
        }
        self.leaving.iter().rev().take(MAX_LEAVING).copied().collect()
    }

    /// Takes what a peer says of itself, whether it asked or replied.
    pub(super) fn take_gossip(&mut self, now: Time, gossip: &Gossip) {
        self.peers.take_gossip(now, gossip);
        let read_at = now - Span::from_millis(gossip.read_age.into());
        self.read_at = self.read_at.max(read_at);
        for target in &gossip.leaving {
            let listed = self
                .fleet
                .targets
                .iter()
                .find(|listed| listed.id == target.target);
            if listed.is_none_or(|listed| listed.incarnation <= target.incarnation) {
                self.reported_leaving(now, *target);
            }
        }
    }

    pub(super) fn replied(&mut self, now: Time, asked: Time, reply: &PeerReply) {
        self.counters.replied += 1;
        self.take_gossip(now, &reply.gossip);
        if reply.gossip.rules == self.settings.rules {
            self.lease.apply_vote(now, reply.gossip.from, asked, reply.vote);
        } else {
            self.counters.foreign_rules += 1;
        }
        let newer = reply.gossip.config > self.store.revision().max(self.store.refused())
            || reply.gossip.fleet > self.fleet.revision;
        if newer {
            let (config, fleet) = (self.store.revision(), self.fleet.revision);
            let address = reply.gossip.bulk.clone();
            self.actions.push(ControlAction::Fetch {
                address,
                config,
                fleet,
            });
        }
    }

    /// Asks peers, renews the plan and sees to the reading of the platform, once per beat.
    pub(super) fn beat(&mut self, now: Time) {
        if now < self.next_beat {
            return;
        }
        self.next_beat = now + self.settings.beat;
        self.peers.silence(now, self.settings.beat);
        let gossip = self.gossip(now);
        for address in self.questioned() {
            self.counters.asked += 1;
            self.actions.push(ControlAction::Ask {
                address,
                gossip: gossip.clone(),
            });
        }
        let reader = self.reader(now);
        if self.watching != Some(reader) {
            self.watching = Some(reader);
            self.actions.push(ControlAction::Watch(reader));
        }
        if !reader && now.since(self.read_at) > self.settings.read_age && now >= self.next_read {
            self.counters.own_reads += 1;
            self.read(now);
        }
        self.publish(now);
    }

    /// Control addresses to ask now: the cell, a few others, and the seeds while there is no list.
    pub(super) fn questioned(&mut self) -> Vec<String> {
        let wanted = self.lease.voters();
        let mut addresses: Vec<String> = wanted
            .iter()
            .filter_map(|node| self.peers.control(*node))
            .collect();
        let region = &self.settings.region;
        let others = self.fleet.entries.iter().filter(|entry| {
            entry.region == *region && entry.id != self.settings.node && !wanted.contains(&entry.id)
        });
        let some = others.choose_multiple(&mut self.random, self.settings.fanout);
        addresses.extend(some.into_iter().map(|entry| entry.control.clone()));
        if addresses.is_empty() {
            addresses.extend(self.settings.seeds.iter().cloned());
        }
        addresses
    }

    /// Whether this node is one of the few of its zone that watch the platform.
    pub(super) fn reader(&self, now: Time) -> bool {
        let zone = |entry: &&crate::EntryNode| {
            entry.zone == self.settings.zone && entry.region == self.settings.region
        };
        let nodes = self
            .fleet
            .entries
            .iter()
            .filter(zone)
            .map(|entry| u64::from(entry.id.0));
        let ranked = rendezvous::rank(rendezvous::text_key("readers"), nodes);
        let me = u64::from(self.settings.node.0);
        if ranked.is_empty() {
            // Before the first list a node reads for itself only if no peer tells it soon: when a whole
            // zone starts again, the first to read tells the others.
            return now >= self.first_read;
        }
        ranked.iter().take(READERS).any(|node| *node == me)
    }
}
