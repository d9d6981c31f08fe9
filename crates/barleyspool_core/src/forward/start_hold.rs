//! How long a call is held that comes before this node knows enough to serve it.
//!
//! A process that starts has configuration and list within a second or so. A caller that is turned away meanwhile comes back to another node that has
//! just started too, so whoever can still be served in time is better held.

use crate::{Span, Time};

/// A node that knows too little this long after its start refuses at once: what is missing may be away.
const MAX_START_HOLD: Span = Span::from_millis(2000);
/// How long a call is held of which not even the route is known.
const UNKNOWN_ROUTE_HOLD: Span = Span::from_millis(300);
/// The part of its objective for which a call is held; the rest is for serving it.
const OBJECTIVE_SHARE: f64 = 0.7;

/// Until when a call is held that arrived at `arrived`, by a node that started at `started`; `objective` is its route's, if that is known.
pub fn hold_until(started: Time, arrived: Time, objective: Option<Span>) -> Time {
    let span = objective.map_or(UNKNOWN_ROUTE_HOLD, |objective| objective.scale(OBJECTIVE_SHARE));
    (arrived + span).min(started + MAX_START_HOLD)
}
