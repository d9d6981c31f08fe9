//! Identifiers: small `Copy` keys of nodes, targets, revisions and the entries of arenas.

use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! id {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(Copy, Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

id!(
    /// Number of an entry node on the fleet list.
    NodeId(u32)
);
id!(
    /// Number of a target on the fleet list.
    TargetId(u32)
);
id!(
    /// Number of a cell: the entry nodes that vote for each other's leases. See docs/DESIGN.md, "Cells".
    CellId(u16)
);
id!(
    /// A revision of the configuration service or of the fleet list. It only increases.
    ///
    /// A source that is restored from a backup assigns the same numbers again. Each restore therefore starts a
    /// new era, and every revision of an era is newer than all revisions of earlier eras.
    Revision(u64)
);

/// Number of low bits of a [`Revision`] that hold its number within its era.
const NUMBER_BITS: u32 = 48;

impl Revision {
    /// The revision `number` of `era`.
    pub const fn in_era(era: u16, number: u64) -> Self {
        Self((era as u64) << NUMBER_BITS | number & ((1 << NUMBER_BITS) - 1))
    }

    /// Its era.
    pub const fn era(self) -> u16 {
        (self.0 >> NUMBER_BITS) as u16
    }

    /// Its number within its era.
    pub const fn number(self) -> u64 {
        self.0 & ((1 << NUMBER_BITS) - 1)
    }
}
id!(
    /// The last fleet-list revision that changed the set of entry nodes of a cell.
    Epoch(u64)
);
id!(
    /// Identifies one incarnation of a process by its start time, in microseconds since the Unix epoch. In
    /// the membership table a node also raises its incarnation while it runs, to refute a report that it is
    /// unhealthy or has a later incarnation: the new value is that of the report plus one.
    Incarnation(u64)
);
id!(
    /// Index of a pipeline in [`crate::Config::pipelines`].
    PipelineIx(u16)
);
id!(
    /// Index of a service in [`crate::Config::services`].
    ServiceIx(u16)
);
id!(
    /// Index of an organisation in [`crate::Config::organisations`].
    OrgIx(u32)
);
id!(
    /// Index of a class in [`crate::Config::classes`]; 0 is the most important.
    ClassIx(u8)
);
id!(
    /// An open `Run` stream of a caller on this node.
    CallerId(u64)
);

/// Identifies a request: a hash of the organisation and the caller's key.
///
/// Equal keys of two organisations do not collide, and neither can request the other's answer.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestKey(pub u128);

impl RequestKey {
    /// Hashes the caller's `key` together with its `organisation`.
    ///
    /// ```
    /// use barleyspool_core::RequestKey;
    /// assert_ne!(RequestKey::new("ministry", "17"), RequestKey::new("software-house", "17"));
    /// ```
    pub fn new(organisation: &str, key: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&(organisation.len() as u64).to_le_bytes());
        hasher.update(organisation.as_bytes());
        hasher.update(key.as_bytes());
        let mut bytes = [0; 16];
        hasher.finalize_xof().fill(&mut bytes);
        Self(u128::from_le_bytes(bytes))
    }
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

slotmap::new_key_type! {
    /// A request in progress on this node.
    pub struct RequestId;
    /// One attempt to run a step of a request at a target.
    pub struct AttemptId;
}
