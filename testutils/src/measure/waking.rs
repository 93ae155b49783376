//! The hourly wake-up: thousands of callers in one second before a fleet that can serve a part of
//! them in time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use sardinepick_lib::admit::{AdmissionQueue, AdmissionRequest, Decision, Event, Limits};
use sardinepick_lib::config::object::{Account, Priority};
use sardinepick_lib::hash::Digest;
use sardinepick_lib::id::{Name, RequestId};
use sardinepick_lib::unit::RequestRate;

use super::figure::Figure;

const ACCOUNTS: usize = 6800;
/// One account in so many asks this many times as often as the others.
const GREEDY_EVERY: usize = 100;
const GREEDY: usize = 12;
const PLACES: u32 = 400;
const DEADLINE: Duration = Duration::from_secs(10);
const SPAN: Duration = Duration::from_secs(60);

/// A request that a caller makes, and makes again when it is told when to come back.
#[derive(Clone, Debug)]
struct Ask {
    account: usize,
    cost: Duration,
    deadline: Instant,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum What {
    Arrive(usize),
    End(u64),
    Tick,
}

struct Outcome {
    answered_in_time: u64,
    wasted: f64,
    fairness: f64,
    second_wave: f64,
    refused_late: u64,
}

/// What callers ask in the wake-up: all in one second, most once, some many times.
fn asks(rng: &mut StdRng, start: Instant) -> Vec<(Instant, Ask)> {
    let mut asks = Vec::new();
    for account in 0..ACCOUNTS {
        let times = if account % GREEDY_EVERY == 0 { GREEDY } else { 1 };
        for _ in 0..times {
            let at = start + Duration::from_secs_f64(rng.random::<f64>());
            let long = rng.random_bool(0.2);
            let cost = if long { rng.random_range(2.0..6.0) } else { rng.random_range(0.2..1.2) };
            let cost = Duration::from_secs_f64(cost);
            asks.push((at, Ask { account, cost, deadline: at + DEADLINE }));
        }
    }
    asks
}

fn account(at: usize) -> Account {
    Account {
        name: name(at),
        key: Digest::default(),
        rate: RequestRate(100),
        burst: 100,
        concurrency: 100,
        priority: Priority::Normal,
        weight: 1,
    }
}

fn name(at: usize) -> Name {
    format!("account-{at}").parse().expect("letters and digits make a name")
}

/// Jain's index of the answers per account that asked: 1 when all have the same, towards nought
/// when one has all.
fn fairness(answers: &BTreeMap<usize, u64>) -> f64 {
    let counts = (0..ACCOUNTS).map(|a| answers.get(&a).copied().unwrap_or(0) as f64);
    let (sum, squares) = counts.fold((0.0, 0.0), |(s, q), c| (s + c, q + c * c));
    sum * sum / (ACCOUNTS as f64 * squares)
}

/// The gate as it is: what cannot be on time is refused at once and comes back when told.
fn with_gate() -> Outcome {
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(5);
    let mut gate =
        AdmissionQueue::new(Limits { max_concurrent: PLACES, max_queued: 100_000, share: 1000 });
    let mut asked: Vec<Ask> = Vec::new();
    let mut events: BinaryHeap<Reverse<(Instant, What)>> = BinaryHeap::new();
    for (at, ask) in asks(&mut rng, start) {
        events.push(Reverse((at, What::Arrive(asked.len()))));
        asked.push(ask);
    }
    let first_wave = asked.len();
    let mut tick = start;
    while tick < start + SPAN {
        events.push(Reverse((tick, What::Tick)));
        tick += Duration::from_millis(50);
    }
    let mut under_way: HashMap<u64, (usize, Instant)> = HashMap::new();
    let mut answers: BTreeMap<usize, u64> = BTreeMap::new();
    let mut returns: BTreeMap<u64, u64> = BTreeMap::new();
    let (mut answered, mut wasted, mut refused_late) = (0, 0.0, 0);
    while let Some(Reverse((now, what))) = events.pop() {
        if now >= start + SPAN {
            break;
        }
        match what {
            What::Arrive(at) => {
                let ask = asked[at].clone();
                let offer = AdmissionRequest {
                    id: RequestId(at as u64),
                    account: name(ask.account),
                    priority: Priority::Normal,
                    deadline: ask.deadline,
                    cost: ask.cost,
                };
                match gate.submit(now, &account(ask.account), offer, rng.random()) {
                    Decision::Start => {
                        under_way.insert(at as u64, (at, now));
                        events.push(Reverse((now + ask.cost, What::End(at as u64))));
                    }
                    Decision::Wait => {}
                    Decision::Refuse(refusal) => {
                        let back = now + refusal.retry_after;
                        *returns.entry((back - start).as_secs()).or_default() += 1;
                    }
                }
            }
            What::End(id) => {
                let (at, began) = under_way.remove(&id).expect("only what began ends");
                let ask = &asked[at];
                gate.end(&name(ask.account), ask.cost, Some(now - began));
                if now <= ask.deadline {
                    answered += 1;
                    *answers.entry(ask.account).or_default() += 1;
                } else {
                    wasted += ask.cost.as_secs_f64();
                }
            }
            What::Tick => {}
        }
        for event in gate.next(now, || rng.random()) {
            match event {
                Event::Start(RequestId(id)) => {
                    let cost = asked[id as usize].cost;
                    under_way.insert(id, (id as usize, now));
                    events.push(Reverse((now + cost, What::End(id))));
                }
                Event::Refuse(RequestId(id), refusal) => {
                    if now > asked[id as usize].deadline {
                        refused_late += 1;
                    }
                    let back = now + refusal.retry_after;
                    *returns.entry((back - start).as_secs()).or_default() += 1;
                }
            }
        }
    }
    let largest = returns.values().max().copied().unwrap_or(0);
    Outcome {
        answered_in_time: answered,
        wasted,
        fairness: fairness(&answers),
        second_wave: largest as f64 / first_wave as f64,
        refused_late,
    }
}

/// The naive versions: a queue in order of arrival that refuses nothing, and one that starts
/// everything at once and lets the work share the places.
fn first_come(unlimited: bool) -> Outcome {
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(5);
    let mut asked = asks(&mut rng, start);
    asked.sort_by_key(|(at, _)| *at);
    let mut answers: BTreeMap<usize, u64> = BTreeMap::new();
    let (mut answered, mut wasted) = (0, 0.0);
    let mut places: BinaryHeap<Reverse<Instant>> =
        std::iter::repeat_n(Reverse(start), PLACES as usize).collect();
    let total: f64 = asked.iter().map(|(_, a)| a.cost.as_secs_f64()).sum();
    for (at, ask) in &asked {
        let end = if unlimited {
            // Shared evenly, everything slows by the same factor, so nothing ends before the rest
            // has had as much.
            let shared = ask.cost.as_secs_f64().min(total / f64::from(PLACES));
            let slowed = shared * asked.len() as f64 / f64::from(PLACES);
            *at + Duration::from_secs_f64(slowed)
        } else {
            let Reverse(free) = places.pop().expect("there are places");
            let end = free.max(*at) + ask.cost;
            places.push(Reverse(end));
            end
        };
        if end <= ask.deadline {
            answered += 1;
            *answers.entry(ask.account).or_default() += 1;
        } else {
            wasted += ask.cost.as_secs_f64();
        }
    }
    Outcome {
        answered_in_time: answered,
        wasted,
        fairness: fairness(&answers),
        second_wave: 0.0,
        refused_late: 0,
    }
}

/// What an oracle could answer at the most that knows all requests beforehand: the cheapest ones
/// until the places have no time left.
fn bound() -> f64 {
    let mut rng = StdRng::seed_from_u64(5);
    let mut costs: Vec<f64> =
        asks(&mut rng, Instant::now()).iter().map(|(_, a)| a.cost.as_secs_f64()).collect();
    costs.sort_by(f64::total_cmp);
    let mut left = f64::from(PLACES) * (DEADLINE + ARRIVAL).as_secs_f64();
    let fits = costs.iter().take_while(|cost| {
        left -= **cost;
        left >= 0.0
    });
    fits.count() as f64
}

/// The time in which all callers wake.
const ARRIVAL: Duration = Duration::from_secs(1);

/// The figures.
pub fn measure() -> Vec<Figure> {
    let ways =
        [("gate", with_gate()), ("first_come", first_come(false)), ("unlimited", first_come(true))];
    let mut figures = vec![Figure::new("wake.bound.answered_in_time", bound())];
    for (label, outcome) in ways {
        let base = format!("wake.{label}");
        let answered = outcome.answered_in_time as f64;
        figures.push(Figure::new(format!("{base}.answered_in_time"), answered));
        figures.push(Figure::new(format!("{base}.wasted_place_s"), outcome.wasted));
        figures.push(Figure::new(format!("{base}.fairness"), outcome.fairness));
        if label == "gate" {
            let base = "wake.gate";
            figures.push(Figure::new(format!("{base}.largest_return"), outcome.second_wave));
            let late = outcome.refused_late as f64;
            figures.push(Figure::new(format!("{base}.refused_after_deadline"), late));
        }
    }
    figures
}
