//! What two tries of the same call have in common.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A mark of what a call asks for, and for whom: the same each time that its caller sends it, whatever its id and its node.
///
/// It is 64 bits of a hash. Only calls under which targets have ended are looked up by it, a few thousand at the most, so that
/// one other call in some 10^15 is taken for one of them.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallFingerprint(pub u64);

impl CallFingerprint {
    /// The print of a call with these parts, in order: what it asks for, its organisation, and its body.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            // With its length, so that no two lists of parts look alike.
            hasher.update(&(part.len() as u64).to_le_bytes()).update(part);
        }
        let mut bytes = [0; 8];
        hasher.finalize_xof().fill(&mut bytes);
        Self(u64::from_le_bytes(bytes))
    }
}

/// As it stands in log lines.
impl fmt::Display for CallFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
