//! Which call an answer belongs to.

use serde::{Deserialize, Serialize};

/// Which call an answer belongs to, as far as the id in its header tells. On a connection that is reused, a target may send
/// a late answer to an earlier call in the place of the next one; only the id tells them apart.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum AnswerId {
    /// The answer names the call that was sent.
    Own,
    /// The answer names another call.
    Other,
    /// The answer names no call.
    Missing,
}

impl AnswerId {
    /// Compares the id in an answer with that of the call that was sent.
    pub fn of(answer: Option<&str>, call: &str) -> Self {
        match answer {
            Some(id) if id == call => Self::Own,
            Some(_) => Self::Other,
            None => Self::Missing,
        }
    }

    /// Whether a refusal with this id shows that the call that was sent did not run. One without an id may be a late refusal of
    /// an earlier request, unless the connection is new.
    pub const fn proves_refusal(self, reused: bool) -> bool {
        match self {
            Self::Own => true,
            Self::Other => false,
            Self::Missing => !reused,
        }
    }

    /// The stable name shown to operators.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Other => "other",
            Self::Missing => "missing",
        }
    }
}
