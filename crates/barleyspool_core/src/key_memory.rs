//! Deduplication of unrepeatable keys: a home node remembers each key until its deadline has passed.

use crate::{Outcome, Payload, RequestId, RequestKey, Span, Time};
use std::collections::{BTreeSet, HashMap};

/// The state of a remembered key.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyState {
    /// The request is being processed.
    Running(RequestId),
    /// The request has ended.
    Ended {
        /// The bytes of the answer, possibly incomplete or empty.
        answer: Payload,
        /// The outcome of the request.
        outcome: Outcome,
    },
}

/// A remembered key.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyRecord {
    /// The deadline of the request.
    pub deadline: Time,
    /// A hash of the call's contents, to detect another request that reuses the key.
    pub content_hash: u128,
    /// Whether the request is running or has ended.
    pub state: KeyState,
}

/// The unrepeatable keys that this node has accepted as their home node.
///
/// A key is kept until its deadline plus the clock skew. It is never evicted earlier: when the table is
/// full, new keys are refused.
#[derive(Debug)]
pub struct KeyMemory {
    keys: HashMap<RequestKey, KeyRecord>,
    expiry: BTreeSet<(Time, RequestKey)>,
    capacity: usize,
    skew: Span,
}

impl KeyMemory {
    /// An empty table for up to `capacity` keys.
    pub fn new(capacity: usize, skew: Span) -> Self {
        Self {
            keys: HashMap::new(),
            expiry: BTreeSet::new(),
            capacity,
            skew,
        }
    }

    /// The record of `key`, if it is remembered.
    pub fn get(&self, key: RequestKey) -> Option<&KeyRecord> {
        self.keys.get(&key)
    }

    /// Whether the capacity is reached, so that no new key can be accepted.
    pub fn full(&self) -> bool {
        self.keys.len() >= self.capacity
    }

    /// The number of remembered keys.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Records that `request` is the only run of `key`.
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

    /// Records the answer and outcome of the run of `key`.
    pub fn end(&mut self, key: RequestKey, answer: Payload, outcome: Outcome) {
        if let Some(remembered) = self.keys.get_mut(&key) {
            remembered.state = KeyState::Ended { answer, outcome };
        }
    }

    /// Removes a key that certainly did not run, so that it may be sent again.
    pub fn forget(&mut self, key: RequestKey) {
        if let Some(remembered) = self.keys.remove(&key) {
            self.expiry.remove(&(remembered.deadline + self.skew, key));
        }
    }

    /// Removes the keys whose deadline plus skew has passed.
    pub fn expire(&mut self, now: Time) {
        while let Some(&(at, key)) = self.expiry.first()
            && at < now
        {
            self.expiry.pop_first();
            self.keys.remove(&key);
        }
    }
}
