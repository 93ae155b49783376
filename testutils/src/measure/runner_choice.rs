//! A simulation of the choice of a runner based on delayed reports, compared with naive strategies.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use sardinepick_lib::assignment;
use sardinepick_lib::baseline;
use sardinepick_lib::choose::{self, Settings};
use sardinepick_lib::config::object::Admission;
use sardinepick_lib::id::Name;
use sardinepick_lib::runner::{Prefix, Report, RunnerView, Work};
use sardinepick_lib::unit::Tokens;
use strum::{EnumIter, IntoEnumIterator as _, IntoStaticStr};

use super::figure::Figure;
use super::fleet::{Engine, Request, Speed};

const SPEED: Speed = Speed { prefill: 10_000, decode: 50, slots: 16 };

/// The offered load as a fraction of the fleet's capacity.
const OFFERED_LOAD: f64 = 0.85;

/// The time limit for the first token, as required at the largest supported size.
const FIRST_TOKEN_LIMIT: Duration = Duration::from_millis(1500);

/// The number of distinct prompt prefixes.
const PREFIX_COUNT: u32 = 400;

/// A strategy for choosing a runner.
#[derive(Clone, Copy, Debug, EnumIter, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
enum Strategy {
    Random,
    RoundRobin,
    LeastReported,
    Predicted,
}

/// The parameters of a simulation.
struct Scenario {
    runners: usize,
    nodes: usize,
    age: Duration,
    duration: Duration,
    uneven: bool,
}

struct Node {
    views: Vec<RunnerView>,
    runner_indices: Vec<usize>,
    last: usize,
    setting: Settings,
}

/// Reports of all engines that have not been delivered yet.
struct PendingReports {
    taken: Instant,
    reports: Vec<Report>,
}

fn name(kind: &str, at: usize) -> Name {
    format!("{kind}-{at}").parse().expect("letters and digits make a name")
}

fn nodes(scenario: &Scenario) -> Vec<Node> {
    let names: Vec<Name> = (0..scenario.nodes).map(|at| name("entry", at)).collect();
    let mut nodes: Vec<Node> = names
        .iter()
        .map(|_| Node {
            views: Vec::new(),
            runner_indices: Vec::new(),
            last: 0,
            setting: Settings::default(),
        })
        .collect();
    let mut sharing = Vec::new();
    for at in 0..scenario.runners {
        let runner = name("runner", at);
        assignment::assign_nodes(&runner, &names, &mut sharing);
        for sharer in &sharing {
            let node = names.iter().position(|n| n == *sharer).expect("a sharer is a node");
            let view = RunnerView::new(runner.clone(), SPEED.slots, Admission::Ready);
            nodes[node].views.push(view);
            nodes[node].runner_indices.push(at);
            nodes[node].setting.nodes_per_runner = sharing.len() as u32;
        }
    }
    nodes.retain(|n| !n.views.is_empty());
    nodes
}

fn draw_request(rng: &mut StdRng) -> Request {
    // A mix of long and short prompts, with the few most common prefixes in most requests.
    let long = rng.random_bool(0.3);
    let prompt = if long { rng.random_range(1500..6000) } else { rng.random_range(100..600) };
    let output = if long { rng.random_range(20..120) } else { rng.random_range(40..300) };
    let draw: f64 = rng.random();
    let prefix = (draw * draw * draw * f64::from(PREFIX_COUNT)) as u64;
    Request { prompt, shared: prompt / 2, output, prefix: Prefix(prefix) }
}

/// The average time in seconds that a request occupies a slot, estimated from many draws.
fn mean_slot_seconds(rng: &mut StdRng) -> f64 {
    const DRAWS: u32 = 4000;
    let total: f64 =
        (0..DRAWS).map(|_| f64::from(draw_request(rng).output) / f64::from(SPEED.decode)).sum();
    total / f64::from(DRAWS)
}

fn choose_runner(
    strategy: Strategy,
    node: &mut Node,
    work: &Work,
    now: Instant,
    rng: &mut StdRng,
) -> usize {
    let choice = match strategy {
        Strategy::Random => baseline::random(&node.views, now, rng),
        Strategy::RoundRobin => baseline::round_robin(&node.views, now, &mut node.last),
        Strategy::LeastReported => baseline::least_reported(&node.views, now),
        Strategy::Predicted => {
            choose::choose(&node.views, work, now, node.setting, &[], rng).map(|c| c.at)
        }
    };
    choice.expect("all runners accept requests")
}

struct Outcome {
    in_time: f64,
    first_p99: f64,
    cache_hits: f64,
}

fn run(scenario: &Scenario, strategy: Strategy) -> Outcome {
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(11);
    let mut engines = vec![Engine::new(SPEED, start); scenario.runners];
    if scenario.uneven {
        // One engine in six is slower: its decode rate is three quarters of the others'.
        for engine in engines.iter_mut().step_by(6) {
            engine.speed.decode = engine.speed.decode * 3 / 4;
        }
    }
    let mut nodes = nodes(scenario);
    let capacity = scenario.runners as f64 * f64::from(SPEED.slots) / mean_slot_seconds(&mut rng);
    let mean_interval = 1.0 / (capacity * OFFERED_LOAD);
    let mut pending: Vec<PendingReports> = Vec::new();
    let mut next_report = start;
    let mut now = start;
    let warm_up_end = start + scenario.duration / 5;
    let mut first_token_times: Vec<f64> = Vec::new();
    let mut in_time = 0_u64;
    let mut observations: BinaryHeap<Reverse<Observation>> = BinaryHeap::new();
    while now < start + scenario.duration {
        let draw: f64 = rng.random();
        now += Duration::from_secs_f64(-draw.max(1e-12).ln() * mean_interval);
        while next_report <= now {
            let reports = engines.iter_mut().map(|e| e.report(next_report)).collect();
            pending.push(PendingReports { taken: next_report, reports });
            next_report += REPORT_PERIOD;
        }
        while pending.first().is_some_and(|l| l.taken + scenario.age <= now) {
            deliver(&mut nodes, &pending.remove(0));
        }
        while let Some(Reverse(event)) = observations.peek().copied() {
            if event.at > now {
                break;
            }
            observations.pop();
            observe(&mut nodes[event.node], &event);
        }
        let draw: f64 = rng.random();
        let draw = if scenario.uneven { draw * draw } else { draw };
        let node_index = (draw * nodes.len() as f64) as usize;
        let node = &mut nodes[node_index];
        let request = draw_request(&mut rng);
        let work = Work {
            prompt: Tokens(request.prompt),
            output: Tokens(request.output),
            prefix: request.prefix,
            cached: Tokens(request.shared),
        };
        let at = choose_runner(strategy, node, &work, now, &mut rng);
        node.views[at].record_sent(now, &work);
        let timing = engines[node.runner_indices[at]].send(now, &request);
        let event = |at_time, is_first| Observation {
            at: at_time,
            node: node_index,
            view: at,
            is_first,
            sent: now,
            prompt: request.prompt,
            prefix: request.prefix,
        };
        observations.push(Reverse(event(timing.first, true)));
        observations.push(Reverse(event(timing.last, false)));
        if now >= warm_up_end {
            let first = timing.first.saturating_duration_since(now);
            first_token_times.push(first.as_secs_f64());
            in_time += u64::from(first <= FIRST_TOKEN_LIMIT);
        }
    }
    first_token_times.sort_by(f64::total_cmp);
    let saved_tokens: u64 = engines.iter().map(|e| e.saved_tokens).sum();
    let prompt_tokens: u64 = engines.iter().map(|e| e.prompt_tokens).sum();
    Outcome {
        in_time: in_time as f64 / first_token_times.len() as f64,
        first_p99: first_token_times[first_token_times.len() * 99 / 100],
        cache_hits: saved_tokens as f64 / (prompt_tokens as f64 / 2.0),
    }
}

/// An event that a node observes in its own request: the first token or the end.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Observation {
    at: Instant,
    node: usize,
    view: usize,
    is_first: bool,
    sent: Instant,
    prompt: u32,
    prefix: Prefix,
}

fn observe(node: &mut Node, event: &Observation) {
    let view = &mut node.views[event.view];
    let elapsed = (event.at - event.sent).as_secs_f64();
    if event.is_first {
        let work = Work { prompt: Tokens(event.prompt), ..Work::default() };
        view.record_first_token(event.at, &work);
        view.record_cached(event.prefix, event.at);
    } else {
        view.record_end(event.at, Tokens(0));
        node.setting.observe_residence(elapsed);
    }
}

/// The interval between reports of the engines.
const REPORT_PERIOD: Duration = Duration::from_millis(500);

fn deliver(nodes: &mut [Node], pending: &PendingReports) {
    for node in nodes {
        for (view, index) in node.views.iter_mut().zip(&node.runner_indices) {
            view.apply_report(pending.taken, pending.reports[*index]);
        }
    }
}

/// The figures about the choice of a runner.
pub fn measure() -> Vec<Figure> {
    let small = Duration::from_secs(120);
    let scenarios = [
        Scenario {
            runners: 4,
            nodes: 6,
            age: Duration::from_millis(100),
            duration: small,
            uneven: false,
        },
        Scenario {
            runners: 4,
            nodes: 6,
            age: Duration::from_secs(1),
            duration: small,
            uneven: false,
        },
        Scenario {
            runners: 18,
            nodes: 9,
            age: Duration::from_millis(100),
            duration: small,
            uneven: false,
        },
        Scenario {
            runners: 18,
            nodes: 9,
            age: Duration::from_secs(1),
            duration: small,
            uneven: false,
        },
        Scenario {
            runners: 18,
            nodes: 9,
            age: Duration::from_secs(5),
            duration: small,
            uneven: false,
        },
        Scenario {
            runners: 100,
            nodes: 50,
            age: Duration::from_secs(1),
            duration: Duration::from_secs(60),
            uneven: false,
        },
        Scenario {
            runners: 1600,
            nodes: 550,
            age: Duration::from_secs(1),
            duration: Duration::from_secs(12),
            uneven: false,
        },
        Scenario {
            runners: 1600,
            nodes: 550,
            age: Duration::from_secs(5),
            duration: Duration::from_secs(12),
            uneven: false,
        },
        Scenario {
            runners: 18,
            nodes: 9,
            age: Duration::from_secs(1),
            duration: small,
            uneven: true,
        },
        Scenario {
            runners: 100,
            nodes: 50,
            age: Duration::from_secs(1),
            duration: Duration::from_secs(60),
            uneven: true,
        },
    ];
    let mut figures = Vec::new();
    for scenario in &scenarios {
        for strategy in Strategy::iter() {
            let outcome = run(scenario, strategy);
            let label: &str = strategy.into();
            let base = format!(
                "choose.{}{}.age_{}ms.{label}",
                scenario.runners,
                if scenario.uneven { ".uneven" } else { "" },
                scenario.age.as_millis()
            );
            figures.push(Figure::new(format!("{base}.in_time"), outcome.in_time));
            figures.push(Figure::new(format!("{base}.first_p99_s"), outcome.first_p99));
            figures.push(Figure::new(format!("{base}.cache_hits"), outcome.cache_hits));
        }
    }
    figures
}
