//! Resource usage of a process as reported by `/proc`, for measurements.

use std::time::Duration;

/// Size of the memory pages that `/proc` counts.
const PAGE_BYTES: u64 = 4096;
/// Length of a clock tick in `/proc`.
const TICK_MS: u64 = 10;

/// Resident memory of a process in bytes, or zero if the process does not exist.
pub fn resident_bytes(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/statm")).unwrap_or_default();
    text.split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or_default()
        * PAGE_BYTES
}

/// CPU time of a process, in user mode and in the kernel.
pub fn cpu_time(pid: u32) -> Duration {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields = text.rsplit(')').next().unwrap_or_default();
    // The 12th and 13th fields after the process name are utime and stime.
    let ticks: u64 = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<u64>().ok())
        .sum();
    Duration::from_millis(ticks * TICK_MS)
}
