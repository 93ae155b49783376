//! Tests of the gossip about runners that is sent with heartbeats.

use std::time::{Duration, Instant};

use sardinepick_lib::fleet::outbox::{MAX_CHANGES, Outbox};
use sardinepick_lib::fleet::runner::Tag;

const MS: Duration = Duration::from_millis(1);

fn tags(taken: &[(Tag, Duration)]) -> Vec<u64> {
    taken.iter().map(|(tag, _)| tag.0).collect()
}

#[test]
fn take_new_told_once() {
    let (mut outbox, now) = (Outbox::default(), Instant::now());
    outbox.push(Tag(1), now);
    assert!(outbox.has_new());
    assert_eq!(outbox.take(false, now + MS), [(Tag(1), MS)]);
    assert!(!outbox.has_new() && outbox.take(false, now + 2 * MS).is_empty());
}

/// Guards against a change that is never repeated, and against heartbeats that grow with the number
/// of changes.
#[test]
fn take_again_all_in_turn_few_a_beat() {
    let (mut outbox, now) = (Outbox::default(), Instant::now());
    for n in 0..40 {
        outbox.push(Tag(n), now);
    }
    let mut told = Vec::new();
    while outbox.has_new() {
        let some = outbox.take(false, now);
        assert!(some.len() <= MAX_CHANGES);
        told.extend(tags(&some));
    }
    told.sort_unstable();
    assert_eq!(told, (0..40).collect::<Vec<_>>());
    let mut again: Vec<u64> = Vec::new();
    for n in 1..=10 {
        let some = outbox.take(true, now + n * MS);
        assert!(some.len() <= 4);
        again.extend(tags(&some));
    }
    again.sort_unstable();
    assert_eq!(again, told);
    outbox.forget(Tag(0));
    assert!((0..10).all(|n| !tags(&outbox.take(true, now + (20 + n) * MS)).contains(&0)));
}
