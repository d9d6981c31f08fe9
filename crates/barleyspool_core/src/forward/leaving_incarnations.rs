//! Runs of targets that have said in an answer that they leave.

use crate::{IncarnationId, Span, Time};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// How long a run is remembered after a node last read that it leaves. Whoever sends to it reads it again.
const KEPT: Span = Span::from_secs(60);

/// What one node passes on of a run that leaves.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingUpdate {
    /// The run of the target.
    #[serde(rename = "run")]
    pub incarnation: IncarnationId,
    /// How long ago a node read that, in milliseconds.
    pub age: u32,
}

/// Runs of targets that have said in an answer that they leave.
///
/// A run that leaves never takes that back, so whatever node reads it, the others can rely on it. The list of targets shows it
/// later, and not at all while the source is away.
#[derive(Clone, Debug, Default)]
pub struct LeavingIncarnations {
    read_at: HashMap<IncarnationId, Time>,
}

impl LeavingIncarnations {
    /// Notes that a run leaves; false when that was known.
    pub fn record(&mut self, now: Time, run: IncarnationId) -> bool {
        self.insert(run, now)
    }

    /// Takes what another node passes on; false when it was known, or is too old to be passed on again.
    pub fn merge(&mut self, now: Time, update: LeavingUpdate) -> bool {
        let age = Span::from_millis(u64::from(update.age));
        age < KEPT && self.insert(update.incarnation, now - age)
    }

    /// Whether a run is known to leave.
    pub fn contains(&self, run: IncarnationId) -> bool {
        self.read_at.contains_key(&run)
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.read_at.is_empty()
    }

    /// What this node can pass on of a run.
    pub fn update_of(&self, now: Time, run: IncarnationId) -> Option<LeavingUpdate> {
        let read_at = self.read_at.get(&run)?;
        let age = u32::try_from(now.since(*read_at).as_millis()).unwrap_or(u32::MAX);
        Some(LeavingUpdate {
            incarnation: run,
            age,
        })
    }

    /// Forgets runs of which nobody has read that for long, but for those that `keeps` names.
    pub fn expire(&mut self, now: Time, keeps: impl Fn(IncarnationId) -> bool) {
        self.read_at
            .retain(|run, at| now.since(*at) < KEPT || keeps(*run));
    }

    fn insert(&mut self, run: IncarnationId, at: Time) -> bool {
        let known = self.read_at.get(&run).copied();
        self.read_at.insert(run, known.map_or(at, |known| known.max(at)));
        known.is_none()
    }
}
