//! Notifying other nodes of targets that have said in an answer that they leave.
//!
//! The node that reads it notifies some others at once, who pass it on. While any is remembered each node also updates one other in
//! each round, so that nodes that start, sleep or are cut off learn what they missed.

use super::round_robin::RoundRobin;
use super::table::Membership;
use super::{MemberAction, MessageKind};
use crate::{IncarnationId, LeavingIncarnations, LeavingUpdate, Time};

/// Nodes that are notified at once by the one that reads an answer.
const NOTIFIED_FIRST: usize = 16;
/// Nodes that are notified at once by each that learns it from another.
const NOTIFIED_NEXT: usize = 4;
/// Updates in one message, some 10 bytes each.
const UPDATES_PER_MESSAGE: usize = 32;

/// What this node knows and passes on of targets that leave.
#[derive(Clone, Debug, Default)]
pub(super) struct Leaving {
    runs: LeavingIncarnations,
    /// The runs in the order in which they are passed on; each in turn.
    queue: RoundRobin<IncarnationId>,
}

impl Membership {
    /// Runs of targets that have said in an answer, here or at another node, that they leave.
    pub fn leaving_runs(&self) -> &LeavingIncarnations {
        &self.leaving.runs
    }

    /// This node has read in an answer that a incarnation of a target leaves.
    pub(super) fn handle_target_leaving(&mut self, now: Time, incarnation: IncarnationId) {
        if self.leaving.runs.record(now, incarnation) {
            self.spread_leaving(now, incarnation, NOTIFIED_FIRST);
        }
    }

    /// Takes what another node passes on.
    pub(super) fn apply_leaving(&mut self, now: Time, updates: &[LeavingUpdate]) {
        for update in updates {
            if self.leaving.runs.merge(now, *update) {
                self.spread_leaving(now, update.incarnation, NOTIFIED_NEXT);
            }
        }
    }

    /// Updates one other node with some of what is known, in turn.
    pub(super) fn gossip_leaving(&mut self, now: Time) {
        if self.leaving.runs.is_empty() {
            return;
        }
        self.leaving.runs.expire(now, |_| false);
        for to in self.random_reachable(1) {
            self.share_leaving(now, &to);
        }
    }

    /// Updates a node with some of what is known, in turn.
    pub(super) fn share_leaving(&mut self, now: Time, to: &str) {
        let Leaving { runs, queue } = &mut self.leaving;
        let updates = queue.take(UPDATES_PER_MESSAGE, |incarnation| {
            runs.update_of(now, incarnation)
        });
        if !updates.is_empty() {
            self.notify(to.to_owned(), MessageKind::Leaving { updates }, Vec::new());
        }
    }

    fn spread_leaving(&mut self, now: Time, incarnation: IncarnationId, nodes: usize) {
        self.actions.push(MemberAction::TargetLeaves { incarnation });
        self.leaving.queue.put_first(incarnation);
        let updates: Vec<LeavingUpdate> = self
            .leaving
            .runs
            .update_of(now, incarnation)
            .into_iter()
            .collect();
        for to in self.random_reachable(nodes) {
            let updates = updates.clone();
            self.notify(to, MessageKind::Leaving { updates }, Vec::new());
        }
    }
}
