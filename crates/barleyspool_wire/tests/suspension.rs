//! Timeouts and the clock during a suspension of the machine: `CLOCK_MONOTONIC` stops, `CLOCK_BOOTTIME` advances.
//!
//! This has not been observed in a deployment yet; the platform documents it as possible. With the clock that stops,
//! a node that was suspended for 10 s held calls past their deadlines for the rest of their timeouts, and treated all
//! its information as 10 s younger than it was. A test cannot suspend its machine, so these pass in the clocks.

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

/// How long after a suspension a call whose deadline has passed must be answered.
const MAX_DELAY: Duration = Duration::from_millis(500);
/// The duration of the simulated suspension.
const SUSPENSION_DURATION: Duration = Duration::from_secs(10);

/// Runs `work` while a suspension of the machine for [`SUSPENSION_DURATION`] is simulated after 300 ms. Returns the result and
/// the elapsed time.
async fn run_during_suspension<T>(work: impl Future<Output = T>) -> (T, Duration) {
    // A suspension wakes the waits of all threads of the process, including those of other tests.
    static SUSPENSION_LOCK: Mutex<()> = Mutex::const_new(());
    let _guard = SUSPENSION_LOCK.lock().await;
    let suspended_time = Cell::new(Duration::ZERO);
    let suspend = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        suspended_time.set(SUSPENSION_DURATION);
        std::future::pending::<()>().await;
    };
    let watch = timer::watch_suspensions(
        || suspended_time.get(),
        |duration| assert_eq!(duration, SUSPENSION_DURATION),
    );
    let started = Instant::now();
    tokio::select! {
        output = work => (output, started.elapsed()),
        () = watch => unreachable!("it runs for ever"),
        () = suspend => unreachable!("it waits for ever"),
    }
}

#[tokio::test]
async fn waits_that_expired_during_a_suspension_end_soon_after_it() {
    let ((), elapsed) = run_during_suspension(timer::sleep(Duration::from_secs(5))).await;
    assert!(elapsed < Duration::from_millis(300) + MAX_DELAY, "{elapsed:?}");
    let pending = std::future::pending::<()>();
    let (output, elapsed) = run_during_suspension(timer::timeout(Duration::from_secs(5), pending)).await;
    assert_eq!(output, Err(timer::TimedOut));
    assert!(elapsed < Duration::from_millis(300) + MAX_DELAY, "{elapsed:?}");
}

#[tokio::test]
async fn a_wait_that_has_not_expired_lasts_for_its_remaining_time() {
    let ((), elapsed) =
        run_during_suspension(timer::sleep(SUSPENSION_DURATION + Duration::from_millis(1500))).await;
    assert!(elapsed >= Duration::from_millis(1500), "{elapsed:?}");
    assert!(elapsed < Duration::from_millis(1500) + MAX_DELAY, "{elapsed:?}");
}

/// The suspended time that [`suspended_clock`] includes; set by the test below.
static SUSPENDED_MS: AtomicU64 = AtomicU64::new(0);

fn suspended_clock() -> Duration {
    monotonic_time() + Duration::from_millis(SUSPENDED_MS.load(Ordering::Relaxed))
}

#[test]
fn the_clock_includes_suspensions() {
    let clock = Clock::with_time_source(suspended_clock);
    let before = clock.now();
    SUSPENDED_MS.store(10_000, Ordering::Relaxed);
    assert!(clock.now().since(before) >= Span::from_secs(10));
}

/// Both clocks of this machine advance, and the one that the daemons use is never behind the other.
#[test]
fn both_machine_clocks_advance() {
    let (boot_before, monotonic_before) = (time_since_boot(), monotonic_time());
    std::thread::sleep(Duration::from_millis(20));
    assert!(time_since_boot() >= boot_before + Duration::from_millis(20));
    assert!(monotonic_time() >= monotonic_before + Duration::from_millis(20));
    assert!(time_since_boot() + Duration::from_millis(1) >= monotonic_time());
}
