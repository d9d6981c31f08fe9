//! The capacity of a pool by priority: announced pieces, waits by rank, and the order in a shortage.

#![allow(clippy::expect_used, reason = "a test stops where it fails")]
#![allow(clippy::print_stdout, reason = "tests of bounds print their figures")]

mod batch_calls;

use barleyspool_core::{
    ANNOUNCEMENT_TTL, AnnouncedPieces, BatchCall, OfferedPieces, OrderKey, OrderOutcome, OrgKey,
    OrganisationShares, PieceOrder, PieceQueue, PoolDemand, PoolSpec, RankWaits, RankedPieces, Span,
    TargetEntry, TargetTable, Time, WaitReport, wait_limit,
};
use batch_calls::all_computed;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Pieces a second that the reference pool computes.
const THROUGHPUT: f64 = 5_585.0;
const TARGETS: usize = 16;

/// The reference pool, with unlimited capacity for results.
fn spec() -> PoolSpec {
    PoolSpec {
        slots: 1,
        queue: 2,
        batch: 96,
        call_overhead: Span::from_millis(150),
        piece_time: Span(1_300),
        result_capacity: u64::MAX,
        // Short, since the results are not read here and their number slows the tests down.
        result_ttl: Span::from_millis(100),
        link_mbps: 1_000,
    }
}

fn pool() -> PieceQueue {
    let entry = |place: usize| TargetEntry {
        id: format!("i-{place}"),
        address: format!("10.0.0.{place}:80"),
        ..TargetEntry::default()
    };
    let table: TargetTable = (0..TARGETS)
        .map(|place| (format!("i-{place}"), entry(place)))
        .collect();
    let mut queue = PieceQueue::new(spec());
    queue.apply_plan(&spec(), None, &table, |_| true);
    queue
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn order(request: &str, rank: u8, pieces: u32) -> PieceOrder {
    PieceOrder {
        request: request.to_owned(),
        pieces,
        due: at(1_000),
        deadline: at(60_000),
        rank,
        ..PieceOrder::default()
    }
}

fn ranked(counts: &[(u8, u32)]) -> RankedPieces {
    let mut pieces = RankedPieces::default();
    for (rank, count) in counts {
        pieces.add(*rank, *count);
    }
    pieces
}

// ----------------------------------------------------------------------------
// Announcements and waits by rank

/// Guards against pieces that count twice, in the announcement before and in that of now, and against those of a dead
/// node that make calls wait for ever.
#[test]
fn the_last_announcement_of_each_node_counts_until_it_is_too_old() {
    let mut announced = AnnouncedPieces::default();
    announced.record(at(0), 1, ranked(&[(0, 16), (2, 32)]));
    announced.record(at(0), 2, ranked(&[(2, 8)]));
    assert_eq!(announced.sum(at(10)), &ranked(&[(0, 16), (2, 40)]));
    announced.record(at(1_000), 1, ranked(&[(2, 16)]));
    assert_eq!(announced.sum(at(1_000)), &ranked(&[(2, 24)]));
    announced.record(at(1_001), 1, RankedPieces::default());
    assert_eq!(announced.sum(at(1_001)), &ranked(&[(2, 8)]));
    let expired = at(0) + ANNOUNCEMENT_TTL;
    assert_eq!(announced.sum(expired), &RankedPieces::default());
}

/// Guards against an important call that is refused because of less important pieces, and against one that is admitted
/// although the pieces of admitted calls fill the pool.
#[test]
fn the_wait_for_a_rank_counts_pieces_of_the_same_and_of_more_important_ranks() {
    let mut queue = pool();
    let idle = queue.rank_waits(at(0), &RankedPieces::default()).wait(3);
    assert_eq!(idle, Some(queue.expected_wait(at(0), 1)));
    for request in 0..400 {
        let order = order(&request.to_string(), 2, 16);
        queue.submit(at(0), order).expect("the deadline is far");
    }
    let waits = queue.rank_waits(at(0), &ranked(&[(1, 1_600), (3, 1_600)]));
    let wait = |rank: u8| waits.wait(rank).expect("a wait by rank").as_millis();
    assert_eq!(
        Some(Span::from_millis(wait(0))),
        idle.map(|idle| Span::from_millis(idle.as_millis()))
    );
    assert!(wait(0) < wait(1) && wait(1) < wait(2) && wait(2) < wait(3));
    // 8,000 pieces at 5,585 a second, less the call of which `wait` includes only one piece.
    let all = 8_000.0 / THROUGHPUT * 1e3;
    assert!((wait(2) as f64 - all).abs() < 150.0, "{} ms, not {all}", wait(2));
    assert_eq!(
        wait(9),
        wait(3),
        "a rank that nobody uses waits behind all others"
    );
}

/// Guards against forecasts by a report from before a burst, or from an owner that does not know of ranks.
#[test]
fn a_report_is_used_by_rank_until_it_is_too_old() {
    let report = |waits: RankWaits| WaitReport {
        expected: Span::from_millis(900),
        waits,
        demand: PoolDemand::default(),
        received_at: at(0),
    };
    let by_rank = report(RankWaits::new([
        (0, Span::from_millis(200)),
        (2, Span::from_millis(900)),
    ]));
    assert_eq!(by_rank.rank_wait(at(100), 1), Some(Span::from_millis(150)));
    assert_eq!(by_rank.rank_wait(at(100), 2), Some(Span::from_millis(850)));
    assert_eq!(by_rank.rank_wait(at(1_500), 2), None);
    let older = report(RankWaits::default());
    assert_eq!(older.rank_wait(at(100), 2), None);
    assert_eq!(older.any_wait(at(100)), Some(Span::from_millis(850)));
}

/// Guards against calls that are refused at a pool which computes all that is asked, or of which nothing is known, and
/// against important calls that are refused because of less important ones.
#[test]
fn calls_are_admitted_by_share_only_if_they_ask_for_more_than_a_pool_computes() {
    let queue = pool();
    let demand = |counts: &[(u8, u32)]| queue.demand(at(0), &ranked(counts));
    let none = Span::ZERO;
    assert!(demand(&[(0, 2_000), (1, 3_500)]).is_empty());
    assert!((demand(&[(0, 2_000), (1, 3_500)]).admitted_share(1, none) - 1.0).abs() < 1e-9);
    let short = demand(&[(0, 4_185), (1, 2_800), (3, 1_000)]);
    assert!((short.admitted_share(0, none) - 1.0).abs() < 1e-9);
    // The pool computes 16 * 96 pieces in 274.8 ms, which is 5,589 a second, and leaves 1,404.
    assert!((short.admitted_share(1, none) - 1_404.0 / 2_800.0).abs() < 1e-4);
    assert!(short.admitted_share(3, none) < 1e-9);
    // The queue may grow by 250 ms, which is 1,397 pieces.
    let slack = Span::from_millis(250);
    assert!((short.admitted_share(1, slack) - 1.0).abs() < 1e-2);
    assert!((short.admitted_share(3, Span::from_millis(100)) - 0.558).abs() < 1e-2);
    // Nothing is known of what a rank asks that no node has named.
    assert!((short.admitted_share(7, none) - 1.0).abs() < 1e-9);
    assert!((PoolDemand::default().admitted_share(0, none) - 1.0).abs() < 1e-9);
    let without_targets = PieceQueue::new(spec());
    assert!(without_targets.demand(at(0), &ranked(&[(0, 9_000)])).is_empty());
}

/// Guards against shares that follow what calls asked a while ago, or an owner that no longer answers.
#[test]
fn the_demand_follows_what_calls_asked_in_the_last_second() {
    let mut offered = OfferedPieces::default();
    for ms in 0..4_000 {
        offered.add(at(ms), 1, 8);
    }
    let rate = |ms: u64| offered.per_second(at(ms)).total() as f64;
    assert!((rate(4_000) / 8_000.0 - 1.0).abs() < 0.05, "{}", rate(4_000));
    assert!(rate(6_000) < 0.15 * 8_000.0, "{}", rate(6_000));
    assert_eq!(offered.per_second(at(20_000)), RankedPieces::default());
    let report = WaitReport {
        expected: Span::ZERO,
        waits: RankWaits::default(),
        demand: pool().demand(at(0), &ranked(&[(0, 9_000)])),
        received_at: at(0),
    };
    assert!(report.demand(at(1_499)).is_some());
    assert!(report.demand(at(1_500)).is_none());
}

/// Guards against an owner that is too slow for its pool: with 410 nodes and a queue of 2,000 pieces, a report of the
/// waits takes under 20 us.
#[test]
fn a_report_takes_under_20_us_at_the_design_size() {
    let mut queue = pool();
    let mut announced = AnnouncedPieces::default();
    let mut offered = AnnouncedPieces::default();
    for node in 0..410_u64 {
        announced.record(at(0), node, ranked(&[(0, 16), (1, 16), (2, 16)]));
        offered.record(at(0), node, ranked(&[(0, 16), (1, 16), (2, 16)]));
    }
    for request in 0..125_u8 {
        let order = order(&request.to_string(), request % 3, 16);
        queue.submit(at(0), order).expect("the deadline is far");
    }
    let report = |_| {
        let began = Instant::now();
        let sum = announced.sum(at(1));
        assert!(queue.rank_waits(at(1), sum).wait(2).is_some());
        assert!(!queue.demand(at(1), offered.sum(at(1))).is_empty());
        began.elapsed()
    };
    // Other processes only make a run slower, so that the fastest of many shows the cost.
    let fastest = (0..1_000).map(report).min().expect("there are runs");
    println!("a report takes {fastest:?}");
    assert!(fastest < Duration::from_micros(20), "{fastest:?}");
}

// ----------------------------------------------------------------------------
// The order in a shortage

/// The first pieces of `request` numbers that a shortage puts into calls.
fn first_in_calls(queue: &mut PieceQueue, now: Time) -> Vec<String> {
    let calls = queue.next_calls(now);
    let pieces = calls.iter().flat_map(|call| &call.pieces);
    pieces.map(|piece| piece.request.clone()).collect()
}

/// Guards against important orders that wait behind less important ones which are due earlier, and against capacity that
/// goes to orders which are late anyway.
#[test]
fn in_a_shortage_orders_go_by_lateness_then_rank_then_due_time() {
    let orders = |count: usize| {
        let mut queue = pool();
        for place in 0..count {
            // Of each three: one that is late, one of a lower rank that is due soon, and one that is due later.
            let (rank, due) = [(0, 1_050), (1, 1_400), (0, 3_000)][place % 3];
            let name = ["late", "low", "high"][place % 3];
            let due = at(due);
            let order = PieceOrder {
                due,
                ..order(name, rank, 16)
            };
            queue.submit(at(1_000), order).expect("the deadline is far");
        }
        first_in_calls(&mut queue, at(1_000))
    };
    // 16 calls of 96 pieces take 1,536, of 9,600 that wait.
    let short = orders(600);
    assert_eq!(short.len(), 1_536);
    assert!(short.iter().all(|request| request == "high"));
    let plenty = orders(90);
    assert!(plenty.iter().any(|request| request == "late"), "all are computed");
}

/// Guards against an organisation that starves because others have more orders, and against a table that keeps all
/// organisations that ever sent one.
#[test]
fn usage_decays_and_organisations_without_recent_orders_are_forgotten() {
    let mut shares = OrganisationShares::default();
    shares.record(at(0), OrgKey(7), 96);
    assert!((shares.usage(at(2_000), OrgKey(7)) - 48.0).abs() < 1e-6);
    for organisation in 0..47_000 {
        shares.record(at(organisation * 10), OrgKey(organisation), 16);
    }
    assert!(shares.count() < 4_000, "{} are kept", shares.count());
}

// ----------------------------------------------------------------------------
// Loads of a fleet

const NODES: usize = 75;
/// The time of a full call to the reference pool.
const FULL_CALL: Span = Span::from_millis(275);
/// From the admission of a call until its pieces reach the pool, which is the third of its chain.
const LEAD: Span = Span::from_millis(550);
/// The time of the engine after the pool.
const ENGINE: Span = Span::from_millis(300);
/// The latency objective of the whole call, and the part of it until its pieces are computed.
const OBJECTIVE: Span = Span::from_millis(1_500);
const POOL_OBJECTIVE: Span = Span::from_millis(1_200);
/// How long the load lasts. Calls of the first two seconds, and those whose time is not over at the end, do not count.
const LOAD_TIME: Time = at_ms(13_200);
const WARM_UP: Time = at_ms(2_000);

const fn at_ms(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Calls of one kind.
#[derive(Copy, Clone)]
struct Load {
    rank: u8,
    organisation: OrgKey,
    /// The pieces of a call.
    pieces: u32,
    /// The load in times the throughput of the pool.
    factor: f64,
}

/// The pieces of a load: all, and those that were computed in time.
#[derive(Copy, Clone, Debug, Default)]
struct Served {
    demanded: u32,
    in_time: u32,
}

/// An admitted call.
#[derive(Copy, Clone)]
struct Admitted {
    load: usize,
    node: usize,
    arrived: Time,
}

#[derive(Clone, Default)]
struct Node {
    report: Option<WaitReport>,
    planned: RankedPieces,
    offered: OfferedPieces,
}

/// Nodes that admit calls, and the pool that is the last of their chain.
struct Fleet {
    loads: Vec<Load>,
    /// Whether nodes refuse calls that they expect to be late.
    refuses: bool,
    queue: PieceQueue,
    announced: AnnouncedPieces,
    offered: AnnouncedPieces,
    nodes: Vec<Node>,
    planned: Vec<Admitted>,
    open: HashMap<OrderKey, Admitted>,
    calls: Vec<(Time, BatchCall)>,
    served: Vec<Served>,
    submitted: u64,
    random: SmallRng,
    /// Separate, so that a seed gives the same calls however many are refused.
    draws: SmallRng,
}

impl Fleet {
    /// Plays the loads, and returns what was served of each.
    fn play(loads: Vec<Load>, refuses: bool, seed: u64) -> Vec<Served> {
        let mut fleet = Self {
            served: vec![Served::default(); loads.len()],
            loads,
            refuses,
            queue: pool(),
            announced: AnnouncedPieces::default(),
            offered: AnnouncedPieces::default(),
            nodes: vec![Node::default(); NODES],
            planned: Vec::new(),
            open: HashMap::new(),
            calls: Vec::new(),
            submitted: 0,
            random: SmallRng::seed_from_u64(seed),
            draws: SmallRng::seed_from_u64(seed + 1_000),
        };
        (0..LOAD_TIME.as_millis()).for_each(|ms| fleet.step(at(ms)));
        fleet.served
    }

    fn step(&mut self, now: Time) {
        for load in 0..self.loads.len() {
            let Load { pieces, factor, .. } = self.loads[load];
            let per_ms = factor * THROUGHPUT / f64::from(pieces) / 1e3;
            let extra = u32::from(self.random.random_bool(per_ms.fract()));
            (0..per_ms as u32 + extra).for_each(|_| self.arrive(now, load));
        }
        let reached = |call: &mut Admitted| now.since(call.arrived) >= LEAD;
        let submits: Vec<_> = self.planned.extract_if(.., reached).collect();
        submits.into_iter().for_each(|call| self.submit(now, call));
        let ended: Vec<_> = self.calls.extract_if(.., |(end, _)| now >= *end).collect();
        for (_, call) in ended {
            self.queue.call_ended(now, call.call, all_computed(&call));
        }
        for call in self.queue.next_calls(now) {
            let time = self.queue.call_time(call.pieces.len() as u32);
            self.calls.push((now + time, call));
        }
        for (key, outcome) in self.queue.take_ended() {
            self.answer(now, key, &outcome);
        }
    }

    /// Whether a call counts, and how many pieces.
    fn counted(&self, call: &Admitted) -> u32 {
        let counts = call.arrived >= WARM_UP && call.arrived + POOL_OBJECTIVE < LOAD_TIME;
        self.loads[call.load].pieces * u32::from(counts)
    }

    /// A call arrives at a random node.
    fn arrive(&mut self, now: Time, load: usize) {
        let Load { rank, pieces, .. } = self.loads[load];
        let node = self.random.random_range(0..NODES);
        let call = Admitted {
            load,
            node,
            arrived: now,
        };
        self.served[load].demanded += self.counted(&call);
        let report = self.nodes[node].report.as_ref();
        let reported = report.and_then(|report| report.rank_wait(now, rank));
        // Without a recent report, a node takes all others to plan what it does.
        let planned = self.nodes[node].planned.total() as f64 * NODES as f64 / THROUGHPUT;
        let queued = reported.map_or(Span((planned * 1e6) as u64), |wait| {
            Span(wait.0.saturating_sub(FULL_CALL.0))
        });
        // The pool works off its queue while the earlier stages run.
        let wait = Span(queued.0.saturating_sub(LEAD.0));
        let limit = wait_limit(OBJECTIVE, LEAD + FULL_CALL + ENGINE);
        let slack = Span((limit + LEAD).0.saturating_sub(queued.0));
        let demand = report.and_then(|report| report.demand(now));
        let share = demand.map_or(1.0, |demand| demand.admitted_share(rank, slack));
        self.nodes[node].offered.add(now, rank, pieces);
        if !self.refuses || (wait <= limit && self.draws.random_bool(share)) {
            self.nodes[node].planned.add(rank, pieces);
            self.planned.push(call);
        }
    }

    /// The pieces of a call reach the pool, with the announcement of its node.
    fn submit(&mut self, now: Time, call: Admitted) {
        let Load {
            rank,
            pieces,
            organisation,
            ..
        } = self.loads[call.load];
        let planned = &mut self.nodes[call.node].planned;
        planned.subtract(rank, pieces);
        self.announced.record(now, call.node as u64, planned.clone());
        let offered = self.nodes[call.node].offered.per_second(now);
        self.offered.record(now, call.node as u64, offered);
        self.submitted += 1;
        let due = call.arrived + POOL_OBJECTIVE;
        let order = PieceOrder {
            due,
            deadline: due + Span::from_secs(5),
            organisation,
            ..order(&self.submitted.to_string(), rank, pieces)
        };
        if let Ok(key) = self.queue.submit(now, order) {
            self.open.insert(key, call);
        }
    }

    /// An order ends, and its answer carries the waits to its node.
    fn answer(&mut self, now: Time, key: OrderKey, outcome: &OrderOutcome) {
        let Some(call) = self.open.remove(&key) else {
            return;
        };
        let announced = self.announced.sum(now);
        self.nodes[call.node].report = Some(WaitReport {
            expected: self.queue.expected_wait(now, 1),
            waits: self.queue.rank_waits(now, announced),
            demand: self.queue.demand(now, self.offered.sum(now)),
            received_at: now,
        });
        let in_time =
            matches!(outcome, OrderOutcome::Computed(_)) && now.since(call.arrived) <= POOL_OBJECTIVE;
        self.served[call.load].in_time += self.counted(&call) * u32::from(in_time);
    }
}

/// The share of the pool that `pieces` take, from 0 to 1.
fn share(pieces: u32) -> f64 {
    let counted = LOAD_TIME.since(WARM_UP + POOL_OBJECTIVE).as_secs();
    f64::from(pieces) / counted / THROUGHPUT
}

/// Plays a load of two ranks, in times the throughput of the pool. The higher one alone takes 0.75 of it, in calls that
/// have three times as many pieces as those of the lower one.
fn check_two_ranks(load: f64) {
    for seed in 1..=2 {
        let kind = |rank, pieces, factor| Load {
            rank,
            organisation: OrgKey(0),
            pieces,
            factor,
        };
        let served = Fleet::play(vec![kind(0, 24, 0.75), kind(1, 8, load - 0.75)], true, seed);
        let high = f64::from(served[0].in_time) / f64::from(served[0].demanded);
        let (left, low) = (1.0 - share(served[0].in_time), share(served[1].in_time));
        let part = low / left;
        println!("load {load}, seed {seed}: high {high:.3}, low {low:.3} of {left:.3}: {part:.3}");
        assert!(
            high >= 0.95,
            "load {load}, seed {seed}: {high:.3} of the higher rank"
        );
        assert!(
            part >= 0.9,
            "load {load}, seed {seed}: the lower rank gets {part:.3} of what is left"
        );
    }
}

/// Guards against important calls that are refused or late because of less important ones, and against capacity that
/// neither gets.
#[test]
fn the_higher_rank_is_served_and_the_lower_one_gets_what_is_left_at_half_more_than_capacity() {
    check_two_ranks(1.5);
}

/// Guards against the same at twice the capacity.
#[test]
fn the_higher_rank_is_served_and_the_lower_one_gets_what_is_left_at_twice_the_capacity() {
    check_two_ranks(2.0);
}

/// Guards against the same at three times the capacity.
#[test]
fn the_higher_rank_is_served_and_the_lower_one_gets_what_is_left_at_three_times_the_capacity() {
    check_two_ranks(3.0);
}

/// Guards against an organisation that takes the capacity of others by sending more. Ten share a pool, and one of them
/// sends half of the load.
#[test]
fn an_organisation_with_half_of_the_load_does_not_displace_others() {
    for load in [1.5, 2.0, 3.0] {
        let factor = |place: u64| load / if place == 0 { 2.0 } else { 18.0 };
        let organisation = |place| Load {
            rank: 0,
            organisation: OrgKey(place),
            pieces: 16,
            factor: factor(place),
        };
        let served = Fleet::play((0..10).map(organisation).collect(), false, 1);
        for (place, served) in served.iter().enumerate() {
            let wanted = share(served.demanded).min(0.1);
            let got = share(served.in_time);
            println!(
                "load {load}, organisation {place}: {got:.3} of {:.3}",
                share(served.demanded)
            );
            assert!(
                place == 0 || got >= 0.9 * wanted,
                "load {load}, {place}: {got:.3} of {wanted:.3}"
            );
            assert!(got > 0.0, "load {load}: organisation {place} starves");
        }
    }
}
