//! The suspects of crashes, and which of them are blocked.

use super::block_policy::BlockPolicy;
use super::crash_record::{Crash, CrashRecord};
use super::{BlockedCalls, Suspect, SuspectView};
use crate::{Span, Time, rendezvous};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::HashMap;

/// Maximum number of suspects in the table, some 500 bytes each.
const MAX_RECORDS: usize = 4096;
/// Maximum number of crashes of a suspect that a node passes on, the latest ones that count: enough for the longest block.
const MAX_SENT_CRASHES: usize = 6;

/// A short hash that identifies one incarnation of a target.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct IncarnationId(pub u32);

impl IncarnationId {
    /// Returns the hash for incarnation `incarnation` of the target `id`.
    pub fn of(id: &str, incarnation: u64) -> Self {
        Self(rendezvous::order(rendezvous::text_key(id), incarnation) as u32)
    }
}

/// A crash that this node has observed, as evidence against one suspect.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// The suspect.
    pub suspect: Suspect,
    /// The incarnation of the target that crashed.
    pub incarnation: IncarnationId,
    /// When the call with the suspect was sent.
    pub sent_at: Time,
    /// When a target last answered a call of this node with the suspect.
    pub answered_at: Option<Time>,
}

/// A crash as nodes pass it on.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashAge {
    /// The incarnation of the target that crashed.
    pub incarnation: IncarnationId,
    /// The age of the crash in milliseconds.
    pub age_ms: u32,
    /// How long before the crash the last call with the suspect was sent, in milliseconds.
    pub ran_ms: u32,
}

/// What a node knows of one suspect, as nodes pass it on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashUpdate {
    /// The suspect.
    pub suspect: Suspect,
    /// The crashes that count against it.
    #[serde(rename = "ends")]
    pub crashes: Vec<CrashAge>,
    /// The age of the last complete answer to a call with it, in milliseconds.
    pub answered_ms: Option<u32>,
    /// The largest number of answers that one node has reported.
    #[serde(default, skip_serializing_if = "is_at_most_one")]
    pub answers: u32,
}

/// What a report about a suspect adds to what a node knows.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum CrashKnowledge {
    /// The report adds nothing.
    Unchanged,
    /// Too few targets crashed to notify all nodes.
    Suspected,
    /// All nodes have to know the change: the suspect has more crashes, or has turned out to be harmless.
    Confirmed,
}

/// One answer is what a message without a number of answers reports.
#[allow(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
fn is_at_most_one(answers: &u32) -> bool {
    *answers <= 1
}

/// Suspects of crashes.
///
/// All nodes arrive at the same table from the same reports, in any order.
#[derive(Clone, Debug, Default)]
pub struct CrashTable {
    records: HashMap<Suspect, CrashRecord>,
    /// The key of this node, which sets how much longer than others it blocks parts of prompts.
    node: u64,
}

impl CrashUpdate {
    /// Whether it reports crashes, but too few of them for all nodes to know the suspect.
    pub fn is_single_report(&self) -> bool {
        let shared_from = BlockPolicy::of(self.suspect).shared_from;
        (1..shared_from).contains(&self.crashes.len())
    }
}

impl CrashTable {
    /// Creates the table of the node with this key.
    pub fn new(node: u64) -> Self {
        Self {
            node,
            ..Self::default()
        }
    }

    /// Records a crash that this node has observed.
    pub fn record_crash(&mut self, now: Time, report: CrashReport) -> CrashKnowledge {
        let crash = Crash {
            incarnation: report.incarnation,
            at: now,
            sent_at: report.sent_at,
        };
        self.add(now, report.suspect, &[crash], (report.answered_at, 1))
    }

    /// Records the last of `answers` complete answers that targets have given to calls of one node with a suspect. Suspects
    /// that are not in the table are ignored.
    pub fn record_answer(
        &mut self,
        now: Time,
        suspect: Suspect,
        answered_at: Time,
        answers: u32,
    ) -> CrashKnowledge {
        self.add(now, suspect, &[], (Some(answered_at), answers))
    }

    /// Applies an update from another node.
    pub fn apply_update(&mut self, now: Time, update: &CrashUpdate) -> CrashKnowledge {
        let before = |at: Time, ms: u32| at - Span::from_millis(u64::from(ms));
        let crash = |crash: &CrashAge| {
            let at = before(now, crash.age_ms);
            Crash {
                incarnation: crash.incarnation,
                at,
                sent_at: before(at, crash.ran_ms),
            }
        };
        let crashes: Vec<Crash> = update.crashes.iter().take(MAX_SENT_CRASHES).map(crash).collect();
        let record = self.records.get(&update.suspect);
        let answered_at = update.answered_ms.map(|ms| {
            let at = before(now, ms);
            record.map_or(at, |record| record.reported_answer(at))
        });
        self.add(
            now,
            update.suspect,
            &crashes,
            (answered_at, update.answers.max(1)),
        )
    }

    /// The update to send to other nodes about a suspect.
    pub fn update_of(&self, now: Time, suspect: Suspect) -> Option<CrashUpdate> {
        let record = self.records.get(&suspect)?;
        let millis = |span: Span| u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
        let counted = record.counted_crashes(BlockPolicy::of(suspect), &[]);
        let sent = counted.len().saturating_sub(MAX_SENT_CRASHES);
        let crashes = counted[sent..].iter().map(|crash| CrashAge {
            incarnation: crash.incarnation,
            age_ms: millis(now.since(crash.at)),
            ran_ms: millis(crash.at.since(crash.sent_at)),
        });
        Some(CrashUpdate {
            suspect,
            crashes: crashes.collect(),
            answered_ms: record.answered_at.map(|at| millis(now.since(at))),
            answers: record.answers,
        })
    }

    /// The suspects that are blocked now.
    ///
    /// A crash is explained by one suspect: the one with the most crashes, of several the one that was not answered before
    /// them, and then the narrowest. The crashes that it explains do not count against the others, which may only have run
    /// beside it.
    pub fn blocked(&self, now: Time) -> BlockedCalls {
        let mut ranked: Vec<(&Suspect, &CrashRecord, usize)> = Vec::new();
        let mut views = HashMap::new();
        for (suspect, record) in &self.records {
            let policy = BlockPolicy::of(*suspect);
            if record.is_shared(now, policy) {
                let view = SuspectView {
                    last_crash: record.last(),
                    news_from: record.news_from(policy),
                    answers: record.answers,
                    may_try: record.may_try(policy),
                };
                views.insert(*suspect, view);
                ranked.push((suspect, record, record.count(policy)));
            }
        }
        ranked.sort_by_key(|(suspect, record, count)| {
            (Reverse(*count), record.answered_at.is_some(), **suspect)
        });
        let mut explained: Vec<Crash> = Vec::new();
        let mut until = HashMap::new();
        for (suspect, record, _) in ranked {
            let policy = BlockPolicy::of(*suspect);
            let counted = record.counted_crashes(policy, &explained);
            let block_time = policy.block_time(record.evidence(&counted));
            let (Some(block_time), Some(last)) = (block_time, counted.last()) else {
                continue;
            };
            let jitter = policy.jitter * rendezvous::uniform(u128::from(suspect.key()), self.node);
            let end = last.at + block_time + block_time.scale(jitter);
            if end > now {
                until.insert(*suspect, end);
            }
            explained.extend(counted);
        }
        BlockedCalls::new(until, views)
    }

    /// Whether all nodes have to know a suspect, also while it is not blocked: one more crash then counts for more.
    pub fn is_confirmed(&self, now: Time, suspect: Suspect) -> bool {
        let record = self.records.get(&suspect);
        record.is_some_and(|record| record.is_shared(now, BlockPolicy::of(suspect)))
    }

    /// The number of suspects in the table.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn add(
        &mut self,
        now: Time,
        suspect: Suspect,
        crashes: &[Crash],
        (answered_at, answers): (Option<Time>, u32),
    ) -> CrashKnowledge {
        if crashes.is_empty() && !self.records.contains_key(&suspect) {
            return CrashKnowledge::Unchanged;
        }
        self.evict(now, suspect);
        let policy = BlockPolicy::of(suspect);
        let record = self.records.entry(suspect).or_default();
        let before = record.count(policy);
        let was_answered = record.answered_at.is_some();
        let had_many_answers = record.has_many_answers();
        let mut is_new = false;
        for crash in crashes {
            is_new |= record.add(policy, *crash);
        }
        if let Some(at) = answered_at {
            record.add_answers(at, answers);
        }
        record.note_shared(now, policy);
        let after = record.count(policy);
        let is_changed = after != before || (is_new && after >= policy.shared_from);
        let is_shared = before.max(after) >= policy.shared_from;
        // The first answer makes a suspect less suspicious than others, also when it came before the crashes.
        let is_first_answer = !was_answered && record.answered_at.is_some();
        let is_trusted = !had_many_answers && record.has_many_answers();
        match is_shared && (is_changed || is_first_answer || is_trusted) {
            true => CrashKnowledge::Confirmed,
            false if is_new => CrashKnowledge::Suspected,
            false => CrashKnowledge::Unchanged,
        }
    }

    /// Makes space for a suspect that is not in the table: expired records go first, and then the record of
    /// the fewest and oldest crashes.
    fn evict(&mut self, now: Time, suspect: Suspect) {
        if self.records.len() < MAX_RECORDS || self.records.contains_key(&suspect) {
            return;
        }
        self.records
            .retain(|suspect, record| record.retained_until(BlockPolicy::of(*suspect)) > now);
        if self.records.len() < MAX_RECORDS {
            return;
        }
        let weight = |(suspect, record): &(&Suspect, &CrashRecord)| {
            (record.count(BlockPolicy::of(**suspect)), record.last())
        };
        let least = self.records.iter().min_by_key(weight);
        if let Some(suspect) = least.map(|(suspect, _)| *suspect) {
            self.records.remove(&suspect);
        }
    }
}
