//! Calls that targets have answered lately, which therefore do not crash targets.

use super::CallFingerprint;
use crate::{Span, Time};
use std::collections::HashSet;

/// Time for which an answered call is remembered at least, unless more than [`MAX_CALLS`] calls are answered
/// within it.
const RETENTION: Span = Span::from_secs(60);
/// Maximum number of calls in each of the two sets, 8 bytes each: 68 calls a second at one node, four times
/// its share of 6,600 calls a second in front of 410 nodes. Above that rate the oldest calls are dropped
/// earlier.
const MAX_CALLS: usize = 4096;

/// Calls that targets have answered lately, by fingerprint.
///
/// Where many callers send the same call, some of these calls are running at any target that crashes. The
/// answers to the others distinguish them from a call that crashes targets.
#[derive(Clone, Debug, Default)]
pub struct AnsweredCalls {
    newer: HashSet<CallFingerprint>,
    older: HashSet<CallFingerprint>,
    rotated_at: Time,
}

impl AnsweredCalls {
    /// Records that a target gave a call a complete answer, successful or not.
    pub fn insert(&mut self, now: Time, fingerprint: CallFingerprint) {
        self.rotate(now);
        self.newer.insert(fingerprint);
    }

    /// Whether the call was answered lately.
    pub fn contains(&mut self, now: Time, fingerprint: CallFingerprint) -> bool {
        self.rotate(now);
        self.newer.contains(&fingerprint) || self.older.contains(&fingerprint)
    }

    fn rotate(&mut self, now: Time) {
        let old = now.since(self.rotated_at) >= RETENTION;
        if old || self.newer.len() >= MAX_CALLS {
            let stale = now.since(self.rotated_at) >= RETENTION + RETENTION;
            self.older = std::mem::take(&mut self.newer);
            if stale {
                self.older.clear();
            }
            self.rotated_at = now;
        }
    }
}
