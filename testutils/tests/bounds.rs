//! Checks the exact figures against their bounds.

use sardinepick_testutils::measure::figure::{Figure, check, read_bounds};
use sardinepick_testutils::measure::{decisions, scale};

const BOUNDS: &str = include_str!("../../bench/bounds.ini");

#[test]
fn decisions_within_bounds() {
    let bounds = read_bounds(BOUNDS, "decisions").expect("the bounds can be read");
    let violations = check(&decisions(false), &bounds);
    assert!(violations.is_empty(), "{violations:#?}");
}

#[test]
fn scale_within_bounds() {
    let bounds = read_bounds(BOUNDS, "scale").expect("the bounds can be read");
    let violations = check(&scale::measure(), &bounds);
    assert!(violations.is_empty(), "{violations:#?}");
}

#[test]
fn check_out_of_bound_and_unmeasured() {
    let bounds = read_bounds("[some]\na = 1..2\nb = 0..\n", "some").expect("right bounds");
    let violations = check(&[Figure::new("a", 3.0)], &bounds);
    let messages: Vec<String> = violations.iter().map(ToString::to_string).collect();
    assert_eq!(messages, ["a = 3.0000 is not within 1..2", "b has a bound and was not measured"]);
}
