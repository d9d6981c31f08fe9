//! Recognises answers to batch calls that arrive once more on their connection.

use crate::PieceOutcome;
use std::collections::VecDeque;

/// The number of answers of a connection that are remembered.
const MAX_ANSWERS: usize = 64;

/// The answers to batch calls that a connection has brought, each by the first result that it named.
///
/// A batch call has no id that its answer could name, and a target may send an answer once more in the place of a later one. Results
/// have names that are never used again, so an answer whose first result is known is a copy. The memory belongs to the connection:
/// whichever queue, shard or owner uses it next, a copy can only arrive on it.
#[derive(Clone, Debug, Default)]
pub struct AnswerTrail {
    first_results: VecDeque<String>,
}

impl AnswerTrail {
    /// Records an answer. Returns whether it is new, as far as its results tell; one without any may be a copy too.
    pub fn record(&mut self, outcomes: &[PieceOutcome]) -> bool {
        let results = outcomes.iter().filter_map(|outcome| match outcome {
            PieceOutcome::Computed(result) => Some(result),
            _ => None,
        });
        let Some(first) = results.into_iter().next() else {
            return true;
        };
        if self.first_results.contains(first) {
            return false;
        }
        if self.first_results.len() == MAX_ANSWERS {
            self.first_results.pop_front();
        }
        self.first_results.push_back(first.clone());
        true
    }
}
