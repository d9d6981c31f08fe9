//! What decides whether a call is taken.

use barleyspool_core::{Span, StagePace};

const ROUTE: &str = "summary";

/// Forecasts were a half of what calls took while a pool was short of room, and calls were taken that came late.
#[test]
fn forecasts_follow_what_the_calls_of_a_route_took() {
    let forecast = Span::from_millis(1_000);
    let mut pace = StagePace::default();
    assert_eq!(pace.corrected(ROUTE, forecast), forecast, "nothing is known yet");
    for _ in 0..40 {
        pace.done(ROUTE, forecast, Span::from_millis(2_000));
    }
    let corrected = pace.corrected(ROUTE, forecast);
    assert!(corrected > Span::from_millis(1_900), "{corrected:?}");
    assert_eq!(pace.corrected("other", forecast), forecast);
    for _ in 0..40 {
        pace.done(ROUTE, forecast, Span::from_millis(500));
    }
    assert_eq!(
        pace.corrected(ROUTE, forecast),
        forecast,
        "never below the forecast"
    );
    pace.retain(|route| route != ROUTE);
    assert_eq!(pace.corrected(ROUTE, forecast), forecast);
}

#[test]
fn one_call_that_was_held_up_says_little_and_one_without_stages_nothing() {
    let forecast = Span::from_millis(100);
    let mut pace = StagePace::default();
    pace.done(ROUTE, Span::ZERO, Span::from_secs(60));
    assert_eq!(pace.corrected(ROUTE, forecast), forecast);
    pace.done(ROUTE, forecast, Span::from_secs(60));
    assert!(pace.corrected(ROUTE, forecast) <= Span::from_millis(130));
}
