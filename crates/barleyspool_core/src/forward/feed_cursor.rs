//! Where a node stands in a feed of the platform: what to ask next, and when.

use crate::{Revision, Span};

/// The first wait after an error.
const RETRY_FIRST: Span = Span::from_millis(60);
/// The longest. Each call is priced, also one that fails, and other nodes tell what the platform does not.
const RETRY_LONGEST: Span = Span::from_millis(1500);

/// How long the watch of a node that watches for a short time may wait (see [`super::source_role`]). With [`WATCH_MARGIN`]
/// and the time to read it is below the three seconds after which nodes are bound again by what the platform says.
const SHORT_WAIT: Span = Span::from_secs(2);
/// How long any other watch may wait; each one is a call, so few and long ones are cheap.
const LONG_WAIT: Span = Span::from_secs(20);
/// What a watch may take beyond its own time: an answer of a slow platform takes some 250 ms.
pub const WATCH_MARGIN: Span = Span::from_millis(500);

/// How long a watch may wait.
pub fn watch_timeout(short: bool) -> Span {
    if short { SHORT_WAIT } else { LONG_WAIT }
}

/// What to ask of a feed next.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum FeedStep {
    /// Read it whole.
    Read,
    /// Wait for changes after this revision.
    Watch(Revision),
}

/// Where a node stands in a feed.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub struct FeedCursor {
    since: Option<Revision>,
    /// Failures in a row.
    failures: u32,
}

impl FeedCursor {
    /// What to ask next.
    pub fn next_step(&self) -> FeedStep {
        match self.since {
            Some(since) => FeedStep::Watch(since),
            None => FeedStep::Read,
        }
    }

    /// An answer came; it stands at `at`. A revision never goes back: a source that does enters a later era.
    pub fn advance(&mut self, at: Revision) {
        self.failures = 0;
        self.since = Some(self.since.map_or(at, |since| since.max(at)));
    }

    /// Everything has to be read: the platform has forgotten what came after the revision asked for, or another node
    /// knows what a watch should have told.
    pub fn reset(&mut self) {
        self.since = None;
    }

    /// Goes on from what another node has told, if that stands at a revision that is known; otherwise everything has to be read. After a failure
    /// of this node's own too: what expired at the source meanwhile can only be seen by a whole read.
    pub fn resume(&mut self, held: Option<Revision>) {
        self.since = held.filter(|_| self.failures == 0);
    }

    /// The question failed; returns the longest wait before the next. A watch that broke may have missed
    /// changes that a new one does not tell, so everything is read again.
    pub fn record_failure(&mut self) -> Span {
        self.since = None;
        let doubled = Span(RETRY_FIRST.0 << self.failures.min(6));
        self.failures += 1;
        doubled.min(RETRY_LONGEST)
    }
}
