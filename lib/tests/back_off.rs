//! Tests of the back-off from a runner that has rejected a request with a retry delay.

use std::time::{Duration, Instant};

use sardinepick_lib::decimal::DecimalError;
use sardinepick_lib::fleet::back_off::{BackOff, MAX_BACK_OFF, parse};

const S: Duration = Duration::from_secs(1);

#[test]
fn parse_seconds_with_fractions() {
    assert_eq!(parse("3"), Ok(3 * S));
    assert_eq!(parse("0.25"), Ok(S / 4));
    assert_eq!(parse("0"), Ok(Duration::ZERO));
}

/// Guards against losing a runner for hours by one answer.
#[test]
fn parse_long_bounded() {
    assert_eq!(parse("99999999999999999999"), Ok(MAX_BACK_OFF));
    assert_eq!(parse(&"9".repeat(3_000)), Err(DecimalError::TooLong(3_000)));
    for text in ["", "-1", "NaN", "inf", "1e9", "Wed, 21 Oct 2026"] {
        assert!(parse(text).is_err(), "{text}");
    }
}

/// Guards against an answer with an earlier end that arrives after one with a later end.
#[test]
fn note_two_ends_later_holds() {
    let (mut back_off, now) = (BackOff::default(), Instant::now());
    assert!(back_off.is_over(now));
    assert!(back_off.note(3 * S, now));
    assert!(!back_off.note(S, now + S));
    assert_eq!(back_off.ends_in(now + S), 2 * S);
    assert!(!back_off.is_over(now + 2 * S) && back_off.is_over(now + 3 * S));
    assert!(back_off.note(S, now + 4 * S), "a new back-off starts");
}
