//! A suspended machine: the steady clock stands still, the one that counts from the start of the machine goes on.
//!
//! Seen on no deployment yet; it is what the platform says may happen. A node that was suspended for 10 s went on with the
//! clock that stood still: calls whose time had passed were held on for as long as they had left, and everything it
//! knew passed for 10 s younger than it was. No test can suspend the machine it runs on, so these hand the two clocks in.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a test stops where it fails"
)]

use barleyspool_core::Span;
use barleyspool_wire::{Clock, monotonic_time, time_since_boot, timer};
use std::cell::Cell;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::Mutex;

/// How long after a suspension a call whose time is over has to be answered.
const SOON: Duration = Duration::from_millis(500);
const SLEPT: Duration = Duration::from_secs(10);

/// Runs `work` on a thread of a daemon whose machine is suspended for [`SLEPT`] after 300 ms. Tells how long it took.
async fn beside_a_suspension<T>(work: impl Future<Output = T>) -> (T, Duration) {
    // A suspension ends the waits of all threads of a process, those of other tests too.
    static ONE_MACHINE: Mutex<()> = Mutex::const_new(());
    let _suspended = ONE_MACHINE.lock().await;
    let slept = Cell::new(Duration::ZERO);
    let suspend = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        slept.set(SLEPT);
        std::future::pending::<()>().await;
    };
    let watch = timer::watch_suspensions(|| slept.get(), |noted| assert_eq!(noted, SLEPT));
    let began = Instant::now();
    tokio::select! {
        done = work => (done, began.elapsed()),
        () = watch => unreachable!("it looks for ever"),
        () = suspend => unreachable!("it waits for ever"),
    }
}

#[tokio::test]
async fn a_wait_that_is_over_after_a_suspension_ends_soon() {
    let ((), took) = beside_a_suspension(timer::sleep(Duration::from_secs(5))).await;
    assert!(took < Duration::from_millis(300) + SOON, "{took:?}");
    let never = std::future::pending::<()>();
    let (done, took) = beside_a_suspension(timer::timeout(Duration::from_secs(5), never)).await;
    assert_eq!(done, Err(timer::TimedOut));
    assert!(took < Duration::from_millis(300) + SOON, "{took:?}");
}

#[tokio::test]
async fn a_wait_that_is_not_over_goes_on_for_what_is_left() {
    let ((), took) = beside_a_suspension(timer::sleep(SLEPT + Duration::from_millis(1500))).await;
    assert!(took >= Duration::from_millis(1500), "{took:?}");
    assert!(took < Duration::from_millis(1500) + SOON, "{took:?}");
}

/// What a machine's clock shows that was suspended for a while; set by the test below.
static SUSPENDED_MS: AtomicU64 = AtomicU64::new(0);

fn suspended_clock() -> Duration {
    monotonic_time() + Duration::from_millis(SUSPENDED_MS.load(Ordering::Relaxed))
}

#[test]
fn the_clock_counts_a_suspension() {
    let clock = Clock::with_time_source(suspended_clock);
    let before = clock.now();
    SUSPENDED_MS.store(10_000, Ordering::Relaxed);
    assert!(clock.now().since(before) >= Span::from_secs(10));
}

/// Both clocks of this machine count on, and the one that the daemons use is never behind the other.
#[test]
fn the_clock_of_the_machine_counts_on() {
    let (boot, awake) = (time_since_boot(), monotonic_time());
    std::thread::sleep(Duration::from_millis(20));
    assert!(time_since_boot() >= boot + Duration::from_millis(20));
    assert!(monotonic_time() >= awake + Duration::from_millis(20));
    assert!(time_since_boot() + Duration::from_millis(1) >= monotonic_time());
}
