//! The last changes of the list of targets, for nodes that know an older one.

use super::TargetChange;
use crate::Revision;
use std::collections::VecDeque;

/// The most changes that are kept: a release of a pool of 160 targets makes some three each.
const MOST_CHANGES: usize = 1024;

/// Changes that were taken together.
#[derive(Clone, Debug)]
struct Batch {
    /// The revision at which the list stood afterwards.
    at: Revision,
    changes: Vec<TargetChange>,
}

/// The last changes of the list of targets.
#[derive(Clone, Debug, Default)]
pub struct TargetLog {
    /// The oldest revision from which the changes lead to the newest list.
    from: Revision,
    batches: VecDeque<Batch>,
    changes: usize,
}

impl TargetLog {
    /// Forgets everything: the list was read whole by a node that knew none.
    pub fn reset(&mut self, at: Revision) {
        *self = Self {
            from: at,
            ..Self::default()
        };
    }

    /// Notes what changed in the list up to revision `at`.
    pub fn append(&mut self, at: Revision, changes: Vec<TargetChange>) {
        if changes.is_empty() {
            return;
        }
        self.changes += changes.len();
        self.batches.push_back(Batch { at, changes });
        while self.changes > MOST_CHANGES {
            let Some(oldest) = self.batches.pop_front() else {
                break;
            };
            self.changes -= oldest.changes.len();
            self.from = oldest.at;
        }
    }

    /// What turns the list as it stood at `revision` into the newest one; `None` when that is not known any more.
    ///
    /// A batch that holds later and earlier changes than `revision` is told whole: taking a change twice does no harm.
    pub fn since(&self, revision: Revision) -> Option<Vec<TargetChange>> {
        let newer = self.batches.iter().filter(|batch| batch.at > revision);
        let changes = newer.flat_map(|batch| batch.changes.iter().cloned());
        (revision >= self.from).then(|| changes.collect())
    }
}
