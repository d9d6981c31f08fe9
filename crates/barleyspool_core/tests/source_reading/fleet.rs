//! Nodes with their membership and their part at the source, stepped together as the gateway's control thread does.

use crate::net::Net;
use barleyspool_core::{
    FeedCursor, HeldRevisions, MemberEvent, MemberHealth, ReaderCandidate, Revision, SourceState,
    SourceWatch, Span, Time, rendezvous, source_recipients, source_role, watch_timeout,
};
use std::collections::{BTreeMap, BTreeSet};

pub const ZONES: [&str; 5] = ["a", "b", "c", "d", "e"];
const STEP: Span = Span::from_millis(20);
/// How often a node looks at its role.
const LOOK: Span = Span::from_millis(200);

/// One node's part at the source.
struct Node {
    zone: &'static str,
    watch: SourceWatch,
    cursor: FeedCursor,
    /// The version that it has, also used as the revision of its list.
    has: u64,
    failing: bool,
    missing: bool,
    /// When its watch ends without a change, or when it tries again.
    wakes: Time,
    watching: bool,
    /// Whether its watch was lost: it hears nothing until it ends.
    deaf: bool,
    next_look: Time,
    told: SourceState,
    audience: Vec<String>,
}

pub struct Fleet {
    pub net: Net,
    pub calls: u64,
    nodes: BTreeMap<String, Node>,
    version: u64,
    away: bool,
    turned_away: BTreeSet<String>,
    cut: BTreeSet<String>,
}

fn key(name: &str) -> u64 {
    rendezvous::text_key(name) as u64
}

impl Fleet {
    pub fn start(size: usize, loss: f64, seed: u64) -> Self {
        let mut net = Net::new(loss, seed);
        let mut nodes = BTreeMap::new();
        for place in 0..size {
            let zone = ZONES[place % ZONES.len()];
            let name = format!("n{place:03}");
            net.start_in(zone, &name, 100, &["n000", "n004", "stale"]);
            let node = Node {
                zone,
                watch: SourceWatch::new(net.now, place as u64 + seed * 1000),
                cursor: FeedCursor::default(),
                has: 0,
                failing: false,
                missing: true,
                wakes: net.now,
                watching: false,
                deaf: false,
                next_look: net.now,
                told: SourceState::default(),
                audience: Vec::new(),
            };
            nodes.insert(name, node);
        }
        Self {
            net,
            calls: 0,
            nodes,
            version: 1,
            away: false,
            turned_away: BTreeSet::new(),
            cut: BTreeSet::new(),
        }
    }

    // ------------------------------------------------------------------------
    // What happens to it

    pub fn outage(&mut self, away: bool) {
        self.away = away;
        for node in self.nodes.values_mut().filter(|node| node.watching) {
            node.wakes = self.net.now;
        }
    }

    pub fn turn_away(&mut self, name: &str) {
        self.turned_away.insert(name.to_owned());
        if let Some(node) = self.nodes.get_mut(name) {
            node.wakes = self.net.now;
        }
    }

    pub fn freeze(&mut self, name: &str) {
        self.net.asleep.insert(name.to_owned());
    }

    pub fn lose_watches(&mut self) {
        self.nodes.values_mut().for_each(|node| node.deaf = true);
    }

    pub fn cut_off(&mut self, name: &str) {
        let others: Vec<String> = self
            .nodes
            .keys()
            .filter(|other| *other != name)
            .cloned()
            .collect();
        self.cut.insert(name.to_owned());
        let others: Vec<&str> = others.iter().map(String::as_str).collect();
        self.net.cut_between(&[name], &others);
    }

    /// Cuts every second node off from the others; returns those.
    pub fn split(&mut self) -> Vec<String> {
        let names: Vec<String> = self.nodes.keys().cloned().collect();
        let half: Vec<&str> = names.iter().step_by(2).map(String::as_str).collect();
        let rest: Vec<&str> = names.iter().skip(1).step_by(2).map(String::as_str).collect();
        self.net.cut_between(&half, &rest);
        half.into_iter().map(str::to_owned).collect()
    }

    pub fn heal(&mut self) {
        self.net.cut.clear();
    }

    pub fn change(&mut self) {
        self.version += 1;
    }

    /// A change; returns how long it took until every node that is awake had it.
    pub fn change_and_wait(&mut self, longest: Span) -> Option<Span> {
        self.change();
        let began = self.net.now;
        while self.net.now.since(began) < longest {
            self.run(STEP);
            if self.behind().is_empty() {
                return Some(self.net.now.since(began));
            }
        }
        None
    }

    // ------------------------------------------------------------------------
    // What is seen of it

    pub fn behind(&self) -> Vec<String> {
        let awake = self
            .nodes
            .iter()
            .filter(|(name, _)| !self.net.asleep.contains(*name));
        let behind = awake.filter(|(_, node)| node.has < self.version);
        behind.map(|(name, _)| name.clone()).collect()
    }

    pub fn readers_of(&self, zone: &str) -> Vec<String> {
        let of_zone = self.nodes.iter().filter(|(_, node)| node.zone == zone);
        let readers = of_zone.filter(|(_, node)| node.watch.is_reader());
        readers.map(|(name, _)| name.clone()).collect()
    }

    pub fn follower(&self) -> String {
        let mut followers = self.nodes.iter().filter(|(_, node)| !node.watch.is_reader());
        let (name, _) = followers.next().expect("a node that does not read");
        name.clone()
    }

    // ------------------------------------------------------------------------
    // Stepping

    pub fn run(&mut self, span: Span) {
        let end = self.net.now + span;
        while self.net.now < end {
            self.net.run(STEP);
            self.take_reported();
            let names: Vec<String> = self.nodes.keys().cloned().collect();
            for name in &names {
                if self.net.asleep.contains(name) {
                    continue;
                }
                let mut node = self.nodes.remove(name).expect("a node");
                self.step(name, &mut node);
                self.nodes.insert(name.clone(), node);
            }
        }
    }

    fn take_reported(&mut self) {
        let now = self.net.now;
        for (name, source, reads) in std::mem::take(&mut self.net.source_reports) {
            let Some(node) = self.nodes.get_mut(&name) else {
                continue;
            };
            if reads && !source.failing {
                node.watch.record_reader_answer(now);
            }
            node.watch.handle_report(now, source, node.held());
        }
    }

    fn step(&mut self, name: &str, node: &mut Node) {
        let now = self.net.now;
        if now >= node.next_look {
            node.next_look = now + LOOK;
            self.set_role(name, node);
        }
        self.read(name, node);
        if node.watch.should_ask(now, node.held(), node.failing) {
            self.ask(name, node);
        }
        let state = node.state();
        self.net.step(name, MemberEvent::Source(state));
        let due = self.net.nodes[name].converged(now) && node.watch.announcement_due(now);
        let moved = node.watch.reads(now) && state != node.told;
        if due || moved {
            node.told = state;
            node.watch.record_announcement(now);
            let audience = node.audience.clone();
            self.net.step(name, MemberEvent::Announce(audience));
        }
    }

    fn set_role(&self, name: &str, node: &mut Node) {
        let members = self.net.nodes[name].members();
        let alive = members.filter(|member| member.health == MemberHealth::Alive);
        let others = alive.map(|member| ReaderCandidate {
            address: &member.facts.address,
            key: member.key as u64,
            zone: &member.facts.zone,
            failing: member.source.failing,
            link_mbps: member.facts.link_mbps,
        });
        let me = ReaderCandidate {
            address: name,
            key: key(name),
            zone: node.zone,
            failing: node.failing,
            link_mbps: 0,
        };
        let members: Vec<ReaderCandidate> = others.chain([me]).collect();
        let role = source_role(&members, me.key);
        node.audience = source_recipients(&members, node.zone, me.key);
        node.watch.set_role(role, members.len());
    }

    /// What the feeds of a node do at the source; both are taken as one here, which costs two calls each time.
    fn read(&mut self, name: &str, node: &mut Node) {
        let now = self.net.now;
        if !node.watch.is_reader() && node.watch.reads(now) {
            node.missing = true;
        }
        let settled = self.net.nodes[name].converged(now);
        let wants = node.missing || (node.watch.is_reader() && settled);
        let changed = node.watching && !node.deaf && node.has < self.version && self.answers(name);
        if changed {
            // One feed of the two has a change.
            self.calls += 1;
            node.has = self.version;
            node.watching = false;
        } else if node.watching && now < node.wakes {
            return;
        } else if node.watching {
            self.calls += 2;
            node.watching = false;
            if !self.answers(name) || node.deaf {
                node.deaf = false;
                self.failed(node);
                return;
            }
            node.watch.record_reader_answer(now);
        }
        if !wants || now < node.wakes && node.failing {
            return;
        }
        if node.missing || node.failing {
            self.calls += 2;
            if !self.answers(name) {
                self.failed(node);
                return;
            }
            node.missing = false;
            node.has = self.version;
            node.cursor.advance(Revision(self.version));
            node.watch.record_reader_answer(now);
        }
        node.failing = false;
        if node.watch.is_reader() && settled {
            node.watching = true;
            node.wakes = now + watch_timeout(node.watch.uses_short_watch());
        }
    }

    fn failed(&self, node: &mut Node) {
        let wait = node.cursor.record_failure();
        node.failing = true;
        node.wakes = self.net.now + node.watch.retry_delay(wait);
    }

    fn answers(&self, name: &str) -> bool {
        !self.away && !self.turned_away.contains(name)
    }

    /// Takes what another node has that told so.
    fn ask(&mut self, name: &str, node: &mut Node) {
        let held = node.held();
        let members = self.net.nodes[name].members();
        let mut newer = members.filter(|member| {
            let address = &member.facts.address;
            let reached = !self.net.cut.contains(&(name.to_owned(), address.clone()));
            reached && !self.net.asleep.contains(address) && held.is_behind(member.source)
        });
        let Some(teller) = newer.next() else { return };
        let has = self
            .nodes
            .get(&teller.facts.address)
            .map_or(0, |teller| teller.has);
        if has > node.has {
            node.has = has;
            node.missing = false;
            // Its own watch hears nothing, so it watches anew.
            node.watching = false;
            node.deaf = false;
        }
    }
}

impl Node {
    fn held(&self) -> HeldRevisions {
        HeldRevisions {
            version: Revision(self.has),
            list: Revision(self.has),
            evacuations: Revision(self.has),
        }
    }

    fn state(&self) -> SourceState {
        SourceState {
            version: Revision(self.has),
            list: Revision(self.has),
            evacuations: Revision(self.has),
            failing: self.failing,
        }
    }
}
