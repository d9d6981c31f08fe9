//! Messages between nodes about pieces, as nodes of an earlier version send them.

#![allow(clippy::unwrap_used, reason = "a test stops where it fails")]

use barleyspool_core::{OrderOutcome, PieceOrder, PoolDemand, RankWaits, RankedPieces, Span};
use barleyspool_wire::pieces::{RemoteOrder, RemoteOrderOutcome};

/// Guards against an order of an older node that is refused because it carries no announcements.
#[test]
fn an_order_without_announcements_is_read_as_one_with_none() {
    let older = rmp_serde::to_vec(&("pool", 3, 7, PieceOrder::default())).unwrap();
    let order: RemoteOrder = rmp_serde::from_slice(&older).unwrap();
    assert_eq!((order.shard, order.requester), (3, 7));
    assert!(order.planned.is_empty() && order.offered.is_empty());
}

/// Guards against the answer of an older owner that is taken for a lost connection, since it has no waits by rank.
#[test]
fn an_answer_without_waits_by_rank_is_read_as_one_with_none() {
    let older = rmp_serde::to_vec(&(OrderOutcome::Moved, Span::from_millis(20))).unwrap();
    let answer: RemoteOrderOutcome = rmp_serde::from_slice(&older).unwrap();
    assert_eq!(answer.expected_wait, Span::from_millis(20));
    assert_eq!(answer.waits, RankWaits::default());
    assert!(answer.demand.is_empty());
}

/// Guards against announcements and waits that are lost or mixed up on the way.
#[test]
fn announcements_and_waits_arrive_as_they_were_sent() {
    let mut planned = RankedPieces::default();
    planned.add(0, 48);
    planned.add(200, 70_000);
    let mut offered = RankedPieces::default();
    offered.add(3, 9_000);
    let order = RemoteOrder {
        planned: planned.clone(),
        offered: offered.clone(),
        ..RemoteOrder::default()
    };
    let bytes = rmp_serde::to_vec(&order).unwrap();
    let received: RemoteOrder = rmp_serde::from_slice(&bytes).unwrap();
    assert_eq!((received.planned, received.offered), (planned, offered.clone()));
    let waits = RankWaits::new([(0, Span::ZERO), (3, Span::from_secs(2))]);
    let answer = RemoteOrderOutcome {
        outcome: OrderOutcome::Failed,
        expected_wait: Span::ZERO,
        waits: waits.clone(),
        demand: PoolDemand::new(5_585, &offered),
    };
    let bytes = rmp_serde::to_vec(&answer).unwrap();
    let received: RemoteOrderOutcome = rmp_serde::from_slice(&bytes).unwrap();
    assert_eq!((received.waits, received.demand), (waits, answer.demand));
}

/// Guards against an older node that cannot read the answers of a pool which is not short: it accepts no field that it
/// does not know.
#[test]
fn an_answer_of_a_pool_that_is_not_short_is_read_by_an_older_node() {
    let answer = RemoteOrderOutcome {
        outcome: OrderOutcome::Moved,
        expected_wait: Span::ZERO,
        waits: RankWaits::default(),
        demand: PoolDemand::default(),
    };
    let bytes = rmp_serde::to_vec(&answer).unwrap();
    assert!(rmp_serde::from_slice::<(OrderOutcome, Span, RankWaits)>(&bytes).is_ok());
}
