//! Decides when a node without a target list reads it from the source.
//!
//! The size of a full list grows with the number of targets. If every node of a starting fleet read it,
//! the traffic would grow as nodes times targets and fill the source's link for seconds. Therefore only
//! the seeds (the nodes of the settings to which a starting node sends its first `Join` requests) read the
//! list, and the readers of each zone if no seed has it in time; all others ask a node that has it
//! (docs/DESIGN.md, "Configuration and targets"). The number of seeds is independent of the size of the
//! fleet, and a seed needs no membership information to know its role: during the first quarter of a second
//! of a fleet of 585, half of the nodes know none of the others.

use crate::{Span, Time};

/// How long a seed waits for another node with the list: the time of an answer in a running fleet.
const SEED_WAIT: Span = Span::from_millis(60);
/// How long readers wait for the seeds. A seed with a slow link reads 6,000 targets in 0.9 s, and by
/// then every node of a fleet of 1,170 that started at once knows the others.
const READER_WAIT: Span = Span::from_millis(1000);
/// After this time a node reads the list itself even if readers answer, since no node with the list is
/// reachable.
const FALLBACK_DELAY: Span = Span::from_secs(3);
/// The number of nodes per second that fall back to a read of their own, whatever the size of the fleet.
const FALLBACKS_PER_S: f64 = 10.0;

/// What a node without a list knows about its fleet.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetView {
    /// The number of known nodes, including itself.
    pub nodes: usize,
    /// Whether it is one of the seeds of the fleet.
    pub seed: bool,
    /// Whether it is a reader of its zone, as far as it knows.
    pub reader: bool,
    /// Whether a node with a list is known.
    pub holder: bool,
}

/// Decides when a node without a target list reads it from the source.
#[derive(Copy, Clone, Debug)]
pub struct InitialListRead {
    started: Time,
    /// The position of this node in the order of fallbacks, from 0 to 1.
    fallback_position: f64,
}

impl InitialListRead {
    /// A node that starts at `now`; `fallback_position` is drawn uniformly from 0 to 1.
    pub fn new(now: Time, fallback_position: f64) -> Self {
        Self {
            started: now,
            fallback_position,
        }
    }

    /// Whether the node should read the list now.
    pub fn should_read(&self, now: Time, view: FleetView) -> bool {
        if now >= self.fallback_at(view.nodes) {
            return true;
        }
        let seed = view.seed && now >= self.started + SEED_WAIT;
        let reader = view.reader && now >= self.started + READER_WAIT;
        (seed || reader) && !view.holder
    }

    /// When to check again if the node does not read the list at `now`.
    pub fn next_check(&self, now: Time, view: FleetView) -> Time {
        let due = [(view.seed, SEED_WAIT), (view.reader, READER_WAIT)];
        let due = due.into_iter().filter(|(applies, _)| *applies);
        let due = due.map(|(_, wait)| self.started + wait).filter(|at| *at > now);
        due.min().unwrap_or_else(|| self.fallback_at(view.nodes))
    }

    fn fallback_at(&self, nodes: usize) -> Time {
        let spread = nodes as f64 / FALLBACKS_PER_S * self.fallback_position;
        self.started + FALLBACK_DELAY + Span((spread * 1e6) as u64)
    }
}
