//! The state of a caller's connection: timeouts of headers and idle connections, and whether answers are delivered.
//!
//! The HTTP library has one timeout for idle connections and for incomplete headers, and checks it before it reads
//! the bytes that have arrived: after a pause of the process, it would close connections on which complete calls have
//! arrived. Callers may be idle far longer than a header may take, so both timeouts are kept here, and bytes that have
//! arrived are read first ([`timer`]).

use barleyspool_wire::timer;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The state of one connection.
pub struct ConnectionWatch {
    /// When the first bytes of a header arrived that is not complete yet.
    header_since: Cell<Option<Instant>>,
    /// Calls whose answers are not written yet; bytes read meanwhile do not start the header timeout.
    calls: Cell<u32>,
    /// When bytes were last read or written.
    last_activity: Cell<Instant>,
    /// Whether the kernel did not accept all of the last write: the caller reads more slowly than it is answered.
    waiting: Cell<bool>,
    /// The id of the most recently answered call.
    last_call: RefCell<String>,
    changed: Notify,
}

impl Default for ConnectionWatch {
    fn default() -> Self {
        Self {
            header_since: Cell::default(),
            calls: Cell::default(),
            last_activity: Cell::new(Instant::now()),
            waiting: Cell::default(),
            last_call: RefCell::default(),
            changed: Notify::new(),
        }
    }
}

/// Which timeout of a connection ran out.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Overdue {
    /// The timeout of an incomplete header.
    Header,
    /// The timeout of an idle connection.
    Idle,
}

impl ConnectionWatch {
    /// Records that bytes were read.
    pub fn record_read(&self) {
        let now = Instant::now();
        self.last_activity.set(now);
        if self.calls.get() == 0 && self.header_since.get().is_none() {
            self.header_since.set(Some(now));
        }
        self.changed.notify_one();
    }

    /// Records a write; `waiting` is true when the kernel accepts no more bytes.
    pub fn record_write(&self, waiting: bool) {
        self.last_activity.set(Instant::now());
        if self.waiting.replace(waiting) {
            self.changed.notify_one();
        }
    }

    /// Records a complete header; the call is active until the returned guard is dropped.
    pub fn start_call(self: &Rc<Self>) -> ActiveCall {
        self.header_since.set(None);
        self.calls.set(self.calls.get() + 1);
        self.changed.notify_one();
        ActiveCall(Rc::clone(self))
    }

    /// Sets the call that the next answer belongs to.
    pub fn set_last_call(&self, call: String) {
        self.last_call.replace(call);
    }

    /// The call whose answer the kernel has not fully accepted; `None` when there is none.
    pub fn undelivered(&self) -> Option<String> {
        self.waiting.get().then(|| self.last_call.borrow().clone())
    }

    /// When bytes were last read or written.
    pub fn last_activity(&self) -> Instant {
        self.last_activity.get()
    }

    /// Waits until a header is incomplete for `header_timeout`, or the connection has been idle for `idle_timeout`.
    pub async fn overdue(&self, header_timeout: Duration, idle_timeout: Duration) -> Overdue {
        loop {
            let changed = self.changed.notified();
            if self.calls.get() > 0 || self.waiting.get() {
                changed.await;
                continue;
            }
            let (overdue, due) = match self.header_since.get() {
                Some(since) => (Overdue::Header, since + header_timeout),
                None => (Overdue::Idle, self.last_activity.get() + idle_timeout),
            };
            tokio::select! {
                biased;
                () = changed => {}
                () = timer::sleep_until(due) => return overdue,
            }
        }
    }
}

/// Keeps a call of a connection active until it is dropped.
pub struct ActiveCall(Rc<ConnectionWatch>);

impl Drop for ActiveCall {
    fn drop(&mut self) {
        self.0.calls.set(self.0.calls.get() - 1);
        self.0.last_activity.set(Instant::now());
        self.0.changed.notify_one();
    }
}
