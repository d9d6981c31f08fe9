//! The plan that the traffic threads work from, and the planned stop.

use super::{Control, ControlAction, NodeEvent, NodePhase};
use crate::{Guard, ListState, Plan, PlanPeer, Serving, Time};
use std::sync::Arc;

impl Control {
    /// Begins a planned stop and announces it at once; later requests change nothing.
    pub(super) fn begin_stop(&mut self, now: Time) {
        if self.chart.step(&mut self.phase, NodeEvent::Stop) {
            self.stop_at = Some(now);
            self.next_heartbeat_at = now;
            self.publish(now);
        }
    }

    /// Exits when no request is live and no caller can still have this node's address cached.
    pub(super) fn exit_when_drained(&mut self, now: Time) {
        let Some(stop_at) = self.stop_at else { return };
        let is_drained = self.live_requests == 0 && now.since(stop_at) >= self.settings.address_ttl;
        if is_drained || !self.settings.guards.enforces(Guard::DrainBeforeStop) {
            self.actions.push(ControlAction::Exit);
        }
    }

    /// Publishes the current plan, which also refreshes it.
    pub(super) fn publish(&mut self, now: Time) {
        let plan = self.plan(now);
        self.actions.push(ControlAction::Publish(Box::new(plan)));
    }

    /// The plan at `now`.
    pub fn plan(&self, now: Time) -> Plan {
        let serving = match self.phase {
            NodePhase::Empty | NodePhase::CatchingUp => Serving::CatchingUp,
            NodePhase::Serving => Serving::Serving,
            NodePhase::Stopping => Serving::Stopping,
        };
        Plan {
            refreshed_at: now,
            serving,
            config: self.store.config().cloned(),
            fleet: Arc::clone(&self.fleet),
            targets: Arc::clone(&self.targets),
            lease: self.lease.view(),
            rules: self.settings.rules,
            peers: Arc::new(self.plan_peers()),
            me: self.settings.node,
            region: self.settings.region.clone(),
        }
    }

    /// The entry nodes of this node's region, this node included, that callers can be redirected to.
    pub(super) fn plan_peers(&self) -> Vec<PlanPeer> {
        let in_region = self
            .fleet
            .entries
            .iter()
            .filter(|entry| entry.region == self.settings.region);
        let peer = |entry: &crate::EntryNode| {
            let is_self = entry.id == self.settings.node;
            let stopping = if is_self {
                self.stop_at.is_some()
            } else {
                self.peers.is_leaving(entry.id)
            };
            let state = if stopping { ListState::Leaving } else { entry.state };
            let reachable = is_self || !self.peers.is_unresponsive(entry.id);
            let without_links = if is_self {
                self.links_lost
            } else {
                self.peers.has_lost_links(entry.id)
            };
            PlanPeer {
                without_links,
                bulk: self.peers.bulk_address(entry.id),
                id: entry.id,
                address: entry.address.clone(),
                zone: entry.zone.clone(),
                state,
                reachable,
            }
        };
        in_region.map(peer).collect()
    }
}
