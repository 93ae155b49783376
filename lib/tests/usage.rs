//! Usage accounting: counting, collecting and settling, and the time estimate that defines windows.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use sardinepick_lib::id::{AccountId, Incarnation, NodeId, Window};
use sardinepick_lib::usage::collection::{Collection, NodeLifetime, Total, Verdict};
use sardinepick_lib::usage::ledger::{Ledger, MAX_WAITING};
use sardinepick_lib::usage::tally::{Count, MAX_COUNTS_PER_MESSAGE, Message, NodeInstance, Tally};
use sardinepick_lib::usage::window::{Counts, Windows};
use sardinepick_lib::wall_clock::Estimate;

const S: Duration = Duration::from_secs(1);

fn windows() -> Windows {
    Windows::new(S * 5)
}

fn account(name: &str) -> AccountId {
    name.parse().expect("an account")
}

fn node(name: &str) -> NodeId {
    name.parse().expect("a node")
}

fn collector(name: &str, incarnation: u64) -> NodeInstance {
    NodeInstance { node: node(name), incarnation: Incarnation(incarnation) }
}

fn counts(counts: &[(&str, u64)]) -> Counts {
    counts.iter().map(|(name, requests)| (account(name), *requests)).collect()
}

#[test]
fn windows_numbers_and_bounds() {
    let windows = windows();
    let window = windows.at(Duration::from_millis(1_767_225_604_999));
    assert_eq!(window, Window(353_445_120));
    assert_eq!(windows.at(Duration::from_secs(1_767_225_605)), window.next());
    assert_eq!((windows.start(window) + S * 5, windows.end(window)), {
        let end = Duration::from_secs(1_767_225_605);
        (end, end)
    });
}

#[test]
fn messages_all_counts_then_only_changes() {
    let mut tally = Tally::default();
    let to = collector("a", 1);
    tally.record_request(Window(7), &account("x"));
    tally.begin_round(Window(7), std::slice::from_ref(&to));
    let first = tally.messages(&to);
    assert_eq!(first.len(), 1);
    let x = |requests| Count { window: Window(7), account: account("x"), requests };
    assert_eq!(first[0].counts, [x(1)]);
    tally.acknowledge(&to, first[0].number);
    tally.begin_round(Window(7), std::slice::from_ref(&to));
    assert!(tally.messages(&to).is_empty());
    tally.record_request(Window(7), &account("x"));
    tally.begin_round(Window(7), std::slice::from_ref(&to));
    assert_eq!(tally.messages(&to)[0].counts, [x(2)]);
}

/// A count in a datagram that was lost is sent again.
#[test]
fn messages_unacknowledged_resent() {
    let mut tally = Tally::default();
    let to = collector("a", 1);
    tally.record_request(Window(7), &account("x"));
    let mut sent = 0;
    for _ in 0..5 {
        tally.begin_round(Window(7), std::slice::from_ref(&to));
        sent += tally.messages(&to).len();
    }
    assert!(sent >= 2, "sent {sent} times");
}

#[test]
fn messages_new_collector_gets_all_counts() {
    let mut tally = Tally::default();
    let (before, after) = (collector("a", 1), collector("a", 2));
    tally.record_request(Window(7), &account("x"));
    tally.begin_round(Window(7), std::slice::from_ref(&before));
    let sent = tally.messages(&before);
    tally.acknowledge(&before, sent[0].number);
    tally.begin_round(Window(7), std::slice::from_ref(&after));
    assert_eq!(tally.messages(&after)[0].counts, sent[0].counts);
}

#[test]
fn messages_many_accounts_split() {
    let mut tally = Tally::default();
    let to = collector("a", 1);
    for n in 0..MAX_COUNTS_PER_MESSAGE * 2 + 1 {
        tally.record_request(Window(7), &account(&format!("account-{n}")));
    }
    tally.begin_round(Window(7), std::slice::from_ref(&to));
    assert_eq!(tally.messages(&to).len(), 3);
}

fn lifetime(name: &str, incarnation: u64, started_at: u64, lost_at: Option<u64>) -> NodeLifetime {
    let incarnation = Incarnation(incarnation);
    NodeLifetime {
        node: node(name),
        incarnation,
        started_at: S * started_at as u32,
        lost_at: lost_at.map(|at| S * at as u32),
    }
}

fn apply(collection: &mut Collection, name: &str, incarnation: u64, window: u64, requests: u64) {
    let counts = vec![Count { window: Window(window), account: account("x"), requests }];
    let message = Message { number: 1, counts, complete: Window(0) };
    collection.apply(&collector(name, incarnation), message, S * 54);
}

/// Applies a message that marks all counts of the windows before `before` as complete.
fn apply_complete(collection: &mut Collection, name: &str, incarnation: u64, before: u64) {
    let message = Message { number: 2, counts: Vec::new(), complete: Window(before) };
    collection.apply(&collector(name, incarnation), message, S * 55);
}

fn collection(started_at: Duration) -> Collection {
    Collection::new(collector("me", 3), started_at)
}

/// The total of a window right after its end.
fn total(
    collection: &Collection,
    window: Window,
    own: Option<&Counts>,
    lifetimes: &[NodeLifetime],
) -> Total {
    collection.total(windows(), window, own, lifetimes, windows().end(window))
}

fn is_complete(total: &Total) -> bool {
    total.verdict(Duration::from_secs(10)) == Verdict::Settle
}

#[test]
fn total_sums_instances_and_keeps_highest_count() {
    let mut collection = collection(S);
    let lifetimes =
        [lifetime("a", 1, 1, None), lifetime("b", 2, 1, None), lifetime("me", 3, 1, None)];
    collection.update_lifetimes(Window(10), &lifetimes);
    for requests in [3, 5, 4] {
        apply(&mut collection, "a", 1, 10, requests);
    }
    apply(&mut collection, "b", 2, 10, 7);
    let own = counts(&[("x", 1), ("y", 2)]);
    let now = total(&collection, Window(10), Some(&own), &lifetimes);
    assert_eq!((now.counts, now.missing), (counts(&[("x", 13), ("y", 2)]), 2.0));
    for (name, incarnation) in [("a", 1), ("b", 2)] {
        apply_complete(&mut collection, name, incarnation, 11);
    }
    let total = total(&collection, Window(10), Some(&own), &lifetimes);
    assert_eq!(total.counts, counts(&[("x", 13), ("y", 2)]));
    assert!(total.verdict(Duration::ZERO) == Verdict::Settle && total.missing == 0.0);
}

/// A window is not reported while a node that counts is partitioned from the collector.
#[test]
fn total_counts_missing_waits_then_skips() {
    let mut collection = collection(S);
    let lifetimes =
        [lifetime("a", 1, 1, None), lifetime("b", 2, 1, None), lifetime("me", 3, 1, None)];
    collection.update_lifetimes(Window(10), &lifetimes);
    apply(&mut collection, "a", 1, 10, 5);
    apply_complete(&mut collection, "a", 1, 11);
    apply(&mut collection, "b", 2, 9, 5);
    let total = total(&collection, Window(10), None, &lifetimes);
    assert_eq!(total.verdict(S * 9), Verdict::Wait, "b may still send its counts");
    assert_eq!(total.verdict(S * 10), Verdict::Skip);
    let lost =
        [lifetime("a", 1, 1, None), lifetime("b", 2, 1, Some(53)), lifetime("me", 3, 1, None)];
    collection.update_lifetimes(Window(10), &lost);
    let total = self::total(&collection, Window(10), None, &lost);
    assert_eq!(total.verdict(S * 6), Verdict::Wait);
    assert_eq!(total.verdict(S * 7), Verdict::Skip);
}

/// A report includes the counts that a node sent before it was killed.
#[test]
fn total_killed_node_counts_included() {
    let (mut collection, window) = (collection(S), Window(10));
    let before = [lifetime("a", 1, 1, None), lifetime("me", 3, 1, None)];
    collection.update_lifetimes(window, &before);
    apply(&mut collection, "a", 1, 10, 5);
    let after = [lifetime("a", 2, 54, None), lifetime("me", 3, 1, None)];
    collection.update_lifetimes(window, &after);
    apply(&mut collection, "a", 2, 10, 1);
    apply_complete(&mut collection, "a", 2, 11);
    let total = total(&collection, window, None, &after);
    assert_eq!(total.counts, counts(&[("x", 6)]));
    // Its last message arrived at 54 s, so counts of the last second of the window may be missing.
    assert!((0.01..0.1).contains(&total.missing), "missing: {}", total.missing);
}

/// A window is not complete when counts were lost together with the nodes that held them.
#[test]
fn total_lost_counts_not_complete() {
    let window = Window(10);
    // All nodes restarted within the window.
    let mut restarted = collection(S * 52);
    let lifetimes =
        [lifetime("a", 2, 52, None), lifetime("b", 2, 52, None), lifetime("me", 3, 52, None)];
    restarted.update_lifetimes(window, &lifetimes);
    apply(&mut restarted, "a", 2, 10, 5);
    for name in ["a", "b"] {
        apply_complete(&mut restarted, name, 2, 12);
    }
    assert!(!is_complete(&total(&restarted, window, None, &lifetimes)));
    assert!(is_complete(&total(&restarted, Window(11), None, &lifetimes)));
    // One node is silent and has sent nothing. It may go on counting without being heard.
    let mut one_silent = collection(S);
    let alive = [lifetime("a", 1, 1, None), lifetime("b", 2, 1, None), lifetime("me", 3, 1, None)];
    one_silent.update_lifetimes(window, &alive);
    let lifetimes =
        [lifetime("a", 1, 1, Some(53)), lifetime("b", 2, 1, None), lifetime("me", 3, 1, None)];
    one_silent.update_lifetimes(window, &lifetimes);
    apply_complete(&mut one_silent, "b", 2, 20);
    for later in [window, Window(11), Window(13)] {
        assert_eq!(total(&one_silent, later, None, &lifetimes).missing, 1.0);
    }
    assert_eq!(total(&one_silent, Window(14), None, &lifetimes).missing, 0.0);
}

/// Guards against windows that wait, or are skipped, for nodes that were stopped in turn: each was
/// counted as missing until its next incarnation had started.
#[test]
fn total_stopped_node_with_delivered_counts_not_missing() {
    let (mut collection, window) = (collection(S), Window(10));
    let lifetimes = [lifetime("a", 1, 1, None), lifetime("me", 3, 1, None)];
    collection.update_lifetimes(window, &lifetimes);
    let mut tally = Tally::default();
    let to = collector("me", 3);
    tally.record_request(window, &account("x"));
    tally.close();
    tally.begin_round(window, std::slice::from_ref(&to));
    let messages = tally.messages(&to);
    assert!(!tally.is_delivered());
    for message in messages {
        tally.acknowledge(&to, message.number);
        collection.apply(&collector("a", 1), message, S * 53);
    }
    assert!(tally.is_delivered());
    let missing = |collection: &mut Collection, stopped: NodeLifetime| {
        let lifetimes = [stopped, lifetime("me", 3, 1, None)];
        collection.update_lifetimes(window, &lifetimes);
        let total = total(collection, window, None, &lifetimes);
        assert_eq!(total.counts, counts(&[("x", 1)]));
        total.missing
    };
    assert_eq!(missing(&mut collection, lifetime("a", 1, 1, Some(54))), 0.0);
    assert_eq!(missing(&mut collection, lifetime("a", 2, 54, None)), 1.0, "the next one counts");
    apply_complete(&mut collection, "a", 2, 11);
    assert_eq!(missing(&mut collection, lifetime("a", 2, 54, None)), 0.0);
}

/// Guards against windows that wait for nodes that are gone. One removed node delayed each window
/// by seconds, and those that ended before the store went down were not settled in time.
#[test]
fn verdict_only_silent_nodes_missing_settles_at_once() {
    let mut collection = collection(S);
    let names: Vec<String> = (0..40).map(|n| format!("n{n}")).collect();
    let lifetimes = |gone: usize| -> Vec<NodeLifetime> {
        let of = |(at, name): (usize, &String)| lifetime(name, 1, 1, (at < gone).then_some(51));
        names.iter().enumerate().map(of).chain([lifetime("me", 3, 1, None)]).collect()
    };
    let verdict = |collection: &mut Collection, gone: usize, complete: usize| {
        collection.update_lifetimes(Window(10), &lifetimes(gone));
        for name in names.iter().rev().take(complete) {
            apply_complete(collection, name, 1, 11);
        }
        total(collection, Window(10), None, &lifetimes(gone)).verdict(S)
    };
    assert_eq!(verdict(&mut collection, 1, 38), Verdict::Wait, "one may still send");
    assert_eq!(verdict(&mut collection, 3, 38), Verdict::Wait, "too many are gone");
    assert_eq!(verdict(&mut collection, 1, 39), Verdict::Settle);
}

#[test]
fn total_new_node_nothing_missing() {
    let mut collection = collection(S);
    let lifetimes = [lifetime("a", 1, 52, None), lifetime("me", 3, 1, None)];
    collection.update_lifetimes(Window(10), &lifetimes);
    apply_complete(&mut collection, "a", 1, 11);
    assert_eq!(total(&collection, Window(10), None, &lifetimes).missing, 0.0);
}

/// A collector must not treat a window as complete when one of its messages was lost.
#[test]
fn messages_complete_only_with_all_counts() {
    let mut tally = Tally::default();
    let to = collector("a", 1);
    let mut round = |newest: u64, count: usize, acknowledged: &[usize]| {
        for n in 0..count {
            tally.record_request(Window(7), &account(&format!("account-{n}")));
        }
        tally.begin_round(Window(newest), std::slice::from_ref(&to));
        let messages = tally.messages(&to);
        for at in acknowledged {
            tally.acknowledge(&to, messages[*at].number);
        }
        messages.iter().map(|message| message.complete.0).collect::<Vec<_>>()
    };
    assert_eq!(round(7, MAX_COUNTS_PER_MESSAGE + 1, &[0, 1]), [7, 7]);
    // Two messages carry counts of the ended window, so neither alone completes it.
    assert_eq!(round(8, MAX_COUNTS_PER_MESSAGE + 1, &[0]), [7, 7]);
    assert_eq!(round(8, 0, &[]), Vec::<u64>::new(), "one message is in flight");
    assert_eq!(round(8, 0, &[0]), [8], "the lost message is sent again and completes the window");
    assert_eq!(round(8, 0, &[]), Vec::<u64>::new(), "the collector has everything");
}

/// One window must not be reported twice with different counts.
#[test]
fn settle_window_once() {
    let ledger = Ledger::starting_at(Window(7));
    let (ledger, _) = ledger.settle(Window(7), counts(&[("x", 1)])).expect("the window is open");
    assert!(ledger.settle(Window(7), counts(&[("x", 2)])).is_none());
    let text = serde_json::to_string(&ledger).expect("serializable");
    let mut restored: Ledger = serde_json::from_str(&text).expect("deserializable");
    assert_eq!(restored, ledger);
    assert_eq!(restored.due().map(|s| s.window), Some(Window(7)));
    restored.mark_reported(Window(7));
    assert_eq!((restored.due(), restored.next), (None, Window(8)));
}

#[test]
fn settle_too_many_waiting_oldest_dropped() {
    let mut ledger = Ledger::starting_at(Window(0));
    let mut dropped = Vec::new();
    for window in 0..MAX_WAITING as u64 + 2 {
        let (next, oldest) =
            ledger.settle(Window(window), Counts::new()).expect("the window is open");
        dropped.extend(oldest.map(|settled| settled.window));
        ledger = next;
    }
    assert_eq!(dropped, [Window(0), Window(1)]);
}

fn wall(seconds: f64) -> SystemTime {
    UNIX_EPOCH + Duration::from_secs_f64(1e9 + seconds)
}

fn error(estimate: &Estimate, now: Instant, true_time: f64) -> f64 {
    (estimate.at(now).as_secs_f64() - 1e9 - true_time).abs()
}

/// A wall clock that is temporarily off by seconds must not move requests into a wrong window.
#[test]
fn estimate_step_not_followed() {
    let start = Instant::now();
    let mut estimate = Estimate::new(start, wall(0.0));
    for n in 1..40 {
        let step = if (10..30).contains(&n) { 2.0 } else { 0.0 };
        let now = start + S * n / 4;
        estimate.observe_wall_clock(now, wall(f64::from(n) / 4.0 + step));
        assert!(error(&estimate, now, f64::from(n) / 4.0) < 0.01);
    }
}

#[test]
fn estimate_drift_followed() {
    let start = Instant::now();
    let mut estimate = Estimate::new(start, wall(0.0));
    for n in 1..10_000 {
        // The monotonic clock runs slow by 100 us per second.
        let (now, time) = (start + S * n, f64::from(n) * 1.000_1);
        estimate.observe_wall_clock(now, wall(time));
        assert!(error(&estimate, now, time) < 0.05);
    }
}

/// Nodes that started while their clocks were off by seconds, here a third of all, converge to the time
/// of the others.
#[test]
fn estimate_third_of_nodes_off_corrected() {
    let start = Instant::now();
    let names: Vec<NodeId> = (0..30).map(|n| node(&format!("edge-{n}"))).collect();
    let mut all: Vec<Estimate> =
        (0..30).map(|n| Estimate::new(start, wall(if n % 3 == 0 { -2.0 } else { 0.0 }))).collect();
    let mut now = start;
    for round in 0..10 {
        now += S / 5;
        for at in 0..all.len() {
            for other in (1..9).map(|step| (at + step * 7 + round) % names.len()) {
                let time = all[other].at(now);
                all[at].observe_peer(now, &names[other], time);
            }
        }
    }
    let true_time = (now - start).as_secs_f64();
    let largest = all.iter().map(|estimate| error(estimate, now, true_time)).fold(0.0, f64::max);
    assert!(largest < 0.3, "{largest} s off");
}
