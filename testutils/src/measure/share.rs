//! The time of a decision of the fair-shares queue.

use std::time::{Duration, Instant};

use sardinepick_lib::fleet::rank::Rank;
use sardinepick_lib::fleet::share::{Account, Bounds, Cost, Queue, Weight, Work};

use super::figure::Figure;

/// The number of accounts.
const ACCOUNTS: u64 = 6_800;
/// The number of decisions in a batch. The figure is the median of all batches, so that it does not
/// depend on what else the machine does.
const BATCH: u32 = 200;
const BATCHES: usize = 101;

fn work(number: u64, now: Instant) -> Work<u64> {
    Work {
        account: Account(number % ACCOUNTS + 1),
        weight: Weight::default(),
        rank: Rank { account: Some(1), route: (number % 3) as u8 },
        cost: Cost::from_secs(0.1),
        bytes: 1_000,
        due: now + Duration::from_millis(500),
        latest_start: now + Duration::from_millis(1_500),
        item: number,
    }
}

/// One decision: a request arrives, and another one starts and ends.
fn decide(queue: &mut Queue<u64>, number: u64, now: Instant) {
    std::hint::black_box(queue.submit(work(number, now), now));
    if let Some(released) = queue.release(now, |_| true) {
        queue.settle(released.ticket, Cost::from_secs(0.12), now);
    }
}

/// Measures decisions with a full queue, in microseconds.
pub fn measure() -> Vec<Figure> {
    let (mut queue, mut now) = (Queue::new(Bounds::default()), Instant::now());
    queue.set_runners(24);
    for number in 0..ACCOUNTS {
        decide(&mut queue, number, now);
    }
    for number in 0..Bounds::default().length as u64 {
        queue.submit(work(number * 7, now), now);
    }
    let mut number = ACCOUNTS;
    let mut times: Vec<Duration> = Vec::with_capacity(BATCHES);
    for _ in 0..BATCHES {
        let began = Instant::now();
        for _ in 0..BATCH {
            // Prompts arrive spread over all accounts, and expire after 1.5 s.
            number = number.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            now += Duration::from_millis(2);
            decide(&mut queue, number >> 33, now);
        }
        times.push(began.elapsed() / BATCH);
    }
    times.sort_unstable();
    let median = times[BATCHES / 2].as_secs_f64() * 1e6;
    vec![Figure::new(format!("share.{ACCOUNTS}.decision_us"), median)]
}
