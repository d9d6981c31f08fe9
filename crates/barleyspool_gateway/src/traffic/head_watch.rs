//! How long a caller takes for the head of a call.
//!
//! The HTTP library knows one time for a connection at rest and for a head that has begun. Callers may rest far longer
//! than a head may take, so the start of a head is noted where its first bytes are read.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The head that a connection is reading.
#[derive(Default)]
pub struct HeadWatch {
    /// When the first bytes of a head came that is not complete yet.
    since: Cell<Option<Instant>>,
    /// Calls whose answers are not written yet; what is read meanwhile is no late head.
    calls: Cell<u32>,
    begun: Notify,
}

impl HeadWatch {
    /// Bytes were read.
    pub fn bytes(&self) {
        if self.calls.get() == 0 && self.since.get().is_none() {
            self.since.set(Some(Instant::now()));
            self.begun.notify_one();
        }
    }

    /// A head is complete; the call lasts until what this returns is dropped.
    pub fn call(self: &Rc<Self>) -> CallMark {
        self.since.set(None);
        self.calls.set(self.calls.get() + 1);
        CallMark(Rc::clone(self))
    }

    /// Nothing more is read as a call.
    pub fn closed(&self) {
        self.since.set(None);
        self.calls.set(self.calls.get() + 1);
    }

    /// Waits until a head takes longer than `limit`.
    pub async fn overdue(&self, limit: Duration) {
        loop {
            match self.since.get() {
                None => self.begun.notified().await,
                Some(since) if since.elapsed() >= limit => return,
                Some(since) => tokio::time::sleep_until(since + limit).await,
            }
        }
    }
}

/// A call of a connection that is being answered.
pub struct CallMark(Rc<HeadWatch>);

impl Drop for CallMark {
    fn drop(&mut self) {
        self.0.calls.set(self.0.calls.get() - 1);
    }
}
