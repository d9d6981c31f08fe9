//! Targets that ask a node for rest while calls keep coming: who is sent what, and who is turned away with which time to come back.

#![allow(clippy::expect_used, clippy::panic, reason = "a test stops where it fails")]

use barleyspool_core::{
    BatchOutcome, ChooseResult, ForwardPlan, ForwardSettings, Forwarder, PieceOrder, PieceQueue, PoolSpec,
    SendEnd, Shard, Span, TargetChoice, TargetEntry, TargetIncarnation, TargetQuery, TargetTable, Time,
    service_targets,
};
use std::sync::Arc;

/// The rest that targets ask for here.
const REST: Span = Span::from_secs(3);
const ME: u64 = 1;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn entry(place: usize) -> TargetEntry {
    TargetEntry {
        id: format!("i-{place}"),
        service: "s".to_owned(),
        address: format!("10.0.0.{place}:80"),
        zone: "a".to_owned(),
        slots: 6,
        ..TargetEntry::default()
    }
}

fn table(count: usize) -> TargetTable {
    (0..count)
        .map(entry)
        .map(|entry| (entry.id.clone(), entry))
        .collect()
}

fn plan(table: TargetTable) -> ForwardPlan {
    ForwardPlan {
        services: Arc::new(service_targets(&table)),
        targets: Arc::new(table),
        converged: true,
        me: ME,
        ..ForwardPlan::default()
    }
}

fn forwarder(targets: usize) -> Forwarder {
    let mut forwarder = Forwarder::new(ForwardSettings::default()).expect("the chart is right");
    forwarder.apply_plan(&plan(table(targets)));
    forwarder
}

fn need() -> TargetQuery {
    TargetQuery {
        service: "s".to_owned(),
        ..TargetQuery::default()
    }
}

fn sent_to(choice: ChooseResult) -> TargetChoice {
    match choice {
        ChooseResult::Send(chosen) => chosen,
        other => panic!("no target: {other:?}"),
    }
}

/// Guards against an overloaded service that each node goes on calling: 200 calls a second come to three targets, each of which takes five a
/// second and asks for rest beyond that.
#[test]
fn an_overloaded_service_gets_what_it_takes_and_the_rest_is_turned_away_at_once() {
    const TAKES: u32 = 5;
    let mut forwarder = forwarder(3);
    let mut begun = [at(0); 3];
    let mut taken = [0; 3];
    let (mut refused, mut resting) = (0, 0);
    for step in 0..6000_u64 {
        let now = at(step * 5);
        let chosen = match forwarder.choose(now, &need()) {
            ChooseResult::Send(chosen) => chosen,
            ChooseResult::CoolingDown(wait) => {
                resting += 1;
                assert!(wait > Span::ZERO && wait <= REST, "{wait:?}");
                continue;
            }
            // A target that refused is left alone for a moment in any case.
            ChooseResult::Busy(_) => continue,
            ChooseResult::NoCapacity(wait) => panic!("no target has a rate: {wait:?}"),
        };
        let send = forwarder.begin(now, &need(), chosen.target);
        let place: usize = chosen.id[2..].parse().expect("a place");
        assert!(
            forwarder.cooldown_until(&chosen.id) <= now,
            "{} rests at {now:?}",
            chosen.id
        );
        if now.since(begun[place]) >= Span::from_secs(1) {
            (begun[place], taken[place]) = (now, 0);
        }
        taken[place] += 1;
        let end = if taken[place] <= TAKES {
            SendEnd::Answered { success: true }
        } else {
            refused += 1;
            forwarder.apply_cooldown(now, now, &chosen.id, REST);
            SendEnd::Refused {
                misdirected: false,
                inputs_gone: false,
            }
        };
        forwarder.end(now + Span::from_millis(1), send, end);
    }
    // 30 s, three targets, one refusal for each rest of three seconds.
    assert!(refused <= 33, "{refused} refusals");
    assert!(resting > 4000, "{resting} calls were turned away at once");
}

/// Guards against a rest that is cut short by a later and shorter one, and against one that a later run of the target is held to.
#[test]
fn a_rest_lasts_as_long_as_was_asked_and_ends_with_the_run() {
    let mut forwarder = forwarder(1);
    assert!(forwarder.apply_cooldown(at(0), at(0), "i-0", REST));
    assert!(!forwarder.apply_cooldown(at(1000), at(0), "i-0", Span::from_millis(500)));
    assert_eq!(
        forwarder.choose(at(1000), &need()),
        ChooseResult::CoolingDown(Span::from_secs(2))
    );
    assert!(forwarder.usable(at(2999), "i-0").is_none());
    assert_eq!(sent_to(forwarder.choose(at(3000), &need())).id, "i-0");
    forwarder.apply_cooldown(at(4000), at(4000), "i-0", REST);
    let mut again = entry(0);
    again.incarnation = TargetIncarnation(5);
    again.times.restarted_at = at(4500);
    forwarder.apply_plan(&plan([("i-0".to_owned(), again)].into()));
    assert_eq!(sent_to(forwarder.choose(at(4500), &need())).id, "i-0");
    assert!(
        !forwarder.apply_cooldown(at(4600), at(4400), "i-0", REST),
        "an answer of the run before"
    );
    assert_eq!(sent_to(forwarder.choose(at(4600), &need())).id, "i-0");
}

/// Guards against a call that waits, or is refused, for the sake of a rest that is over within the time that it may wait.
#[test]
fn a_call_waits_for_a_rest_that_is_over_in_a_moment() {
    let mut forwarder = forwarder(2);
    forwarder.apply_cooldown(at(0), at(0), "i-0", REST);
    assert_eq!(sent_to(forwarder.choose(at(0), &need())).id, "i-1");
    forwarder.apply_cooldown(at(0), at(0), "i-1", Span::from_millis(40));
    let patient = TargetQuery {
        max_wait: Span::from_millis(75),
        ..need()
    };
    assert!(matches!(forwarder.choose(at(0), &patient), ChooseResult::Busy(_)));
    assert_eq!(
        forwarder.choose(at(0), &need()),
        ChooseResult::CoolingDown(Span::from_millis(40))
    );
    assert_eq!(sent_to(forwarder.choose(at(40), &patient)).id, "i-1");
}

/// Guards against an owner that keeps the calls of all nodes from an engine which has asked only this node for rest.
#[test]
fn an_owner_places_calls_of_others_where_it_rests_itself() {
    let mut forwarder = forwarder(1);
    forwarder.apply_cooldown(at(0), at(0), "i-0", REST);
    let own = TargetQuery {
        engine_memory: Some(100_000),
        placing: Some(Shard::WHOLE),
        ..need()
    };
    let other = TargetQuery {
        for_other_node: true,
        ..own.clone()
    };
    assert_eq!(
        forwarder.place(at(1), &own, ME),
        ChooseResult::CoolingDown(Span::from_millis(2999))
    );
    assert_eq!(sent_to(forwarder.place(at(1), &other, 2)).id, "i-0");
}

// ----------------------------------------------------------------------------
// Pools

fn spec() -> PoolSpec {
    PoolSpec {
        slots: 1,
        queue: 2,
        batch: 8,
        call_overhead: Span::from_millis(150),
        piece_time: Span::from_millis(10),
        result_capacity: 1000,
        result_ttl: Span::from_secs(4),
        link_mbps: 1000,
    }
}

fn order(deadline: Time) -> PieceOrder {
    PieceOrder {
        request: "a".to_owned(),
        pieces: 3,
        deadline,
        due: deadline,
        bytes: 10,
        ..PieceOrder::default()
    }
}

/// Guards against pieces, and word that results may go, to a pool's target at rest, and against orders that wait in vain for one.
#[test]
fn a_pool_at_rest_gets_nothing_and_takes_no_order_that_would_be_late() {
    let mut queue = PieceQueue::new(spec());
    queue.apply_plan(&spec(), None, &table(1), |_| true);
    let key = queue.submit(at(0), order(at(10_000))).expect("there is room");
    let call = queue.next_calls(at(0)).remove(0);
    let refused = BatchOutcome::Refused { misdirected: false };
    queue.call_ended(at(10), call.call, refused);
    let over = at(10) + REST;
    queue.apply_cooldowns(|_| over);
    for ms in (10..3010).step_by(10) {
        assert!(queue.next_calls(at(ms)).is_empty(), "{ms} ms");
    }
    let late = queue.submit(at(100), order(at(2000)));
    assert!(
        late.is_err(),
        "it would wait for a target until after its deadline"
    );
    assert!(queue.expected_wait(at(10), 1) >= REST);
    assert!(queue.next_wake(at(3000)).is_some_and(|wake| wake <= over));
    assert_eq!(queue.next_calls(over).len(), 1);
    assert!(queue.order(key).is_some());
}
