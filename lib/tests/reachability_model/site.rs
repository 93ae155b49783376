//! What happens to nodes, runners and the links between them in one schedule.

use std::ops::Range;

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

/// The time between two steps, in ms. It is also a round trip between data centres.
pub const TICK_MS: u64 = 5;
/// The length of a schedule, in ticks.
pub const TICKS: usize = ticks(12_000);

/// The number of ticks in a number of milliseconds.
pub const fn ticks(ms: u64) -> usize {
    (ms / TICK_MS) as usize
}

/// The state of a link from a node to a runner, or between two nodes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Link {
    Up,
    /// Nothing passes in either direction.
    Hang,
    /// Open connections are reset, and new ones too.
    Reset,
    /// Open connections live on, and new ones are refused.
    RefuseNew,
    /// Nothing passes back.
    OneWay,
}

impl Link {
    pub fn passes_forward(self) -> bool {
        matches!(self, Link::Up | Link::RefuseNew | Link::OneWay)
    }

    pub fn passes_back(self) -> bool {
        matches!(self, Link::Up | Link::RefuseNew)
    }
}

/// How the address of a runner answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answers {
    Accepts,
    /// No process listens.
    Refuses,
    /// The VM is gone.
    Silent,
}

/// The state of the address of a runner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Runner {
    /// The number of the runner at this address; another one may use it later.
    pub generation: u32,
    pub is_registered: bool,
    pub answers: Answers,
}

/// A state at each tick.
pub struct Timeline<S> {
    states: Vec<S>,
    /// The tick of the last change, at each tick.
    changed: Vec<usize>,
}

impl<S: Copy + PartialEq> Timeline<S> {
    fn new(initial: S) -> Self {
        Self { states: vec![initial; TICKS], changed: vec![0; TICKS] }
    }

    fn set(&mut self, range: Range<usize>, state: S) {
        let range = range.start.min(TICKS)..range.end.min(TICKS);
        self.states[range].fill(state);
    }

    fn finish(&mut self) {
        for tick in 1..TICKS {
            let is_change = self.states[tick] != self.states[tick - 1];
            self.changed[tick] = if is_change { tick } else { self.changed[tick - 1] };
        }
    }

    pub fn at(&self, tick: usize) -> S {
        self.states[tick]
    }

    /// Since when it is in its state.
    pub fn since(&self, tick: usize) -> usize {
        self.changed[tick]
    }

    /// Whether nothing changes between two ticks.
    pub fn is_stable(&self, from: usize, to: usize) -> bool {
        self.changed[to] <= from
    }

    /// Whether it is in one state between two ticks.
    pub fn stays(&self, state: S, from: usize, to: usize) -> bool {
        self.at(to) == state && self.is_stable(from, to)
    }

    /// Whether it has been in a state between two ticks.
    pub fn was(&self, state: S, from: usize, to: usize) -> bool {
        let mut tick = to;
        while self.at(tick) != state {
            if self.changed[tick] <= from {
                return false;
            }
            tick = self.changed[tick] - 1;
        }
        true
    }
}

/// What a schedule may contain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shape {
    /// Anything.
    Any,
    /// Runners leave, all but one, and nothing else.
    Calm,
    /// All nodes are cut from all runners from the third second on.
    AllCut,
}

/// A schedule.
pub struct Site {
    /// From each node to each runner.
    pub links: Vec<Vec<Timeline<Link>>>,
    /// The fraction of connects that hang although the link is up.
    pub loss: Vec<Vec<f64>>,
    /// Between each two nodes.
    pub peer_links: Vec<Vec<Timeline<Link>>>,
    /// The number of the process of each node; `None` while there is none.
    pub nodes: Vec<Timeline<Option<u32>>>,
    pub runners: Vec<Timeline<Runner>>,
}

impl Site {
    /// Draws a schedule.
    pub fn draw(shape: Shape, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let (nodes, runners) = (rng.random_range(2..=6), rng.random_range(1..=4));
        let up = || Timeline::new(Link::Up);
        let serving = Runner { generation: 0, is_registered: true, answers: Answers::Accepts };
        let mut site = Self {
            links: (0..nodes).map(|_| (0..runners).map(|_| up()).collect()).collect(),
            loss: vec![vec![0.0; runners]; nodes],
            peer_links: (0..nodes).map(|_| (0..nodes).map(|_| up()).collect()).collect(),
            nodes: (0..nodes).map(|_| Timeline::new(Some(0))).collect(),
            runners: (0..runners).map(|_| Timeline::new(serving)).collect(),
        };
        match shape {
            Shape::Any => site.draw_faults(&mut rng),
            Shape::Calm => {
                for runner in site.runners.iter_mut().skip(1) {
                    draw_leaving(runner, &mut rng);
                }
            }
            Shape::AllCut => {
                for link in site.links.iter_mut().flatten() {
                    link.set(ticks(3_000)..TICKS, Link::Hang);
                }
            }
        }
        site.links.iter_mut().flatten().for_each(Timeline::finish);
        site.peer_links.iter_mut().flatten().for_each(Timeline::finish);
        site.nodes.iter_mut().for_each(Timeline::finish);
        site.runners.iter_mut().for_each(Timeline::finish);
        site
    }

    fn draw_faults(&mut self, rng: &mut StdRng) {
        for _ in 0..rng.random_range(1..=4) {
            self.draw_cut(rng);
        }
        for runner in &mut self.runners {
            match rng.random_range(0..8) {
                0 => draw_leaving(runner, rng),
                1 => draw_death(runner, Answers::Refuses, rng),
                2 => draw_death(runner, Answers::Silent, rng),
                _ => {}
            }
        }
        for node in &mut self.nodes {
            if rng.random_bool(0.15) {
                let from = rng.random_range(0..TICKS);
                node.set(from..TICKS, None);
                node.set(from + rng.random_range(ticks(200)..ticks(5_000))..TICKS, Some(1));
            }
        }
        if rng.random_bool(0.2) {
            let loss = rng.random_range(0.01..0.3);
            let pairs = self.loss.iter_mut().flatten();
            pairs.filter(|_| rng.random_bool(0.5)).for_each(|pair| *pair = loss);
        }
        if rng.random_bool(0.2) {
            // No node is cut from itself.
            let a = rng.random_range(1..self.nodes.len());
            let b = rng.random_range(0..a);
            let from = rng.random_range(0..TICKS);
            let range = from..from + rng.random_range(ticks(200)..ticks(6_000));
            self.peer_links[a][b].set(range.clone(), Link::Hang);
            self.peer_links[b][a].set(range, Link::Hang);
        }
    }

    fn draw_cut(&mut self, rng: &mut StdRng) {
        let kinds = [Link::Hang, Link::Reset, Link::RefuseNew, Link::OneWay];
        let kind = kinds[rng.random_range(0..kinds.len())];
        let from = rng.random_range(0..TICKS * 3 / 4);
        let range = from..from + rng.random_range(ticks(200)..ticks(9_000));
        let period = rng.random_bool(0.25).then(|| rng.random_range(ticks(100)..ticks(3_000)));
        let (nodes, runners) = (self.links.len(), self.runners.len());
        let (node, runner) = (rng.random_range(0..nodes), rng.random_range(0..runners));
        let (density, shape) = (rng.random_range(0.1..0.9), rng.random_range(0..6));
        for (n, links) in self.links.iter_mut().enumerate() {
            for (r, link) in links.iter_mut().enumerate() {
                let is_cut = match shape {
                    0 => n == node && r == runner,
                    1 => n == node,
                    2 => n <= node,
                    3 => r == runner,
                    4 => true,
                    _ => rng.random_bool(density),
                };
                if is_cut {
                    cut(link, kind, range.clone(), period);
                }
            }
        }
    }
}

/// Cuts a link, with `period` in every second period only.
fn cut(link: &mut Timeline<Link>, kind: Link, range: Range<usize>, period: Option<usize>) {
    let Some(period) = period else { return link.set(range, kind) };
    for from in range.clone().step_by(period * 2) {
        link.set(from..(from + period).min(range.end), kind);
    }
}

/// A runner leaves the register and then ends; another one may use its address.
fn draw_leaving(runner: &mut Timeline<Runner>, rng: &mut StdRng) {
    let from = rng.random_range(0..TICKS);
    let (generation, is_registered) = (0, false);
    runner.set(from..TICKS, Runner { generation, is_registered, answers: Answers::Accepts });
    let ends = from + ticks(1_000);
    runner.set(ends..TICKS, Runner { generation, is_registered, answers: Answers::Refuses });
    draw_successor(runner, ends, rng);
}

/// A runner ends, and is removed from the register two seconds later.
fn draw_death(runner: &mut Timeline<Runner>, answers: Answers, rng: &mut StdRng) {
    let from = rng.random_range(0..TICKS);
    runner.set(from..TICKS, Runner { generation: 0, is_registered: true, answers });
    let removed = from + ticks(2_000);
    runner.set(removed..TICKS, Runner { generation: 0, is_registered: false, answers });
    draw_successor(runner, removed, rng);
}

fn draw_successor(runner: &mut Timeline<Runner>, after: usize, rng: &mut StdRng) {
    if rng.random_bool(0.7) {
        let from = after + rng.random_range(0..ticks(2_000));
        let answers = Answers::Accepts;
        runner.set(from..TICKS, Runner { generation: 1, is_registered: true, answers });
    }
}
