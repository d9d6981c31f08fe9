//! The position of a node in a feed of the platform: what to request next, and when to retry.

use crate::{Revision, Span};

/// Maximum delay before the first retry after an error; the smallest of the maximum delays that
/// [`FeedCursor::record_failure`] returns. Each further failure doubles it, up to [`MAX_RETRY_DELAY`]. No
/// random delay is drawn here: the caller chooses a delay up to this maximum.
const MIN_RETRY_DELAY: Span = Span::from_millis(60);
/// Limit of the exponential backoff. The platform charges for each call, including failed ones, and updates
/// also arrive from other nodes meanwhile.
const MAX_RETRY_DELAY: Span = Span::from_millis(1500);

/// Timeout of a short watch (see [`super::source_role`]). Together with [`WATCH_MARGIN`] and the time to read
/// the feed it stays below the two seconds within which a change must be in force, also where the watches of all
/// readers were lost.
const SHORT_WATCH_TIMEOUT: Span = Span::from_secs(1);
/// Timeout of any other watch. The platform charges per call, so few long watches are cheaper.
const LONG_WATCH_TIMEOUT: Span = Span::from_secs(20);
/// Time allowed for the response after the timeout of a watch: a slow platform takes about 250 ms to respond.
pub const WATCH_MARGIN: Span = Span::from_millis(400);

/// How long the platform may hold a watch before it responds without changes.
pub fn watch_timeout(short: bool) -> Span {
    if short {
        SHORT_WATCH_TIMEOUT
    } else {
        LONG_WATCH_TIMEOUT
    }
}

/// The next request for a feed.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum FeedStep {
    /// Read the whole feed.
    Read,
    /// Wait for changes after this revision.
    Watch(Revision),
}

/// The position of a node in a feed.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub struct FeedCursor {
    /// Revision up to which changes are known; `None` when the whole feed has to be read.
    since: Option<Revision>,
    /// Number of consecutive failures.
    failures: u32,
    /// Number of consecutive reads whose watch found the history gone.
    resets: u32,
}

impl FeedCursor {
    /// The next request to make.
    pub fn next_step(&self) -> FeedStep {
        match self.since {
            Some(since) => FeedStep::Watch(since),
            None => FeedStep::Read,
        }
    }

    /// Records a successful response as of revision `at`. The position never moves backwards: a source whose
    /// revisions restart enters a later era.
    pub fn advance(&mut self, at: Revision) {
        self.failures = 0;
        if self.since.is_some() {
            self.resets = 0;
        }
        self.since = Some(self.since.map_or(at, |since| since.max(at)));
    }

    /// Makes the next request read the whole feed, since the platform no longer keeps the changes after the
    /// requested revision or was restored, and returns the maximum delay before it. The first read follows at
    /// once; a platform that keeps no history must not be read in a loop without a pause.
    pub fn reset(&mut self) -> Span {
        self.since = None;
        self.resets += 1;
        match self.resets {
            1 => Span::ZERO,
            resets => retry_delay(resets - 2),
        }
    }

    /// Continues from the revision of data received from another node. The whole feed is read instead if that
    /// revision is unknown, or if this node's last request failed: entries that expired at the source
    /// meanwhile are only noticed by a whole read.
    pub fn resume(&mut self, held: Option<Revision>) {
        self.since = held.filter(|_| self.failures == 0);
    }

    /// Records a failed request and returns the maximum delay before the next. A broken watch may have missed
    /// changes that a new watch does not deliver, so the whole feed is read again.
    pub fn record_failure(&mut self) -> Span {
        self.since = None;
        self.failures += 1;
        retry_delay(self.failures - 1)
    }
}

/// The maximum delay before a retry after this number of earlier ones.
fn retry_delay(earlier: u32) -> Span {
    Span(MIN_RETRY_DELAY.0 << earlier.min(6)).min(MAX_RETRY_DELAY)
}
