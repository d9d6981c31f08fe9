//! What bounds every wait of a call: its deadline, and the time at which a planned stop aborts calls.

use super::Traffic;
use super::callers::duration;
use super::stopping;
use barleyspool_core::Time;
use barleyspool_wire::timer;

/// Why the work on a call ended before it was done.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Interruption {
    /// The deadline of the call passed.
    DeadlinePassed,
    /// The stopping node aborted it.
    Stopped,
}

/// Does work for a call until it is done, the deadline of the call passes, or a planned stop aborts calls.
///
/// Everything that a call waits for runs inside of this: a single wait outside would keep the call open for as long as the
/// other side is silent. When the caller leaves, the future is dropped.
///
/// # Errors
/// What interrupted the work.
pub async fn bounded<T>(
    traffic: &Traffic,
    deadline: Time,
    work: impl Future<Output = T>,
) -> Result<T, Interruption> {
    let left = duration(deadline.since(traffic.now()));
    tokio::select! {
        // An answer that is ready is delivered even after the deadline.
        biased;
        done = work => Ok(done),
        () = timer::sleep(left) => Err(Interruption::DeadlinePassed),
        () = stopping::wait_for_abort(traffic) => Err(Interruption::Stopped),
    }
}
