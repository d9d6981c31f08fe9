//! The memory that answers of targets use on this node, as [`AnswerMemory`] bounds it.

use super::Traffic;
use crate::event_log::LogEvent;
use barleyspool_core::{AnswerDrop, AnswerFault, AnswerKey, AnswerMemory, Counter, rendezvous};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// The answers that use memory.
#[derive(Debug)]
pub struct HeldAnswers {
    memory: RefCell<AnswerMemory>,
    signals: RefCell<HashMap<AnswerKey, Rc<DropSignal>>>,
}

impl HeldAnswers {
    /// Creates a bound of `max_bytes` for all answers together.
    pub fn new(max_bytes: u64) -> Self {
        Self {
            memory: RefCell::new(AnswerMemory::new(max_bytes)),
            signals: RefCell::default(),
        }
    }
}

/// Tells the reader of an answer that it has to be dropped.
#[derive(Debug, Default)]
struct DropSignal {
    is_dropped: Cell<bool>,
    notify: Notify,
}

/// An answer of a target that uses memory until this is dropped.
pub struct HeldAnswer {
    traffic: Rc<Traffic>,
    key: AnswerKey,
    signal: Rc<DropSignal>,
}

impl HeldAnswer {
    /// Begins an answer of the target at this address.
    pub fn begin(traffic: &Rc<Traffic>, address: &str) -> Self {
        let answers = &traffic.answers;
        let target = rendezvous::text_key(address) as u64;
        let key = answers.memory.borrow_mut().begin(target);
        let signal = Rc::new(DropSignal::default());
        answers.signals.borrow_mut().insert(key, Rc::clone(&signal));
        Self {
            traffic: Rc::clone(traffic),
            key,
            signal,
        }
    }

    /// Counts more bytes, for which this answer or others may have to be dropped.
    pub fn add(&self, bytes: usize) {
        let answers = &self.traffic.answers;
        let dropped = answers.memory.borrow_mut().add(self.key, bytes as u64);
        for key in dropped {
            if let Some(signal) = answers.signals.borrow().get(&key) {
                signal.is_dropped.set(true);
                signal.notify.notify_one();
            }
        }
    }

    /// Takes back bytes that were counted.
    pub fn remove(&self, bytes: usize) {
        let mut memory = self.traffic.answers.memory.borrow_mut();
        memory.remove(self.key, bytes as u64);
    }

    /// Marks the answer as complete: it is delivered, whatever memory others need.
    pub fn complete(&self) {
        self.traffic.answers.memory.borrow_mut().complete(self.key);
    }

    /// Waits until the answer has to be dropped.
    pub async fn dropped(&self) {
        while !self.signal.is_dropped.get() {
            self.signal.notify.notified().await;
        }
    }
}

impl Drop for HeldAnswer {
    fn drop(&mut self) {
        let answers = &self.traffic.answers;
        answers.memory.borrow_mut().end(self.key);
        answers.signals.borrow_mut().remove(&self.key);
    }
}

/// A part of a stream that counts as memory of its answer until the caller has taken it.
pub struct HeldPart {
    answer: Rc<HeldAnswer>,
    bytes: usize,
}

impl HeldPart {
    /// A part whose bytes have been counted by [`HeldAnswer::add`].
    pub fn new(answer: &Rc<HeldAnswer>, bytes: usize) -> Self {
        Self {
            answer: Rc::clone(answer),
            bytes,
        }
    }
}

impl Drop for HeldPart {
    fn drop(&mut self) {
        self.answer.remove(self.bytes);
    }
}

/// Counts and logs an answer that was dropped before it was complete. `bytes` of its body had been received.
pub fn record_dropped(traffic: &Traffic, address: &str, cause: AnswerDrop, bytes: usize) {
    traffic.count(Counter::AnswerDropped(cause));
    let line = LogEvent::AnswerDropped {
        address,
        cause: cause.name(),
        bytes,
    };
    traffic.log.write(traffic.now(), &line);
}

/// Counts and logs an answer that cannot be told from another one. `bytes` of its body had been received.
pub fn record_fault(traffic: &Traffic, address: &str, fault: AnswerFault, bytes: usize) {
    traffic.count(Counter::AnswerFaulty(fault));
    let line = LogEvent::AnswerFaulty {
        address,
        fault: fault.name(),
        bytes,
    };
    traffic.log.write(traffic.now(), &line);
}
