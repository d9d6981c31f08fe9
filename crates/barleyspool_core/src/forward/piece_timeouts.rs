//! Timeouts of calls and orders: calls become overdue, and orders can no longer meet their deadlines.

use super::piece_queue::InFlightCall;
use super::{BatchKey, OrderKey, OrderOutcome, PieceQueue};
use crate::{Span, Time};

/// A call is overdue after this many times its expected duration.
const OVERDUE_FACTOR: f64 = 2.0;
/// A call is never overdue before this much beyond its expected duration.
const MIN_OVERDUE_MARGIN: Span = Span::from_millis(60);

impl PieceQueue {
    /// Requeues the pieces of overdue calls and releases their slots at the targets, since the answer may
    /// be lost. Results that arrive later are still used.
    pub fn tick(&mut self, now: Time) {
        let overdue: Vec<BatchKey> = self
            .calls
            .iter()
            .filter(|(_, call)| !call.overdue && now >= overdue_at(call))
            .map(|(key, _)| key)
            .collect();
        for key in overdue {
            let Some(call) = self.calls.get_mut(key) else {
                continue;
            };
            let copy = call.clone();
            call.overdue = true;
            self.update_target(&copy, |target| target.record_overdue(now));
            for item in &copy.items {
                self.requeue_item(item, true);
            }
        }
    }

    /// When [`PieceQueue::tick`] or [`PieceQueue::next_calls`] should run next if no other event comes first.
    pub fn next_wake(&self, now: Time) -> Option<Time> {
        let overdue = self
            .calls
            .values()
            .filter(|call| !call.overdue)
            .map(overdue_at)
            .min();
        let has_waiting = self.waiting() > 0;
        let retry = self
            .targets
            .values()
            .filter(|_| has_waiting)
            .map(|target| target.excluded_until.max(target.cooldown_until))
            .filter(|at| *at > now)
            .min();
        let rate = self
            .targets
            .values()
            .filter(|target| has_waiting && target.is_available(now))
            .map(|target| target.capacity_wait(now))
            .filter(|wait| *wait > Span::ZERO)
            .min()
            .map(|wait| now + wait);
        let poll = has_waiting.then(|| now + Span::from_millis(100));
        [overdue, retry, rate, poll].into_iter().flatten().min()
    }

    /// Ends the orders with waiting pieces that can no longer meet their deadlines. Late means here that a
    /// call with a single piece would end after the deadline, whatever the due time of the order.
    pub(super) fn fail_late_orders(&mut self, now: Time) {
        let least = self.call_time(1);
        let late: Vec<OrderKey> = self
            .orders
            .iter()
            .filter(|(_, order)| order.waiting > 0 && now + least > order.order.deadline)
            .map(|(key, _)| key)
            .collect();
        for key in late {
            let retry_after = self.expected_wait(now, 1);
            self.end_order(key, OrderOutcome::TooLate(retry_after));
        }
    }
}

fn overdue_at(call: &InFlightCall) -> Time {
    call.started
        + call
            .expected
            .scale(OVERDUE_FACTOR)
            .max(call.expected + MIN_OVERDUE_MARGIN)
}
