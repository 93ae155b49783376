//! The choice of a runner with late reports, against naive ways.

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
use super::fleet::{Engine, Job, Speed};

const SPEED: Speed = Speed { prefill: 10_000, decode: 50, slots: 16 };

/// The part of the fleet's capacity that is asked for.
const LOAD: f64 = 0.85;

/// The time within which the first token is worth something, as the size to design for has it.
const FIRST_TOKEN: Duration = Duration::from_millis(1500);

/// How many prompt prefixes are in use.
const PREFIXES: u32 = 400;

/// A way to choose.
#[derive(Clone, Copy, Debug, EnumIter, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
enum Way {
    Random,
    RoundRobin,
    LeastReported,
    Predicted,
}

/// A fleet with the nodes before it.
struct Case {
    runners: usize,
    nodes: usize,
    age: Duration,
    span: Duration,
    uneven: bool,
}

struct Node {
    views: Vec<RunnerView>,
    places: Vec<usize>,
    last: usize,
    setting: Settings,
}

/// A report on its way.
struct Late {
    taken: Instant,
    reports: Vec<Report>,
}

fn name(kind: &str, at: usize) -> Name {
    format!("{kind}-{at}").parse().expect("letters and digits make a name")
}

fn nodes(case: &Case) -> Vec<Node> {
    let names: Vec<Name> = (0..case.nodes).map(|at| name("entry", at)).collect();
    let mut nodes: Vec<Node> = names
        .iter()
        .map(|_| Node {
            views: Vec::new(),
            places: Vec::new(),
            last: 0,
            setting: Settings::default(),
        })
        .collect();
    let mut sharing = Vec::new();
    for at in 0..case.runners {
        let runner = name("runner", at);
        assignment::assign_nodes(&runner, &names, &mut sharing);
        for sharer in &sharing {
            let node = names.iter().position(|n| n == *sharer).expect("a sharer is a node");
            let view = RunnerView::new(runner.clone(), SPEED.slots, Admission::Ready);
            nodes[node].views.push(view);
            nodes[node].places.push(at);
            nodes[node].setting.nodes_per_runner = sharing.len() as u32;
        }
    }
    nodes.retain(|n| !n.views.is_empty());
    nodes
}

fn job(rng: &mut StdRng) -> Job {
    // Long briefs and short tags, with the few commonest prefixes in most of the requests.
    let long = rng.random_bool(0.3);
    let prompt = if long { rng.random_range(1500..6000) } else { rng.random_range(100..600) };
    let output = if long { rng.random_range(20..120) } else { rng.random_range(40..300) };
    let draw: f64 = rng.random();
    let prefix = (draw * draw * draw * f64::from(PREFIXES)) as u64;
    Job { prompt, shared: prompt / 2, output, prefix: Prefix(prefix) }
}

/// The seconds of a slot that a request takes on average, by drawing many.
fn mean_slot_seconds(rng: &mut StdRng) -> f64 {
    const DRAWS: u32 = 4000;
    let total: f64 = (0..DRAWS).map(|_| f64::from(job(rng).output) / f64::from(SPEED.decode)).sum();
    total / f64::from(DRAWS)
}

fn pick(way: Way, node: &mut Node, work: &Work, now: Instant, rng: &mut StdRng) -> usize {
    let choice = match way {
        Way::Random => baseline::random(&node.views, now, rng),
        Way::RoundRobin => baseline::round_robin(&node.views, now, &mut node.last),
        Way::LeastReported => baseline::least_reported(&node.views, now),
        Way::Predicted => {
            choose::choose(&node.views, work, now, node.setting, &[], rng).map(|c| c.at)
        }
    };
    choice.expect("all runners take work")
}

struct Outcome {
    in_time: f64,
    first_p99: f64,
    hits: f64,
}

fn run(case: &Case, way: Way) -> Outcome {
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(11);
    let mut engines = vec![Engine::new(SPEED, start); case.runners];
    if case.uneven {
        // One in six is slower than it says: its decode rate is three quarters of the others'.
        for engine in engines.iter_mut().step_by(6) {
            engine.speed.decode = engine.speed.decode * 3 / 4;
        }
    }
    let mut nodes = nodes(case);
    let capacity = case.runners as f64 * f64::from(SPEED.slots) / mean_slot_seconds(&mut rng);
    let gap = 1.0 / (capacity * LOAD);
    let mut late: Vec<Late> = Vec::new();
    let mut next_report = start;
    let mut now = start;
    let warm = start + case.span / 5;
    let mut firsts: Vec<f64> = Vec::new();
    let mut in_time = 0_u64;
    let mut own: BinaryHeap<Reverse<Own>> = BinaryHeap::new();
    while now < start + case.span {
        let draw: f64 = rng.random();
        now += Duration::from_secs_f64(-draw.max(1e-12).ln() * gap);
        while next_report <= now {
            let reports = engines.iter_mut().map(|e| e.report(next_report)).collect();
            late.push(Late { taken: next_report, reports });
            next_report += REPORT_PERIOD;
        }
        while late.first().is_some_and(|l| l.taken + case.age <= now) {
            deliver(&mut nodes, &late.remove(0));
        }
        while let Some(Reverse(event)) = own.peek().copied() {
            if event.at > now {
                break;
            }
            own.pop();
            learn(&mut nodes[event.node], &event);
        }
        let draw: f64 = rng.random();
        let draw = if case.uneven { draw * draw } else { draw };
        let who = (draw * nodes.len() as f64) as usize;
        let node = &mut nodes[who];
        let job = job(&mut rng);
        let work = Work {
            prompt: Tokens(job.prompt),
            output: Tokens(job.output),
            prefix: job.prefix,
            cached: Tokens(job.shared),
        };
        let at = pick(way, node, &work, now, &mut rng);
        node.views[at].record_sent(now, &work);
        let course = engines[node.places[at]].send(now, &job);
        let event = |at_time, is_first| Own {
            at: at_time,
            node: who,
            view: at,
            is_first,
            sent: now,
            prompt: job.prompt,
            prefix: job.prefix,
        };
        own.push(Reverse(event(course.first, true)));
        own.push(Reverse(event(course.last, false)));
        if now >= warm {
            let first = course.first.saturating_duration_since(now);
            firsts.push(first.as_secs_f64());
            in_time += u64::from(first <= FIRST_TOKEN);
        }
    }
    firsts.sort_by(f64::total_cmp);
    let saved: u64 = engines.iter().map(|e| e.saved).sum();
    let asked: u64 = engines.iter().map(|e| e.asked).sum();
    Outcome {
        in_time: in_time as f64 / firsts.len() as f64,
        first_p99: firsts[firsts.len() * 99 / 100],
        hits: saved as f64 / (asked as f64 / 2.0),
    }
}

/// What a node sees of its own request: the first token, or the end.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Own {
    at: Instant,
    node: usize,
    view: usize,
    is_first: bool,
    sent: Instant,
    prompt: u32,
    prefix: Prefix,
}

fn learn(node: &mut Node, event: &Own) {
    let view = &mut node.views[event.view];
    let since = (event.at - event.sent).as_secs_f64();
    if event.is_first {
        let work = Work { prompt: Tokens(event.prompt), ..Work::default() };
        view.record_first_token(event.at, &work);
        view.record_cached(event.prefix, event.at);
    } else {
        view.record_end(event.at, Tokens(0));
        node.setting.observe_residence(since);
    }
}

/// How often engines report.
const REPORT_PERIOD: Duration = Duration::from_millis(500);

fn deliver(nodes: &mut [Node], late: &Late) {
    for node in nodes {
        for (view, place) in node.views.iter_mut().zip(&node.places) {
            view.apply_report(late.taken, late.reports[*place]);
        }
    }
}

/// The figures.
pub fn measure() -> Vec<Figure> {
    let small = Duration::from_secs(120);
    let cases = [
        Case { runners: 4, nodes: 6, age: Duration::from_millis(100), span: small, uneven: false },
        Case { runners: 4, nodes: 6, age: Duration::from_secs(1), span: small, uneven: false },
        Case { runners: 18, nodes: 9, age: Duration::from_millis(100), span: small, uneven: false },
        Case { runners: 18, nodes: 9, age: Duration::from_secs(1), span: small, uneven: false },
        Case { runners: 18, nodes: 9, age: Duration::from_secs(5), span: small, uneven: false },
        Case {
            runners: 100,
            nodes: 50,
            age: Duration::from_secs(1),
            span: Duration::from_secs(60),
            uneven: false,
        },
        Case {
            runners: 1600,
            nodes: 550,
            age: Duration::from_secs(1),
            span: Duration::from_secs(12),
            uneven: false,
        },
        Case {
            runners: 1600,
            nodes: 550,
            age: Duration::from_secs(5),
            span: Duration::from_secs(12),
            uneven: false,
        },
        Case { runners: 18, nodes: 9, age: Duration::from_secs(1), span: small, uneven: true },
        Case {
            runners: 100,
            nodes: 50,
            age: Duration::from_secs(1),
            span: Duration::from_secs(60),
            uneven: true,
        },
    ];
    let mut figures = Vec::new();
    for case in &cases {
        for way in Way::iter() {
            let outcome = run(case, way);
            let label: &str = way.into();
            let base = format!(
                "choose.{}{}.age_{}ms.{label}",
                case.runners,
                if case.uneven { ".uneven" } else { "" },
                case.age.as_millis()
            );
            figures.push(Figure::new(format!("{base}.in_time"), outcome.in_time));
            figures.push(Figure::new(format!("{base}.first_p99_s"), outcome.first_p99));
            figures.push(Figure::new(format!("{base}.cache_hits"), outcome.hits));
        }
    }
    figures
}
