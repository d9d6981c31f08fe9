//! Tests that rate limits of targets reach all nodes, and of the reachability that a node computes.

use crate::net::{Net, fleet, name};
use barleyspool_core::{IncarnationId, MemberEvent, Reachability, Span};

/// The time within which every node has to know.
const KNOWN: Span = Span::from_secs(3);
const RUN: IncarnationId = IncarnationId(7);

fn report_limit(net: &mut Net, node: usize, per_s: Option<f64>) {
    net.step(
        &name(node),
        MemberEvent::LimitReceived {
            incarnation: RUN,
            per_s,
        },
    );
}

/// The nodes that know another limit of the target.
fn unaware(net: &Net, per_s: Option<f64>) -> Vec<&String> {
    let known_limit = |node: &&String| net.nodes[*node].limits().per_s(RUN);
    let names = net.nodes.keys();
    names.filter(|node| known_limit(node) != per_s).collect()
}

fn reach(net: &Net, node: usize) -> Reachability {
    net.nodes[&name(node)].reachability(net.now)
}

fn all_know_in_time(count: usize, seed: u64) {
    let mut net = fleet(count, seed);
    for per_s in [Some(2.5), Some(1.0), None] {
        report_limit(&mut net, count - 1, per_s);
        net.run(KNOWN);
        assert_eq!(
            unaware(&net, per_s),
            Vec::<&String>::new(),
            "{count} nodes, seed {seed}, {per_s:?}"
        );
    }
}

#[test]
fn a_fleet_of_8_knows_in_time_the_limit_of_a_target() {
    (1..6).for_each(|seed| all_know_in_time(8, seed));
}

#[test]
fn a_fleet_of_89_knows_in_time_the_limit_of_a_target() {
    (1..4).for_each(|seed| all_know_in_time(89, seed));
}

#[test]
fn a_fleet_of_410_knows_in_time_the_limit_of_a_target() {
    all_know_in_time(410, 1);
}

#[test]
fn a_node_that_starts_later_knows_the_limit_of_a_target() {
    let mut net = fleet(89, 1);
    report_limit(&mut net, 5, Some(2.0));
    net.run(Span::from_secs(20));
    net.start("m900", 1, &["m000", "m001", "m002"]);
    net.run(KNOWN);
    assert_eq!(unaware(&net, Some(2.0)), Vec::<&String>::new());
}

#[test]
fn limits_of_targets_cost_no_more_than_the_allowed_bandwidth() {
    let bytes = |limited: bool| {
        let mut net = fleet(89, 1);
        if limited {
            report_limit(&mut net, 5, Some(2.0));
        }
        let before = net.bytes;
        net.run(Span::from_secs(10));
        (net.bytes - before) as f64 / 89.0 / 10.0
    };
    let (without, with) = (bytes(false), bytes(true));
    // Control traffic may cost each node 13 kB/s at the designed fleet size.
    assert!(with - without < 1500.0, "{without} and {with} bytes a second");
}

#[test]
fn all_live_nodes_are_reached_and_reachability_is_steady_after_some_seconds() {
    let mut net = fleet(8, 1);
    net.run(Span::from_secs(1));
    for node in 0..8 {
        let reach = reach(&net, node);
        assert_eq!((reach.reached, reach.known, reach.steady), (8, 8, true));
    }
    net.start("m900", 1, &["m000"]);
    net.run(Span::from_secs(2));
    assert!(!net.nodes["m900"].reachability(net.now).steady);
}

#[test]
fn both_sides_of_a_partition_use_their_fractions_and_the_minority_keeps_to_it() {
    let mut net = fleet(9, 1);
    let few: Vec<String> = (0..3).map(name).collect();
    let many: Vec<String> = (3..9).map(name).collect();
    for (one, other) in few
        .iter()
        .flat_map(|one| many.iter().map(move |other| (one, other)))
    {
        net.cut.insert((one.clone(), other.clone()));
        net.cut.insert((other.clone(), one.clone()));
    }
    net.run(Span::from_secs(8));
    let parts = [reach(&net, 0).rate_fraction(), reach(&net, 5).rate_fraction()];
    assert!(
        (parts[0] - 3.0 / 9.0).abs() < 1e-9 && (parts[1] - 6.0 / 9.0).abs() < 1e-9,
        "{parts:?}"
    );
    net.run(Span::from_secs(60));
    let parts = [reach(&net, 0).rate_fraction(), reach(&net, 5).rate_fraction()];
    assert!((parts[0] - 3.0 / 9.0).abs() < 1e-9, "{parts:?}");
    assert!(
        (parts[1] - 1.0).abs() < 1e-9,
        "the majority takes the others for gone: {parts:?}"
    );
    net.cut.clear();
    net.run(Span::from_secs(15));
    assert!((reach(&net, 0).rate_fraction() - 1.0).abs() < 1e-9);
}

#[test]
fn nodes_that_leave_by_a_planned_stop_do_not_count_as_missing() {
    let mut net = fleet(8, 1);
    net.step(&name(1), MemberEvent::Leave);
    net.run(Span::from_secs(1));
    net.nodes.remove(&name(1));
    net.run(Span::from_secs(8));
    let reach = reach(&net, 4);
    assert_eq!((reach.reached, reach.known), (7, 7));
}
