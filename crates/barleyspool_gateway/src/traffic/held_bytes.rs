//! Accounts for the memory of this node that the bodies of calls and answers use.

use super::Traffic;
use std::rc::Rc;

/// Counts bytes as held until it is dropped, however the call ends.
pub struct HeldBytes {
    traffic: Rc<Traffic>,
    bytes: u64,
}

impl HeldBytes {
    /// Starts to count `bytes` as held.
    pub fn new(traffic: &Rc<Traffic>, bytes: usize) -> Self {
        let bytes = bytes as u64;
        let held = &traffic.held_bytes;
        held.set(held.get() + bytes);
        Self {
            traffic: Rc::clone(traffic),
            bytes,
        }
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        let held = &self.traffic.held_bytes;
        held.set(held.get() - self.bytes);
    }
}
