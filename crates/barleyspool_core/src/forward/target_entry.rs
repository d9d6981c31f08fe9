//! Targets as the platform lists them.

use crate::{IncarnationId, Span, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Which start of a target is meant: when it started by its own clock, in milliseconds since 1970. Zero when it does not
/// tell; then a restart has another id.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetIncarnation(pub u64);

/// What this node learnt, by its own clock, of a target's life. It is not told to other nodes, whose clocks differ.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetTimes {
    /// When this run of it came onto a list that was known before, or its zone was opened again: it may be cold although its
    /// own word of that is not there yet. Zero for targets of the first list.
    pub appeared_at: Time,
    /// Until when it is cold by its own word.
    pub warm_at: Time,
    /// When it was first seen to run again under its id. What the run before held is gone. Zero when it never did.
    pub restarted_at: Time,
}

/// A target, as the platform lists it.
#[derive(Clone, Debug, Default, Eq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// Its name.
    pub id: String,
    /// Which start of it this is.
    #[serde(rename = "run")]
    pub incarnation: TargetIncarnation,
    /// Counts what this run of the target has written into its entry.
    pub sequence: u64,
    /// Its service.
    pub service: String,
    /// IP number and port. After its end another target may get the same.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is on its way out.
    pub leaving: bool,
    /// Whether the operator has its zone evacuated; kept by [`super::TargetStore`].
    pub evacuated: bool,
    /// Whether its entry can't be read. The other fields are those of its last readable one.
    pub unreadable: bool,
    /// Whether its entry came back with an older copy of the source after it was gone, so that the target may be.
    #[serde(rename = "doubted")]
    pub unverified: bool,
    /// How long it stays slow after its start.
    pub cold: Span,
    /// What this node learnt of its life, and when.
    #[serde(skip)]
    pub times: TargetTimes,
}

/// Two entries are equal when no decision could tell them apart: a target rewrites its entry about once a second, and
/// with the count of that in the comparison each whole read would be passed on as a change of every target.
impl PartialEq for TargetEntry {
    fn eq(&self, other: &Self) -> bool {
        self.id == other.id
            && self.incarnation == other.incarnation
            && self.service == other.service
            && self.address == other.address
            && self.zone == other.zone
            && self.slots == other.slots
            && self.leaving == other.leaving
            && self.evacuated == other.evacuated
            && self.unreadable == other.unreadable
            && self.unverified == other.unverified
            && self.cold == other.cold
    }
}

impl TargetEntry {
    /// An entry of which nothing but the name can be read.
    pub fn unreadable(id: &str) -> Self {
        Self {
            id: id.to_owned(),
            unreadable: true,
            ..Self::default()
        }
    }

    /// The mark of its run.
    pub fn incarnation_id(&self) -> IncarnationId {
        IncarnationId::of(&self.id, self.incarnation.0)
    }

    /// Whether new work may go there. Every decision asks this and keeps no opinion of its own, so that a target that is
    /// taken out gets nothing by any way. What it is working on ends by itself.
    pub fn accepts_work(&self) -> bool {
        !self.leaving && !self.evacuated && !self.unreadable && !self.unverified
    }

    /// Whether it may be asked to drop results. One in an evacuated zone, or whose entry can't be read or relied on, gets nothing at all;
    /// results go by themselves after their time.
    pub fn accepts_release(&self) -> bool {
        !self.evacuated && !self.unreadable && !self.unverified
    }

    /// Until when it may be cold, for a service whose targets are cold for `start` after they have started.
    pub fn cold_until(&self, start: Span) -> Time {
        let began = self.times.appeared_at;
        let start = if began == Time(0) { Time(0) } else { began + start };
        self.times.warm_at.max(start)
    }

    /// Whether this is the same report of the same run as `known`, or one that the run wrote before it.
    pub fn is_no_newer(&self, known: &Self) -> bool {
        self.incarnation == known.incarnation && self.sequence <= known.sequence
    }

    /// Whether this is an older word of the target than `known`: of an earlier run, or one that the same run wrote before.
    /// Words arrive late, and by way of other nodes.
    pub fn is_older(&self, known: (TargetIncarnation, u64)) -> bool {
        let numbered = self.incarnation != TargetIncarnation(0) && known.0 != TargetIncarnation(0);
        numbered && (self.incarnation, self.sequence) < known
    }
}

/// All listed targets, by id.
pub type TargetTable = BTreeMap<String, TargetEntry>;
