//! Things that are passed on to other nodes again and again, each in turn.

use std::collections::VecDeque;

/// Keys of things that are passed on, the next one first.
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
    /// Makes a thing the next one: there is something new of it.
    pub(super) fn put_first(&mut self, key: K) {
        self.order.retain(|known| *known != key);
        self.order.push_front(key);
    }

    /// What is to be passed on next, `most` updates at the most. Things of which `update` knows nothing any more are dropped.
    pub(super) fn take<U>(&mut self, most: usize, update: impl Fn(K) -> Option<U>) -> Vec<U> {
        let mut updates = Vec::new();
        for _ in 0..self.order.len() {
            if updates.len() == most {
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
