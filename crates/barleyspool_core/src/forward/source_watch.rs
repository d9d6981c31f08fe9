//! Decides when a node reads the source (the platform) itself and when it requests updates from another node.
//!
//! The readers of a zone notify all its nodes of the revisions that they have read, at each change and
//! periodically in between. A node that is behind requests the difference from one that is ahead. A node that
//! receives no notification for a while reads the source itself, whatever the cause.

use super::SourceRole;
use crate::{Revision, SourceState, Span, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Interval between announcements of a reader without changes. With 103 nodes in a zone and about 70 bytes
/// each, including headers, they take a calculated 12 KB/s, just below the 13 KB/s that a node may spend on
/// control traffic (docs/CAPACITY.md).
pub const ANNOUNCE_INTERVAL: Span = Span::from_millis(600);
/// A node that has received no announcement for this long reads the source itself. Two announcements may be
/// lost, and together with [`READER_TIMEOUT_JITTER`] and the time to read it stays below the three seconds
/// within which a change must reach all nodes.
const READER_TIMEOUT: Span = Span::from_millis(1500);
/// Maximum random addition to [`READER_TIMEOUT`], so that of the nodes that lose their readers together a few
/// read first and notify the others.
const READER_TIMEOUT_JITTER: Span = Span::from_millis(800);
/// How long a node that watches the source waits for its own watch to deliver what another node already has:
/// a slow source takes about 250 ms to respond.
const OWN_WATCH_GRACE: Span = Span::from_millis(300);
/// How long a node asks others for newer data before it reads the source itself, although announcements of readers still
/// arrive: four requests without an answer.
const BEHIND_TIMEOUT: Span = Span::from_millis(600);
/// Total rate at which all nodes that are behind start to read the source themselves, whatever their number. The
/// first of them have the data within milliseconds, and announce it to their zones.
const BEHIND_READS_PER_S: f64 = 200.0;
/// Total rate at which all nodes that are not readers retry a source that does not respond, whatever their
/// number. Readers retry more often and notify them when it responds again. With exponential backoff on each
/// node, 410 nodes that had just started made 584 calls in five seconds.
const NON_READER_RETRIES_PER_S: f64 = 10.0;

/// The revisions of the source data that a node holds.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub struct HeldRevisions {
    /// Version of its configuration.
    pub version: Revision,
    /// Revision up to which its target list is current, which may be later than the last change of the list.
    pub list: Revision,
    /// Revision up to which its set of evacuated zones is current.
    pub evacuations: Revision,
}

impl HeldRevisions {
    /// Whether a node that reported `state` has newer data.
    pub fn is_behind(&self, state: SourceState) -> bool {
        self.lacks_configuration(state) || self.lacks_targets(state)
    }

    /// Whether a node that reported `state` has a newer configuration or newer evacuated zones.
    pub fn lacks_configuration(&self, state: SourceState) -> bool {
        state.version > self.version || state.evacuations > self.evacuations
    }

    /// Whether a node that reported `state` has a newer list of targets.
    pub fn lacks_targets(&self, state: SourceState) -> bool {
        state.list > self.list
    }
}

/// Tracks the role of this node and the announcements of others, to decide where it gets source data from.
///
/// It is not a watch in the sense of [`super::FeedStep::Watch`], which is a request that the source holds
/// until there are changes or the watch times out.
#[derive(Debug)]
pub struct SourceWatch {
    role: SourceRole,
    node_count: usize,
    /// When it reads the source itself if no announcement arrives before.
    fallback_at: Time,
    /// When it announces its state next although nothing has changed.
    announce_at: Time,
    /// Newer state of other nodes, and when this node first learned of it.
    newer: Option<(Time, SourceState)>,
    /// When it reads the source itself if it is still behind; meaningless while it is not.
    behind_read_at: Time,
    random: SmallRng,
}

impl SourceWatch {
    /// The state of a node that starts at `now` and knows no other nodes.
    pub fn new(now: Time, seed: u64) -> Self {
        let mut watch = Self {
            role: SourceRole {
                reads: true,
                short_watch: true,
            },
            node_count: 1,
            fallback_at: now,
            announce_at: now,
            newer: None,
            behind_read_at: now,
            random: SmallRng::seed_from_u64(seed),
        };
        watch.record_reader_answer(now);
        watch
    }

    /// Sets the role that follows from the members, and the number of nodes. Returns whether the role has
    /// changed.
    pub fn set_role(&mut self, role: SourceRole, node_count: usize) -> bool {
        self.node_count = node_count;
        std::mem::replace(&mut self.role, role) != role
    }

    /// Whether this node uses a short watch timeout.
    pub fn uses_short_watch(&self) -> bool {
        self.role.short_watch
    }

    /// Whether this node is one of the readers of its zone.
    pub fn is_reader(&self) -> bool {
        self.role.reads
    }

    /// Whether this node reads the source itself at `now`: as a reader of its zone, or as a fallback because
    /// no announcement has arrived in time.
    pub fn reads(&self, now: Time) -> bool {
        self.role.reads || now >= self.fallback_at
    }

    /// Time since this node learned that another node has newer data.
    pub fn behind_for(&self, now: Time) -> Span {
        self.newer.map_or(Span::ZERO, |(since, _)| now.since(since))
    }

    /// When a node that does not read the source should check again whether it must.
    pub fn next_check(&self) -> Time {
        self.fallback_at
    }

    /// Records an announcement of a node to which the source responds, or a response of the source to this
    /// node. Either postpones the time from which this node reads the source as a fallback.
    pub fn record_reader_answer(&mut self, now: Time) {
        let jitter = self.random.random_range(0..READER_TIMEOUT_JITTER.0);
        self.fallback_at = now + READER_TIMEOUT + Span(jitter);
    }

    /// Maximum delay before the next retry of a source that does not respond, where a reader would wait
    /// `wait`.
    pub fn retry_delay(&self, wait: Span) -> Span {
        if self.role.reads {
            return wait;
        }
        wait.max(Span(
            (self.node_count as f64 / NON_READER_RETRIES_PER_S * 1e6) as u64,
        ))
    }

    /// Whether a reader has to announce its state because the announcement interval is over. If so, the next
    /// interval starts.
    pub fn announcement_due(&mut self, now: Time) -> bool {
        if !self.role.reads || now < self.announce_at {
            return false;
        }
        self.record_announcement(now);
        true
    }

    /// Records that this node has announced its state.
    pub fn record_announcement(&mut self, now: Time) {
        self.announce_at = now + ANNOUNCE_INTERVAL;
    }

    /// Handles the state reported by another node.
    pub fn handle_report(&mut self, now: Time, state: SourceState, held: HeldRevisions) {
        self.forget_if_current(held);
        if !held.is_behind(state) {
            return;
        }
        if self.newer.is_none() {
            let position = self.random.random_range(0.0..1.0);
            self.behind_read_at = now + BEHIND_TIMEOUT + self.behind_spread().scale(position);
        }
        let (since, before) = self.newer.unwrap_or((now, state));
        self.newer = Some((since, before.merge(state)));
    }

    /// Forgets the newer state of other nodes once this node has it.
    fn forget_if_current(&mut self, held: HeldRevisions) {
        self.newer = self.newer.filter(|(_, newer)| held.is_behind(*newer));
    }

    /// The newer state of other nodes, if this node has been behind for so long that it reads the source itself. It has
    /// then asked several nodes that have the newer state, and none of them answered. Until it has caught up, further
    /// reads follow.
    pub fn take_overdue(&mut self, now: Time) -> Option<SourceState> {
        let (_, newer) = self.newer?;
        if now < self.behind_read_at {
            return None;
        }
        self.behind_read_at = now + BEHIND_TIMEOUT + self.behind_spread();
        Some(newer)
    }

    /// The time over which the reads of all nodes that are behind are spread, so that their rate at the source does not
    /// grow with the number of nodes.
    fn behind_spread(&self) -> Span {
        Span((self.node_count as f64 / BEHIND_READS_PER_S * 1e6) as u64)
    }

    /// Whether this node should request newer data from another node. A node that watches the source itself
    /// first gives its own watch time to deliver it.
    pub fn should_ask(&mut self, now: Time, held: HeldRevisions, failing: bool) -> bool {
        self.forget_if_current(held);
        let Some((since, _)) = self.newer else {
            return false;
        };
        // A node without a target list does not wait for its own read to complete.
        let watches = self.reads(now) && !failing && held.list != Revision(0);
        !watches || now.since(since) >= OWN_WATCH_GRACE
    }
}
