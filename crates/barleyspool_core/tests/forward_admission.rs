//! What decides whether a call is taken.

use barleyspool_core::{ForecastCorrection, Span, Time};

const ROUTE: &str = "summary";
const FORECAST: Span = Span::from_millis(1_000);

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Calls that all take `ms`, one every 100 ms; returns when the last one is done.
fn calls_take(correction: &mut ForecastCorrection, from: Time, ms: u64) -> Time {
    let mut now = from;
    for _ in 0..40 {
        now = now + Span::from_millis(100);
        correction.record(now, ROUTE, FORECAST, Span::from_millis(ms));
    }
    now
}

/// Forecasts were a half of what calls took while a pool was short of room, and calls were taken that came late.
#[test]
fn forecasts_follow_what_the_calls_of_a_route_took() {
    let mut correction = ForecastCorrection::default();
    assert_eq!(
        correction.corrected(at(0), ROUTE, FORECAST),
        FORECAST,
        "nothing is known yet"
    );
    let now = calls_take(&mut correction, at(0), 2_000);
    let corrected = correction.corrected(now, ROUTE, FORECAST);
    assert!(corrected > Span::from_millis(1_900), "{corrected:?}");
    assert_eq!(correction.corrected(now, "other", FORECAST), FORECAST);
    let now = calls_take(&mut correction, now, 500);
    assert_eq!(
        correction.corrected(now, ROUTE, FORECAST),
        FORECAST,
        "never below the forecast"
    );
    correction.retain(|route| route != ROUTE);
    assert_eq!(correction.corrected(now, ROUTE, FORECAST), FORECAST);
}

/// A node that refused every call of a route saw none that could have corrected its forecast (incident 13).
#[test]
fn a_correction_that_nothing_confirms_fades() {
    let mut correction = ForecastCorrection::default();
    let now = calls_take(&mut correction, at(0), 3_000);
    let corrected = |after: u64| correction.corrected(now + Span::from_secs(after), ROUTE, FORECAST);
    assert_eq!(corrected(1), corrected(0), "it stands for a while");
    assert!(corrected(4) < Span::from_millis(1_600), "{:?}", corrected(4));
    assert!(corrected(10) < Span::from_millis(1_020), "{:?}", corrected(10));
}

#[test]
fn one_call_that_was_held_up_says_little_and_one_without_stages_nothing() {
    let forecast = Span::from_millis(100);
    let mut correction = ForecastCorrection::default();
    correction.record(at(0), ROUTE, Span::ZERO, Span::from_secs(60));
    assert_eq!(correction.corrected(at(0), ROUTE, forecast), forecast);
    correction.record(at(0), ROUTE, forecast, Span::from_secs(60));
    assert!(correction.corrected(at(0), ROUTE, forecast) <= Span::from_millis(130));
}
