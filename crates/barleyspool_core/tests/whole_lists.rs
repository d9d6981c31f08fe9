//! Whole lists of targets on their way between nodes: packed and unpacked, handed out a few at a time, asked of the right node, and read at the
//! source by few.

#![allow(clippy::expect_used, reason = "a test stops where it fails")]

use barleyspool_core::{
    FleetView, InitialListRead, ListHolder, ListRequester, ListTransfers, PackedList, Span, TargetEntry,
    TargetIncarnation, TargetTable, Time, choose_list_holder, hold_until,
};
use quickcheck::quickcheck;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const START: Time = Time::from_millis(1000);

fn at(after: u64) -> Time {
    START + Span::from_millis(after)
}

// ----------------------------------------------------------------------------
// Packing

type Drawn = (u8, u64, u8, u8, (u16, bool, bool), u32);

fn entry((id, run, service, zone, (port, leaving, unreadable), cold): Drawn) -> TargetEntry {
    let address = match port % 3 {
        0 => format!("10.0.{service}.{zone}:{port}"),
        1 => format!("[::1]:{port}"),
        _ => format!("010.1.1.1:{port}"),
    };
    TargetEntry {
        id: format!("t{id}"),
        incarnation: TargetIncarnation(run),
        sequence: run / 3,
        service: format!("service-{service}"),
        address,
        zone: format!("zone-{zone}"),
        slots: cold,
        leaving,
        evacuated: port % 2 == 0,
        unreadable,
        cold: Span(u64::from(cold)),
        ..TargetEntry::default()
    }
}

quickcheck! {
    fn a_list_is_the_same_after_its_way(drawn: Vec<Drawn>) -> bool {
        let table: TargetTable = drawn.into_iter().map(entry).map(|entry| (entry.id.clone(), entry)).collect();
        let bytes = rmp_serde::to_vec(&PackedList::pack(&table)).expect("encodes");
        let packed: PackedList = rmp_serde::from_slice(&bytes).expect("decodes");
        let same_words = |one: &TargetTable, other: &TargetTable| {
            one.values().zip(other.values()).all(|(one, other)| one.sequence == other.sequence)
        };
        packed.unpack().is_ok_and(|unpacked| unpacked == table && same_words(&unpacked, &table))
    }

    fn bytes_that_are_no_list_are_refused_whole(bytes: Vec<u8>) -> bool {
        // Whatever decodes either unpacks or is refused; nothing panics.
        let packed = rmp_serde::from_slice::<PackedList>(&bytes);
        packed.is_err() || packed.is_ok_and(|packed| packed.unpack().map_or(true, |table| table.len() <= bytes.len()))
    }
}

#[test]
fn a_list_that_names_a_service_which_it_does_not_hold_is_refused() {
    let table: TargetTable = [entry((1, 1, 1, 1, (1, false, false), 1))]
        .into_iter()
        .map(|entry| (entry.id.clone(), entry))
        .collect();
    let mut value = serde_json::to_value(PackedList::pack(&table)).expect("encodes");
    value["services"] = serde_json::json!([]);
    let packed: PackedList = serde_json::from_value(value).expect("decodes");
    assert!(packed.unpack().is_err());
}

// ----------------------------------------------------------------------------
// Handing out

#[test]
fn a_weak_link_hands_out_one_list_at_a_time_and_a_strong_one_a_few() {
    for (mbps, most) in [(1, 1), (20, 1), (60, 3), (1000, 8)] {
        let mut transfers = ListTransfers::new(mbps);
        let admitted = (0..20).filter(|_| transfers.admit(START).is_some()).count();
        assert_eq!(admitted, most, "{mbps} Mbit/s");
    }
}

#[test]
fn a_list_that_was_taken_makes_room_for_the_next_and_a_taker_that_is_gone_does_so_after_a_second() {
    let mut transfers = ListTransfers::new(20);
    let first = transfers.admit(at(0)).expect("the first");
    assert_eq!(transfers.admit(at(10)), None);
    transfers.finish(first);
    let second = transfers.admit(at(20)).expect("the second");
    // Late word of the first does not make room for a third.
    transfers.finish(first);
    assert_eq!(transfers.admit(at(30)), None);
    assert!(transfers.admit(at(1100)).is_some(), "the second taker is gone");
    transfers.finish(second);
    assert_eq!(transfers.admit(at(1110)), None);
}

#[test]
fn holders_that_are_free_near_and_strong_are_asked_first_in_this_order() {
    let holder = |address, avoided, other_zone, link_mbps| ListHolder {
        address,
        avoided,
        other_zone,
        link_mbps,
    };
    let mut random = SmallRng::seed_from_u64(1);
    let mut choose = |holders: &[ListHolder<u8>]| choose_list_holder(holders.iter().copied(), &mut random);
    let all = [
        holder(1, true, false, 200),
        holder(2, false, true, 200),
        holder(3, false, false, 20),
        holder(4, false, false, 200),
    ];
    assert_eq!(choose(&all), Some(4));
    assert_eq!(choose(&all[..3]), Some(3));
    assert_eq!(choose(&all[..2]), Some(2));
    assert_eq!(choose(&all[..1]), Some(1));
    assert_eq!(choose(&[]), None);
}

#[test]
fn a_node_with_a_weak_link_leaves_other_zones_to_strong_ones_for_a_moment() {
    let taker = |link_mbps, waited| ListRequester {
        link_mbps,
        waited: Span::from_millis(waited),
    };
    assert!(!taker(20, 0).may_ask_other_zones());
    assert!(taker(200, 0).may_ask_other_zones());
    assert!(
        taker(20, 300).may_ask_other_zones(),
        "its zone may have no strong node"
    );
}

// ----------------------------------------------------------------------------
// Reading the first list

fn view(seed: bool, reader: bool, holder: bool) -> FleetView {
    FleetView {
        nodes: 585,
        seed,
        reader,
        holder,
    }
}

#[test]
fn a_seed_reads_soon_a_reader_later_and_neither_when_a_node_has_the_list() {
    let first = InitialListRead::new(START, 0.5);
    assert!(!first.should_read(at(20), view(true, true, false)));
    assert!(first.should_read(at(100), view(true, false, false)));
    assert!(!first.should_read(at(100), view(true, true, true)));
    assert!(!first.should_read(at(500), view(false, true, false)));
    assert!(first.should_read(at(1100), view(false, true, false)));
    assert!(!first.should_read(at(2000), view(false, false, false)));
}

/// Nobody waits for ever for nodes that have the list and cannot be reached, and the source bears all who stop waiting.
#[test]
fn nodes_that_reach_no_holder_read_by_themselves_a_few_a_second() {
    let places = (0..585).map(|place| InitialListRead::new(START, f64::from(place) / 585.0));
    let firsts: Vec<InitialListRead> = places.collect();
    let reading = |after| {
        firsts
            .iter()
            .filter(|first| first.should_read(at(after), view(false, false, true)))
            .count()
    };
    assert_eq!(reading(2900), 0);
    assert!(reading(5000) <= 25, "{}", reading(5000));
    assert_eq!(reading(3000 + 58_500), 585);
    for first in &firsts {
        let look_at = first.next_check(at(100), view(false, false, true));
        assert!(first.should_read(look_at, view(false, false, true)));
    }
}

// ----------------------------------------------------------------------------
// Calls that come before the list

#[test]
fn a_call_is_held_for_most_of_its_aim_and_for_the_first_two_seconds_of_its_node() {
    let objective = Some(Span::from_millis(1000));
    assert_eq!(hold_until(START, at(500), objective), at(1200));
    assert_eq!(
        hold_until(START, at(500), None),
        at(800),
        "its route is not known"
    );
    assert_eq!(hold_until(START, at(1900), objective), at(2000));
    assert!(hold_until(START, at(9000), objective) < at(9000), "not at all");
}
