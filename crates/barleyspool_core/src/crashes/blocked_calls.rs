//! What all nodes know of the suspects of crashes, as the traffic thread uses it.

use super::Suspect;
use crate::{Span, Time};
use std::collections::{HashMap, HashSet};

/// Number of answers to a call at one node from which on the call is tried while it is blocked: a call that crashes every
/// target has none, and a single one may be due to a target that differs from the others.
pub(super) const MANY_ANSWERS: u32 = 3;

/// The evidence about a suspect that all nodes know.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub struct SuspectView {
    /// When the last target crashed.
    pub last_crash: Time,
    /// From when on an answer changes what counts against the suspect; `None` if no answer does.
    pub news_from: Option<Time>,
    /// The largest number of answers that one node has reported.
    pub answers: u32,
    /// Whether it may be tried while it is blocked.
    pub may_try: bool,
}

impl SuspectView {
    /// Whether an answer at `at` is evidence that other nodes do not have: also one between two crashes, after which only the
    /// later of them counts.
    pub fn is_news(&self, at: Time) -> bool {
        self.news_from.is_some_and(|from| at >= from)
    }

    /// Whether this number of answers at one node is evidence that other nodes do not have.
    pub fn is_new_count(&self, answers: u32) -> bool {
        self.answers < MANY_ANSWERS && answers >= MANY_ANSWERS
    }
}

/// The suspects that all nodes know, and until when calls with some of them are blocked.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BlockedCalls {
    until: HashMap<Suspect, Time>,
    suspects: HashMap<Suspect, SuspectView>,
    tried_here: HashSet<Suspect>,
}

impl BlockedCalls {
    pub(super) fn new(until: HashMap<Suspect, Time>, suspects: HashMap<Suspect, SuspectView>) -> Self {
        Self {
            until,
            suspects,
            tried_here: HashSet::new(),
        }
    }

    /// The time for which calls with a suspect stay blocked; `None` if they are not blocked.
    pub fn wait(&self, now: Time, suspect: Suspect) -> Option<Span> {
        let until = *self.until.get(&suspect)?;
        (now < until).then(|| until.since(now))
    }

    /// Sets which of the blocked suspects that may be tried this node tries.
    pub(crate) fn set_tried_here(&mut self, is_chosen: impl Fn(Suspect) -> bool) {
        let blocked = self.until.keys().copied();
        let may_try = |suspect: &Suspect| self.suspects.get(suspect).is_some_and(|view| view.may_try);
        self.tried_here = blocked
            .filter(|suspect| may_try(suspect) && is_chosen(*suspect))
            .collect();
    }

    /// Whether this node, and no other, may try calls with a blocked suspect.
    pub fn is_tried_here(&self, suspect: Suspect) -> bool {
        self.tried_here.contains(&suspect)
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
