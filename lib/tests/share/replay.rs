//! Replays an overload of a pool without a network: arrivals by account and kind, and runners that
//! prefill one prompt at a time. Times are in seconds.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use sardinepick_lib::fleet::share::{Cost, Runner, Usage};

/// Prefill runners of a pool, with the capacity of those of reference load A.
pub const RUNNERS: usize = 12;
const RUNNER: Runner = Runner { slots: 64, memory: 427_752 };
const OUTPUT: f64 = 64.0;
const STEP: f64 = 0.006;

/// A kind of request of reference load A: mean prompt tokens, objective, share of requests.
/// The index is the rank of the route.
const KINDS: [(f64, f64, f64); 3] =
    [(1_460.0, 0.5, 34.0), (9_200.0, 1.5, 37.0), (17_000.0, 0.8, 30.0)];

/// One request.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    pub number: usize,
    pub account: usize,
    pub kind: usize,
    pub arrival: f64,
    pub prefill: f64,
    /// When it must have started to be on time, and to be useful.
    pub due: f64,
    pub latest_start: f64,
    pub tokens: f64,
    /// The cost that is announced.
    pub announced: Cost,
    /// The cost that is used.
    pub used: Cost,
}

/// What is replayed.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub accounts: usize,
    pub seconds: f64,
    /// The demand in relation to the capacity.
    pub factor: f64,
    /// Whether kinds alternate and bursts occur as in the reference load.
    pub uneven: bool,
    /// An account whose demand is that many even shares from a third to two thirds of the time.
    pub burst: Option<(usize, f64)>,
    /// An account that announces this fraction of its costs.
    pub falsehood: Option<(usize, f64)>,
    pub exponent: f64,
    pub seed: u64,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            accounts: 74,
            seconds: 600.0,
            factor: 1.5,
            uneven: false,
            burst: None,
            falsehood: None,
            exponent: 1.2,
            seed: 1,
        }
    }
}

fn prefill(tokens: f64) -> f64 {
    let pairs = tokens * tokens / 2.0 / 1e6;
    0.022 + tokens / 36_700.0 + (tokens / 2_048.0).ceil() * 0.004_34 + pairs * 0.000_248
}

fn mean_prefill() -> f64 {
    let all: f64 = KINDS.iter().map(|kind| kind.2).sum();
    KINDS.iter().map(|kind| prefill(kind.0) * kind.2).sum::<f64>() / all
}

/// Whether all kinds burst at a time, in an uneven load.
pub fn in_burst(at: f64) -> bool {
    at % 20.0 < 5.0
}

impl Load {
    /// The cumulative distribution of requests over accounts.
    fn shares(&self) -> Vec<f64> {
        let weights = (1..=self.accounts).map(|rank| (rank as f64).powf(-self.exponent));
        let mut sum = 0.0;
        let mut shares: Vec<f64> = weights
            .map(|weight| {
                sum += weight;
                sum
            })
            .collect();
        shares.iter_mut().for_each(|share| *share /= sum);
        shares
    }

    /// The demand for a kind at a time, relative to its mean.
    fn swing(&self, kind: usize, at: f64) -> f64 {
        if !self.uneven {
            return 1.0;
        }
        let phase = kind as f64 / KINDS.len() as f64;
        let wave = |period: f64| (std::f64::consts::TAU * (at / period + phase)).sin();
        let swing = (1.0 + 0.45 * wave(2.8) + 0.45 * wave(15.0)).max(0.5);
        swing * if in_burst(at) { 2.0 } else { 2.0 / 3.0 }
    }

    /// All requests, by arrival.
    pub fn jobs(&self) -> Vec<Job> {
        let mut rng = StdRng::seed_from_u64(self.seed);
        let shares = self.shares();
        let rate = self.factor * RUNNERS as f64 / mean_prefill();
        let mut jobs = Vec::new();
        let (top, all) = (4.0, KINDS.iter().map(|kind| kind.2).sum::<f64>());
        for (kind, spec) in KINDS.iter().enumerate() {
            let mut at = 0.0;
            loop {
                at -= (1.0 - rng.random::<f64>()).ln() / (rate * top * spec.2 / all);
                if at >= self.seconds {
                    break;
                }
                let draw: f64 = rng.random();
                if rng.random::<f64>() * top < self.swing(kind, at) {
                    let account = shares.partition_point(|share| *share < draw);
                    jobs.push(self.job(account, kind, at, &mut rng));
                }
            }
        }
        self.add_burst(&mut jobs, &mut rng);
        jobs.sort_by(|a, b| a.arrival.total_cmp(&b.arrival));
        jobs.iter_mut().enumerate().for_each(|(number, job)| job.number = number);
        jobs
    }

    fn add_burst(&self, jobs: &mut Vec<Job>, rng: &mut StdRng) {
        let Some((account, shares)) = self.burst else { return };
        let (mut at, end) = (self.seconds / 3.0, self.seconds * 2.0 / 3.0);
        let rate = shares * RUNNERS as f64 / mean_prefill() / self.accounts as f64;
        while at < end {
            at -= (1.0 - rng.random::<f64>()).ln() / rate;
            let kind = rng.random_range(0..KINDS.len());
            jobs.push(self.job(account, kind, at, rng));
        }
    }

    fn job(&self, account: usize, kind: usize, at: f64, rng: &mut StdRng) -> Job {
        let (mean, objective, _) = KINDS[kind];
        let tokens = mean * rng.random_range(0.7..1.3);
        let prefill = prefill(tokens) * rng.random_range(0.9..1.1);
        let decode = OUTPUT * STEP;
        let used = Usage { prefill, decode, memory: tokens * decode }.cost(RUNNER);
        let truth = match self.falsehood {
            Some((liar, part)) if liar == account => part,
            _ => 1.0,
        };
        Job {
            number: 0,
            account,
            kind,
            arrival: at,
            prefill,
            due: at + objective * 0.9 - prefill,
            // A caller waits for 2 s or four objectives without receiving anything.
            latest_start: at + (objective * 4.0).max(2.0) * 0.85 - prefill,
            tokens,
            announced: Cost::from_secs(used.secs() * truth),
            used,
        }
    }
}

/// An order in which jobs are started.
pub trait Policy {
    fn submit(&mut self, job: Job, now: f64);
    /// The next job for a runner, of those that can still start in time.
    fn next(&mut self, runner: usize, now: f64) -> Option<Job>;
    /// A job has ended.
    fn end(&mut self, job: &Job, now: f64);
    /// Whether work waits that could still start in time.
    fn waits(&mut self, now: f64) -> bool;
}

/// What one account asked for and got.
#[derive(Clone, Copy, Debug, Default)]
pub struct Service {
    pub requests: [u32; 3],
    pub served: [u32; 3],
    pub on_time: [u32; 3],
    pub demand: f64,
    pub used: f64,
}

impl Service {
    pub fn part(&self) -> f64 {
        self.used / self.demand.max(1e-9)
    }
}

/// The outcome of a replay.
pub struct Outcome {
    pub accounts: HashMap<usize, Service>,
    /// The time of idle runners while work waited, of the whole.
    pub idle: f64,
}

/// Replays `jobs`, of which those that arrive at times that `counts` are counted.
pub fn replay(jobs: &[Job], policy: &mut dyn Policy, counts: impl Fn(f64) -> bool) -> Outcome {
    let mut outcome = Outcome { accounts: HashMap::new(), idle: 0.0 };
    let mut free: Vec<usize> = (0..RUNNERS).collect();
    // Ends of prefills (runner) and of whole jobs, in microseconds.
    let mut prefills: BinaryHeap<Reverse<(u64, usize)>> = BinaryHeap::new();
    let mut ends: BinaryHeap<Reverse<(u64, usize)>> = BinaryHeap::new();
    let micros = |at: f64| (at * 1e6) as u64;
    let (mut arrivals, mut now) = (jobs.iter().peekable(), 0.0_f64);
    let mut idle = 0.0;
    loop {
        let arrival = arrivals.peek().map_or(f64::INFINITY, |job| job.arrival);
        let prefill = prefills.peek().map_or(f64::INFINITY, |Reverse((at, _))| *at as f64 / 1e6);
        let end = ends.peek().map_or(f64::INFINITY, |Reverse((at, _))| *at as f64 / 1e6);
        let next = arrival.min(prefill).min(end);
        if next.is_infinite() {
            break;
        }
        if !free.is_empty() && policy.waits(now) {
            idle += (next - now).max(0.0) * free.len() as f64;
        }
        now = now.max(next);
        if next == arrival {
            let job = *arrivals.next().expect("peeked");
            if counts(job.arrival) {
                let service = outcome.accounts.entry(job.account).or_default();
                service.requests[job.kind] += 1;
                service.demand += job.used.secs();
            }
            policy.submit(job, now);
        } else if next == prefill {
            let Reverse((_, runner)) = prefills.pop().expect("peeked");
            free.push(runner);
        } else {
            let Reverse((_, number)) = ends.pop().expect("peeked");
            policy.end(&jobs[number], now);
        }
        let mut still = Vec::new();
        while let Some(runner) = free.pop() {
            let Some(job) = policy.next(runner, now) else {
                still.push(runner);
                continue;
            };
            prefills.push(Reverse((micros(now + job.prefill), runner)));
            ends.push(Reverse((micros(now + job.prefill + OUTPUT * STEP), job.number)));
            if counts(job.arrival) {
                let service = outcome.accounts.get_mut(&job.account).expect("counted at arrival");
                service.served[job.kind] += 1;
                service.on_time[job.kind] += u32::from(now <= job.due);
                service.used += job.used.secs();
            }
        }
        free = still;
    }
    outcome.idle = idle / (now * RUNNERS as f64);
    outcome
}

impl Outcome {
    fn total(&self) -> f64 {
        self.accounts.values().map(|service| service.used).sum()
    }

    /// The even share of what was served.
    fn even_share(&self) -> f64 {
        self.total() / self.accounts.len() as f64
    }

    /// What accounts get at most if unused share goes to the others (max-min fairness).
    fn water_level(&self) -> f64 {
        let mut demands: Vec<f64> = self.accounts.values().map(|service| service.demand).collect();
        demands.sort_by(f64::total_cmp);
        let mut left = self.total();
        for (at, demand) in demands.iter().enumerate() {
            let level = left / (demands.len() - at) as f64;
            if *demand > level {
                return level;
            }
            left -= demand;
        }
        f64::INFINITY
    }

    /// The served part of the demand of all accounts within the even share, and the lowest among
    /// those with at least 60 requests.
    pub fn within_share(&self) -> (f64, f64) {
        let even = self.even_share();
        let within = self.accounts.values().filter(|service| service.demand <= even);
        let (mut used, mut demand, mut least) = (0.0, 0.0, 1.0_f64);
        for service in within {
            used += service.used;
            demand += service.demand;
            if service.requests.iter().sum::<u32>() >= 60 {
                least = least.min(service.part());
            }
        }
        (used / demand, least)
    }

    /// Jain's index of what the accounts with more demand than the even share got, each in relation
    /// to the lesser of its demand and the water level.
    pub fn jain(&self) -> f64 {
        let even = self.even_share();
        jain(self.entitled().filter(|(service, _)| service.demand > even).map(|(_, part)| part))
    }

    /// Jain's index of what the accounts whose demand exceeds the water level got.
    pub fn jain_of_capped(&self) -> f64 {
        let level = self.water_level();
        jain(self.accounts.values().filter(|s| s.demand > level).map(|s| s.used))
    }

    /// What each account got of what it is entitled to.
    fn entitled(&self) -> impl Iterator<Item = (&Service, f64)> {
        let level = self.water_level();
        self.accounts.values().map(move |s| (s, s.used / s.demand.min(level)))
    }

    /// The mean of the worst tenth of accounts in relation to that of all, each by what it got of
    /// what it is entitled to.
    pub fn worst_tenth(&self) -> f64 {
        let mut parts: Vec<f64> = self.entitled().map(|(_, part)| part).collect();
        parts.sort_by(f64::total_cmp);
        let tenth = parts.len().div_ceil(10);
        mean(&parts[..tenth]) / mean(&parts)
    }

    /// By how much an account's more urgent kind was served worse than a less urgent one: the
    /// largest difference among accounts with at least 60 requests of each kind.
    pub fn inversion(&self) -> f64 {
        let many = self.accounts.values().filter(|s| s.requests.iter().all(|count| *count >= 60));
        many.map(Service::inversion).fold(0.0, f64::max)
    }

    /// The part of requests that are served, and on time, by kind.
    pub fn by_kind(&self) -> ([f64; 3], [f64; 3]) {
        let sum = |of: fn(&Service) -> &[u32; 3], kind: usize| -> f64 {
            self.accounts.values().map(|service| f64::from(of(service)[kind])).sum()
        };
        let part = |of, kind| sum(of, kind) / sum(|s| &s.requests, kind).max(1.0);
        let served = std::array::from_fn(|kind| part(|s| &s.served, kind));
        (served, std::array::from_fn(|kind| part(|s| &s.on_time, kind)))
    }
}

impl Service {
    fn inversion(&self) -> f64 {
        let part = |kind: usize| f64::from(self.served[kind]) / f64::from(self.requests[kind]);
        (part(1).max(part(2)) - part(0)).max(0.0)
    }
}

fn mean(parts: &[f64]) -> f64 {
    parts.iter().sum::<f64>() / parts.len().max(1) as f64
}

fn jain(parts: impl Iterator<Item = f64>) -> f64 {
    let parts: Vec<f64> = parts.collect();
    let squares: f64 = parts.iter().map(|part| part * part).sum();
    let sum: f64 = parts.iter().sum();
    if squares == 0.0 { 1.0 } else { sum * sum / (parts.len() as f64 * squares) }
}
