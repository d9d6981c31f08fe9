//! The lifecycle of targets as a node sees it: which incarnation an entry is of, whether the target may
//! get work, and which state is dropped with an earlier incarnation.

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

fn entry(id: &str, incarnation: u64, sequence: u64) -> TargetEntry {
    TargetEntry {
        id: id.to_owned(),
        incarnation: TargetIncarnation(incarnation),
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

fn put(store: &mut TargetStore, now: Time, update: TargetEntry) -> bool {
    let revision = Revision(store.at.0 + 1);
    store.apply(now, revision, vec![TargetChange::Put(update)])
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
// Updates of entries

#[test]
fn a_later_incarnation_replaces_an_earlier_one_although_its_sequence_starts_again() {
    let mut store = store(&[leaving(entry("1", 1000, 50))]);
    assert!(put(&mut store, at(10), entry("1", 2000, 1)));
    assert!(
        store.table["1"].accepts_work(),
        "the new incarnation is not leaving"
    );
    assert_eq!(store.table["1"].times.restarted_at, at(10));
}

/// Guards against an entry that says that a target is ready after the target has reported in an answer
/// that it leaves.
#[test]
fn an_incarnation_that_reported_leaving_stays_leaving_whatever_its_entry_says() {
    for incarnation in [0, 1000] {
        let mut store = store(&[entry("1", incarnation, 5), entry("2", incarnation, 5)]);
        let changed_at = store.changed_at;
        assert!(store.note_leaving(at(10), entry("1", incarnation, 0).incarnation_id()));
        assert!(!store.note_leaving(at(11), entry("1", incarnation, 0).incarnation_id()));
        assert_eq!(
            store.changed_at, changed_at,
            "the list of the source has not changed"
        );
        assert_eq!(store.services["s"].working, 1);
        let ready = |sequence| TargetEntry {
            slots: 7,
            ..entry("1", incarnation, sequence)
        };
        put(&mut store, at(20), ready(6));
        assert!(!store.table["1"].accepts_work());
        store.replace(
            at(30),
            Revision(90),
            table(&[ready(7), entry("2", incarnation, 6)]),
        );
        assert!(!store.table["1"].accepts_work());
        store.apply(at(40), Revision(91), vec![TargetChange::Gone("1".to_owned())]);
        put(&mut store, at(50), ready(8));
        assert!(!store.table["1"].accepts_work(), "its entry had expired");
        assert!(store.table["2"].accepts_work());
    }
}

/// Guards against a target that is never used again because its previous incarnation left.
#[test]
fn the_incarnation_after_one_that_reported_leaving_gets_work() {
    let mut store = store(&[entry("1", 1000, 5)]);
    store.note_leaving(at(10), entry("1", 1000, 0).incarnation_id());
    put(&mut store, at(20), entry("1", 2000, 1));
    assert!(store.table["1"].accepts_work());
    let mut forwarder = Forwarder::new(ForwardSettings::default()).expect("the state chart is valid");
    forwarder.apply_plan(&plan(&store));
    let incarnation = entry("1", 2000, 0).incarnation_id();
    assert_eq!(
        forwarder.leaving_incarnation(at(19), "1"),
        None,
        "an answer of the previous incarnation"
    );
    assert_eq!(forwarder.leaving_incarnation(at(21), "1"), Some(incarnation));
}

/// Guards against losing a report of leaving that arrives before the entry of its target.
#[test]
fn an_incarnation_listed_after_it_reported_leaving_gets_no_work() {
    let mut store = store(&[entry("2", 0, 1)]);
    assert!(!store.note_leaving(at(10), entry("1", 0, 0).incarnation_id()));
    put(&mut store, at(20), entry("1", 0, 1));
    assert!(!store.table["1"].accepts_work());
}

#[test]
fn an_entry_of_an_earlier_incarnation_or_with_an_earlier_sequence_changes_nothing() {
    let mut store = store(&[entry("1", 2000, 1)]);
    assert!(put(&mut store, at(10), leaving(entry("1", 2000, 5))));
    for stale in [entry("1", 1000, 90), entry("1", 2000, 4)] {
        assert!(!put(&mut store, at(20), stale));
        assert!(store.table["1"].leaving);
    }
    let full_list = table(&[entry("1", 1000, 90)]);
    assert!(
        !store.replace(at(30), Revision(100), full_list),
        "also in a full list"
    );
    assert_eq!(store.table["1"].incarnation, TargetIncarnation(2000));
}

#[test]
fn a_stale_entry_does_not_bring_back_a_removed_target() {
    let mut store = store(&[entry("1", 2000, 7)]);
    store.apply(at(10), Revision(2), vec![TargetChange::Gone("1".to_owned())]);
    assert!(!put(&mut store, at(500), entry("1", 1000, 90)));
    assert!(!put(&mut store, at(500), entry("1", 2000, 6)));
    assert!(store.table.is_empty());
    assert!(
        put(&mut store, at(600), entry("1", 2000, 8)),
        "the target writes a newer entry"
    );
    assert_eq!(
        store.table["1"].times.appeared_at,
        Time(0),
        "the target does not count as new"
    );
    store.apply(at(700), Revision(90), vec![TargetChange::Gone("1".to_owned())]);
    assert!(
        put(&mut store, at(800), entry("1", 3000, 1)),
        "a later incarnation is newer"
    );
    assert_eq!(store.table["1"].times.restarted_at, at(800));
}

/// Guards against a late write of the source that has a leaving target get work again. Targets without an
/// incarnation have a new id after each start, so that a lower sequence is always older; reports with the
/// same sequence follow the order of the source.
#[test]
fn without_an_incarnation_an_entry_with_an_earlier_sequence_changes_nothing() {
    let mut store = store(&[entry("1", 0, 3)]);
    assert!(put(&mut store, at(10), leaving(entry("1", 0, 3))));
    assert!(put(&mut store, at(20), entry("1", 0, 3)));
    assert!(put(&mut store, at(30), leaving(entry("1", 0, 9))));
    assert!(!put(&mut store, at(40), entry("1", 0, 8)));
    assert!(store.table["1"].leaving);
    let full_list = table(&[entry("1", 0, 8)]);
    assert!(
        !store.replace(at(50), Revision(100), full_list),
        "also in a full list"
    );
    assert!(store.table["1"].leaving);
    assert_eq!(store.table["1"].times.restarted_at, Time(0));
}

/// Guards against a late write that lists a target again after its entry was removed: some targets leave
/// without stating it, and serve on while their entry is gone.
#[test]
fn without_an_incarnation_an_earlier_entry_does_not_bring_back_a_removed_target() {
    let mut store = store(&[entry("1", 0, 7)]);
    store.apply(at(10), Revision(2), vec![TargetChange::Gone("1".to_owned())]);
    assert!(!put(&mut store, at(500), entry("1", 0, 6)));
    assert!(!store.replace(at(600), Revision(20), table(&[entry("1", 0, 6)])));
    assert!(store.table.is_empty());
    assert!(put(&mut store, at(700), entry("1", 0, 8)), "it writes its entry");
}

#[test]
fn a_target_with_an_unreadable_entry_gets_no_work_even_if_it_was_readable_before() {
    let mut store = store(&[entry("1", 1000, 1), entry("2", 1000, 1)]);
    assert!(put(&mut store, at(10), TargetEntry::unreadable("1")));
    assert!(!store.table["1"].accepts_work() && !store.table["1"].accepts_release());
    assert!(
        store.table["2"].accepts_work(),
        "the other entries are unaffected"
    );
    assert_eq!(store.services["s"].working, 1);
    assert!(
        !put(&mut store, at(20), TargetEntry::unreadable("1")),
        "the entry was unreadable before"
    );
    assert!(
        !put(&mut store, at(25), entry("1", 500, 9)),
        "an older entry does not replace it"
    );
    assert!(put(&mut store, at(30), entry("1", 1000, 2)));
    assert!(store.table["1"].accepts_work());
    let mut without_incarnation = entry("1", 0, 3);
    without_incarnation.leaving = false;
    put(&mut store, at(40), without_incarnation);
    assert!(
        !store.table["1"].accepts_work(),
        "a target that has stated its incarnation always states it"
    );
}

type EntryUpdate = (u8, u8, bool, bool);

quickcheck! {
    /// In whichever order and however often updates of an entry arrive, a node keeps the newest readable
    /// one. After an unreadable one the target gets no work until a readable one arrives that is at least
    /// as new as the kept one.
    fn the_newest_readable_entry_counts_in_any_order(updates: Vec<EntryUpdate>) -> bool {
        let mut store = store(&[entry("1", 1, 0)]);
        let mut newest = (TargetIncarnation(1), 0);
        let mut usable = true;
        for (index, (incarnation, sequence, is_leaving, readable)) in updates.into_iter().enumerate() {
            let now = at(index as u64);
            if !readable {
                put(&mut store, now, TargetEntry::unreadable("1"));
                usable = false;
                continue;
            }
            let mut update = entry("1", u64::from(incarnation % 4) + 1, u64::from(sequence % 8));
            update.leaving = is_leaving;
            if (update.incarnation, update.sequence) >= newest {
                newest = (update.incarnation, update.sequence);
                usable = !is_leaving;
            }
            put(&mut store, now, update);
            let stored = &store.table["1"];
            if (stored.incarnation, stored.sequence) != newest || stored.accepts_work() != usable {
                return false;
            }
        }
        true
    }
}

// ----------------------------------------------------------------------------
// A source restored from a backup

/// A revision of a source that was restored from a backup, which starts a new era.
fn in_later_era(number: u64) -> Revision {
    Revision::in_era(1, number)
}

/// The ids of the targets that accept work.
fn working_ids(store: &TargetStore) -> Vec<&str> {
    let used = store.table.values().filter(|entry| entry.accepts_work());
    used.map(|entry| entry.id.as_str()).collect()
}

/// Guards against ignoring changes as old ones because a restore resets the numbers of revisions.
#[test]
fn every_revision_of_a_later_era_is_newer() {
    assert!(Revision::in_era(1, 3) > Revision::in_era(0, 900));
    assert_eq!(Revision::in_era(0, 900), Revision(900));
    let later = Revision::in_era(7, 900);
    assert_eq!((later.era(), later.number()), (7, 900));
    let mut store = store(&[entry("1", 0, 1), entry("2", 0, 1)]);
    put(&mut store, at(1), entry("3", 0, 1));
    store.apply(at(2), Revision(900), Vec::new());
    let backup = table(&[entry("1", 0, 5), entry("2", 0, 5)]);
    store.replace(at(1000), in_later_era(20), backup);
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
    assert_eq!(
        working_ids(&store),
        ["2", "3"],
        "a live target may rewrite its entry"
    );
    assert!(store.expire(at(3100)));
    assert!(working_ids(&store).is_empty(), "neither has rewritten it");
}

/// Guards against using targets that left or were removed, because an older backup of the source lists
/// them as ready.
#[test]
fn targets_known_to_leave_stay_unused_after_a_restore_from_a_backup() {
    for inc in [0, 1000] {
        let mut store = store(&[entry("1", inc, 1), entry("2", inc, 1), entry("3", inc, 1)]);
        put(&mut store, at(1), leaving(entry("1", inc, 30)));
        store.apply(at(2), Revision(50), vec![TargetChange::Gone("2".to_owned())]);
        let backup = || table(&[entry("1", inc, 25), entry("2", inc, 25), entry("3", inc, 25)]);
        store.replace(at(5000), in_later_era(20), backup());
        assert_eq!(working_ids(&store), ["3"], "incarnation {inc}");
        // Read again, through another node or after a broken watch.
        store.replace(at(6000), in_later_era(21), backup());
        assert_eq!(working_ids(&store), ["3"], "incarnation {inc}, read again");
        store.apply(
            at(7000),
            in_later_era(22),
            vec![TargetChange::Gone("2".to_owned())],
        );
        put(&mut store, at(7000), leaving(entry("1", inc, 31)));
        store.expire(at(60_000));
        assert_eq!(working_ids(&store), ["3"], "incarnation {inc}, written again");
    }
}

/// Guards against a target that is used as listed before, although its entry in the backup can't be read.
#[test]
fn a_target_whose_entry_in_a_backup_is_unreadable_gets_no_work() {
    let mut store = store(&[entry("1", 0, 30), entry("2", 0, 30)]);
    let backup = table(&[TargetEntry::unreadable("1"), entry("2", 0, 25)]);
    store.replace(at(1000), in_later_era(20), backup);
    assert_eq!(working_ids(&store), ["2"]);
    put(&mut store, at(2000), entry("1", 0, 31));
    assert_eq!(working_ids(&store), ["1", "2"]);
}

/// Guards against a live target that is never used again because its entry had expired before the source
/// was restored from a backup.
#[test]
fn a_target_that_reappears_with_a_backup_is_used_again_when_it_stays_listed() {
    let mut store = store(&[entry("1", 0, 1), entry("2", 0, 1)]);
    store.apply(at(2), Revision(50), vec![TargetChange::Gone("2".to_owned())]);
    let backup = table(&[entry("1", 0, 25), entry("2", 0, 25)]);
    store.replace(at(5000), in_later_era(20), backup);
    let changed_at = store.changed_at;
    assert!(!store.expire(at(14_000)));
    assert!(store.expire(at(15_000)));
    assert_eq!(working_ids(&store), ["1", "2"]);
    assert_eq!(
        store.changed_at, changed_at,
        "the list of the source has not changed"
    );
    assert_eq!(store.services["s"].working, 2);
}

/// Guards against a node that gets its list from another node and either uses entries that are unverified
/// there or never uses them.
#[test]
fn entries_unverified_at_one_node_are_unverified_at_others_unless_known_there() {
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
    assert_eq!(working_ids(&new), ["1"]);
    assert!(new.expire(at(10_000)));
    assert_eq!(working_ids(&new), ["1", "2"]);
    let mut informed = store(&[entry("1", 0, 1), entry("2", 0, 1)]);
    let list = table(&[entry("1", 0, 25), unverified("2")]);
    let packed = PackedList::pack(&list)
        .unpack()
        .expect("the list was packed above");
    informed.replace(at(0), in_later_era(20), packed);
    assert_eq!(working_ids(&informed), ["1", "2"]);
}

/// Guards against a zone whose evacuation is undone by an older backup, and against one that stays
/// evacuated for ever although the operator has not confirmed it.
#[test]
fn an_evacuation_outlives_a_restore_until_it_is_confirmed_reversed_or_expires() {
    let known = || {
        let mut evacuations = Evacuations::default();
        evacuations.replace(at(0), Revision(50), zones(&["a"]));
        evacuations
    };
    let mut confirmed = known();
    assert!(!confirmed.replace(at(1000), in_later_era(20), zones(&[])));
    assert_eq!(confirmed.zones, zones(&["a"]));
    confirmed.apply(in_later_era(21), vec![("a".to_owned(), true)]);
    assert!(!confirmed.expire(at(60_000)), "the operator has confirmed it");
    let mut reopened = known();
    reopened.replace(at(1000), in_later_era(20), zones(&[]));
    reopened.apply(in_later_era(21), vec![("a".to_owned(), false)]);
    assert_eq!(reopened.zones, zones(&[]));
    let mut unlisted = known();
    unlisted.replace(at(1000), in_later_era(20), zones(&["b"]));
    assert_eq!(unlisted.zones, zones(&["a", "b"]));
    let mut other = Evacuations::default();
    other.merge(at(2000), unlisted.clone());
    for (evacuations, expiry) in [(&mut unlisted, at(11_000)), (&mut other, at(12_000))] {
        assert!(!evacuations.replace(at(3000), in_later_era(22), zones(&["b"])));
        assert!(!evacuations.expire(expiry - Span::from_millis(1)));
        assert!(evacuations.expire(expiry));
        assert_eq!(evacuations.zones, zones(&["b"]));
    }
}

// ----------------------------------------------------------------------------
// Evacuated zones

fn zones(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

#[test]
fn an_older_read_reopens_no_zone() {
    let mut evacuations = Evacuations::default();
    assert!(!evacuations.replace(at(0), Revision(5), zones(&[])));
    assert!(evacuations.apply(Revision(9), vec![("a".to_owned(), true)]));
    assert!(
        !evacuations.replace(at(0), Revision(8), zones(&[])),
        "the read is older than the known state"
    );
    assert_eq!(evacuations.zones, zones(&["a"]));
    assert!(!evacuations.apply(Revision(12), Vec::new()));
    assert_eq!(
        (evacuations.at, evacuations.changed_at),
        (Revision(12), Revision(9)),
        "the revision of the change is sent to other nodes, not that of the last read"
    );
    assert!(evacuations.apply(
        Revision(15),
        vec![("b".to_owned(), true), ("a".to_owned(), false)]
    ));
    assert_eq!(evacuations.zones, zones(&["b"]));
    assert!(
        evacuations.replace(at(0), Revision(20), zones(&[])),
        "a complete read includes missed changes"
    );
}

#[test]
fn targets_of_an_evacuated_zone_get_no_work_even_if_listed_later() {
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
        "forecasts count only the targets left"
    );
    assert!(store.apply_evacuations(at(30), &zones(&[])));
    assert_eq!(open(&store), ["1", "2", "3", "7"]);
    assert_eq!(
        store.table["1"].cold_until(Span::from_millis(3000)),
        at(3030),
        "it may have become cold shortly before the zone was reopened"
    );
    assert_eq!(store.table["7"].cold_until(Span::from_millis(3000)), Time(0));
}

#[test]
fn a_call_finds_no_target_when_all_zones_of_its_service_are_evacuated() {
    let mut store = store(&[entry("1", 0, 1), entry("7", 0, 1)]);
    let mut forwarder = Forwarder::new(ForwardSettings::default()).expect("the state chart is valid");
    forwarder.apply_plan(&plan(&store));
    let query = TargetQuery {
        service: "s".to_owned(),
        ..TargetQuery::default()
    };
    store.apply_evacuations(at(10), &zones(&["a"]));
    forwarder.apply_plan(&plan(&store));
    for _ in 0..20 {
        let ChooseResult::Send(chosen) = forwarder.choose(at(20), &query) else {
            panic!("one zone is still open");
        };
        assert_eq!(chosen.id, "7");
    }
    store.apply_evacuations(at(30), &zones(&["a", "b"]));
    forwarder.apply_plan(&plan(&store));
    assert!(matches!(forwarder.choose(at(40), &query), ChooseResult::Busy(_)));
    assert_eq!(plan(&store).count_working("s"), 0);
}

// ----------------------------------------------------------------------------
// State that is dropped with an earlier incarnation

#[test]
fn nothing_recorded_of_an_incarnation_applies_to_the_next_one() {
    let mut store = store(&[entry("1", 1000, 1)]);
    let mut forwarder = Forwarder::new(ForwardSettings::default()).expect("the state chart is valid");
    forwarder.apply_plan(&plan(&store));
    let query = TargetQuery {
        service: "s".to_owned(),
        engine_memory: Some(600_000),
        prefix: 9,
        prefix_tokens: 10_000,
        prompt_tokens: 12_000,
        ..TargetQuery::default()
    };
    let key = forwarder.key("1").expect("the target is listed");
    let send = forwarder.begin(at(1), &query, key);
    let failed = forwarder.begin(at(1), &query, key);
    forwarder.end(at(2), failed, SendEnd::Unreachable);
    put(&mut store, at(10), entry("1", 2000, 1));
    forwarder.apply_plan(&plan(&store));
    let new_key = forwarder.key("1").expect("the target is listed");
    assert_ne!(key, new_key);
    forwarder.end(at(20), send, SendEnd::Unreachable);
    let record = forwarder.target(new_key).expect("the target is known");
    assert_eq!((record.in_flight, record.failure_rate), (0, 0.0));
    assert!(record.pending_prefill_tokens.abs() < f64::EPSILON);
    assert!(
        !record.prefixes.holds(at(20), 9, 600_000),
        "its prefix cache is empty"
    );
    assert!(matches!(forwarder.choose(at(20), &query), ChooseResult::Send(_)));
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

/// An order of three pieces in calls of two: when the target that computed the first two restarts, they
/// are computed again at once.
#[test]
fn pieces_of_an_ended_incarnation_are_computed_again() {
    let mut store = store(&[entry("1", 1000, 1)]);
    let mut queue = queue(&store);
    queue
        .submit(at(0), order("r", 3, &[]))
        .expect("there is capacity");
    let call = queue.next_calls(at(0)).remove(0);
    queue.call_ended(at(200), call.call, all_computed(&call));
    let old_call = queue.next_calls(at(200)).remove(0);
    assert_eq!((queue.waiting(), old_call.pieces.len()), (0, 1));
    put(&mut store, at(250), entry("1", 2000, 1));
    queue.apply_plan(&spec(), None, &store.table, |_| true);
    assert_eq!(
        queue.waiting(),
        2,
        "the results of the previous incarnation have to be computed again"
    );
    let second_call = queue.next_calls(at(250)).remove(0);
    assert_eq!(second_call.pieces.len(), 2, "the new incarnation is idle");
    queue.call_ended(at(260), old_call.call, BatchOutcome::BrokenOff);
    let usable = queue.targets().all(|target| target.usable(at(260)));
    assert!(
        usable,
        "a failure of the previous incarnation does not count against the new one"
    );
}

/// Guards against an order that fails only after it has waited in the queue, because its inputs were lost
/// when the target that holds them restarted.
#[test]
fn an_order_whose_inputs_are_lost_ends_at_once() {
    let mut holders = store(&[entry("1", 1000, 1), entry("2", 1000, 1)]);
    let pool = store(&[entry("8", 0, 1)]);
    let mut queue = queue(&pool);
    let busy = order("busy", 2, &["10.0.0.2:80/x"]);
    let busy_key = queue.submit(at(0), busy).expect("there is capacity");
    let _ = queue.next_calls(at(0));
    let waiting_key = queue.submit(at(5), order("r", 1, &["10.0.0.1:80/y"]));
    let waiting_key = waiting_key.expect("there is capacity");
    put(&mut holders, at(50), entry("1", 2000, 1));
    let plan = plan(&holders);
    queue.fail_lost_inputs(|handle, since| plan.is_result_lost(handle, since));
    assert_eq!(queue.take_ended(), [(waiting_key, OrderOutcome::InputsGone)]);
    assert!(queue.order(busy_key).is_some());
    let later = queue.submit(at(60), order("later", 1, &["10.0.0.1:80/z"]));
    let later = later.expect("there is capacity");
    queue.fail_lost_inputs(|handle, since| plan.is_result_lost(handle, since));
    assert!(
        queue.order(later).is_some(),
        "the new incarnation computed its input"
    );
}

#[test]
fn no_releases_are_sent_to_a_target_in_an_evacuated_zone() {
    let mut store = store(&[entry("1", 0, 1)]);
    let mut queue = queue(&store);
    queue
        .submit(at(0), order("r", 2, &[]))
        .expect("there is capacity");
    let call = queue.next_calls(at(0)).remove(0);
    queue.call_ended(at(200), call.call, all_computed(&call));
    let Some((_, OrderOutcome::Computed(handles))) = queue.take_ended().pop() else {
        panic!("the order is not computed");
    };
    store.apply_evacuations(at(210), &zones(&["a"]));
    queue.apply_plan(&spec(), None, &store.table, |_| true);
    queue.release(Time(0), handles);
    assert!(queue.take_releasable(Time(0)).is_empty());
    let services = service_targets(&store.table);
    assert_eq!(services["s"].working, 0);
}

/// Guards against a zone that a node reopens because the other node, whose set it merges in the later
/// era, never knew of the evacuation.
#[test]
fn an_evacuation_unknown_to_another_node_is_kept_after_a_merge() {
    let mut informed = Evacuations::default();
    informed.replace(at(0), Revision(50), zones(&["a"]));
    let mut other = Evacuations::default();
    other.replace(at(0), Revision(40), zones(&[]));
    other.replace(at(1000), in_later_era(20), zones(&["b"]));
    assert!(informed.merge(at(1000), other));
    assert_eq!(informed.zones, zones(&["a", "b"]));
    assert!(informed.expire(at(11_000)));
    assert_eq!(informed.zones, zones(&["b"]));
}
