//! Requests for newer data to nodes of which some do not answer, in virtual time.

use barleyspool_core::{HolderRequests, ListHolder, RequestEnd, Span, Time};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Time that a sound node takes to answer.
const ANSWER_TIME: Span = Span::from_millis(10);
/// Time after which a request without an answer fails.
const REQUEST_TIMEOUT: Span = Span::from_millis(1000);
const STEP: Span = Span::from_millis(5);

/// Nodes that have newer data. Those below `silent` accept requests and do not answer.
#[derive(Copy, Clone)]
struct Holders {
    count: usize,
    silent: usize,
}

impl Holders {
    fn list(self) -> impl Iterator<Item = ListHolder<usize>> {
        (0..self.count).map(|address| ListHolder {
            address,
            avoided: false,
            other_zone: address % 3 != 0,
            link_mbps: 100,
        })
    }
}

/// Runs requests from `start` until one is answered; returns the time and the number of requests that it took.
fn time_until_answered(
    requests: &mut HolderRequests<usize>,
    holders: Holders,
    start: Time,
    random: &mut SmallRng,
) -> (Span, usize) {
    let mut pending: Vec<(usize, Time)> = Vec::new();
    let mut started = 0;
    let mut now = start;
    loop {
        for (address, at) in pending.clone() {
            let ends_after = if address < holders.silent {
                REQUEST_TIMEOUT
            } else {
                ANSWER_TIME
            };
            if now.since(at) < ends_after {
                continue;
            }
            if address >= holders.silent {
                requests.end(now, address, RequestEnd::Answered);
                requests.cancel(now);
                return (now.since(start), started);
            }
            requests.end(now, address, RequestEnd::Failed);
            pending.retain(|(asked, _)| *asked != address);
        }
        if let Some(address) = requests.start(now, false, holders.list(), random) {
            pending.push((address, now));
            started += 1;
        }
        now = now + STEP;
        assert!(
            now.since(start) < Span::from_secs(60),
            "no node was asked that answers"
        );
    }
}

/// Guards against a wait for each silent node in turn: the time until an answer grows by a second with each of them.
#[test]
fn silent_nodes_cost_a_fraction_of_their_timeout_each() {
    let holders = Holders { count: 11, silent: 7 };
    let mut random = SmallRng::seed_from_u64(1);
    for _ in 0..2000 {
        let mut requests = HolderRequests::default();
        let (time, _) = time_until_answered(&mut requests, holders, Time::from_millis(5000), &mut random);
        assert!(time <= Span::from_millis(1100), "{time:?}");
    }
}

/// Guards against a time that grows with the number of nodes, where half of them are silent.
#[test]
fn the_time_until_an_answer_does_not_grow_with_the_number_of_silent_nodes() {
    for count in [12, 89, 410] {
        let holders = Holders {
            count,
            silent: count / 2,
        };
        let mut random = SmallRng::seed_from_u64(2);
        let mut times: Vec<Span> = (0..2000)
            .map(|_| {
                let mut requests = HolderRequests::default();
                time_until_answered(&mut requests, holders, Time::from_millis(5000), &mut random).0
            })
            .collect();
        times.sort();
        assert!(
            times[1000] <= Span::from_millis(170),
            "{count}: median {:?}",
            times[1000]
        );
        assert!(
            times[1980] <= Span::from_millis(1100),
            "{count}: 99% {:?}",
            times[1980]
        );
    }
}

/// Guards against further requests beside one that is answered in time.
#[test]
fn a_node_that_answers_is_the_only_one_that_is_asked() {
    let holders = Holders { count: 5, silent: 0 };
    let mut random = SmallRng::seed_from_u64(3);
    for _ in 0..100 {
        let mut requests = HolderRequests::default();
        let (time, started) =
            time_until_answered(&mut requests, holders, Time::from_millis(5000), &mut random);
        assert!(time <= ANSWER_TIME + STEP);
        assert_eq!(started, 1);
    }
}

/// Guards against silent nodes that are asked again for the next change although others answered the last.
#[test]
fn nodes_that_did_not_answer_are_asked_last_for_the_next_change() {
    let holders = Holders { count: 8, silent: 4 };
    let mut random = SmallRng::seed_from_u64(4);
    let mut requests = HolderRequests::default();
    let mut now = Time::from_millis(5000);
    let mut asked = 0;
    for _ in 0..10 {
        let (time, started) = time_until_answered(&mut requests, holders, now, &mut random);
        asked += started;
        now = now + time + REQUEST_TIMEOUT.scale(0.1);
    }
    assert!(asked <= 10 + holders.silent, "{asked} requests for 10 changes");
}

/// Guards against a flood of requests from a node that no other node answers.
#[test]
fn a_node_that_nobody_answers_sends_few_requests() {
    let holders = Holders { count: 5, silent: 5 };
    let mut random = SmallRng::seed_from_u64(5);
    let mut requests = HolderRequests::default();
    let mut started = 0;
    for step in 0..500 {
        let now = Time::from_millis(5000 + step * 20);
        // Connections are refused, so each request fails at once.
        if let Some(address) = requests.start(now, false, holders.list(), &mut random) {
            started += 1;
            requests.end(now, address, RequestEnd::Failed);
        }
    }
    // Each node once in each backoff of 2 s, and one request every 300 ms besides.
    let most = holders.count * 10_000 / 2000 + 10_000 / 300 + 1;
    assert!(started <= most, "{started} requests in 10 s, at most {most}");
}
