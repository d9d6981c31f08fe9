//! Brittle targets: they report how many refusals in a second they bear, and fall over when they have to refuse more.
//!
//! No node sees what the others send to a target, so the owner of its shard limits the calls in progress over all
//! nodes: the owner of engines when it places a call, and for other targets when a node asks it to reserve room. The
//! owner of a pool makes all its calls anyway. A service counts as brittle for a while after one of its targets
//! reported it to any node. See docs/DESIGN.md, "Brittle targets".

use super::{Forwarder, SlotOutcome, TargetKey, TargetQuery};
use crate::Time;

/// How many refusals in a second a target bears, as reported in an answer.
#[derive(Copy, Clone, Debug, Default, PartialEq)]
pub enum BrittleReport {
    /// The target does not report that it is brittle.
    #[default]
    None,
    /// The target falls over when it has to refuse more than this many calls in a second; finite and not negative.
    Refusals(f64),
    /// The number cannot be parsed.
    Unreadable,
}

/// Room for one call at a brittle target.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub struct Reservation {
    target: TargetKey,
    number: u64,
}

impl Forwarder {
    /// Records that a target of a service reported how many refusals in a second it bears. Returns whether the service
    /// did not count as brittle before.
    pub fn note_brittle(&mut self, now: Time, service: &str, refusals: f64) -> bool {
        let is_new = self.brittle_refusals(now, service).is_none();
        self.brittle.record(now, service, refusals);
        is_new
    }

    /// How many refusals in a second each target of a service bears; `None` if the service does not count as brittle.
    pub fn brittle_refusals(&self, now: Time, service: &str) -> Option<f64> {
        self.brittle.refusals(now, service)
    }

    /// Removes targets of a brittle service that have no room, as far as this node knows.
    pub(super) fn retain_with_room(&self, now: Time, query: &TargetQuery, usable: &mut Vec<TargetKey>) {
        if self.brittle_refusals(now, &query.service).is_none() {
            return;
        }
        if query.placing.is_some() {
            let has_room = |key: &TargetKey| self.slots.get(key).is_none_or(|slots| slots.has_room(now));
            usable.retain(has_room);
        } else if query.engine_memory.is_some() {
            // Only the owner of brittle engines chooses among them.
            usable.clear();
        } else {
            usable.retain(|key| now >= self.targets[*key].no_capacity_until);
        }
    }

    /// Reserves room for a call at a target, as its owner; `None` if there is no room.
    pub fn reserve_slot(&mut self, now: Time, target: TargetKey) -> Option<Reservation> {
        let number = self.slots.entry(target).or_default().reserve(now)?;
        Some(Reservation { target, number })
    }

    /// Ends a reservation.
    pub fn release_slot(&mut self, now: Time, reservation: Reservation, outcome: SlotOutcome) {
        let Some(record) = self.targets.get(reservation.target) else {
            return;
        };
        let refusals = self.brittle.refusals(now, &record.entry.service).unwrap_or(1.0);
        if let Some(slots) = self.slots.get_mut(&reservation.target) {
            slots.release(now, reservation.number, outcome, record.entry.slots, refusals);
        }
    }
}
