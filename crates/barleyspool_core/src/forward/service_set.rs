//! A small set of services.

use crate::rendezvous;
use serde::{Deserialize, Serialize};

/// The number of bits that stand for one service.
const BITS_PER_SERVICE: u32 = 4;
/// The number of bits of a hash that select one bit of a set.
const INDEX_BITS: u32 = 7;

/// A set of services as a Bloom filter, so that nodes can exchange it in a few bytes.
///
/// It contains every service that was inserted. It also appears to contain another one with a probability of one in
/// 65,000 when it holds two services, and of one in 1,700 when it holds five.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSet(u64, u64);

impl ServiceSet {
    /// Adds a service.
    pub fn insert(&mut self, service: &str) {
        let bits = Self::bits(service);
        self.0 |= bits.0;
        self.1 |= bits.1;
    }

    /// Whether the set contains the service.
    pub fn contains(self, service: &str) -> bool {
        let bits = Self::bits(service);
        self.0 & bits.0 == bits.0 && self.1 & bits.1 == bits.1
    }

    /// Whether the set contains no service.
    pub const fn is_empty(self) -> bool {
        self.0 == 0 && self.1 == 0
    }

    fn bits(service: &str) -> Self {
        let hash = rendezvous::text_key(service);
        let index = |number: u32| (hash >> (number * INDEX_BITS)) % (1 << INDEX_BITS);
        let bits = (0..BITS_PER_SERVICE).fold(0, |bits: u128, number| bits | (1 << index(number)));
        Self(bits as u64, (bits >> u64::BITS) as u64)
    }
}

impl<'a> FromIterator<&'a str> for ServiceSet {
    fn from_iter<T: IntoIterator<Item = &'a str>>(services: T) -> Self {
        let mut set = Self::default();
        services.into_iter().for_each(|service| set.insert(service));
        set
    }
}
