//! Waits of plain requests for a slot.

use std::time::Duration;

use sardinepick_lib::fleet::plain_wait::{Slots, Wait};

const MS: Duration = Duration::from_millis(1);
const SLOTS: Slots = Slots { count: 6, answer_time: 0.06 };

/// Guards against requests that return all at once, or much later than a slot becomes free.
#[test]
fn next_jittered_around_time_until_free() {
    assert_eq!(Wait::default().next(MS * 900, SLOTS, 0.0), Some(MS * 5));
    assert_eq!(Wait::default().next(MS * 900, SLOTS, 1.0), Some(MS * 15));
}

/// Guards against calls at a constant rate while a runner stays full.
#[test]
fn next_doubles_within_bounds() {
    let mut wait = Wait::default();
    let waits: Vec<_> = (0..6).filter_map(|_| wait.next(MS * 900, SLOTS, 0.5)).collect();
    assert_eq!(waits, [10, 20, 40, 80, 80, 80].map(|ms| MS * ms));
    let fast = Slots { count: 6, answer_time: 0.001 };
    assert_eq!(Wait::default().next(MS * 900, fast, 0.5), Some(MS * 2));
}

/// Guards against a wait after which the answer is too late.
#[test]
fn next_answer_late_none() {
    assert_eq!(Wait::default().next(MS * 69, SLOTS, 0.5), None);
    assert_eq!(Wait::default().next(MS * 70, SLOTS, 0.5), Some(MS * 10));
    let unknown = Slots { count: 0, answer_time: f64::INFINITY };
    assert_eq!(Wait::default().next(MS * 900, unknown, 0.5), None);
}
