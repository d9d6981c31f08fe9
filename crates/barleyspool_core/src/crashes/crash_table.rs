//! The calls during which targets crashed, and which of them are blocked.

use super::CallFingerprint;
use crate::{Span, Time, rendezvous};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Number of crashes from which on a call is blocked.
///
/// A target may crash during any call by chance, since up to 64 other calls are running there, and some
/// calls that are retried meet the next target that crashes. But each crash costs all the calls at that
/// target, its memory and seconds of its work, and a call that has failed twice has little time left. The
/// rules of the deployments allow three crashes.
const BLOCKED_FROM: usize = 2;
/// How long a call is blocked after [`BLOCKED_FROM`] crashes, and after each further one.
///
/// The times balance two errors. A call that was at two crashing targets by chance is told to retry after 5
/// s, and is then served; that is long compared to the second within which calls that crash targets are
/// sent again. A call that crashes every target and is sent again and again causes five crashes within a
/// quarter of an hour, and one a day after that: it must not be tried before the targets may have been
/// repaired, and the rules allow three crashes after the third.
const BLOCK_TIMES: [Span; 4] = [
    Span::from_secs(5),
    Span::from_secs(60),
    Span::from_secs(12 * 60),
    Span::from_secs(24 * 3600),
];
/// Maximum number of crashes recorded for a call, the latest ones: as many as the longest block needs.
const MAX_CRASHES: usize = BLOCKED_FROM + BLOCK_TIMES.len() - 1;
/// Minimum retention of a record after its last crash.
const MIN_RETENTION: Span = Span::from_secs(600);
/// Two reports of a crash of the same incarnation are about one crash if they are this close, which covers
/// network latency: an update carries the age of a crash when it is sent, and the receiver subtracts the age
/// from its own time, so the clocks of two nodes are never compared. A target restarts within seconds, at
/// times with the same [`IncarnationId`].
const SAME_CRASH: Span = Span::from_secs(1);
/// Maximum number of calls in the table, some 200 bytes each.
const MAX_RECORDS: usize = 4096;

/// A short hash that identifies one incarnation of a target.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct IncarnationId(pub u32);

impl IncarnationId {
    /// Returns the hash for incarnation `incarnation` of the target `id`.
    pub fn of(id: &str, incarnation: u64) -> Self {
        Self(rendezvous::order(rendezvous::text_key(id), incarnation) as u32)
    }
}

/// A crash of a target that was processing the call.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
struct Crash {
    incarnation: IncarnationId,
    at: Time,
}

/// The crashes of one call, in order of time.
#[derive(Clone, Debug, Default)]
struct Record {
    crashes: Vec<Crash>,
}

/// The crashes of one call as nodes pass them on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashUpdate {
    /// The fingerprint of the call.
    #[serde(rename = "print")]
    pub fingerprint: CallFingerprint,
    /// The incarnations of the targets that crashed, each with the age of the crash in milliseconds.
    #[serde(rename = "ends")]
    pub crashes: Vec<(IncarnationId, u32)>,
}

/// What a report about a call adds to what a node knows.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum CrashKnowledge {
    /// The report adds nothing.
    Unchanged,
    /// One target crashed during the call, which says little yet.
    Suspected,
    /// The call crashes targets, and all nodes have to know.
    Confirmed,
}

/// The blocked calls, and until when each is blocked.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BlockedCalls(HashMap<CallFingerprint, Time>);

impl BlockedCalls {
    /// The time for which a call stays blocked; `None` if it is not blocked.
    pub fn wait(&self, now: Time, fingerprint: CallFingerprint) -> Option<Span> {
        let until = *self.0.get(&fingerprint)?;
        (now < until).then(|| until.since(now))
    }

    /// The number of calls that are blocked now.
    pub fn count(&self, now: Time) -> usize {
        self.0.values().filter(|until| **until > now).count()
    }
}

/// Calls during which targets crashed.
///
/// All nodes arrive at the same table from the same reports, in any order.
#[derive(Clone, Debug, Default)]
pub struct CrashTable {
    records: HashMap<CallFingerprint, Record>,
}

impl CrashTable {
    /// Records the crash of a target that was processing the call.
    pub fn record_crash(
        &mut self,
        now: Time,
        fingerprint: CallFingerprint,
        incarnation: IncarnationId,
    ) -> CrashKnowledge {
        self.add(now, fingerprint, &[Crash { incarnation, at: now }])
    }

    /// Applies an update from another node.
    pub fn apply_update(&mut self, now: Time, update: &CrashUpdate) -> CrashKnowledge {
        let crash = |(incarnation, age): &(IncarnationId, u32)| Crash {
            incarnation: *incarnation,
            at: now - Span::from_millis(u64::from(*age)),
        };
        let crashes: Vec<Crash> = update.crashes.iter().take(MAX_CRASHES).map(crash).collect();
        self.add(now, update.fingerprint, &crashes)
    }

    /// The update to send to other nodes about a call.
    pub fn update_of(&self, now: Time, fingerprint: CallFingerprint) -> Option<CrashUpdate> {
        let record = self.records.get(&fingerprint)?;
        let age = |at: Time| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
        let crashes = record
            .crashes
            .iter()
            .map(|crash| (crash.incarnation, age(crash.at)));
        Some(CrashUpdate {
            fingerprint,
            crashes: crashes.collect(),
        })
    }

    /// The calls that are blocked now.
    pub fn blocked(&self, now: Time) -> BlockedCalls {
        let until = |(call, record): (&CallFingerprint, &Record)| Some((*call, record.blocked_until()?));
        let blocked = self.records.iter().filter_map(until);
        BlockedCalls(blocked.filter(|(_, until)| *until > now).collect())
    }

    /// Whether a call is known to crash targets, also while it is not blocked: one more crash then counts
    /// for more.
    pub fn is_confirmed(&self, now: Time, fingerprint: CallFingerprint) -> bool {
        let record = self.records.get(&fingerprint);
        record.is_some_and(|record| record.blocked_until().is_some() && record.retained_until() > now)
    }

    /// The number of calls in the table.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn add(&mut self, now: Time, fingerprint: CallFingerprint, crashes: &[Crash]) -> CrashKnowledge {
        self.evict(now, fingerprint);
        let record = self.records.entry(fingerprint).or_default();
        let mut is_new = false;
        for crash in crashes {
            is_new |= record.add(*crash);
        }
        match record.blocked_until() {
            _ if !is_new => CrashKnowledge::Unchanged,
            Some(_) => CrashKnowledge::Confirmed,
            None => CrashKnowledge::Suspected,
        }
    }

    /// Makes space for a call that is not in the table: expired records go first, and then the record of
    /// the fewest and oldest crashes.
    fn evict(&mut self, now: Time, fingerprint: CallFingerprint) {
        if self.records.len() < MAX_RECORDS || self.records.contains_key(&fingerprint) {
            return;
        }
        self.records.retain(|_, record| record.retained_until() > now);
        if self.records.len() < MAX_RECORDS {
            return;
        }
        let least = self.records.iter().min_by_key(|(_, record)| record.weight());
        if let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) {
            self.records.remove(&fingerprint);
        }
    }
}

impl Record {
    /// Adds a crash. Returns false if it is already recorded.
    fn add(&mut self, crash: Crash) -> bool {
        let known = |known: &Crash| {
            let apart = known.at.since(crash.at).max(crash.at.since(known.at));
            known.incarnation == crash.incarnation && apart < SAME_CRASH
        };
        if self.crashes.iter().any(known) {
            return false;
        }
        let place = self.crashes.partition_point(|known| known.at <= crash.at);
        if place == 0 && self.crashes.len() == MAX_CRASHES {
            return false;
        }
        self.crashes.insert(place, crash);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
        true
    }

    fn last(&self) -> Time {
        self.crashes.last().map_or(Time(0), |crash| crash.at)
    }

    /// Number of crashes that count together, up to the latest. The count starts again at 1 with a crash that
    /// follows the one before it by [`retention_after`] the crashes counted until then, or more.
    fn counted(&self) -> usize {
        let mut counted = 0;
        let mut last = Time(0);
        for crash in &self.crashes {
            let apart = crash.at.since(last);
            counted = if apart < retention_after(counted) {
                counted + 1
            } else {
                1
            };
            last = crash.at;
        }
        counted
    }

    fn blocked_until(&self) -> Option<Time> {
        let more = self.counted().checked_sub(BLOCKED_FROM)?;
        Some(self.last() + block_time(more))
    }

    /// Until when the record is retained.
    fn retained_until(&self) -> Time {
        self.last() + retention_after(self.counted())
    }

    /// Order of eviction; the lowest goes first.
    fn weight(&self) -> (usize, Time) {
        (self.counted(), self.last())
    }
}

/// How long after the last of `crashes` crashes the next one still counts together with them: as long as the
/// call would be blocked after that next crash, and at least [`MIN_RETENTION`].
fn retention_after(crashes: usize) -> Span {
    let next = (crashes + 1).checked_sub(BLOCKED_FROM);
    next.map_or(MIN_RETENTION, |more| block_time(more).max(MIN_RETENTION))
}

/// How long a call is blocked after `more` crashes beyond [`BLOCKED_FROM`].
fn block_time(more: usize) -> Span {
    BLOCK_TIMES[more.min(BLOCK_TIMES.len() - 1)]
}
