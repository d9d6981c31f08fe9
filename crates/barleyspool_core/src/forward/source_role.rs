//! Which nodes read the source, and whom they tell.
//!
//! Each node works this out for itself from the members that it knows; nobody has to agree. Where two nodes know
//! different members, one more or one fewer reads for a while, and [`super::SourceWatch`] has nodes read for
//! themselves that nobody tells anything. docs/DESIGN.md, "Configuration and targets", says what was weighed.

use crate::rendezvous;
use std::collections::BTreeMap;

/// How many nodes of a zone read the source: with one, a reader that is frozen or cut off is noticed only by its silence.
const READERS: usize = 2;
/// How many do at the most, while those before them cannot reach the source. An outage of the source fails for all of them,
/// and each call has a price.
const MOST_READERS: usize = 4;
/// Nodes with a link of this many Mbit/s read before others: a whole list of 6,000 targets is 2.2 MB at the source, 0.2 s on such a link and 0.9 s on one
/// of 20 Mbit/s.
const READER_MBPS: u32 = 100;
/// How many of the readers of all zones watch the feeds for a short time only. A watch that reached the source in the moment
/// in which it fell silent never answers, which looks like a feed without changes; nodes that arm their watches together
/// lose them together (docs/incidents, 7). Two, so that one of them may be cut off; more cost calls and find
/// nothing sooner.
const SHORT_POLLERS: usize = 2;
/// The key by which readers are picked among the members of a zone.
const READER_KEY: u128 = 0x5c00_4ead;
/// The key by which short pollers are picked among the readers.
const POLLER_KEY: u128 = 0x5c00_7a11;

/// A node that may read the source.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub struct ReaderCandidate<'a> {
    /// Where it is told things by datagram.
    pub address: &'a str,
    /// A number that stays the same while the node keeps its address; as in [`super::MemberView::key`].
    pub key: u64,
    /// Its zone.
    pub zone: &'a str,
    /// Whether the source does not answer it.
    pub failing: bool,
    /// Its link, in Mbit/s.
    pub link_mbps: u32,
}

/// What a node does at the source.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub struct SourceRole {
    /// Whether it reads the source for its zone.
    pub reads: bool,
    /// Whether it watches for a short time only.
    pub short_watch: bool,
}

/// What node `me` does at the source; `members` are all nodes that answer, itself among them.
pub fn source_role(members: &[ReaderCandidate], me: u64) -> SourceRole {
    let readers = readers(members);
    let reads = readers.iter().any(|reader| reader.key == me);
    let mut pollers = readers;
    pollers.sort_by_key(|reader| (reader.failing, rendezvous::place(POLLER_KEY, reader.key)));
    let mut pollers = pollers.iter().take(SHORT_POLLERS);
    SourceRole {
        reads,
        short_watch: pollers.any(|poller| poller.key == me),
    }
}

/// Whom node `me` of `zone` tells what it reads: all nodes of its zone, and the readers of the others.
pub fn source_recipients(members: &[ReaderCandidate], zone: &str, me: u64) -> Vec<String> {
    let near = members.iter().filter(|member| member.zone == zone);
    let far = readers(members).into_iter().filter(|reader| reader.zone != zone);
    let all = near.copied().chain(far).filter(|member| member.key != me);
    all.map(|member| member.address.to_owned()).collect()
}

/// The readers of all zones.
fn readers<'a>(members: &[ReaderCandidate<'a>]) -> Vec<ReaderCandidate<'a>> {
    let mut zones: BTreeMap<&str, Vec<ReaderCandidate>> = BTreeMap::new();
    for member in members {
        zones.entry(member.zone).or_default().push(*member);
    }
    let mut readers = Vec::new();
    for mut zone in zones.into_values() {
        zone.sort_by_key(|member| {
            let weak = member.link_mbps < READER_MBPS;
            (weak, rendezvous::place(READER_KEY, member.key))
        });
        let mut answering = 0;
        for member in zone.into_iter().take(MOST_READERS) {
            if answering == READERS {
                break;
            }
            answering += usize::from(!member.failing);
            readers.push(member);
        }
    }
    readers
}
