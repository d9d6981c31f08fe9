//! What cold targets get from all nodes together.
//!
//! The pattern: a zone's engines come back cold and empty under a burst, and every choice prefers an empty engine. 140 engines
//! that bear 9.1 calls a second each while cold, 13.65 and 5 at most in any second, are the figures of a deployment of 89 nodes.

#![allow(clippy::expect_used, clippy::panic, reason = "a test stops where it fails")]

use barleyspool_core::{
    Catalog, CatalogDocument, Choose, ColdGate, ColdRate, ColdSpec, ForwardPlan, ForwardService,
    ForwardSettings, Forwarder, MemberView, Need, Shard, Span, TargetEntry, TargetTable, Time, rendezvous,
};
use std::collections::BTreeMap;
use std::sync::Arc;

/// What a target bears while it is cold, in calls a second.
const BEARS: f64 = 9.1;
/// The most that may reach it in any second.
const MOST: usize = 18;
const COLD: Span = Span::from_secs(3);
const ENGINES: usize = 24;
const SHARD_SIZE: usize = 12;

fn members(count: usize) -> Vec<MemberView> {
    let view = |place: usize| MemberView {
        key: rendezvous::text_key(&format!("n{place}")) as u64,
        peer_address: format!("n{place}"),
        zone: "z".to_owned(),
    };
    (0..count).map(view).collect()
}

/// A list of which every target is cold, and so are those that would be chosen first.
fn table(cold: Span) -> TargetTable {
    let entry = |place: usize| {
        let mut entry = TargetEntry {
            id: format!("i-{place}"),
            service: "s".to_owned(),
            address: format!("10.0.0.{place}:80"),
            zone: "z".to_owned(),
            slots: 64,
            ..TargetEntry::default()
        };
        entry.times.warm_at = Time(0) + cold;
        entry
    };
    (0..ENGINES)
        .map(|place| (format!("i-{place}"), entry(place)))
        .collect()
}

fn catalog(limited: bool) -> Option<Arc<Catalog>> {
    let cold = ColdSpec {
        start: COLD,
        per_s: BEARS,
    };
    let service = ForwardService {
        name: "s".to_owned(),
        cold: limited.then_some(cold),
        ..ForwardService::default()
    };
    let document = CatalogDocument {
        services: vec![service],
        ..CatalogDocument::default()
    };
    Catalog::accept(document).ok().map(Arc::new)
}

fn node(plan: &ForwardPlan, seed: u64) -> Forwarder {
    let settings = ForwardSettings {
        zone: "z".to_owned(),
        seed,
        ..ForwardSettings::default()
    };
    let mut forwarder = Forwarder::new(settings).expect("the chart is right");
    forwarder.take_plan(plan);
    forwarder
}

/// A fleet of nodes, of which each knows the members of its own part.
struct Fleet {
    parts: Vec<Vec<MemberView>>,
    nodes: BTreeMap<u64, Forwarder>,
    /// When each target was sent something.
    sent: BTreeMap<String, Vec<Time>>,
    refused: usize,
}

impl Fleet {
    fn new(count: usize, parts: usize, limited: bool, cold: Span) -> Self {
        let all = members(count);
        let size = count.div_ceil(parts);
        let parts: Vec<Vec<MemberView>> = all.chunks(size).map(<[MemberView]>::to_vec).collect();
        let mut nodes = BTreeMap::new();
        for part in &parts {
            let mut plan = ForwardPlan {
                catalog: catalog(limited),
                targets: Arc::new(table(cold)),
                members: Arc::new(part.clone()),
                settled: true,
                ..ForwardPlan::default()
            };
            for member in part {
                plan.me = member.key;
                nodes.insert(member.key, node(&plan, member.key));
            }
        }
        Self {
            parts,
            nodes,
            sent: BTreeMap::new(),
            refused: 0,
        }
    }

    /// One call at an engine, of the node of that number: the owner of its shard chooses, as the node sees it.
    fn engine_call(&mut self, now: Time, number: u64) {
        let part = &self.parts[number as usize % self.parts.len()];
        let shards = ENGINES / SHARD_SIZE;
        let shard = Shard {
            number: (number / 7) as u32 % shards as u32,
            of: shards as u32,
        };
        let owner = rendezvous::pick(u128::from(shard.number), part.iter().map(|member| member.key));
        let need = Need {
            engine_memory: Some(600_000),
            // One prompt in four shares its beginning with all the others of these.
            prefix: if number.is_multiple_of(4) {
                77
            } else {
                1000 + number
            },
            prefix_tokens: 500,
            prompt_tokens: 1500,
            placing: Some(shard),
            ..need()
        };
        self.call(now, owner.expect("there are members"), &need);
    }

    /// One call at a plain target, of the node of that number.
    fn plain_call(&mut self, now: Time, number: u64) {
        let part = &self.parts[number as usize % self.parts.len()];
        let node = part[(number / 2) as usize % part.len()].key;
        self.call(now, node, &need());
    }

    fn call(&mut self, now: Time, node: u64, need: &Need) {
        let forwarder = self.nodes.get_mut(&node).expect("it is a member");
        let Choose::Send(chosen) = forwarder.choose(now, need) else {
            self.refused += 1;
            return;
        };
        let send = forwarder.begin(now, need, chosen.target);
        // The books of the choice forget it at once, so that the target looks idle again.
        forwarder.abandon(send);
        self.sent.entry(chosen.id).or_default().push(now);
    }

    /// The most that one target got within a second.
    fn most(&self) -> usize {
        let windows = self.sent.values().map(|times| {
            let within = |at: &Time| {
                let second = times
                    .iter()
                    .filter(|time| **time >= *at && time.since(*at) < Span::from_secs(1));
                second.count()
            };
            times.iter().map(within).max().unwrap_or(0)
        });
        windows.max().unwrap_or(0)
    }
}

fn need() -> Need {
    Need {
        service: "s".to_owned(),
        ..Need::default()
    }
}

fn burst(mut call: impl FnMut(Time, u64)) {
    // Three thousand calls within two seconds, sixty a second for each engine.
    for number in 0..3000 {
        call(Time(number * 667), number);
    }
}

/// The fleet after a burst of calls that `call` sends.
fn after_burst(count: usize, parts: usize, limited: bool, call: fn(&mut Fleet, Time, u64)) -> Fleet {
    let mut fleet = Fleet::new(count, parts, limited, COLD);
    burst(|now, number| call(&mut fleet, now, number));
    fleet
}

/// A burst before fleets of several sizes, whole and cut in two.
fn after_bursts(call: fn(&mut Fleet, Time, u64), check: fn(&Fleet)) {
    for count in [9, 89, 295, 410] {
        for parts in [1, 2] {
            let fleet = after_burst(count, parts, true, call);
            assert!(
                fleet.most() <= MOST,
                "{count} nodes, {parts} parts: {}",
                fleet.most()
            );
            check(&fleet);
        }
    }
}

#[test]
fn a_cold_engine_gets_no_more_than_it_bears_with_one_owner_or_two() {
    after_bursts(Fleet::engine_call, |fleet| {
        assert_eq!(fleet.sent.len(), ENGINES, "each gets some");
    });
}

/// Nobody chooses plain targets for others, so a few nodes each may use a cold one.
#[test]
fn a_cold_plain_target_gets_no_more_than_it_bears_however_many_nodes_there_are() {
    after_bursts(Fleet::plain_call, |fleet| assert!(fleet.refused > 0));
}

#[test]
fn without_the_limit_the_same_burst_throws_them_over() {
    for call in [Fleet::engine_call, Fleet::plain_call] {
        let fleet = after_burst(89, 1, false, call);
        assert!(fleet.most() > MOST, "{}", fleet.most());
    }
}

#[test]
fn a_node_that_chooses_alone_or_has_just_started_sends_nothing_to_a_cold_engine() {
    let plan = |settled| ForwardPlan {
        catalog: catalog(true),
        targets: Arc::new(table(COLD)),
        members: Arc::new(members(3)),
        settled,
        ..ForwardPlan::default()
    };
    let alone = Need {
        engine_memory: Some(600_000),
        ..need()
    };
    let placing = Need {
        placing: Some(Shard::WHOLE),
        ..alone.clone()
    };
    let mut settled = node(&plan(true), 1);
    assert!(matches!(settled.choose(Time(0), &alone), Choose::Busy(_)));
    assert!(matches!(settled.choose(Time(0), &placing), Choose::Send(_)));
    let mut new = node(&plan(false), 1);
    assert!(matches!(new.choose(Time(0), &placing), Choose::Busy(_)));
    let warm = Time(0) + COLD;
    assert!(
        matches!(new.choose(warm, &alone), Choose::Send(_)),
        "time warms them"
    );
}

/// A node that was paused finds calls that waited meanwhile; it may send them no faster than others.
#[test]
fn a_pause_does_not_save_up_what_was_not_sent() {
    let rate = ColdRate::of_owner(BEARS);
    let mut gate = ColdGate::default();
    let hour = Time(3_600_000_000);
    let mut sent = 0;
    while gate.allows(hour, rate) {
        gate.sent(hour, rate);
        sent += 1;
    }
    assert_eq!(sent, 2);
}

#[test]
fn a_target_that_has_just_come_is_cold_before_its_own_word_says_so() {
    let mut entry = TargetEntry::default();
    assert_eq!(entry.cold_until(COLD), Time(0));
    entry.times.began = Time::from_millis(500);
    assert_eq!(entry.cold_until(COLD), Time::from_millis(3500));
    entry.times.warm_at = Time::from_millis(4000);
    assert_eq!(entry.cold_until(COLD), Time::from_millis(4000));
}
