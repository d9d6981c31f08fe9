//! Targets of several software versions in one service.

#![allow(clippy::expect_used, clippy::panic, reason = "a test stops where it fails")]

use barleyspool_core::{
    ChooseResult, ForwardPlan, ForwardSettings, Forwarder, STREAM_RETENTION, SendEnd, Shard, Span, StreamId,
    StreamRecord, StreamTable, TargetChoice, TargetEntry, TargetQuery, TargetTable, Time, VersionId,
    rendezvous,
};
use std::sync::Arc;

fn entry(id: usize, version: &str) -> TargetEntry {
    TargetEntry {
        id: format!("i-{id}"),
        service: "s".to_owned(),
        address: format!("10.0.0.{id}:80"),
        zone: "a".to_owned(),
        software_version: version.to_owned(),
        slots: 6,
        ..TargetEntry::default()
    }
}

fn plan(now: Time, entries: &[TargetEntry]) -> ForwardPlan {
    let targets: TargetTable = entries
        .iter()
        .map(|entry| (entry.id.clone(), entry.clone()))
        .collect();
    ForwardPlan {
        created_at: now,
        listed: true,
        targets: Arc::new(targets),
        ..ForwardPlan::default()
    }
}

fn forwarder(entries: &[TargetEntry]) -> Forwarder {
    let mut forwarder = Forwarder::new(ForwardSettings::default()).expect("the state chart is valid");
    forwarder.apply_plan(&plan(Time::from_millis(1), entries));
    forwarder
}

fn query(version: Option<&str>) -> TargetQuery {
    TargetQuery {
        service: "s".to_owned(),
        engine_memory: Some(600_000),
        prefix: 7,
        prefix_tokens: 13_000,
        prompt_tokens: 17_000,
        version: version.map(|version| VersionId::of("s", version)),
        can_copy_prefixes: true,
        ..TargetQuery::default()
    }
}

fn choose(forwarder: &mut Forwarder, now: Time, query: &TargetQuery) -> TargetChoice {
    match forwarder.choose(now, query) {
        ChooseResult::Send(chosen) => chosen,
        other => panic!("{other:?}"),
    }
}

fn after(start: Time, span: Span) -> Time {
    start + span
}

// Guards against a stream that goes on at a target of another version, or waits for one.
#[test]
fn a_call_that_needs_a_version_goes_to_targets_of_it_only() {
    let mut forwarder = forwarder(&[entry(1, "v1"), entry(2, "v2"), entry(3, "v2")]);
    let now = Time::from_millis(10);
    for _ in 0..50 {
        assert_eq!(choose(&mut forwarder, now, &query(Some("v1"))).id, "i-1");
        assert_ne!(choose(&mut forwarder, now, &query(Some("v2"))).id, "i-1");
    }
    let result = forwarder.choose(now, &query(Some("v3")));
    assert!(matches!(result, ChooseResult::Busy(_)), "{result:?}");
    assert_ne!(
        VersionId::of("s", "v1"),
        VersionId::of("t", "v1"),
        "versions belong to a service"
    );
}

// Guards against streams that are refused while targets of their version serve: the cap on quarantines counts the targets of
// all versions, so that all of one version may be in quarantine.
#[test]
fn a_call_is_sent_although_all_targets_of_its_version_are_in_quarantine() {
    for engine_memory in [None, Some(600_000)] {
        let mut forwarder = forwarder(&[entry(1, "v1"), entry(2, "v2"), entry(3, "v1"), entry(4, "v2")]);
        let now = Time::from_millis(10);
        let query = TargetQuery {
            engine_memory,
            ..query(Some("v1"))
        };
        for id in ["i-1", "i-3"] {
            let target = forwarder.key(id).expect("the target is listed");
            let send = forwarder.begin(now, &query, target);
            assert!(forwarder.end(now, send, SendEnd::Unreachable), "in quarantine");
        }
        let any_version = TargetQuery {
            version: None,
            ..query.clone()
        };
        for ms in 11..1000 {
            let now = Time::from_millis(ms);
            let chosen = choose(&mut forwarder, now, &query);
            assert!(["i-1", "i-3"].contains(&chosen.id.as_str()), "{}", chosen.id);
            let usable = forwarder.usable(now, &query, &chosen.id);
            assert!(usable.is_some(), "the chosen target may be used");
            forwarder.begin(now, &query, chosen.target);
            // Other calls avoid them during the quarantine.
            if ms < 400 {
                let other = choose(&mut forwarder, now, &any_version);
                assert!(["i-2", "i-4"].contains(&other.id.as_str()), "{}", other.id);
            }
        }
    }
}

// Guards against a stream that goes on at another version since the owner that placed it has an older list: the target has
// restarted under its id.
#[test]
fn a_placement_at_a_target_of_another_version_is_not_used() {
    let mut forwarder = forwarder(&[entry(1, "v2"), entry(2, "v1")]);
    let now = Time::from_millis(10);
    assert!(forwarder.usable(now, &query(Some("v1")), "i-1").is_none());
    assert!(forwarder.usable(now, &query(Some("v1")), "i-2").is_some());
    assert!(forwarder.usable(now, &query(None), "i-1").is_some());
}

// Guards against a call that asks only owners of shards without targets of its version.
#[test]
fn a_call_that_needs_a_version_asks_the_shards_that_have_it() {
    let entries: Vec<TargetEntry> = (0..40)
        .map(|id| entry(id, if id < 2 { "v2" } else { "v1" }))
        .collect();
    let forwarder = forwarder(&entries);
    let of = 8;
    let holding: Vec<u32> = (0..2)
        .map(|id| Shard::number_of(rendezvous::text_key(&format!("i-{id}")), of))
        .collect();
    for number in 0..of {
        let first = Shard { number, of };
        let asked = forwarder.shards_to_ask(&query(Some("v2")), first);
        assert!(asked.iter().all(|shard| holding.contains(&shard.number)));
        assert!(
            holding
                .iter()
                .all(|number| asked.contains(&Shard { number: *number, of }))
        );
        assert_eq!(forwarder.shards_to_ask(&query(None), first).len(), of as usize);
        assert_eq!(forwarder.shards_to_ask(&query(None), first)[0], first);
    }
}

// Guards against a prefix that an engine copies from one of another version.
#[test]
fn a_prefix_is_copied_from_engines_of_the_same_version_only() {
    for seed in 0..20 {
        let entries = [
            entry(seed * 4 + 1, "v1"),
            entry(seed * 4 + 2, "v2"),
            entry(seed * 4 + 3, "v2"),
        ];
        let mut forwarder = forwarder(&entries);
        let now = Time::from_millis(10);
        for version in ["v1", "v2"] {
            let query = query(Some(version));
            let chosen = choose(&mut forwarder, now, &query);
            forwarder.begin(now, &query, chosen.target);
            // The engine that holds the prefix is avoided, so that another one has to copy it.
            let query = TargetQuery {
                avoid: vec![chosen.target],
                ..query
            };
            let chosen = choose(&mut forwarder, now, &query);
            let of_version = |entry: &&TargetEntry| entry.software_version == version;
            let addresses: Vec<&String> = entries
                .iter()
                .filter(of_version)
                .map(|entry| &entry.address)
                .collect();
            if let Some(source) = &chosen.source {
                assert!(addresses.contains(&source), "{version} copies from {source}");
            }
        }
    }
}

// Guards against a guess when a caller does not name the stream that it takes up: a target of another version may have begun
// it, until all streams of that time have been forgotten.
#[test]
fn the_only_version_of_a_service_is_known_after_a_while() {
    let start = Time::from_millis(1);
    let one = [entry(1, "v1"), entry(2, "v1")];
    let mut forwarder = forwarder(&one);
    let version = Some(VersionId::of("s", "v1"));
    assert_eq!(
        forwarder.only_version(Time::from_millis(100), "s"),
        None,
        "a node that has just started"
    );
    let later = after(start, STREAM_RETENTION);
    assert_eq!(forwarder.only_version(later, "s"), version);
    assert_eq!(
        forwarder.only_version(later, "t"),
        None,
        "a service without targets"
    );
    forwarder.apply_plan(&plan(later, &[entry(1, "v1"), entry(3, "v2")]));
    assert_eq!(forwarder.only_version(later, "s"), None, "two versions");
    let gone = after(later, Span::from_secs(5));
    forwarder.apply_plan(&plan(gone, &one));
    assert_eq!(
        forwarder.only_version(after(gone, Span::from_secs(5)), "s"),
        None,
        "one went lately"
    );
    assert_eq!(
        forwarder.only_version(after(gone, STREAM_RETENTION), "s"),
        version
    );
}

// Guards against a table that grows without bound, and against a stream that is forgotten while it is reported.
#[test]
fn the_table_of_streams_is_bounded_and_keeps_reported_streams() {
    let mut table = StreamTable::default();
    let record = |stream: u64| StreamRecord {
        stream: StreamId(stream),
        version: Some(VersionId(1)),
    };
    let mut now = Time::from_millis(1);
    for _ in 0..10 {
        table.record(now, record(1));
        now = now + Span(STREAM_RETENTION.0 / 3);
    }
    assert_eq!(
        table.find(now, StreamId(1)),
        Some(record(1)),
        "reported again and again"
    );
    assert_eq!(table.find(now + STREAM_RETENTION, StreamId(1)), None, "expired");
    for stream in 0..200_000 {
        table.record(now, record(stream));
    }
    assert!(table.len() <= 32_768, "{} streams", table.len());
    table.record(now + STREAM_RETENTION, record(7));
    assert_eq!(table.len(), 1, "expired streams are dropped");
}
