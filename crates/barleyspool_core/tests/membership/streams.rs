//! Tests that a node finds the software version that began a stream at another node.

use crate::net::{LOSS, Net, fleet, name};
use barleyspool_core::{MemberEvent, Span, StreamId, StreamRecord, VersionId};

/// How long a node waits for the answers to a request.
const ANSWER_TIME: Span = Span::from_millis(80);
/// How often it asks.
const ATTEMPTS: usize = 3;
/// The streams of a test.
const STREAMS: u64 = 200;
/// How many of them must be found while nodes that know them live: nearly all, 98 in 100.
const MIN_FOUND: usize = 196;

fn begin(net: &mut Net, node: usize, stream: u64, version: u64) {
    let record = StreamRecord {
        stream: StreamId(stream * 7919),
        version: Some(VersionId(version)),
    };
    net.step(&name(node), MemberEvent::Stream(record));
}

/// What a node finds out about streams, in the same order.
fn find_all(net: &mut Net, node: usize, streams: &[u64]) -> Vec<Option<VersionId>> {
    let mut found: Vec<Option<VersionId>> = vec![None; streams.len()];
    for _ in 0..ATTEMPTS {
        net.stream_answers.clear();
        for (stream, _) in streams.iter().zip(&found).filter(|(_, found)| found.is_none()) {
            net.step(&name(node), MemberEvent::FindStream(StreamId(stream * 7919)));
        }
        net.run(ANSWER_TIME);
        for (by, stream, version) in &net.stream_answers {
            let place = streams.iter().position(|asked| StreamId(asked * 7919) == *stream);
            if let (Some(place), true) = (place, *by == name(node)) {
                found[place] = found[place].or(*version);
            }
        }
    }
    found
}

fn find(net: &mut Net, node: usize, stream: u64) -> Option<VersionId> {
    find_all(net, node, &[stream])[0]
}

/// Kills the node that began the streams, and returns how many of them another node finds.
fn found_after_a_kill(count: usize, seed: u64) -> usize {
    let mut net = fleet(count, seed);
    let streams: Vec<u64> = (0..STREAMS).collect();
    for stream in &streams {
        begin(&mut net, 1, *stream, stream % 3);
    }
    net.run(Span::from_millis(50));
    net.nodes.remove(&name(1));
    let found = find_all(&mut net, count - 1, &streams);
    let expected = |stream: &u64| Some(VersionId(stream % 3));
    let wrong = streams
        .iter()
        .zip(&found)
        .filter(|(stream, found)| found.is_some() && **found != expected(stream));
    assert_eq!(wrong.count(), 0, "{count} nodes, seed {seed}");
    found.iter().flatten().count()
}

// Guards against streams that nobody knows once the node that began them is dead.
#[test]
fn streams_of_a_dead_node_are_found_in_fleets_of_all_sizes() {
    for (count, seeds) in [(3, 5), (8, 5), (89, 2), (410, 1)] {
        for seed in 0..seeds {
            let found = found_after_a_kill(count, seed);
            assert!(found >= MIN_FOUND, "{count} nodes, seed {seed}: {found}");
        }
    }
}

// Guards against streams that nobody knows once a zone is lost together with the node that began them.
#[test]
fn streams_survive_the_loss_of_a_zone() {
    let mut net = Net::new(LOSS, 6);
    for place in 0..30 {
        let zone = format!("zone-{}", place % 3);
        net.start_in(&zone, &name(place), 1, &["m000", "m001", "m002"]);
    }
    net.run(Span::from_secs(8));
    for stream in 0..STREAMS {
        begin(&mut net, 3 * (stream as usize % 10), stream, 1);
    }
    net.run(Span::from_millis(50));
    for place in (0..30).step_by(3) {
        net.nodes.remove(&name(place));
    }
    let streams: Vec<u64> = (0..STREAMS).collect();
    let found = find_all(&mut net, 1, &streams).iter().flatten().count();
    assert!(found >= MIN_FOUND, "{found}");
}

// Guards against a node that was cut off, or has just started, and does not find what the others know.
#[test]
fn a_node_that_returns_finds_the_streams_of_others() {
    let mut net = fleet(8, 3);
    let others: Vec<String> = (0..6).map(name).collect();
    let others: Vec<&str> = others.iter().map(String::as_str).collect();
    net.cut_between(&["m006"], &others);
    begin(&mut net, 1, 1, 5);
    net.run(Span::from_secs(2));
    assert_eq!(find(&mut net, 6, 1), None, "nobody that knows it is reached");
    net.cut.clear();
    net.start(&name(7), 2, &["m000", "m001", "m002"]);
    net.run(Span::from_secs(2));
    for node in [6, 7] {
        assert_eq!(find(&mut net, node, 1), Some(VersionId(5)), "node {node}");
    }
}

// Guards against a wait for nodes that do not answer when all others have answered that they do not know the stream.
#[test]
fn an_unknown_stream_is_reported_at_once() {
    let mut net = Net::new(0.0, 4);
    for place in 0..8 {
        net.start(&name(place), 1, &["m000", "m001", "m002"]);
    }
    net.run(Span::from_secs(8));
    net.step(&name(2), MemberEvent::FindStream(StreamId(1)));
    net.run(Span::from_millis(15));
    assert_eq!(net.stream_answers, [(name(2), StreamId(1), None)]);
}

// Guards against a guess when two reports of a stream differ.
#[test]
fn a_stream_with_different_reports_has_no_version() {
    let mut net = fleet(8, 5);
    begin(&mut net, 1, 1, 5);
    begin(&mut net, 2, 1, 6);
    net.run(Span::from_secs(1));
    for node in 0..8 {
        assert_ne!(find(&mut net, node, 1), Some(VersionId(7)));
    }
    assert_eq!(find(&mut net, 1, 1), None);
    assert_eq!(find(&mut net, 2, 1), None);
}

// Guards against reports of streams that grow with the fleet: at 410 nodes each begins 16 streams a second, its share of
// 6,600 calls, all of them streams that may be resumed.
#[test]
fn reports_of_streams_stay_within_the_bytes_and_memory_of_a_node() {
    let mut net = fleet(410, 7);
    let before = net.bytes;
    net.run(Span::from_secs(1));
    let quiet = net.bytes - before;
    let before = net.bytes;
    let mut stream = 0;
    for _ in 0..16 {
        for node in 0..410 {
            stream += 1;
            begin(&mut net, node, stream, 1);
        }
        net.run(Span::from_millis(62));
    }
    let more = (net.bytes - before).saturating_sub(quiet) / 410;
    println!(
        "410 nodes: {more} bytes a second and node for streams, {} in all",
        (net.bytes - before) / 410
    );
    // Of the 13 KB a second that all control traffic of a node may take, without the headers of UDP and IP.
    assert!(more < 5_000, "{more} bytes a second");
    let most = net.nodes.values().map(|node| node.streams().len()).max().unwrap();
    println!("410 nodes: at most {most} streams known to a node after a second");
    // Five nodes know each of 16 streams a second.
    assert!(most < 16 * 5 * 2, "{most} streams");
}
