//! Distribution of targets that have reported in an answer that they are leaving.
//!
//! The node that receives the answer notifies some other nodes at once, which pass it on. While any such
//! target is remembered, each node also sends updates to one other node in each probe interval, so that
//! nodes that start, resume or were cut off receive what they missed.

use super::round_robin::RoundRobin;
use super::table::Membership;
use super::{MemberAction, MessageKind};
use crate::{IncarnationId, LeavingIncarnations, LeavingUpdate, Time};

/// Number of nodes that are notified at once by the node that received the answer.
const NOTIFIED_FIRST: usize = 16;
/// Number of nodes that are notified at once by each node that receives the update from another.
const NOTIFIED_NEXT: usize = 4;
/// Maximum number of updates in a message, some 10 bytes each.
const MAX_UPDATES: usize = 32;

/// Leaving targets that this node knows, and the order in which it passes them on.
#[derive(Clone, Debug, Default)]
pub(super) struct Leaving {
    incarnations: LeavingIncarnations,
    /// The incarnations in the order in which they are sent.
    queue: RoundRobin<IncarnationId>,
}

impl Membership {
    /// Incarnations of targets that have reported in an answer, to this node or to another, that they are
    /// leaving.
    pub fn leaving_incarnations(&self) -> &LeavingIncarnations {
        &self.leaving.incarnations
    }

    /// Handles an answer to this node that reports a leaving target.
    pub(super) fn handle_target_leaving(&mut self, now: Time, incarnation: IncarnationId) {
        if self.leaving.incarnations.record(now, incarnation) {
            self.disseminate_leaving(now, incarnation, NOTIFIED_FIRST);
        }
    }

    /// Applies updates from another node.
    pub(super) fn apply_leaving(&mut self, now: Time, updates: &[LeavingUpdate]) {
        for update in updates {
            if self.leaving.incarnations.merge(now, *update) {
                self.disseminate_leaving(now, update.incarnation, NOTIFIED_NEXT);
            }
        }
    }

    /// Sends the next updates to one other node.
    pub(super) fn gossip_leaving(&mut self, now: Time) {
        if self.leaving.incarnations.is_empty() {
            return;
        }
        self.leaving.incarnations.expire(now, |_| false);
        for to in self.random_reachable(1) {
            self.share_leaving(now, &to);
        }
    }

    /// Sends the next updates to a node.
    pub(super) fn share_leaving(&mut self, now: Time, to: &str) {
        let Leaving { incarnations, queue } = &mut self.leaving;
        let updates = queue.take(MAX_UPDATES, |incarnation| {
            incarnations.update_of(now, incarnation)
        });
        if !updates.is_empty() {
            self.notify(to.to_owned(), MessageKind::Leaving { updates }, Vec::new());
        }
    }

    /// Sends the update about a target to `count` random nodes at once, and first in later updates.
    fn disseminate_leaving(&mut self, now: Time, incarnation: IncarnationId, count: usize) {
        self.actions.push(MemberAction::TargetLeaves { incarnation });
        self.leaving.queue.put_first(incarnation);
        let updates: Vec<LeavingUpdate> = self
            .leaving
            .incarnations
            .update_of(now, incarnation)
            .into_iter()
            .collect();
        for to in self.random_reachable(count) {
            let updates = updates.clone();
            self.notify(to, MessageKind::Leaving { updates }, Vec::new());
        }
    }
}
