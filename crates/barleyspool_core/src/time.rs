//! Points in time and durations with microsecond resolution.
//!
//! The core has no clock: its caller passes the current time to each step. See docs/DESIGN.md, "Time".

use serde::{Deserialize, Serialize};
use std::ops::{Add, AddAssign, Sub};

/// A point in time, in microseconds since the Unix epoch.
///
/// The daemons read the wall clock once at startup and add a monotonic clock to it, so time never goes
/// backwards within a process. [`crate::LeaseRules::skew`] bounds the difference between two processes.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Time(pub u64);

/// A duration in microseconds.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Span(pub u64);

impl Time {
    /// The point in time `ms` milliseconds after the Unix epoch.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms.saturating_mul(1_000))
    }

    /// Milliseconds since the Unix epoch, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// The time elapsed since `earlier`; zero if `earlier` is in the future.
    pub const fn since(self, earlier: Self) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Span {
    /// The empty duration.
    pub const ZERO: Self = Self(0);

    /// A duration of `ms` milliseconds.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms.saturating_mul(1_000))
    }

    /// A duration of `s` seconds.
    pub const fn from_secs(s: u64) -> Self {
        Self(s.saturating_mul(1_000_000))
    }

    /// Whole milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Whole milliseconds, rounded up, so that a short wait is not reported as zero.
    pub const fn ceil_millis(self) -> u64 {
        self.0.div_ceil(1_000)
    }

    /// Seconds as a floating-point number.
    pub fn as_secs(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// This duration multiplied by `factor`; a negative factor counts as zero.
    pub fn scale(self, factor: f64) -> Self {
        Self((self.0 as f64 * factor.max(0.0)) as u64)
    }
}

impl Add<Span> for Time {
    type Output = Self;
    fn add(self, span: Span) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Time {
    type Output = Self;
    fn sub(self, span: Span) -> Self {
        Self(self.0.saturating_sub(span.0))
    }
}

impl Add for Span {
    type Output = Self;
    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Span {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}
