//! A simulation of the hourly burst: thousands of callers within one second, of which the fleet can
//! serve only some before their deadline.

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
/// One account in this many is greedy.
const GREEDY_EVERY: usize = 100;
/// The number of requests of a greedy account; other accounts send one.
const GREEDY_REQUESTS: usize = 12;
const PLACES: u32 = 400;
const DEADLINE: Duration = Duration::from_secs(10);
const SIMULATED_TIME: Duration = Duration::from_secs(60);

/// A request of a caller.
#[derive(Clone, Debug)]
struct Request {
    account: usize,
    cost: Duration,
    deadline: Instant,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Step {
    Arrive(usize),
    End(u64),
    Tick,
}

struct Outcome {
    answered_in_time: u64,
    wasted_seconds: f64,
    fairness: f64,
    largest_retry_wave: f64,
    refused_late: u64,
}

/// The requests of the burst with their arrival times: one from most accounts, many from greedy ones.
fn draw_requests(rng: &mut StdRng, start: Instant) -> Vec<(Instant, Request)> {
    let mut requests = Vec::new();
    for account in 0..ACCOUNTS {
        let times = if account % GREEDY_EVERY == 0 { GREEDY_REQUESTS } else { 1 };
        for _ in 0..times {
            let at = start + Duration::from_secs_f64(rng.random::<f64>());
            let long = rng.random_bool(0.2);
            let cost = if long { rng.random_range(2.0..6.0) } else { rng.random_range(0.2..1.2) };
            let cost = Duration::from_secs_f64(cost);
            requests.push((at, Request { account, cost, deadline: at + DEADLINE }));
        }
    }
    requests
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

/// Jain's fairness index of the responses per account: 1 if all accounts got the same number, close to
/// 0 if one account got all.
fn fairness(answers: &BTreeMap<usize, u64>) -> f64 {
    let counts = (0..ACCOUNTS).map(|a| answers.get(&a).copied().unwrap_or(0) as f64);
    let (sum, squares) = counts.fold((0.0, 0.0), |(s, q), c| (s + c, q + c * c));
    sum * sum / (ACCOUNTS as f64 * squares)
}

/// Admission by the real gate, which refuses requests that cannot be answered in time and names a
/// retry time.
fn with_gate() -> Outcome {
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(5);
    let mut gate =
        AdmissionQueue::new(Limits { max_concurrent: PLACES, max_queued: 100_000, share: 1000 });
    let mut requests: Vec<Request> = Vec::new();
    let mut events: BinaryHeap<Reverse<(Instant, Step)>> = BinaryHeap::new();
    for (at, request) in draw_requests(&mut rng, start) {
        events.push(Reverse((at, Step::Arrive(requests.len()))));
        requests.push(request);
    }
    let first_wave = requests.len();
    let mut tick = start;
    while tick < start + SIMULATED_TIME {
        events.push(Reverse((tick, Step::Tick)));
        tick += Duration::from_millis(50);
    }
    let mut running: HashMap<u64, (usize, Instant)> = HashMap::new();
    let mut answers: BTreeMap<usize, u64> = BTreeMap::new();
    let mut retries: BTreeMap<u64, u64> = BTreeMap::new();
    let (mut answered, mut wasted_seconds, mut refused_late) = (0, 0.0, 0);
    while let Some(Reverse((now, step))) = events.pop() {
        if now >= start + SIMULATED_TIME {
            break;
        }
        match step {
            Step::Arrive(at) => {
                let request = requests[at].clone();
                let offer = AdmissionRequest {
                    id: RequestId(at as u64),
                    account: name(request.account),
                    priority: Priority::Normal,
                    deadline: request.deadline,
                    cost: request.cost,
                };
                match gate.submit(now, &account(request.account), offer, rng.random()) {
                    Decision::Start => {
                        running.insert(at as u64, (at, now));
                        events.push(Reverse((now + request.cost, Step::End(at as u64))));
                    }
                    Decision::Wait => {}
                    Decision::Refuse(refusal) => {
                        let retry_at = now + refusal.retry_after;
                        *retries.entry((retry_at - start).as_secs()).or_default() += 1;
                    }
                }
            }
            Step::End(id) => {
                let (at, started) = running.remove(&id).expect("only started requests end");
                let request = &requests[at];
                gate.end(&name(request.account), request.cost, Some(now - started));
                if now <= request.deadline {
                    answered += 1;
                    *answers.entry(request.account).or_default() += 1;
                } else {
                    wasted_seconds += request.cost.as_secs_f64();
                }
            }
            Step::Tick => {}
        }
        for event in gate.next(now, || rng.random()) {
            match event {
                Event::Start(RequestId(id)) => {
                    let cost = requests[id as usize].cost;
                    running.insert(id, (id as usize, now));
                    events.push(Reverse((now + cost, Step::End(id))));
                }
                Event::Refuse(RequestId(id), refusal) => {
                    if now > requests[id as usize].deadline {
                        refused_late += 1;
                    }
                    let retry_at = now + refusal.retry_after;
                    *retries.entry((retry_at - start).as_secs()).or_default() += 1;
                }
            }
        }
    }
    let largest = retries.values().max().copied().unwrap_or(0);
    Outcome {
        answered_in_time: answered,
        wasted_seconds,
        fairness: fairness(&answers),
        largest_retry_wave: largest as f64 / first_wave as f64,
        refused_late,
    }
}

/// Naive admission: a FIFO queue that refuses nothing or, with `unlimited`, an immediate start of all
/// requests, which share the capacity.
fn without_gate(unlimited: bool) -> Outcome {
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(5);
    let mut requests = draw_requests(&mut rng, start);
    requests.sort_by_key(|(at, _)| *at);
    let mut answers: BTreeMap<usize, u64> = BTreeMap::new();
    let (mut answered, mut wasted_seconds) = (0, 0.0);
    let mut places: BinaryHeap<Reverse<Instant>> =
        std::iter::repeat_n(Reverse(start), PLACES as usize).collect();
    let total: f64 = requests.iter().map(|(_, a)| a.cost.as_secs_f64()).sum();
    for (at, request) in &requests {
        let end = if unlimited {
            // With even sharing, all requests slow down by the same factor, so none ends before the
            // others have had as much capacity.
            let shared = request.cost.as_secs_f64().min(total / f64::from(PLACES));
            let slowed = shared * requests.len() as f64 / f64::from(PLACES);
            *at + Duration::from_secs_f64(slowed)
        } else {
            let Reverse(free_at) = places.pop().expect("the number of places is positive");
            let end = free_at.max(*at) + request.cost;
            places.push(Reverse(end));
            end
        };
        if end <= request.deadline {
            answered += 1;
            *answers.entry(request.account).or_default() += 1;
        } else {
            wasted_seconds += request.cost.as_secs_f64();
        }
    }
    Outcome {
        answered_in_time: answered,
        wasted_seconds,
        fairness: fairness(&answers),
        largest_retry_wave: 0.0,
        refused_late: 0,
    }
}

/// An upper bound on the requests answered in time, reached by serving the cheapest requests until the
/// capacity is used up.
fn upper_bound() -> f64 {
    let mut rng = StdRng::seed_from_u64(5);
    let mut costs: Vec<f64> =
        draw_requests(&mut rng, Instant::now()).iter().map(|(_, a)| a.cost.as_secs_f64()).collect();
    costs.sort_by(f64::total_cmp);
    let mut remaining = f64::from(PLACES) * (DEADLINE + BURST_DURATION).as_secs_f64();
    let fits = costs.iter().take_while(|cost| {
        remaining -= **cost;
        remaining >= 0.0
    });
    fits.count() as f64
}

/// The duration of the burst.
const BURST_DURATION: Duration = Duration::from_secs(1);

/// The figures about the burst.
pub fn measure() -> Vec<Figure> {
    let strategies = [
        ("gate", with_gate()),
        ("first_come", without_gate(false)),
        ("unlimited", without_gate(true)),
    ];
    let mut figures = vec![Figure::new("wake.bound.answered_in_time", upper_bound())];
    for (label, outcome) in strategies {
        let base = format!("wake.{label}");
        let answered = outcome.answered_in_time as f64;
        figures.push(Figure::new(format!("{base}.answered_in_time"), answered));
        figures.push(Figure::new(format!("{base}.wasted_place_s"), outcome.wasted_seconds));
        figures.push(Figure::new(format!("{base}.fairness"), outcome.fairness));
        if label == "gate" {
            let base = "wake.gate";
            figures.push(Figure::new(format!("{base}.largest_return"), outcome.largest_retry_wave));
            let late = outcome.refused_late as f64;
            figures.push(Figure::new(format!("{base}.refused_after_deadline"), late));
        }
    }
    figures
}
