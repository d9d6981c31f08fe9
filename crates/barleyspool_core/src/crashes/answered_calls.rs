//! Calls that targets have lately answered: such a call does not end them.

use super::CallFingerprint;
use crate::{Span, Time};
use std::collections::HashSet;

/// How long it is remembered that a call was answered, at the least.
const KEPT: Span = Span::from_secs(60);
/// Calls that are remembered of each such time, 8 bytes each: 68 calls a second at one node, four times its share of 6,600
/// calls a second before 410 nodes. After that the oldest go earlier.
const MOST: usize = 4096;

/// Calls that targets have lately answered, by their prints.
///
/// Where many callers ask for the same, some are at any target that ends. They may be told apart from a call that ends
/// targets by the answers that the others get.
#[derive(Clone, Debug, Default)]
pub struct AnsweredCalls {
    newer: HashSet<CallFingerprint>,
    older: HashSet<CallFingerprint>,
    turned: Time,
}

impl AnsweredCalls {
    /// A target gave a call a whole answer, good or bad.
    pub fn insert(&mut self, now: Time, print: CallFingerprint) {
        self.turn(now);
        self.newer.insert(print);
    }

    /// Whether a call was answered lately.
    pub fn contains(&mut self, now: Time, print: CallFingerprint) -> bool {
        self.turn(now);
        self.newer.contains(&print) || self.older.contains(&print)
    }

    fn turn(&mut self, now: Time) {
        let old = now.since(self.turned) >= KEPT;
        if old || self.newer.len() >= MOST {
            let stale = now.since(self.turned) >= KEPT + KEPT;
            self.older = std::mem::take(&mut self.newer);
            if stale {
                self.older.clear();
            }
            self.turned = now;
        }
    }
}
