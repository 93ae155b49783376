//! Tests of single rules of the queue.

use std::time::{Duration, Instant};

use sardinepick_lib::account::directory::{Account as ClientAccount, Directory, Entry, digest};
use sardinepick_lib::fleet::rank::Rank;
use sardinepick_lib::fleet::share::{
    Account, Bounds, Cost, Queue, Reason, Refused, Runner, Usage, WINDOW, Weight, Work,
};

const MS: Duration = Duration::from_millis(1);
const A: Account = Account(1);
const B: Account = Account(2);

fn work(account: Account, route: u8, item: u32, now: Instant) -> Work<u32> {
    Work {
        account,
        weight: Weight::default(),
        rank: Rank { account: Some(1), route },
        cost: Cost::from_secs(0.1),
        bytes: 100,
        due: now + MS * 500,
        latest_start: now + MS * 1_500,
        item,
    }
}

fn queue() -> Queue<u32> {
    let mut queue = Queue::new(Bounds::default());
    queue.set_runners(4);
    queue
}

/// Releases everything and settles it at its estimated cost.
fn drain(queue: &mut Queue<u32>, now: Instant) -> Vec<u32> {
    std::iter::from_fn(|| {
        let released = queue.release(now, |_| true)?;
        queue.settle(released.ticket, released.work.cost, now);
        Some(released.work.item)
    })
    .collect()
}

fn submit_all(queue: &mut Queue<u32>, works: impl IntoIterator<Item = Work<u32>>, now: Instant) {
    for work in works {
        let refused = queue.submit(work, now);
        assert!(refused.is_empty(), "{refused:?}");
    }
}

/// Guards the order of the page: account rank, fairness, route rank, time left.
#[test]
fn release_orders_by_rank_then_use_then_route_then_time() {
    let (mut queue, now) = (queue(), Instant::now());
    submit_all(&mut queue, [work(A, 0, 0, now), work(A, 0, 0, now)], now);
    drain(&mut queue, now);
    let top = Work { rank: Rank { account: Some(0), route: 2 }, ..work(A, 2, 1, now) };
    let late = Work { due: now + MS * 900, ..work(B, 1, 4, now) };
    submit_all(&mut queue, [work(A, 0, 5, now), late, work(B, 1, 3, now), top], now);
    submit_all(&mut queue, [work(B, 0, 2, now)], now);
    assert_eq!(drain(&mut queue, now), [1, 2, 3, 5, 4]);
}

/// Guards against urgent work that waits until earlier, less urgent work of its account is
/// forgotten.
#[test]
fn release_urgent_work_despite_use_for_less_urgent() {
    let (mut queue, now) = (queue(), Instant::now());
    submit_all(&mut queue, [work(A, 2, 0, now), work(A, 2, 1, now)], now);
    drain(&mut queue, now);
    submit_all(&mut queue, [work(B, 0, 9, now)], now);
    drain(&mut queue, now);
    submit_all(&mut queue, [work(B, 2, 3, now), work(A, 0, 2, now)], now);
    assert_eq!(drain(&mut queue, now), [2, 3]);
}

#[test]
fn release_skips_work_that_does_not_fit() {
    let (mut queue, now) = (queue(), Instant::now());
    submit_all(&mut queue, [work(A, 0, 1, now), work(A, 0, 2, now), work(B, 0, 3, now)], now);
    let released = queue.release(now, |work| work.item != 1).expect("others fit");
    assert_eq!(released.work.item, 2);
    assert_eq!(queue.len(), 2);
}

#[test]
fn release_heavier_weight_gets_proportionally_more() {
    let (mut queue, now) = (queue(), Instant::now());
    let heavy = |item| Work { weight: Weight::new(3.0), ..work(A, 0, item, now) };
    let mut counts = [0; 2];
    for round in 0..400 {
        let now = now + MS * 25 * round;
        for item in [work(B, 0, 1, now), Work { due: now, ..heavy(0) }] {
            queue.submit(item, now);
        }
        if let Some(released) = queue.release(now, |_| true) {
            counts[released.work.item as usize] += 1;
            queue.settle(released.ticket, released.work.cost, now);
        }
    }
    let ratio = f64::from(counts[0]) / f64::from(counts[1]);
    assert!((2.5..3.5).contains(&ratio), "{counts:?}");
}

/// Guards against waiting work that is forgotten or answered too late.
#[test]
fn expire_refuses_at_latest_start_and_not_when_overdue() {
    let (mut queue, now) = (queue(), Instant::now());
    submit_all(&mut queue, [work(A, 0, 1, now)], now);
    assert!(queue.expire(now + MS * 1_000).is_empty());
    submit_all(&mut queue, [work(A, 0, 2, now + MS * 1_000)], now + MS * 1_000);
    let released = queue.release(now + MS * 1_000, |_| true).expect("waits");
    assert_eq!(released.work.item, 2, "work that can be on time is first");
    let refused = queue.expire(now + MS * 1_501);
    assert!(matches!(&refused[..], [Refused { reason: Reason::Late, .. }]), "{refused:?}");
    assert!(queue.is_empty());
}

/// Guards against a queue of one account that it cannot get done: it is refused before its time
/// is over, and the retry delay suffices.
#[test]
fn submit_beyond_share_refused_at_once_and_retry_succeeds() {
    let (mut queue, mut now) = (queue(), Instant::now());
    submit_all(&mut queue, [work(B, 0, 0, now)], now);
    let refused: Vec<_> =
        (1..200).flat_map(|item| queue.submit(work(A, 0, item, now), now)).collect();
    assert!(!refused.is_empty() && refused.iter().all(|r| r.reason == Reason::Share));
    let retry = refused.iter().map(|r| r.retry).max().expect("refused");
    // Four runners, each of which does a request in 100 ms.
    let until = now + retry;
    while now < until {
        queue.expire(now);
        if let Some(released) = queue.release(now, |_| true) {
            queue.settle(released.ticket, released.work.cost, now);
        }
        now += MS * 25;
    }
    submit_all(&mut queue, [work(A, 0, 999, now)], now);
}

#[test]
fn submit_beyond_length_or_bytes_refuses_heaviest_account() {
    let now = Instant::now();
    let bounds = Bounds { length: 8, bytes: 100 * 8, ..Bounds::default() };
    let mut queue = Queue::new(bounds);
    queue.set_runners(100);
    submit_all(&mut queue, [work(A, 0, 0, now)], now);
    drain(&mut queue, now);
    for account in 2..9 {
        submit_all(&mut queue, [work(Account(account), 0, 1, now)], now);
    }
    submit_all(&mut queue, [work(A, 0, 2, now)], now);
    let refused = queue.submit(work(Account(10), 0, 3, now), now);
    assert!(
        matches!(&refused[..], [Refused { reason: Reason::Full, work, .. }] if work.account == A)
    );
    assert_eq!(queue.len(), 8);
}

/// Guards against a share for each key: a thousand keys are one account.
#[test]
fn account_with_thousand_keys_has_one_share() {
    let keys: Vec<String> = (0..1_000).map(|key| format!("key-{key}")).collect();
    let account = ClientAccount { name: "acme".parse().expect("a name"), rank: None };
    let digests = keys.iter().filter_map(|key| digest(key.as_bytes())).collect();
    let directory = Directory::new([Entry { account, keys: digests }], Vec::new());
    let (mut queue, now) = (queue(), Instant::now());
    let accounts = keys.iter().map(|key| {
        let digest = digest(key.as_bytes()).expect("a key");
        Account::of(directory.find(&digest).expect("known").name.as_str())
    });
    for account in accounts {
        submit_all(&mut queue, [work(account, 0, 0, now)], now);
        drain(&mut queue, now);
    }
    assert_eq!(queue.ledger().len(), 1);
    submit_all(&mut queue, [work(Account::of("acme"), 0, 1, now), work(B, 0, 2, now)], now);
    assert_eq!(drain(&mut queue, now), [2, 1]);
}

/// Guards against a clock that steps: time that goes back does not refuse or reorder, and after a
/// step forward all use is forgotten and the queue works on.
#[test]
fn clock_steps_keep_order_and_forget_use() {
    let (mut queue, start) = (queue(), Instant::now());
    let now = start + WINDOW;
    submit_all(&mut queue, [work(A, 0, 0, now)], now);
    drain(&mut queue, now);
    submit_all(&mut queue, [work(A, 0, 1, now), work(B, 0, 2, now)], now);
    assert_eq!(drain(&mut queue, start), [2, 1]);
    let later = now + Duration::from_secs(86_400 * 365);
    queue.forget(later);
    assert!(queue.ledger().is_empty());
    submit_all(&mut queue, [work(B, 0, 1, later), work(A, 0, 2, later)], later);
    assert_eq!(drain(&mut queue, later).len(), 2);
    let recent = queue.ledger().recent(A).secs();
    assert!((0.099..0.101).contains(&recent), "{recent}");
}

#[test]
fn all_accounts_active_within_one_second_each_served_at_most_once() {
    let (mut queue, now) = (queue(), Instant::now());
    let mut served = std::collections::BTreeMap::new();
    for account in 0..6_800_u64 {
        let now = now + Duration::from_secs(1).mul_f64(account as f64 / 6_800.0);
        for item in 0..2 {
            queue.submit(work(Account(account + 1), 0, item, now), now);
        }
        if account % 170 == 0
            && let Some(released) = queue.release(now, |_| true)
        {
            *served.entry(released.work.account).or_insert(0) += 1;
        }
        assert!(queue.len() <= Bounds::default().length);
    }
    assert!(served.values().all(|count| *count == 1), "{served:?}");
}

#[test]
fn cost_counts_prefill_and_larger_of_slot_and_memory() {
    let runner = Runner { slots: 10, memory: 1_000 };
    let usage = Usage { prefill: 0.5, decode: 2.0, memory: 100.0 };
    assert!((usage.cost(runner).secs() - 0.7).abs() < 1e-9);
    let usage = Usage { memory: 500.0, ..usage };
    assert!((usage.cost(runner).secs() - 1.0).abs() < 1e-9);
    assert_eq!(Cost::from_secs(f64::NAN), Cost::from_secs(f64::INFINITY));
}
