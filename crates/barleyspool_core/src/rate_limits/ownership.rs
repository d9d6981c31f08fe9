//! Whether a node owns some targets, and what it may give out of their rates.

use super::Reachability;
use crate::{Span, Time};
use std::collections::HashMap;

/// How long a new owner gives out no more than those who ask it bring with them: within this time the owner before it hears that it is none
/// any more. Word of a node that serves, or that stops, is at all others within a second.
const HANDOVER: Span = Span::from_secs(2);
/// How long a node that asked counts as one that asks.
const ASKING: Span = Span::from_secs(2);

/// The longest wait that a node tells which stands in.
const STAND_IN_WAIT: Span = Span::from_millis(500);

/// Why a node may give out anything.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub enum RateRole {
    /// It owns the targets.
    Owner,
    /// It stands in for an owner that others do not reach.
    #[default]
    Fallback,
}

/// What a node may give out of the rates of some targets.
#[derive(Copy, Clone, Debug, Default, PartialEq)]
pub struct RateShare {
    /// Its part of each rate.
    pub fraction: f64,
    /// Why.
    pub role: RateRole,
    /// Since when.
    pub since: Time,
}

impl RateShare {
    /// When to ask again, for a call that would have to wait so long. Who gives out what is about to change while a node stands in.
    pub fn retry_after(&self, wait: Span) -> Span {
        match self.role {
            RateRole::Owner => wait,
            RateRole::Fallback => wait.min(STAND_IN_WAIT),
        }
    }
}

/// Whether a node owns some targets.
///
/// While a change of owner spreads, and while an owner is frozen, dead or cut off, some nodes ask another than the owner. Each of
/// them brings along its own part of the rate, one of as many as there are nodes. So all who stand in give out no
/// more together than the part of the fleet that does not reach the owner, and all of it when nobody does.
#[derive(Clone, Debug, Default)]
pub struct Ownership {
    owned_since: Option<Time>,
    /// When each node last asked.
    askers: HashMap<u64, Time>,
    /// When the first of those asked, after a time in which nobody did.
    asked_since: Time,
}

impl Ownership {
    /// Whether this node owns the targets now.
    pub fn update(&mut self, now: Time, owns: bool) {
        if !owns {
            self.owned_since = None;
        } else if self.owned_since.is_none() {
            self.owned_since = Some(now);
        }
    }

    /// The node of that key asks.
    pub fn record_request(&mut self, now: Time, asker: u64) {
        self.askers.retain(|_, at| now.since(*at) < ASKING);
        if self.askers.is_empty() {
            self.asked_since = now;
        }
        self.askers.insert(asker, now);
    }

    /// What this node may give out now, of `members` nodes that serve.
    pub fn share(&self, now: Time, reach: Reachability, members: usize) -> RateShare {
        match self.owned_since {
            Some(since) if now.since(since) >= HANDOVER => RateShare {
                fraction: reach.rate_fraction(),
                role: RateRole::Owner,
                since,
            },
            _ => {
                let asking = self.askers.values().filter(|at| now.since(**at) < ASKING).count();
                let known = (reach.known as usize).max(members).max(1);
                RateShare {
                    fraction: (asking as f64 / known as f64).min(reach.rate_fraction()),
                    role: RateRole::Fallback,
                    since: self.owned_since.unwrap_or(self.asked_since),
                }
            }
        }
    }
}
