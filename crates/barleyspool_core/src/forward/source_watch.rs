//! Whether a node reads the source itself, and when it asks another node instead.
//!
//! Readers of a zone tell all its nodes how far they have read, at each change and now and then in between. Whoever is behind
//! asks one that is further for the difference. A node that hears nothing of that kind for a while does not
//! wait to find out why: it reads the source itself.

use super::SourceRole;
use crate::{Revision, SourceState, Span, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The time between two announcements of a reader to which nothing is new. At 103 nodes in a zone some 70 bytes each, headers
/// included, are 12 KB a second as reckoned, just below the 13 that a node may spend on control (docs/CAPACITY.md).
pub const ANNOUNCE_EVERY: Span = Span::from_millis(600);
/// A node that heard no reader for this long reads for itself: two announcements may be lost, and with
/// [`SILENCE_SPREAD`] and the time to read it is below the three seconds within which a change has to be known everywhere.
const SILENCE: Span = Span::from_millis(1500);
/// What is added at random, so that of the nodes whose readers are gone together a few read and tell the rest.
const SILENCE_SPREAD: Span = Span::from_millis(800);
/// How long a node that watches the source waits for its own watch to tell what another has: an answer of a slow source
/// takes some 250 ms.
const OWN_WATCH: Span = Span::from_millis(400);
/// Nodes that are no readers try a source that does not answer so often all together, whatever their number: readers
/// try more often, and tell them when it answers again. With waits that grew from a short one, 410 nodes that had just started
/// made 584 calls in five seconds.
const TRIES_PER_S: f64 = 10.0;

/// What a node has of the source.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub struct HeldRevisions {
    /// The version of its configuration.
    pub version: Revision,
    /// The revision at which its list of targets stands; not that of the list's last change.
    pub list: Revision,
    /// The revision up to which it knows which zones are evacuated.
    pub evacuations: Revision,
}

impl HeldRevisions {
    /// Whether a node that told `told` has something newer.
    pub fn is_behind(&self, state: SourceState) -> bool {
        state.version > self.version || state.list > self.list || state.evacuations > self.evacuations
    }
}

/// Whether a node reads the source itself, and when it asks another node instead.
#[derive(Debug)]
pub struct SourceWatch {
    role: SourceRole,
    nodes: usize,
    /// When it reads for itself because it heard no reader.
    fallback_at: Time,
    /// When it tells others next although nothing is new.
    announce_at: Time,
    /// Something newer that another node has, and since when that is known.
    ahead: Option<(Time, SourceState)>,
    random: SmallRng,
}

impl SourceWatch {
    /// A node that starts at `now` and knows nobody.
    pub fn new(now: Time, seed: u64) -> Self {
        let mut watch = Self {
            role: SourceRole {
                reads: true,
                short_watch: true,
            },
            nodes: 1,
            fallback_at: now,
            announce_at: now,
            ahead: None,
            random: SmallRng::seed_from_u64(seed),
        };
        watch.record_reader_answer(now);
        watch
    }

    /// Takes the role that follows from the members, and how many there are. Returns whether the role is another one.
    pub fn set_role(&mut self, role: SourceRole, nodes: usize) -> bool {
        self.nodes = nodes;
        std::mem::replace(&mut self.role, role) != role
    }

    /// Whether this node watches the feeds for a short time only.
    pub fn uses_short_watch(&self) -> bool {
        self.role.short_watch
    }

    /// Whether this node is one of those that read for their zone.
    pub fn is_reader(&self) -> bool {
        self.role.reads
    }

    /// Whether this node reads the source itself now.
    pub fn reads(&self, now: Time) -> bool {
        self.role.reads || now >= self.fallback_at
    }

    /// How long another node has been known to have something newer.
    pub fn behind_for(&self, now: Time) -> Span {
        self.ahead.map_or(Span::ZERO, |(since, _)| now.since(since))
    }

    /// When a node that does not read the source looks again whether it should.
    pub fn next_check(&self) -> Time {
        self.fallback_at
    }

    /// A node to which the source answers told how far it has read, or the source answered this node itself.
    pub fn record_reader_answer(&mut self, now: Time) {
        let spread = self.random.random_range(0..SILENCE_SPREAD.0);
        self.fallback_at = now + SILENCE + Span(spread);
    }

    /// The longest wait before the next try at a source that does not answer, where a reader would wait `wait`.
    pub fn retry_delay(&self, wait: Span) -> Span {
        if self.role.reads {
            return wait;
        }
        wait.max(Span((self.nodes as f64 / TRIES_PER_S * 1e6) as u64))
    }

    /// Whether a reader tells others now how far it is, because it has not for a while.
    pub fn announcement_due(&mut self, now: Time) -> bool {
        if !self.role.reads || now < self.announce_at {
            return false;
        }
        self.record_announcement(now);
        true
    }

    /// This node has notified others how far it is.
    pub fn record_announcement(&mut self, now: Time) {
        self.announce_at = now + ANNOUNCE_EVERY;
    }

    /// Another node reported how far it is.
    pub fn handle_report(&mut self, now: Time, state: SourceState, held: HeldRevisions) {
        if !held.is_behind(state) {
            return;
        }
        let (since, before) = self.ahead.unwrap_or((now, state));
        self.ahead = Some((since, before.merge(state)));
    }

    /// Whether this node should ask another one for what is newer there. One that watches the source itself gives its
    /// own watch a moment.
    pub fn should_ask(&mut self, now: Time, held: HeldRevisions, failing: bool) -> bool {
        let Some((since, state)) = self.ahead else {
            return false;
        };
        if !held.is_behind(state) {
            self.ahead = None;
            return false;
        }
        // Who has no list at all does not wait for its own reading of it.
        let watches = self.reads(now) && !failing && held.list != Revision(0);
        !watches || now.since(since) >= OWN_WATCH
    }
}
