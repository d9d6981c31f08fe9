//! Probing of nodes, suspicion of those that do not respond, and reconnection to nodes that were lost.

use super::table::{Membership, Probe};
use super::{Evidence, MemberHealth, MessageKind};
use crate::{Span, Time};
use rand::seq::{IteratorRandom, SliceRandom};

/// The time between `Join` requests to the seeds while no other node is known.
const JOIN_RETRY_INTERVAL: Span = Span::from_millis(200);
/// The time between `Join` requests to dead nodes and unknown seeds, so that two sides of a network
/// partition find each other again.
const RECONNECT_INTERVAL: Span = Span::from_secs(1);

/// Factor on the probe interval while more updates of health are queued than one message takes.
///
/// When half of a fleet of 86 dies at once, the last of the other nodes has received every death after 4 s.
const BACKLOG_INTERVAL_FACTOR: f64 = 0.5;

impl Membership {
    /// Starts the next probe interval if the current one is over.
    pub(super) fn probe_round(&mut self, now: Time) {
        if now < self.next_probe {
            return;
        }
        let has_backlog = self.updates.queued_health() > self.settings.max_updates;
        let factor = if has_backlog { BACKLOG_INTERVAL_FACTOR } else { 1.0 };
        self.next_probe = now + self.settings.probe_interval.scale(factor);
        self.check_reachability(now);
        self.gossip_limits(now);
        self.gossip_leaving(now);
        self.gossip_reach(now);
        self.gossip_brittle(now);
        if let Some(target) = self.next_target() {
            self.probe(now, target, None);
        }
    }

    /// Returns the next node to probe. Each node is probed once, in shuffled order, before any is probed
    /// again.
    fn next_target(&mut self) -> Option<String> {
        for _ in 0..=self.members.len() {
            let Some(address) = self.probe_order.pop_front() else {
                let mut all: Vec<String> = self.reachable().collect();
                all.shuffle(&mut self.random);
                self.probe_order.extend(all);
                if self.probe_order.is_empty() {
                    return None;
                }
                continue;
            };
            let member = self.members.get(&address);
            if member.is_some_and(|member| member.health != MemberHealth::Dead) {
                return Some(address);
            }
        }
        None
    }

    /// Sends a probe to the node at `target`. For an indirect probe `requested_by` is the node that requested
    /// it, with its number.
    pub(super) fn probe(&mut self, now: Time, target: String, requested_by: Option<(String, u64)>) {
        let number = self.next_number;
        self.next_number += 1;
        self.probes.insert(
            number,
            Probe {
                target: target.clone(),
                sent: now,
                indirect: false,
                requested_by,
            },
        );
        self.send(now, target, MessageKind::Probe { number });
    }

    /// Handles the probes that were not acknowledged in time.
    pub(super) fn check_probes(&mut self, now: Time) {
        let timed_out: Vec<u64> = self
            .probes
            .iter()
            .filter(|(_, probe)| now.since(probe.sent) >= self.settings.probe_timeout)
            .map(|(number, _)| *number)
            .collect();
        for number in timed_out {
            self.handle_probe_timeout(now, number);
        }
    }

    fn handle_probe_timeout(&mut self, now: Time, number: u64) {
        let Some(mut probe) = self.probes.remove(&number) else {
            return;
        };
        if probe.requested_by.is_some() {
            return;
        }
        if probe.indirect {
            let alive = self
                .members
                .get(&probe.target)
                .is_some_and(|member| member.health == MemberHealth::Alive);
            if alive {
                self.set_health(now, &probe.target, MemberHealth::Suspect, Evidence::Silence);
            }
            return;
        }
        let others: Vec<String> = self
            .reachable()
            .filter(|address| *address != probe.target)
            .collect();
        let helpers = others
            .into_iter()
            .choose_multiple(&mut self.random, self.settings.indirect_probes);
        for helper in helpers {
            let target = probe.target.clone();
            self.send(now, helper, MessageKind::IndirectProbe { number, target });
        }
        // Repeats the direct probe too, since single datagrams are lost now and then.
        self.send(now, probe.target.clone(), MessageKind::Probe { number });
        probe.indirect = true;
        probe.sent = now;
        self.probes.insert(number, probe);
    }

    /// Marks suspected nodes dead that did not refute the suspicion in time, and forgets nodes that have been
    /// dead or gone for long.
    pub(super) fn check_suspects(&mut self, now: Time) {
        let suspicion_timeout = self.settings.suspicion_timeout;
        let overdue: Vec<String> = self
            .members
            .iter()
            .filter(|(_, node)| {
                node.health == MemberHealth::Suspect && now.since(node.health_since) > suspicion_timeout
            })
            .map(|(address, _)| address.clone())
            .collect();
        for address in overdue {
            self.set_health(now, &address, MemberHealth::Dead, Evidence::Silence);
        }
        let dead_retention = self.settings.dead_retention;
        self.members.retain(|_, member| {
            !matches!(member.health, MemberHealth::Dead | MemberHealth::Leaving)
                || now.since(member.health_since) < dead_retention
        });
    }

    /// Sends `Join` requests to the seeds while no other node is known and the node no longer catches up.
    pub(super) fn join(&mut self, now: Time) {
        let knows_other_node = self.reachable().next().is_some();
        if knows_other_node || self.is_catching_up(now) || now < self.next_join {
            return;
        }
        self.next_join = now + JOIN_RETRY_INTERVAL;
        for seed in self.other_seeds() {
            let known = self.digests();
            self.send(now, seed, MessageKind::Join { known });
        }
    }

    pub(super) fn other_seeds(&self) -> Vec<String> {
        let me = &self.me.facts.address;
        let seeds = self.settings.seeds.iter();
        seeds.filter(|seed| *seed != me).cloned().collect()
    }

    /// Sends a `Join` request to one dead node or unknown seed, in case it is reachable again.
    pub(super) fn reconnect(&mut self, now: Time) {
        if now < self.next_reconnect {
            return;
        }
        self.next_reconnect = now + RECONNECT_INTERVAL;
        let dead = self
            .members
            .iter()
            .filter(|(_, member)| member.health == MemberHealth::Dead)
            .map(|(address, _)| address.clone());
        let unknown = self
            .other_seeds()
            .into_iter()
            .filter(|seed| !self.members.contains_key(seed));
        let candidates: Vec<String> = dead.chain(unknown).collect();
        if let Some(address) = candidates.into_iter().choose(&mut self.random) {
            let known = self.digests();
            self.send(now, address, MessageKind::Join { known });
        }
    }
}
