//! Calls that targets have answered lately, which therefore do not crash targets.

use super::Suspect;
use crate::{Span, Time};
use std::collections::HashMap;

/// Time for which an answered call is remembered at least, unless more than [`MAX_SUSPECTS`] are answered within it.
const RETENTION: Span = Span::from_secs(60);
/// Maximum number of calls and parts of prompts in each of the two maps, some 40 bytes each: 68 calls a second at one node,
/// each with three new parts, which is four times its share of 6,600 calls a second in front of 410 nodes. Above that rate
/// the oldest ones are dropped earlier.
const MAX_SUSPECTS: usize = 16_384;

/// The answers to calls with one suspect.
#[derive(Copy, Clone, Debug, Default)]
struct Answers {
    last: Time,
    count: u32,
}

/// Calls and parts of prompts that targets have answered lately, with the time of the last answer and their number.
///
/// Where many callers send the same call, or prompts with the same part, some of these calls are running at any target that
/// crashes. The answers to the others distinguish them from what crashes targets.
#[derive(Clone, Debug, Default)]
pub struct AnsweredCalls {
    newer: HashMap<Suspect, Answers>,
    older: HashMap<Suspect, Answers>,
    rotated_at: Time,
}

impl AnsweredCalls {
    /// Records that a target has given a call a complete answer and has not crashed.
    pub fn insert(&mut self, now: Time, suspect: Suspect) {
        self.rotate(now);
        let count = self.answers(suspect).count.saturating_add(1);
        self.newer.insert(suspect, Answers { last: now, count });
    }

    /// When a call with the suspect was last answered; `None` if it was not lately.
    pub fn answered_at(&mut self, now: Time, suspect: Suspect) -> Option<Time> {
        self.rotate(now);
        let answers = self.answers(suspect);
        (answers.count > 0).then_some(answers.last)
    }

    /// How many calls with the suspect were answered lately.
    pub fn count(&mut self, now: Time, suspect: Suspect) -> u32 {
        self.rotate(now);
        self.answers(suspect).count
    }

    fn answers(&self, suspect: Suspect) -> Answers {
        let answers = self.newer.get(&suspect).or_else(|| self.older.get(&suspect));
        answers.copied().unwrap_or_default()
    }

    fn rotate(&mut self, now: Time) {
        let old = now.since(self.rotated_at) >= RETENTION;
        if old || self.newer.len() >= MAX_SUSPECTS {
            let stale = now.since(self.rotated_at) >= RETENTION + RETENTION;
            self.older = std::mem::take(&mut self.newer);
            if stale {
                self.older.clear();
            }
            self.rotated_at = now;
        }
    }
}
