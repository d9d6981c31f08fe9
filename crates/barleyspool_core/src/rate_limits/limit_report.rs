//! What the head of an answer says of its target's limit.

/// What the head of an answer says of its target's limit.
#[derive(Copy, Clone, Debug, Default, PartialEq)]
pub enum LimitReport {
    /// It names none, which ends one that was named before.
    #[default]
    None,
    /// The calls a second that it takes from all nodes together; finite and not negative.
    PerSecond(f64),
    /// It names one that cannot be read: what was known before stands.
    Unreadable,
}

impl LimitReport {
    /// The word for a number that stood in an answer.
    pub fn of(per_s: f64) -> Self {
        if per_s.is_finite() && per_s >= 0.0 {
            Self::PerSecond(per_s)
        } else {
            Self::Unreadable
        }
    }
}
