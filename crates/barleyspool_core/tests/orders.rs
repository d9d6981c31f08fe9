//! Fenced orders: two keepers in a cut, one that wakes late, orders lost and repeated, engines that restart.
#![allow(clippy::unwrap_used, clippy::panic, reason = "a proof stops where it fails")]

mod support;

use barleyspool_core::*;
use std::collections::BTreeSet;
use support::{START, ms};

/// An engine that checks fences, with what it was made to hold and under which revision.
struct FakeEngine {
    report: EngineReport,
    checks: bool,
    effects: Vec<Fence>,
}

impl FakeEngine {
    fn new(checks: bool, models: &[&str]) -> Self {
        let report = EngineReport {
            models: set(models),
            ..EngineReport::default()
        };
        Self {
            report,
            checks,
            effects: Vec::new(),
        }
    }

    /// Takes an order if its fence is higher than the last; loads are done at once.
    fn take(&mut self, order: &EngineOrder) -> bool {
        if self.checks && order.fence <= self.report.fence {
            return false;
        }
        self.report.fence = order.fence;
        self.report.models.extend(order.load.iter().cloned());
        self.report.models.retain(|model| !order.unload.contains(model));
        self.effects.push(order.fence);
        true
    }

    /// No older revision was ever put into effect after a newer one.
    fn in_order(&self) -> bool {
        self.effects
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

/// A keeper that sees to these engines, with plenty of room in the weight store.
fn keeper(targets: &[u32], fences: bool) -> OrderBook {
    let mut book = OrderBook::default();
    book.limits.loads_per_s = 100.0;
    for target in targets {
        let engine = book.engines.entry(TargetId(*target)).or_default();
        (engine.assigned, engine.fences) = (true, fences);
    }
    book
}

fn hear(book: &mut OrderBook, now: Time, target: u32, engine: &FakeEngine) {
    book.apply_report(now, TargetId(target), engine.report.clone());
}

/// Both sides of a cut believe that the engine is theirs, and one of them knows an older configuration.
#[test]
fn of_two_keepers_only_the_newer_configuration_stays_in_effect() {
    for checks in [true, false] {
        let mut engine = FakeEngine::new(checks, &["a@1"]);
        let (mut old, mut new) = (keeper(&[1], true), keeper(&[1], true));
        hear(&mut old, START, 1, &engine);
        hear(&mut new, START, 1, &engine);
        let newer = new
            .plan(START, Revision(8), &[placement(1, &["a@2"], 0)], false)
            .remove(0);
        let older = old
            .plan(START, Revision(7), &[placement(1, &["a@1", "b@1"], 0)], false)
            .remove(0);
        // The older one was frozen after it had decided, and sends late.
        assert!(engine.take(&newer));
        assert_eq!(engine.take(&older), !checks);
        assert_eq!(
            engine.in_order(),
            checks,
            "without the engine's check an old order takes effect"
        );
    }
}

#[test]
fn a_keeper_that_wakes_with_an_old_configuration_gives_no_order() {
    let mut engine = FakeEngine::new(true, &[]);
    engine.report.fence = Fence {
        revision: Revision(9),
        counter: 4,
    };
    let mut book = keeper(&[1], true);
    hear(&mut book, START, 1, &engine);
    let wanted = placement(1, &["a@1"], 0);
    assert!(
        book.plan(START, Revision(7), std::slice::from_ref(&wanted), true)
            .is_empty()
    );
    assert_eq!(
        book.order_for(START, Revision(7), &wanted, true),
        Err(OrderState::NewerRevision)
    );
    // What it last heard is too old to act on: it asks before it orders.
    let late = START + Span::from_secs(60);
    assert_eq!(
        book.order_for(late, Revision(9), &wanted, true),
        Err(OrderState::NoRecentReport)
    );
}

#[test]
fn of_two_orders_with_the_same_fence_one_wins_and_the_other_is_given_anew() {
    let mut engine = FakeEngine::new(true, &[]);
    let (mut a, mut b) = (keeper(&[1], true), keeper(&[1], true));
    hear(&mut a, START, 1, &engine);
    hear(&mut b, START, 1, &engine);
    let first = a
        .plan(START, Revision(2), &[placement(1, &["a@1"], 0)], false)
        .remove(0);
    let second = b
        .plan(START, Revision(2), &[placement(1, &["a@1"], 0)], false)
        .remove(0);
    assert_eq!(first.fence, second.fence);
    assert!(engine.take(&first) && !engine.take(&second));
    hear(&mut b, START + ms(10), 1, &engine);
    assert!(
        b.plan(START + ms(10), Revision(2), &[placement(1, &["a@1"], 0)], false)
            .is_empty()
    );
}

#[test]
fn a_lost_order_is_given_again_and_a_repeated_one_does_nothing() {
    let mut engine = FakeEngine::new(true, &[]);
    let mut book = keeper(&[1], true);
    let wanted = [placement(1, &["a@1"], 0)];
    hear(&mut book, START, 1, &engine);
    let lost = book.plan(START, Revision(2), &wanted, false).remove(0);
    hear(&mut book, START + ms(500), 1, &engine);
    assert!(
        book.plan(START + ms(500), Revision(2), &wanted, false).is_empty(),
        "its effect is awaited"
    );
    hear(&mut book, START + ms(3500), 1, &engine);
    let again = book.plan(START + ms(3500), Revision(2), &wanted, false).remove(0);
    assert!(engine.take(&again));
    assert!(!engine.take(&again) && !engine.take(&lost));
    assert_eq!(engine.effects.len(), 1);
}

#[test]
fn an_engine_that_restarts_in_the_middle_of_a_load_is_loaded_again() {
    let mut engine = FakeEngine::new(true, &[]);
    let mut book = keeper(&[1], true);
    let wanted = [placement(1, &["a@1"], 0)];
    hear(&mut book, START, 1, &engine);
    assert!(engine.take(&book.plan(START, Revision(2), &wanted, false).remove(0)));
    engine = FakeEngine::new(true, &[]);
    hear(&mut book, START + ms(4000), 1, &engine);
    assert!(engine.take(&book.plan(START + ms(4000), Revision(2), &wanted, false).remove(0)));
    assert_eq!(engine.report.models, set(&["a@1"]));
}

#[test]
fn a_configuration_change_in_the_middle_of_a_load_overtakes_it() {
    let mut engine = FakeEngine::new(true, &[]);
    engine.report.loading = set(&["a@1"]);
    engine.report.fence = Fence {
        revision: Revision(2),
        counter: 1,
    };
    let mut book = keeper(&[1], true);
    hear(&mut book, START, 1, &engine);
    assert_eq!(
        book.order_for(START, Revision(2), &placement(1, &["a@1"], 0), false),
        Err(OrderState::Loading)
    );
    let order = book
        .plan(START, Revision(3), &[placement(1, &["a@2"], 0)], false)
        .remove(0);
    assert!(engine.take(&order));
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
    hear(&mut book, START, 1, &one);
    hear(&mut book, START, 2, &two);
    for order in book.plan(START, Revision(2), &wanted, false) {
        assert!(order.unload.is_empty(), "nobody else holds a@1 yet");
        if order.target == TargetId(1) {
            one.take(&order)
        } else {
            two.take(&order)
        };
    }
    let later = START + ms(100);
    hear(&mut book, later, 1, &one);
    hear(&mut book, later, 2, &two);
    let orders = book.plan(later, Revision(2), &wanted, false);
    assert_eq!(orders[0].unload, set(&["a@1"]));
    assert!(one.take(&orders[0]));
    assert_eq!(one.report.models, set(&["b@1"]));
}

/// A model that nobody is meant to hold any more may go even if this is its last holder.
#[test]
fn an_unwanted_model_is_dropped_everywhere() {
    let mut book = keeper(&[1], true);
    hear(&mut book, START, 1, &FakeEngine::new(true, &["old@1", "new@1"]));
    let order = book
        .plan(START, Revision(2), &[placement(1, &["new@1"], 0)], false)
        .remove(0);
    assert_eq!(order.unload, set(&["old@1"]));
}

/// Keepers share the weight store's rate by their published number, without talking to each other, and the
/// most urgent goes first.
#[test]
fn loads_are_paced_and_the_most_urgent_goes_first() {
    let mut book = keeper(&[1, 2, 3, 4, 5, 6], true);
    book.limits.loads_per_s = 4.0;
    book.limits.keeper_count = 4;
    let wanted: Vec<Placement> = (1..=6).map(|id| placement(id, &["a@1"], id)).collect();
    let (mut first, mut loads) = (None, 0);
    let mut engines: Vec<FakeEngine> = (0..6).map(|_| FakeEngine::new(true, &[])).collect();
    for second in 0..3 {
        let now = START + Span::from_secs(second);
        for (at, engine) in engines.iter().enumerate() {
            hear(&mut book, now, at as u32 + 1, engine);
        }
        for order in book.plan(now, Revision(2), &wanted, false) {
            first = first.or(Some(order.target));
            loads += order.load.len();
            assert!(engines[order.target.0 as usize - 1].take(&order));
        }
    }
    assert_eq!(first, Some(TargetId(6)));
    assert!(
        (2..=4).contains(&loads),
        "{loads} loads in three seconds at one a second"
    );
}

#[test]
fn engines_that_check_no_fences_get_orders_only_under_a_confirmed_lease() {
    let mut book = keeper(&[1], false);
    hear(&mut book, START, 1, &FakeEngine::new(false, &[]));
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
