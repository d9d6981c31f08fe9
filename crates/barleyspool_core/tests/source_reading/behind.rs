//! Nodes that know of newer data and get it from no other node.

use barleyspool_core::{HeldRevisions, Revision, SourceRole, SourceState, SourceWatch, Span, Time};

const STEP: Span = Span::from_millis(5);

fn state(version: u64) -> SourceState {
    SourceState {
        version: Revision(version),
        ..SourceState::default()
    }
}

fn followers(size: usize) -> Vec<SourceWatch> {
    let follower = |seed| {
        let mut watch = SourceWatch::new(Time(0), seed as u64);
        watch.set_role(SourceRole::default(), size);
        watch
    };
    (0..size).map(follower).collect()
}

/// Guards against followers that stay behind for as long as they receive announcements, since these postpone the time from
/// which they read the source.
#[test]
fn a_follower_that_stays_behind_reads_the_source_although_announcements_arrive() {
    for (size, limit) in [(12, 700), (89, 1100), (410, 2700)] {
        for mut watch in followers(size) {
            let learned = Time::from_millis(10_000);
            let mut now = learned;
            while watch.take_overdue(now).is_none() {
                assert!(now.since(learned) <= Span::from_millis(limit), "{size} nodes");
                watch.record_reader_answer(now);
                watch.handle_report(now, state(7), HeldRevisions::default());
                now = now + STEP;
            }
        }
    }
}

/// Guards against a number of calls to the source that grows with the fleet where no node answers any other.
#[test]
fn followers_that_are_behind_read_the_source_at_a_rate_that_does_not_grow_with_their_number() {
    for size in [12, 89, 410] {
        let mut watches = followers(size);
        let learned = Time::from_millis(10_000);
        let mut reads = 0;
        for step in 0..2000 {
            let now = learned + STEP.scale(f64::from(step));
            for watch in &mut watches {
                watch.handle_report(now, state(7), HeldRevisions::default());
                reads += usize::from(watch.take_overdue(now).is_some());
            }
        }
        // 10 s at 200 a second, or each node at most every 600 ms.
        let most = (10 * 200).min(size * 10_000 / 600 + size);
        assert!(
            reads <= most,
            "{size} nodes: {reads} reads in 10 s, at most {most}"
        );
    }
}

/// Guards against a read of data that another node has delivered meanwhile.
#[test]
fn a_follower_that_has_caught_up_does_not_read_the_source() {
    let mut watch = followers(12).remove(0);
    watch.handle_report(Time::from_millis(10_000), state(7), HeldRevisions::default());
    let held = HeldRevisions {
        version: Revision(7),
        ..HeldRevisions::default()
    };
    assert!(!watch.should_ask(Time::from_millis(10_100), held, false));
    assert_eq!(watch.take_overdue(Time::from_millis(20_000)), None);
    assert_eq!(watch.behind_for(Time::from_millis(20_000)), Span::ZERO);
}
