//! Orders that starve in a shortage are refused early, and orders that can be served are not.

#![allow(clippy::expect_used, reason = "a test stops where it fails")]

mod batch_calls;

use barleyspool_core::{
    BatchCall, BatchOutcome, MAX_RETRY_WAIT, OrderKey, OrderOutcome, PieceOrder, PieceQueue, PoolSpec, Span,
    TargetEntry, TargetTable, Time,
};
use batch_calls::all_computed;

const BATCH: u32 = 8;
/// The duration of a full call.
const FULL_CALL: Span = Span::from_millis(230);
/// The time from the submission of the observed order to its deadline.
const ORDER_TIME: Span = Span::from_millis(6_000);
const STEP_MS: u64 = 10;

fn spec() -> PoolSpec {
    PoolSpec {
        slots: 1,
        queue: 2,
        batch: BATCH,
        call_overhead: Span::from_millis(150),
        piece_time: Span::from_millis(10),
        result_capacity: 1_000_000,
        result_ttl: Span::from_secs(4),
        link_mbps: 1_000,
    }
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// A pool whose calls take as long as expected, unless its targets are down.
struct Pool {
    queue: PieceQueue,
    running: Vec<(Time, BatchCall)>,
    /// Whether the targets refuse connections.
    down: bool,
    ended: Vec<(Time, OrderKey, OrderOutcome)>,
}

impl Pool {
    fn new(spec: &PoolSpec, targets: usize) -> Self {
        let entry = |place: usize| TargetEntry {
            id: format!("i-{place}"),
            address: format!("10.0.0.{place}:80"),
            ..TargetEntry::default()
        };
        let table: TargetTable = (0..targets)
            .map(|place| (format!("i-{place}"), entry(place)))
            .collect();
        let mut queue = PieceQueue::new(spec.clone());
        queue.apply_plan(spec, None, &table, |_| true);
        Self {
            queue,
            running: Vec::new(),
            down: false,
            ended: Vec::new(),
        }
    }

    fn step(&mut self, now: Time) {
        let done = self.running.extract_if(.., |(end, _)| *end <= now);
        for (_, call) in done.collect::<Vec<_>>() {
            self.queue.call_ended(now, call.call, all_computed(&call));
        }
        self.queue.tick(now);
        for call in self.queue.next_calls(now) {
            if self.down {
                self.queue.call_ended(now, call.call, BatchOutcome::Unreachable);
                continue;
            }
            let pieces = call.pieces.len() as u64;
            let took = spec().call_overhead + Span(spec().piece_time.0 * pieces);
            self.running.push((now + took, call));
        }
        let ended = self.queue.take_ended();
        self.ended
            .extend(ended.into_iter().map(|(key, end)| (now, key, end)));
    }

    /// When and how an order ended.
    fn end(&self, key: OrderKey) -> Option<(Time, OrderOutcome)> {
        let ended = self.ended.iter().find(|(_, ended, _)| *ended == key);
        ended.map(|(now, _, end)| (*now, end.clone()))
    }
}

fn order(now: Time, request: &str, rank: u8) -> PieceOrder {
    PieceOrder {
        request: request.to_owned(),
        pieces: BATCH,
        rank,
        due: now + Span::from_millis(1_000),
        deadline: now + ORDER_TIME,
        bytes: 10,
        ..PieceOrder::default()
    }
}

/// A full order of rank 0 for each target every `interval_ms` from 0 to `until_ms`; `deadline` is the time that each of
/// them has. An order of rank 1 is submitted after 500 ms. Returns the pool after 8 s, and the key of that order.
fn play(targets: usize, until_ms: u64, interval_ms: u64, deadline: Span) -> (Pool, OrderKey) {
    let mut pool = Pool::new(&spec(), targets);
    let mut observed = None;
    for ms in (0..8_000).step_by(STEP_MS as usize) {
        let now = at(ms);
        // The orders of the targets are spread over the interval.
        let is_due = |place: &usize| (ms + *place as u64 * STEP_MS).is_multiple_of(interval_ms);
        for place in (0..targets).filter(is_due).filter(|_| ms < until_ms) {
            let important = PieceOrder {
                deadline: now + deadline,
                ..order(now, &format!("{ms}-{place}"), 0)
            };
            let _ = pool.queue.submit(now, important);
        }
        if ms == 500 {
            let key = pool.queue.submit(now, order(now, "observed", 1));
            observed = Some(key.expect("the order is accepted"));
        }
        pool.step(now);
    }
    (pool, observed.expect("the order was submitted"))
}

/// Guards against orders that are refused because of a shortage that ends: the pool then works off what waits, and they
/// are in time.
#[test]
fn an_order_is_computed_when_the_shortage_ends_after_a_second() {
    for interval_ms in [50, 100, 150, 200] {
        let (pool, key) = play(1, 1_000, interval_ms, ORDER_TIME);
        let end = pool.end(key);
        assert!(
            matches!(end, Some((_, OrderOutcome::Computed(_)))),
            "interval {interval_ms}: {end:?}"
        );
    }
}

/// Guards against an order that is refused because a burst of more important ones went ahead of it, although the burst
/// ends in time for the order to be computed after it.
#[test]
fn an_order_is_computed_after_a_burst_of_a_higher_rank_that_ends_before_half_of_its_time() {
    for interval_ms in [50, 70, 100, 140, 200] {
        for until_ms in (600..=3_400_u64).step_by(100) {
            // What is submitted, the order itself and the call that runs when the order could start take this long.
            let orders = until_ms.div_ceil(interval_ms) + 2;
            if FULL_CALL.as_millis() * orders > ORDER_TIME.as_millis() + 500 {
                continue;
            }
            let (pool, key) = play(1, until_ms, interval_ms, ORDER_TIME);
            let end = pool.end(key);
            assert!(
                matches!(end, Some((_, OrderOutcome::Computed(_)))),
                "{interval_ms} ms until {until_ms}: {end:?}"
            );
        }
    }
}

/// Guards against an order that waits until its deadline because more important work arrives as fast as it is computed.
/// Little is ahead of the order at any moment here, since important orders that do not start within a second end.
#[test]
fn an_order_is_refused_when_important_work_keeps_arriving_faster_than_it_is_computed() {
    for (targets, interval_ms) in [1, 4, 16]
        .into_iter()
        .flat_map(|n| [50, 100, 150].map(|ms| (n, ms)))
    {
        let (mut pool, key) = play(targets, 8_000, interval_ms, Span::from_millis(1_000));
        let (ended_at, end) = pool.end(key).expect("the order has ended");
        let case = format!("{targets} targets, {interval_ms} ms: ended at {ended_at:?}: {end:?}");
        // A second is left to retry elsewhere.
        assert!(ended_at <= at(500) + ORDER_TIME - Span::from_secs(1), "{case}");
        assert!(
            matches!(end, OrderOutcome::TooLate(retry_after) if (FULL_CALL..=MAX_RETRY_WAIT).contains(&retry_after)),
            "{case}"
        );
        let starved = pool.queue.take_starved();
        let reported = starved.iter().find(|order| order.request == "observed");
        assert_eq!(
            reported.map(|order| OrderOutcome::TooLate(order.retry_after)),
            Some(end)
        );
    }
}

/// Guards against orders that are refused because nothing was computed during an outage, although there is time for all of
/// them after it.
#[test]
fn no_order_is_refused_during_an_outage_after_which_it_is_computed() {
    let mut pool = Pool::new(&spec(), 1);
    let mut keys = Vec::new();
    for ms in (0..8_000).step_by(STEP_MS as usize) {
        let now = at(ms);
        if ms % 300 == 0 && ms < 2_400 {
            let order = order(now, &ms.to_string(), (ms / 300 % 3) as u8);
            keys.push(pool.queue.submit(now, order).expect("the order is accepted"));
        }
        pool.down = (100..3_600).contains(&ms);
        pool.step(now);
    }
    for key in keys {
        let end = pool.end(key);
        assert!(matches!(end, Some((_, OrderOutcome::Computed(_)))), "{end:?}");
    }
}

/// Guards against orders that are refused for a long wait without a shortage: what waits fits into the next call.
#[test]
fn no_order_is_refused_while_the_pool_is_not_short() {
    let mut pool = Pool::new(&spec(), 1);
    let now = at(0);
    pool.queue
        .submit(now, order(now, "running", 0))
        .expect("accepted");
    let calls = pool.queue.next_calls(now);
    assert_eq!(calls.len(), 1);
    let key = pool.queue.submit(now, order(now, "waiting", 5));
    let key = key.expect("the order is accepted");
    // The target does not answer, and no other call is started.
    for ms in (0..5_700).step_by(STEP_MS as usize) {
        pool.queue.next_calls(at(ms));
        assert!(pool.queue.order(key).is_some(), "ended at {ms} ms");
    }
}

/// Guards against orders that are refused because they wait for capacity for results. When it is free, the pool computes
/// what waits at its full throughput.
#[test]
fn an_order_that_waits_for_capacity_for_results_is_computed_when_there_is_some() {
    let small = PoolSpec {
        result_capacity: u64::from(BATCH) * 10,
        result_ttl: Span::from_millis(3_800),
        ..spec()
    };
    let mut pool = Pool::new(&small, 1);
    let mut keys = Vec::new();
    for ms in (0..8_000).step_by(STEP_MS as usize) {
        let now = at(ms);
        if ms == 0 {
            for place in 0..3_u8 {
                let order = order(now, &place.to_string(), place);
                keys.push(pool.queue.submit(now, order).expect("the order is accepted"));
            }
        }
        pool.step(now);
        // The results of the first order are read for long, those of the second one are released at once.
        let freed = match pool.end(keys[1]) {
            Some((_, OrderOutcome::Computed(handles))) => handles,
            _ => Vec::new(),
        };
        pool.queue.release(now, freed);
        for (_, _, handles) in pool.queue.take_releasable(now) {
            pool.queue.mark_freed(&handles);
        }
    }
    for key in keys {
        let end = pool.end(key);
        assert!(matches!(end, Some((_, OrderOutcome::Computed(_)))), "{end:?}");
    }
}

/// Guards against work that is thrown away: an order of which one call was started is not refused because it starves.
#[test]
fn an_order_of_which_pieces_were_started_is_kept() {
    let mut pool = Pool::new(&spec(), 1);
    let now = at(0);
    let large = PieceOrder {
        pieces: 2 * BATCH,
        ..order(now, "large", 1)
    };
    let key = pool.queue.submit(now, large).expect("the order is accepted");
    for ms in (0..5_700).step_by(STEP_MS as usize) {
        let now = at(ms);
        if ms % 100 == 50 {
            let _ = pool.queue.submit(now, order(now, &ms.to_string(), 0));
        }
        pool.step(now);
        assert!(pool.queue.order(key).is_some(), "ended at {ms} ms");
    }
}

/// Guards against callers that are refused at one moment and told one time, at which they would all come back.
#[test]
fn starving_orders_that_were_submitted_at_different_times_are_refused_at_different_times() {
    let mut pool = Pool::new(&spec(), 1);
    let mut keys = Vec::new();
    for ms in (0..8_000).step_by(STEP_MS as usize) {
        let now = at(ms);
        if ms % 100 == 0 {
            let _ = pool.queue.submit(now, order(now, &ms.to_string(), 0));
        }
        if (500..1_500).contains(&ms) && ms % 250 == 0 {
            let order = order(now, &format!("low-{ms}"), 1);
            keys.push(pool.queue.submit(now, order).expect("the order is accepted"));
        }
        pool.step(now);
    }
    let mut times: Vec<Time> = keys
        .iter()
        .filter_map(|key| pool.end(*key))
        .map(|(at, _)| at)
        .collect();
    times.dedup();
    assert_eq!(times.len(), keys.len(), "{times:?}");
    assert!(times.is_sorted_by(|first, second| second.since(*first) >= Span::from_millis(150)));
}
