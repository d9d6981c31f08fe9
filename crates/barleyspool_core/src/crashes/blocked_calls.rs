//! What all nodes know of the suspects of crashes, as the traffic thread uses it.

use super::Suspect;
use crate::{Span, Time};
use std::collections::HashMap;

/// The evidence about a suspect that all nodes know.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub struct SuspectView {
    /// When the last target crashed.
    pub last_crash: Time,
    /// When a target last gave a call with the suspect a complete answer.
    pub answered_at: Option<Time>,
}

impl SuspectView {
    /// Whether an answer at `at` is evidence that other nodes do not have.
    pub fn is_news(&self, at: Time) -> bool {
        self.answered_at
            .is_none_or(|known| known <= self.last_crash && at > self.last_crash)
    }
}

/// The suspects that all nodes know, and until when calls with some of them are blocked.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BlockedCalls {
    until: HashMap<Suspect, Time>,
    suspects: HashMap<Suspect, SuspectView>,
}

impl BlockedCalls {
    pub(super) fn new(until: HashMap<Suspect, Time>, suspects: HashMap<Suspect, SuspectView>) -> Self {
        Self { until, suspects }
    }

    /// The time for which calls with a suspect stay blocked; `None` if they are not blocked.
    pub fn wait(&self, now: Time, suspect: Suspect) -> Option<Span> {
        let until = *self.until.get(&suspect)?;
        (now < until).then(|| until.since(now))
    }

    /// The evidence about a suspect, if all nodes know it.
    pub fn suspect(&self, suspect: Suspect) -> Option<SuspectView> {
        self.suspects.get(&suspect).copied()
    }

    /// The suspects that all nodes know.
    pub fn suspects(&self) -> impl Iterator<Item = (Suspect, SuspectView)> + '_ {
        self.suspects.iter().map(|(suspect, view)| (*suspect, *view))
    }

    /// The number of suspects that are blocked now.
    pub fn count(&self, now: Time) -> usize {
        self.until.values().filter(|until| **until > now).count()
    }
}
