//! The crashes of one suspect.

use super::IncarnationId;
use super::block_policy::BlockPolicy;
use super::blocked_calls::MANY_ANSWERS;
use crate::{Span, Time};

/// Two reports of a crash of the same incarnation are about one crash if they are this close, which covers
/// network latency: an update carries the age of a crash when it is sent, and the receiver subtracts the age
/// from its own time, so the clocks of two nodes are never compared. A target restarts within seconds, at
/// times with the same [`IncarnationId`].
const SAME_CRASH: Span = Span::from_secs(1);
/// Maximum number of crashes recorded for a suspect: more than the longest block needs, since not all of them may count.
const MAX_CRASHES: usize = 12;
/// Maximum difference between two reports of the same answer. As for crashes, the receiver adds the network latency, so that
/// without it an answer became later each time that nodes passed it on, and in the end later than the crashes after it.
const SAME_ANSWER: Span = Span::from_millis(50);
/// For how long an answer before the first crash makes a suspect less suspicious.
const ANSWER_RETENTION: Span = Span::from_secs(60);
/// Maximum number of counted crashes at which a blocked suspect is still tried. Three block one that was answered before them,
/// so that one that has become harmful may crash three more in trials, as the deployments allow, however often nodes restart.
/// These count: in a day it crashes no more targets than without trials. With a maximum of 3, a harmless call whose first trial
/// met the crash of another call stayed blocked (one of 40 runs of the platform's test).
const MAX_TRIED_CRASHES: usize = 5;
/// For how long all nodes are notified of a suspect that has turned out to be harmless: others may still block it.
const SHARED_RETENTION: Span = Span::from_secs(10);

/// A crash of a target that was processing a call.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Crash {
    pub(super) incarnation: IncarnationId,
    pub(super) at: Time,
    /// When the last of the calls with the suspect that were running was sent.
    pub(super) sent_at: Time,
}

impl Crash {
    /// Whether two reports are about the same crash: one event, whichever nodes had calls at the target.
    fn is_same(&self, other: &Self) -> bool {
        let apart = self.at.since(other.at).max(other.at.since(self.at));
        self.incarnation == other.incarnation && apart < SAME_CRASH
    }
}

/// The crashes of one suspect in order of time, and what speaks for it.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashRecord {
    crashes: Vec<Crash>,
    /// When a target last gave a call with the suspect a complete answer.
    pub(super) answered_at: Option<Time>,
    /// The largest number of answers that one node has reported. Numbers of several nodes are not added, since they arrive
    /// repeatedly and in any order.
    pub(super) answers: u32,
    /// When the suspect last had so many crashes that all nodes have to know it.
    shared_at: Option<Time>,
}

impl CrashRecord {
    /// Adds a crash. Returns false if it is already recorded.
    pub(super) fn add(&mut self, policy: &BlockPolicy, crash: Crash) -> bool {
        if let Some(known) = self.crashes.iter_mut().find(|known| known.is_same(&crash)) {
            known.sent_at = known.sent_at.max(crash.sent_at);
            return false;
        }
        let place = self.crashes.partition_point(|known| known.at <= crash.at);
        if place == 0 && self.crashes.len() == MAX_CRASHES {
            return false;
        }
        self.crashes.insert(place, crash);
        if self.crashes.len() > MAX_CRASHES {
            self.remove_least(policy);
        }
        true
    }

    /// Removes the oldest crash; where crashes count in sequence, the oldest one that does not count. Otherwise many crashes
    /// at once would replace those that do.
    fn remove_least(&mut self, policy: &BlockPolicy) {
        let counted = self.counted_crashes(policy, &[]);
        let uncounted = self.crashes.iter().position(|crash| !counted.contains(crash));
        let least = uncounted.filter(|_| policy.in_sequence).unwrap_or(0);
        self.crashes.remove(least);
    }

    /// Records the last of `count` complete answers to calls with the suspect.
    pub(super) fn add_answers(&mut self, last: Time, count: u32) {
        self.answered_at = Some(self.answered_at.map_or(last, |known| known.max(last)));
        self.answers = self.answers.max(count);
    }

    /// The time of an answer that another node has reported: the known one if it may be the same answer.
    pub(super) fn reported_answer(&self, at: Time) -> Time {
        let known = self.answered_at.filter(|known| at.since(*known) <= SAME_ANSWER);
        known.unwrap_or(at)
    }

    /// From when on an answer changes what counts against the suspect; `None` if no answer does.
    pub(super) fn news_from(&self, policy: &BlockPolicy) -> Option<Time> {
        if self.answered_at.is_none() {
            return Some(Time(0));
        }
        let first = *self.counted_crashes(policy, &[]).first()?;
        if self.was_answered_before(&first) {
            return Some(first.at);
        }
        Some(first.at - ANSWER_RETENTION + Span::from_millis(1))
    }

    /// Whether a suspect that is blocked may be tried, since it was answered often until shortly before its crashes.
    pub(super) fn may_try(&self, policy: &BlockPolicy) -> bool {
        let counted = self.counted_crashes(policy, &[]);
        let is_answered = counted
            .first()
            .is_some_and(|first| self.was_answered_before(first));
        is_answered && self.has_many_answers() && counted.len() <= MAX_TRIED_CRASHES
    }

    /// Whether all nodes know that one of them has many answers.
    pub(super) fn has_many_answers(&self) -> bool {
        self.answers >= MANY_ANSWERS
    }

    /// Notes whether all nodes have to know the suspect now.
    pub(super) fn note_shared(&mut self, now: Time, policy: &BlockPolicy) {
        if self.count(policy) >= policy.shared_from {
            self.shared_at = Some(now);
        }
    }

    /// Whether all nodes have to know the suspect.
    pub(super) fn is_shared(&self, now: Time, policy: &BlockPolicy) -> bool {
        if self.crashes.len() < policy.shared_from && self.shared_at.is_none() {
            return false;
        }
        let was_shared = self.shared_at.is_some_and(|at| now.since(at) < SHARED_RETENTION);
        (self.count(policy) >= policy.shared_from && self.retained_until(policy) > now) || was_shared
    }

    /// The crashes that count together, up to the latest, without those in `explained`, which another suspect accounts for.
    ///
    /// An answer ends the count, and so does a time without crashes of [`BlockPolicy::retention_after`].
    pub(super) fn counted_crashes(&self, policy: &BlockPolicy, explained: &[Crash]) -> Vec<Crash> {
        let mut counted: Vec<Crash> = Vec::new();
        for crash in &self.crashes {
            let is_answered = self.answered_at.is_some_and(|answered| crash.at <= answered);
            if is_answered || explained.iter().any(|other| other.is_same(crash)) {
                continue;
            }
            if let Some(last) = counted.last() {
                if policy.in_sequence && crash.sent_at < last.at {
                    continue;
                }
                if crash.at.since(last.at) >= policy.retention_after(counted.len()) {
                    counted.clear();
                }
            }
            counted.push(*crash);
        }
        counted
    }

    /// The number of crashes that count together. A suspect that was answered shortly before the first of them needs one
    /// more than others.
    pub(super) fn count(&self, policy: &BlockPolicy) -> usize {
        self.evidence(&self.counted_crashes(policy, &[]))
    }

    /// The weight of counted crashes as evidence.
    pub(super) fn evidence(&self, counted: &[Crash]) -> usize {
        let Some(first) = counted.first() else { return 0 };
        counted.len() - usize::from(self.was_answered_before(first))
    }

    /// Whether the suspect was answered shortly before this crash, the first that counts.
    fn was_answered_before(&self, first: &Crash) -> bool {
        self.answered_at
            .is_some_and(|answered| first.at.since(answered) < ANSWER_RETENTION)
    }

    pub(super) fn last(&self) -> Time {
        self.crashes.last().map_or(Time(0), |crash| crash.at)
    }

    /// Until when the record is retained.
    pub(super) fn retained_until(&self, policy: &BlockPolicy) -> Time {
        self.last() + policy.retention_after(self.count(policy))
    }
}
