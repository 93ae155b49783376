//! The check for runs of one request beside each other.

use std::time::Duration;

use sardinepick_testutils::fleet::overlap::Overlap;
use sardinepick_testutils::fleet::spoiler::{Call, Spoil};
use tokio::time::Instant;

/// The overlaps of runs of one request, in milliseconds. Each run is given by its beginning and end;
/// one without an end still goes on after five seconds.
fn overlaps(runs: &[(u64, Option<u64>)]) -> Vec<u128> {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let call = |(began, ended): &(u64, Option<u64>)| Call {
        id: "r1".to_owned(),
        is_prefill: false,
        spoil: Spoil::None,
        began: at(*began),
        ended: ended.map(at),
    };
    let found = Overlap::find(runs.iter().map(call), at(5_000));
    found.iter().map(|overlap| overlap.duration.as_millis()).collect()
}

/// Guards against a check that misses a run that ends late beside a later one that goes on.
#[test]
fn overlap_earlier_run_ended_late_found() {
    assert_eq!(overlaps(&[(0, Some(1_500)), (1_000, Some(3_000))]), [500]);
    assert_eq!(overlaps(&[(0, Some(1_400)), (1_000, Some(3_000))]), []);
}

/// Guards against a check that misses a run that never ends, or a later one that ends first.
#[test]
fn overlap_earlier_run_lives_on_found() {
    assert_eq!(overlaps(&[(0, None), (1_000, None)]), [4_000]);
    assert_eq!(overlaps(&[(0, None), (1_000, Some(1_600))]), [600]);
}

/// Guards against counting the time in which only the earlier run goes on.
#[test]
fn overlap_later_run_given_up_not_found() {
    assert_eq!(overlaps(&[(0, Some(3_000)), (1_000, Some(1_020))]), []);
    assert_eq!(overlaps(&[(0, None), (1_000, Some(1_400))]), []);
}

/// Guards against a check of neighbours only, which misses a run beside the one after the next.
#[test]
fn overlap_run_after_next_found() {
    assert_eq!(overlaps(&[(0, Some(2_000)), (500, Some(520)), (1_000, Some(3_000))]), [1_000]);
}

/// Guards against an earlier run that goes on beside several short ones in turn.
#[test]
fn overlap_later_runs_in_turn_added() {
    assert_eq!(overlaps(&[(0, Some(2_000)), (500, Some(800)), (800, Some(1_100))]), [600]);
    assert_eq!(overlaps(&[(0, Some(2_000)), (500, Some(800)), (1_000, Some(1_300))]), []);
}

/// Guards against runs that follow each other being taken for one overlap.
#[test]
fn overlap_runs_handed_on_not_found() {
    assert_eq!(overlaps(&[(0, Some(300)), (0, Some(600)), (300, Some(900)), (600, None)]), []);
}

/// Guards against a prefill being taken for a run, and against mixing requests.
#[test]
fn overlap_prefill_or_other_request_not_found() {
    let now = Instant::now();
    let call = |id: &str, is_prefill| {
        let (id, spoil) = (id.to_owned(), Spoil::None);
        Call { id, is_prefill, spoil, began: now, ended: None }
    };
    let calls = [call("r1", true), call("r1", false), call("r2", false), call("", false)];
    assert_eq!(Overlap::find(calls, now + Duration::from_secs(1)), []);
}
