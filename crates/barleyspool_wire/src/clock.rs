//! The daemons' clock.

use barleyspool_core::Time;
use nix::time::{ClockId, clock_gettime};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The wall clock as it was at start, plus the time since then.
///
/// Within a process time never goes back, whatever is done to the wall clock. It goes on while a process is stopped and while its
/// machine is suspended, so one that wakes up late sees how late it is: the steady clock alone stands still in a suspended
/// machine, and a node that was away for seconds took what it knew for fresh.
#[derive(Copy, Clone, Debug)]
pub struct Clock {
    started_at: Time,
    source_at_start: Duration,
    time_source: fn() -> Duration,
}

impl Clock {
    /// Reads the wall clock.
    pub fn start() -> Self {
        Self::with_time_source(time_since_boot)
    }

    /// The same with another way to tell how much time has passed, which never goes back.
    pub fn with_time_source(time_source: fn() -> Duration) -> Self {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            started_at: Time(wall.as_micros() as u64),
            source_at_start: time_source(),
            time_source,
        }
    }

    /// The time now.
    pub fn now(&self) -> Time {
        let elapsed = (self.time_source)().saturating_sub(self.source_at_start);
        Time(self.started_at.0 + elapsed.as_micros() as u64)
    }

    /// The time at which the clock was started.
    pub fn started_at(&self) -> Time {
        self.started_at
    }
}

/// The time since the machine was started, with that in which it was suspended.
///
/// # Panics
/// When the operating system has no such clock. Linux has it since 2.6.39, and refuses it to nobody.
pub fn time_since_boot() -> Duration {
    read_clock(ClockId::CLOCK_BOOTTIME)
}

/// The time since the machine was started, without that in which it was suspended: what the standard library counts.
///
/// # Panics
/// As [`time_since_boot`].
pub fn monotonic_time() -> Duration {
    read_clock(ClockId::CLOCK_MONOTONIC)
}

fn read_clock(clock: ClockId) -> Duration {
    // There is no time to go on with, and none that may be made up.
    #[expect(clippy::expect_used, reason = "neither clock can be missing")]
    let time = clock_gettime(clock).expect("the clock can be read");
    Duration::from(time)
}
