//! Targets as the platform lists them.

use crate::{IncarnationId, Span, Time, VersionId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The incarnation of a target: its start time by its own clock, in milliseconds since 1970. Zero if the
/// target does not report it; such a target gets a new id when it restarts.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetIncarnation(pub u64);

/// Times in the lifecycle of a target that this node observed by its own clock. They are not sent to
/// other nodes, whose clocks differ.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetTimes {
    /// When this incarnation was first listed, unless it was in the first list, or when its zone was
    /// reopened. It may be cold from then on even if its own report of that has not arrived yet. Zero
    /// for targets of the first list.
    pub appeared_at: Time,
    /// Until when it is cold according to its own report.
    pub warm_at: Time,
    /// When this node first saw the current incarnation after another one under the same id. Each
    /// restart sets it anew, as whatever the previous incarnation held is lost. Zero if no restart was
    /// seen.
    pub restarted_at: Time,
}

/// A target as the platform lists it.
#[derive(Clone, Debug, Default, Eq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// The unique name of the target.
    pub id: String,
    /// The incarnation of the target.
    #[serde(rename = "run")]
    pub incarnation: TargetIncarnation,
    /// The number of the report, counted by this incarnation each time it writes its entry.
    pub sequence: u64,
    /// The name of its service.
    pub service: String,
    /// The IP address and port. Another target may get the same address after this one has gone.
    pub address: String,
    /// The name of its zone.
    pub zone: String,
    /// The version of its software.
    #[serde(rename = "software")]
    pub software_version: String,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether the operator has evacuated its zone; maintained by [`super::TargetStore`].
    pub evacuated: bool,
    /// Whether its entry is malformed. The other fields are those of the last readable entry.
    pub unreadable: bool,
    /// Whether its entry reappeared with an older backup of the source after the target had gone, so
    /// that the target may no longer exist.
    #[serde(rename = "doubted")]
    pub unverified: bool,
    /// How long it stays cold from the time of the report.
    pub cold: Span,
    /// Lifecycle times observed by this node.
    #[serde(skip)]
    pub times: TargetTimes,
}

/// Two entries are equal if no decision could distinguish them. The report number is left out: a target
/// rewrites its entry about once a second, so that every full read would be passed on as a change of
/// every target.
impl PartialEq for TargetEntry {
    fn eq(&self, other: &Self) -> bool {
        self.id == other.id
            && self.incarnation == other.incarnation
            && self.service == other.service
            && self.address == other.address
            && self.zone == other.zone
            && self.software_version == other.software_version
            && self.slots == other.slots
            && self.leaving == other.leaving
            && self.evacuated == other.evacuated
            && self.unreadable == other.unreadable
            && self.unverified == other.unverified
            && self.cold == other.cold
    }
}

impl TargetEntry {
    /// An entry of which nothing but the name is readable.
    pub fn unreadable(id: &str) -> Self {
        Self {
            id: id.to_owned(),
            unreadable: true,
            ..Self::default()
        }
    }

    /// The id of its incarnation.
    pub fn incarnation_id(&self) -> IncarnationId {
        IncarnationId::of(&self.id, self.incarnation.0)
    }

    /// The key of its software version.
    pub fn version_id(&self) -> VersionId {
        VersionId::of(&self.service, &self.software_version)
    }

    /// Whether new work may be sent to the target. Every decision uses this check, so that a target
    /// taken out of use gets nothing by any path. Its running work ends by itself.
    pub fn accepts_work(&self) -> bool {
        !self.leaving && !self.evacuated && !self.unreadable && !self.unverified
    }

    /// Whether it may be asked to release results. A target in an evacuated zone, or with a malformed or
    /// unverified entry, receives no requests at all; its results expire by themselves.
    pub fn accepts_release(&self) -> bool {
        !self.evacuated && !self.unreadable && !self.unverified
    }

    /// Until when the target may be cold, if targets of its service are cold for `duration` after they
    /// start.
    pub fn cold_until(&self, duration: Span) -> Time {
        let appeared_at = self.times.appeared_at;
        let cold_end = if appeared_at == Time(0) {
            Time(0)
        } else {
            appeared_at + duration
        };
        self.times.warm_at.max(cold_end)
    }

    /// Whether this report is by the same incarnation as `known` and not newer than it.
    pub fn is_no_newer(&self, known: &Self) -> bool {
        self.incarnation == known.incarnation && self.sequence <= known.sequence
    }

    /// Whether this report is older than `known`: written by an earlier incarnation, or earlier by the
    /// same one. Reports may arrive late and by way of other nodes, and the source may apply a write seconds
    /// after a later one. A target that does not report its incarnation has one only, since it gets a new id
    /// when it restarts.
    pub fn is_older(&self, known: (TargetIncarnation, u64)) -> bool {
        let unnumbered = TargetIncarnation(0);
        let comparable = (self.incarnation == unnumbered) == (known.0 == unnumbered);
        comparable && (self.incarnation, self.sequence) < known
    }
}

/// All listed targets, by id.
pub type TargetTable = BTreeMap<String, TargetEntry>;
