//! Fenced orders under a network partition, a paused keeper, lost and repeated orders and engine restarts.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test stops at the first failure"
)]

mod support;

use barleyspool_core::*;
use std::collections::BTreeSet;
use support::{START, ms};

/// A simulated engine that records the fences of the orders it executed.
struct FakeEngine {
    report: EngineReport,
    checks_fences: bool,
    executed: Vec<Fence>,
}

impl FakeEngine {
    fn new(checks_fences: bool, models: &[&str]) -> Self {
        let report = EngineReport {
            models: set(models),
            ..EngineReport::default()
        };
        Self {
            report,
            checks_fences,
            executed: Vec::new(),
        }
    }

    /// Executes an order at once. An engine that checks fences does so only if the fence is higher than the last.
    fn execute(&mut self, order: &EngineOrder) -> bool {
        if self.checks_fences && order.fence <= self.report.fence {
            return false;
        }
        self.report.fence = order.fence;
        self.report.models.extend(order.load.iter().cloned());
        self.report.models.retain(|model| !order.unload.contains(model));
        self.executed.push(order.fence);
        true
    }

    /// Whether no order of an older revision was executed after one of a newer revision.
    fn executed_in_order(&self) -> bool {
        self.executed
            .windows(2)
            .all(|pair| pair[0].revision <= pair[1].revision)
    }
}

fn set(models: &[&str]) -> BTreeSet<String> {
    models.iter().map(|model| (*model).to_owned()).collect()
}

fn placement(target: u32, models: &[&str], urgency: u32) -> Placement {
    let models = models.iter().map(|model| (*model).to_owned()).collect();
    Placement {
        target: TargetId(target),
        models,
        urgency,
    }
}

/// A keeper that is responsible for these engines, with a load rate that is no constraint.
fn keeper(targets: &[u32], fences: bool) -> OrderBook {
    let mut book = OrderBook::default();
    book.limits.loads_per_s = 100.0;
    for target in targets {
        let engine = book.engines.entry(TargetId(*target)).or_default();
        (engine.assigned, engine.fences) = (true, fences);
    }
    book
}

fn send_report(book: &mut OrderBook, now: Time, target: u32, engine: &FakeEngine) {
    book.apply_report(now, TargetId(target), engine.report.clone());
}

/// In a network partition, keepers on both sides consider themselves responsible for the engine, and one of
/// them has an older configuration.
#[test]
fn of_two_keepers_only_the_newer_configuration_stays_in_effect() {
    for checks_fences in [true, false] {
        let mut engine = FakeEngine::new(checks_fences, &["a@1"]);
        let (mut old, mut new) = (keeper(&[1], true), keeper(&[1], true));
        send_report(&mut old, START, 1, &engine);
        send_report(&mut new, START, 1, &engine);
        let newer = new
            .plan(START, Revision(8), &[placement(1, &["a@2"], 0)], false)
            .remove(0);
        let older = old
            .plan(START, Revision(7), &[placement(1, &["a@1", "b@1"], 0)], false)
            .remove(0);
        // The keeper with the older configuration was paused between planning and sending its order.
        assert!(engine.execute(&newer));
        assert_eq!(engine.execute(&older), !checks_fences);
        assert_eq!(
            engine.executed_in_order(),
            checks_fences,
            "without the engine's fence check an old order takes effect"
        );
    }
}

#[test]
fn a_keeper_that_resumes_with_an_old_configuration_sends_no_order() {
    let mut engine = FakeEngine::new(true, &[]);
    engine.report.fence = Fence {
        revision: Revision(9),
        counter: 4,
    };
    let mut book = keeper(&[1], true);
    send_report(&mut book, START, 1, &engine);
    let wanted = placement(1, &["a@1"], 0);
    assert!(
        book.plan(START, Revision(7), std::slice::from_ref(&wanted), true)
            .is_empty()
    );
    assert_eq!(
        book.order_for(START, Revision(7), &wanted, true),
        Err(OrderState::NewerRevision)
    );
    // The last report is too old to act on: the keeper needs a new one before it sends an order.
    let late = START + Span::from_secs(60);
    assert_eq!(
        book.order_for(late, Revision(9), &wanted, true),
        Err(OrderState::NoRecentReport)
    );
}

#[test]
fn of_two_orders_with_the_same_fence_only_one_is_executed() {
    let mut engine = FakeEngine::new(true, &[]);
    let (mut a, mut b) = (keeper(&[1], true), keeper(&[1], true));
    send_report(&mut a, START, 1, &engine);
    send_report(&mut b, START, 1, &engine);
    let first = a
        .plan(START, Revision(2), &[placement(1, &["a@1"], 0)], false)
        .remove(0);
    let second = b
        .plan(START, Revision(2), &[placement(1, &["a@1"], 0)], false)
        .remove(0);
    assert_eq!(first.fence, second.fence);
    assert!(engine.execute(&first) && !engine.execute(&second));
    send_report(&mut b, START + ms(10), 1, &engine);
    assert!(
        b.plan(START + ms(10), Revision(2), &[placement(1, &["a@1"], 0)], false)
            .is_empty()
    );
}

#[test]
fn a_lost_order_is_sent_again_and_a_repeated_one_has_no_effect() {
    let mut engine = FakeEngine::new(true, &[]);
    let mut book = keeper(&[1], true);
    let wanted = [placement(1, &["a@1"], 0)];
    send_report(&mut book, START, 1, &engine);
    let lost = book.plan(START, Revision(2), &wanted, false).remove(0);
    send_report(&mut book, START + ms(500), 1, &engine);
    assert!(
        book.plan(START + ms(500), Revision(2), &wanted, false).is_empty(),
        "the effect of the first order is still pending"
    );
    send_report(&mut book, START + ms(3500), 1, &engine);
    let again = book.plan(START + ms(3500), Revision(2), &wanted, false).remove(0);
    assert!(engine.execute(&again));
    assert!(!engine.execute(&again) && !engine.execute(&lost));
    assert_eq!(engine.executed.len(), 1);
}

#[test]
fn an_engine_that_restarts_during_a_load_is_loaded_again() {
    let mut engine = FakeEngine::new(true, &[]);
    let mut book = keeper(&[1], true);
    let wanted = [placement(1, &["a@1"], 0)];
    send_report(&mut book, START, 1, &engine);
    assert!(engine.execute(&book.plan(START, Revision(2), &wanted, false).remove(0)));
    engine = FakeEngine::new(true, &[]);
    send_report(&mut book, START + ms(4000), 1, &engine);
    assert!(engine.execute(&book.plan(START + ms(4000), Revision(2), &wanted, false).remove(0)));
    assert_eq!(engine.report.models, set(&["a@1"]));
}

#[test]
fn a_configuration_change_supersedes_a_load_in_progress() {
    let mut engine = FakeEngine::new(true, &[]);
    engine.report.loading = set(&["a@1"]);
    engine.report.fence = Fence {
        revision: Revision(2),
        counter: 1,
    };
    let mut book = keeper(&[1], true);
    send_report(&mut book, START, 1, &engine);
    assert_eq!(
        book.order_for(START, Revision(2), &placement(1, &["a@1"], 0), false),
        Err(OrderState::Loading)
    );
    let order = book
        .plan(START, Revision(3), &[placement(1, &["a@2"], 0)], false)
        .remove(0);
    assert!(engine.execute(&order));
    assert_eq!(
        order.fence,
        Fence {
            revision: Revision(3),
            counter: 2
        }
    );
}

#[test]
fn the_last_holder_of_a_wanted_model_keeps_it() {
    let mut book = keeper(&[1, 2], true);
    let (mut one, mut two) = (FakeEngine::new(true, &["a@1"]), FakeEngine::new(true, &[]));
    let wanted = [placement(1, &["b@1"], 0), placement(2, &["a@1"], 0)];
    send_report(&mut book, START, 1, &one);
    send_report(&mut book, START, 2, &two);
    for order in book.plan(START, Revision(2), &wanted, false) {
        assert!(order.unload.is_empty(), "no other engine holds a@1 yet");
        if order.target == TargetId(1) {
            one.execute(&order)
        } else {
            two.execute(&order)
        };
    }
    let later = START + ms(100);
    send_report(&mut book, later, 1, &one);
    send_report(&mut book, later, 2, &two);
    let orders = book.plan(later, Revision(2), &wanted, false);
    assert_eq!(orders[0].unload, set(&["a@1"]));
    assert!(one.execute(&orders[0]));
    assert_eq!(one.report.models, set(&["b@1"]));
}

/// A model that the placement assigns to no engine is unloaded even by its last holder.
#[test]
fn a_model_without_placement_is_unloaded_even_by_its_last_holder() {
    let mut book = keeper(&[1], true);
    send_report(&mut book, START, 1, &FakeEngine::new(true, &["old@1", "new@1"]));
    let order = book
        .plan(START, Revision(2), &[placement(1, &["new@1"], 0)], false)
        .remove(0);
    assert_eq!(order.unload, set(&["old@1"]));
}

/// Keepers divide the weight store's rate by their published number, without communication, and load the most
/// urgent placements first.
#[test]
fn loads_are_rate_limited_and_the_most_urgent_goes_first() {
    let mut book = keeper(&[1, 2, 3, 4, 5, 6], true);
    book.limits.loads_per_s = 4.0;
    book.limits.keeper_count = 4;
    let wanted: Vec<Placement> = (1..=6).map(|id| placement(id, &["a@1"], id)).collect();
    let (mut first, mut loads) = (None, 0);
    let mut engines: Vec<FakeEngine> = (0..6).map(|_| FakeEngine::new(true, &[])).collect();
    for second in 0..3 {
        let now = START + Span::from_secs(second);
        for (at, engine) in engines.iter().enumerate() {
            send_report(&mut book, now, at as u32 + 1, engine);
        }
        for order in book.plan(now, Revision(2), &wanted, false) {
            first = first.or(Some(order.target));
            loads += order.load.len();
            assert!(engines[order.target.0 as usize - 1].execute(&order));
        }
    }
    assert_eq!(first, Some(TargetId(6)));
    assert!(
        (2..=4).contains(&loads),
        "{loads} loads in three seconds at a rate of one per second"
    );
}

#[test]
fn engines_without_fence_checks_get_orders_only_under_a_confirmed_lease() {
    let mut book = keeper(&[1], false);
    send_report(&mut book, START, 1, &FakeEngine::new(false, &[]));
    let wanted = placement(1, &["a@1"], 0);
    assert!(
        book.plan(START, Revision(2), std::slice::from_ref(&wanted), false)
            .is_empty()
    );
    assert_eq!(
        book.order_for(START, Revision(2), &wanted, false),
        Err(OrderState::Unconfirmed)
    );
    assert_eq!(book.plan(START, Revision(2), &[wanted], true).len(), 1);
}
