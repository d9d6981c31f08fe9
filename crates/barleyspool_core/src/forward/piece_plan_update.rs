//! What a pool takes from a newer plan: its targets, and what is lost with those that run again.

use super::piece_queue::{Piece, QueuedOrder};
use super::{
    ColdSpec, OrderOutcome, PieceQueue, PoolSpec, PoolTarget, TargetEntry, TargetTable, handle_address,
};
use crate::{RateShare, Time};

impl PieceQueue {
    /// Takes a newer specification and the targets of the pool that this queue owns. A target that went over to
    /// another shard gets nothing more from here, but its results can still be freed.
    ///
    /// A target that runs again under its id is a new one, and what the run before it held is made again.
    pub fn apply_plan(
        &mut self,
        spec: &PoolSpec,
        cold: Option<ColdSpec>,
        table: &TargetTable,
        mine: impl Fn(&TargetEntry) -> bool,
    ) {
        self.spec = spec.clone();
        let same_incarnation = |id: &String, target: &PoolTarget| {
            table
                .get(id)
                .is_none_or(|entry| entry.incarnation == target.entry.incarnation)
        };
        let ended: Vec<(String, String)> = self
            .targets
            .iter()
            .filter(|(id, target)| !same_incarnation(id, target))
            .map(|(id, target)| (id.clone(), target.entry.address.clone()))
            .collect();
        for (id, address) in ended {
            self.incarnation_ended(&id, &address);
        }
        self.targets
            .retain(|id, target| table.contains_key(id) || target.in_flight > 0);
        for (id, entry) in table.iter().filter(|(_, entry)| mine(entry)) {
            let new = || PoolTarget::new(entry.clone());
            self.targets.entry(id.clone()).or_insert_with(new);
        }
        for (id, target) in &mut self.targets {
            match table.get(id) {
                Some(entry) => {
                    target.owned = mine(entry);
                    target.apply_entry(entry, cold);
                }
                None => target.entry.leaving = true,
            }
        }
    }

    /// Takes what targets said of their limits, and what this node, of key `me`, may give out of the rates of the pool's targets.
    pub fn apply_rates(&mut self, now: Time, share: RateShare, me: u64, limit: impl Fn(&str) -> Option<f64>) {
        for (id, target) in &mut self.targets {
            target.apply_rate(now, limit(id), share, me);
        }
    }

    /// Takes until when each target wants nothing from this node.
    pub fn apply_cooldowns(&mut self, rest_until: impl Fn(&str) -> Time) {
        for (id, target) in &mut self.targets {
            target.cooldown_until = rest_until(id);
        }
    }

    /// A run of a target has ended, and its results with it.
    fn incarnation_ended(&mut self, id: &str, address: &str) {
        self.targets.remove(id);
        self.results.retain(|_, result| result.target != id);
        for order in self.orders.values_mut() {
            for piece in &mut order.pieces {
                let lost = matches!(piece, Piece::Computed(handle) if handle_address(handle) == address);
                if lost {
                    *piece = Piece::Waiting;
                    order.waiting += 1;
                    order.computed -= 1;
                }
            }
        }
    }

    /// Ends orders whose inputs are gone by what is known, rather than let a call find it out. `lost` says whether a result
    /// that was known at a time has gone since.
    pub fn fail_lost_inputs(&mut self, lost: impl Fn(&str, Time) -> bool) {
        let is_lost = |order: &QueuedOrder| {
            let inputs = &order.order.inputs;
            order.waiting > 0 && inputs.iter().any(|input| lost(input, order.submitted_at))
        };
        self.end_orders(is_lost, &OrderOutcome::InputsGone);
    }
}
