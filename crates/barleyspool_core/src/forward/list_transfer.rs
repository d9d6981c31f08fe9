//! Transfers of whole target lists between nodes: which node to request the list from, and how many transfers
//! a node serves at once.

use crate::{Span, Time};
use rand::Rng;
use rand::seq::IteratorRandom;

/// Bandwidth from which a link counts as fast, in Mbit/s. It carries a list of some hundred KB in about 10
/// ms.
const FAST_MBPS: u32 = 100;
/// Link bandwidth per concurrent transfer, in Mbit/s. A slow link serves transfers one after the other, so
/// that the first receiver can pass the list on while the second one receives it.
const MBPS_PER_TRANSFER: u32 = 20;
/// Maximum number of concurrent transfers on any link; each one takes some milliseconds of CPU time.
const MAX_TRANSFERS: usize = 8;
/// Time after which a transfer no longer counts: it has finished, or its receiver is gone.
const TRANSFER_TIMEOUT: Span = Span::from_millis(1000);

/// How long a node with a slow link leaves holders in other zones to nodes with fast links. Those receive the
/// list within some tens of milliseconds and pass it on to many nodes at once, while receivers with slow
/// links would occupy the first holder for ten times as long.
const OTHER_ZONES_DELAY: Span = Span::from_millis(300);

/// A node that has no target list and requests one.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub struct ListRequester {
    /// Bandwidth of its link, in Mbit/s.
    pub link_mbps: u32,
    /// Time since it learned that other nodes have a list.
    pub waited: Span,
}

impl ListRequester {
    /// Whether it may request the list from nodes in other zones.
    pub fn may_ask_other_zones(&self) -> bool {
        self.link_mbps >= FAST_MBPS || self.waited >= OTHER_ZONES_DELAY
    }
}

/// A node that has newer data, as seen by the requesting node.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub struct ListHolder<A> {
    /// Its address.
    pub address: A,
    /// Whether it recently failed to answer or was busy.
    pub avoided: bool,
    /// Whether it is in another zone than the requesting node.
    pub other_zone: bool,
    /// Bandwidth of its link, in Mbit/s.
    pub link_mbps: u32,
}

/// Picks a random node among those that are best to request from: available ones first, then those in the
/// same zone, then those with a fast link. Traffic between zones is charged for, and transfers over slow
/// links dominate the start-up time of a fleet.
pub fn choose_list_holder<A>(
    holders: impl Iterator<Item = ListHolder<A>>,
    random: &mut impl Rng,
) -> Option<A> {
    let cost = |holder: &ListHolder<A>| (holder.avoided, holder.other_zone, holder.link_mbps < FAST_MBPS);
    let holders: Vec<ListHolder<A>> = holders.collect();
    let best = holders.iter().map(cost).min()?;
    let preferred = holders.into_iter().filter(|holder| cost(holder) == best);
    preferred.map(|holder| holder.address).choose(random)
}

/// Identifies an active transfer.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub struct TransferKey(u64);

/// Limits the concurrent transfers of whole lists that a node serves.
///
/// When a fleet starts, all nodes of a zone request the list from the first node that has it. Served all at
/// once, every transfer would finish only with the last one. Served a few at a time, the receivers pass the
/// list on, and the number of nodes that have it doubles with the duration of each transfer.
#[derive(Clone, Debug)]
pub struct ListTransfers {
    /// Maximum number of concurrent transfers.
    limit: usize,
    /// Active transfers, with the time until which each counts.
    active: Vec<(TransferKey, Time)>,
    next: u64,
}

impl ListTransfers {
    /// Creates the limiter of a node whose link has a bandwidth of `mbps` Mbit/s.
    pub fn new(mbps: u32) -> Self {
        let limit = (mbps / MBPS_PER_TRANSFER) as usize;
        Self {
            limit: limit.clamp(1, MAX_TRANSFERS),
            active: Vec::new(),
            next: 0,
        }
    }

    /// Admits a transfer if the link has capacity for it. It counts until [`Self::finish`] is called with the
    /// returned key, but for one second at most.
    pub fn admit(&mut self, now: Time) -> Option<TransferKey> {
        self.active.retain(|(_, until)| *until > now);
        if self.active.len() >= self.limit {
            return None;
        }
        self.next += 1;
        let key = TransferKey(self.next);
        self.active.push((key, now + TRANSFER_TIMEOUT));
        Some(key)
    }

    /// Ends a transfer, because it is complete or its receiver is gone.
    pub fn finish(&mut self, key: TransferKey) {
        self.active.retain(|(other, _)| *other != key);
    }
}
