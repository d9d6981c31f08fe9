//! Tests that the death of a node reaches all others.
//!
//! Guards against a failure in fleets of 60 to 90 nodes: answers to callers named a node for many seconds
//! after it had lost power while the configuration changed ten times a second. Each node passed on what it
//! knew about the others, including their configuration versions, eight updates at a time, so ten versions
//! a second delayed the update about the death behind those about all other nodes. Each node then detected
//! the death by a probe of its own, and probing the whole fleet once takes 21 s. In the logs of such a
//! fleet every suspicion was based on silence and none on gossip, and without configuration changes the
//! last node drops the dead one after 2.1 s. The other tests cover the same cause elsewhere: an update
//! about a death is sent a limited number of times and is lost on a node that cannot receive it then.

use crate::net::Net;
use barleyspool_core::{MemberEvent, Revision, SourceState, Span};

/// Number of nodes in the fleets of these tests.
const FLEET: usize = 86;
/// How long a death may take to reach all nodes: a fleet without other updates takes 2.1 s.
const DEATH_KNOWN: Span = Span::from_millis(3500);
/// The time between two changes that all nodes make at once.
const CHANGE_EVERY: Span = Span::from_millis(100);

fn names() -> Vec<String> {
    (0..FLEET).map(|place| format!("m{place:02}")).collect()
}

fn fleet(seed: u64) -> Net {
    let mut net = Net::new(0.01, seed);
    for name in names() {
        net.start(&name, 1, &["m00", "m30", "m60"]);
    }
    net.run(Span::from_secs(6));
    net
}

/// The nodes that still name `dead` to callers.
fn namers(net: &Net, dead: &str) -> Vec<String> {
    let nodes = net.nodes.keys();
    nodes
        .filter(|name| net.seen(name).contains(dead))
        .cloned()
        .collect()
}

fn assert_nobody_names(net: &Net, dead: &str, seed: u64) {
    let namers = namers(net, dead);
    let count = namers.len();
    assert!(
        namers.is_empty(),
        "seed {seed}: {count} still name it: {namers:?}"
    );
}

/// Runs for `span` while the configuration changes repeatedly at all nodes.
fn run_with_versions(net: &mut Net, version: &mut u64, span: Span) {
    let end = net.now + span;
    while net.now < end {
        *version += 1;
        let source = SourceState {
            failing: false,
            version: Revision(*version),
            list: Revision(1),
            evacuations: Revision::default(),
        };
        for name in names() {
            net.step(&name, MemberEvent::Source(source));
        }
        net.run(CHANGE_EVERY);
    }
}

#[test]
fn a_death_reaches_all_nodes_while_configurations_change() {
    for seed in 0..2 {
        let mut net = fleet(seed);
        let mut version = 1;
        run_with_versions(&mut net, &mut version, Span::from_secs(2));
        net.nodes.remove("m85");
        run_with_versions(&mut net, &mut version, DEATH_KNOWN);
        assert_nobody_names(&net, "m85", seed);
    }
}

#[test]
fn a_death_reaches_all_nodes_while_other_nodes_come_and_go() {
    for seed in 0..2 {
        let mut net = fleet(seed);
        net.nodes.remove("m85");
        let end = net.now + DEATH_KNOWN;
        let mut serving = true;
        while net.now < end {
            serving = !serving;
            for name in &names()[..20] {
                net.step(name, MemberEvent::Serving(serving));
            }
            net.run(CHANGE_EVERY);
        }
        assert_nobody_names(&net, "m85", seed);
    }
}

#[test]
fn a_death_is_accepted_by_nodes_that_know_newer_facts_of_the_dead_node() {
    for seed in 0..4 {
        let mut net = fleet(seed);
        net.step("m85", MemberEvent::Serving(false));
        net.step("m85", MemberEvent::Serving(true));
        net.nodes.remove("m85");
        net.run(DEATH_KNOWN);
        assert_nobody_names(&net, "m85", seed);
    }
}

#[test]
fn a_node_that_was_suspended_during_a_death_learns_of_it() {
    for seed in 0..4 {
        let mut net = fleet(seed);
        net.asleep.insert("m10".to_owned());
        net.run(Span::from_millis(500));
        net.nodes.remove("m85");
        net.run(Span::from_secs(15));
        net.asleep.clear();
        net.run(DEATH_KNOWN);
        assert_nobody_names(&net, "m85", seed);
    }
}

/// A pause of 0.7 s is long enough to be suspected, and ends before the suspicion times out.
#[test]
fn a_node_that_paused_is_not_taken_for_dead_for_long() {
    let plays = 8;
    let mut node_ms = 0;
    for seed in 0..plays {
        let mut net = fleet(seed);
        net.asleep.insert("m40".to_owned());
        net.run(Span::from_millis(700));
        net.asleep.clear();
        for _ in 0..80 {
            net.run(Span::from_millis(50));
            node_ms += 50 * (FLEET - namers(&net, "m40").len());
        }
    }
    let each = node_ms as f64 / 1000.0 / plays as f64;
    assert!(each < 6.0, "{each} node-seconds in each play");
}

/// The other nodes have long forgotten the dead node when the suspended one resumes and still knows it as
/// alive.
#[test]
fn a_node_that_was_suspended_for_long_revives_no_dead_node() {
    for seed in 0..8 {
        let mut net = Net::new(0.01, seed);
        for name in &names()[..20] {
            net.start(name, 1, &["m00", "m05", "m10"]);
        }
        net.run(Span::from_secs(6));
        net.asleep.insert("m07".to_owned());
        net.nodes.remove("m19");
        net.run(Span::from_secs(45));
        net.asleep.clear();
        // A node that starts now sends requests to all others, including the one that was suspended.
        net.start("m20", 1, &["m00", "m05", "m10"]);
        for _ in 0..40 {
            net.run(Span::from_millis(100));
            let mut namers = namers(&net, "m19");
            namers.retain(|name| name != "m07");
            assert!(namers.is_empty(), "seed {seed}: named again by {namers:?}");
        }
    }
}

/// A node that was cut off takes the others for dead, one after the other, and reports so on its return.
#[test]
fn deaths_reported_by_a_node_that_was_cut_off_are_not_accepted() {
    for seed in 0..3 {
        let mut net = fleet(seed);
        let all = names();
        let others: Vec<&str> = all
            .iter()
            .map(String::as_str)
            .filter(|name| *name != "m31")
            .collect();
        net.cut_between(&["m31"], &others);
        net.run(Span::from_secs(8));
        net.cut.clear();
        net.run(Span::from_secs(2));
        let missing = |name: &&str| {
            let seen = net.seen(name);
            others.iter().filter(|other| !seen.contains(**other)).count()
        };
        let pairs: usize = others.iter().map(missing).sum();
        assert!(
            pairs < 400,
            "seed {seed}: in {pairs} of 7140 pairs one takes the other for dead"
        );
    }
}

#[test]
fn the_death_of_half_the_fleet_reaches_the_other_half() {
    for seed in 0..2 {
        let mut net = fleet(seed);
        let dead: Vec<String> = names().into_iter().skip(1).step_by(2).collect();
        for name in &dead {
            net.nodes.remove(name);
        }
        net.run(Span::from_secs(5));
        for name in &dead {
            assert_nobody_names(&net, name, seed);
        }
    }
}
