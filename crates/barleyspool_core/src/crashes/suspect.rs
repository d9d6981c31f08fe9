//! What a target may have crashed of.

use super::CallFingerprint;
use crate::rendezvous;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The key of a part of a prompt at the targets of one service: a hash of both.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartId(pub u64);

impl PartId {
    /// Returns the key of the part with this id in prompts for `service`.
    pub fn of(service: &str, part: u64) -> Self {
        Self(rendezvous::parts_key(&[service.as_bytes(), &part.to_le_bytes()]))
    }
}

/// What may have crashed a target that was processing a call.
///
/// The order is that of suspicion: of two suspects with the same evidence, the narrower one comes first.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Suspect {
    /// The call, however often it is sent.
    Call(CallFingerprint),
    /// A part of its prompt, whatever else the prompts with it hold.
    Part(PartId),
}

impl Suspect {
    /// A hash that spreads the reports about suspects over the nodes that collect them.
    pub fn key(self) -> u64 {
        match self {
            Self::Call(fingerprint) => fingerprint.0,
            Self::Part(part) => part.0,
        }
    }
}

/// The form in log lines.
impl fmt::Display for Suspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Call(fingerprint) => write!(f, "call {fingerprint}"),
            Self::Part(part) => write!(f, "part {:016x}", part.0),
        }
    }
}
