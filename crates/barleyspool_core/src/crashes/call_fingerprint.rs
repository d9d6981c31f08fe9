//! The fingerprint that all tries of a call share.

use crate::rendezvous;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A hash of the content and the organisation of a call: the same whenever its caller sends it, whatever
/// its id and the node.
///
/// It has 64 bits. Only calls during which targets crashed are looked up by it, a few thousand at most, so
/// that one in some 10^15 other calls is mistaken for one of them.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallFingerprint(pub u64);

impl CallFingerprint {
    /// Returns the fingerprint of a call with these parts, in order: what it asks for, its organisation and
    /// its body.
    pub fn of(parts: &[&[u8]]) -> Self {
        Self(rendezvous::parts_key(parts))
    }
}

/// The form in log lines.
impl fmt::Display for CallFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
