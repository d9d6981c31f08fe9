//! Simulation in virtual time of a fleet whose nodes all start at once without a target list: how often they
//! read the source, and how soon all of them have the list.
//!
//! Every node needs the same large state at the same moment, and at first only one process of limited
//! bandwidth has it.

use crate::net::Net;
use barleyspool_core::{
    FleetView, InitialListRead, ListHolder, ListRequester, ListTransfers, MemberEvent, MemberHealth,
    PackedList, ReaderCandidate, Revision, SourceRole, SourceState, Span, TargetEntry, TargetIncarnation,
    TargetTable, Time, TransferKey, choose_list_holder, rendezvous, source_role,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

const ZONES: [&str; 5] = ["a", "b", "c", "d", "e"];
/// Time step of the simulation.
const STEP: Span = Span::from_millis(10);
/// Interval at which a node updates its role.
const ROLE_INTERVAL: Span = Span::from_millis(50);
/// The seeds of the fleet: one with a fast link, one with a slow link, and one that no longer exists.
const SEEDS: [&str; 3] = ["n0000", "n0007", "stale"];
/// All nodes of a fleet start within this time.
const START_SPREAD: Span = Span::from_millis(100);
/// Bandwidth of the link of the source, in Mbit/s.
const SOURCE_MBPS: f64 = 1000.0;
/// Size of one target in an answer of the source.
const ENTRY_BYTES: usize = 370;
/// Number of targets in a page of the source.
const PAGE_ENTRIES: usize = 500;
/// One node in twenty has a fast link; the second number is its bandwidth in Mbit/s.
const FAST_LINK: (usize, u32) = (20, 200);
/// Bandwidth of the links of the other nodes, in Mbit/s.
const SLOW_MBPS: u32 = 20;
/// Duration of a request and its response without the transfer of the payload, including the connection
/// setup.
const ROUND_TRIP: Span = Span::from_millis(6);
/// Delay until the next request after a node replied that it is busy.
const BUSY_DELAY: Span = Span::from_millis(20);
/// How long a node that was busy is avoided.
const BUSY_AVOIDED_FOR: Span = Span::from_millis(100);
/// Number of nodes that read the source for their zone, over all zones.
const READERS: u64 = 2 * ZONES.len() as u64;

/// Time to transfer `bytes` at `mbps` Mbit/s.
fn transfer_time(bytes: usize, mbps: f64) -> Span {
    Span((bytes as f64 * 8.0 / mbps) as u64)
}

/// The request to another node that is in progress.
#[derive(Copy, Clone, Debug, PartialEq)]
enum PendingRequest {
    Idle,
    /// That node sends its list, under this key of the transfer.
    List(usize, TransferKey),
    /// That node replies that it is busy.
    Busy(usize),
}

/// One node. Its membership table is added to [`Net`] when the node starts.
struct Node {
    name: String,
    zone: &'static str,
    link_mbps: u32,
    starts_at: Time,
    list_read: InitialListRead,
    role: SourceRole,
    view: FleetView,
    /// When it first knew of another node with the list.
    holder_known_at: Option<Time>,
    next_role_update: Time,
    /// Number of pages that it has read from the source.
    pages_read: usize,
    /// When the page that it reads now arrives.
    page_due: Option<Time>,
    pending: PendingRequest,
    next_request_at: Time,
    /// Transfers of its list to other nodes.
    transfers: ListTransfers,
    /// Nodes that were busy, and until when they are avoided.
    avoided: BTreeMap<usize, Time>,
    /// When it had the whole list.
    received_at: Option<Time>,
}

/// A fleet of nodes and the source of the list.
struct Fleet {
    net: Net,
    nodes: Vec<Node>,
    /// Number of pages of the list at the source.
    pages: usize,
    /// Size of the packed list that nodes send each other.
    list_bytes: usize,
    /// When the link of the source has sent all pages requested so far.
    source_free: Time,
    /// Number of calls to the source so far.
    calls: u64,
    random: SmallRng,
}

/// A list with identifiers, addresses and service names of realistic length.
fn list(targets: usize) -> TargetTable {
    let entry = |index: usize| TargetEntry {
        id: format!(
            "i-{:010x}",
            rendezvous::order(7, index as u64) as u64 & 0xff_ffff_ffff
        ),
        incarnation: TargetIncarnation(1_700_000_000_000 + index as u64 * 17),
        sequence: 40,
        service: format!("service-{}", index % 5),
        address: format!("10.{}.{}.{}:8080", index % 5, index / 250, index % 250),
        zone: ZONES[index % ZONES.len()].to_owned(),
        slots: 64,
        ..TargetEntry::default()
    };
    (0..targets)
        .map(entry)
        .map(|entry| (entry.id.clone(), entry))
        .collect()
}

impl Fleet {
    fn start(count: usize, targets: usize, seed: u64) -> Self {
        let net = Net::new(0.01, seed);
        let mut random = SmallRng::seed_from_u64(seed);
        let node = |index: usize| {
            let starts_at = net.now + Span(random.random_range(0..START_SPREAD.0));
            let (one_in, fast_mbps) = FAST_LINK;
            let link_mbps = if index.is_multiple_of(one_in) {
                fast_mbps
            } else {
                SLOW_MBPS
            };
            Node {
                name: format!("n{index:04}"),
                zone: ZONES[index / one_in % ZONES.len()],
                link_mbps,
                starts_at,
                list_read: InitialListRead::new(starts_at, random.random()),
                role: SourceRole::default(),
                view: FleetView::default(),
                holder_known_at: None,
                next_role_update: starts_at,
                pages_read: 0,
                page_due: None,
                pending: PendingRequest::Idle,
                next_request_at: starts_at,
                transfers: ListTransfers::new(link_mbps),
                avoided: BTreeMap::new(),
                received_at: None,
            }
        };
        let nodes = (0..count).map(node).collect();
        let packed = PackedList::pack(&list(targets));
        let source_free = net.now;
        Self {
            net,
            nodes,
            pages: targets.div_ceil(PAGE_ENTRIES),
            list_bytes: rmp_serde::to_vec(&packed).expect("a packed list encodes").len(),
            source_free,
            calls: 0,
            random,
        }
    }

    /// Runs for `span`, or until all nodes have the list.
    fn run(&mut self, span: Span) {
        let end = self.net.now + span;
        while self.net.now < end && self.nodes.iter().any(|node| node.received_at.is_none()) {
            self.net.run(STEP);
            for index in 0..self.nodes.len() {
                self.step(index);
            }
        }
    }

    fn step(&mut self, index: usize) {
        let now = self.net.now;
        if now < self.nodes[index].starts_at {
            return;
        }
        let (name, zone, link_mbps) = {
            let node = &self.nodes[index];
            (node.name.clone(), node.zone, node.link_mbps)
        };
        if !self.net.nodes.contains_key(&name) {
            let incarnation = 1 + index as u64;
            self.net.start_linked(zone, &name, incarnation, &SEEDS, link_mbps);
        }
        if now >= self.nodes[index].next_role_update {
            self.nodes[index].next_role_update = now + ROLE_INTERVAL;
            self.set_role(index);
        }
        if self.nodes[index].received_at.is_none() {
            self.read(index);
            self.request_list(index);
        }
    }

    fn set_role(&mut self, index: usize) {
        let node = &self.nodes[index];
        let membership = &self.net.nodes[&node.name];
        let alive = membership
            .members()
            .filter(|member| member.health == MemberHealth::Alive);
        let others = alive.map(|member| ReaderCandidate {
            address: &member.facts.address,
            key: member.key as u64,
            zone: &member.facts.zone,
            failing: false,
            link_mbps: member.facts.link_mbps,
        });
        let me = ReaderCandidate {
            address: &node.name,
            key: rendezvous::text_key(&node.name) as u64,
            zone: node.zone,
            failing: false,
            link_mbps: node.link_mbps,
        };
        let members: Vec<ReaderCandidate> = others.chain([me]).collect();
        let role = source_role(&members, me.key);
        let view = FleetView {
            nodes: members.len(),
            seed: SEEDS.contains(&node.name.as_str()),
            reader: role.reads,
            holder: membership
                .members()
                .any(|member| member.source.list != Revision(0)),
        };
        let node = &mut self.nodes[index];
        node.role = role;
        node.view = view;
        if view.holder {
            node.holder_known_at = node.holder_known_at.or(Some(self.net.now));
        }
    }

    /// Reads the list from the source, page by page.
    fn read(&mut self, index: usize) {
        let now = self.net.now;
        let bytes = PAGE_ENTRIES * ENTRY_BYTES;
        let (source_free, pages) = (&mut self.source_free, self.pages);
        let node = &mut self.nodes[index];
        if node.page_due.is_some_and(|at| now >= at) {
            node.page_due = None;
            node.pages_read += 1;
        }
        if node.pages_read == pages {
            self.record_list(index);
            return;
        }
        let should_read = node.pages_read > 0 || node.list_read.should_read(now, node.view);
        if node.page_due.is_some() || !should_read {
            return;
        }
        self.calls += 1;
        *source_free = now.max(*source_free) + transfer_time(bytes, SOURCE_MBPS);
        let received = now + transfer_time(bytes, f64::from(node.link_mbps));
        node.page_due = Some(received.max(*source_free) + ROUND_TRIP);
    }

    /// Requests the list from another node.
    fn request_list(&mut self, index: usize) {
        let now = self.net.now;
        if now < self.nodes[index].next_request_at || self.nodes[index].received_at.is_some() {
            return;
        }
        match std::mem::replace(&mut self.nodes[index].pending, PendingRequest::Idle) {
            PendingRequest::List(holder, key) => {
                self.nodes[holder].transfers.finish(key);
                self.record_list(index);
                return;
            }
            PendingRequest::Busy(holder) => {
                self.nodes[index].avoided.insert(holder, now + BUSY_AVOIDED_FOR);
            }
            PendingRequest::Idle => {}
        }
        let Some(holder) = self.holder(index) else { return };
        let admitted = self.nodes[holder].transfers.admit(now);
        let requester_mbps = f64::from(self.nodes[index].link_mbps);
        let node = &mut self.nodes[index];
        match admitted {
            Some(key) => {
                // The bandwidth of the holder is divided by its maximum number of concurrent transfers, even
                // if fewer are active.
                let share_mbps: f64 = if self.nodes[holder].link_mbps == SLOW_MBPS {
                    20.0
                } else {
                    25.0
                };
                let duration = transfer_time(self.list_bytes, share_mbps.min(requester_mbps));
                self.nodes[index].pending = PendingRequest::List(holder, key);
                self.nodes[index].next_request_at = now + duration + ROUND_TRIP;
            }
            None => {
                node.pending = PendingRequest::Busy(holder);
                node.next_request_at = now + BUSY_DELAY + ROUND_TRIP;
            }
        }
    }

    /// Selects a node from which node `index` requests the list.
    fn holder(&mut self, index: usize) -> Option<usize> {
        let now = self.net.now;
        let node = &self.nodes[index];
        let members = self.net.nodes[&node.name].members();
        let holders = members.filter(|member| member.source.list != Revision(0));
        let requester = ListRequester {
            link_mbps: node.link_mbps,
            waited: node
                .holder_known_at
                .map_or(Span::ZERO, |known_at| now.since(known_at)),
        };
        let candidates = holders.map(|member| {
            let number = member.facts.address[1..]
                .parse()
                .expect("an address is the letter n and a number");
            ListHolder {
                address: number,
                avoided: node.avoided.get(&number).is_some_and(|until| now < *until),
                other_zone: member.facts.zone != node.zone,
                link_mbps: member.facts.link_mbps,
            }
        });
        let candidates = candidates.filter(|holder| requester.may_ask_other_zones() || !holder.other_zone);
        choose_list_holder(candidates, &mut self.random)
    }

    /// Records that the node has the list, and reports it to the others.
    fn record_list(&mut self, index: usize) {
        let now = self.net.now;
        let node = &mut self.nodes[index];
        node.received_at = Some(now);
        let name = node.name.clone();
        let state = SourceState {
            list: Revision(1),
            ..SourceState::default()
        };
        self.net.step(&name, MemberEvent::Source(state));
        self.net.step(&name, MemberEvent::Serving(true));
    }

    /// Time from its start within which each node of the fastest `fraction` had the list.
    fn known_after(&self, fraction: f64) -> Option<Span> {
        let elapsed = |node: &Node| node.received_at.map(|at| at.since(node.starts_at));
        let mut elapsed: Vec<Span> = self.nodes.iter().filter_map(elapsed).collect();
        elapsed.sort_unstable();
        let index = (self.nodes.len() as f64 * fraction) as usize;
        elapsed.get(index.saturating_sub(1)).copied()
    }
}

/// Checks a start of `nodes` nodes with a list of `targets`: nine tenths have the list within `limit`, all
/// within twice that, and calls to the source stay bounded.
fn check_start(nodes: usize, targets: usize, limit: Span) {
    let mut fleet = Fleet::start(nodes, targets, nodes as u64);
    fleet.run(Span::from_secs(8));
    let p90 = fleet.known_after(0.9);
    let slowest = fleet.known_after(1.0);
    assert!(
        p90.is_some_and(|p90| p90 <= limit),
        "nine tenths of the nodes have the list after {p90:?}"
    );
    assert!(
        slowest.is_some_and(|slowest| slowest <= limit + limit),
        "all nodes have the list after {slowest:?}"
    );
    // Each reader reads the list once. As many reads again are allowed for nodes that take themselves for
    // readers before they know the others.
    let calls = 2 * READERS * fleet.pages as u64;
    assert!(fleet.calls <= calls, "{} calls, at most {calls}", fleet.calls);
}

#[test]
fn nine_nodes_have_the_list_soon_after_they_start() {
    check_start(9, 300, Span::from_millis(500));
}

#[test]
fn a_fleet_of_295_nodes_has_the_list_soon_after_it_starts() {
    check_start(295, 300, Span::from_millis(1500));
    check_start(295, 6_000, Span::from_millis(1500));
}

#[test]
fn a_fleet_of_585_nodes_has_the_list_soon_after_it_starts() {
    check_start(585, 6_000, Span::from_millis(1500));
}

#[test]
fn a_fleet_of_1170_nodes_has_the_list_soon_after_it_starts() {
    check_start(1_170, 12_000, Span::from_millis(2000));
}
