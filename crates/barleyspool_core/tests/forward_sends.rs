//! Retries of forwarded calls: what may follow each send, and the retry budget.

use barleyspool_core::{
    AnswerId, ExecutionStatus, NextStep, RetryWindow, SendEnd, SendHistory, Span, Time, next_step,
};
use quickcheck::quickcheck;

const ENDS: &[SendEnd] = &[
    SendEnd::Answered { success: true },
    SendEnd::Answered { success: false },
    SendEnd::Refused {
        misdirected: false,
        inputs_gone: false,
    },
    SendEnd::Refused {
        misdirected: true,
        inputs_gone: false,
    },
    SendEnd::Unreachable,
    SendEnd::BrokenOff,
    SendEnd::TimedOut,
];

/// For every sequence of four outcomes and every kind of call: a call that is not repeatable runs at most
/// once, `RefuseNotRun` is returned only if nothing ran, there are never more sends than allowed, and the
/// call ends.
#[test]
fn every_sequence_of_outcomes_keeps_the_retry_guarantees() {
    let mut sequences = 0;
    for repeatable in [false, true] {
        for max_sends in 1..=3 {
            for number in 0..ENDS.len().pow(4) {
                let sequence: Vec<SendEnd> = (0..4)
                    .map(|position| ENDS[number / ENDS.len().pow(position) % ENDS.len()])
                    .collect();
                check_sequence(repeatable, max_sends, &sequence);
                sequences += 1;
            }
        }
    }
    assert_eq!(sequences, 2 * 3 * ENDS.len().pow(4));
}

fn check_sequence(repeatable: bool, max_sends: u32, sequence: &[SendEnd]) {
    let mut history = SendHistory::default();
    let mut may_have_run = 0;
    for end in sequence {
        history.record_end(*end);
        may_have_run += u32::from(end.fate() != ExecutionStatus::NotRun);
        assert!(
            history.sends <= max_sends,
            "more sends than allowed: {sequence:?}"
        );
        match next_step(Time(0), Time(1), repeatable, max_sends, history, *end) {
            NextStep::Retry => assert!(
                repeatable || may_have_run == 0,
                "sent again after it may have run: {sequence:?}"
            ),
            NextStep::RefuseNotRun => {
                assert_eq!(
                    may_have_run, 0,
                    "reported as not run although it may have run: {sequence:?}"
                );
                return;
            }
            NextStep::FailUnknown => {
                assert!(
                    may_have_run > 0,
                    "reported as unknown although it did not run: {sequence:?}"
                );
                return;
            }
            NextStep::Deliver => {
                assert_eq!(end.fate(), ExecutionStatus::Ran);
                return;
            }
        }
    }
}

#[test]
fn no_retry_after_the_deadline() {
    for end in ENDS {
        let mut history = SendHistory::default();
        history.record_end(*end);
        let step = next_step(Time(5), Time(5), true, 3, history, *end);
        assert_ne!(step, NextStep::Retry, "{end:?}");
    }
}

quickcheck! {
    /// However requests and failures are spread over the nodes, all nodes together stay within the retry
    /// budget of the fleet in every window.
    fn all_nodes_together_keep_the_retry_budget(events: Vec<(u8, u16, bool)>) -> bool {
        const NODES: usize = 5;
        let (ratio, fixed, window) = (0.2, 10.0, Span::from_secs(10));
        let mut nodes = vec![RetryWindow::default(); NODES];
        let mut now = Time(0);
        let (mut requests, mut retries): (Vec<Time>, Vec<Time>) = (Vec::new(), Vec::new());
        for (node, wait, fails) in events {
            now = now + Span::from_millis(u64::from(wait) % 500);
            let node = &mut nodes[usize::from(node) % NODES];
            node.record_request(now, window);
            requests.push(now);
            if fails && node.try_spend(now, window, ratio, fixed / NODES as f64) {
                retries.push(now);
            }
            let within = |times: &[Time]| times.iter().filter(|at| now.since(**at) <= window).count() as f64;
            if within(&retries) > ratio * within(&requests) + fixed {
                return false;
            }
        }
        true
    }
}

// Guards against a refusal of another request that is taken for one of the call that was sent.
#[test]
fn a_refusal_proves_something_of_the_call_that_it_names_alone() {
    for reused in [false, true] {
        assert!(AnswerId::of(Some("a"), "a").proves_refusal(reused));
        assert!(!AnswerId::of(Some("b"), "a").proves_refusal(reused));
        assert_eq!(AnswerId::of(None, "a").proves_refusal(reused), !reused);
    }
}
