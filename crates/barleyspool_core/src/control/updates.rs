//! Updates of the configuration, the fleet list and the state of targets.

use super::{Control, ControlAction, NodeEvent, NodePhase};
use crate::{
    ConfigDocument, Fleet, Guard, LeavingTarget, ListState, PlanTarget, Snapshot, Span, TargetCooldown, Time,
    sharers, subset,
};
use rand::Rng;
use std::collections::BTreeMap;
use std::sync::Arc;

impl Control {
    /// Offers a document to the store and, when it is accepted, publishes the new plan.
    pub(super) fn apply_document(&mut self, now: Time, document: &ConfigDocument) {
        if self.store.offer(document, &mut self.counters) {
            self.chart.step(&mut self.phase, NodeEvent::Accepted);
            self.rebuild_targets();
            self.publish(now);
        }
    }

    /// Applies a newer, valid fleet list to the lease, the peers and the targets.
    pub(super) fn apply_fleet(&mut self, now: Time, fleet: Fleet) {
        if fleet.revision <= self.fleet.revision {
            self.counters.stale_fleet_lists += u64::from(fleet.revision < self.fleet.revision);
            return;
        }
        if fleet.validation_error().is_some() {
            self.counters.invalid_fleet_lists += 1;
            return;
        }
        self.fleet = Arc::new(fleet);
        if let Some(cell) = self.fleet.cell(self.settings.cell) {
            self.lease.apply_cell(now, cell);
        }
        self.leaving.retain(|leaving| {
            let listed = self
                .fleet
                .targets
                .iter()
                .find(|target| target.id == leaving.target);
            listed.is_some_and(|target| target.incarnation <= leaving.incarnation)
        });
        self.peers.apply_fleet(&self.fleet, self.settings.node);
        self.rebuild_targets();
        self.publish(now);
    }

    /// Applies the changes that a peer returned.
    pub(super) fn handle_snapshot(&mut self, now: Time, snapshot: Snapshot) {
        if let Some(fleet) = snapshot.fleet {
            self.apply_fleet(now, fleet);
        }
        let document = snapshot
            .document
            .and_then(|document| document.complete_with(self.store.document()));
        if let Some(document) = document {
            self.apply_document(now, &document);
        }
    }

    /// Marks a target as leaving until the fleet list drops it or has a newer incarnation of it.
    pub(super) fn handle_leaving(&mut self, now: Time, target: LeavingTarget) {
        if self.leaving.insert(target) {
            self.rebuild_targets();
            self.publish(now);
        }
    }

    /// Extends the cooldown of a target; a request that ends earlier than the current one changes nothing.
    pub(super) fn handle_cooldown(&mut self, now: Time, cooldown: TargetCooldown) {
        self.cooldowns.retain(|_, until| *until > now);
        let until = self
            .cooldowns
            .entry((cooldown.target, cooldown.incarnation))
            .or_default();
        if *until < cooldown.until {
            *until = cooldown.until;
            self.rebuild_targets();
            self.publish(now);
        }
    }

    /// Rebuilds the list of targets that this node uses, with its share of each target's slots.
    pub(super) fn rebuild_targets(&mut self) {
        let Some(config) = self.store.config() else { return };
        let me = self.own_entry();
        let leaving = |target: &crate::TargetNode| {
            let incarnation = LeavingTarget {
                target: target.id,
                incarnation: target.incarnation,
            };
            target.state == ListState::Leaving || self.leaving.contains(&incarnation)
        };
        let cooldown_until = |target: &crate::TargetNode| {
            let incarnation = (target.id, target.incarnation);
            self.cooldowns.get(&incarnation).copied().unwrap_or_default()
        };
        let chosen = subset(&self.fleet, &me, self.settings.subset);
        let mut sharer_counts: BTreeMap<(&str, &str), usize> = BTreeMap::new();
        let mut targets = Vec::with_capacity(chosen.len());
        for target in chosen {
            let Some(service) = config.service(&target.service) else {
                continue;
            };
            let count = sharer_counts
                .entry((&target.service, &target.zone))
                .or_insert_with(|| sharers(&self.fleet, target, self.settings.subset));
            targets.push(PlanTarget {
                id: target.id,
                incarnation: target.incarnation,
                address: target.address.clone(),
                zone: target.zone.clone(),
                same_zone: target.zone == self.settings.zone,
                service,
                slots: target.slots,
                share: f64::from(target.slots) / *count as f64,
                leaving: leaving(target),
                cooldown_until: cooldown_until(target),
            });
        }
        self.targets = Arc::new(targets);
    }

    /// This node's entry in the fleet list, or one built from its settings while it is not listed.
    pub(super) fn own_entry(&self) -> crate::EntryNode {
        self.fleet
            .entry(self.settings.node)
            .cloned()
            .unwrap_or_else(|| crate::EntryNode {
                id: self.settings.node,
                address: self.settings.address.clone(),
                zone: self.settings.zone.clone(),
                region: self.settings.region.clone(),
                cell: self.settings.cell,
                ..crate::EntryNode::default()
            })
    }

    /// Starts to serve when a majority of the cell has replied and no peer has reported a newer
    /// configuration, or when the startup timeout has expired.
    pub(super) fn check_caught_up(&mut self, now: Time) {
        if self.phase != NodePhase::CatchingUp {
            return;
        }
        let wait = if self.settings.guards.enforces(Guard::PeersBeforeServing) {
            self.settings.startup_timeout
        } else {
            Span::ZERO
        };
        let wait_over = now.since(self.started_at) >= wait;
        let is_caught_up = self.lease.joined() && self.peers.newest_config() <= self.store.revision();
        if is_caught_up || wait_over {
            self.counters.starts_without_peers += u64::from(!is_caught_up);
            self.chart.step(&mut self.phase, NodeEvent::CaughtUp);
            self.publish(now);
        }
    }

    /// After a caller sent a newer revision: gossips at once, and reads the platform if a read is allowed.
    pub(super) fn handle_newer_revision(&mut self, now: Time) {
        self.next_heartbeat_at = now;
        if now >= self.next_read_at {
            self.read_platform(now);
        }
    }

    /// Reads the platform once; the next read follows after one to two times `max_read_age`, at random so
    /// that nodes do not read in step.
    pub(super) fn read_platform(&mut self, now: Time) {
        let jitter = self.random.random_range(0..=self.settings.max_read_age.0);
        self.next_read_at = now + self.settings.max_read_age + Span(jitter);
        self.actions.push(ControlAction::ReadPlatform);
    }
}
