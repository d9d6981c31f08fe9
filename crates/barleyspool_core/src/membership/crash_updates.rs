//! Distribution of the suspects of crashes.
//!
//! A single crash during a call says little, and when many targets crash at once there are thousands of
//! such reports. So a first report goes only to a few nodes, which are the same for all reports about a
//! suspect. As soon as one of them knows of several crashes, all nodes are notified, and answer if they know that the
//! suspect is harmless: some at once, which pass it
//! on, and all repeatedly with the messages that are sent anyway, so that nodes that start, resume or were
//! cut off receive it within seconds.

use super::round_robin::RoundRobin;
use super::table::Membership;
use super::{MemberAction, MessageKind};
use crate::{BlockedCalls, CrashKnowledge, CrashReport, CrashTable, CrashUpdate, Suspect, Time, rendezvous};

/// Number of nodes in different zones that collect all reports about a call. Even if the zone of one of them
/// is lost, and the datagram to a second one as well, the third receives the report.
const COLLECTORS: usize = 3;
/// Number of nodes that are notified at once by the node that confirms that a call crashes targets.
const NOTIFIED_FIRST: usize = 16;
/// Number of nodes that are notified at once by each node that receives the update from another. In a
/// simulation of 89 and 410 nodes that lose 3 of 100 datagrams this reaches 98 of 100 nodes, and the rest
/// receive it with the next messages that are sent anyway.
const NOTIFIED_NEXT: usize = 4;
/// Maximum number of suspects in a message with the full number of updates of nodes, 30 to 110 bytes each; a
/// message with fewer of those updates holds more suspects. The whole message fits into a datagram that
/// no network has to fragment. A node receives some eight messages a second, so it learns of 24 suspects a
/// second.
const MAX_UPDATES: usize = 3;

/// The suspects that this node knows, and the order in which it passes them on.
#[derive(Clone, Debug)]
pub(super) struct Crashes {
    table: CrashTable,
    /// Confirmed suspects in the order in which they are sent: the newest first, then round robin.
    queue: RoundRobin<Suspect>,
}

impl Crashes {
    pub(super) fn new(address: &str) -> Self {
        Self {
            table: CrashTable::new(rendezvous::text_key(address) as u64),
            queue: RoundRobin::default(),
        }
    }
}

impl Membership {
    /// What is known about the suspects of crashes.
    pub fn crashes(&self) -> &CrashTable {
        &self.crashes.table
    }

    /// The calls that are blocked now, and those of them that this node tries. Each suspect is tried by the node that ranks first
    /// for it, so that a trial crashes one target at most.
    pub fn blocked_calls(&self, now: Time) -> BlockedCalls {
        let mut blocked = self.crashes.table.blocked(now);
        let own_key = rendezvous::text_key(&self.settings.facts.address);
        let is_first = |suspect: Suspect| {
            let rank = |key| rendezvous::order(key, suspect.key());
            let others = self.collectors(suspect.key(), 1);
            let first_other = others.first().map(|address| rank(rendezvous::text_key(address)));
            first_other.is_none_or(|other| rank(own_key) < other)
        };
        blocked.set_tried_here(is_first);
        blocked
    }

    /// Handles the crash of a target that was processing a call of this node.
    pub(super) fn handle_crash(&mut self, now: Time, report: CrashReport) {
        match self.crashes.table.record_crash(now, report) {
            CrashKnowledge::Unchanged => {}
            CrashKnowledge::Suspected => self.notify_collectors(now, report.suspect),
            CrashKnowledge::Confirmed => self.disseminate_crash(now, report.suspect, NOTIFIED_FIRST),
        }
    }

    /// Handles the last of `count` answers to calls of this node with a suspect that all nodes know.
    pub(super) fn handle_answer(&mut self, now: Time, suspect: Suspect, (last, count): (Time, u32)) {
        let knowledge = self.crashes.table.record_answer(now, suspect, last, count);
        if knowledge == CrashKnowledge::Confirmed {
            self.disseminate_crash(now, suspect, NOTIFIED_FIRST);
        }
    }

    /// Applies updates from another node.
    pub(super) fn apply_crashes(&mut self, now: Time, updates: &[CrashUpdate]) {
        for update in updates {
            if self.crashes.table.apply_update(now, update) == CrashKnowledge::Confirmed {
                // The node that combines the reports of others is the first to know.
                let count = if update.is_single_report() {
                    NOTIFIED_FIRST
                } else {
                    NOTIFIED_NEXT
                };
                self.disseminate_crash(now, update.suspect, count);
            }
        }
    }

    /// Returns the crash updates that go with a message, [`MAX_UPDATES`] at most and one more for each of the
    /// `spare` updates of nodes by which the message is below its maximum. An update of a node is the larger
    /// of the two, so a crash update fits in its place.
    pub(super) fn take_crash_updates(&mut self, now: Time, spare: usize) -> Vec<CrashUpdate> {
        let Crashes { table, queue } = &mut self.crashes;
        let confirmed = |suspect| {
            table
                .is_confirmed(now, suspect)
                .then(|| table.update_of(now, suspect))
        };
        queue.take(MAX_UPDATES + spare, |suspect| confirmed(suspect).flatten())
    }

    /// Sends the update about a confirmed suspect to `count` random nodes at once, and first with the messages
    /// that are sent anyway.
    fn disseminate_crash(&mut self, now: Time, suspect: Suspect, count: usize) {
        self.crashes.queue.put_first(suspect);
        self.actions.push(MemberAction::BlockedCallsChanged);
        let to = self.random_reachable(count);
        self.notify_crash(now, suspect, to);
    }

    fn notify_collectors(&mut self, now: Time, suspect: Suspect) {
        let collectors = self.collectors(suspect.key(), COLLECTORS);
        self.notify_crash(now, suspect, collectors);
    }

    fn notify_crash(&mut self, now: Time, suspect: Suspect, nodes: Vec<String>) {
        let Some(update) = self.crashes.table.update_of(now, suspect) else {
            return;
        };
        for to in nodes {
            self.notify(to, MessageKind::Update, vec![update.clone()]);
        }
    }
}
