//! The correction of forecasts, which decide whether a call is admitted.

use barleyspool_core::{ForecastCorrection, Span, Time};

const ROUTE: &str = "summary";
const FORECAST: Span = Span::from_millis(1_000);

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Records 40 calls that each take `ms`, one every 100 ms; returns the time of the last one.
fn record_calls(correction: &mut ForecastCorrection, from: Time, ms: u64) -> Time {
    let mut now = from;
    for _ in 0..40 {
        now = now + Span::from_millis(100);
        correction.record(now, ROUTE, FORECAST, Span::from_millis(ms));
    }
    now
}

/// Guards against admitting calls that miss their deadline: while a pool lacked capacity, forecasts were half
/// of the time that calls took.
#[test]
fn forecasts_are_corrected_by_the_actual_times_of_a_route() {
    let mut correction = ForecastCorrection::default();
    assert_eq!(
        correction.corrected(at(0), ROUTE, FORECAST),
        FORECAST,
        "no samples yet"
    );
    let now = record_calls(&mut correction, at(0), 2_000);
    let corrected = correction.corrected(now, ROUTE, FORECAST);
    assert!(corrected > Span::from_millis(1_900), "{corrected:?}");
    assert_eq!(correction.corrected(now, "other", FORECAST), FORECAST);
    let now = record_calls(&mut correction, now, 500);
    assert_eq!(
        correction.corrected(now, ROUTE, FORECAST),
        FORECAST,
        "a correction never lowers the forecast"
    );
    correction.retain(|route| route != ROUTE);
    assert_eq!(correction.corrected(now, ROUTE, FORECAST), FORECAST);
}

/// Guards against a node that refuses all calls of a route for ever: without calls it receives no samples
/// that could correct its forecast again (incident 13).
#[test]
fn a_correction_without_new_samples_decays() {
    let mut correction = ForecastCorrection::default();
    let now = record_calls(&mut correction, at(0), 3_000);
    let corrected = |after: u64| correction.corrected(now + Span::from_secs(after), ROUTE, FORECAST);
    assert_eq!(corrected(1), corrected(0), "it is kept for a while");
    assert!(corrected(4) < Span::from_millis(1_600), "{:?}", corrected(4));
    assert!(corrected(10) < Span::from_millis(1_020), "{:?}", corrected(10));
}

#[test]
fn one_slow_call_changes_a_forecast_little_and_a_call_without_stages_not_at_all() {
    let forecast = Span::from_millis(100);
    let mut correction = ForecastCorrection::default();
    correction.record(at(0), ROUTE, Span::ZERO, Span::from_secs(60));
    assert_eq!(correction.corrected(at(0), ROUTE, forecast), forecast);
    correction.record(at(0), ROUTE, forecast, Span::from_secs(60));
    assert!(correction.corrected(at(0), ROUTE, forecast) <= Span::from_millis(130));
}
