//! The limit of calls in progress at one brittle target; see docs/DESIGN.md, "Brittle targets".

use crate::{Span, Time};
use std::collections::HashMap;

/// The time between two increases of a limit that a refusal has reduced.
const RAISE_INTERVAL: Span = Span::from_secs(2);
/// A reservation older than this is dropped: the message that ends it may have been lost.
const RESERVATION_TTL: Span = Span::from_secs(30);
/// The share of the refusals that a target bears in a second which its owner risks.
const REFUSAL_SHARE: f64 = 0.5;

/// How a reserved call ended at its target.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum SlotOutcome {
    /// The target accepted it.
    Accepted,
    /// The target refused it because it is full.
    Refused,
    /// It is unknown whether the target had room for it.
    Unknown,
}

/// How many calls a brittle target may be given at a time, and those in progress.
///
/// A new owner does not know which calls an earlier one has granted, so the limit starts at one and rises with each
/// accepted call up to the number of slots. A refusal means that the target has less room than that.
#[derive(Clone, Debug)]
pub struct SlotLimit {
    limit: u32,
    /// Whether no call was refused yet.
    rising: bool,
    raised_at: Time,
    paused_until: Time,
    reserved: HashMap<u64, Time>,
    next: u64,
}

impl Default for SlotLimit {
    /// A limit for a target of which nothing is known.
    fn default() -> Self {
        Self {
            limit: 1,
            rising: true,
            raised_at: Time(0),
            paused_until: Time(0),
            reserved: HashMap::new(),
            next: 0,
        }
    }
}

impl SlotLimit {
    /// Whether the target may be given another call.
    pub fn has_room(&self, now: Time) -> bool {
        let is_current = |at: &&Time| now.since(**at) < RESERVATION_TTL;
        let reserved = self.reserved.values().filter(is_current).count();
        now >= self.paused_until && reserved < self.limit as usize
    }

    /// Reserves room for a call, and returns the number of the reservation; `None` if there is no room.
    pub fn reserve(&mut self, now: Time) -> Option<u64> {
        if !self.has_room(now) {
            return None;
        }
        self.reserved.retain(|_, at| now.since(*at) < RESERVATION_TTL);
        self.next += 1;
        self.reserved.insert(self.next, now);
        Some(self.next)
    }

    /// Ends a reservation. `slots` is the number of calls that the target works on at a time, and `refusals` how many
    /// refusals in a second it bears.
    pub fn release(&mut self, now: Time, number: u64, outcome: SlotOutcome, slots: u32, refusals: f64) {
        if self.reserved.remove(&number).is_none() {
            return;
        }
        match outcome {
            SlotOutcome::Accepted if self.rising || now.since(self.raised_at) >= RAISE_INTERVAL => {
                self.limit = (self.limit + 1).min(slots.max(1));
                self.raised_at = now;
            }
            SlotOutcome::Refused => {
                self.rising = false;
                self.limit = self.limit.min(self.reserved.len() as u32).max(1);
                self.raised_at = now;
                self.paused_until = now + refusal_pause(refusals);
            }
            SlotOutcome::Accepted | SlotOutcome::Unknown => {}
        }
    }
}

/// How long a brittle target gets no calls after a refusal, so that it has to refuse fewer in a second than the
/// `refusals` that it bears.
pub(super) fn refusal_pause(refusals: f64) -> Span {
    Span((1e6 / (refusals.max(1.0) * REFUSAL_SHARE)) as u64)
}
