//! Telling other nodes under which calls targets have ended.
//!
//! One end under a call says little, and when many targets end at once there are thousands of such words. So it goes to a few
//! nodes only, the same ones for all words of that call. When they have heard of two, everybody is told: some at once, who pass it
//! on, and all again and again with the messages that go out anyway, so that nodes that start, sleep or are cut off learn it
//! within seconds after they are back.

use super::round_robin::RoundRobin;
use super::table::Membership;
use super::{Member, MemberAction, MemberHealth, MessageKind};
use crate::{CallFingerprint, CrashKnowledge, CrashTable, CrashUpdate, IncarnationId, Time, rendezvous};
use std::collections::HashMap;

/// Nodes that hear of every end under a call, in different zones. A zone may be lost, and another datagram, without anything being
/// missed.
const COLLECTORS: usize = 3;
/// Nodes that are told at once by the one that finds out that targets end under a call.
const NOTIFIED_FIRST: usize = 16;
/// Nodes that are told at once by each that hears of it: by a simulation of 89 and 410 nodes that lose 3 of 100 datagrams 98 of
/// 100 hear it so, the rest with the next messages that go out anyway.
const NOTIFIED_NEXT: usize = 4;
/// Calls that are told with each message, 30 to 61 bytes each; the whole message fits a datagram that no network has to split. A
/// node gets some eight messages a second, so it hears of 24 calls a second.
const UPDATES_PER_MESSAGE: usize = 3;

/// What this node knows and tells of calls under which targets have ended.
#[derive(Clone, Debug, Default)]
pub(super) struct Crashes {
    table: CrashTable,
    /// Confirmed calls in the order in which they are told; the newest first, and then each in turn.
    queue: RoundRobin<CallFingerprint>,
}

impl Membership {
    /// What is known of calls under which targets have ended.
    pub fn crashes(&self) -> &CrashTable {
        &self.crashes.table
    }

    /// This node has seen a incarnation of a target end while it had a call.
    pub(super) fn handle_crash(
        &mut self,
        now: Time,
        fingerprint: CallFingerprint,
        incarnation: IncarnationId,
    ) {
        match self.crashes.table.record_crash(now, fingerprint, incarnation) {
            CrashKnowledge::Unchanged => {}
            CrashKnowledge::Suspected => self.notify_collectors(now, fingerprint),
            CrashKnowledge::Confirmed => self.spread(now, fingerprint, NOTIFIED_FIRST),
        }
    }

    /// Takes what another node tells of such calls.
    pub(super) fn apply_crashes(&mut self, now: Time, updates: &[CrashUpdate]) {
        for update in updates {
            let first_end = update.crashes.len() == 1;
            if self.crashes.table.apply_update(now, update) == CrashKnowledge::Confirmed {
                // Whoever puts two words together is the first to know.
                let count = if first_end { NOTIFIED_FIRST } else { NOTIFIED_NEXT };
                self.spread(now, update.fingerprint, count);
            }
        }
    }

    /// The calls that go with a message which has room for `room` more updates of nodes; these are larger.
    pub(super) fn take_crash_updates(&mut self, now: Time, room: usize) -> Vec<CrashUpdate> {
        let Crashes { table, queue } = &mut self.crashes;
        let confirmed = |fingerprint| {
            table
                .is_confirmed(now, fingerprint)
                .then(|| table.update_of(now, fingerprint))
        };
        queue.take(UPDATES_PER_MESSAGE + room, |fingerprint| {
            confirmed(fingerprint).flatten()
        })
    }

    fn spread(&mut self, now: Time, fingerprint: CallFingerprint, count: usize) {
        self.crashes.queue.put_first(fingerprint);
        self.actions.push(MemberAction::BlockedCallsChanged);
        let to = self.random_reachable(count);
        self.notify_crash(now, fingerprint, to);
    }

    fn notify_collectors(&mut self, now: Time, fingerprint: CallFingerprint) {
        let collectors = self.collectors(fingerprint);
        self.notify_crash(now, fingerprint, collectors);
    }

    /// The nodes that hear of every end under a call: the best placed ones, of different zones as far as there are any.
    fn collectors(&self, fingerprint: CallFingerprint) -> Vec<String> {
        let alive = |member: &&Member| matches!(member.health, MemberHealth::Alive | MemberHealth::Suspect);
        let mut ranked: Vec<&Member> = self.members.values().filter(alive).collect();
        ranked.sort_unstable_by_key(|member| rendezvous::place(member.key, fingerprint.0));
        let mut in_zone: HashMap<&str, u32> = HashMap::new();
        let mut turns: Vec<(u32, &Member)> = Vec::new();
        for member in ranked {
            let before = in_zone.entry(&member.facts.zone).or_default();
            turns.push((*before, member));
            *before += 1;
        }
        // Stable: within each turn through the zones the order by place stays.
        turns.sort_by_key(|(turn, _)| *turn);
        let collectors = turns.into_iter().take(COLLECTORS);
        collectors
            .map(|(_, member)| member.facts.address.clone())
            .collect()
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
