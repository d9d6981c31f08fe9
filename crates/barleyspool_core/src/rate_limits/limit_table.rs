//! The limits that targets have named.

use super::LimitReport;
use crate::{RunMark, Span, Time};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Targets whose word is remembered, some 40 bytes each: more than there are targets.
const MOST_REPORTS: usize = 4096;
/// How long it is remembered that a limit is over, so that older words of it, which other nodes still pass on, change nothing.
const OVER_KEPT: Span = Span::from_secs(60);
/// How long a limit is remembered that no answer has repeated. Whoever sends to the target hears it again.
const LIMIT_KEPT: Span = Span::from_secs(600);
/// Words of two nodes that lie this close came at the same time: their ages include the ways between nodes. Then the limit counts.
const SAME_TIME: Span = Span::from_millis(100);
/// How old a word may become before it is told again although nothing has changed.
const REFRESH: Span = Span::from_secs(2);
/// The least rate that is reckoned with, in calls a second. Only an answer can say that a limit is over, so that a target which
/// takes nothing at all still gets a call now and then; one each five seconds is a fifth of what such a target may be sent.
const LEAST_RATE: f64 = 0.2;

/// What a target said last.
#[derive(Copy, Clone, Debug, PartialEq)]
struct Word {
    /// The calls a second that it takes; `None` when a limit is over.
    per_s: Option<f64>,
    at: Time,
    /// When others were last told.
    told: Time,
}

/// What one node tells another of a target's limit.
#[derive(Copy, Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LimitUpdate {
    /// The run of the target.
    pub run: RunMark,
    /// The calls a second that it takes from all nodes; `None` when a limit is over.
    pub per_s: Option<f64>,
    /// How long ago it said so, in milliseconds.
    pub age: u32,
}

/// The limits that targets have named, as far as this node has heard.
///
/// All nodes take the same words, in whatever order they come; the youngest counts.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    words: HashMap<RunMark, Word>,
}

impl LimitTable {
    /// Takes what the answer to a call said that was sent at `sent`. Returns whether others are to be told.
    ///
    /// An answer without a limit ends one only when its call was sent after the limit was heard of: others were on their way already when the
    /// target named it.
    pub fn heard(&mut self, now: Time, sent: Time, run: RunMark, word: LimitReport) -> bool {
        let known = self.words.get(&run);
        let per_s = match word {
            LimitReport::PerSecond(per_s) => Some(per_s),
            LimitReport::None if known.is_some_and(|known| known.per_s.is_some() && sent >= known.at) => None,
            LimitReport::None | LimitReport::Unreadable => return false,
        };
        let is_new = known.is_none_or(|known| known.per_s != per_s || now.since(known.told) > REFRESH);
        let told = if is_new {
            now
        } else {
            known.map_or(now, |known| known.told)
        };
        self.insert(now, run, Word { per_s, at: now, told });
        is_new
    }

    /// Takes the update of another node. Returns whether it is new, so that others are to be notified.
    pub fn take(&mut self, now: Time, update: &LimitUpdate) -> bool {
        let per_s = match update.per_s.map(LimitReport::of) {
            Some(LimitReport::PerSecond(per_s)) => Some(per_s),
            None => None,
            Some(_) => return false,
        };
        let word = Word {
            per_s,
            at: now - Span::from_millis(u64::from(update.age)),
            told: now,
        };
        self.take_report(now, update.run, word)
    }

    /// Takes what another table of this node has heard. Returns the targets of which that changes what is known.
    pub fn merge(&mut self, now: Time, other: &Self) -> Vec<RunMark> {
        let words = other.words.iter();
        let changed = words.filter(|(run, word)| self.take_report(now, **run, **word));
        changed.map(|(run, _)| *run).collect()
    }

    fn take_report(&mut self, now: Time, run: RunMark, word: Word) -> bool {
        let Some(known) = self.words.get(&run).copied() else {
            self.insert(now, run, word);
            return true;
        };
        let newer = if word.per_s.is_some() && known.per_s.is_none() {
            word.at + SAME_TIME > known.at
        } else {
            word.at > known.at
        };
        if !newer {
            return false;
        }
        let changed = word.per_s != known.per_s;
        let told = if changed { word.told } else { known.told };
        self.insert(now, run, Word { told, ..word });
        changed
    }

    /// The calls a second that a run of a target takes from all nodes; `None` when it names no limit.
    pub fn per_s(&self, run: RunMark) -> Option<f64> {
        let named = self.words.get(&run)?.per_s?;
        Some(named.max(LEAST_RATE))
    }

    /// What a run of a target named itself.
    pub fn named(&self, run: RunMark) -> Option<f64> {
        self.words.get(&run)?.per_s
    }

    /// What this node can tell of a run of a target.
    pub fn update_of(&self, now: Time, run: RunMark) -> Option<LimitUpdate> {
        let word = self.words.get(&run)?;
        Some(LimitUpdate {
            run,
            per_s: word.per_s,
            age: u32::try_from(now.since(word.at).as_millis()).unwrap_or(u32::MAX),
        })
    }

    /// How many targets name a limit.
    pub fn limited(&self) -> usize {
        self.words.values().filter(|word| word.per_s.is_some()).count()
    }

    /// Whether nothing is known of any.
    pub fn is_empty(&self) -> bool {
        self.words.is_empty()
    }

    /// Forgets words that are too old to matter.
    pub fn forget(&mut self, now: Time) {
        let kept = |word: &Word| {
            if word.per_s.is_some() {
                LIMIT_KEPT
            } else {
                OVER_KEPT
            }
        };
        self.words.retain(|_, word| now.since(word.at) < kept(word));
    }

    fn insert(&mut self, now: Time, run: RunMark, word: Word) {
        if self.words.len() >= MOST_REPORTS && !self.words.contains_key(&run) {
            self.forget(now);
            let oldest = self.words.iter().min_by_key(|(_, word)| word.at);
            if let Some(oldest) = oldest.map(|(run, _)| *run)
                && self.words.len() >= MOST_REPORTS
            {
                self.words.remove(&oldest);
            }
        }
        self.words.insert(run, word);
    }
}
