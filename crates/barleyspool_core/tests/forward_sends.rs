//! What may follow a send, and how many repeats there are.

use barleyspool_core::{Fate, NextStep, RetryWindow, SendEnd, SendHistory, Span, Time, next_step};
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

/// Every sequence of ends, for every kind of call: at most one run of what may run once, a promise only when
/// nothing ran, never more sends than allowed, and always an end.
#[test]
fn every_sequence_of_ends_keeps_the_promises() {
    let mut cells = 0;
    for repeatable in [false, true] {
        for max_sends in 1..=3 {
            for code in 0..ENDS.len().pow(4) {
                let row: Vec<SendEnd> = (0..4)
                    .map(|place| ENDS[code / ENDS.len().pow(place) % ENDS.len()])
                    .collect();
                check_row(repeatable, max_sends, &row);
                cells += 1;
            }
        }
    }
    assert_eq!(cells, 2 * 3 * ENDS.len().pow(4));
}

fn check_row(repeatable: bool, max_sends: u32, row: &[SendEnd]) {
    let mut history = SendHistory::default();
    let mut may_have_run = 0;
    for end in row {
        history.record_end(*end);
        may_have_run += u32::from(end.fate() != Fate::NotRun);
        assert!(history.sends <= max_sends, "more sends than allowed: {row:?}");
        match next_step(Time(0), Time(1), repeatable, max_sends, history, *end) {
            NextStep::Retry => assert!(
                repeatable || may_have_run == 0,
                "sent again after it may have run: {row:?}"
            ),
            NextStep::RefuseNotRun => {
                assert_eq!(may_have_run, 0, "promised what is not so: {row:?}");
                return;
            }
            NextStep::FailUnknown => {
                assert!(
                    may_have_run > 0,
                    "a call that did not run was called unknown: {row:?}"
                );
                return;
            }
            NextStep::Deliver => {
                assert_eq!(end.fate(), Fate::Ran);
                return;
            }
        }
    }
}

#[test]
fn nothing_is_sent_again_after_the_deadline() {
    for end in ENDS {
        let mut history = SendHistory::default();
        history.record_end(*end);
        let step = next_step(Time(5), Time(5), true, 3, history, *end);
        assert_ne!(step, NextStep::Retry, "{end:?}");
    }
}

quickcheck! {
    /// However requests and failures are spread over nodes, all nodes together stay within the fleet's budget
    /// in every window.
    fn all_nodes_together_keep_the_budget(events: Vec<(u8, u16, bool)>) -> bool {
        const NODES: usize = 5;
        let (ratio, fixed, window) = (0.2, 10.0, Span::from_secs(10));
        let mut nodes = vec![RetryWindow::default(); NODES];
        let mut now = Time(0);
        let (mut requests, mut repeats): (Vec<Time>, Vec<Time>) = (Vec::new(), Vec::new());
        for (node, wait, fails) in events {
            now = now + Span::from_millis(u64::from(wait) % 500);
            let node = &mut nodes[usize::from(node) % NODES];
            node.record_request(now, window);
            requests.push(now);
            if fails && node.try_spend(now, window, ratio, fixed / NODES as f64) {
                repeats.push(now);
            }
            let within = |times: &[Time]| times.iter().filter(|at| now.since(**at) <= window).count() as f64;
            if within(&repeats) > ratio * within(&requests) + fixed {
                return false;
            }
        }
        true
    }
}
