//! The graceful shutdown of a node, from the request to stop until its process may end.
//!
//! A call is complete when its caller has the answer, not when this node has produced it. A stop therefore
//! counts the open connections of callers, and ends when there are none. See docs/DESIGN.md, "A planned
//! stop".

use crate::{Span, Time};

/// How long idle connections may still carry a new call after the last connection was accepted. A caller
/// sends its call right after connecting, so this covers the network delay and a thread that is not
/// scheduled for a while.
const LATE_CALL_WINDOW: Span = Span::from_millis(200);
/// How long before the end of the stop unfinished calls are answered with a refusal: time for it to be
/// written and read, even on a node that gets only a tenth of a core.
const ABORT_LEAD: Span = Span::from_millis(300);

/// A phase of the stop: how the node treats calls and connections.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// No stop was requested.
    #[default]
    Serving,
    /// Calls and connections are accepted as before, since callers cache addresses; each answer closes its
    /// connection.
    Leaving,
    /// The listener closes after the waiting connections were accepted. Open connections may still carry a
    /// new call.
    Closing,
    /// Accepted calls are completed, idle connections are closed, and new calls are refused.
    Draining,
    /// Each unfinished call is answered with a refusal that says what is known of it.
    Aborting,
    /// The process may end.
    Finished,
}

/// A planned stop, whose phase follows from the time and the open connections.
#[derive(Copy, Clone, Debug)]
pub struct PlannedStop {
    started_at: Time,
    accept_for: Span,
    max_duration: Span,
    listener_closed_at: Option<Time>,
}

impl PlannedStop {
    /// Starts a stop: connections are accepted for `accept_for`, and the process ends after `max_duration`
    /// at the latest.
    pub fn new(now: Time, accept_for: Span, max_duration: Span) -> Self {
        Self {
            started_at: now,
            accept_for,
            max_duration,
            listener_closed_at: None,
        }
    }

    /// Records that the listener is closed: every established connection was accepted, and no new one is
    /// possible.
    pub fn listener_closed(&mut self, now: Time) {
        self.listener_closed_at.get_or_insert(now);
    }

    /// The time at which unfinished calls are aborted; no call accepted during the stop may last longer.
    pub fn abort_at(&self) -> Time {
        self.started_at + Span(self.max_duration.0.saturating_sub(ABORT_LEAD.0))
    }

    /// The phase at `now`, with `open` connections of callers still open.
    pub fn phase(&self, now: Time, open: usize) -> StopPhase {
        if now >= self.started_at + self.max_duration {
            return StopPhase::Finished;
        }
        match self.listener_closed_at {
            // Connections that were not accepted yet are not counted in `open`.
            Some(closed) if now >= closed + LATE_CALL_WINDOW && open == 0 => StopPhase::Finished,
            _ if now >= self.abort_at() => StopPhase::Aborting,
            Some(closed) if now >= closed + LATE_CALL_WINDOW => StopPhase::Draining,
            _ if now >= self.started_at + self.accept_for => StopPhase::Closing,
            _ => StopPhase::Leaving,
        }
    }
}
