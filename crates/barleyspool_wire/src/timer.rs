//! Waiting that lets go first what has already arrived.
//!
//! A process that is paused and goes on finds its timers run out before it has looked at its sockets: the operating system
//! interrupts the wait for events without telling any. Whatever acts on a time-out at once takes calls and answers for missing that lie in the kernel.

use std::io;
use std::time::Duration;
use tokio::time::Instant;

/// Sleeps, and then lets the sockets be read once.
///
/// In a `select!` the branch with the work goes first (`biased`), so that what was read decides.
pub async fn sleep(time: Duration) {
    sleep_until(Instant::now() + time).await;
}

/// The same until a point in time.
pub async fn sleep_until(due: Instant) {
    tokio::time::sleep_until(due).await;
    // The runtime looks at its sockets before it goes on with a task that has yielded.
    tokio::task::yield_now().await;
}

/// not done in time
#[derive(Copy, Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub struct TimeOver;

impl std::error::Error for TimeOver {}

impl From<TimeOver> for io::Error {
    fn from(over: TimeOver) -> Self {
        Self::new(io::ErrorKind::TimedOut, over)
    }
}

/// Does some work for a limited time.
///
/// # Errors
/// When it was not done in time, and nothing that had arrived by then completed it.
pub async fn timeout<T>(time: Duration, work: impl Future<Output = T>) -> Result<T, TimeOver> {
    tokio::select! {
        biased;
        done = work => Ok(done),
        () = sleep(time) => Err(TimeOver),
    }
}
