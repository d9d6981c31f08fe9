//! What a node does from the moment it is asked to stop until its process may end.
//!
//! A call is done when its caller has the answer, not when this node has made it. So a stop counts open connections of
//! callers, and ends when there are none. See docs/DESIGN.md, "A planned stop".

use crate::{Span, Time};

/// How long connections at rest may still bring a call after the last connection was taken. A caller that was connected sends
/// its call at once, so this covers its way and a thread that is kept from running for a while.
const LATE_CALL_WINDOW: Span = Span::from_millis(200);
/// How long before the end what is not done is answered with what became of it: time for a refusal to be written and read,
/// also on a node that gets a tenth of a core.
const ABORT_LEAD: Span = Span::from_millis(300);

/// What a node does with calls and connections.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// No stop was asked for.
    #[default]
    Serving,
    /// Calls and connections are taken as before, since callers keep addresses; each answer closes its connection.
    Leaving,
    /// The listener is to be closed: connections that wait are taken, then no more. Open ones may still bring a call.
    Closing,
    /// What was taken is finished; connections at rest are closed, and a call that comes now is refused.
    Draining,
    /// Whatever is not done is answered with what became of it.
    Aborting,
    /// The process may end.
    Finished,
}

/// A planned stop, stepped by time and by what is still open.
#[derive(Copy, Clone, Debug)]
pub struct PlannedStop {
    started_at: Time,
    accept_for: Span,
    max_duration: Span,
    listener_closed_at: Option<Time>,
}

impl PlannedStop {
    /// A stop was asked for: connections are taken for `accept_for`, and the process ends after `end` at the latest.
    pub fn new(now: Time, accept_for: Span, max_duration: Span) -> Self {
        Self {
            started_at: now,
            accept_for,
            max_duration,
            listener_closed_at: None,
        }
    }

    /// Every connection that had been made was taken, and no new one can be made.
    pub fn listener_closed(&mut self, now: Time) {
        self.listener_closed_at.get_or_insert(now);
    }

    /// When the last answers are given: no call that is taken during the stop may last longer.
    pub fn abort_at(&self) -> Time {
        self.started_at + Span(self.max_duration.0.saturating_sub(ABORT_LEAD.0))
    }

    /// The phase at `now`, while `open` connections of callers are open.
    pub fn phase(&self, now: Time, open: usize) -> StopPhase {
        if now >= self.started_at + self.max_duration {
            return StopPhase::Finished;
        }
        match self.listener_closed_at {
            // Connections that nobody has taken yet are not among the open ones.
            Some(closed) if now >= closed + LATE_CALL_WINDOW && open == 0 => StopPhase::Finished,
            _ if now >= self.abort_at() => StopPhase::Aborting,
            Some(closed) if now >= closed + LATE_CALL_WINDOW => StopPhase::Draining,
            _ if now >= self.started_at + self.accept_for => StopPhase::Closing,
            _ => StopPhase::Leaving,
        }
    }
}
