//! Calls under which targets end: when they are refused, for how long, and what is forgotten.

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
fn a_call_is_refused_after_the_second_target_that_ended_under_it() {
    let mut table = CrashTable::default();
    assert_eq!(table.record_crash(at(0), CALL, run(1)), CrashKnowledge::Suspected);
    assert_eq!(wait(&table, at(0)), None, "one may have ended by chance");
    assert_eq!(
        table.record_crash(at(0), CALL, run(1)),
        CrashKnowledge::Unchanged,
        "told by another node too"
    );
    assert_eq!(table.record_crash(at(1), CALL, run(2)), CrashKnowledge::Confirmed);
    assert!(wait(&table, at(2)).unwrap() > Span::from_secs(2));
    assert_eq!(table.blocked(at(2)).wait(at(2), CallFingerprint(8)), None);
}

/// A target may start again under its id, and then tells nothing that another run could be told by until its entry is read.
#[test]
fn a_target_that_ends_twice_under_its_mark_counts_twice() {
    let mut table = CrashTable::default();
    table.record_crash(at(0), CALL, run(1));
    assert_eq!(table.record_crash(at(5), CALL, run(1)), CrashKnowledge::Confirmed);
}

/// The aim is the rule of the deployments: of a call that ends every target, three ends and three more. It comes twice a second
/// for a day, and each end is known at once.
#[test]
fn a_call_that_keeps_coming_ends_few_targets() {
    let mut table = CrashTable::default();
    let mut ends = 0;
    for half in 0..172_800 {
        let now = START + Span::from_millis(half * 500);
        if wait(&table, now).is_none() {
            ends += 1;
            table.record_crash(now, CALL, run(ends));
        }
    }
    assert!(ends <= 6, "{ends}");
}

#[test]
fn a_call_that_was_at_two_targets_by_chance_is_served_again_soon() {
    let mut table = CrashTable::default();
    table.record_crash(at(0), CALL, run(1));
    table.record_crash(at(1), CALL, run(2));
    assert_eq!(wait(&table, at(7)), None);
}

#[test]
fn an_end_says_nothing_of_one_that_was_long_before() {
    let mut table = CrashTable::default();
    table.record_crash(at(0), CALL, run(1));
    assert_eq!(
        table.record_crash(at(700), CALL, run(2)),
        CrashKnowledge::Suspected
    );
    assert_eq!(wait(&table, at(700)), None);
}

#[test]
fn the_table_holds_a_few_thousand_calls_and_those_last_that_ended_most() {
    let mut table = CrashTable::default();
    table.record_crash(at(0), CALL, run(1));
    table.record_crash(at(1), CALL, run(2));
    for other in 0..20_000 {
        table.record_crash(at(2), CallFingerprint(1000 + other), run(3));
    }
    assert!(table.len() <= 4096, "{}", table.len());
    assert!(wait(&table, at(3)).is_some());
}

/// Whatever the order in which words come, and however often, the tables of two nodes say the same.
#[test]
fn words_may_come_in_any_order_and_again() {
    quickcheck::QuickCheck::new().tests(1000).quickcheck(
        (|words, shuffle| the_order_does_not_matter(&words, shuffle)) as fn(Vec<(u8, u8)>, u64) -> bool,
    );
}

fn the_order_does_not_matter(words: &[(u8, u8)], shuffle: u64) -> bool {
    let news = |(number, age): &(u8, u8)| CrashUpdate {
        fingerprint: CALL,
        crashes: vec![(run(u32::from(number % 6)), u32::from(*age) * 2500)],
    };
    let mut one = CrashTable::default();
    let mut other = CrashTable::default();
    let now = at(3600);
    let told: Vec<CrashUpdate> = words.iter().map(news).collect();
    for news in &told {
        one.apply_update(now, news);
    }
    let mut turned = told.clone();
    turned.rotate_left((shuffle as usize).checked_rem(told.len()).unwrap_or(0));
    for news in turned.iter().chain(&told) {
        other.apply_update(now, news);
    }
    one.blocked(now) == other.blocked(now)
}

#[test]
fn a_word_from_another_node_counts_with_its_age() {
    let mut here = CrashTable::default();
    here.record_crash(at(0), CALL, run(1));
    here.record_crash(at(1), CALL, run(2));
    let mut there = CrashTable::default();
    // The clock of the other node is an hour ahead.
    let news = here.update_of(at(3), CALL).unwrap();
    assert_eq!(there.apply_update(at(3603), &news), CrashKnowledge::Confirmed);
    assert_eq!(wait(&there, at(3604)), wait(&here, at(4)));
    assert_eq!(there.apply_update(at(3603), &news), CrashKnowledge::Unchanged);
}

#[test]
fn a_call_that_targets_answer_is_known_as_such_for_a_minute() {
    let mut survivors = AnsweredCalls::default();
    survivors.insert(at(0), CALL);
    assert!(survivors.contains(at(59), CALL));
    assert!(!survivors.contains(at(59), CallFingerprint(8)));
    assert!(!survivors.contains(at(200), CALL));
    for other in 0..100_000 {
        survivors.insert(at(201), CallFingerprint(other));
    }
    assert!(survivors.contains(at(201), CallFingerprint(99_999)));
    assert!(!survivors.contains(at(201), CallFingerprint(5)), "it is bounded");
}

#[test]
fn a_print_tells_calls_apart_by_each_part() {
    let print = |parts: [&str; 3]| CallFingerprint::of(&parts.map(str::as_bytes));
    let one = print(["/a", "org", "body"]);
    assert_eq!(one, print(["/a", "org", "body"]));
    for other in [
        ["/b", "org", "body"],
        ["/a", "gro", "body"],
        ["/a", "org", "ydob"],
        ["/ao", "rg", "body"],
    ] {
        assert_ne!(one, print(other));
    }
}
