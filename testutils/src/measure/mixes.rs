//! Roles under shifting mixes, on a fluid fake of engines: what arrives in a step is one batch,
//! which needs prompt work and then output work before its deadline.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use sardinepick_lib::config::object::Role;
use sardinepick_lib::role::{
    Change, ChangeCost, Demand, Engine, Estimate, MIXED_EFFICIENCY, RoleCounts, decide,
};

/// The length of a step in seconds.
pub const STEP: f64 = 0.25;

/// How long a caller waits, in seconds.
const DEADLINE: f64 = 20.0;

/// The shortest time that the output of a request takes, in seconds.
const OUTPUT_TIME: f64 = 2.0;

/// How often roles are decided on, in seconds.
pub const DECISION: f64 = 5.0;

/// The work of one request in engine seconds, prompts and output together.
const REQUEST_WORK: f64 = 0.4;

/// A mix that arrives at a fleet.
#[derive(Clone, Debug)]
pub struct Mix {
    /// Its name.
    pub name: &'static str,
    /// Its length in seconds.
    pub span: f64,
    /// How long an engine is away for a change, in seconds.
    pub away: f64,
    /// How late the demand is heard of, in seconds.
    pub late: f64,
    /// When engines are lost, in seconds, and how large a part of them.
    pub loss: Option<(f64, f64)>,
    /// The load, as a part of all engines, and the prompts' share of it, at a time in seconds.
    pub shape: fn(f64) -> (f64, f64),
}

fn swing(time: f64, period: f64) -> f64 {
    // Plateaus with short ramps, as when occupancy sheets give way to egg counts.
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

/// All mixes that are measured.
pub fn all() -> Vec<Mix> {
    let mix = |name, shape| Mix { name, span: 1200.0, away: 10.0, late: 1.0, loss: None, shape };
    vec![
        mix("steady", |_| (0.95, 0.29)),
        mix("swing", |t| (0.93, swing(t, 480.0))),
        mix("quick_swing", |t| (0.93, swing(t, 180.0))),
        mix("wake", |t| {
            let since = t % 600.0;
            if since < 60.0 { (1.5, 0.55) } else { (0.75, 0.25) }
        }),
        mix("day", |t| (0.93, 0.29 + 0.145 * (t / 1200.0 * std::f64::consts::TAU).sin())),
        Mix { loss: Some((500.0, 0.12)), ..mix("loss", |t| (0.85, swing(t, 480.0))) },
        Mix { late: 10.0, ..mix("late_reports", |t| (0.93, swing(t, 480.0))) },
        Mix { away: 2.0, ..mix("away_2s", |t| (0.93, swing(t, 480.0))) },
        Mix { away: 30.0, ..mix("away_30s", |t| (0.93, swing(t, 480.0))) },
    ]
}

/// Requests that came together.
#[derive(Clone, Copy, Debug)]
struct Batch {
    deadline: f64,
    /// How many requests.
    count: f64,
    /// Engine seconds of prompt, and of output, for one request.
    prefill: f64,
    decode: f64,
}

#[derive(Clone, Copy, Debug)]
struct Place {
    role: Role,
    away_until: f64,
    lost: bool,
    changed: Option<f64>,
}

/// The fleet with its queues.
#[derive(Clone, Debug)]
pub struct Fleet {
    time: f64,
    places: Vec<Place>,
    prompts: VecDeque<Batch>,
    outputs: VecDeque<Batch>,
    /// Requests answered in time.
    pub answered: f64,
    /// Role changes.
    pub changes: u32,
    /// Engine seconds away for changes.
    pub away: f64,
    /// Requests that came.
    pub asked: f64,
}

impl Fleet {
    /// A fleet with the division that suits the usual mix.
    pub fn new(engines: usize) -> Self {
        let prefill = (engines as f64 * 0.29).round() as usize;
        let role = |at| if at < prefill { Role::Prefill } else { Role::Decode };
        let place = |at| Place { role: role(at), away_until: 0.0, lost: false, changed: None };
        Self {
            time: 0.0,
            places: (0..engines).map(place).collect(),
            prompts: VecDeque::new(),
            outputs: VecDeque::new(),
            answered: 0.0,
            changes: 0,
            away: 0.0,
            asked: 0.0,
        }
    }

    /// The time in seconds.
    pub fn time(&self) -> f64 {
        self.time
    }

    /// The division of the engines that are there.
    pub fn division(&self) -> RoleCounts {
        let mut division = RoleCounts::default();
        for place in self.places.iter().filter(|p| !p.lost) {
            match place.role {
                Role::Prefill => division.prefill += 1,
                Role::Decode => division.decode += 1,
                Role::Mixed => division.mixed += 1,
            }
        }
        division
    }

    /// Prompt and output work that waits, in engine seconds.
    pub fn waiting(&self) -> Demand {
        Demand {
            prefill: self.prompts.iter().map(|b| b.count * b.prefill).sum(),
            decode: self.outputs.iter().map(|b| b.count * b.decode).sum(),
        }
    }

    /// The engines as the decision sees them.
    pub fn engines(&self, start: Instant) -> Vec<Engine> {
        let engine = |(at, place): (usize, &Place)| Engine {
            at,
            role: place.role,
            changing: place.away_until > self.time,
            leaving: place.lost,
            changed: place.changed.map(|t| start + Duration::from_secs_f64(t)),
        };
        self.places.iter().enumerate().map(engine).collect()
    }

    /// Changes engines.
    pub fn change(&mut self, changes: &[Change], away: f64) {
        for change in changes {
            let place = &mut self.places[change.at];
            place.role = change.to;
            place.away_until = self.time + away;
            place.changed = Some(self.time);
            self.changes += 1;
            self.away += away;
        }
    }

    /// Moves to a division, changing the engines that are nearest to hand.
    pub fn move_to(&mut self, target: RoleCounts, away: f64) {
        let mut changes = Vec::new();
        let mut now = self.division();
        for (at, place) in self.places.iter().enumerate().filter(|(_, p)| !p.lost) {
            if now.of(place.role) <= target.of(place.role) {
                continue;
            }
            let roles = [Role::Prefill, Role::Decode, Role::Mixed];
            let Some(to) = roles.into_iter().find(|r| now.of(*r) < target.of(*r)) else { break };
            now = now.changed(place.role, to);
            changes.push(Change { at, to });
        }
        self.change(&changes, away);
    }

    /// Loses a part of the engines, spread over the roles.
    fn lose(&mut self, part: f64) {
        let count = (self.places.len() as f64 * part).ceil() as usize;
        let step = self.places.len() / count;
        for place in self.places.iter_mut().step_by(step).take(count) {
            place.lost = true;
        }
    }

    /// One step with what arrives in it.
    fn step(&mut self, arriving: Batch) {
        self.asked += arriving.count;
        self.prompts.push_back(arriving);
        let mut capacity = [0.0; 3];
        for place in self.places.iter().filter(|p| !p.lost && p.away_until <= self.time) {
            capacity[place.role as usize] += STEP;
        }
        let [mut prefill, mut decode, mut mixed] = capacity;
        mixed *= MIXED_EFFICIENCY;
        self.drop_late(decode + mixed);
        self.finish(&mut decode);
        self.finish(&mut mixed);
        self.process(&mut prefill);
        self.process(&mut mixed);
        self.finish(&mut decode);
        self.finish(&mut mixed);
        self.time += STEP;
    }

    /// Drops what can no longer be on time, which every way of deciding does alike.
    fn drop_late(&mut self, output_capacity: f64) {
        let time = self.time;
        let waiting = self.waiting().decode;
        let wait = waiting / (output_capacity / STEP).max(0.1);
        let hopeless = |b: &Batch| time + wait + OUTPUT_TIME > b.deadline;
        while self.prompts.front().is_some_and(hopeless) {
            self.prompts.pop_front();
        }
        while self.outputs.front().is_some_and(|b| time > b.deadline) {
            self.outputs.pop_front();
        }
    }

    fn process(&mut self, capacity: &mut f64) {
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

    fn finish(&mut self, capacity: &mut f64) {
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

/// A way to decide on roles.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Way {
    /// Engines keep their roles.
    NoChange,
    /// One engine moves to where more work waits, by a fixed factor.
    Threshold,
    /// The policy at a price beyond the time away, in seconds.
    Policy {
        /// The price.
        price: u32,
    },
}

/// The arrivals of a mix, the same for every way.
pub fn arrivals(mix: &Mix, engines: usize) -> Vec<(Demand, f64)> {
    let mut rng = StdRng::seed_from_u64(23);
    let steps = (mix.span / STEP) as usize;
    let mut noise = 0.0;
    (0..steps)
        .map(|step| {
            let (load, share) = (mix.shape)(step as f64 * STEP);
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

/// Lets `fleet` go through the arrivals of one decision interval.
pub fn advance(fleet: &mut Fleet, mix: &Mix, arrivals: &[(Demand, f64)]) {
    for (demand, count) in arrivals {
        if let Some((at, part)) = mix.loss
            && (fleet.time - at).abs() < STEP / 2.0
        {
            fleet.lose(part);
        }
        fleet.step(batch(fleet.time, *demand, *count));
    }
}

/// How many steps lie between two decisions.
pub fn steps_per_decision() -> usize {
    (DECISION / STEP) as usize
}

/// Runs a mix with a way to decide.
pub fn run(mix: &Mix, engines: usize, way: Way) -> Fleet {
    let start = Instant::now();
    let arrivals = arrivals(mix, engines);
    let mut fleet = Fleet::new(engines);
    let mut estimate = Estimate::default();
    for (at, part) in arrivals.chunks(steps_per_decision()).enumerate() {
        advance(&mut fleet, mix, part);
        hear(&mut estimate, start, mix, &arrivals, at);
        let now = start + Duration::from_secs_f64(fleet.time);
        match way {
            Way::NoChange => {}
            Way::Threshold => threshold(&mut fleet, mix.away),
            Way::Policy { price } => {
                let price = ChangeCost {
                    away: Duration::from_secs_f64(mix.away),
                    extra: Duration::from_secs(u64::from(price)),
                    away_limit: 0.25,
                    dwell: Duration::from_secs(20),
                };
                let engines = fleet.engines(start);
                let decision = decide(now, &engines, &estimate, price, MIXED_EFFICIENCY);
                fleet.change(&decision.changes, mix.away);
            }
        }
    }
    fleet
}

/// Gives the estimate the demand of one interval, as late as the mix has it.
fn hear(
    estimate: &mut Estimate,
    start: Instant,
    mix: &Mix,
    arrivals: &[(Demand, f64)],
    interval: usize,
) {
    let per_second = (1.0 / STEP) as usize;
    let from = interval * steps_per_decision();
    let late = (mix.late / STEP) as usize;
    for second in 0..DECISION as usize {
        let at = from + second * per_second;
        let Some(at) = at.checked_sub(late) else { continue };
        let part = &arrivals[at..(at + per_second).min(arrivals.len())];
        let mean = |of: fn(&Demand) -> f64| {
            part.iter().map(|(d, _)| of(d)).sum::<f64>() / part.len() as f64
        };
        let demand = Demand { prefill: mean(|d| d.prefill), decode: mean(|d| d.decode) };
        let when = start + Duration::from_secs_f64(at as f64 * STEP + mix.late);
        estimate.add_sample(when, demand);
    }
}

/// By how much more work must wait on one side than on the other for the rule to move an engine.
const THRESHOLD: f64 = 1.5;

fn threshold(fleet: &mut Fleet, away: f64) {
    let waiting = fleet.waiting();
    let division = fleet.division();
    let prefill = waiting.prefill / f64::from(division.prefill.max(1));
    let decode = waiting.decode / f64::from(division.decode.max(1));
    let (from, to) = if prefill > decode * THRESHOLD && prefill > 1.0 {
        (Role::Decode, Role::Prefill)
    } else if decode > prefill * THRESHOLD && decode > 1.0 {
        (Role::Prefill, Role::Decode)
    } else {
        return;
    };
    if division.of(from) > 1 {
        fleet.move_to(division.changed(from, to), away);
    }
}
