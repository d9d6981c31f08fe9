//! How it reaches all nodes that a target has said in an answer that it leaves.

use crate::net::{Net, fleet, name};
use barleyspool_core::{IncarnationId, MemberEvent, Span};

/// The time in which every node has to know: the least in which a target that leaves must get nothing more.
const KNOWN: Span = Span::from_secs(2);
const RUN: IncarnationId = IncarnationId(7);

fn read(net: &mut Net, node: usize) {
    net.step(&name(node), MemberEvent::TargetLeaves { incarnation: RUN });
}

fn unaware(net: &Net) -> Vec<&String> {
    let knows = |node: &&String| net.nodes[*node].leaving_runs().contains(RUN);
    net.nodes.keys().filter(|node| !knows(node)).collect()
}

fn all_know_in_time(count: usize, seed: u64) {
    let mut net = fleet(count, seed);
    read(&mut net, count - 1);
    net.run(KNOWN);
    assert_eq!(unaware(&net), Vec::<&String>::new(), "{count} nodes, seed {seed}");
}

/// Guards against nodes that place calls at a target for others which know that it leaves.
#[test]
fn fleets_know_in_time_that_a_target_leaves() {
    (1..6).for_each(|seed| all_know_in_time(8, seed));
    (1..4).for_each(|seed| all_know_in_time(89, seed));
    all_know_in_time(410, 1);
}

/// Guards against a node that starts while the source is away and calls a target that leaves.
#[test]
fn a_node_that_starts_later_knows_that_a_target_leaves() {
    let mut net = fleet(89, 1);
    read(&mut net, 5);
    net.run(Span::from_secs(20));
    net.start("m900", 1, &["m000", "m001", "m002"]);
    net.run(KNOWN);
    assert_eq!(unaware(&net), Vec::<&String>::new());
}

/// Guards against messages that keep each other alive, and against more of them than control may cost.
#[test]
fn it_is_told_for_a_while_at_a_bounded_cost() {
    let mut net = fleet(89, 1);
    let before = net.bytes;
    net.run(Span::from_secs(10));
    let without = net.bytes - before;
    read(&mut net, 5);
    let before = net.bytes;
    net.run(Span::from_secs(10));
    let with = net.bytes - before;
    let each = (with - without) as f64 / 89.0 / 10.0;
    // A tenth of the 13 kB/s that control may cost each node at the size that is designed for.
    assert!(each < 1300.0, "{each} bytes a second");
    net.run(Span::from_secs(120));
    assert!(net.nodes.values().all(|node| node.leaving_runs().is_empty()));
}
