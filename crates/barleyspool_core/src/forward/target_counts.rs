//! How many listed targets are in each state.

use super::{TargetEntry, TargetTable};
use crate::Time;

/// How many listed targets are in each state, for log lines and metrics.
#[derive(Copy, Clone, Debug, Default)]
pub struct TargetCounts {
    /// With an entry that can be read.
    pub listed: usize,
    /// On their way out.
    pub leaving: usize,
    /// In an evacuated zone.
    pub evacuated: usize,
    /// With an entry that can't be read.
    pub unreadable: usize,
    /// Not relied on since their entries came back with an older copy of the source.
    pub unverified: usize,
    /// Seen to run again under their id.
    pub restarted: usize,
}

impl TargetCounts {
    /// The counts of a list.
    pub fn of(table: &TargetTable) -> Self {
        let mut counts = Self::default();
        for entry in table.values() {
            counts.add(entry);
        }
        counts
    }

    fn add(&mut self, entry: &TargetEntry) {
        self.listed += usize::from(!entry.unreadable);
        self.leaving += usize::from(entry.leaving);
        self.evacuated += usize::from(entry.evacuated);
        self.unreadable += usize::from(entry.unreadable);
        self.unverified += usize::from(entry.unverified);
        self.restarted += usize::from(entry.times.restarted_at > Time(0));
    }
}
