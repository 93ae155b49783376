//! A fluid simulation of engine roles under shifting workloads. The arrivals of a step form one batch,
//! which needs prefill work and then decode work before its deadline.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use sardinepick_lib::config::object::Role;
use sardinepick_lib::role::{
    Change, ChangeCost, Demand, Engine, Estimate, MIXED_EFFICIENCY, RoleCounts, decide,
};

/// The simulation step in seconds.
pub const STEP: f64 = 0.25;

/// The deadline of a request in seconds.
const DEADLINE: f64 = 20.0;

/// The minimum time for the output of a request in seconds.
const MIN_OUTPUT_TIME: f64 = 2.0;

/// The interval between role decisions in seconds.
pub const DECISION_INTERVAL: f64 = 5.0;

/// The total work of one request in engine seconds.
const REQUEST_WORK: f64 = 0.4;

/// A workload of a fleet.
#[derive(Clone, Debug)]
pub struct Workload {
    /// The name, as it appears in figures.
    pub name: &'static str,
    /// The duration in seconds.
    pub duration: f64,
    /// The duration of a role change in seconds, during which the engine is unavailable.
    pub away: f64,
    /// The delay of demand reports in seconds.
    pub report_delay: f64,
    /// The time in seconds at which engines fail, and the fraction that fails.
    pub loss: Option<(f64, f64)>,
    /// Maps a time in seconds to the load, as a fraction of all engines, and the prefill share of it.
    pub shape: fn(f64) -> (f64, f64),
}

fn swing(time: f64, period: f64) -> f64 {
    // Plateaus with short ramps, as when one kind of request replaces another.
    let phase = (time / period).fract();
    let ramp = 0.05;
    let (low, high) = (0.18, 0.62);
    match phase {
        p if p < 0.5 - ramp => low,
        p if p < 0.5 => low + (high - low) * (p - 0.5 + ramp) / ramp,
        p if p < 1.0 - ramp => high,
        p => high - (high - low) * (p - 1.0 + ramp) / ramp,
    }
}

/// All measured workloads.
pub fn all() -> Vec<Workload> {
    let workload = |name, shape| Workload {
        name,
        duration: 1200.0,
        away: 10.0,
        report_delay: 1.0,
        loss: None,
        shape,
    };
    vec![
        workload("steady", |_| (0.95, 0.29)),
        workload("swing", |t| (0.93, swing(t, 480.0))),
        workload("quick_swing", |t| (0.93, swing(t, 180.0))),
        workload("wake", |t| {
            let since = t % 600.0;
            if since < 60.0 { (1.5, 0.55) } else { (0.75, 0.25) }
        }),
        workload("day", |t| (0.93, 0.29 + 0.145 * (t / 1200.0 * std::f64::consts::TAU).sin())),
        Workload { loss: Some((500.0, 0.12)), ..workload("loss", |t| (0.85, swing(t, 480.0))) },
        Workload { report_delay: 10.0, ..workload("late_reports", |t| (0.93, swing(t, 480.0))) },
        Workload { away: 2.0, ..workload("away_2s", |t| (0.93, swing(t, 480.0))) },
        Workload { away: 30.0, ..workload("away_30s", |t| (0.93, swing(t, 480.0))) },
    ]
}

/// Requests that arrived in the same step.
#[derive(Clone, Copy, Debug)]
struct Batch {
    deadline: f64,
    /// The number of requests.
    count: f64,
    /// Prefill and decode work of one request in engine seconds.
    prefill: f64,
    decode: f64,
}

#[derive(Clone, Copy, Debug)]
struct EngineState {
    role: Role,
    away_until: f64,
    failed: bool,
    changed: Option<f64>,
}

/// A simulated fleet with its queues.
#[derive(Clone, Debug)]
pub struct Fleet {
    time: f64,
    states: Vec<EngineState>,
    prompts: VecDeque<Batch>,
    outputs: VecDeque<Batch>,
    /// The number of requests answered in time.
    pub answered: f64,
    /// The number of role changes.
    pub changes: u32,
    /// The total duration of role changes in engine seconds.
    pub away: f64,
    /// The number of requests received.
    pub received: f64,
}

impl Fleet {
    /// Creates a fleet whose division of roles suits the steady workload.
    pub fn new(engines: usize) -> Self {
        let prefill = (engines as f64 * 0.29).round() as usize;
        let role = |at| if at < prefill { Role::Prefill } else { Role::Decode };
        let state =
            |at| EngineState { role: role(at), away_until: 0.0, failed: false, changed: None };
        Self {
            time: 0.0,
            states: (0..engines).map(state).collect(),
            prompts: VecDeque::new(),
            outputs: VecDeque::new(),
            answered: 0.0,
            changes: 0,
            away: 0.0,
            received: 0.0,
        }
    }

    /// The simulated time in seconds.
    pub fn time(&self) -> f64 {
        self.time
    }

    /// The division of the running engines by role.
    pub fn division(&self) -> RoleCounts {
        let mut division = RoleCounts::default();
        for state in self.states.iter().filter(|p| !p.failed) {
            match state.role {
                Role::Prefill => division.prefill += 1,
                Role::Decode => division.decode += 1,
                Role::Mixed => division.mixed += 1,
            }
        }
        division
    }

    /// The queued prefill and decode work in engine seconds.
    pub fn waiting(&self) -> Demand {
        Demand {
            prefill: self.prompts.iter().map(|b| b.count * b.prefill).sum(),
            decode: self.outputs.iter().map(|b| b.count * b.decode).sum(),
        }
    }

    /// The engines as input to the role decision.
    pub fn engines(&self, start: Instant) -> Vec<Engine> {
        let engine = |(at, state): (usize, &EngineState)| Engine {
            at,
            role: state.role,
            changing: state.away_until > self.time,
            leaving: state.failed,
            changed: state.changed.map(|t| start + Duration::from_secs_f64(t)),
        };
        self.states.iter().enumerate().map(engine).collect()
    }

    /// Applies role changes, each of which takes `away` seconds.
    pub fn change(&mut self, changes: &[Change], away: f64) {
        for change in changes {
            let state = &mut self.states[change.at];
            state.role = change.to;
            state.away_until = self.time + away;
            state.changed = Some(self.time);
            self.changes += 1;
            self.away += away;
        }
    }

    /// Changes the first suitable engines to reach a division.
    pub fn move_to(&mut self, target: RoleCounts, away: f64) {
        let mut changes = Vec::new();
        let mut now = self.division();
        for (at, state) in self.states.iter().enumerate().filter(|(_, p)| !p.failed) {
            if now.of(state.role) <= target.of(state.role) {
                continue;
            }
            let roles = [Role::Prefill, Role::Decode, Role::Mixed];
            let Some(to) = roles.into_iter().find(|r| now.of(*r) < target.of(*r)) else { break };
            now = now.changed(state.role, to);
            changes.push(Change { at, to });
        }
        self.change(&changes, away);
    }

    /// Makes a fraction of the engines fail, spread over the roles.
    fn fail_engines(&mut self, part: f64) {
        let count = (self.states.len() as f64 * part).ceil() as usize;
        let step = self.states.len() / count;
        for state in self.states.iter_mut().step_by(step).take(count) {
            state.failed = true;
        }
    }

    /// Simulates one step with its arrivals.
    fn step(&mut self, arriving: Batch) {
        self.received += arriving.count;
        self.prompts.push_back(arriving);
        let mut capacity = [0.0; 3];
        for state in self.states.iter().filter(|p| !p.failed && p.away_until <= self.time) {
            capacity[state.role as usize] += STEP;
        }
        let [mut prefill, mut decode, mut mixed] = capacity;
        mixed *= MIXED_EFFICIENCY;
        self.drop_late(decode + mixed);
        self.run_decode(&mut decode);
        self.run_decode(&mut mixed);
        self.run_prefill(&mut prefill);
        self.run_prefill(&mut mixed);
        self.run_decode(&mut decode);
        self.run_decode(&mut mixed);
        self.time += STEP;
    }

    /// Drops requests that can no longer be answered in time, regardless of the role strategy.
    fn drop_late(&mut self, output_capacity: f64) {
        let time = self.time;
        let waiting = self.waiting().decode;
        let wait = waiting / (output_capacity / STEP).max(0.1);
        let expired = |b: &Batch| time + wait + MIN_OUTPUT_TIME > b.deadline;
        while self.prompts.front().is_some_and(expired) {
            self.prompts.pop_front();
        }
        while self.outputs.front().is_some_and(|b| time > b.deadline) {
            self.outputs.pop_front();
        }
    }

    fn run_prefill(&mut self, capacity: &mut f64) {
        while let Some(batch) = self.prompts.front_mut() {
            let fits = (*capacity / batch.prefill).min(batch.count);
            if fits <= 1e-9 {
                return;
            }
            *capacity -= fits * batch.prefill;
            let done = Batch { count: fits, ..*batch };
            batch.count -= fits;
            if batch.count <= 1e-9 {
                self.prompts.pop_front();
            }
            self.outputs.push_back(done);
        }
    }

    fn run_decode(&mut self, capacity: &mut f64) {
        while let Some(batch) = self.outputs.front_mut() {
            let fits = (*capacity / batch.decode).min(batch.count);
            if fits <= 1e-9 {
                return;
            }
            *capacity -= fits * batch.decode;
            batch.count -= fits;
            if batch.deadline >= self.time {
                self.answered += fits;
            }
            if batch.count <= 1e-9 {
                self.outputs.pop_front();
            }
        }
    }
}

/// A strategy for role decisions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Strategy {
    /// Never change roles.
    NoChange,
    /// Move one engine to the role whose queue is larger by a fixed factor.
    Threshold,
    /// The real policy.
    Policy {
        /// The cost of a role change in seconds, in addition to its duration.
        price: u32,
    },
}

/// The arrivals of a workload, which are the same for every strategy.
pub fn arrivals(workload: &Workload, engines: usize) -> Vec<(Demand, f64)> {
    let mut rng = StdRng::seed_from_u64(23);
    let steps = (workload.duration / STEP) as usize;
    let mut noise = 0.0;
    (0..steps)
        .map(|step| {
            let (load, share) = (workload.shape)(step as f64 * STEP);
            noise = noise * 0.9 + (rng.random::<f64>() - 0.5) * 0.08;
            let work = load * (1.0 + noise) * engines as f64;
            let demand = Demand { prefill: work * share, decode: work * (1.0 - share) };
            (demand, work * STEP / REQUEST_WORK)
        })
        .collect()
}

fn batch(time: f64, demand: Demand, count: f64) -> Batch {
    Batch {
        deadline: time + DEADLINE,
        count,
        prefill: (demand.prefill * STEP / count).max(1e-6),
        decode: (demand.decode * STEP / count).max(1e-6),
    }
}

/// Advances `fleet` by the arrivals of one decision interval.
pub fn advance(fleet: &mut Fleet, workload: &Workload, arrivals: &[(Demand, f64)]) {
    for (demand, count) in arrivals {
        if let Some((at, part)) = workload.loss
            && (fleet.time - at).abs() < STEP / 2.0
        {
            fleet.fail_engines(part);
        }
        fleet.step(batch(fleet.time, *demand, *count));
    }
}

/// The number of steps between two decisions.
pub fn steps_per_decision() -> usize {
    (DECISION_INTERVAL / STEP) as usize
}

/// Simulates a workload with a strategy.
pub fn run(workload: &Workload, engines: usize, strategy: Strategy) -> Fleet {
    let start = Instant::now();
    let arrivals = arrivals(workload, engines);
    let mut fleet = Fleet::new(engines);
    let mut estimate = Estimate::default();
    for (at, part) in arrivals.chunks(steps_per_decision()).enumerate() {
        advance(&mut fleet, workload, part);
        report_demand(&mut estimate, start, workload, &arrivals, at);
        let now = start + Duration::from_secs_f64(fleet.time);
        match strategy {
            Strategy::NoChange => {}
            Strategy::Threshold => threshold(&mut fleet, workload.away),
            Strategy::Policy { price } => {
                let price = ChangeCost {
                    away: Duration::from_secs_f64(workload.away),
                    extra: Duration::from_secs(u64::from(price)),
                    away_limit: 0.25,
                    dwell: Duration::from_secs(20),
                };
                let engines = fleet.engines(start);
                let decision = decide(now, &engines, &estimate, price, MIXED_EFFICIENCY);
                fleet.change(&decision.changes, workload.away);
            }
        }
    }
    fleet
}

/// Reports the demand of one interval to the estimate, with the delay of the workload.
fn report_demand(
    estimate: &mut Estimate,
    start: Instant,
    workload: &Workload,
    arrivals: &[(Demand, f64)],
    interval: usize,
) {
    let per_second = (1.0 / STEP) as usize;
    let from = interval * steps_per_decision();
    let report_delay = (workload.report_delay / STEP) as usize;
    for second in 0..DECISION_INTERVAL as usize {
        let at = from + second * per_second;
        let Some(at) = at.checked_sub(report_delay) else { continue };
        let part = &arrivals[at..(at + per_second).min(arrivals.len())];
        let mean = |of: fn(&Demand) -> f64| {
            part.iter().map(|(d, _)| of(d)).sum::<f64>() / part.len() as f64
        };
        let demand = Demand { prefill: mean(|d| d.prefill), decode: mean(|d| d.decode) };
        let when = start + Duration::from_secs_f64(at as f64 * STEP + workload.report_delay);
        estimate.add_sample(when, demand);
    }
}

/// The ratio of the queues per engine above which [`Strategy::Threshold`] moves an engine.
const QUEUE_RATIO: f64 = 1.5;

fn threshold(fleet: &mut Fleet, away: f64) {
    let waiting = fleet.waiting();
    let division = fleet.division();
    let prefill = waiting.prefill / f64::from(division.prefill.max(1));
    let decode = waiting.decode / f64::from(division.decode.max(1));
    let (from, to) = if prefill > decode * QUEUE_RATIO && prefill > 1.0 {
        (Role::Decode, Role::Prefill)
    } else if decode > prefill * QUEUE_RATIO && decode > 1.0 {
        (Role::Prefill, Role::Decode)
    } else {
        return;
    };
    if division.of(from) > 1 {
        fleet.move_to(division.changed(from, to), away);
    }
}
