//! Waiting that lets go first what has already arrived.
//!
//! A process that is paused and goes on finds its timers run out before it has looked at its sockets: the operating system
//! interrupts the wait for events without telling any. Whatever acts on a time-out at once takes calls and answers for missing that lie in the kernel.

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
