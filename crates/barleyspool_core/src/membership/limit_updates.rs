//! Telling other nodes what targets have said of their limits.
//!
//! The node that reads a limit in an answer tells some others at once, who pass it on; that reaches nearly all of 410 nodes within some
//! 20 ms. While any word is remembered each node also tells one other in each round, so that nodes that start, sleep or are cut off
//! learn within seconds what they missed.

use super::round_robin::RoundRobin;
use super::table::Membership;
use super::{MemberAction, MessageKind};
use crate::{IncarnationId, LimitReport, LimitTable, LimitUpdate, Time};

/// Nodes that are told at once by the one that reads an answer.
const NOTIFIED_FIRST: usize = 16;
/// Nodes that are told at once by each that hears of it.
const NOTIFIED_NEXT: usize = 4;
/// Words in one message, some 20 bytes each.
const UPDATES_PER_MESSAGE: usize = 24;

/// What this node knows and tells of limits.
#[derive(Clone, Debug, Default)]
pub(super) struct Limits {
    table: LimitTable,
    /// The targets in the order in which they are told; each in turn.
    queue: RoundRobin<IncarnationId>,
}

impl Membership {
    /// What targets have said of their limits.
    pub fn limits(&self) -> &LimitTable {
        &self.limits.table
    }

    /// This node has read in an answer what a target takes; `None` when it limits nothing any more.
    pub(super) fn handle_limit(&mut self, now: Time, incarnation: IncarnationId, per_s: Option<f64>) {
        let report = per_s.map_or(LimitReport::None, LimitReport::PerSecond);
        let before = self.limits.table.reported(incarnation);
        let is_new = self.limits.table.apply_report(now, now, incarnation, report);
        if before != self.limits.table.reported(incarnation) {
            self.actions.push(MemberAction::LimitsChanged);
        }
        if is_new {
            self.spread_limit(now, incarnation, NOTIFIED_FIRST);
        }
    }

    /// Takes what another node tells.
    pub(super) fn apply_limits(&mut self, now: Time, updates: &[LimitUpdate]) {
        for update in updates {
            if self.limits.table.apply_update(now, update) {
                self.actions.push(MemberAction::LimitsChanged);
                self.spread_limit(now, update.incarnation, NOTIFIED_NEXT);
            }
        }
    }

    /// Tells one other node some of what is known, in turn.
    pub(super) fn gossip_limits(&mut self, now: Time) {
        if self.limits.table.is_empty() {
            return;
        }
        self.limits.table.forget(now);
        for to in self.random_reachable(1) {
            self.share_limits(now, &to);
        }
    }

    /// Tells a node some of what is known, in turn. One that has just started or woken asks every 50 to 100 ms whom it does not know, and hears of limits
    /// before it takes itself for an owner.
    pub(super) fn share_limits(&mut self, now: Time, to: &str) {
        let Limits { table, queue } = &mut self.limits;
        let updates = queue.take(UPDATES_PER_MESSAGE, |incarnation| {
            table.update_of(now, incarnation)
        });
        if !updates.is_empty() {
            self.send_limits(vec![to.to_owned()], &updates);
        }
    }

    fn spread_limit(&mut self, now: Time, incarnation: IncarnationId, count: usize) {
        self.limits.queue.put_first(incarnation);
        let to = self.random_reachable(count);
        let update = self.limits.table.update_of(now, incarnation);
        self.send_limits(to, update.as_slice());
    }

    fn send_limits(&mut self, to: Vec<String>, updates: &[LimitUpdate]) {
        for to in to {
            let updates = updates.to_vec();
            self.notify(to, MessageKind::Limits { updates }, Vec::new());
        }
    }
}
