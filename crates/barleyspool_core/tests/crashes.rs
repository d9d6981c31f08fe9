//! Tests of the crash table: when a call that crashes targets is blocked, for how long, and what is
//! evicted.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "a test stops where it fails"
)]

use barleyspool_core::{
    AnsweredCalls, CallFingerprint, CrashKnowledge, CrashTable, CrashUpdate, IncarnationId, Span, Time,
};

const CALL: CallFingerprint = CallFingerprint(7);
const START: Time = Time(1_000_000_000_000);

fn at(seconds: u64) -> Time {
    START + Span::from_secs(seconds)
}

fn run(number: u32) -> IncarnationId {
    IncarnationId(number)
}

fn wait(table: &CrashTable, now: Time) -> Option<Span> {
    table.blocked(now).wait(now, CALL)
}

#[test]
fn a_call_is_blocked_after_the_second_crash() {
    let mut table = CrashTable::default();
    assert_eq!(table.record_crash(at(0), CALL, run(1)), CrashKnowledge::Suspected);
    assert_eq!(wait(&table, at(0)), None, "a single crash may be by chance");
    assert_eq!(
        table.record_crash(at(0), CALL, run(1)),
        CrashKnowledge::Unchanged,
        "also reported by another node"
    );
    assert_eq!(table.record_crash(at(1), CALL, run(2)), CrashKnowledge::Confirmed);
    assert!(wait(&table, at(2)).unwrap() > Span::from_secs(2));
    assert_eq!(table.blocked(at(2)).wait(at(2), CallFingerprint(8)), None);
}

/// A restarted target has the same incarnation id until its new entry is read, so the time has to
/// distinguish its crashes.
#[test]
fn two_crashes_with_the_same_incarnation_id_count_twice() {
    let mut table = CrashTable::default();
    table.record_crash(at(0), CALL, run(1));
    assert_eq!(table.record_crash(at(5), CALL, run(1)), CrashKnowledge::Confirmed);
}

/// Guards the rule of the deployments: a call that crashes every target may cause three crashes and three
/// more. Here it is sent twice a second for a day, and each crash is known at once.
#[test]
fn a_call_that_is_sent_repeatedly_crashes_at_most_six_targets() {
    let mut table = CrashTable::default();
    let mut crashes = 0;
    for half in 0..172_800 {
        let now = START + Span::from_millis(half * 500);
        if wait(&table, now).is_none() {
            crashes += 1;
            table.record_crash(now, CALL, run(crashes));
        }
    }
    assert!(crashes <= 6, "{crashes}");
}

#[test]
fn a_call_blocked_after_two_crashes_is_unblocked_within_seconds() {
    let mut table = CrashTable::default();
    table.record_crash(at(0), CALL, run(1));
    table.record_crash(at(1), CALL, run(2));
    assert_eq!(wait(&table, at(7)), None);
}

#[test]
fn crashes_far_apart_do_not_count_together() {
    let mut table = CrashTable::default();
    table.record_crash(at(0), CALL, run(1));
    assert_eq!(
        table.record_crash(at(700), CALL, run(2)),
        CrashKnowledge::Suspected
    );
    assert_eq!(wait(&table, at(700)), None);
}

#[test]
fn the_table_is_bounded_and_keeps_the_calls_with_most_crashes() {
    let mut table = CrashTable::default();
    table.record_crash(at(0), CALL, run(1));
    table.record_crash(at(1), CALL, run(2));
    for other in 0..20_000 {
        table.record_crash(at(2), CallFingerprint(1000 + other), run(3));
    }
    assert!(table.len() <= 4096, "{}", table.len());
    assert!(wait(&table, at(3)).is_some());
}

/// The tables of two nodes agree whatever the order of the reports and however often each is received.
#[test]
fn reports_may_arrive_in_any_order_and_repeatedly() {
    quickcheck::QuickCheck::new().tests(1000).quickcheck(
        (|reports, shuffle| tables_agree_in_any_order(&reports, shuffle)) as fn(Vec<(u8, u8)>, u64) -> bool,
    );
}

fn tables_agree_in_any_order(reports: &[(u8, u8)], shuffle: u64) -> bool {
    let update = |(number, age): &(u8, u8)| CrashUpdate {
        fingerprint: CALL,
        crashes: vec![(run(u32::from(number % 6)), u32::from(*age) * 2500)],
    };
    let mut one = CrashTable::default();
    let mut other = CrashTable::default();
    let now = at(3600);
    let updates: Vec<CrashUpdate> = reports.iter().map(update).collect();
    for update in &updates {
        one.apply_update(now, update);
    }
    let mut rotated = updates.clone();
    rotated.rotate_left((shuffle as usize).checked_rem(updates.len()).unwrap_or(0));
    for update in rotated.iter().chain(&updates) {
        other.apply_update(now, update);
    }
    one.blocked(now) == other.blocked(now)
}

#[test]
fn a_report_from_another_node_counts_with_its_age() {
    let mut here = CrashTable::default();
    here.record_crash(at(0), CALL, run(1));
    here.record_crash(at(1), CALL, run(2));
    let mut there = CrashTable::default();
    // The clock of the other node is an hour ahead.
    let update = here.update_of(at(3), CALL).unwrap();
    assert_eq!(there.apply_update(at(3603), &update), CrashKnowledge::Confirmed);
    assert_eq!(wait(&there, at(3604)), wait(&here, at(4)));
    assert_eq!(there.apply_update(at(3603), &update), CrashKnowledge::Unchanged);
}

#[test]
fn an_answered_call_is_remembered_for_a_minute() {
    let mut answered = AnsweredCalls::default();
    answered.insert(at(0), CALL);
    assert!(answered.contains(at(59), CALL));
    assert!(!answered.contains(at(59), CallFingerprint(8)));
    assert!(!answered.contains(at(200), CALL));
    for other in 0..100_000 {
        answered.insert(at(201), CallFingerprint(other));
    }
    assert!(answered.contains(at(201), CallFingerprint(99_999)));
    assert!(!answered.contains(at(201), CallFingerprint(5)), "it is bounded");
}

#[test]
fn each_part_of_a_call_changes_its_fingerprint() {
    let fingerprint = |parts: [&str; 3]| CallFingerprint::of(&parts.map(str::as_bytes));
    let one = fingerprint(["/a", "org", "body"]);
    assert_eq!(one, fingerprint(["/a", "org", "body"]));
    for other in [
        ["/b", "org", "body"],
        ["/a", "gro", "body"],
        ["/a", "org", "ydob"],
        ["/ao", "rg", "body"],
    ] {
        assert_ne!(one, fingerprint(other));
    }
}
