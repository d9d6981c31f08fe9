//! A round robin queue of the updates that are sent to other nodes repeatedly.

use std::collections::VecDeque;

/// Keys of the updates that are sent repeatedly, the next one first.
#[derive(Clone, Debug)]
pub(super) struct RoundRobin<K> {
    order: VecDeque<K>,
}

impl<K> Default for RoundRobin<K> {
    fn default() -> Self {
        Self {
            order: VecDeque::new(),
        }
    }
}

impl<K: Copy + PartialEq> RoundRobin<K> {
    /// Moves a key to the front because its update is new or has changed.
    pub(super) fn put_first(&mut self, key: K) {
        self.order.retain(|known| *known != key);
        self.order.push_front(key);
    }

    /// Returns the next updates, at most `max_updates`, and moves their keys to the back. Removes keys for
    /// which `update` returns `None`.
    pub(super) fn take<U>(&mut self, max_updates: usize, update: impl Fn(K) -> Option<U>) -> Vec<U> {
        let mut updates = Vec::new();
        for _ in 0..self.order.len() {
            if updates.len() == max_updates {
                break;
            }
            let Some(key) = self.order.pop_front() else {
                break;
            };
            if let Some(update) = update(key) {
                updates.push(update);
                self.order.push_back(key);
            }
        }
        updates
    }
}
