//! Tests of attestations that a node's copy of the store is recent.

use std::time::{Duration, Instant};

use sardinepick_lib::fleet::freshness::{Attestation, Attester, Freshness, MAX_AGE};

const MS: Duration = Duration::from_millis(1);

fn attestation(attester: u32, serial: u32, age: Duration) -> Attestation {
    Attestation { attester: Attester(attester), serial, age }
}

#[test]
fn apply_newer_attestation_replaces_older() {
    let now = Instant::now() + MS * 10_000;
    let mut freshness = Freshness::new(Attester(1), now);
    assert!(freshness.apply(attestation(2, 1, MS * 500), true, now));
    assert!(!freshness.apply(attestation(3, 1, MS * 600), true, now), "it is older");
    assert!(freshness.apply(attestation(3, 2, MS * 100), true, now));
    assert_eq!(freshness.newest(now), Some(attestation(3, 2, MS * 100)));
    assert_eq!(freshness.age(now + MS * 50), MS * 150);
}

/// Guards against an attestation that appears younger each time it passes between two nodes, as its
/// age does not include the transit time.
#[test]
fn apply_same_attestation_again_stays_old() {
    let now = Instant::now() + MS * 10_000;
    let mut freshness = Freshness::new(Attester(1), now);
    assert!(freshness.apply(attestation(2, 7, MS * 500), true, now));
    let later = now + MS * 300;
    assert!(!freshness.apply(attestation(2, 7, MS * 600), true, later));
    assert!(!freshness.apply(attestation(2, 6, MS * 10), true, later));
    assert_eq!(freshness.age(later), MS * 800);
}

/// Guards against a node that relies on an answer of the store that its copy does not reflect.
#[test]
fn apply_copy_behind_sender_not_covered() {
    let now = Instant::now() + MS * 10_000;
    let mut freshness = Freshness::new(Attester(1), now);
    assert!(!freshness.apply(attestation(2, 1, Duration::ZERO), false, now));
    assert_eq!(freshness.newest(now), None);
    assert!(freshness.apply(attestation(2, 1, Duration::ZERO), true, now), "it has caught up");
}

/// Guards against a node that relies on itself as heard from another node.
#[test]
fn apply_own_attestation_returned_not_of_others() {
    let now = Instant::now() + MS * 10_000;
    let mut freshness = Freshness::new(Attester(1), now);
    freshness.note_answer(now);
    let own = freshness.newest(now).expect("the store has answered");
    assert!(!freshness.apply(own, true, now));
    let later = now + MAX_AGE;
    assert_eq!(freshness.age_of_others(later), MAX_AGE);
    freshness.note_answer(later);
    assert_eq!((freshness.age(later), freshness.age_of_others(later)), (Duration::ZERO, MAX_AGE));
}

#[test]
fn to_pass_on_only_while_new() {
    let now = Instant::now() + MS * 10_000;
    let mut freshness = Freshness::new(Attester(1), now);
    assert_eq!(freshness.to_pass_on(now), None);
    freshness.apply(attestation(2, 1, MS * 900), true, now);
    assert_eq!(freshness.to_pass_on(now + MS * 200), Some(attestation(2, 1, MS * 1_100)));
    assert_eq!(freshness.to_pass_on(now + MS * 500), None);
    assert_eq!(freshness.newest(now + MS * 500), Some(attestation(2, 1, MS * 1_400)));
}

#[test]
fn is_stale_by_rank() {
    let now = Instant::now() + MS * 10_000;
    let mut freshness = Freshness::new(Attester(1), now);
    freshness.apply(attestation(2, 1, Duration::ZERO), true, now);
    assert!(!freshness.is_stale(0.0, now + MAX_AGE));
    assert!(freshness.is_stale(0.0, now + MAX_AGE + MS));
    assert!(!freshness.is_stale(1.0, now + MAX_AGE + MS * 200));
    assert!(freshness.is_stale(1.0, now + MAX_AGE + MS * 260));
}
