//! Usage: counting, collecting, settling, and the time by which windows go.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use sardinepick_lib::id::{AccountId, Incarnation, NodeId, Window};
use sardinepick_lib::usage::collection::{Collection, Life, Total, Verdict};
use sardinepick_lib::usage::ledger::{Ledger, MOST_WAITING};
use sardinepick_lib::usage::tally::{Collector, Count, MOST_COUNTS, Message, Tally};
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

fn collector(name: &str, incarnation: u64) -> Collector {
    Collector { node: node(name), incarnation: Incarnation(incarnation) }
}

fn counts(counts: &[(&str, u64)]) -> Counts {
    counts.iter().map(|(name, requests)| (account(name), *requests)).collect()
}

#[test]
fn windows_number_and_bounds() {
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
fn messages_all_then_only_what_changed() {
    let mut tally = Tally::default();
    let to = collector("a", 1);
    tally.note(Window(7), &account("x"));
    tally.begin_round(Window(7), std::slice::from_ref(&to));
    let first = tally.messages(&to);
    assert_eq!(first.len(), 1);
    let x = |requests| Count { window: Window(7), account: account("x"), requests };
    assert_eq!(first[0].counts, [x(1)]);
    tally.acknowledge(&to, first[0].number);
    tally.begin_round(Window(7), std::slice::from_ref(&to));
    assert!(tally.messages(&to).is_empty());
    tally.note(Window(7), &account("x"));
    tally.begin_round(Window(7), std::slice::from_ref(&to));
    assert_eq!(tally.messages(&to)[0].counts, [x(2)]);
}

/// Guards against counts that are lost with the datagram that carried them.
#[test]
fn messages_unacknowledged_sent_again() {
    let mut tally = Tally::default();
    let to = collector("a", 1);
    tally.note(Window(7), &account("x"));
    let mut sent = 0;
    for _ in 0..5 {
        tally.begin_round(Window(7), std::slice::from_ref(&to));
        sent += tally.messages(&to).len();
    }
    assert!(sent >= 2, "sent {sent} times");
}

#[test]
fn messages_new_collector_told_all() {
    let mut tally = Tally::default();
    let (before, after) = (collector("a", 1), collector("a", 2));
    tally.note(Window(7), &account("x"));
    tally.begin_round(Window(7), std::slice::from_ref(&before));
    let told = tally.messages(&before);
    tally.acknowledge(&before, told[0].number);
    tally.begin_round(Window(7), std::slice::from_ref(&after));
    assert_eq!(tally.messages(&after)[0].counts, told[0].counts);
}

#[test]
fn messages_many_accounts_split() {
    let mut tally = Tally::default();
    let to = collector("a", 1);
    for n in 0..MOST_COUNTS * 2 + 1 {
        tally.note(Window(7), &account(&format!("account-{n}")));
    }
    tally.begin_round(Window(7), std::slice::from_ref(&to));
    assert_eq!(tally.messages(&to).len(), 3);
}

fn life(name: &str, incarnation: u64, since: u64, gone: Option<u64>) -> Life {
    let incarnation = Incarnation(incarnation);
    Life {
        node: node(name),
        incarnation,
        since: S * since as u32,
        gone: gone.map(|g| S * g as u32),
    }
}

fn take(collection: &mut Collection, name: &str, incarnation: u64, window: u64, requests: u64) {
    let counts = vec![Count { window: Window(window), account: account("x"), requests }];
    let message = Message { number: 1, counts, complete: Window(0) };
    collection.take(&collector(name, incarnation), message, S * 54);
}

/// Takes that a life has told all counts of the windows before one.
fn take_complete(collection: &mut Collection, name: &str, incarnation: u64, before: u64) {
    let message = Message { number: 2, counts: Vec::new(), complete: Window(before) };
    collection.take(&collector(name, incarnation), message, S * 55);
}

fn collection(since: Duration) -> Collection {
    Collection::new(collector("me", 3), since)
}

/// A window, right after it has ended.
fn total(collection: &Collection, window: Window, own: Option<&Counts>, lives: &[Life]) -> Total {
    collection.total(windows(), window, own, lives, windows().end(window))
}

fn is_complete(total: &Total) -> bool {
    total.verdict(Duration::from_secs(10)) == Verdict::Settle
}

#[test]
fn total_lives_summed_and_highest_kept() {
    let mut collection = collection(S);
    let lives = [life("a", 1, 1, None), life("b", 2, 1, None), life("me", 3, 1, None)];
    collection.note(Window(10), &lives);
    for requests in [3, 5, 4] {
        take(&mut collection, "a", 1, 10, requests);
    }
    take(&mut collection, "b", 2, 10, 7);
    let own = counts(&[("x", 1), ("y", 2)]);
    let now = total(&collection, Window(10), Some(&own), &lives);
    assert_eq!((now.counts, now.missing), (counts(&[("x", 13), ("y", 2)]), 2.0));
    for (name, incarnation) in [("a", 1), ("b", 2)] {
        take_complete(&mut collection, name, incarnation, 11);
    }
    let total = total(&collection, Window(10), Some(&own), &lives);
    assert_eq!(total.counts, counts(&[("x", 13), ("y", 2)]));
    assert!(total.verdict(Duration::ZERO) == Verdict::Settle && total.missing == 0.0);
}

/// Guards against a false report while a node that counts is cut off from the one that collects.
#[test]
fn total_counts_not_come_waits_then_passes_over() {
    let mut collection = collection(S);
    let lives = [life("a", 1, 1, None), life("b", 2, 1, None), life("me", 3, 1, None)];
    collection.note(Window(10), &lives);
    take(&mut collection, "a", 1, 10, 5);
    take_complete(&mut collection, "a", 1, 11);
    take(&mut collection, "b", 2, 9, 5);
    let total = total(&collection, Window(10), None, &lives);
    assert_eq!(total.verdict(S * 6), Verdict::Wait);
    assert_eq!(total.verdict(S * 7), Verdict::PassOver);
}

/// Guards against a report that lacks what a node counted before it was killed.
#[test]
fn total_killed_node_counted_once_told() {
    let (mut collection, window) = (collection(S), Window(10));
    let before = [life("a", 1, 1, None), life("me", 3, 1, None)];
    collection.note(window, &before);
    take(&mut collection, "a", 1, 10, 5);
    let after = [life("a", 2, 54, None), life("me", 3, 1, None)];
    collection.note(window, &after);
    take(&mut collection, "a", 2, 10, 1);
    take_complete(&mut collection, "a", 2, 11);
    let total = total(&collection, window, None, &after);
    assert_eq!(total.counts, counts(&[("x", 6)]));
    // Unheard from the last second of the window on, as it was heard at 54 s.
    assert!((0.01..0.1).contains(&total.missing), "its last counts: {}", total.missing);
}

/// Guards against a false report where counts went with the nodes that had them.
#[test]
fn total_lost_counts_not_complete() {
    let window = Window(10);
    // All have started anew within the window.
    let mut anew = collection(S * 52);
    let lives = [life("a", 2, 52, None), life("b", 2, 52, None), life("me", 3, 52, None)];
    anew.note(window, &lives);
    take(&mut anew, "a", 2, 10, 5);
    for name in ["a", "b"] {
        take_complete(&mut anew, name, 2, 12);
    }
    assert!(!is_complete(&total(&anew, window, None, &lives)));
    assert!(is_complete(&total(&anew, Window(11), None, &lives)));
    // One is gone and has told nothing; it may count on, unheard, for a while.
    let mut one_gone = collection(S);
    let there = [life("a", 1, 1, None), life("b", 2, 1, None), life("me", 3, 1, None)];
    one_gone.note(window, &there);
    let lives = [life("a", 1, 1, Some(53)), life("b", 2, 1, None), life("me", 3, 1, None)];
    one_gone.note(window, &lives);
    take_complete(&mut one_gone, "b", 2, 20);
    for later in [window, Window(11), Window(13)] {
        assert_eq!(total(&one_gone, later, None, &lives).missing, 1.0);
    }
    assert_eq!(total(&one_gone, Window(14), None, &lives).missing, 0.0);
}

#[test]
fn total_new_node_nothing_lost() {
    let mut collection = collection(S);
    let lives = [life("a", 1, 52, None), life("me", 3, 1, None)];
    collection.note(Window(10), &lives);
    take_complete(&mut collection, "a", 1, 11);
    assert_eq!(total(&collection, Window(10), None, &lives).missing, 0.0);
}

/// Guards against a collector that takes a window for complete when a part of it was lost on the way.
#[test]
fn messages_complete_only_with_all_counts() {
    let mut tally = Tally::default();
    let to = collector("a", 1);
    let mut round = |newest: u64, count: usize, acknowledged: &[usize]| {
        for n in 0..count {
            tally.note(Window(7), &account(&format!("account-{n}")));
        }
        tally.begin_round(Window(newest), std::slice::from_ref(&to));
        let messages = tally.messages(&to);
        for at in acknowledged {
            tally.acknowledge(&to, messages[*at].number);
        }
        messages.iter().map(|message| message.complete.0).collect::<Vec<_>>()
    };
    assert_eq!(round(7, MOST_COUNTS + 1, &[0, 1]), [7, 7]);
    // Two messages have counts of the window that has ended: neither alone completes it.
    assert_eq!(round(8, MOST_COUNTS + 1, &[0]), [7, 7]);
    assert_eq!(round(8, 0, &[]), Vec::<u64>::new(), "one is on its way");
    assert_eq!(round(8, 0, &[0]), [8], "it is sent again, and is all that is missing");
    assert_eq!(round(8, 0, &[]), Vec::<u64>::new(), "the collector knows");
}

/// Guards against two reports of one window with different counts.
#[test]
fn settle_window_once() {
    let ledger = Ledger::starting_at(Window(7));
    let (ledger, _) = ledger.settle(Window(7), counts(&[("x", 1)])).expect("it is open");
    assert!(ledger.settle(Window(7), counts(&[("x", 2)])).is_none());
    let text = serde_json::to_string(&ledger).expect("it is JSON");
    let mut again: Ledger = serde_json::from_str(&text).expect("it reads");
    assert_eq!(again, ledger);
    assert_eq!(again.due().map(|s| s.window), Some(Window(7)));
    again.note_reported(Window(7));
    assert_eq!((again.due(), again.next), (None, Window(8)));
}

#[test]
fn settle_too_many_waiting_oldest_given_up() {
    let mut ledger = Ledger::starting_at(Window(0));
    let mut given_up = Vec::new();
    for window in 0..MOST_WAITING as u64 + 2 {
        let (next, old) = ledger.settle(Window(window), Counts::new()).expect("it is open");
        given_up.extend(old.map(|settled| settled.window));
        ledger = next;
    }
    assert_eq!(given_up, [Window(0), Window(1)]);
}

fn wall(seconds: f64) -> SystemTime {
    UNIX_EPOCH + Duration::from_secs_f64(1e9 + seconds)
}

fn off(estimate: &Estimate, now: Instant, true_time: f64) -> f64 {
    (estimate.at(now).as_secs_f64() - 1e9 - true_time).abs()
}

/// Guards against requests counted in a wrong window while a VM's time of day is off by seconds.
#[test]
fn estimate_step_not_followed() {
    let start = Instant::now();
    let mut estimate = Estimate::new(start, wall(0.0));
    for n in 1..40 {
        let step = if (10..30).contains(&n) { 2.0 } else { 0.0 };
        let now = start + S * n / 4;
        estimate.observe_wall_clock(now, wall(f64::from(n) / 4.0 + step));
        assert!(off(&estimate, now, f64::from(n) / 4.0) < 0.01);
    }
}

#[test]
fn estimate_drift_followed() {
    let start = Instant::now();
    let mut estimate = Estimate::new(start, wall(0.0));
    for n in 1..10_000 {
        // The monotonic clock loses 100 us a second.
        let (now, time) = (start + S * n, f64::from(n) * 1.000_1);
        estimate.observe_wall_clock(now, wall(time));
        assert!(off(&estimate, now, time) < 0.05);
    }
}

/// Guards against a third of the nodes that started while their clocks were off by seconds.
#[test]
fn estimate_of_third_off_put_right() {
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
    let most = all.iter().map(|estimate| off(estimate, now, true_time)).fold(0.0, f64::max);
    assert!(most < 0.3, "{most} s off");
}
