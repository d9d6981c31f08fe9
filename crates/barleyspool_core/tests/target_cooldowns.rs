//! Targets that request a cooldown from a node while calls keep arriving: which calls are sent, and which
//! are refused with which retry delay.

#![allow(clippy::expect_used, clippy::panic, reason = "a test stops where it fails")]

use barleyspool_core::{
    BatchOutcome, ChooseResult, ForwardPlan, ForwardSettings, Forwarder, PieceOrder, PieceQueue, PoolSpec,
    SendEnd, Shard, Span, TargetChoice, TargetEntry, TargetIncarnation, TargetQuery, TargetTable, Time,
    service_targets,
};
use std::sync::Arc;

/// The cooldown that targets request in these tests.
const COOLDOWN: Span = Span::from_secs(3);
/// The key of the node under test.
const ME: u64 = 1;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn entry(index: usize) -> TargetEntry {
    TargetEntry {
        id: format!("i-{index}"),
        service: "s".to_owned(),
        address: format!("10.0.0.{index}:80"),
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
    let mut forwarder = Forwarder::new(ForwardSettings::default()).expect("the state chart is valid");
    forwarder.apply_plan(&plan(table(targets)));
    forwarder
}

fn query() -> TargetQuery {
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

/// Guards against nodes that keep calling an overloaded service: 200 calls a second arrive for three
/// targets, each of which accepts five a second and requests a cooldown beyond that.
#[test]
fn an_overloaded_service_gets_what_it_accepts_and_other_calls_are_refused_at_once() {
    const CALLS_PER_S: u32 = 5;
    let mut forwarder = forwarder(3);
    let mut window_start = [at(0); 3];
    let mut calls = [0; 3];
    let (mut refused, mut cooling_down) = (0, 0);
    for step in 0..6000_u64 {
        let now = at(step * 5);
        let chosen = match forwarder.choose(now, &query()) {
            ChooseResult::Send(chosen) => chosen,
            ChooseResult::CoolingDown(wait) => {
                cooling_down += 1;
                assert!(wait > Span::ZERO && wait <= COOLDOWN, "{wait:?}");
                continue;
            }
            // A target that refused a call is skipped for a moment even without a cooldown.
            ChooseResult::Busy(_) => continue,
            ChooseResult::NoCapacity(wait) => panic!("no target has a rate limit: {wait:?}"),
        };
        let send = forwarder.begin(now, &query(), chosen.target);
        let index: usize = chosen.id[2..].parse().expect("an index");
        assert!(
            forwarder.cooldown_until(&chosen.id) <= now,
            "{} is in cooldown at {now:?}",
            chosen.id
        );
        if now.since(window_start[index]) >= Span::from_secs(1) {
            (window_start[index], calls[index]) = (now, 0);
        }
        calls[index] += 1;
        let end = if calls[index] <= CALLS_PER_S {
            SendEnd::Answered { success: true }
        } else {
            refused += 1;
            forwarder.apply_cooldown(now, now, &chosen.id, COOLDOWN);
            SendEnd::Refused {
                misdirected: false,
                inputs_gone: false,
            }
        };
        forwarder.end(now + Span::from_millis(1), send, end);
    }
    // 30 s, three targets, and one refusal for each cooldown of three seconds.
    assert!(refused <= 33, "{refused} refusals");
    assert!(cooling_down > 4000, "{cooling_down} calls were refused at once");
}

/// Guards against a cooldown that is shortened by a later, shorter request, and against one that is
/// applied to the next incarnation of the target.
#[test]
fn a_cooldown_lasts_as_requested_and_ends_with_the_incarnation() {
    let mut forwarder = forwarder(1);
    assert!(forwarder.apply_cooldown(at(0), at(0), "i-0", COOLDOWN));
    assert!(!forwarder.apply_cooldown(at(1000), at(0), "i-0", Span::from_millis(500)));
    assert_eq!(
        forwarder.choose(at(1000), &query()),
        ChooseResult::CoolingDown(Span::from_secs(2))
    );
    assert!(forwarder.usable(at(2999), &query(), "i-0").is_none());
    assert!(
        !forwarder.allows_health_check(at(2999), "i-0"),
        "it counts like a call"
    );
    assert!(forwarder.allows_health_check(at(3000), "i-0"));
    assert_eq!(sent_to(forwarder.choose(at(3000), &query())).id, "i-0");
    forwarder.apply_cooldown(at(4000), at(4000), "i-0", COOLDOWN);
    let mut restarted = entry(0);
    restarted.incarnation = TargetIncarnation(5);
    restarted.times.restarted_at = at(4500);
    forwarder.apply_plan(&plan([("i-0".to_owned(), restarted)].into()));
    assert_eq!(sent_to(forwarder.choose(at(4500), &query())).id, "i-0");
    assert!(
        !forwarder.apply_cooldown(at(4600), at(4400), "i-0", COOLDOWN),
        "an answer of the previous incarnation"
    );
    assert_eq!(sent_to(forwarder.choose(at(4600), &query())).id, "i-0");
}

/// Guards against refusing a call because of a cooldown that ends within the time that the call may wait.
#[test]
fn a_call_waits_for_a_cooldown_that_ends_soon() {
    let mut forwarder = forwarder(2);
    forwarder.apply_cooldown(at(0), at(0), "i-0", COOLDOWN);
    assert_eq!(sent_to(forwarder.choose(at(0), &query())).id, "i-1");
    forwarder.apply_cooldown(at(0), at(0), "i-1", Span::from_millis(40));
    let waiting_query = TargetQuery {
        max_wait: Span::from_millis(75),
        ..query()
    };
    assert!(matches!(
        forwarder.choose(at(0), &waiting_query),
        ChooseResult::Busy(_)
    ));
    assert_eq!(
        forwarder.choose(at(0), &query()),
        ChooseResult::CoolingDown(Span::from_millis(40))
    );
    assert_eq!(sent_to(forwarder.choose(at(40), &waiting_query)).id, "i-1");
}

/// Guards against an owner that places no calls of other nodes at an engine that requested a cooldown
/// only from the owner itself.
#[test]
fn an_owner_places_calls_of_other_nodes_at_a_target_in_its_own_cooldown() {
    let mut forwarder = forwarder(1);
    forwarder.apply_cooldown(at(0), at(0), "i-0", COOLDOWN);
    let own = TargetQuery {
        engine_memory: Some(100_000),
        placing: Some(Shard::WHOLE),
        ..query()
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

/// Guards against pieces and releases of results sent to a pool's target in cooldown, and against
/// admitting orders that would wait for it past their deadline.
#[test]
fn a_pool_in_cooldown_gets_nothing_and_admits_no_order_that_would_be_late() {
    let mut queue = PieceQueue::new(spec());
    queue.apply_plan(&spec(), None, &table(1), |_| true);
    let key = queue.submit(at(0), order(at(10_000))).expect("there is capacity");
    let call = queue.next_calls(at(0)).remove(0);
    let refused = BatchOutcome::Refused { misdirected: false };
    queue.call_ended(at(10), call.call, refused);
    let cooldown_end = at(10) + COOLDOWN;
    queue.apply_cooldowns(|_| cooldown_end);
    for ms in (10..3010).step_by(10) {
        assert!(queue.next_calls(at(ms)).is_empty(), "{ms} ms");
    }
    let late = queue.submit(at(100), order(at(2000)));
    assert!(
        late.is_err(),
        "it would wait for a target until after its deadline"
    );
    assert!(queue.expected_wait(at(10), 1) >= COOLDOWN);
    assert!(queue.next_wake(at(3000)).is_some_and(|wake| wake <= cooldown_end));
    assert_eq!(queue.next_calls(cooldown_end).len(), 1);
    assert!(queue.order(key).is_some());
}
