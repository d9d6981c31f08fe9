//! What the operating system says of a process, for measurements.

use std::time::Duration;

/// The size of a page in `/proc`, in bytes.
const PAGE_BYTES: u64 = 4096;
/// Milliseconds of a clock tick in `/proc`.
const TICK_MS: u64 = 10;

/// The memory that a process has in use, in bytes; zero when there is no such process.
pub fn resident_bytes(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/statm")).unwrap_or_default();
    text.split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or_default()
        * PAGE_BYTES
}

/// The processor time of a process, its own and the system's on its behalf.
pub fn cpu_time(pid: u32) -> Duration {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields = text.rsplit(')').next().unwrap_or_default();
    // Of the fields after the name, the 12th and 13th are the times.
    let ticks: u64 = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<u64>().ok())
        .sum();
    Duration::from_millis(ticks * TICK_MS)
}
