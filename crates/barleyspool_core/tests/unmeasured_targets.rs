//! Targets of which nothing is known yet, or not any more, beside one that has just answered fast: whether they get calls at low load.

#![allow(clippy::expect_used, clippy::panic, reason = "a test stops where it fails")]

use barleyspool_core::{
    ChooseResult, ForwardPlan, ForwardSettings, Forwarder, SendEnd, Span, TargetEntry, TargetQuery,
    TargetTable, Time,
};
use std::sync::Arc;

/// The time between two calls of a node at low load.
const GAP: Span = Span::from_millis(10);
/// The answer to the first call at a target, which makes the connection, and the usual one.
const FIRST_ANSWER: Span = Span::from_millis(12);
const ANSWER: Span = Span::from_millis(2);

fn entry(id: &str, zone: &str) -> TargetEntry {
    TargetEntry {
        id: id.to_owned(),
        service: "s".to_owned(),
        address: "10.0.0.1:80".to_owned(),
        zone: zone.to_owned(),
        slots: 6,
        ..TargetEntry::default()
    }
}

/// A node in zone "a" that calls one target after the other.
struct Node {
    forwarder: Forwarder,
    table: TargetTable,
    now: Time,
    /// The targets that were called, in order.
    called: Vec<String>,
}

impl Node {
    fn new(seed: u64) -> Self {
        let settings = ForwardSettings {
            zone: "a".to_owned(),
            seed,
            ..ForwardSettings::default()
        };
        Self {
            forwarder: Forwarder::new(settings).expect("the chart is right"),
            table: TargetTable::new(),
            now: Time::from_millis(1000),
            called: Vec::new(),
        }
    }

    fn list(&mut self, entry: TargetEntry) {
        self.table.insert(entry.id.clone(), entry);
        self.forwarder.apply_plan(&ForwardPlan {
            targets: Arc::new(self.table.clone()),
            ..ForwardPlan::default()
        });
    }

    /// Makes calls, one after the other, for as long as `lasts`; returns how many went to `id`.
    fn call(&mut self, lasts: Span, id: &str) -> usize {
        let need = TargetQuery {
            service: "s".to_owned(),
            ..TargetQuery::default()
        };
        let before = self.called.len();
        let end = self.now + lasts;
        while self.now < end {
            let ChooseResult::Send(chosen) = self.forwarder.choose(self.now, &need) else {
                panic!("a target is free");
            };
            let answer = if self.called.contains(&chosen.id) {
                ANSWER
            } else {
                FIRST_ANSWER
            };
            let send = self.forwarder.begin(self.now, &need, chosen.target);
            let answered = SendEnd::Answered { success: true };
            self.forwarder.end(self.now + answer, send, answered);
            self.called.push(chosen.id);
            self.now = self.now + GAP;
        }
        self.called[before..]
            .iter()
            .filter(|called| *called == id)
            .count()
    }
}

/// Guards against a target that is passed over when it is listed, since those that are known have just answered faster than usual.
#[test]
fn a_new_target_is_called_within_a_second_beside_a_fast_one() {
    for seed in 1..20 {
        let mut node = Node::new(seed);
        node.list(entry("i-1", "a"));
        node.call(Span::from_millis(100), "i-1");
        node.list(entry("i-2", "a"));
        assert!(node.call(Span::from_secs(1), "i-2") > 0, "seed {seed}");
    }
}

/// Guards against calls that go on to another zone after a near target's rest, since the far one has just answered faster than usual.
#[test]
fn a_near_target_that_rested_is_preferred_at_once_to_a_far_one() {
    const REST: Span = Span::from_millis(2400);
    for calls in [5, 10, 20, 40] {
        let mut node = Node::new(calls);
        node.list(entry("i-near", "a"));
        node.forwarder.apply_cooldown(node.now, node.now, "i-near", REST);
        node.list(entry("i-far", "b"));
        node.now = node.now + REST;
        node.now = Time(node.now.0 - GAP.0 * calls);
        node.call(Span(GAP.0 * calls), "i-far");
        assert_eq!(node.call(GAP, "i-near"), 1, "the first after {calls} calls");
        let near = node.call(Span::from_secs(1), "i-near");
        assert!(near > 50, "{near} of 100 calls after {calls} to the far one");
    }
}
