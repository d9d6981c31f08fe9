//! The rate limit in the header of an answer.

/// The rate limit in the header of an answer.
#[derive(Copy, Clone, Debug, Default, PartialEq)]
pub enum LimitReport {
    /// No limit, which removes one that was reported before.
    #[default]
    None,
    /// The calls per second that the target accepts from all nodes together; finite and not negative.
    PerSecond(f64),
    /// A limit that cannot be parsed; a limit that was known before stays.
    Unreadable,
}

impl LimitReport {
    /// Returns the report for the number in an answer.
    pub fn of(per_s: f64) -> Self {
        if per_s.is_finite() && per_s >= 0.0 {
            Self::PerSecond(per_s)
        } else {
            Self::Unreadable
        }
    }
}
