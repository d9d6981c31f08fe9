//! What a caller's connection is doing: when it has been quiet for too long, and whether its answers leave the process.
//!
//! The HTTP library knows one time for a connection at rest and for a head that has begun, and lets it run out before it looks at what has
//! arrived: a process that was paused closed connections with whole calls on them. Callers may rest far longer
//! than a head may take, so both times are kept here, and what has arrived goes first ([`timer`]).

use barleyspool_wire::timer;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The state of one connection.
pub struct ConnectionWatch {
    /// When the first bytes of a head came that is not complete yet.
    head_since: Cell<Option<Instant>>,
    /// Calls whose answers are not written yet; what is read meanwhile is no late head.
    calls: Cell<u32>,
    /// When bytes last came or went.
    active: Cell<Instant>,
    /// Whether the kernel did not take all of the last write: the caller reads more slowly than it is answered.
    waiting: Cell<bool>,
    /// The id of the call that was answered last.
    last_call: RefCell<String>,
    changed: Notify,
}

impl Default for ConnectionWatch {
    fn default() -> Self {
        Self {
            head_since: Cell::default(),
            calls: Cell::default(),
            active: Cell::new(Instant::now()),
            waiting: Cell::default(),
            last_call: RefCell::default(),
            changed: Notify::new(),
        }
    }
}

/// What takes too long.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Overdue {
    /// A head that has begun.
    Head,
    /// The next call.
    Rest,
}

impl ConnectionWatch {
    /// Bytes were read.
    pub fn read(&self) {
        let now = Instant::now();
        self.active.set(now);
        if self.calls.get() == 0 && self.head_since.get().is_none() {
            self.head_since.set(Some(now));
        }
        self.changed.notify_one();
    }

    /// The kernel took bytes, or would not take more.
    pub fn wrote(&self, waiting: bool) {
        self.active.set(Instant::now());
        if self.waiting.replace(waiting) {
            self.changed.notify_one();
        }
    }

    /// A head is complete; the call lasts until what this returns is dropped.
    pub fn call(self: &Rc<Self>) -> CallMark {
        self.head_since.set(None);
        self.calls.set(self.calls.get() + 1);
        self.changed.notify_one();
        CallMark(Rc::clone(self))
    }

    /// Notes to which call the next answer belongs.
    pub fn answers(&self, call: String) {
        self.last_call.replace(call);
    }

    /// The call whose answer the kernel has not taken; `None` when there is none.
    pub fn undelivered(&self) -> Option<String> {
        self.waiting.get().then(|| self.last_call.borrow().clone())
    }

    /// When bytes last came or went.
    pub fn active(&self) -> Instant {
        self.active.get()
    }

    /// Waits until a head takes longer than `head`, or the connection has been at rest for `rest`.
    pub async fn overdue(&self, head: Duration, rest: Duration) -> Overdue {
        loop {
            let changed = self.changed.notified();
            if self.calls.get() > 0 || self.waiting.get() {
                changed.await;
                continue;
            }
            let (overdue, due) = match self.head_since.get() {
                Some(since) => (Overdue::Head, since + head),
                None => (Overdue::Rest, self.active.get() + rest),
            };
            tokio::select! {
                biased;
                () = changed => {}
                () = timer::sleep_until(due) => return overdue,
            }
        }
    }
}

/// A call of a connection that is being answered.
pub struct CallMark(Rc<ConnectionWatch>);

impl Drop for CallMark {
    fn drop(&mut self) {
        self.0.calls.set(self.0.calls.get() - 1);
        self.0.active.set(Instant::now());
        self.0.changed.notify_one();
    }
}
