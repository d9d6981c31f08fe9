//! The key of a software version.

use crate::rendezvous;
use serde::{Deserialize, Serialize};

/// A hash of a service and a version of the software of its targets.
///
/// Versions of two services never match, since a stream of one service cannot go on at another either.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VersionId(pub u64);

impl VersionId {
    /// Returns the key of `version` of `service`.
    pub fn of(service: &str, version: &str) -> Self {
        Self(rendezvous::parts_key(&[service.as_bytes(), version.as_bytes()]))
    }
}
