//! Which calls targets have ended under, and which of them get no target for a while.

use super::CallFingerprint;
use crate::{Span, Time, rendezvous};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Ends of targets after which a call gets no target.
///
/// Under any call a target may end by chance, since up to 64 others are at it when it does, and of those that are sent
/// again some meet the next one that ends. But each end costs all the calls at that target, what it keeps in memory, and seconds
/// of its work, and a call that has failed twice has little time left. The rules of the deployments allow three.
const REFUSED_FROM: usize = 2;
/// How long a call gets no target after so many ends, and after each further one.
///
/// Chosen, for two errors that are possible. A call that was at two targets by chance is told to come back after 5 s, and is served
/// then; that is long against the second within which calls that end targets come again. One that ends every target and keeps
/// coming ends five within a quarter of an hour, and one a day after that: it is not to be tried again before somebody may have
/// mended the targets, and the rules allow three after the third.
const REFUSALS: [Span; 4] = [
    Span::from_secs(5),
    Span::from_secs(60),
    Span::from_secs(12 * 60),
    Span::from_secs(24 * 3600),
];
/// Ends that are kept of each call, the newest: as many as the longest refusal takes.
const MOST_ENDS: usize = REFUSED_FROM + REFUSALS.len() - 1;
/// How long a record is kept at the least after its last end.
const KEPT: Span = Span::from_secs(600);
/// Two words of the end of the same run of a target are of one end when they lie this close: how far the clocks of nodes and
/// the time on the way may part them. A target is back after seconds, at times under the same mark.
const SAME_END: Span = Span::from_secs(1);
/// Calls that are remembered, some 200 bytes each.
const MOST_RECORDS: usize = 4096;

/// A short mark of one run of a target.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct IncarnationId(pub u32);

impl IncarnationId {
    /// The mark of the run `run` of the target `id`.
    pub fn of(id: &str, run: u64) -> Self {
        Self(rendezvous::place(rendezvous::text_key(id), run) as u32)
    }
}

/// A run of a target that ended while it had a call.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
struct End {
    run: IncarnationId,
    at: Time,
}

/// What is known of one call; the ends in the order of their times.
#[derive(Clone, Debug, Default)]
struct Record {
    ends: Vec<End>,
}

/// What one node tells another of a call: which runs of targets ended under it, and how many milliseconds ago.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashUpdate {
    /// The call.
    #[serde(rename = "print")]
    pub fingerprint: CallFingerprint,
    /// The runs of targets, each with the age of its end in milliseconds.
    #[serde(rename = "ends")]
    pub crashes: Vec<(IncarnationId, u32)>,
}

/// What a node learns from a word about a call.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum CrashKnowledge {
    /// Nothing that it did not know.
    Unchanged,
    /// A target ended under it, which says little yet.
    Suspected,
    /// Targets end under it: all nodes have to know.
    Confirmed,
}

/// Calls that get no target now, and until when.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BlockedCalls(HashMap<CallFingerprint, Time>);

impl BlockedCalls {
    /// How long a call gets no target from now on; `None` when it may go to one.
    pub fn wait(&self, now: Time, print: CallFingerprint) -> Option<Span> {
        let until = *self.0.get(&print)?;
        (now < until).then(|| until.since(now))
    }

    /// How many calls get no target now.
    pub fn count(&self, now: Time) -> usize {
        self.0.values().filter(|until| **until > now).count()
    }
}

/// Calls under which targets have ended.
///
/// All nodes take the same words to the same table, in whatever order they come.
#[derive(Clone, Debug, Default)]
pub struct CrashTable {
    records: HashMap<CallFingerprint, Record>,
}

impl CrashTable {
    /// A run of a target has ended while it had a call.
    pub fn record_crash(&mut self, now: Time, print: CallFingerprint, run: IncarnationId) -> CrashKnowledge {
        self.add(now, print, &[End { run, at: now }])
    }

    /// Takes what another node tells.
    pub fn apply_update(&mut self, now: Time, update: &CrashUpdate) -> CrashKnowledge {
        let end = |(run, age): &(IncarnationId, u32)| End {
            run: *run,
            at: now - Span::from_millis(u64::from(*age)),
        };
        let ends: Vec<End> = update.crashes.iter().take(MOST_ENDS).map(end).collect();
        self.add(now, update.fingerprint, &ends)
    }

    /// What this node can tell of a call.
    pub fn update_of(&self, now: Time, print: CallFingerprint) -> Option<CrashUpdate> {
        let record = self.records.get(&print)?;
        let age = |at: Time| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
        let ends = record.ends.iter().map(|end| (end.run, age(end.at)));
        Some(CrashUpdate {
            fingerprint: print,
            crashes: ends.collect(),
        })
    }

    /// The calls that get no target now.
    pub fn blocked(&self, now: Time) -> BlockedCalls {
        let until = |(print, record): (&CallFingerprint, &Record)| Some((*print, record.refused_until()?));
        let refused = self.records.iter().filter_map(until);
        BlockedCalls(refused.filter(|(_, until)| *until > now).collect())
    }

    /// Whether targets are known to end under a call, also when it may go to one again: one more end then counts for more.
    pub fn is_confirmed(&self, now: Time, print: CallFingerprint) -> bool {
        let record = self.records.get(&print);
        record.is_some_and(|record| record.refused_until().is_some() && record.kept_until() > now)
    }

    /// How many calls are remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn add(&mut self, now: Time, print: CallFingerprint, ends: &[End]) -> CrashKnowledge {
        self.forget(now, print);
        let record = self.records.entry(print).or_default();
        let mut learnt = false;
        for end in ends {
            learnt |= record.add(*end);
        }
        match record.refused_until() {
            _ if !learnt => CrashKnowledge::Unchanged,
            Some(_) => CrashKnowledge::Confirmed,
            None => CrashKnowledge::Suspected,
        }
    }

    /// Makes room for a call that is not known yet: what is old goes, and if that is not enough, the call that says least.
    fn forget(&mut self, now: Time, print: CallFingerprint) {
        if self.records.len() < MOST_RECORDS || self.records.contains_key(&print) {
            return;
        }
        self.records.retain(|_, record| record.kept_until() > now);
        if self.records.len() < MOST_RECORDS {
            return;
        }
        let least = self.records.iter().min_by_key(|(_, record)| record.weight());
        if let Some(print) = least.map(|(print, _)| *print) {
            self.records.remove(&print);
        }
    }
}

impl Record {
    /// Adds an end; false when it is known.
    fn add(&mut self, end: End) -> bool {
        let known = |known: &End| {
            let apart = known.at.since(end.at).max(end.at.since(known.at));
            known.run == end.run && apart < SAME_END
        };
        if self.ends.iter().any(known) {
            return false;
        }
        let place = self.ends.partition_point(|known| known.at <= end.at);
        if place == 0 && self.ends.len() == MOST_ENDS {
            return false;
        }
        self.ends.insert(place, end);
        if self.ends.len() > MOST_ENDS {
            self.ends.remove(0);
        }
        true
    }

    fn last(&self) -> Time {
        self.ends.last().map_or(Time(0), |end| end.at)
    }

    /// The ends that count together: of two that lie too far apart the earlier one says nothing of the later.
    fn counted(&self) -> usize {
        let mut counted = 0;
        let mut last = Time(0);
        for end in &self.ends {
            let apart = end.at.since(last);
            counted = if apart < kept_after(counted) {
                counted + 1
            } else {
                1
            };
            last = end.at;
        }
        counted
    }

    fn refused_until(&self) -> Option<Time> {
        let more = self.counted().checked_sub(REFUSED_FROM)?;
        Some(self.last() + refusal_after(more))
    }

    /// Until when it is remembered.
    fn kept_until(&self) -> Time {
        self.last() + kept_after(self.counted())
    }

    /// What is given up last when there is no room.
    fn weight(&self) -> (usize, Time) {
        (self.counted(), self.last())
    }
}

/// How long `ends` ends count with the next one: as long as the call gets no target after that one.
fn kept_after(ends: usize) -> Span {
    let next = (ends + 1).checked_sub(REFUSED_FROM);
    next.map_or(KEPT, |more| refusal_after(more).max(KEPT))
}

/// How long a call gets no target that ended `more` targets than [`REFUSED_FROM`].
fn refusal_after(more: usize) -> Span {
    REFUSALS[more.min(REFUSALS.len() - 1)]
}
