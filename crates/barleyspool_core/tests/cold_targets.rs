//! What cold targets get from all nodes together.
//!
//! The pattern: a zone's engines come back cold and empty under a burst, and every choice prefers an empty engine. 140 engines
//! that bear 9.1 calls a second each while cold, 13.65 and 5 at most in any second, are the figures of a deployment of 89 nodes.

#![allow(clippy::expect_used, clippy::panic, reason = "a test stops where it fails")]

#[path = "support/rated_fleet.rs"]
mod rated_fleet;

use barleyspool_core::{
    ChooseResult, Ownership, Rate, RateRole, RateShare, Reachability, Shard, Span, TargetBucket, TargetEntry,
    TargetQuery, Time, TokenBucket,
};
use rated_fleet::{ENGINES, Fleet, Rates, need, node, owner_plan};

/// What a target bears while it is cold, in calls a second.
const BEARS: f64 = 9.1;
/// The most that may reach it in any second.
const MOST: usize = 18;
const COLD: Span = Span::from_secs(3);
const SECOND: Span = Span::from_secs(1);

fn cold() -> Rates {
    Rates::Cold(BEARS, COLD)
}

fn burst(mut call: impl FnMut(Time, u64)) {
    // Three thousand calls within two seconds, sixty a second for each engine.
    for number in 0..3000 {
        call(Time(number * 667), number);
    }
}

/// The fleet after a burst of calls that `call` sends.
fn after_burst(count: usize, parts: usize, rates: &Rates, call: fn(&mut Fleet, Time, u64)) -> Fleet {
    let mut fleet = Fleet::new(count, parts, rates);
    burst(|now, number| call(&mut fleet, now, number));
    fleet
}

/// A burst before fleets of several sizes, whole and cut in two sides that know nothing of each other.
fn after_bursts(call: fn(&mut Fleet, Time, u64), check: fn(&Fleet)) {
    for count in [9, 89, 295, 410] {
        for parts in [1, 2] {
            let fleet = after_burst(count, parts, &cold(), call);
            let most = fleet.most_within(SECOND);
            assert!(most <= MOST, "{count} nodes, {parts} parts: {most}");
            check(&fleet);
        }
    }
}

#[test]
fn a_cold_engine_gets_no_more_than_it_bears_with_one_owner_or_two() {
    after_bursts(Fleet::engine_call, |fleet| {
        assert_eq!(fleet.sent.len(), ENGINES, "each gets some");
    });
}

/// Each node chooses among plain targets, and asks the owner of a cold one.
#[test]
fn a_cold_plain_target_gets_no_more_than_it_bears_however_many_nodes_there_are() {
    after_bursts(Fleet::plain_call, |fleet| assert!(fleet.refused > 0));
}

#[test]
fn without_the_limit_the_same_burst_throws_them_over() {
    for call in [Fleet::engine_call, Fleet::plain_call] {
        let fleet = after_burst(89, 1, &Rates::None, call);
        let most = fleet.most_within(SECOND);
        assert!(most > MOST, "{most}");
    }
}

#[test]
fn a_node_that_chooses_alone_or_has_just_started_sends_nothing_to_a_cold_engine() {
    let alone = TargetQuery {
        engine_memory: Some(600_000),
        ..need()
    };
    let placing = TargetQuery {
        placing: Some(Shard::WHOLE),
        ..alone.clone()
    };
    let mut converged = node(&owner_plan(&cold(), true), 1);
    // Long enough that the owner before, if there was one, knows of this one.
    let later = Time::from_millis(2500);
    assert!(matches!(converged.choose(later, &alone), ChooseResult::Busy(_)));
    assert!(matches!(
        converged.place(Time::from_millis(2000), &placing, 1),
        ChooseResult::Busy(_) | ChooseResult::NoCapacity(_)
    ));
    assert!(matches!(
        converged.place(later, &placing, 1),
        ChooseResult::Send(_)
    ));
    let mut new = node(&owner_plan(&cold(), false), 1);
    assert!(matches!(new.place(later, &placing, 1), ChooseResult::Busy(_)));
    let warm = Time(0) + COLD;
    assert!(
        matches!(new.choose(warm, &alone), ChooseResult::Send(_)),
        "time warms them"
    );
}

/// A node that was paused finds calls that waited meanwhile; it may send them no faster than others.
#[test]
fn a_pause_does_not_save_up_what_was_not_sent() {
    let share = RateShare {
        fraction: 1.0,
        role: RateRole::Owner,
        since: Time(0),
    };
    let mut bucket = TargetBucket::default();
    bucket.set_share(Time(0), share, (1, 1));
    let hour = Time(3_600_000_000);
    let mut sent = 0;
    while bucket.wait(hour, BEARS, share) == Span::ZERO {
        bucket.take(hour, BEARS, share);
        sent += 1;
    }
    assert_eq!(sent, 2);
}

#[test]
fn a_call_that_waits_as_long_as_it_is_told_is_let_go() {
    for per_s in [0.2, 0.3, 1.0, 9.1, 333.3] {
        let rate = Rate { per_s, burst: 2.0 };
        let mut bucket = TokenBucket::default();
        let mut now = Time(1_000_003);
        for _ in 0..1000 {
            now = now + bucket.wait(now, rate);
            assert_eq!(bucket.wait(now, rate), Span::ZERO, "{per_s} a second");
            bucket.take(now, rate);
        }
    }
}

/// Nodes that do not reach the owner each bring their own part to whoever stands in.
#[test]
fn a_node_that_stands_in_gives_out_the_parts_of_those_who_ask_it() {
    let reach = Reachability {
        reached: 10,
        known: 10,
        steady: true,
    };
    let mut ownership = Ownership::default();
    let part = |ownership: &Ownership, now| ownership.share(now, reach, 10).fraction;
    assert!(part(&ownership, Time(0)) == 0.0, "nobody asks");
    for asker in 0..3 {
        ownership.record_request(Time(0), asker);
        ownership.record_request(Time(0), asker);
    }
    assert!((part(&ownership, Time(0)) - 0.3).abs() < 1e-9);
    let later = Time(0) + Span::from_secs(3);
    assert!(part(&ownership, later) == 0.0, "nobody asks any more");
    ownership.update(later, true);
    ownership.record_request(later, 7);
    let new = ownership.share(later, reach, 10);
    assert_eq!(new.role, RateRole::Fallback, "the owner before may not know yet");
    let settled = ownership.share(later + Span::from_secs(2), reach, 10);
    assert_eq!((settled.role, settled.fraction), (RateRole::Owner, 1.0));
}

#[test]
fn a_target_that_has_just_come_is_cold_before_its_own_word_says_so() {
    let mut entry = TargetEntry::default();
    assert_eq!(entry.cold_until(COLD), Time(0));
    entry.times.appeared_at = Time::from_millis(500);
    assert_eq!(entry.cold_until(COLD), Time::from_millis(3500));
    entry.times.warm_at = Time::from_millis(4000);
    assert_eq!(entry.cold_until(COLD), Time::from_millis(4000));
}

/// What is refused is told when there is room, which is when they are warm if that comes first; what is warm in a moment is waited for.
#[test]
fn a_call_that_finds_all_cold_is_told_to_come_back_when_one_is_warm() {
    const SLOW: f64 = 0.2;
    let mut owner = node(&owner_plan(&Rates::Cold(SLOW, COLD), true), 1);
    let need = TargetQuery {
        engine_memory: Some(600_000),
        max_wait: Span::from_millis(75),
        placing: Some(Shard::WHOLE),
        ..need()
    };
    // Within its first interval of 5 s it has nothing to give out.
    let at = |ms| Time::from_millis(ms);
    assert!(
        matches!(owner.place(at(2400), &need, 1), ChooseResult::NoCapacity(_)),
        "it gives out parts"
    );
    let ChooseResult::NoCapacity(wait) = owner.place(at(2500), &need, 1) else {
        panic!("there is no room");
    };
    assert_eq!(at(2500) + wait, Time(0) + COLD);
    assert!(matches!(owner.place(at(2950), &need, 1), ChooseResult::Busy(_)));
    assert!(matches!(owner.place(at(3000), &need, 1), ChooseResult::Send(_)));
}

/// One target is cold, the others are full for a moment: that is no reason to turn a call away.
#[test]
fn a_call_that_finds_some_cold_and_the_others_full_waits_a_little() {
    let mut plan = owner_plan(&cold(), true);
    let mut targets = (*plan.targets).clone();
    for (id, entry) in &mut targets {
        if id != "i-3" {
            entry.times.warm_at = Time(0);
        }
    }
    plan.targets = std::sync::Arc::new(targets);
    let mut owner = node(&plan, 1);
    let need = TargetQuery {
        engine_memory: Some(600_000),
        placing: Some(Shard::WHOLE),
        ..need()
    };
    let now = Time::from_millis(2500);
    let mut sends = 0;
    while let ChooseResult::Send(chosen) = owner.place(now, &need, 1) {
        let send = owner.begin(now, &need, chosen.target);
        let refused = barleyspool_core::SendEnd::Refused {
            misdirected: false,
            inputs_gone: false,
        };
        owner.end(now, send, refused);
        sends += 1;
        assert!(sends < 100, "each is full after one call");
    }
    assert!(matches!(owner.place(now, &need, 1), ChooseResult::Busy(_)));
}
