//! Tests of counting runner ends under a request, and of distinguishing causes from coincidence.

use std::time::{Duration, Instant};

use sardinepick_lib::fleet::fingerprint::Fingerprint;
use sardinepick_lib::fleet::runner::Tag;
use sardinepick_lib::fleet::suspect::{
    MAX_ENDS, RunProgress, RunnerEnd, Suspects, choose_counting_nodes,
};
use sardinepick_lib::id::NodeId;

fn request(n: u64) -> Fingerprint {
    Fingerprint::of(&[&n.to_le_bytes()])
}

fn end(life: u64, events: u64) -> RunnerEnd {
    let progress = RunProgress { events, begun: true };
    RunnerEnd { incarnation: Tag(life), progress, is_trial: false }
}

fn noted(ends: &[(u64, u64)]) -> usize {
    let (mut suspects, now) = (Suspects::default(), Instant::now());
    ends.iter()
        .map(|(life, events)| suspects.note(request(1), end(*life, *events), now))
        .last()
        .expect("there are ends")
}

#[test]
fn note_without_an_event_each_counts() {
    assert_eq!(noted(&[(1, 0), (2, 0), (3, 0)]), 3);
}

/// The runner crashes after a certain time rather than at a certain token, so the number of
/// delivered events varies.
#[test]
fn note_similar_progress_each_counts() {
    assert_eq!(noted(&[(1, 1), (2, 0), (3, 2), (4, 1)]), 4);
}

/// Two concurrent runs at one runner, or a duplicate report of one end.
#[test]
fn note_one_life_twice_counts_once() {
    assert_eq!(noted(&[(1, 0), (1, 0), (2, 0), (1, 0)]), 2);
}

/// A stream that continued elsewhere past the point at which it was interrupted was there by
/// coincidence.
#[test]
fn note_more_progress_clears() {
    assert_eq!(noted(&[(1, 0), (2, 0), (3, 12)]), 1);
    assert_eq!(noted(&[(1, 10), (2, 20), (3, 30), (4, 40)]), 1);
}

#[test]
fn note_less_progress_ignored() {
    assert_eq!(noted(&[(1, 12), (2, 0), (3, 0), (4, 0)]), 1);
}

#[test]
fn note_many_ends_bounded() {
    let ends: Vec<(u64, u64)> = (0..100).map(|life| (life, 0)).collect();
    assert_eq!(noted(&ends), MAX_ENDS);
}

/// A caller that sends thousands of different requests at each end of a runner does not displace a
/// request with several ends.
#[test]
fn note_thousands_keeps_repeated() {
    let (mut suspects, now) = (Suspects::default(), Instant::now());
    suspects.note(request(0), end(1, 0), now);
    suspects.note(request(0), end(2, 0), now);
    for n in 1..20_000 {
        suspects.note(request(n), end(3, 0), now + Duration::from_millis(n));
    }
    assert!(suspects.len() <= 4_096);
    assert_eq!(suspects.note(request(0), end(4, 0), now + Duration::from_secs(20)), 3);
}

/// Two reports of one end, one of which says that it was under a trial.
#[test]
fn note_one_life_twice_trial_kept() {
    let (mut suspects, now) = (Suspects::default(), Instant::now());
    suspects.note(request(1), end(1, 2), now);
    suspects.note(request(1), RunnerEnd { is_trial: true, ..end(1, 0) }, now);
    let suspect = suspects.get(&request(1)).expect("it is suspect");
    assert!(suspect.ends()[0].is_trial);
    assert_eq!(suspect.furthest(), 2);
}

#[test]
fn expire_old_removed() {
    let (mut suspects, now) = (Suspects::default(), Instant::now());
    suspects.note(request(1), end(1, 0), now);
    suspects.expire(now + Duration::from_secs(599));
    assert_eq!(suspects.len(), 1);
    suspects.expire(now + Duration::from_secs(601));
    assert!(suspects.is_empty());
}

fn nodes(count: usize) -> Vec<NodeId> {
    (0..count).map(|n| format!("edge-{n}").parse().expect("an id")).collect()
}

/// All nodes choose the same two nodes, whatever the order in which they know the others; when the
/// first is lost, the second keeps counting.
#[test]
fn choose_counting_nodes_first_lost_second_goes_on() {
    for count in [1, 2, 6, 550] {
        let all = nodes(count);
        let both = choose_counting_nodes(&request(7), all.iter());
        assert_eq!(both, choose_counting_nodes(&request(7), all.iter().rev()));
        assert_eq!(both.len(), count.min(2));
        if let [first, second] = both[..] {
            let left = all.iter().filter(|id| *id != first);
            assert_eq!(choose_counting_nodes(&request(7), left)[0], second);
        }
    }
}

/// No node counts much more than its share.
#[test]
fn choose_counting_nodes_many_requests_spread() {
    let all = nodes(550);
    let mut counts = std::collections::HashMap::new();
    for n in 0..11_000 {
        for id in choose_counting_nodes(&request(n), all.iter()) {
            *counts.entry(id.clone()).or_insert(0) += 1;
        }
    }
    let most = counts.values().max().expect("some nodes count");
    assert!(*most < 100, "{most}, the mean is 40");
}
