//! Applies a newer plan to the queue of a pool: its targets, and the results lost with restarted targets.

use super::piece_queue::{Piece, QueuedOrder};
use super::{
    ColdSpec, OrderOutcome, PieceQueue, PoolSpec, PoolTarget, TargetEntry, TargetTable, handle_address,
};
use crate::{RateShare, Time};

impl PieceQueue {
    /// Applies a newer specification and the targets of the pool that this queue owns. A target that moved
    /// to another shard gets no more calls from this queue, but its results can still be freed.
    ///
    /// A target that has restarted under the same id is treated as new, and the results that its previous
    /// incarnation held for open orders are computed again.
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

    /// Applies the rate limits that targets reported, in calls per second, and the share of the rates that
    /// this node, identified by `me`, may use.
    pub fn apply_rates(&mut self, now: Time, share: RateShare, me: u64, limit: impl Fn(&str) -> Option<f64>) {
        for (id, target) in &mut self.targets {
            target.apply_rate(now, limit(id), share, me);
        }
    }

    /// Applies how many refusals in a second the targets bear; `None` if they are not brittle.
    pub fn apply_brittle(&mut self, refusals: Option<f64>) {
        self.refusals = refusals;
    }

    /// Applies the time until which each target is in cooldown.
    pub fn apply_cooldowns(&mut self, cooldown_until: impl Fn(&str) -> Time) {
        for (id, target) in &mut self.targets {
            target.cooldown_until = cooldown_until(id);
        }
    }

    /// Drops an incarnation of a target that has ended, with the results that it held.
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

    /// Ends waiting orders whose inputs are known to be lost, rather than have a call fail on them. `lost`
    /// tells whether a result that existed at the given time has been lost since.
    pub fn fail_lost_inputs(&mut self, lost: impl Fn(&str, Time) -> bool) {
        let is_lost = |order: &QueuedOrder| {
            let inputs = &order.order.inputs;
            order.waiting > 0 && inputs.iter().any(|input| lost(input, order.submitted_at))
        };
        self.end_orders(is_lost, &OrderOutcome::InputsGone);
    }
}
