//! Which updates go with the next message.

use std::collections::{HashMap, VecDeque};

/// The part of a message that updates of facts always get, one in so many: who has come must be known also while others
/// die and come back.
const FACTS_SHARE: usize = 4;

/// The nodes whose updates are passed on, each so many times.
///
/// Updates of health go before those of facts, and within each line every node has its turn, however often
/// there are updates of the others. With the newest of all updates first, 56 of 85 nodes had not heard of a death after
/// 3.5 s when 20 others changed their facts ten times a second; with one line of turns 64 had not, since
/// a fleet that has just started passes on facts of everybody for half a minute.
#[derive(Debug, Default)]
pub(super) struct UpdateQueue {
    health: Line,
    facts: Line,
}

impl UpdateQueue {
    /// The health of the node at `address` has changed.
    pub(super) fn add_health(&mut self, address: &str) {
        self.health.add(address);
    }

    /// There is a new node at `address`, or new facts of it.
    pub(super) fn add_facts(&mut self, address: &str) {
        self.facts.add(address);
    }

    /// Updates of health to pass on.
    pub(super) fn health_waits(&self) -> usize {
        self.health.order.len()
    }

    /// Updates to pass on.
    pub(super) fn len(&self) -> usize {
        self.health.order.len() + self.facts.order.len()
    }

    /// Takes the nodes whose updates go with the next message, at most `most`; each is taken `often` times in all.
    pub(super) fn take(&mut self, most: usize, often: u32) -> Vec<String> {
        let kept = (most / FACTS_SHARE).min(self.facts.order.len());
        let mut taken = self.health.take(most - kept, often);
        taken.extend(self.facts.take(most - taken.len(), often));
        taken
    }
}

/// Nodes in turn.
#[derive(Debug, Default)]
struct Line {
    order: VecDeque<String>,
    /// How often the update of a node was passed on.
    passed: HashMap<String, u32>,
}

impl Line {
    /// A node that is not in the line goes first, once; one that waits already keeps its place.
    fn add(&mut self, address: &str) {
        if self.passed.insert(address.to_owned(), 0).is_none() {
            self.order.push_front(address.to_owned());
        }
    }

    fn take(&mut self, most: usize, often: u32) -> Vec<String> {
        let count = most.min(self.order.len());
        let taken: Vec<String> = self.order.drain(..count).collect();
        for address in &taken {
            let passed = self.passed.entry(address.clone()).or_default();
            *passed += 1;
            if *passed < often {
                self.order.push_back(address.clone());
            } else {
                self.passed.remove(address);
            }
        }
        taken
    }
}
