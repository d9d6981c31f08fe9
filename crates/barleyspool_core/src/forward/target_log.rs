//! The most recent changes of the target list, for nodes that have an older list.

use super::TargetChange;
use crate::Revision;
use std::collections::VecDeque;

/// The most changes that are kept; a release of a pool of 160 targets makes about three for each target.
const MAX_CHANGES: usize = 1024;

/// Changes that were applied together.
#[derive(Clone, Debug)]
struct Batch {
    /// The revision of the list after the changes.
    at: Revision,
    changes: Vec<TargetChange>,
}

/// The most recent changes of the target list.
#[derive(Clone, Debug, Default)]
pub struct TargetLog {
    /// The oldest revision from which the changes lead to the newest list.
    from: Revision,
    batches: VecDeque<Batch>,
    changes: usize,
}

impl TargetLog {
    /// Clears the log, as a node without a list has read a complete one.
    pub fn reset(&mut self, at: Revision) {
        *self = Self {
            from: at,
            ..Self::default()
        };
    }

    /// Appends the changes of the list up to revision `at`.
    pub fn append(&mut self, at: Revision, changes: Vec<TargetChange>) {
        if changes.is_empty() {
            return;
        }
        self.changes += changes.len();
        self.batches.push_back(Batch { at, changes });
        while self.changes > MAX_CHANGES {
            let Some(oldest) = self.batches.pop_front() else {
                break;
            };
            self.changes -= oldest.changes.len();
            self.from = oldest.at;
        }
    }

    /// The changes that turn the list at `revision` into the newest one; `None` if the log does not
    /// reach back that far.
    ///
    /// A batch with changes both before and after `revision` is returned as a whole, since applying a
    /// change twice does no harm.
    pub fn since(&self, revision: Revision) -> Option<Vec<TargetChange>> {
        let newer = self.batches.iter().filter(|batch| batch.at > revision);
        let changes = newer.flat_map(|batch| batch.changes.iter().cloned());
        (revision >= self.from).then(|| changes.collect())
    }
}
