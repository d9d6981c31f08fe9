//! Requests to other nodes whether they have a newer list of targets.
//!
//! A node that is cut off, or that has stood still, does not notice at once that its list is old. Announcements do not show it
//! either: they may have been sent before a change, and may have waited in the socket of a node that stood still. So the
//! other nodes are asked, and their answers, sent after the question, hold the revisions of their lists.

use super::stream_updates::QUERIED;
use super::table::Membership;
use super::{MemberAction, MessageKind, SourceState};
use crate::{Revision, Span, StreamId, Time};
use std::collections::{BTreeSet, HashMap};

/// How long a check is kept whose result nobody takes.
const CHECK_TTL: Span = Span::from_secs(2);

/// A check of the list, with the nodes that have not answered it.
#[derive(Clone, Debug)]
pub(super) struct ListCheck {
    began_at: Time,
    asked: usize,
    waiting: BTreeSet<String>,
    /// The newest list among the answers.
    newest: Revision,
}

/// The checks under way, by the call that needs them.
pub(super) type ListChecks = HashMap<StreamId, ListCheck>;

impl Membership {
    /// Asks other nodes for the revisions of their lists; again those that have not answered, if the check is under way.
    pub(super) fn compare_lists(&mut self, now: Time, call: StreamId) {
        self.list_checks
            .retain(|_, check| now.since(check.began_at) < CHECK_TTL);
        let waiting = match self.list_checks.get(&call) {
            Some(check) => check.waiting.clone(),
            None => self.collectors(call.0, QUERIED).into_iter().collect(),
        };
        for to in &waiting {
            // Answers to it hold the sender's source state, whether or not it knows a stream of this name.
            let kind = MessageKind::StreamQuery { stream: call };
            self.notify(to.clone(), kind, Vec::new());
        }
        if waiting.is_empty() {
            self.actions.push(MemberAction::ListsCompared(call));
        }
        self.list_checks.entry(call).or_insert(ListCheck {
            began_at: now,
            asked: waiting.len(),
            waiting,
            newest: Revision(0),
        });
    }

    /// Handles the answer of a node that was asked.
    pub(super) fn handle_list_answer(&mut self, from: &str, call: StreamId, source: SourceState) {
        let Some(check) = self.list_checks.get_mut(&call) else {
            return;
        };
        if check.waiting.remove(from) {
            check.newest = check.newest.max(source.list);
            if check.waiting.is_empty() {
                self.actions.push(MemberAction::ListsCompared(call));
            }
        }
    }

    /// Ends a check, and returns the newest revision among the lists of the other nodes. `None` unless more than half of the
    /// nodes asked, this one included, have answered, and this node reaches more than half of the fleet: a node that is cut
    /// off would compare its list with nothing.
    pub fn take_list_check(&mut self, now: Time, call: StreamId) -> Option<Revision> {
        let check = self.list_checks.remove(&call)?;
        let answered = check.asked - check.waiting.len();
        let reachability = self.reachability(now);
        let is_majority =
            2 * (1 + answered) > 1 + check.asked && 2 * reachability.reached > reachability.known;
        // A node that knows no others although it has seeds may have been cut off since its start.
        let knows_fleet = check.asked > 0 || self.other_seeds().is_empty();
        (is_majority && knows_fleet).then_some(check.newest)
    }
}
