//! Bounds the memory that answers of targets use on a node, over all calls together.
//!
//! Answers are received whole before they are passed on, and streams are buffered while their callers read slowly. A target in
//! trouble may send without end on many connections at the same time. When the bound is exceeded, answers that are still being
//! received are dropped until the rest fits: the largest ones of the target that uses the most. So the answers of other targets are
//! received in full, however many connections one of them uses.

use serde::{Deserialize, Serialize};
use slotmap::SlotMap;
use std::collections::HashMap;

slotmap::new_key_type! {
    /// Identifies an answer that uses memory.
    pub struct AnswerKey;
}

/// Why an answer of a target was dropped before it was complete.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum AnswerDrop {
    /// It is larger than any answer may be.
    TooLarge,
    /// The answers of the node together use more memory than they may, and its target uses the most.
    MemoryFull,
    /// Too many bytes came that are no part of an answer.
    NoResult,
    /// A stream brought events again, or another answer after its events.
    Spoiled,
}

impl AnswerDrop {
    /// The stable name shown to operators.
    pub const fn name(self) -> &'static str {
        match self {
            Self::TooLarge => "too_large",
            Self::MemoryFull => "memory_full",
            Self::NoResult => "no_result",
            Self::Spoiled => "spoiled",
        }
    }
}

/// An answer that uses memory.
#[derive(Clone, Debug)]
struct Answer {
    /// Which target sends it.
    target: u64,
    bytes: u64,
    /// Whether it may still be dropped. A complete answer is delivered.
    droppable: bool,
}

/// The memory that answers use.
#[derive(Clone, Debug)]
pub struct AnswerMemory {
    max_bytes: u64,
    used: u64,
    answers: SlotMap<AnswerKey, Answer>,
}

impl AnswerMemory {
    /// Creates a bound of `max_bytes` for all answers together.
    pub fn new(max_bytes: u64) -> Self {
        Self {
            max_bytes,
            used: 0,
            answers: SlotMap::default(),
        }
    }

    /// The memory that answers use, in bytes; without those that were dropped.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Begins an answer of `target`, a hash of its address.
    pub fn begin(&mut self, target: u64) -> AnswerKey {
        self.answers.insert(Answer {
            target,
            bytes: 0,
            droppable: true,
        })
    }

    /// Adds bytes that an answer uses, and returns the answers that have to be dropped for it; it may be among them. What is
    /// added to a dropped answer does not count.
    pub fn add(&mut self, key: AnswerKey, bytes: u64) -> Vec<AnswerKey> {
        let Some(answer) = self.answers.get_mut(key) else {
            return Vec::new();
        };
        answer.bytes += bytes;
        self.used += bytes;
        let mut dropped = Vec::new();
        while self.used > self.max_bytes
            && let Some(largest) = self.largest_of_heaviest_target()
        {
            self.end(largest);
            dropped.push(largest);
        }
        dropped
    }

    /// Takes back bytes that an answer does not use any more.
    pub fn remove(&mut self, key: AnswerKey, bytes: u64) {
        if let Some(answer) = self.answers.get_mut(key) {
            let bytes = bytes.min(answer.bytes);
            answer.bytes -= bytes;
            self.used -= bytes;
        }
    }

    /// Marks an answer as complete, so that it is not dropped any more.
    pub fn complete(&mut self, key: AnswerKey) {
        if let Some(answer) = self.answers.get_mut(key) {
            answer.droppable = false;
        }
    }

    /// Ends an answer, which uses no memory any more.
    pub fn end(&mut self, key: AnswerKey) {
        if let Some(answer) = self.answers.remove(key) {
            self.used -= answer.bytes;
        }
    }

    /// The largest answer of the target whose answers, as far as they may be dropped, use the most memory.
    fn largest_of_heaviest_target(&self) -> Option<AnswerKey> {
        let droppable = || {
            self.answers
                .iter()
                .filter(|(_, answer)| answer.droppable && answer.bytes > 0)
        };
        let mut by_target: HashMap<u64, u64> = HashMap::new();
        for (_, answer) in droppable() {
            *by_target.entry(answer.target).or_default() += answer.bytes;
        }
        let (heaviest, _) = by_target
            .into_iter()
            .max_by_key(|(target, bytes)| (*bytes, *target))?;
        let of_heaviest = droppable().filter(|(_, answer)| answer.target == heaviest);
        let largest = of_heaviest.max_by_key(|(key, answer)| (answer.bytes, *key));
        largest.map(|(key, _)| key)
    }
}
