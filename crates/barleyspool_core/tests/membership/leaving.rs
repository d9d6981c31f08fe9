//! Tests that all nodes learn that a target has reported in an answer that it is leaving.

use crate::net::{Net, fleet, name};
use barleyspool_core::{IncarnationId, MemberEvent, Span};

/// The time within which every node has to know: the shortest in which a leaving target must get no more
/// calls.
const KNOWN: Span = Span::from_secs(2);
const RUN: IncarnationId = IncarnationId(7);

fn report_leaving(net: &mut Net, node: usize) {
    net.step(&name(node), MemberEvent::TargetLeaves { incarnation: RUN });
}

fn unaware(net: &Net) -> Vec<&String> {
    let knows = |node: &&String| net.nodes[*node].leaving_incarnations().contains(RUN);
    net.nodes.keys().filter(|node| !knows(node)).collect()
}

fn all_know_in_time(count: usize, seed: u64) {
    let mut net = fleet(count, seed);
    report_leaving(&mut net, count - 1);
    net.run(KNOWN);
    assert_eq!(unaware(&net), Vec::<&String>::new(), "{count} nodes, seed {seed}");
}

/// Guards against nodes that place calls, for nodes that know that a target is leaving, at that target.
#[test]
fn all_nodes_know_in_time_that_a_target_leaves() {
    (1..6).for_each(|seed| all_know_in_time(8, seed));
    (1..4).for_each(|seed| all_know_in_time(89, seed));
    all_know_in_time(410, 1);
}

/// Guards against a node that starts while the source is unreachable and calls a leaving target.
#[test]
fn a_node_that_starts_later_knows_that_a_target_leaves() {
    let mut net = fleet(89, 1);
    report_leaving(&mut net, 5);
    net.run(Span::from_secs(20));
    net.start("m900", 1, &["m000", "m001", "m002"]);
    net.run(KNOWN);
    assert_eq!(unaware(&net), Vec::<&String>::new());
}

/// Guards against messages that keep each other alive, and against more of them than control traffic may
/// cost.
#[test]
fn a_leaving_target_is_gossiped_for_a_limited_time_at_a_bounded_cost() {
    let mut net = fleet(89, 1);
    let before = net.bytes;
    net.run(Span::from_secs(10));
    let without = net.bytes - before;
    report_leaving(&mut net, 5);
    let before = net.bytes;
    net.run(Span::from_secs(10));
    let with = net.bytes - before;
    let each = (with - without) as f64 / 89.0 / 10.0;
    // A tenth of the 13 kB/s that control traffic may cost each node at the designed fleet size.
    assert!(each < 1300.0, "{each} bytes a second");
    net.run(Span::from_secs(120));
    assert!(
        net.nodes
            .values()
            .all(|node| node.leaving_incarnations().is_empty())
    );
}
