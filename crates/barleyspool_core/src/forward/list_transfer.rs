//! Which node is asked for a whole list of targets, and how many a node hands out at once.

use crate::{Span, Time};
use rand::Rng;
use rand::seq::IteratorRandom;

/// A link that carries a list of some hundred KB in a hundredth of a second, in Mbit/s.
const STRONG_MBPS: u32 = 100;
/// Mbit/s of a node's link for each whole list that it hands out at once. One after the other, the first taker hands it on while the second one takes it.
const MBPS_PER_LIST: u32 = 20;
/// Whole lists at once on any link; each one takes some milliseconds of processor time.
const MOST_AT_ONCE: usize = 8;
/// After this time a list counts as taken, or its taker as gone.
const TAKEN_WITHIN: Span = Span::from_millis(1000);

/// How long a node with a weak link leaves holders in other zones to nodes with strong ones. These have the list within some hundredths of a second, and
/// hand it on to many at once; takers with weak links would keep the first holder busy for ten times as long.
const FAR_WAIT: Span = Span::from_millis(300);

/// A node that has no list and asks for one.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub struct ListRequester {
    /// Its link, in Mbit/s.
    pub link_mbps: u32,
    /// How long it has known that others have a list.
    pub waited: Span,
}

impl ListRequester {
    /// Whether it asks nodes of other zones.
    pub fn may_ask_other_zones(&self) -> bool {
        self.link_mbps >= STRONG_MBPS || self.waited >= FAR_WAIT
    }
}

/// A node that has something newer, as the one that asks sees it.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub struct ListHolder<A> {
    /// Whom to ask.
    pub address: A,
    /// Whether it did not answer lately, or was busy.
    pub avoided: bool,
    /// Whether it is in another zone.
    pub far: bool,
    /// Its link, in Mbit/s.
    pub link_mbps: u32,
}

/// Picks the node to ask. Bytes between zones cost, and a weak link that hands out lists is the slowest part of a start.
pub fn choose_list_holder<A>(
    holders: impl Iterator<Item = ListHolder<A>>,
    random: &mut impl Rng,
) -> Option<A> {
    let rank = |holder: &ListHolder<A>| (holder.avoided, holder.far, holder.link_mbps < STRONG_MBPS);
    let holders: Vec<ListHolder<A>> = holders.collect();
    let best = holders.iter().map(rank).min()?;
    let of_best = holders.into_iter().filter(|holder| rank(holder) == best);
    of_best.map(|holder| holder.address).choose(random)
}

/// One list that is being handed out.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub struct TransferKey(u64);

/// The whole lists that a node is handing out.
///
/// When a fleet starts, all nodes of a zone ask the first one that has the list. Handed out to all at once, none would be through before the
/// last; handed out to a few, these hand it on, and the number of nodes that have it doubles with each time that one takes.
#[derive(Clone, Debug)]
pub struct ListTransfers {
    most: usize,
    under_way: Vec<(TransferKey, Time)>,
    next: u64,
}

impl ListTransfers {
    /// A node with a link of `mbps`.
    pub fn new(mbps: u32) -> Self {
        let most = (mbps / MBPS_PER_LIST) as usize;
        Self {
            most: most.clamp(1, MOST_AT_ONCE),
            under_way: Vec::new(),
            next: 0,
        }
    }

    /// Admits one more, if the link bears it now. It counts until [`Self::taken`] is called with what is returned, and for a second at the most.
    pub fn admit(&mut self, now: Time) -> Option<TransferKey> {
        self.under_way.retain(|(_, until)| *until > now);
        if self.under_way.len() >= self.most {
            return None;
        }
        self.next += 1;
        let key = TransferKey(self.next);
        self.under_way.push((key, now + TAKEN_WITHIN));
        Some(key)
    }

    /// A list was taken, or its taker has gone.
    pub fn taken(&mut self, key: TransferKey) {
        self.under_way.retain(|(other, _)| *other != key);
    }
}
