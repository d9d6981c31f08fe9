//! Distribution of calls that crash targets.
//!
//! A single crash during a call says little, and when many targets crash at once there are thousands of
//! such reports. So a first report goes only to a few nodes, which are the same for all reports about a
//! call. As soon as one of them knows of two crashes, all nodes are notified: some at once, which pass it
//! on, and all repeatedly with the messages that are sent anyway, so that nodes that start, resume or were
//! cut off receive it within seconds.

use super::round_robin::RoundRobin;
use super::table::Membership;
use super::{MemberAction, MessageKind};
use crate::{CallFingerprint, CrashKnowledge, CrashTable, CrashUpdate, IncarnationId, Time};

/// Number of nodes in different zones that collect all reports about a call. Even if the zone of one of them
/// is lost, and the datagram to a second one as well, the third receives the report.
const COLLECTORS: usize = 3;
/// Number of nodes that are notified at once by the node that confirms that a call crashes targets.
const NOTIFIED_FIRST: usize = 16;
/// Number of nodes that are notified at once by each node that receives the update from another. In a
/// simulation of 89 and 410 nodes that lose 3 of 100 datagrams this reaches 98 of 100 nodes, and the rest
/// receive it with the next messages that are sent anyway.
const NOTIFIED_NEXT: usize = 4;
/// Maximum number of calls in a message with the full number of updates of nodes, 30 to 61 bytes each; a
/// message with fewer of those updates holds more calls. The whole message fits into a datagram that
/// no network has to fragment. A node receives some eight messages a second, so it learns of 24 calls a
/// second.
const MAX_UPDATES: usize = 3;

/// Calls that crash targets, as known to this node, and the order in which it passes them on.
#[derive(Clone, Debug, Default)]
pub(super) struct Crashes {
    table: CrashTable,
    /// Confirmed calls in the order in which they are sent: the newest first, then round robin.
    queue: RoundRobin<CallFingerprint>,
}

impl Membership {
    /// What is known about calls during which targets crashed.
    pub fn crashes(&self) -> &CrashTable {
        &self.crashes.table
    }

    /// Handles the crash of a target that was processing a call of this node.
    pub(super) fn handle_crash(
        &mut self,
        now: Time,
        fingerprint: CallFingerprint,
        incarnation: IncarnationId,
    ) {
        match self.crashes.table.record_crash(now, fingerprint, incarnation) {
            CrashKnowledge::Unchanged => {}
            CrashKnowledge::Suspected => self.notify_collectors(now, fingerprint),
            CrashKnowledge::Confirmed => self.disseminate_crash(now, fingerprint, NOTIFIED_FIRST),
        }
    }

    /// Applies updates from another node.
    pub(super) fn apply_crashes(&mut self, now: Time, updates: &[CrashUpdate]) {
        for update in updates {
            let is_single_crash = update.crashes.len() == 1;
            if self.crashes.table.apply_update(now, update) == CrashKnowledge::Confirmed {
                // The node that combines two reports is the first to know.
                let count = if is_single_crash {
                    NOTIFIED_FIRST
                } else {
                    NOTIFIED_NEXT
                };
                self.disseminate_crash(now, update.fingerprint, count);
            }
        }
    }

    /// Returns the crash updates that go with a message, [`MAX_UPDATES`] at most and one more for each of the
    /// `spare` updates of nodes by which the message is below its maximum. An update of a node is the larger
    /// of the two, so a crash update fits in its place.
    pub(super) fn take_crash_updates(&mut self, now: Time, spare: usize) -> Vec<CrashUpdate> {
        let Crashes { table, queue } = &mut self.crashes;
        let confirmed = |fingerprint| {
            table
                .is_confirmed(now, fingerprint)
                .then(|| table.update_of(now, fingerprint))
        };
        queue.take(MAX_UPDATES + spare, |call| confirmed(call).flatten())
    }

    /// Sends the update about a confirmed call to `count` random nodes at once, and first with the messages
    /// that are sent anyway.
    fn disseminate_crash(&mut self, now: Time, fingerprint: CallFingerprint, count: usize) {
        self.crashes.queue.put_first(fingerprint);
        self.actions.push(MemberAction::BlockedCallsChanged);
        let to = self.random_reachable(count);
        self.notify_crash(now, fingerprint, to);
    }

    fn notify_collectors(&mut self, now: Time, fingerprint: CallFingerprint) {
        let collectors = self.collectors(fingerprint.0, COLLECTORS);
        self.notify_crash(now, fingerprint, collectors);
    }

    fn notify_crash(&mut self, now: Time, fingerprint: CallFingerprint, nodes: Vec<String>) {
        let Some(update) = self.crashes.table.update_of(now, fingerprint) else {
            return;
        };
        for to in nodes {
            self.notify(to, MessageKind::Update, vec![update.clone()]);
        }
    }
}
