//! Timeouts that process received data before they expire, and that count suspensions of the machine.
//!
//! When a process is stopped and later continued, its timers expire before it has read its sockets: the operating
//! system interrupts the wait for events without reporting any. Code that acts on a timeout at once would treat calls
//! and answers as missing although they are waiting in the kernel.
//!
//! The timers of the runtime do not advance while the machine is suspended. So one task checks for suspensions
//! regularly ([`watch_suspensions`]), and the waits of this module then subtract the suspended time: a call whose
//! deadline has passed is answered at the next check, not seconds later.

use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The interval of the checks for suspensions. A call whose deadline has passed must be answered within half a second.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// The shortest clock difference that counts as a suspension. The two clocks are read one after the other, and the
/// process may be stopped in between.
const MIN_SUSPENSION: Duration = Duration::from_millis(50);

/// The suspensions that this process has detected.
static SUSPENSIONS: Suspensions = Suspensions {
    suspended_us: AtomicU64::new(0),
    ended: Notify::const_new(),
};

#[derive(Debug)]
struct Suspensions {
    /// The total duration of all suspensions, in microseconds.
    suspended_us: AtomicU64,
    /// Wakes all waits after a suspension.
    ended: Notify,
}

impl Suspensions {
    fn total(&self) -> Duration {
        Duration::from_micros(self.suspended_us.load(Ordering::Acquire))
    }
}

/// Checks for suspensions of the machine as long as it is polled, and wakes the waits of all threads after each.
///
/// `clock_difference` returns how far the clock that counts suspensions is ahead of the one that does not;
/// `on_suspension` is called with the duration of each suspension.
pub async fn watch_suspensions(clock_difference: impl Fn() -> Duration, on_suspension: impl Fn(Duration)) {
    let mut counted_difference = clock_difference();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let suspended = clock_difference().saturating_sub(counted_difference);
        if suspended < MIN_SUSPENSION {
            continue;
        }
        counted_difference += suspended;
        let suspended_us = suspended.as_micros() as u64;
        SUSPENSIONS
            .suspended_us
            .fetch_add(suspended_us, Ordering::Release);
        SUSPENSIONS.ended.notify_waiters();
        on_suspension(suspended);
    }
}

/// Sleeps, then lets the runtime read the sockets once. Suspended time counts as slept.
///
/// In a `select!` the branch with the work must come first (`biased`), so that received data takes precedence over
/// the timeout.
pub async fn sleep(duration: Duration) {
    let (start, total_before) = (Instant::now(), SUSPENSIONS.total());
    loop {
        // Created before the total is read, so that no suspension in between is missed.
        let ended = SUSPENSIONS.ended.notified();
        let suspended = SUSPENSIONS.total().saturating_sub(total_before);
        tokio::select! {
            () = sleep_until(start + duration.saturating_sub(suspended)) => return,
            () = ended => {}
        }
    }
}

/// Like [`sleep`], until an instant of the runtime's clock. That clock does not advance while the machine is
/// suspended.
pub async fn sleep_until(due: Instant) {
    tokio::time::sleep_until(due).await;
    // The runtime polls its sockets before it resumes a task that has yielded.
    tokio::task::yield_now().await;
}

/// the operation timed out
#[derive(Copy, Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub struct TimedOut;

impl std::error::Error for TimedOut {}

impl From<TimedOut> for io::Error {
    fn from(error: TimedOut) -> Self {
        Self::new(io::ErrorKind::TimedOut, error)
    }
}

/// Runs `work` with a timeout.
///
/// # Errors
/// When `work` has not completed in time, and the data received by then does not complete it either.
pub async fn timeout<T>(duration: Duration, work: impl Future<Output = T>) -> Result<T, TimedOut> {
    tokio::select! {
        biased;
        output = work => Ok(output),
        () = sleep(duration) => Err(TimedOut),
    }
}
