//! Focused proofs on one router: what a plan, a target or a crowd does to it.
#![allow(clippy::unwrap_used, clippy::panic, reason = "a proof stops where it fails")]

mod support;

use barleyspool_core::*;
use std::sync::Arc;
use support::*;

fn summary(key: &str, organisation: &str, deadline: Time) -> Call {
    Call {
        organisation: organisation.into(),
        deadline,
        ..call(key)
    }
}

/// A bench with `count` targets of `slots` per service.
fn bench(count: u32, slots: u32, guards: Guards) -> Bench {
    let settings = RouterSettings {
        node: NodeId(1),
        guards,
        ..RouterSettings::default()
    };
    Bench::new(settings, plan(START, count, slots))
}

// ----------------------------------------------------------------------------
// Bad input: a typed refusal each, and nothing in flight is touched

#[test]
fn bad_calls_get_a_typed_refusal_each_and_touch_nothing() {
    let good = || call("good");
    let cases = [
        (
            Reason::UnknownPipeline,
            Call {
                pipeline: "none".into(),
                ..good()
            },
        ),
        (
            Reason::UnknownOrganisation,
            Call {
                organisation: "nobody".into(),
                ..good()
            },
        ),
        (
            Reason::BadKey,
            Call {
                key: String::new(),
                ..good()
            },
        ),
        (
            Reason::BadKey,
            Call {
                key: "k".repeat(129),
                ..good()
            },
        ),
        (
            Reason::BadKey,
            Call {
                organisation: "o".repeat(129),
                ..good()
            },
        ),
        (
            Reason::DeadlinePast,
            Call {
                deadline: START,
                ..good()
            },
        ),
        (
            Reason::DeadlineBeyondHorizon,
            Call {
                deadline: START + ms(10_001),
                ..good()
            },
        ),
        (
            Reason::PayloadTooLarge,
            Call {
                payload: Arc::from(vec![0; (1 << 20) + 1]),
                ..good()
            },
        ),
        (
            Reason::ConfigurationBehind,
            Call {
                seen: Revision(2),
                ..good()
            },
        ),
    ];
    let mut bench = bench(2, 4, Guards::default());
    let running = bench.arrive(call("running"));
    for (reason, call) in cases {
        let caller = bench.arrive(call);
        let refusal = bench.refusal(caller).unwrap();
        assert_eq!((refusal.reason, refusal.verdict), (reason, Verdict::NotRun));
        assert!(bench.router.counters().get(Counter::RefusedNotRun(reason)) > 0);
    }
    bench.answer_all(ms(5));
    assert_eq!(
        bench.callers[&running].bytes,
        whole_answer(&SERVICES[..4], "running")
    );
}

#[test]
fn a_caller_that_is_unsure_is_never_told_not_run_by_a_node_that_cannot_know() {
    let verdict = |guards| {
        let mut bench = bench(2, 4, guards);
        let caller = bench.arrive(Call {
            earlier: Earlier::Uncertain,
            pipeline: "none".into(),
            ..call("k")
        });
        bench.refusal(caller).unwrap().verdict
    };
    assert_eq!(
        verdict(Guards::without(Guard::EarlierSendsUnknown)),
        Verdict::NotRun,
        "without the guard it is told so"
    );
    assert_eq!(verdict(Guards::default()), Verdict::Unknown);
}

/// The settled home knows: what it does not remember did not run.
#[test]
fn the_settled_home_may_say_not_run_to_a_caller_that_is_unsure() {
    let mut bench = bench(2, 4, Guards::default());
    bench.take_plan(Plan {
        serving: Serving::Stopping,
        ..plan(START, 2, 4)
    });
    let unsure = Call {
        earlier: Earlier::Uncertain,
        unrepeatable: true,
        ..call("k")
    };
    let caller = bench.arrive(unsure);
    let refusal = bench.refusal(caller).unwrap();
    assert_eq!(
        (refusal.reason, refusal.verdict),
        (Reason::Leaving, Verdict::NotRun)
    );
    assert_eq!(bench.callers[&caller].redirect.as_deref(), Some("10.0.0.2:1"));
}

#[test]
fn a_key_sent_again_with_another_deadline_or_content_is_refused() {
    let mut bench = bench(2, 4, Guards::default());
    let first = Call {
        unrepeatable: true,
        ..call("k")
    };
    bench.arrive(first.clone());
    for other in [
        Call {
            deadline: first.deadline + ms(1),
            ..first.clone()
        },
        Call {
            payload: Arc::from(b"other".as_slice()),
            ..first
        },
    ] {
        let caller = bench.arrive(other);
        assert_eq!(bench.refusal(caller).unwrap().reason, Reason::KeyReused);
    }
}

#[test]
fn unrepeatable_keys_are_refused_when_they_cannot_be_remembered() {
    let settings = RouterSettings {
        node: NodeId(1),
        max_keys: 1,
        ..RouterSettings::default()
    };
    let mut bench = Bench::new(settings, plan(START, 2, 4));
    bench.arrive(Call {
        unrepeatable: true,
        ..call("one")
    });
    let caller = bench.arrive(Call {
        unrepeatable: true,
        ..call("two")
    });
    assert_eq!(bench.refusal(caller).unwrap().reason, Reason::MemoryFull);
    bench.answer_all(ms(5));
    bench.pass(ms(2000));
    assert_eq!(
        bench.router.remembered_keys(),
        0,
        "forgotten after the deadline and the skew"
    );
}

#[test]
fn a_lease_that_is_not_held_takes_no_unrepeatable_work_and_serves_all_else() {
    let lease = |confirmed_until, settled| LeaseView {
        confirmed_until,
        eras: vec![(
            Era {
                epoch: Epoch(1),
                members: vec![NodeId(1)],
            },
            settled,
        )],
        me: NodeId(1),
    };
    let cases = [
        (lease(START, Some(Time(0))), Reason::Unconfirmed, ms(500)),
        (lease(Time(u64::MAX), None), Reason::Unconfirmed, ms(500)),
        (
            lease(Time(u64::MAX), Some(START + ms(700))),
            Reason::TakeoverWait,
            ms(700),
        ),
    ];
    for (lease, reason, come_back) in cases {
        let mut bench = bench(2, 4, Guards::default());
        bench.take_plan(Plan {
            lease,
            ..plan(START, 2, 4)
        });
        let refused = bench.arrive(Call {
            unrepeatable: true,
            ..call("k")
        });
        let refusal = bench.refusal(refused).unwrap();
        assert_eq!(
            (refusal.reason, refusal.verdict, refusal.come_back),
            (reason, Verdict::NotRun, come_back)
        );
        let served = bench.arrive(call("other"));
        bench.answer_all(ms(5));
        assert_eq!(bench.outcome(served).unwrap().verdict(), Verdict::Complete);
    }
}

// ----------------------------------------------------------------------------
// The plan

/// A control thread that hangs, or a process that slept: nothing new is sent until the plan is vouched for.
#[test]
fn nothing_is_sent_under_a_stale_plan() {
    let sent = |guards| {
        let mut bench = bench(2, 4, guards);
        bench.sleep(ms(3001));
        bench.arrive(Call {
            deadline: START + ms(9000),
            ..call("k")
        });
        bench.sent.len()
    };
    assert_eq!(
        sent(Guards::without(Guard::PlanAge)),
        1,
        "without the guard it acts on old facts"
    );
    assert_eq!(sent(Guards::default()), 0);
}

#[test]
fn a_caller_that_has_seen_a_newer_configuration_is_not_served_under_an_older_one() {
    let served = |guards| {
        let mut bench = bench(2, 4, guards);
        bench.arrive(Call {
            seen: Revision(2),
            ..call("k")
        });
        (
            bench.sent.len(),
            bench.notices.contains(&TrafficAction::NotifyBehind),
        )
    };
    assert_eq!(
        served(Guards::without(Guard::SeenRevision)),
        (1, false),
        "without the guard it is served"
    );
    assert_eq!(served(Guards::default()), (0, true));
}

/// A request ends under the configuration it began with.
#[test]
fn a_request_runs_to_its_end_under_the_revision_it_was_admitted_with() {
    let mut bench = bench(2, 4, Guards::default());
    let caller = bench.arrive(call("k"));
    let mut next = document(2);
    next.head.pipelines[0].stages.truncate(1);
    next.head.services.reverse();
    let before = Plan::clone(bench.router.plan());
    let config = Config::from_document(&next, before.config.as_deref()).unwrap();
    bench.take_plan(Plan {
        config: Some(Arc::new(config)),
        ..before
    });
    bench.answer_all(ms(5));
    assert_eq!(bench.callers[&caller].bytes, whole_answer(&SERVICES[..4], "k"));
    let caller = bench.arrive(call("l"));
    bench.answer_all(ms(5));
    assert_eq!(bench.callers[&caller].bytes, whole_answer(&SERVICES[..1], "l"));
}

// ----------------------------------------------------------------------------
// Targets

/// From the first word of a target's leaving on, it gets nothing new; here the word comes on an answer.
#[test]
fn a_target_that_says_it_is_leaving_gets_nothing_new() {
    let sent_after = |guards| {
        let mut bench = bench(2, 8, guards);
        bench.arrive(call("first"));
        let (attempt, order) = bench.sent.pop().unwrap();
        let output = output_of(&order);
        let end = AttemptEnd::Done {
            length: output.len() as u64,
            output: Arc::from(output),
        };
        let echo = Some(order.echo);
        bench.step(TrafficEvent::Ended {
            attempt,
            echo,
            end,
            report: None,
            leaving: true,
        });
        for nth in 0..12 {
            bench.arrive(call(&format!("k{nth}")));
        }
        bench
            .sent
            .iter()
            .filter(|(_, sent)| sent.target == order.target)
            .count()
    };
    assert!(
        sent_after(Guards::without(Guard::TargetLeaving)) > 0,
        "without the guard it gets new work"
    );
    assert_eq!(sent_after(Guards::default()), 0);
}

/// Guards against work for a target that leaves while its streams go on: the word comes on a piece, and the stream breaks off later or not at all.
#[test]
fn a_target_that_says_amid_a_stream_that_it_leaves_gets_nothing_new() {
    let mut bench = bench(2, 8, Guards::default());
    bench.arrive(call("first"));
    let (attempt, order) = bench.sent.pop().unwrap();
    bench.step(TrafficEvent::TargetLeaves { attempt });
    for nth in 0..12 {
        bench.arrive(call(&format!("k{nth}")));
    }
    assert!(bench.sent.iter().all(|(_, sent)| sent.target != order.target));
    assert_eq!(phase(&bench, order.target), TargetPhase::Leaving);
}

/// How long a refusal of `target` asks for rest in these tests.
const REST: Span = Span::from_secs(2);

/// Refuses the first call that goes to any target, asking for rest; returns the target.
fn refuse_one(bench: &mut Bench) -> TargetId {
    bench.arrive(call("refused"));
    let (attempt, order) = bench.sent.pop().unwrap();
    let end = AttemptEnd::Refused {
        leaving: false,
        rest: REST,
    };
    bench.end(attempt, Some(order.echo), end);
    order.target
}

/// Guards against steps and probes to a target within the rest that it has asked this node for.
#[test]
fn a_target_at_rest_gets_neither_steps_nor_probes() {
    let mut bench = bench(2, 8, Guards::default());
    let resting = refuse_one(&mut bench);
    let over = bench.now + REST;
    bench.answer_all(ms(1));
    let mut nth = 0;
    while bench.now + ms(100) < over {
        nth += 1;
        bench.arrive(call(&format!("k{nth}")));
        assert!(bench.sent.iter().all(|(_, sent)| sent.target != resting), "{nth}");
        bench.answer_all(ms(5));
        bench.pass(ms(20));
        assert!(bench.probes.is_empty(), "{nth}");
    }
    bench.pass(ms(100));
    assert_eq!(bench.probes, [resting], "its rest is over");
}

/// Guards against requests that wait in vain, or are told to come back too early, while all targets of a service rest.
#[test]
fn requests_are_refused_at_once_while_all_targets_of_a_service_rest() {
    let mut bench = bench(1, 8, Guards::default());
    refuse_one(&mut bench);
    let caller = bench.arrive(call("next"));
    assert!(bench.sent.is_empty());
    let Some(Outcome::Refused(refusal)) = bench.callers[&caller].outcomes.first() else {
        panic!("it is not refused");
    };
    assert_eq!(refusal.reason, Reason::TargetsRest);
    assert_eq!(refusal.verdict, Verdict::NotRun);
    assert!(refusal.come_back >= REST, "{:?}", refusal.come_back);
}

/// Guards against a lane that does not know of a rest which another lane of the same node was asked for.
#[test]
fn a_rest_that_the_plan_tells_holds_too() {
    let mut bench = bench(2, 8, Guards::default());
    let plan = Plan::clone(bench.router.plan());
    let mut targets = Vec::clone(&plan.targets);
    targets[0].rest_until = bench.now + REST;
    let resting = targets[0].id;
    let plan = Plan {
        targets: Arc::new(targets),
        ..plan
    };
    bench.take_plan(plan);
    for nth in 0..12 {
        bench.arrive(call(&format!("k{nth}")));
    }
    assert!(bench.sent.iter().all(|(_, sent)| sent.target != resting));
}

#[test]
fn what_a_leaving_target_works_on_is_finished_and_a_newer_run_is_used_again() {
    let mut bench = bench(1, 8, Guards::default());
    let caller = bench.arrive(call("k"));
    let leaving = |plan: &Plan, leaving: bool, run: u64| {
        let mut targets = Vec::clone(&plan.targets);
        targets[0].leaving = leaving;
        targets[0].incarnation = Incarnation(run);
        Plan {
            targets: Arc::new(targets),
            ..plan.clone()
        }
    };
    let plan = Plan::clone(bench.router.plan());
    bench.take_plan(leaving(&plan, true, 1));
    bench.answer_all(ms(5));
    assert_eq!(bench.outcome(caller).unwrap().verdict(), Verdict::Complete);
    let refused = bench.arrive(call("l"));
    assert_eq!(bench.refusal(refused).unwrap().reason, Reason::NoTarget);
    bench.take_plan(leaving(&plan, false, 2));
    bench.arrive(call("m"));
    assert_eq!(bench.sent.len(), 1, "the newer run is used");
}

/// Breaks every send to one target until it is in quarantine.
fn fail_target(bench: &mut Bench, id: TargetId) {
    for nth in 0..400 {
        if phase(bench, id) == TargetPhase::Quarantined {
            break;
        }
        bench.arrive(Call {
            pipeline: "single".into(),
            ..call(&format!("f{}{nth}", id.0))
        });
        for (attempt, order) in std::mem::take(&mut bench.sent) {
            if order.target == id {
                bench.end(attempt, None, AttemptEnd::Unreachable);
            } else {
                bench.answer(attempt, &order);
            }
        }
    }
    bench.answer_all(ms(1));
}

fn phase(bench: &Bench, id: TargetId) -> TargetPhase {
    bench
        .router
        .targets()
        .find(|target| target.plan.id == id)
        .unwrap()
        .phase
}

#[test]
fn a_target_that_fails_is_put_into_quarantine_probed_and_used_again() {
    let mut bench = bench(4, 8, Guards::default());
    fail_target(&mut bench, TargetId(0));
    assert_eq!(phase(&bench, TargetId(0)), TargetPhase::Quarantined);
    let probed = |bench: &mut Bench, ok| {
        bench.probes.clear();
        bench.pass(ms(20_000));
        assert_eq!(
            bench.probes,
            [TargetId(0)],
            "one probe, and no other before it is answered"
        );
        bench.step(TrafficEvent::Probed {
            target: TargetId(0),
            ok,
            report: None,
            leaving: false,
        });
    };
    probed(&mut bench, false);
    assert_eq!(phase(&bench, TargetId(0)), TargetPhase::Quarantined);
    probed(&mut bench, true);
    assert_eq!(phase(&bench, TargetId(0)), TargetPhase::Trial);
    // On trial it gets one call at a time until one is answered.
    for nth in 0..30 {
        let deadline = bench.now + ms(900);
        bench.arrive(Call {
            pipeline: "single".into(),
            deadline,
            ..call(&format!("t{nth}"))
        });
    }
    let trial = bench
        .sent
        .iter()
        .filter(|(_, order)| order.target == TargetId(0))
        .count();
    assert_eq!(trial, 1);
    bench.answer_all(ms(1));
    assert_eq!(phase(&bench, TargetId(0)), TargetPhase::Live);
}

/// When most targets look down, what this node sees is suspect: it goes on trying.
#[test]
fn no_more_than_half_of_the_targets_are_put_into_quarantine() {
    let quarantined = |guards| {
        let mut bench = bench(4, 8, guards);
        for id in 0..4 {
            fail_target(&mut bench, TargetId(id));
        }
        (0..4)
            .filter(|id| phase(&bench, TargetId(*id)) == TargetPhase::Quarantined)
            .count()
    };
    assert!(
        quarantined(Guards::without(Guard::QuarantineCap)) > 2,
        "without the guard nearly all are"
    );
    assert_eq!(quarantined(Guards::default()), 2);
}

/// Probes do not wait for each other: several hung targets do not delay the word of one that is well again.
#[test]
fn probes_of_hung_targets_do_not_hold_up_others() {
    let mut bench = bench(6, 8, Guards::default());
    for id in 0..3 {
        fail_target(&mut bench, TargetId(id));
    }

    bench.probes.clear();
    bench.pass(ms(400));
    let mut probes = bench.probes.clone();
    probes.sort_unstable();
    assert_eq!(
        probes,
        [TargetId(0), TargetId(1), TargetId(2)],
        "all three are under way at once"
    );
    bench.step(TrafficEvent::Probed {
        target: TargetId(2),
        ok: true,
        report: None,
        leaving: false,
    });
    assert_eq!(phase(&bench, TargetId(2)), TargetPhase::Trial);
}

/// The limit of a fast target does not collapse because calls at once take a little longer than one alone;
/// found when one entry carried 642 requests/s before a target that had 936 of its 1000 slots free.
#[test]
fn a_fast_target_with_free_slots_keeps_its_limit() {
    let mut limit = ConcurrencyLimit::new(64.0, 1000.0);
    let report = LoadReport {
        running: 64,
        queued: 0,
        slots: 1000,
    };
    for nth in 0..1000 {
        limit.record_answer(START + ms(nth), Span(1300), false, Some(report));
        limit.record_answer(START + ms(nth), Span(6000), false, Some(report));
        limit.record_answer(START + ms(nth), Span(6000), false, None);
    }
    assert!(limit.value >= 64.0, "{}", limit.value);
    // One whose calls wait, or that has become far slower and says nothing, is spared.
    for (report, took) in [(Some(LoadReport { queued: 5, ..report }), 1300), (None, 90_000)] {
        let mut limit = limit.clone();
        for nth in 1000..3000 {
            limit.record_answer(START + ms(nth), Span(took), false, report);
        }
        assert!(limit.value < 32.0, "{}", limit.value);
    }
}

// ----------------------------------------------------------------------------
// Retries

/// With a whole stage failing, targets see at most 1.1 sends per request.
#[test]
fn a_failing_stage_is_not_flooded_with_retries() {
    let sends_per_request = |guards| {
        let mut bench = bench(4, 64, guards);
        let requests = 1000_u32;
        for nth in 0..requests {
            bench.pass(ms(2));
            let deadline = bench.now + ms(1000);
            bench.arrive(Call {
                pipeline: "single".into(),
                deadline,
                ..call(&format!("k{nth}"))
            });
            while let Some((attempt, _)) = bench.sent.pop() {
                bench.end(attempt, None, AttemptEnd::BrokenOff);
            }
            bench.probes.clear();
        }
        let sends = bench
            .router
            .counters()
            .sum(|counter| matches!(counter, Counter::Dispatched(_)));
        sends as f64 / f64::from(requests)
    };
    assert!(
        sends_per_request(Guards::without(Guard::RetryBudget)) > 2.0,
        "without the guard the load doubles"
    );
    let ratio = sends_per_request(Guards::default());
    assert!(ratio <= 1.1, "{ratio} sends per request");
}

#[test]
fn a_retry_goes_to_another_target_and_only_within_the_deadline() {
    let mut bench = bench(2, 4, Guards::default());
    let caller = bench.arrive(Call {
        pipeline: "single".into(),
        deadline: START + ms(30),
        ..call("k")
    });
    let (attempt, first) = bench.sent.pop().unwrap();
    bench.end(attempt, None, AttemptEnd::Unreachable);
    let (attempt, second) = bench.sent.pop().unwrap();
    assert_ne!(first.target, second.target);
    bench.pass(ms(25));
    bench.end(attempt, None, AttemptEnd::Unreachable);
    assert!(bench.sent.is_empty(), "no time is left for a step of 10 ms");
    assert_eq!(bench.refusal(caller).unwrap().verdict, Verdict::NotRun);
    assert_eq!(
        bench.callers[&caller].at,
        START + ms(25),
        "the answer comes at once, not at the deadline"
    );
}

/// A pause of a fast service is no reason to give it up; found when answers that took no time made every
/// later one look overdue, and targets were put into quarantine for it.
#[test]
fn a_short_pause_of_a_fast_service_is_waited_out() {
    let mut bench = bench(2, 8, Guards::default());
    for nth in 0..100 {
        let deadline = bench.now + ms(900);
        bench.arrive(Call {
            pipeline: "single".into(),
            deadline,
            ..call(&format!("k{nth}"))
        });
        bench.answer_all(Span(200));
    }
    let deadline = bench.now + ms(900);
    bench.arrive(Call {
        pipeline: "single".into(),
        deadline,
        ..call("paused")
    });
    bench.pass(ms(49));
    assert!(bench.cancelled.is_empty());
    bench.pass(ms(1));
    assert_eq!(bench.cancelled.len(), 1, "but not for ever");
}

/// A stage that has become slower as a whole is noticed from what is given up, not only from answers; found
/// by the traces of a saturated stage, where every step was given up again and again.
#[test]
fn a_stage_that_becomes_slower_is_waited_for() {
    let mut bench = bench(2, 8, Guards::default());
    let mut complete = 0;
    for nth in 0..40 {
        let deadline = bench.now + ms(900);
        let caller = bench.arrive(Call {
            pipeline: "single".into(),
            deadline,
            ..call(&format!("k{nth}"))
        });
        // Ten times what is expected; a send that is given up meanwhile is never answered.
        while bench.outcome(caller).is_none() {
            bench.pass(ms(100));
            for (attempt, order) in std::mem::take(&mut bench.sent) {
                bench.answer(attempt, &order);
            }
        }
        complete += u32::from(bench.outcome(caller).unwrap().verdict() == Verdict::Complete);
    }
    assert!(complete >= 35, "{complete} of 40");
}

// ----------------------------------------------------------------------------
// Load

/// A small organisation beside one that floods the node loses nothing.
#[test]
fn a_flood_of_one_organisation_costs_a_small_one_nothing() {
    let mut bench = bench(2, 2, Guards::default());
    let (mut small, mut nth) = (Vec::new(), 0);
    for round in 0..200 {
        bench.pass(ms(5));
        let deadline = bench.now + ms(400);
        for _ in 0..10 {
            nth += 1;
            bench.arrive(summary(&format!("large{nth}"), "large", deadline));
        }
        if round % 8 == 0 {
            small.push(bench.arrive(summary(&format!("small{round}"), "small", deadline)));
        }
        let now = bench.now;
        let due: Vec<_> = bench.sent.drain(..).collect();
        let (old, new) = due
            .into_iter()
            .partition::<Vec<_>, _>(|(_, order)| order.deadline <= now + ms(390));
        bench.sent = new;
        for (attempt, order) in old {
            bench.answer(attempt, &order);
        }
    }
    bench.answer_all(ms(5));
    let complete = small
        .iter()
        .filter(|caller| bench.outcome(**caller).unwrap().verdict() == Verdict::Complete);
    assert_eq!(complete.count(), small.len());
}

/// What cannot be done in time is refused at once, as not run, with a time to come back; and who comes back
/// then is served.
#[test]
fn a_refused_caller_that_comes_back_when_told_is_served() {
    let mut bench = bench(1, 1, Guards::default());
    for nth in 0..60 {
        bench.arrive(Call {
            pipeline: "single".into(),
            deadline: START + ms(10_000),
            ..call(&format!("k{nth}"))
        });
    }
    let refused = bench.arrive(Call {
        pipeline: "single".into(),
        deadline: START + ms(100),
        ..call("late")
    });
    let refusal = bench.refusal(refused).unwrap().clone();
    assert_eq!(
        (refusal.reason, refusal.verdict),
        (Reason::DeadlineUnreachable, Verdict::NotRun)
    );
    assert_eq!(bench.callers[&refused].at, START, "refused at once");
    assert!(refusal.come_back > Span::ZERO);
    let back = bench.now + refusal.come_back;
    while bench.now < back {
        bench.pass(ms(10));
        if let Some((attempt, order)) = bench.sent.pop() {
            bench.answer(attempt, &order);
        }
    }
    let deadline = bench.now + ms(100);
    let caller = bench.arrive(Call {
        pipeline: "single".into(),
        deadline,
        ..call("late")
    });
    bench.answer_all(ms(10));
    assert_eq!(bench.outcome(caller).unwrap().verdict(), Verdict::Complete);
}

/// A request that is given up gets its final answer at once, and its step is cancelled at the target.
#[test]
fn what_is_given_up_is_cancelled_and_answered_at_once() {
    let mut bench = bench(1, 4, Guards::default());
    let caller = bench.arrive(Call {
        unrepeatable: true,
        ..call("k")
    });
    bench.pass(ms(1000));
    assert_eq!(bench.cancelled.len(), 1);
    assert_eq!(bench.callers[&caller].at, START + ms(1000));
    let refusal = bench.refusal(caller).unwrap();
    assert_eq!(
        (refusal.reason, refusal.verdict),
        (Reason::DeadlineMissed, Verdict::Unknown)
    );
}

/// State is kept for organisations that have work here, not for all.
#[test]
fn idle_organisations_leave_nothing_behind() {
    let mut bench = bench(2, 4, Guards::default());
    bench.arrive(call("a"));
    bench.arrive(summary("b", "large", START + ms(1000)));
    assert!(bench.router.active_organisations() > 0);
    bench.answer_all(ms(5));
    assert_eq!(
        (bench.router.active_organisations(), bench.router.live_requests()),
        (0, 0)
    );
}

/// The same events give the same actions: what was recorded can be replayed.
#[test]
fn a_recorded_run_replays_bit_for_bit() {
    let run = || {
        let mut bench = bench(3, 2, Guards::default());
        for nth in 0..50 {
            bench.pass(ms(3));
            let deadline = bench.now + ms(500);
            bench.arrive(summary(
                &format!("k{nth}"),
                if nth % 3 == 0 { "small" } else { "large" },
                deadline,
            ));
            if nth % 7 == 0
                && let Some((attempt, _)) = bench.sent.pop()
            {
                bench.end(attempt, None, AttemptEnd::BrokenOff);
            }
        }
        bench.answer_all(ms(7));
        format!("{:?}{:?}", bench.callers, bench.router.counters())
    };
    assert_eq!(run(), run());
}
