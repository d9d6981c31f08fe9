//! How long a call is held that arrives before this node can serve it.
//!
//! A starting process has its configuration and target list within about a second. A caller that is
//! refused meanwhile returns to another node that has just started too, so that a call is better held
//! while it can still be served in time.

use crate::{Span, Time};

/// After this time a node that still lacks information refuses calls at once, as what is missing may be
/// unavailable.
const MAX_START_HOLD: Span = Span::from_millis(2000);
/// How long a call is held while its route is unknown.
const UNKNOWN_ROUTE_HOLD: Span = Span::from_millis(300);
/// The share of the latency objective for which a call is held; the rest is left to serve it.
const OBJECTIVE_SHARE: f64 = 0.7;

/// Until when a call that arrived at `arrived` is held by a node that started at `started`; `objective`
/// is the latency objective of its route, if known, and `max_wait` the time limit that the caller states.
pub fn hold_until(started: Time, arrived: Time, objective: Option<Span>, max_wait: Option<Span>) -> Time {
    let span = objective.map_or(UNKNOWN_ROUTE_HOLD, |objective| objective.scale(OBJECTIVE_SHARE));
    let span = max_wait.map_or(span, |max_wait| max_wait.min(span));
    (arrived + span).min(started + MAX_START_HOLD)
}
