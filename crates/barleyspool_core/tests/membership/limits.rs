//! How word of the limits of targets reaches all nodes, and how many others a node takes itself to hear.

use crate::net::{Net, fleet, name};
use barleyspool_core::{IncarnationId, MemberEvent, Reachability, Span};

/// The time in which every node has to know.
const KNOWN: Span = Span::from_secs(3);
const RUN: IncarnationId = IncarnationId(7);

fn heard(net: &mut Net, node: usize, per_s: Option<f64>) {
    net.step(
        &name(node),
        MemberEvent::LimitReceived {
            incarnation: RUN,
            per_s,
        },
    );
}

/// The nodes that believe something else of the target.
fn unaware(net: &Net, per_s: Option<f64>) -> Vec<&String> {
    let believes = |node: &&String| net.nodes[*node].limits().per_s(RUN);
    let names = net.nodes.keys();
    names.filter(|node| believes(node) != per_s).collect()
}

fn reach(net: &Net, node: usize) -> Reachability {
    net.nodes[&name(node)].reachability(net.now)
}

fn all_know_in_time(count: usize, seed: u64) {
    let mut net = fleet(count, seed);
    for per_s in [Some(2.5), Some(1.0), None] {
        heard(&mut net, count - 1, per_s);
        net.run(KNOWN);
        assert_eq!(
            unaware(&net, per_s),
            Vec::<&String>::new(),
            "{count} nodes, seed {seed}, {per_s:?}"
        );
    }
}

#[test]
fn a_fleet_of_8_knows_in_time_what_a_target_takes() {
    (1..6).for_each(|seed| all_know_in_time(8, seed));
}

#[test]
fn a_fleet_of_89_knows_in_time_what_a_target_takes() {
    (1..4).for_each(|seed| all_know_in_time(89, seed));
}

#[test]
fn a_fleet_of_410_knows_in_time_what_a_target_takes() {
    all_know_in_time(410, 1);
}

#[test]
fn a_node_that_starts_later_knows_what_a_target_takes() {
    let mut net = fleet(89, 1);
    heard(&mut net, 5, Some(2.0));
    net.run(Span::from_secs(20));
    net.start("m900", 1, &["m000", "m001", "m002"]);
    net.run(KNOWN);
    assert_eq!(unaware(&net, Some(2.0)), Vec::<&String>::new());
}

#[test]
fn a_fleet_before_targets_without_limits_tells_nothing_of_any() {
    let bytes = |limited: bool| {
        let mut net = fleet(89, 1);
        if limited {
            heard(&mut net, 5, Some(2.0));
        }
        let before = net.bytes;
        net.run(Span::from_secs(10));
        (net.bytes - before) as f64 / 89.0 / 10.0
    };
    let (without, with) = (bytes(false), bytes(true));
    // 13 kB/s of control is allowed to each node at the size that is designed for.
    assert!(with - without < 1500.0, "{without} and {with} bytes a second");
}

#[test]
fn all_that_are_there_are_heard_and_a_node_is_sure_of_it_after_some_seconds() {
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
fn both_sides_of_a_cut_take_their_parts_and_the_smaller_one_keeps_to_it() {
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
        "the larger side takes the others for gone: {parts:?}"
    );
    net.cut.clear();
    net.run(Span::from_secs(15));
    assert!((reach(&net, 0).rate_fraction() - 1.0).abs() < 1e-9);
}

#[test]
fn nodes_that_go_in_order_are_not_missed() {
    let mut net = fleet(8, 1);
    net.step(&name(1), MemberEvent::Leave);
    net.run(Span::from_secs(1));
    net.nodes.remove(&name(1));
    net.run(Span::from_secs(8));
    let reach = reach(&net, 4);
    assert_eq!((reach.reached, reach.known), (7, 7));
}
