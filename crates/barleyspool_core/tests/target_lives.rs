//! What a node believes of a target's life: which run of it is meant, whether it may get work, what went with an earlier run.

#![allow(clippy::expect_used, clippy::panic, reason = "a test stops where it fails")]

mod batch_calls;

use barleyspool_core::{
    BatchOutcome, ChooseResult, Evacuations, ForwardPlan, ForwardSettings, Forwarder, OrderOutcome,
    PackedList, PieceOrder, PieceQueue, PoolSpec, Revision, SendEnd, Span, TargetChange, TargetEntry,
    TargetIncarnation, TargetQuery, TargetStore, TargetTable, Time, service_targets,
};
use batch_calls::all_computed;
use quickcheck::quickcheck;
use std::collections::BTreeSet;
use std::sync::Arc;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn entry(id: &str, run: u64, sequence: u64) -> TargetEntry {
    TargetEntry {
        id: id.to_owned(),
        incarnation: TargetIncarnation(run),
        sequence,
        service: "s".to_owned(),
        address: format!("10.0.0.{id}:80"),
        zone: if id < "5" { "a" } else { "b" }.to_owned(),
        slots: 6,
        ..TargetEntry::default()
    }
}

fn leaving(entry: TargetEntry) -> TargetEntry {
    TargetEntry {
        leaving: true,
        ..entry
    }
}

fn table(entries: &[TargetEntry]) -> TargetTable {
    let by_id = |entry: &TargetEntry| (entry.id.clone(), entry.clone());
    entries.iter().map(by_id).collect()
}

fn store(entries: &[TargetEntry]) -> TargetStore {
    let mut store = TargetStore::default();
    store.replace(at(0), Revision(1), table(entries));
    store
}

fn put(store: &mut TargetStore, now: Time, word: TargetEntry) -> bool {
    let revision = Revision(store.at.0 + 1);
    store.apply(now, revision, vec![TargetChange::Put(word)])
}

fn plan(store: &TargetStore) -> ForwardPlan {
    ForwardPlan {
        targets: Arc::clone(&store.table),
        restarts: Arc::clone(&store.restarts),
        services: Arc::clone(&store.services),
        converged: true,
        ..ForwardPlan::default()
    }
}

// ----------------------------------------------------------------------------
// Words

#[test]
fn a_later_run_replaces_the_earlier_one_although_it_counts_from_the_start_again() {
    let mut store = store(&[leaving(entry("1", 1000, 50))]);
    assert!(put(&mut store, at(10), entry("1", 2000, 1)));
    assert!(store.table["1"].accepts_work(), "the new run does not leave");
    assert_eq!(store.table["1"].times.restarted_at, at(10));
}

/// Guards against an entry that calls a target ready after one of its answers has said that it leaves.
#[test]
fn a_run_that_said_in_an_answer_that_it_leaves_stays_so_whatever_its_entry_says() {
    for run in [0, 1000] {
        let mut store = store(&[entry("1", run, 5), entry("2", run, 5)]);
        let changed_at = store.changed_at;
        assert!(store.note_leaving(at(10), entry("1", run, 0).incarnation_id()));
        assert!(!store.note_leaving(at(11), entry("1", run, 0).incarnation_id()));
        assert_eq!(store.changed_at, changed_at, "the source has told nothing new");
        assert_eq!(store.services["s"].working, 1);
        let ready = |sequence| TargetEntry {
            slots: 7,
            ..entry("1", run, sequence)
        };
        put(&mut store, at(20), ready(6));
        assert!(!store.table["1"].accepts_work());
        store.replace(at(30), Revision(90), table(&[ready(7), entry("2", run, 6)]));
        assert!(!store.table["1"].accepts_work());
        store.apply(at(40), Revision(91), vec![TargetChange::Gone("1".to_owned())]);
        put(&mut store, at(50), ready(8));
        assert!(!store.table["1"].accepts_work(), "its entry had expired");
        assert!(store.table["2"].accepts_work());
    }
}

/// Guards against a target that is never used again because the run before it left.
#[test]
fn the_run_after_one_that_said_it_leaves_gets_work() {
    let mut store = store(&[entry("1", 1000, 5)]);
    store.note_leaving(at(10), entry("1", 1000, 0).incarnation_id());
    put(&mut store, at(20), entry("1", 2000, 1));
    assert!(store.table["1"].accepts_work());
    let mut forwarder = Forwarder::new(ForwardSettings::default()).expect("the chart is right");
    forwarder.apply_plan(&plan(&store));
    let run = entry("1", 2000, 0).incarnation_id();
    assert_eq!(
        forwarder.leaving_incarnation(at(19), "1"),
        None,
        "an answer of the run before"
    );
    assert_eq!(forwarder.leaving_incarnation(at(21), "1"), Some(run));
}

/// Guards against answers that are read before the entry of their target is listed.
#[test]
fn a_run_that_is_listed_after_it_was_read_to_leave_gets_nothing() {
    let mut store = store(&[entry("2", 0, 1)]);
    assert!(!store.note_leaving(at(10), entry("1", 0, 0).incarnation_id()));
    put(&mut store, at(20), entry("1", 0, 1));
    assert!(!store.table["1"].accepts_work());
}

#[test]
fn a_word_of_an_earlier_run_or_an_earlier_word_of_the_same_run_changes_nothing() {
    let mut store = store(&[entry("1", 2000, 1)]);
    assert!(put(&mut store, at(10), leaving(entry("1", 2000, 5))));
    for late in [entry("1", 1000, 90), entry("1", 2000, 4)] {
        assert!(!put(&mut store, at(20), late));
        assert!(store.table["1"].leaving);
    }
    let whole = table(&[entry("1", 1000, 90)]);
    assert!(
        !store.replace(at(30), Revision(100), whole),
        "also in a whole list"
    );
    assert_eq!(store.table["1"].incarnation, TargetIncarnation(2000));
}

#[test]
fn a_late_word_does_not_bring_back_a_target_that_is_gone() {
    let mut store = store(&[entry("1", 2000, 7)]);
    store.apply(at(10), Revision(2), vec![TargetChange::Gone("1".to_owned())]);
    assert!(!put(&mut store, at(500), entry("1", 1000, 90)));
    assert!(!put(&mut store, at(500), entry("1", 2000, 6)));
    assert!(store.table.is_empty());
    assert!(put(&mut store, at(600), entry("1", 2000, 8)), "it writes again");
    assert_eq!(store.table["1"].times.appeared_at, Time(0), "and is no new one");
    store.apply(at(700), Revision(90), vec![TargetChange::Gone("1".to_owned())]);
    assert!(
        put(&mut store, at(800), entry("1", 3000, 1)),
        "nor is a later run older"
    );
    assert_eq!(store.table["1"].times.restarted_at, at(800));
}

/// Deployments whose targets do not tell when they started give each start another id, and the order of the source counts.
#[test]
fn without_a_run_the_source_says_which_word_is_newer() {
    let mut store = store(&[entry("1", 0, 9)]);
    assert!(put(&mut store, at(10), leaving(entry("1", 0, 3))));
    assert!(store.table["1"].leaving);
    assert_eq!(store.table["1"].times.restarted_at, Time(0));
}

#[test]
fn an_entry_that_cannot_be_read_names_no_target_also_where_a_good_one_stood_before() {
    let mut store = store(&[entry("1", 1000, 1), entry("2", 1000, 1)]);
    assert!(put(&mut store, at(10), TargetEntry::unreadable("1")));
    assert!(!store.table["1"].accepts_work() && !store.table["1"].accepts_release());
    assert!(store.table["2"].accepts_work(), "the others hold");
    assert_eq!(store.services["s"].working, 1);
    assert!(
        !put(&mut store, at(20), TargetEntry::unreadable("1")),
        "that is nothing new"
    );
    assert!(
        !put(&mut store, at(25), entry("1", 500, 9)),
        "an old word is no good one"
    );
    assert!(put(&mut store, at(30), entry("1", 1000, 2)));
    assert!(store.table["1"].accepts_work());
    let mut without = entry("1", 0, 3);
    without.leaving = false;
    put(&mut store, at(40), without);
    assert!(
        !store.table["1"].accepts_work(),
        "a target that told its start always does"
    );
}

type Word = (u8, u8, bool, bool);

quickcheck! {
    /// Whatever reaches a node, in whichever order and however often, what it holds of a target is the newest word that was
    /// readable, or nothing to use.
    fn the_newest_word_holds_whatever_the_order(words: Vec<Word>) -> bool {
        let mut store = store(&[entry("1", 1, 0)]);
        let mut newest = (TargetIncarnation(1), 0);
        let mut good = true;
        for (place, (run, sequence, leaves, readable)) in words.into_iter().enumerate() {
            let now = at(place as u64);
            if !readable {
                put(&mut store, now, TargetEntry::unreadable("1"));
                good = false;
                continue;
            }
            let mut word = entry("1", u64::from(run % 4) + 1, u64::from(sequence % 8));
            word.leaving = leaves;
            if (word.incarnation, word.sequence) >= newest {
                newest = (word.incarnation, word.sequence);
                good = !leaves;
            }
            put(&mut store, now, word);
            let held = &store.table["1"];
            if (held.incarnation, held.sequence) != newest || held.accepts_work() != good {
                return false;
            }
        }
        true
    }
}

// ----------------------------------------------------------------------------
// A source that goes back

/// What a source tells that has come back from a copy.
fn in_later_era(number: u64) -> Revision {
    Revision::in_era(1, number)
}

fn ids(store: &TargetStore) -> Vec<&str> {
    let used = store.table.values().filter(|entry| entry.accepts_work());
    used.map(|entry| entry.id.as_str()).collect()
}

/// Guards against changes that are taken for old ones since the numbers of revisions go back.
#[test]
fn every_revision_of_a_later_era_is_newer() {
    assert!(Revision::in_era(1, 3) > Revision::in_era(0, 900));
    assert_eq!(Revision::in_era(0, 900), Revision(900));
    let later = Revision::in_era(7, 900);
    assert_eq!((later.era(), later.number()), (7, 900));
    let mut store = store(&[entry("1", 0, 1), entry("2", 0, 1)]);
    put(&mut store, at(1), entry("3", 0, 1));
    store.apply(at(2), Revision(900), Vec::new());
    let copy = table(&[entry("1", 0, 5), entry("2", 0, 5)]);
    store.replace(at(1000), in_later_era(20), copy);
    store.apply(
        at(1100),
        in_later_era(21),
        vec![TargetChange::Put(leaving(entry("1", 0, 6)))],
    );
    store.apply(
        at(1200),
        in_later_era(22),
        vec![TargetChange::Gone("2".to_owned())],
    );
    assert_eq!(ids(&store), ["2", "3"], "a live one may write its entry again");
    assert!(store.expire(at(3100)));
    assert!(ids(&store).is_empty(), "neither has");
}

/// Guards against targets that are used again because an older copy of the source calls them ready.
#[test]
fn what_was_known_of_targets_that_leave_holds_against_an_older_copy() {
    for run in [0, 1000] {
        let mut store = store(&[entry("1", run, 1), entry("2", run, 1), entry("3", run, 1)]);
        put(&mut store, at(1), leaving(entry("1", run, 30)));
        store.apply(at(2), Revision(50), vec![TargetChange::Gone("2".to_owned())]);
        let copy = || table(&[entry("1", run, 25), entry("2", run, 25), entry("3", run, 25)]);
        store.replace(at(5000), in_later_era(20), copy());
        assert_eq!(ids(&store), ["3"], "run {run}");
        // Read again, by way of another node or after a watch that broke.
        store.replace(at(6000), in_later_era(21), copy());
        assert_eq!(ids(&store), ["3"], "run {run}, read again");
        store.apply(
            at(7000),
            in_later_era(22),
            vec![TargetChange::Gone("2".to_owned())],
        );
        put(&mut store, at(7000), leaving(entry("1", run, 31)));
        store.expire(at(60_000));
        assert_eq!(ids(&store), ["3"], "run {run}, written again");
    }
}

/// Guards against a target that is used on the strength of what was known, although its entry can't be read any more.
#[test]
fn an_entry_that_cannot_be_read_in_a_copy_names_no_target_to_use() {
    let mut store = store(&[entry("1", 0, 30), entry("2", 0, 30)]);
    let copy = table(&[TargetEntry::unreadable("1"), entry("2", 0, 25)]);
    store.replace(at(1000), in_later_era(20), copy);
    assert_eq!(ids(&store), ["2"]);
    put(&mut store, at(2000), entry("1", 0, 31));
    assert_eq!(ids(&store), ["1", "2"]);
}

/// Guards against a live target that is never used again because its entry had expired before the source came back from a copy.
#[test]
fn a_target_that_came_back_with_a_copy_is_used_again_when_it_stays_listed() {
    let mut store = store(&[entry("1", 0, 1), entry("2", 0, 1)]);
    store.apply(at(2), Revision(50), vec![TargetChange::Gone("2".to_owned())]);
    let copy = table(&[entry("1", 0, 25), entry("2", 0, 25)]);
    store.replace(at(5000), in_later_era(20), copy);
    let changed_at = store.changed_at;
    assert!(!store.expire(at(14_000)));
    assert!(store.expire(at(15_000)));
    assert_eq!(ids(&store), ["1", "2"]);
    assert_eq!(store.changed_at, changed_at, "the source has told nothing new");
    assert_eq!(store.services["s"].working, 2);
}

/// Guards against a node that takes a list from another one and uses what that one does not rely on, or for ever distrusts it.
#[test]
fn what_one_node_does_not_rely_on_another_does_not_either_but_for_what_it_knows_itself() {
    let unverified = |id: &str| TargetEntry {
        unverified: true,
        ..entry(id, 0, 25)
    };
    let mut new = TargetStore::default();
    new.replace(
        at(0),
        in_later_era(20),
        table(&[entry("1", 0, 25), unverified("2")]),
    );
    assert_eq!(ids(&new), ["1"]);
    assert!(new.expire(at(10_000)));
    assert_eq!(ids(&new), ["1", "2"]);
    let mut knows = store(&[entry("1", 0, 1), entry("2", 0, 1)]);
    let list = table(&[entry("1", 0, 25), unverified("2")]);
    let packed = PackedList::pack(&list).unpack().expect("it was packed here");
    knows.replace(at(0), in_later_era(20), packed);
    assert_eq!(ids(&knows), ["1", "2"]);
}

/// Guards against a zone whose evacuation is undone by an older copy, and against one that stays evacuated for ever although nobody wants it.
#[test]
fn an_evacuation_holds_against_an_older_copy_until_it_is_told_again_or_is_not() {
    let known = || {
        let mut evacuations = Evacuations::default();
        evacuations.replace(at(0), Revision(50), zones(&["a"]));
        evacuations
    };
    let mut told = known();
    assert!(!told.replace(at(1000), in_later_era(20), zones(&[])));
    assert_eq!(told.zones, zones(&["a"]));
    told.apply(in_later_era(21), vec![("a".to_owned(), true)]);
    assert!(!told.expire(at(60_000)), "the operator wants it");
    let mut opened = known();
    opened.replace(at(1000), in_later_era(20), zones(&[]));
    opened.apply(in_later_era(21), vec![("a".to_owned(), false)]);
    assert_eq!(opened.zones, zones(&[]));
    let mut forgotten = known();
    forgotten.replace(at(1000), in_later_era(20), zones(&["b"]));
    assert_eq!(forgotten.zones, zones(&["a", "b"]));
    let mut other = Evacuations::default();
    other.merge(at(2000), forgotten.clone());
    for (evacuations, over) in [(&mut forgotten, at(11_000)), (&mut other, at(12_000))] {
        assert!(!evacuations.replace(at(3000), in_later_era(22), zones(&["b"])));
        assert!(!evacuations.expire(over - Span::from_millis(1)));
        assert!(evacuations.expire(over));
        assert_eq!(evacuations.zones, zones(&["b"]));
    }
}

// ----------------------------------------------------------------------------
// Evacuated zones

fn zones(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

#[test]
fn what_was_read_earlier_opens_no_zone_again() {
    let mut evacuations = Evacuations::default();
    assert!(!evacuations.replace(at(0), Revision(5), zones(&[])));
    assert!(evacuations.apply(Revision(9), vec![("a".to_owned(), true)]));
    assert!(
        !evacuations.replace(at(0), Revision(8), zones(&[])),
        "another node was behind"
    );
    assert_eq!(evacuations.zones, zones(&["a"]));
    assert!(!evacuations.apply(Revision(12), Vec::new()));
    assert_eq!(
        (evacuations.at, evacuations.changed_at),
        (Revision(12), Revision(9)),
        "others are told when it changed, not how far it was heard"
    );
    assert!(evacuations.apply(
        Revision(15),
        vec![("b".to_owned(), true), ("a".to_owned(), false)]
    ));
    assert_eq!(evacuations.zones, zones(&["b"]));
    assert!(
        evacuations.replace(at(0), Revision(20), zones(&[])),
        "a whole read tells what was missed"
    );
}

#[test]
fn nothing_goes_to_an_evacuated_zone_and_targets_that_come_meanwhile_belong_to_it() {
    let mut store = store(&[entry("1", 0, 1), entry("2", 0, 1), entry("7", 0, 1)]);
    assert!(store.apply_evacuations(at(10), &zones(&["a"])));
    put(&mut store, at(20), entry("3", 0, 1));
    put(&mut store, at(20), entry("1", 0, 2));
    let open = |store: &TargetStore| {
        let open = store.table.values().filter(|entry| entry.accepts_work());
        open.map(|entry| entry.id.clone()).collect::<Vec<_>>()
    };
    assert_eq!(open(&store), ["7"]);
    assert_eq!(
        store.services["s"].working, 1,
        "forecasts reckon with what is left"
    );
    assert!(store.apply_evacuations(at(30), &zones(&[])));
    assert_eq!(open(&store), ["1", "2", "3", "7"]);
    assert_eq!(
        store.table["1"].cold_until(Span::from_millis(3000)),
        at(3030),
        "it may have turned cold shortly before it was opened"
    );
    assert_eq!(store.table["7"].cold_until(Span::from_millis(3000)), Time(0));
}

#[test]
fn a_call_finds_no_target_when_all_zones_of_its_service_are_evacuated() {
    let mut store = store(&[entry("1", 0, 1), entry("7", 0, 1)]);
    let mut forwarder = Forwarder::new(ForwardSettings::default()).expect("the chart is right");
    forwarder.apply_plan(&plan(&store));
    let need = TargetQuery {
        service: "s".to_owned(),
        ..TargetQuery::default()
    };
    store.apply_evacuations(at(10), &zones(&["a"]));
    forwarder.apply_plan(&plan(&store));
    for _ in 0..20 {
        let ChooseResult::Send(chosen) = forwarder.choose(at(20), &need) else {
            panic!("one zone is open");
        };
        assert_eq!(chosen.id, "7");
    }
    store.apply_evacuations(at(30), &zones(&["a", "b"]));
    forwarder.apply_plan(&plan(&store));
    assert!(matches!(forwarder.choose(at(40), &need), ChooseResult::Busy(_)));
    assert_eq!(plan(&store).count_working("s"), 0);
}

// ----------------------------------------------------------------------------
// What went with an earlier run

#[test]
fn nothing_that_was_seen_of_a_run_holds_for_the_next_one() {
    let mut store = store(&[entry("1", 1000, 1)]);
    let mut forwarder = Forwarder::new(ForwardSettings::default()).expect("the chart is right");
    forwarder.apply_plan(&plan(&store));
    let need = TargetQuery {
        service: "s".to_owned(),
        engine_memory: Some(600_000),
        prefix: 9,
        prefix_tokens: 10_000,
        prompt_tokens: 12_000,
        ..TargetQuery::default()
    };
    let key = forwarder.key("1").expect("it is listed");
    let send = forwarder.begin(at(1), &need, key);
    let failed = forwarder.begin(at(1), &need, key);
    forwarder.end(at(2), failed, SendEnd::Unreachable);
    put(&mut store, at(10), entry("1", 2000, 1));
    forwarder.apply_plan(&plan(&store));
    let now_key = forwarder.key("1").expect("it is listed");
    assert_ne!(key, now_key);
    forwarder.end(at(20), send, SendEnd::Unreachable);
    let record = forwarder.target(now_key).expect("it is known");
    assert_eq!((record.in_flight, record.failure_rate), (0, 0.0));
    assert!(record.pending_prefill_tokens.abs() < f64::EPSILON);
    assert!(!record.prefixes.holds(at(20), 9, 600_000), "its memory is empty");
    assert!(matches!(forwarder.choose(at(20), &need), ChooseResult::Send(_)));
}

fn spec() -> PoolSpec {
    PoolSpec {
        slots: 1,
        queue: 2,
        batch: 2,
        call_overhead: Span::from_millis(150),
        piece_time: Span::from_millis(10),
        result_capacity: 1000,
        result_ttl: Span::from_secs(4),
        link_mbps: 1000,
    }
}

fn order(request: &str, pieces: u32, inputs: &[&str]) -> PieceOrder {
    PieceOrder {
        request: request.to_owned(),
        pieces,
        inputs: inputs.iter().map(|input| (*input).to_owned()).collect(),
        deadline: at(10_000),
        due: at(1_000),
        bytes: 10,
        ..PieceOrder::default()
    }
}

fn queue(store: &TargetStore) -> PieceQueue {
    let mut queue = PieceQueue::new(spec());
    queue.apply_plan(&spec(), None, &store.table, |_| true);
    queue
}

/// An order of three pieces in calls of two: when the maker of the first two starts again they are made again at once.
#[test]
fn pieces_that_a_run_made_are_made_again_when_it_has_ended() {
    let mut store = store(&[entry("1", 1000, 1)]);
    let mut queue = queue(&store);
    queue.submit(at(0), order("r", 3, &[])).expect("there is room");
    let call = queue.next_calls(at(0)).remove(0);
    queue.call_ended(at(200), call.call, all_computed(&call));
    let old = queue.next_calls(at(200)).remove(0);
    assert_eq!((queue.waiting(), old.pieces.len()), (0, 1));
    put(&mut store, at(250), entry("1", 2000, 1));
    queue.apply_plan(&spec(), None, &store.table, |_| true);
    assert_eq!(queue.waiting(), 2, "what the ended run held is to be made");
    let again = queue.next_calls(at(250)).remove(0);
    assert_eq!(again.pieces.len(), 2, "the new run is idle");
    queue.call_ended(at(260), old.call, BatchOutcome::BrokenOff);
    let usable = queue.targets().all(|target| target.usable(at(260)));
    assert!(usable, "what the ended run did is no fault of the new one");
}

/// An order that waits with inputs at a run that has ended would be found out when its call is at work, a queue later.
#[test]
fn an_order_whose_inputs_are_gone_ends_at_once() {
    let mut makers = store(&[entry("1", 1000, 1), entry("2", 1000, 1)]);
    let pool = store(&[entry("8", 0, 1)]);
    let mut queue = queue(&pool);
    let busy = order("busy", 2, &["10.0.0.2:80/x"]);
    let kept = queue.submit(at(0), busy).expect("there is room");
    let _ = queue.next_calls(at(0));
    let waits = queue.submit(at(5), order("r", 1, &["10.0.0.1:80/y"]));
    let waits = waits.expect("there is room");
    put(&mut makers, at(50), entry("1", 2000, 1));
    let plan = plan(&makers);
    queue.fail_lost_inputs(|handle, since| plan.is_result_lost(handle, since));
    assert_eq!(queue.take_ended(), [(waits, OrderOutcome::InputsGone)]);
    assert!(queue.order(kept).is_some());
    let later = queue.submit(at(60), order("later", 1, &["10.0.0.1:80/z"]));
    let later = later.expect("there is room");
    queue.fail_lost_inputs(|handle, since| plan.is_result_lost(handle, since));
    assert!(queue.order(later).is_some(), "that one the new run made");
}

#[test]
fn results_at_a_target_that_gets_nothing_more_are_not_freed_there() {
    let mut store = store(&[entry("1", 0, 1)]);
    let mut queue = queue(&store);
    queue.submit(at(0), order("r", 2, &[])).expect("there is room");
    let call = queue.next_calls(at(0)).remove(0);
    queue.call_ended(at(200), call.call, all_computed(&call));
    let Some((_, OrderOutcome::Computed(handles))) = queue.take_ended().pop() else {
        panic!("they were made");
    };
    store.apply_evacuations(at(210), &zones(&["a"]));
    queue.apply_plan(&spec(), None, &store.table, |_| true);
    queue.release(handles);
    assert!(queue.take_releasable(Time(0)).is_empty());
    let services = service_targets(&store.table);
    assert_eq!(services["s"].working, 0);
}

/// Guards against a zone that a node opens since another one, whose list it takes in the later era, never knew that it was evacuated.
#[test]
fn an_evacuation_that_another_node_does_not_know_holds_too() {
    let mut knows = Evacuations::default();
    knows.replace(at(0), Revision(50), zones(&["a"]));
    let mut other = Evacuations::default();
    other.replace(at(0), Revision(40), zones(&[]));
    other.replace(at(1000), in_later_era(20), zones(&["b"]));
    assert!(knows.merge(at(1000), other));
    assert_eq!(knows.zones, zones(&["a", "b"]));
    assert!(knows.expire(at(11_000)));
    assert_eq!(knows.zones, zones(&["b"]));
}
