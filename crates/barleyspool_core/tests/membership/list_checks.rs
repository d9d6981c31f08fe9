//! Tests that a node knows whether its list of targets is current.

use crate::net::{Net, fleet, name};
use barleyspool_core::{MemberEvent, Revision, SourceState, Span, StreamId};

/// How long a node waits for the answers to a request.
const ANSWER_TIME: Span = Span::from_millis(80);
/// How often it asks.
const ATTEMPTS: usize = 3;

fn list(net: &mut Net, node: usize, revision: u64) {
    let state = SourceState {
        list: Revision(revision),
        ..SourceState::default()
    };
    net.step(&name(node), MemberEvent::Source(state));
}

/// The newest list that a node learns of when it asks the others.
fn check(net: &mut Net, node: usize) -> Option<Revision> {
    let call = StreamId(99);
    for _ in 0..ATTEMPTS {
        net.step(&name(node), MemberEvent::CompareLists(call));
        net.run(ANSWER_TIME);
    }
    let now = net.now;
    net.nodes.get_mut(&name(node))?.take_list_check(now, call)
}

// Guards against a node that takes its old list for the current one although another node has a newer one.
#[test]
fn a_node_learns_of_the_newest_list_of_the_others() {
    for seed in 0..10 {
        let mut net = fleet(8, seed);
        assert_eq!(check(&mut net, 0), Some(Revision(0)), "seed {seed}");
        list(&mut net, 5, 7);
        list(&mut net, 6, 6);
        assert_eq!(check(&mut net, 0), Some(Revision(7)), "seed {seed}");
        assert_eq!(check(&mut net, 5), Some(Revision(6)), "seed {seed}");
    }
}

// Guards against a node that compares its list with nothing: it is cut off, both ways or one way, and has noticed it or not.
#[test]
fn a_node_that_is_cut_off_does_not_know_whether_its_list_is_current() {
    for (sends, receives) in [(false, false), (false, true), (true, false)] {
        for count in [2, 3, 8] {
            let mut net = fleet(count, 3);
            for other in (1..count).map(name) {
                if !sends {
                    net.cut.insert((name(0), other.clone()));
                }
                if !receives {
                    net.cut.insert((other, name(0)));
                }
            }
            for after in [0, 1, 5, 30] {
                net.run(Span::from_secs(after));
                let found = check(&mut net, 0);
                assert_eq!(found, None, "{count} nodes, {sends} {receives}, {after} s");
            }
            net.cut.clear();
            net.run(Span::from_secs(20));
            assert!(check(&mut net, 0).is_some(), "{count} nodes, {sends} {receives}");
        }
    }
}

// Guards against a node that takes itself for the whole fleet, as it has reached no other node since its start.
#[test]
fn a_node_that_has_never_reached_its_seeds_does_not_know_whether_its_list_is_current() {
    let mut net = fleet(1, 1);
    for after in [0, 30, 120] {
        net.run(Span::from_secs(after));
        assert_eq!(check(&mut net, 0), None, "{after} s");
    }
}

// Guards against streams that are refused for as long as one node of several is dead, or where there is one node only.
#[test]
fn a_node_needs_no_answers_of_all_others() {
    let mut net = Net::new(0.0, 1);
    net.start(&name(0), 1, &[&name(0)]);
    assert_eq!(check(&mut net, 0), Some(Revision(0)));
    for count in [3, 8, 89] {
        let mut net = fleet(count, 2);
        net.nodes.remove(&name(1));
        for after in [0, 1, 5, 30] {
            net.run(Span::from_secs(after));
            let found = check(&mut net, 0);
            assert_eq!(found, Some(Revision(0)), "{count} nodes, {after} s");
        }
    }
}
