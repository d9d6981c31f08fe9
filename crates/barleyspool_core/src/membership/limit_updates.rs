//! Distribution of the rate limits that targets have reported.
//!
//! The node that receives a limit in an answer notifies some other nodes at once, which pass it on; that
//! reaches nearly all of 410 nodes within some 20 ms. While any report is remembered, each node also sends
//! updates to one other node in each probe interval, so that nodes that start, resume or were cut off
//! receive within seconds what they missed.

use super::round_robin::RoundRobin;
use super::table::Membership;
use super::{MemberAction, MessageKind};
use crate::{IncarnationId, LimitReport, LimitTable, LimitUpdate, Time};

/// Number of nodes that are notified at once by the node that received the answer.
const NOTIFIED_FIRST: usize = 16;
/// Number of nodes that are notified at once by each node that receives the update from another.
const NOTIFIED_NEXT: usize = 4;
/// Maximum number of updates in a message, some 20 bytes each.
const MAX_UPDATES: usize = 24;

/// Rate limits that this node knows, and the order in which it passes them on.
#[derive(Clone, Debug, Default)]
pub(super) struct Limits {
    table: LimitTable,
    /// The targets in the order in which their limits are sent.
    queue: RoundRobin<IncarnationId>,
}

impl Membership {
    /// The rate limits that targets have reported.
    pub fn limits(&self) -> &LimitTable {
        &self.limits.table
    }

    /// Handles the limit in an answer to this node, in calls per second; `None` once there is no limit.
    pub(super) fn handle_limit(&mut self, now: Time, incarnation: IncarnationId, per_s: Option<f64>) {
        let report = per_s.map_or(LimitReport::None, LimitReport::PerSecond);
        let before = self.limits.table.reported(incarnation);
        let is_new = self.limits.table.apply_report(now, now, incarnation, report);
        if before != self.limits.table.reported(incarnation) {
            self.actions.push(MemberAction::LimitsChanged);
        }
        if is_new {
            self.disseminate_limit(now, incarnation, NOTIFIED_FIRST);
        }
    }

    /// Applies updates from another node.
    pub(super) fn apply_limits(&mut self, now: Time, updates: &[LimitUpdate]) {
        for update in updates {
            if self.limits.table.apply_update(now, update) {
                self.actions.push(MemberAction::LimitsChanged);
                self.disseminate_limit(now, update.incarnation, NOTIFIED_NEXT);
            }
        }
    }

    /// Sends the next updates to one other node.
    pub(super) fn gossip_limits(&mut self, now: Time) {
        if self.limits.table.is_empty() {
            return;
        }
        self.limits.table.forget(now);
        for to in self.random_reachable(1) {
            self.share_limits(now, &to);
        }
    }

    /// Sends the next updates to a node. A node that has just started or resumed sends `Join` requests
    /// every 50 to 100 ms, and so receives limits before it assumes that it owns targets.
    pub(super) fn share_limits(&mut self, now: Time, to: &str) {
        let Limits { table, queue } = &mut self.limits;
        let updates = queue.take(MAX_UPDATES, |incarnation| table.update_of(now, incarnation));
        if !updates.is_empty() {
            self.send_limits(vec![to.to_owned()], &updates);
        }
    }

    /// Sends the limit of a target to `count` random nodes at once, and first in later updates.
    fn disseminate_limit(&mut self, now: Time, incarnation: IncarnationId, count: usize) {
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
