//! What is left of a batch call that is being put together.

use super::PoolSpec;

/// What is left of a batch call and of the capacity of its target.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(super) struct CallSpace {
    /// How many more pieces the call may carry.
    pub(super) pieces: u32,
    /// The capacity for their results, in bytes.
    pub(super) bytes: u64,
}

impl CallSpace {
    /// The space of an empty call to a target with `bytes` of free capacity.
    pub(super) fn new(spec: &PoolSpec, bytes: u64) -> Self {
        Self {
            pieces: spec.batch.max(1),
            bytes,
        }
    }

    /// Whether `pieces` whose results take `bytes` each fit.
    pub(super) fn fits(&self, pieces: u32, bytes: u64) -> bool {
        pieces <= self.pieces && self.has_capacity(pieces, bytes)
    }

    /// Whether there is capacity for the results of `pieces`, of `bytes` each, whatever the call may carry.
    pub(super) fn has_capacity(&self, pieces: u32, bytes: u64) -> bool {
        u64::from(pieces).saturating_mul(bytes) <= self.bytes
    }

    /// Takes the space of one piece whose result takes `bytes`. Returns false if there is none.
    pub(super) fn take(&mut self, bytes: u64) -> bool {
        let fits = self.fits(1, bytes);
        if fits {
            self.pieces -= 1;
            self.bytes -= bytes;
        }
        fits
    }
}
