//! When a node without a list of targets reads it at the source.
//!
//! A whole list is as long as there are targets, so that reads by every node of a fleet which starts grow as nodes times targets and fill
//! the source's link for seconds. So only the seeds read, and the readers of each zone when no seed has the list by then; all others ask a node
//! that has it (docs/DESIGN.md, "Configuration and targets"). The seeds are few whatever the size of the fleet, and need nobody to know
//! that they are: in the first quarter of a second of a fleet of 585, half of the nodes know none of the others.

use crate::{Span, Time};

/// How long a seed waits for another node that has the list: the time of an answer in a running fleet.
const SEED_WAIT: Span = Span::from_millis(60);
/// How long readers wait for the seeds: a seed with a weak link reads 6,000 targets in 0.9 s, and by then every node of a fleet of 1,170 that
/// started at once knows the others.
const READER_WAIT: Span = Span::from_millis(1000);
/// When a node whose readers answer reads by itself all the same: no node that has the list can be reached.
const FALLBACK: Span = Span::from_secs(3);
/// Nodes of a fleet that fall back in a second, whatever their number.
const FALLBACKS_PER_S: f64 = 10.0;

/// What a node that has no list knows of its fleet.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetView {
    /// The nodes that are known, itself among them.
    pub nodes: usize,
    /// Whether it is one of the seeds of the fleet.
    pub seed: bool,
    /// Whether it is a reader of its zone, as far as it knows.
    pub reader: bool,
    /// Whether a node is known that has a list.
    pub holder: bool,
}

/// When a node without a list of targets reads it at the source.
#[derive(Copy, Clone, Debug)]
pub struct InitialListRead {
    started: Time,
    /// This node's place in the order in which nodes fall back; 0 to 1.
    place: f64,
}

impl InitialListRead {
    /// A node that starts at `now`; `place` is drawn evenly from 0 to 1.
    pub fn new(now: Time, place: f64) -> Self {
        Self { started: now, place }
    }

    /// Whether it reads now.
    pub fn should_read(&self, now: Time, view: FleetView) -> bool {
        if now >= self.fallback_at(view.nodes) {
            return true;
        }
        let seed = view.seed && now >= self.started + SEED_WAIT;
        let reader = view.reader && now >= self.started + READER_WAIT;
        (seed || reader) && !view.holder
    }

    /// When it looks again whether it reads, if it does not at `now`.
    pub fn next_check(&self, now: Time, view: FleetView) -> Time {
        let due = [(view.seed, SEED_WAIT), (view.reader, READER_WAIT)];
        let due = due.into_iter().filter(|(applies, _)| *applies);
        let due = due.map(|(_, wait)| self.started + wait).filter(|at| *at > now);
        due.min().unwrap_or_else(|| self.fallback_at(view.nodes))
    }

    fn fallback_at(&self, nodes: usize) -> Time {
        let spread = nodes as f64 / FALLBACKS_PER_S * self.place;
        self.started + FALLBACK + Span((spread * 1e6) as u64)
    }
}
