//! The bounds of the exact figures, held in every test run.

use sardinepick_testutils::measure::figure::{Figure, check, read_bounds};
use sardinepick_testutils::measure::{decisions, scale};

const BOUNDS: &str = include_str!("../../bench/bounds.ini");

#[test]
fn decisions_within_bounds() {
    let bounds = read_bounds(BOUNDS, "decisions").expect("the bounds can be read");
    let broken = check(&decisions(false), &bounds);
    assert!(broken.is_empty(), "{broken:#?}");
}

#[test]
fn scale_within_bounds() {
    let bounds = read_bounds(BOUNDS, "scale").expect("the bounds can be read");
    let broken = check(&scale::measure(), &bounds);
    assert!(broken.is_empty(), "{broken:#?}");
}

#[test]
fn check_out_of_bound_and_unmeasured() {
    let bounds = read_bounds("[some]\na = 1..2\nb = 0..\n", "some").expect("right bounds");
    let broken = check(&[Figure::new("a", 3.0)], &bounds);
    let told: Vec<String> = broken.iter().map(ToString::to_string).collect();
    assert_eq!(told, ["a = 3.0000 is not within 1..2", "b has a bound and was not measured"]);
}
