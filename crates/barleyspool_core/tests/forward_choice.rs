//! Which target answers a forwarded call.

#![allow(clippy::expect_used, clippy::panic, reason = "a test stops where it fails")]

use barleyspool_core::{
    ChooseResult, ForwardPlan, ForwardSettings, Forwarder, SendEnd, Shard, TargetChoice, TargetEntry,
    TargetQuery, TargetTable, Time, rendezvous,
};
use std::sync::Arc;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn table(count: usize) -> TargetTable {
    let entry = |place: usize| TargetEntry {
        id: format!("i-{place}"),
        service: "s".to_owned(),
        address: format!("10.0.0.{place}:80"),
        zone: ["a", "b"][place % 2].to_owned(),
        slots: 6,
        ..TargetEntry::default()
    };
    (0..count)
        .map(|place| (format!("i-{place}"), entry(place)))
        .collect()
}

fn plan(table: TargetTable) -> ForwardPlan {
    ForwardPlan {
        targets: Arc::new(table),
        ..ForwardPlan::default()
    }
}

fn forwarder(seed: u64, targets: usize) -> Forwarder {
    let settings = ForwardSettings {
        zone: "a".to_owned(),
        seed,
        ..ForwardSettings::default()
    };
    let mut forwarder = Forwarder::new(settings).expect("the chart is right");
    forwarder.apply_plan(&plan(table(targets)));
    forwarder
}

fn need() -> TargetQuery {
    TargetQuery {
        service: "s".to_owned(),
        ..TargetQuery::default()
    }
}

fn engine_need(prefix: u64) -> TargetQuery {
    TargetQuery {
        engine_memory: Some(600_000),
        prefix,
        prefix_tokens: 13_000,
        prompt_tokens: 17_000,
        ..need()
    }
}

fn choose(forwarder: &mut Forwarder, now: Time, need: &TargetQuery) -> TargetChoice {
    match forwarder.choose(now, need) {
        ChooseResult::Send(chosen) => chosen,
        ChooseResult::NoCapacity(_) | ChooseResult::CoolingDown(_) | ChooseResult::Busy(_) => {
            panic!("a target is free")
        }
    }
}

#[test]
fn nodes_that_know_the_same_targets_send_a_prefix_to_the_same_engine() {
    let mut one = forwarder(1, 9);
    let mut other = forwarder(2, 9);
    let mut used = std::collections::BTreeSet::new();
    for prefix in 1..200 {
        let need = engine_need(prefix);
        let home = choose(&mut one, at(0), &need).id;
        assert_eq!(home, choose(&mut other, at(0), &need).id);
        used.insert(home);
    }
    assert_eq!(used.len(), 9, "prefixes are spread over all engines");
}

#[test]
fn a_prefix_goes_elsewhere_when_its_engine_is_busy_reading() {
    let mut forwarder = forwarder(1, 6);
    let need = engine_need(7);
    let home = choose(&mut forwarder, at(0), &need);
    let mut elsewhere = false;
    for _ in 0..8 {
        let chosen = choose(&mut forwarder, at(0), &need);
        elsewhere |= chosen.id != home.id;
        forwarder.begin(at(0), &need, chosen.target);
    }
    assert!(elsewhere, "eight long prompts at one engine");
}

#[test]
fn a_target_that_failed_is_left_out_and_tried_again_later() {
    let mut forwarder = forwarder(1, 4);
    let bad = choose(&mut forwarder, at(0), &need());
    let send = forwarder.begin(at(0), &need(), bad.target);
    assert!(
        forwarder.end(at(1), send, SendEnd::Unreachable),
        "it goes into quarantine"
    );
    for ms in 1..100 {
        assert_ne!(choose(&mut forwarder, at(ms), &need()).id, bad.id);
    }
    let again = (500..3000).any(|ms| choose(&mut forwarder, at(ms), &need()).id == bad.id);
    assert!(again, "one call tries it");
}

#[test]
fn when_most_targets_look_bad_the_view_is_suspect_and_they_stay() {
    let mut forwarder = forwarder(1, 4);
    for ms in 0..40 {
        let chosen = choose(&mut forwarder, at(ms), &need());
        let send = forwarder.begin(at(ms), &need(), chosen.target);
        forwarder.end(at(ms), send, SendEnd::Unreachable);
    }
    assert!(matches!(forwarder.choose(at(41), &need()), ChooseResult::Send(_)));
}

#[test]
fn a_leaving_or_unlisted_target_gets_nothing() {
    let mut forwarder = forwarder(1, 2);
    let mut listed = table(2);
    listed.remove("i-0");
    if let Some(entry) = listed.get_mut("i-1") {
        entry.leaving = true;
    }
    forwarder.apply_plan(&plan(listed));
    assert!(matches!(forwarder.choose(at(0), &need()), ChooseResult::Busy(_)));
}

#[test]
fn a_target_that_failed_this_call_is_not_chosen_for_it_again_while_there_are_others() {
    let mut forwarder = forwarder(1, 3);
    let first = choose(&mut forwarder, at(0), &need());
    let avoiding = TargetQuery {
        avoid: vec![first.target],
        ..need()
    };
    for _ in 0..50 {
        assert_ne!(choose(&mut forwarder, at(0), &avoiding).id, first.id);
    }
}

#[test]
fn calls_stay_in_their_zone_until_its_targets_are_loaded() {
    let mut forwarder = forwarder(1, 4);
    let first = choose(&mut forwarder, at(0), &need());
    assert!(
        ["i-0", "i-2"].contains(&first.id.as_str()),
        "zone a: {}",
        first.id
    );
    let mut left = false;
    for _ in 0..40 {
        let chosen = choose(&mut forwarder, at(0), &need());
        left |= !["i-0", "i-2"].contains(&chosen.id.as_str());
        forwarder.begin(at(0), &need(), chosen.target);
    }
    assert!(left, "forty calls at two targets");
}

#[test]
fn a_slow_target_gets_less() {
    let mut forwarder = forwarder(1, 4);
    let mut counts = std::collections::BTreeMap::new();
    for ms in (0..20_000).step_by(20) {
        let chosen = choose(&mut forwarder, at(ms), &need());
        let took = if chosen.id == "i-0" { 600 } else { 60 };
        let send = forwarder.begin(at(ms), &need(), chosen.target);
        forwarder.end(at(ms + took), send, SendEnd::Answered { success: true });
        *counts.entry(chosen.id).or_insert(0) += 1;
    }
    let slow = counts.get("i-0").copied().unwrap_or(0);
    assert!(slow * 4 < counts["i-2"], "{counts:?}");
}

fn placing(prefix: u64) -> TargetQuery {
    TargetQuery {
        placing: Some(Shard { number: 0, of: 1 }),
        ..engine_need(prefix)
    }
}

/// Nodes that each saw a part of the calls sent long prompts to engines that others kept busy.
#[test]
fn whoever_places_for_all_spreads_new_prefixes_by_load_and_keeps_old_ones_where_they_are() {
    let mut owner = forwarder(1, 6);
    let mut first = std::collections::BTreeMap::new();
    let mut load = std::collections::BTreeMap::new();
    for prefix in 1..=12 {
        let chosen = choose(&mut owner, at(0), &placing(prefix));
        owner.begin(at(0), &placing(prefix), chosen.target);
        *load.entry(chosen.id.clone()).or_insert(0) += 1;
        first.insert(prefix, chosen);
    }
    assert!(
        load.values().all(|count| *count == 2),
        "twelve cold prompts at six engines: {load:?}"
    );
    let mut owner = forwarder(1, 6);
    for (prefix, chosen) in &first {
        let send = owner.begin(at(0), &placing(*prefix), chosen.target);
        owner.first_output(at(300), send);
        owner.end(at(900), send, SendEnd::Answered { success: true });
    }
    for (prefix, chosen) in &first {
        assert_eq!(choose(&mut owner, at(1000), &placing(*prefix)).id, chosen.id);
    }
}

#[test]
fn a_new_owner_finds_idle_prefixes_at_the_home_that_all_nodes_know() {
    let mut old = forwarder(1, 6);
    let mut new = forwarder(9, 6);
    for prefix in 1..50 {
        let idle = choose(&mut old, at(0), &engine_need(prefix)).id;
        assert_eq!(choose(&mut new, at(0), &placing(prefix)).id, idle);
    }
}

#[test]
fn shards_share_all_targets_out() {
    let of = 3;
    for place in 0..60 {
        let id = format!("i-{place}");
        let holders = (0..of)
            .filter(|number| Shard { number: *number, of }.holds(rendezvous::text_key(&id)))
            .count();
        assert_eq!(holders, 1, "{id}");
    }
}

/// Reading a long prompt again costs ten times what taking it from an engine that holds it does.
#[test]
fn an_engine_that_does_not_hold_a_prefix_is_told_which_one_does() {
    let mut forwarder = forwarder(1, 6);
    let need = TargetQuery {
        copies: true,
        ..engine_need(7)
    };
    let first = choose(&mut forwarder, at(0), &need);
    assert_eq!(first.source, None, "the home is the one to read it");
    forwarder.begin(at(0), &need, first.target);
    // An engine that is busy reading is passed over in the end, and the next one holds nothing of the prompt.
    let mut held = vec![first.address.clone()];
    let mut told = 0;
    for _ in 0..8 {
        let chosen = choose(&mut forwarder, at(1), &need);
        forwarder.begin(at(1), &need, chosen.target);
        let holds = held.contains(&chosen.address);
        assert_eq!(chosen.source.is_none(), holds, "{chosen:?}");
        if let Some(source) = chosen.source {
            assert!(held.contains(&source), "{source} was never sent it");
            told += 1;
        }
        held.push(chosen.address);
    }
    assert!(told > 0, "all eight went to one engine");
    let alone = TargetQuery {
        copies: false,
        avoid: vec![first.target],
        ..need
    };
    assert_eq!(choose(&mut forwarder, at(3), &alone).source, None);
}
