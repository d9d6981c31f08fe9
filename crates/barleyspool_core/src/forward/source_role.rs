//! Which nodes read the source (the platform), and which nodes they notify.
//!
//! Each node derives this from the members that it knows, without coordination. Where two nodes know
//! different members, one node more or fewer reads for a while, and [`super::SourceWatch`] makes nodes that
//! receive no notifications read the source themselves. The trade-offs are described in docs/DESIGN.md,
//! "Configuration and targets".

use crate::rendezvous;
use std::collections::BTreeMap;

/// Number of nodes per zone that read the source. With a single reader, a reader that hangs or is cut off
/// would only be noticed by its silence.
const READERS_PER_ZONE: usize = 2;
/// Maximum number of readers per zone, while preferred readers cannot reach the source. In an outage of the
/// source all of them fail, and the platform charges for each call.
const MAX_READERS_PER_ZONE: usize = 4;
/// Link bandwidth from which a node is preferred as a reader, in Mbit/s. A whole list of 6,000 targets is 2.2
/// MB at the source, which takes 0.2 s on such a link and 0.9 s on one of 20 Mbit/s.
const PREFERRED_READER_MBPS: u32 = 100;
/// Number of readers, over all zones, that use a short watch timeout. A watch that reaches the source just as
/// it stops responding never returns, which looks like a feed without changes, and nodes that start their
/// watches together lose them together (docs/incidents, 7). There are two so that one of them may be cut off;
/// more would cost calls without detecting the outage sooner.
const SHORT_WATCHERS: usize = 2;
/// Rendezvous hashing key that selects the readers among the members of a zone.
const READER_KEY: u128 = 0x5c00_4ead;
/// Rendezvous hashing key that selects the readers that use a short watch timeout.
const SHORT_WATCHER_KEY: u128 = 0x5c00_7a11;

/// A node that may read the source.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub struct ReaderCandidate<'a> {
    /// Address for datagrams.
    pub address: &'a str,
    /// Identifier that stays the same while the node keeps its address; equal to [`super::MemberView::key`].
    pub key: u64,
    /// Its availability zone.
    pub zone: &'a str,
    /// Whether the source does not respond to it.
    pub failing: bool,
    /// Bandwidth of its link, in Mbit/s.
    pub link_mbps: u32,
}

/// How a node uses the source.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub struct SourceRole {
    /// Whether it is one of the readers of its zone. Another node may still read the source as a fallback;
    /// [`super::SourceWatch::reads`] covers both.
    pub reads: bool,
    /// Whether it uses a short watch timeout.
    pub short_watch: bool,
}

/// The role of node `me`, where `members` are all nodes that answer, including itself.
pub fn source_role(members: &[ReaderCandidate], me: u64) -> SourceRole {
    let readers = readers(members);
    let reads = readers.iter().any(|reader| reader.key == me);
    let mut watchers = readers;
    watchers.sort_by_key(|reader| (reader.failing, rendezvous::order(SHORT_WATCHER_KEY, reader.key)));
    let mut watchers = watchers.iter().take(SHORT_WATCHERS);
    SourceRole {
        reads,
        short_watch: watchers.any(|watcher| watcher.key == me),
    }
}

/// Addresses of the nodes that node `me` of `zone` notifies of what it reads: all nodes of its zone and the
/// readers of the other zones.
pub fn source_recipients(members: &[ReaderCandidate], zone: &str, me: u64) -> Vec<String> {
    let same_zone = members.iter().filter(|member| member.zone == zone);
    let other_zones = readers(members).into_iter().filter(|reader| reader.zone != zone);
    let recipients = same_zone
        .copied()
        .chain(other_zones)
        .filter(|member| member.key != me);
    recipients.map(|member| member.address.to_owned()).collect()
}

/// The readers of all zones, in order of preference within each zone.
fn readers<'a>(members: &[ReaderCandidate<'a>]) -> Vec<ReaderCandidate<'a>> {
    let mut zones: BTreeMap<&str, Vec<ReaderCandidate>> = BTreeMap::new();
    for member in members {
        zones.entry(member.zone).or_default().push(*member);
    }
    let mut readers = Vec::new();
    for mut zone in zones.into_values() {
        zone.sort_by_key(|member| {
            let slow_link = member.link_mbps < PREFERRED_READER_MBPS;
            (slow_link, rendezvous::order(READER_KEY, member.key))
        });
        let mut answering = 0;
        for member in zone.into_iter().take(MAX_READERS_PER_ZONE) {
            if answering == READERS_PER_ZONE {
                break;
            }
            answering += usize::from(!member.failing);
            readers.push(member);
        }
    }
    readers
}
