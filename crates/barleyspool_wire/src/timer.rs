//! Waiting that lets go first what has already arrived, and that counts the time in which the machine was suspended.
//!
//! A process that is paused and goes on finds its timers run out before it has looked at its sockets: the operating system
//! interrupts the wait for events without telling any. Whatever acts on a time-out at once takes calls and answers for missing that lie in the kernel.
//!
//! The runtime's timers stand still while the machine is suspended. So one task looks now and then whether it was
//! ([`watch_suspensions`]), and then the waits of this module take off what they have suspended through: a call whose time is over is
//! answered at the next look, not seconds later.

use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The time between two looks whether the machine was suspended. A call whose time is over has to be answered within half a
/// second.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Less than this is no suspension: two clocks are read one after the other, and the process may be stopped in between.
const MIN_SUSPENSION: Duration = Duration::from_millis(50);

/// The suspensions that this process has seen.
static SUSPENSIONS: Suspensions = Suspensions {
    suspended_us: AtomicU64::new(0),
    ended: Notify::const_new(),
};

#[derive(Debug)]
struct Suspensions {
    /// How long they were all in all, in microseconds.
    suspended_us: AtomicU64,
    /// Wakes all waits after each.
    ended: Notify,
}

impl Suspensions {
    fn total(&self) -> Duration {
        Duration::from_micros(self.suspended_us.load(Ordering::Acquire))
    }
}

/// Looks for suspensions of the machine for as long as it is polled, and wakes the waits of all threads after each. `clock_difference` tells how far
/// the clock that counts them is clock_difference of the one that does not; `on_suspension` is told how long each was.
pub async fn watch_suspensions(clock_difference: impl Fn() -> Duration, on_suspension: impl Fn(Duration)) {
    let mut before = clock_difference();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let suspended = clock_difference().saturating_sub(before);
        if suspended < MIN_SUSPENSION {
            continue;
        }
        before += suspended;
        let suspended_us = suspended.as_micros() as u64;
        SUSPENSIONS
            .suspended_us
            .fetch_add(suspended_us, Ordering::Release);
        SUSPENSIONS.ended.notify_waiters();
        on_suspension(suspended);
    }
}

/// Sleeps, and then lets the sockets be read once.
///
/// In a `select!` the branch with the work goes first (`biased`), so that what was read decides.
pub async fn sleep(duration: Duration) {
    let (start, before) = (Instant::now(), SUSPENSIONS.total());
    loop {
        // Made before the time is read, so that no suspension is missed in between.
        let ended = SUSPENSIONS.ended.notified();
        let suspended = SUSPENSIONS.total().saturating_sub(before);
        tokio::select! {
            () = sleep_until(start + duration.saturating_sub(suspended)) => return,
            () = ended => {}
        }
    }
}

/// The same until a point in time of the runtime's clock, which stands still while the machine is suspended.
pub async fn sleep_until(due: Instant) {
    tokio::time::sleep_until(due).await;
    // The runtime looks at its sockets before it goes on with a task that has yielded.
    tokio::task::yield_now().await;
}

/// not done in time
#[derive(Copy, Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub struct TimedOut;

impl std::error::Error for TimedOut {}

impl From<TimedOut> for io::Error {
    fn from(error: TimedOut) -> Self {
        Self::new(io::ErrorKind::TimedOut, error)
    }
}

/// Does some work for a limited time.
///
/// # Errors
/// When it was not done in time, and nothing that had arrived by then completed it.
pub async fn timeout<T>(duration: Duration, work: impl Future<Output = T>) -> Result<T, TimedOut> {
    tokio::select! {
        biased;
        output = work => Ok(output),
        () = sleep(duration) => Err(TimedOut),
    }
}
