//! The clock of the daemons.

use barleyspool_core::Time;
use nix::time::{ClockId, clock_gettime};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The wall-clock time at the start of the process, plus the time elapsed since then.
///
/// Within a process the time never goes back, even when the wall clock is set. It advances while the process is
/// stopped and while the machine is suspended, so that a process that resumes late knows how late it is.
/// `CLOCK_MONOTONIC` does not advance during a suspension: with it, a node that had been suspended for seconds
/// treated outdated information as fresh.
#[derive(Copy, Clone, Debug)]
pub struct Clock {
    started_at: Time,
    source_at_start: Duration,
    time_source: fn() -> Duration,
}

impl Clock {
    /// Starts a clock at the current wall-clock time.
    pub fn start() -> Self {
        Self::with_time_source(time_since_boot)
    }

    /// Starts a clock that measures the elapsed time by `time_source`, which must never go back.
    pub fn with_time_source(time_source: fn() -> Duration) -> Self {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            started_at: Time(wall.as_micros() as u64),
            source_at_start: time_source(),
            time_source,
        }
    }

    /// The current time.
    pub fn now(&self) -> Time {
        let elapsed = (self.time_source)().saturating_sub(self.source_at_start);
        Time(self.started_at.0 + elapsed.as_micros() as u64)
    }

    /// The wall-clock time at which the clock was started.
    pub fn started_at(&self) -> Time {
        self.started_at
    }
}

/// The time since the machine was booted, including suspensions.
///
/// # Panics
/// When the operating system has no `CLOCK_BOOTTIME`. Linux has it since 2.6.39, and it needs no privilege.
pub fn time_since_boot() -> Duration {
    read_clock(ClockId::CLOCK_BOOTTIME)
}

/// The time since the machine was booted, excluding suspensions. [`std::time::Instant`] uses the same clock.
///
/// # Panics
/// When the operating system has no `CLOCK_MONOTONIC`.
pub fn monotonic_time() -> Duration {
    read_clock(ClockId::CLOCK_MONOTONIC)
}

fn read_clock(clock: ClockId) -> Duration {
    // Without a clock the process cannot run, and no substitute value is safe.
    #[expect(clippy::expect_used, reason = "neither clock can be missing")]
    let time = clock_gettime(clock).expect("the clock is readable");
    Duration::from(time)
}
