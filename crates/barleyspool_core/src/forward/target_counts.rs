//! The number of listed targets in each state.

use super::{TargetEntry, TargetTable};
use crate::Time;

/// The number of listed targets in each state, for the log and metrics.
#[derive(Copy, Clone, Debug, Default)]
pub struct TargetCounts {
    /// Targets with a readable entry.
    pub listed: usize,
    /// Targets that are leaving.
    pub leaving: usize,
    /// Targets in an evacuated zone.
    pub evacuated: usize,
    /// Targets whose entry is malformed.
    pub unreadable: usize,
    /// Targets whose entry is unverified since the source was restored from an older backup.
    pub unverified: usize,
    /// Targets that were seen to restart under the same id.
    pub restarted: usize,
}

impl TargetCounts {
    /// The counts for a target table.
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
