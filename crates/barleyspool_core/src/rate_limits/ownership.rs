//! Ownership of targets, and the share of their rates that a node may grant.

use super::Reachability;
use crate::{Span, Time};
use std::collections::HashMap;

/// How long a new owner grants only as much as a fallback owner: within this time the previous owner learns
/// that it is no owner any more. The update about a node that serves, or that stops, reaches all others
/// within a second.
const HANDOVER: Span = Span::from_secs(2);
/// How long a node counts as requesting after a request.
const REQUEST_RETENTION: Span = Span::from_secs(2);

/// The longest retry delay that a fallback owner returns.
const FALLBACK_RETRY_DELAY: Span = Span::from_millis(500);

/// The role in which a node grants calls.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub enum RateRole {
    /// The owner of the targets.
    Owner,
    /// A fallback owner: a node that does not own the targets and gets the requests of nodes that do not
    /// reach the owner, or a new owner in its first 2 s.
    #[default]
    Fallback,
}

/// The share of the rates of some targets that a node may grant.
#[derive(Copy, Clone, Debug, Default, PartialEq)]
pub struct RateShare {
    /// The fraction of each rate.
    pub fraction: f64,
    /// The role of the node.
    pub role: RateRole,
    /// When the node took this role.
    pub since: Time,
}

impl RateShare {
    /// The retry delay for a call that would have to wait for `wait`. It is short at a fallback owner,
    /// where the owner is about to change.
    pub fn retry_after(&self, wait: Span) -> Span {
        match self.role {
            RateRole::Owner => wait,
            RateRole::Fallback => wait.min(FALLBACK_RETRY_DELAY),
        }
    }
}

/// Whether a node owns some targets.
///
/// While a change of owner spreads, and while an owner is frozen, dead or cut off, some nodes send their
/// requests to another node than the owner. Each node that sends requests to a fallback owner adds to the
/// fraction of the rate that the fallback owner may grant: one part in as many as there are nodes. So all
/// fallback owners together grant no more than the fraction of the fleet that does not reach the owner, and
/// the whole rate if no node reaches it.
#[derive(Clone, Debug, Default)]
pub struct Ownership {
    /// Since when this node has owned the targets; `None` while it does not.
    owned_since: Option<Time>,
    /// When each node last sent a request.
    requesters: HashMap<u64, Time>,
    /// When the first of these requests arrived after a time without any.
    requested_since: Time,
}

impl Ownership {
    /// Updates whether this node owns the targets.
    pub fn update(&mut self, now: Time, owns: bool) {
        if !owns {
            self.owned_since = None;
        } else if self.owned_since.is_none() {
            self.owned_since = Some(now);
        }
    }

    /// Records a request from the node with the key `requester`.
    pub fn record_request(&mut self, now: Time, requester: u64) {
        self.requesters.retain(|_, at| now.since(*at) < REQUEST_RETENTION);
        if self.requesters.is_empty() {
            self.requested_since = now;
        }
        self.requesters.insert(requester, now);
    }

    /// The share that this node may grant now, with `members` serving nodes.
    pub fn share(&self, now: Time, reachability: Reachability, members: usize) -> RateShare {
        match self.owned_since {
            Some(since) if now.since(since) >= HANDOVER => RateShare {
                fraction: reachability.rate_fraction(),
                role: RateRole::Owner,
                since,
            },
            _ => {
                let requesting = self
                    .requesters
                    .values()
                    .filter(|at| now.since(**at) < REQUEST_RETENTION)
                    .count();
                let known = (reachability.known as usize).max(members).max(1);
                RateShare {
                    fraction: (requesting as f64 / known as f64).min(reachability.rate_fraction()),
                    role: RateRole::Fallback,
                    since: self.owned_since.unwrap_or(self.requested_since),
                }
            }
        }
    }
}
