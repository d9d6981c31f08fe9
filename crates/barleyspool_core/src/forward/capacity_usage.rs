//! What the capacity for results of the targets of a pool is used for.

use super::PieceQueue;
use super::result_store::StoredResult;
use crate::Time;

/// Why a target holds a result.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub(super) enum Holding {
    /// Other pieces of its order are not computed yet.
    #[default]
    Collecting,
    /// Its request reads it, or has yet to.
    InUse,
    /// It is not needed any more, and its holder has not confirmed that it is freed.
    Releasing,
}

/// The size of the results that are held for one reason, in bytes, and their total age in byte-milliseconds.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub struct HeldCapacity {
    /// The size of the results.
    pub bytes: u64,
    /// The sum over all results of their size times the time for which they have been held, in milliseconds.
    byte_ms: u64,
}

impl HeldCapacity {
    fn add(&mut self, now: Time, result: &StoredResult) {
        self.bytes += result.bytes;
        self.byte_ms += result.bytes * now.since(result.since).as_millis();
    }

    /// The mean time for which the results have been held for this reason, in milliseconds.
    pub fn mean_age_ms(&self) -> u64 {
        self.byte_ms.checked_div(self.bytes).unwrap_or(0)
    }
}

/// What the capacity for results of the targets of a pool is used for.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub struct CapacityUsage {
    /// The capacity of all targets, in bytes.
    pub capacity: u64,
    /// Capacity reserved for calls in flight, in bytes.
    pub reserved: u64,
    /// Results of orders of which other pieces are not computed yet.
    pub collecting: HeldCapacity,
    /// Results that their requests read or have yet to read.
    pub in_use: HeldCapacity,
    /// Results that are not needed any more and not freed yet.
    pub releasing: HeldCapacity,
}

impl CapacityUsage {
    /// The capacity that is used for anything, in bytes.
    pub fn used(&self) -> u64 {
        self.reserved + self.collecting.bytes + self.in_use.bytes + self.releasing.bytes
    }

    fn add(&mut self, now: Time, result: &StoredResult) {
        let held = match result.holding {
            Holding::Collecting => &mut self.collecting,
            Holding::InUse => &mut self.in_use,
            Holding::Releasing => &mut self.releasing,
        };
        held.add(now, result);
    }
}

impl PieceQueue {
    /// What the capacity of the targets is used for.
    pub fn capacity_usage(&self, now: Time) -> CapacityUsage {
        let owned = self.targets.values().filter(|target| target.owned);
        let mut usage = CapacityUsage {
            capacity: owned.count() as u64 * self.spec.result_capacity,
            reserved: self.calls.values().map(|call| call.reserved).sum(),
            ..CapacityUsage::default()
        };
        for result in self.results.values().filter(|result| result.bytes > 0) {
            usage.add(now, result);
        }
        usage
    }
}
