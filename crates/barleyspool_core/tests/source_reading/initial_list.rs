//! The first list of targets of a fleet whose nodes all start at once, in virtual time: what the source hands out, and until when all nodes know it.
//!
//! The pattern: each node of a fleet needs the same large state at the same moment, and one process of limited width has it.

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
const STEP: Span = Span::from_millis(10);
/// How often a node looks at its role.
const LOOK: Span = Span::from_millis(50);
/// The seeds; one has a strong link, one a weak one, one is gone.
const SEEDS: [&str; 3] = ["n0000", "n0007", "stale"];
/// Processes of one fleet start within this time.
const STARTS: Span = Span::from_millis(100);
/// The source's link and what it sends a target; a page holds so many.
const SOURCE_MBPS: f64 = 1000.0;
const ENTRY_BYTES: usize = 370;
const PAGE: usize = 500;
/// One node in twenty has a strong link.
const STRONG: (usize, u32) = (20, 200);
const WEAK_MBPS: u32 = 20;
/// The time of a question and its answer without what they carry, with a connection made for it.
const ROUND_TRIP: Span = Span::from_millis(6);
/// The pause after a question to a node that was busy.
const BUSY_PAUSE: Span = Span::from_millis(20);
const BUSY_FOR: Span = Span::from_millis(100);
/// Nodes that read the source for their zone, of all zones.
const READERS: u64 = 2 * ZONES.len() as u64;

fn transfer(bytes: usize, mbps: f64) -> Span {
    Span((bytes as f64 * 8.0 / mbps) as u64)
}

/// What a node has asked another one.
#[derive(Copy, Clone, Debug, PartialEq)]
enum Waits {
    Nothing,
    /// For a list of another node.
    List(usize, TransferKey),
    /// For an answer that there is none now.
    Busy(usize),
}

/// One node; of the tables of members only those of nodes that have started are there.
struct Node {
    name: String,
    zone: &'static str,
    link_mbps: u32,
    starts: Time,
    first: InitialListRead,
    role: SourceRole,
    view: FleetView,
    /// Since when it knows that others have the list.
    knew: Option<Time>,
    next_look: Time,
    pages: usize,
    page_at: Option<Time>,
    asks: Waits,
    ask_at: Time,
    transfers: ListTransfers,
    avoided: BTreeMap<usize, Time>,
    has: Option<Time>,
}

struct Fleet {
    net: Net,
    nodes: Vec<Node>,
    pages: usize,
    list_bytes: usize,
    source_free: Time,
    calls: u64,
    random: SmallRng,
}

/// A list with names as long as they usually are.
fn list(targets: usize) -> TargetTable {
    let entry = |place: usize| TargetEntry {
        id: format!(
            "i-{:010x}",
            rendezvous::place(7, place as u64) as u64 & 0xff_ffff_ffff
        ),
        incarnation: TargetIncarnation(1_700_000_000_000 + place as u64 * 17),
        sequence: 40,
        service: format!("service-{}", place % 5),
        address: format!("10.{}.{}.{}:8080", place % 5, place / 250, place % 250),
        zone: ZONES[place % ZONES.len()].to_owned(),
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
        let node = |place: usize| {
            let starts = net.now + Span(random.random_range(0..STARTS.0));
            let (one_in, strong) = STRONG;
            let link_mbps = if place.is_multiple_of(one_in) {
                strong
            } else {
                WEAK_MBPS
            };
            Node {
                name: format!("n{place:04}"),
                zone: ZONES[place / one_in % ZONES.len()],
                link_mbps,
                starts,
                first: InitialListRead::new(starts, random.random()),
                role: SourceRole::default(),
                view: FleetView::default(),
                knew: None,
                next_look: starts,
                pages: 0,
                page_at: None,
                asks: Waits::Nothing,
                ask_at: starts,
                transfers: ListTransfers::new(link_mbps),
                avoided: BTreeMap::new(),
                has: None,
            }
        };
        let nodes = (0..count).map(node).collect();
        let packed = PackedList::pack(&list(targets));
        let source_free = net.now;
        Self {
            net,
            nodes,
            pages: targets.div_ceil(PAGE),
            list_bytes: rmp_serde::to_vec(&packed).expect("encodes").len(),
            source_free,
            calls: 0,
            random,
        }
    }

    /// Runs for `span`; stops when all nodes have the list.
    fn run(&mut self, span: Span) {
        let end = self.net.now + span;
        while self.net.now < end && self.nodes.iter().any(|node| node.has.is_none()) {
            self.net.run(STEP);
            for place in 0..self.nodes.len() {
                self.step(place);
            }
        }
    }

    fn step(&mut self, place: usize) {
        let now = self.net.now;
        if now < self.nodes[place].starts {
            return;
        }
        let (name, zone, link_mbps) = {
            let node = &self.nodes[place];
            (node.name.clone(), node.zone, node.link_mbps)
        };
        if !self.net.nodes.contains_key(&name) {
            let incarnation = 1 + place as u64;
            self.net.start_linked(zone, &name, incarnation, &SEEDS, link_mbps);
        }
        if now >= self.nodes[place].next_look {
            self.nodes[place].next_look = now + LOOK;
            self.set_role(place);
        }
        if self.nodes[place].has.is_none() {
            self.read(place);
            self.ask(place);
        }
    }

    fn set_role(&mut self, place: usize) {
        let node = &self.nodes[place];
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
        let node = &mut self.nodes[place];
        node.role = role;
        node.view = view;
        if view.holder {
            node.knew = node.knew.or(Some(self.net.now));
        }
    }

    /// Reads the source, page by page.
    fn read(&mut self, place: usize) {
        let now = self.net.now;
        let bytes = PAGE * ENTRY_BYTES;
        let (source_free, pages) = (&mut self.source_free, self.pages);
        let node = &mut self.nodes[place];
        if node.page_at.is_some_and(|at| now >= at) {
            node.page_at = None;
            node.pages += 1;
        }
        if node.pages == pages {
            self.has(place);
            return;
        }
        let goes_on = node.pages > 0 || node.first.should_read(now, node.view);
        if node.page_at.is_some() || !goes_on {
            return;
        }
        self.calls += 1;
        *source_free = now.max(*source_free) + transfer(bytes, SOURCE_MBPS);
        let own = now + transfer(bytes, f64::from(node.link_mbps));
        node.page_at = Some(own.max(*source_free) + ROUND_TRIP);
    }

    /// Asks another node for the list.
    fn ask(&mut self, place: usize) {
        let now = self.net.now;
        if now < self.nodes[place].ask_at || self.nodes[place].has.is_some() {
            return;
        }
        match std::mem::replace(&mut self.nodes[place].asks, Waits::Nothing) {
            Waits::List(holder, key) => {
                self.nodes[holder].transfers.finish(key);
                self.has(place);
                return;
            }
            Waits::Busy(holder) => {
                self.nodes[place].avoided.insert(holder, now + BUSY_FOR);
            }
            Waits::Nothing => {}
        }
        let Some(holder) = self.holder(place) else { return };
        let admitted = self.nodes[holder].transfers.admit(now);
        let taker_mbps = f64::from(self.nodes[place].link_mbps);
        let node = &mut self.nodes[place];
        match admitted {
            Some(key) => {
                // As many as the holder's link bears at once share it, whether there are as many now or not.
                let share: f64 = if self.nodes[holder].link_mbps == WEAK_MBPS {
                    20.0
                } else {
                    25.0
                };
                let takes = transfer(self.list_bytes, share.min(taker_mbps));
                self.nodes[place].asks = Waits::List(holder, key);
                self.nodes[place].ask_at = now + takes + ROUND_TRIP;
            }
            None => {
                node.asks = Waits::Busy(holder);
                node.ask_at = now + BUSY_PAUSE + ROUND_TRIP;
            }
        }
    }

    fn holder(&mut self, place: usize) -> Option<usize> {
        let now = self.net.now;
        let node = &self.nodes[place];
        let members = self.net.nodes[&node.name].members();
        let holders = members.filter(|member| member.source.list != Revision(0));
        let taker = ListRequester {
            link_mbps: node.link_mbps,
            waited: node.knew.map_or(Span::ZERO, |knew| now.since(knew)),
        };
        let candidates = holders.map(|member| {
            let number = member.facts.address[1..].parse().expect("a number");
            ListHolder {
                address: number,
                avoided: node.avoided.get(&number).is_some_and(|until| now < *until),
                other_zone: member.facts.zone != node.zone,
                link_mbps: member.facts.link_mbps,
            }
        });
        let candidates = candidates.filter(|holder| taker.may_ask_other_zones() || !holder.other_zone);
        choose_list_holder(candidates, &mut self.random)
    }

    /// The node has the list, and the others hear of it.
    fn has(&mut self, place: usize) {
        let now = self.net.now;
        let node = &mut self.nodes[place];
        node.has = Some(now);
        let name = node.name.clone();
        let state = SourceState {
            list: Revision(1),
            ..SourceState::default()
        };
        self.net.step(&name, MemberEvent::Source(state));
        self.net.step(&name, MemberEvent::Serving(true));
    }

    /// How long after its start the node had the list that came `share` of all from the first.
    fn known_after(&self, share: f64) -> Option<Span> {
        let took = |node: &Node| node.has.map(|at| at.since(node.starts));
        let mut took: Vec<Span> = self.nodes.iter().filter_map(took).collect();
        took.sort_unstable();
        let place = (self.nodes.len() as f64 * share) as usize;
        took.get(place.saturating_sub(1)).copied()
    }
}

fn a_start(nodes: usize, targets: usize, within: Span) {
    let mut fleet = Fleet::start(nodes, targets, nodes as u64);
    fleet.run(Span::from_secs(8));
    let most = fleet.known_after(0.9);
    let last = fleet.known_after(1.0);
    assert!(
        most.is_some_and(|most| most <= within),
        "nine tenths know after {most:?}"
    );
    assert!(
        last.is_some_and(|last| last <= within + within),
        "all know after {last:?}"
    );
    // Each reader reads the list once; as many again for nodes that took themselves for readers before they knew the others.
    let calls = 2 * READERS * fleet.pages as u64;
    assert!(fleet.calls <= calls, "{} calls, at most {calls}", fleet.calls);
}

#[test]
fn nine_nodes_have_the_list_soon_after_they_start() {
    a_start(9, 300, Span::from_millis(500));
}

#[test]
fn a_fleet_of_295_nodes_has_the_list_soon_after_it_starts() {
    a_start(295, 300, Span::from_millis(1500));
    a_start(295, 6_000, Span::from_millis(1500));
}

#[test]
fn a_fleet_of_585_nodes_has_the_list_soon_after_it_starts() {
    a_start(585, 6_000, Span::from_millis(1500));
}

#[test]
fn a_fleet_of_1170_nodes_has_the_list_soon_after_it_starts() {
    a_start(1_170, 12_000, Span::from_millis(2000));
}
