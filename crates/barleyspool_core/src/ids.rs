//! Small `Copy` keys for the things that the core keeps in arenas or hears of from outside.

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
    /// An entry node, as the fleet list numbers it.
    NodeId(u32)
);
id!(
    /// A target, as the fleet list numbers it.
    TargetId(u32)
);
id!(
    /// A cell: the entry nodes that confirm each other's leases. See docs/DESIGN.md, "Cells".
    CellId(u16)
);
id!(
    /// A revision of the configuration service or of the fleet list. It only moves up.
    ///
    /// A source that comes back from an older copy of itself gives out its numbers again; each time it enters a later era, and every revision of a
    /// later era is newer than all of the eras before.
    Revision(u64)
);

/// The bits of a [`Revision`] that hold its number in its era.
const NUMBER_BITS: u32 = 48;

impl Revision {
    /// The revision of that number in an era.
    pub const fn in_era(era: u16, number: u64) -> Self {
        Self((era as u64) << NUMBER_BITS | number & ((1 << NUMBER_BITS) - 1))
    }

    /// Its era.
    pub const fn era(self) -> u16 {
        (self.0 >> NUMBER_BITS) as u16
    }

    /// Its number in its era.
    pub const fn number(self) -> u64 {
        self.0 & ((1 << NUMBER_BITS) - 1)
    }
}
id!(
    /// The last fleet-list revision that changed the set of entry nodes of a cell.
    Epoch(u64)
);
id!(
    /// Tells one run of a process from the next: its start, in microseconds of the Unix epoch.
    Incarnation(u64)
);
id!(
    /// The place of a pipeline in [`crate::Config::pipelines`].
    PipelineIx(u16)
);
id!(
    /// The place of a service in [`crate::Config::services`].
    ServiceIx(u16)
);
id!(
    /// The place of an organisation in [`crate::Config::organisations`].
    OrgIx(u32)
);
id!(
    /// The place of a class in [`crate::Config::classes`]; 0 is the most important.
    ClassIx(u8)
);
id!(
    /// A caller's open `Run` stream on this node.
    CallerId(u64)
);

/// A request's key: the organisation and the caller's key, hashed.
///
/// Two organisations that choose the same key do not meet, and neither can ask for the other's answer.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestKey(pub u128);

impl RequestKey {
    /// The key of `key` as `organisation` uses it.
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
    /// A request that this node is working on.
    pub struct RequestId;
    /// One send of one step of a request to a target.
    pub struct AttemptId;
}
