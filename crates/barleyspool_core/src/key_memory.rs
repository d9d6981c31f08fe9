//! What a home remembers of unrepeatable keys until their deadline has passed.

use crate::{Outcome, Payload, RequestId, RequestKey, Span, Time};
use std::collections::{BTreeSet, HashMap};

/// What is known of a key.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyState {
    /// It is being worked on.
    Running(RequestId),
    /// It has ended, with this answer.
    Ended {
        /// The answer's bytes, as far as there are any.
        answer: Payload,
        /// How it ended.
        outcome: Outcome,
    },
}

/// A remembered key.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyRecord {
    /// The deadline that came with it.
    pub deadline: Time,
    /// A hash of what was asked, so that another request under the same key is noticed.
    pub content_hash: u128,
    /// What is known of it.
    pub state: KeyState,
}

/// The keys that this node is or was the home of.
///
/// A key is never forgotten before its deadline plus the skew of clocks; when the memory is full, new keys
/// are refused instead.
#[derive(Debug)]
pub struct KeyMemory {
    keys: HashMap<RequestKey, KeyRecord>,
    expiry: BTreeSet<(Time, RequestKey)>,
    capacity: usize,
    skew: Span,
}

impl KeyMemory {
    /// A memory for at most `capacity` keys.
    pub fn new(capacity: usize, skew: Span) -> Self {
        Self {
            keys: HashMap::new(),
            expiry: BTreeSet::new(),
            capacity,
            skew,
        }
    }

    /// What is remembered of `key`.
    pub fn get(&self, key: RequestKey) -> Option<&KeyRecord> {
        self.keys.get(&key)
    }

    /// Whether no more keys can be taken.
    pub fn full(&self) -> bool {
        self.keys.len() >= self.capacity
    }

    /// How many keys are remembered.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Remembers that `request` is the one run of `key`.
    pub fn begin(&mut self, key: RequestKey, deadline: Time, content_hash: u128, request: RequestId) {
        self.keys.insert(
            key,
            KeyRecord {
                deadline,
                content_hash,
                state: KeyState::Running(request),
            },
        );
        self.expiry.insert((deadline + self.skew, key));
    }

    /// Remembers how the run of `key` ended.
    pub fn end(&mut self, key: RequestKey, answer: Payload, outcome: Outcome) {
        if let Some(remembered) = self.keys.get_mut(&key) {
            remembered.state = KeyState::Ended { answer, outcome };
        }
    }

    /// Forgets a key that certainly did not run, so that it may be sent again.
    pub fn forget(&mut self, key: RequestKey) {
        if let Some(remembered) = self.keys.remove(&key) {
            self.expiry.remove(&(remembered.deadline + self.skew, key));
        }
    }

    /// Forgets the keys whose time is over.
    pub fn expire(&mut self, now: Time) {
        while let Some(&(at, key)) = self.expiry.first()
            && at < now
        {
            self.expiry.pop_first();
            self.keys.remove(&key);
        }
    }
}
