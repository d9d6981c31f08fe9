//! A planned stop ends when no connection of a caller is open any more, and at its maximum duration in any
//! case.

#![allow(clippy::unwrap_used, clippy::panic, reason = "a test stops where it fails")]

use barleyspool_core::{PlannedStop, Span, StopPhase, Time};
use quickcheck::quickcheck;

const ACCEPT: Span = Span::from_millis(2500);
const END: Span = Span::from_millis(7200);

fn at(ms: u64) -> Time {
    Time::from_millis(1_000_000 + ms)
}

fn stop() -> PlannedStop {
    PlannedStop::new(at(0), ACCEPT, END)
}

#[test]
fn a_stop_goes_through_its_phases_and_ends_when_no_connection_is_open() {
    let mut stop = stop();
    assert_eq!(stop.phase(at(0), 3), StopPhase::Leaving);
    assert_eq!(stop.phase(at(2499), 0), StopPhase::Leaving);
    assert_eq!(stop.phase(at(2500), 3), StopPhase::Closing);
    stop.listener_closed(at(2510));
    assert_eq!(
        stop.phase(at(2709), 0),
        StopPhase::Closing,
        "a new call may be on the way"
    );
    assert_eq!(stop.phase(at(2710), 1), StopPhase::Draining);
    assert_eq!(stop.phase(at(2710), 0), StopPhase::Finished);
}

/// A traffic thread that was not scheduled has not accepted the waiting connections: they exist, but none
/// counts as open.
#[test]
fn a_stop_does_not_end_before_the_listener_is_closed() {
    assert_eq!(stop().phase(at(6000), 0), StopPhase::Closing);
}

/// Even after a thread was not scheduled for most of the stop, connections that were just accepted get time
/// to send their calls.
#[test]
fn connections_get_time_for_a_call_however_late_the_listener_closes() {
    let mut stop = stop();
    stop.listener_closed(at(4000));
    assert_eq!(stop.phase(at(4100), 40), StopPhase::Closing);
    stop.listener_closed(at(4150));
    assert_eq!(
        stop.phase(at(4200), 40),
        StopPhase::Draining,
        "only the first notice counts"
    );
}

#[test]
fn unfinished_calls_are_aborted_before_the_stop_ends() {
    let mut stop = stop();
    stop.listener_closed(at(2500));
    assert_eq!(stop.phase(at(6899), 1), StopPhase::Draining);
    assert_eq!(stop.phase(at(6900), 1), StopPhase::Aborting);
    assert_eq!(stop.abort_at(), at(6900));
    assert_eq!(stop.phase(at(7200), 1), StopPhase::Finished);
}

quickcheck! {
    fn phases_only_advance_and_open_connections_are_not_dropped_early(closed: u16, steps: Vec<u16>, open: u8) -> bool {
        let mut stop = stop();
        let closed = u64::from(closed % 9000);
        let (mut now, mut last) = (0, StopPhase::Leaving);
        steps.into_iter().all(|step| {
            now += u64::from(step % 700);
            if now >= closed.max(2500) {
                stop.listener_closed(at(now));
            }
            let phase = stop.phase(at(now), usize::from(open));
            let forward = phase >= last;
            last = phase;
            let early = phase == StopPhase::Finished && open > 0 && now < 7200;
            forward && !early && (now < 7200 || phase == StopPhase::Finished)
        })
    }
}
