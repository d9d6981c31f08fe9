//! Learning at once who is there, after a start or a sleep.
//!
//! Updates that ride on probes reach a large fleet within seconds, which is enough for one node that comes or goes.
//! When all start at the same moment it is not: a node that knows a few others takes pools for its own that
//! others own too. So a node that has just started asks again and again, a seed at first and then anybody, and
//! names what it knows by short marks; the other tells what is missing. Whoever is asked tells little at a time,
//! so that no seed has to tell everybody everything (docs/DESIGN.md, "Members").
//!
//! A node that slept asks in the same way: an update is passed on some twenty times and then no more, so what it missed it
//! would only find out by probes of its own, of which a turn takes 21 s in a fleet of 86.

use super::table::{Membership, update_of};
use super::{Member, MemberUpdate, MessageKind};
use crate::{Span, Time, rendezvous};
use rand::seq::{IteratorRandom, SliceRandom};
use std::collections::HashSet;

/// How long after its start or a sleep a node asks.
const YOUNG: Span = Span::from_secs(4);
/// The time between two questions until a node is settled. After a start of all 295 nodes of a fleet the median one knew 252 of them
/// 0.6 s after the last was up when this was 100 ms, and all of them with 50 ms.
const ASK_EVERY: Span = Span::from_millis(50);
/// The time between two questions of a node that is settled: what it missed by then is little, and each question names all
/// that it knows.
const ASK_SETTLED: Span = Span::from_millis(100);
/// The time over which what is told is counted.
const SHARE_WINDOW: Span = Span::from_millis(100);
/// Messages with which one question is answered at the most.
const MOST_PARTS: usize = 8;
/// Messages with which all questions of [`SHARE_WINDOW`] are answered in full; those over it get a few names only.
const PARTS_AT_ONCE: usize = 50;
/// The names that a question over that is answered with.
const FEW: usize = 3;
/// Messages over which questions are not answered: whoever asked asks again, and by then knows somebody else.
const PARTS_MOST: usize = 100;
/// Answers in a row without anything new after which a node takes what it knows for all there is.
const QUIET_ANSWERS: u32 = 2;
/// But not before this time: all may have started at the same moment.
const SETTLE_LEAST: Span = Span::from_millis(300);
/// Nor later than after this one. It is better to begin with a part of the fleet known than to wait: in a fleet of 295 whose
/// pools waited for all to be known, a third as many pieces were made in the first two seconds after a start of all, although without
/// waiting 50 nodes own nine shards for half a second and nine calls of ten meet a full target, which costs 2 ms each.
const SETTLE_MOST: Span = Span::from_millis(600);
/// A node to which nobody answered by then is taken to be alone.
const ALONE: Span = Span::from_millis(600);

/// How far a node that has just started or woken has come.
#[derive(Clone, Debug, Default)]
pub(super) struct CatchUp {
    /// The time of its first step.
    started: Option<Time>,
    /// Until when it asks.
    until: Time,
    next: Time,
    /// Whom it asked last, until the answer comes.
    partner: Option<String>,
    /// Nodes that it has learnt of, and how many they were when it asked last.
    learnt: usize,
    learnt_before: usize,
    /// Whether anybody ever answered.
    answered: bool,
    /// Answers in a row that told nothing new.
    quiet: u32,
    /// Until when `parts` counts.
    window: Time,
    /// Messages with which questions were answered lately.
    parts: usize,
}

impl Membership {
    /// Whether what this node knows of the others is likely to be all there is. Before that it should not act as
    /// the only owner of anything.
    pub fn converged(&self, now: Time) -> bool {
        let Some(started) = self.catch_up.started else {
            return false;
        };
        let age = now.since(started);
        let alone = !self.catch_up.answered && self.members.is_empty();
        let nobody = alone && (self.other_seeds().is_empty() || age > ALONE);
        nobody || age > SETTLE_MOST || (age > SETTLE_LEAST && self.catch_up.quiet >= QUIET_ANSWERS)
    }

    /// How long ago this node began.
    pub(super) fn age(&self, now: Time) -> Span {
        self.catch_up
            .started
            .map_or(Span::ZERO, |started| now.since(started))
    }

    pub(super) fn catch_up(&mut self, now: Time) {
        if self.catch_up.started.is_none() {
            self.catch_up.started = Some(now);
            self.ask_again(now);
        }
        if !self.young(now) || now < self.catch_up.next {
            return;
        }
        let settled = self.converged(now);
        self.catch_up.next = now + if settled { ASK_SETTLED } else { ASK_EVERY };
        let anybody: Vec<String> = self.reachable().collect();
        let partner = anybody.into_iter().choose(&mut self.random);
        self.catch_up.partner.clone_from(&partner);
        self.catch_up.learnt_before = self.catch_up.learnt;
        // Some seeds may be stale or down, so all are asked until somebody is known.
        let asked = partner.map_or_else(|| self.other_seeds(), |partner| vec![partner]);
        let known = self.marks();
        for address in asked {
            let known = known.clone();
            self.send(now, address, MessageKind::Join { known });
        }
    }

    /// What this node knows, each by a mark that changes with it.
    pub(super) fn marks(&self) -> Vec<u32> {
        self.members.values().map(mark).collect()
    }

    /// Tells another node some of what it does not know, or that there is nothing.
    pub(super) fn share(&mut self, now: Time, to: &str, known: &[u32]) {
        // Before any other work: when a fleet starts, a seed gets thousands of questions a second.
        let sent = self.parts_lately(now);
        if sent >= PARTS_MOST {
            return;
        }
        let known: HashSet<u32> = known.iter().copied().collect();
        let mut missing: Vec<MemberUpdate> = self
            .members
            .values()
            .filter(|member| member.facts.address != to && !known.contains(&mark(member)))
            .map(update_of)
            .collect();
        // Those who ask at the same moment are told different things, which they then tell each other.
        missing.shuffle(&mut self.random);
        let most_updates = self.settings.max_updates.max(1);
        let members = self.members.len() as u32;
        let nothing = [Vec::new()];
        let parts: Vec<Vec<MemberUpdate>> = missing.chunks(most_updates).map(<[_]>::to_vec).collect();
        let parts = if parts.is_empty() { &nothing[..] } else { &parts };
        let busy = sent >= PARTS_AT_ONCE;
        let (most, names) = if busy {
            (1, FEW)
        } else {
            (MOST_PARTS, most_updates)
        };
        for part in parts.iter().take(most) {
            self.catch_up.parts += 1;
            let mut updates = vec![self.me.clone()];
            updates.extend(part.iter().take(names).cloned());
            let room = most_updates.saturating_sub(part.len());
            let crashes = self.next_crashes(now, room);
            self.post(
                to.to_owned(),
                MessageKind::JoinReply { members },
                updates,
                crashes,
            );
        }
    }

    /// Messages with which questions were answered in this window.
    fn parts_lately(&mut self, now: Time) -> usize {
        if now >= self.catch_up.window {
            self.catch_up.window = now + SHARE_WINDOW;
            self.catch_up.parts = 0;
        }
        self.catch_up.parts
    }

    /// From now on this node asks for a while by itself for all that there is.
    pub(super) fn ask_again(&mut self, now: Time) {
        self.catch_up.until = now + YOUNG;
    }

    /// Whether this node still asks by itself for all that there is.
    pub(super) fn young(&self, now: Time) -> bool {
        self.catch_up.started.is_none() || now <= self.catch_up.until
    }

    /// A node was learnt of that this one did not know.
    pub(super) fn note_learnt(&mut self) {
        self.catch_up.learnt += 1;
    }

    /// Notes an answer, after its updates were taken. Only a node that knows as many others as this one can say that
    /// there are no more.
    pub(super) fn shared(&mut self, from: &str, members: u32) {
        self.catch_up.answered = true;
        if self.catch_up.partner.as_deref() != Some(from) {
            return;
        }
        self.catch_up.partner = None;
        let nothing_new = self.catch_up.learnt == self.catch_up.learnt_before;
        let quiet = nothing_new && members as usize >= self.members.len();
        self.catch_up.quiet = if quiet { self.catch_up.quiet + 1 } else { 0 };
    }
}

/// A short mark of what is known of a node.
fn mark(member: &Member) -> u32 {
    let state = member.incarnation.0 ^ (member.facts_version << 32) ^ (member.health as u64) << 60;
    rendezvous::place(member.key, state) as u32
}
