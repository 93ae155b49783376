//! Model check of the quarantine of requests on seeded schedules: one request that crashes its
//! runners beside sound ones that are always in progress, sent through all nodes; runners that crash
//! for other reasons; lost messages, and nodes that stand still.
//!
//! In every schedule the runs of the crashing request after its third crash are bounded, no sound
//! request is refused unless a runner has crashed under its trial for another reason, and all sound
//! ones are answered in the end. Variants without trials are explored too and must be caught.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use sardinepick_lib::fleet::fingerprint::Fingerprint;
use sardinepick_lib::fleet::quarantine::{Disposition, Entry, Quarantine, Stage};
use sardinepick_lib::fleet::runner::Tag;
use sardinepick_lib::fleet::suspect::{RunProgress, RunnerEnd, Suspects, choose_counting_nodes};
use sardinepick_lib::id::NodeId;

const STEP: Duration = Duration::from_millis(10);
const LENGTH: Duration = Duration::from_secs(40);
/// When the crashing request is no longer sent, and nothing else fails.
const CALM: Duration = Duration::from_secs(25);
/// How long a run of the crashing request takes until the crash.
const CRASH_DELAY: Duration = Duration::from_millis(60);
/// How long a crashed runner takes to restart.
const RESTART_TIME: Duration = Duration::from_secs(1);
/// The time of a permit.
const PERMIT_TTL: Duration = Duration::from_secs(3);
/// The time after the third crash from which runs count.
const SETTLED: Duration = Duration::from_secs(3);
/// The runs of the crashing request that may reach runners after that (required bound).
const MAX_LATE_RUNS: u32 = 3;
const SCHEDULES: u64 = 150;

/// What is left out of the mechanism.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Variant {
    None,
    /// Restricted requests run freely.
    NoTrials,
    /// Trials of a group run side by side.
    NoPermits,
}

struct Node {
    suspects: Suspects,
    quarantine: Quarantine,
    frozen_until: Instant,
}

#[derive(Clone, Copy)]
struct Run {
    request: usize,
    node: usize,
    runner: usize,
    ends: Instant,
    group: Option<Tag>,
}

struct World {
    rng: StdRng,
    variant: Variant,
    began: Instant,
    now: Instant,
    ids: Vec<NodeId>,
    nodes: Vec<Node>,
    /// The incarnation of each runner, and when it is back.
    runners: Vec<(u64, Instant)>,
    runs: Vec<Run>,
    permits: BTreeMap<u64, (usize, Instant)>,
    requests: usize,
    /// The requests up to this one are sent only beside the crashing one until all is calm.
    companions: usize,
    answered_at: Vec<Option<Instant>>,
    refused: Vec<bool>,
    unlucky: Vec<bool>,
    third_crash: Option<Instant>,
    crashes: u32,
    late_runs: u32,
}

/// The crashing request; the others are sound.
const CRASHING: usize = 0;

fn fingerprint(request: usize) -> Fingerprint {
    Fingerprint::of(&[&request.to_le_bytes()])
}

impl World {
    fn new(variant: Variant, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let began = Instant::now();
        let count = [2, 3, 6, 12][rng.random_range(0..4)];
        let requests = 2 + rng.random_range(1..=30);
        let node = |_| Node {
            suspects: Suspects::default(),
            quarantine: Quarantine::default(),
            frozen_until: began,
        };
        Self {
            variant,
            began,
            now: began,
            ids: (0..count).map(|n| format!("edge-{n}").parse().expect("valid id")).collect(),
            nodes: (0..count).map(node).collect(),
            runners: (0..rng.random_range(3..=9)).map(|n| (n, began)).collect(),
            runs: Vec::new(),
            permits: BTreeMap::new(),
            requests,
            companions: rng.random_range(1..requests),
            answered_at: vec![None; requests],
            refused: vec![false; requests],
            unlucky: vec![false; requests],
            third_crash: None,
            crashes: 0,
            late_runs: 0,
            rng,
        }
    }

    fn is_calm(&self) -> bool {
        self.now >= self.began + CALM
    }

    fn is_frozen(&self, node: usize) -> bool {
        self.now < self.nodes[node].frozen_until
    }

    fn play(&mut self) {
        while self.now < self.began + LENGTH {
            self.now += STEP;
            self.fail();
            self.end_runs();
            self.send();
            self.decide();
            self.gossip();
        }
    }

    /// Lets runners crash and nodes stand still for reasons of their own.
    fn fail(&mut self) {
        if self.is_calm() {
            return;
        }
        if self.rng.random_ratio(1, 1_000) {
            let node = self.rng.random_range(0..self.nodes.len());
            let pause = Duration::from_millis(self.rng.random_range(200..2_500));
            self.nodes[node].frozen_until = self.now + pause;
        }
        if self.rng.random_ratio(1, 1_500) {
            let runner = self.rng.random_range(0..self.runners.len());
            self.crash(runner, None);
        }
    }

    fn crash(&mut self, runner: usize, cause: Option<usize>) {
        let (incarnation, _) = self.runners[runner];
        self.runners[runner] = (incarnation + 1_000, self.now + RESTART_TIME);
        if cause == Some(CRASHING) {
            self.crashes += 1;
            if self.crashes == 3 {
                self.third_crash = Some(self.now);
            }
        }
        let lost: Vec<Run> = self.runs.iter().filter(|run| run.runner == runner).copied().collect();
        self.runs.retain(|run| run.runner != runner);
        for run in lost {
            let is_trial = run.group.is_some();
            if is_trial && cause != Some(run.request) {
                self.unlucky[run.request] = true;
            }
            let progress = RunProgress { events: 0, begun: true };
            let end = RunnerEnd { incarnation: Tag(incarnation), progress, is_trial };
            self.count(run.node, run.request, end);
            self.release(&run);
        }
    }

    /// Counts an end at the node that has seen it and at the two that count for all.
    fn count(&mut self, node: usize, request: usize, end: RunnerEnd) {
        let request = fingerprint(request);
        let counting: Vec<usize> = choose_counting_nodes(&request, self.ids.iter())
            .into_iter()
            .filter_map(|id| self.ids.iter().position(|known| known == id))
            .collect();
        for at in counting.into_iter().chain([node]) {
            if at != node && (self.is_frozen(at) || self.rng.random_ratio(1, 20)) {
                continue;
            }
            let Node { suspects, quarantine, .. } = &mut self.nodes[at];
            suspects.note(request, end, self.now);
            if let Some(suspect) = suspects.get(&request)
                && let Some(entry) = quarantine.propose(request, suspect, self.now)
                && quarantine.contradicts(&entry)
            {
                self.set(at, &request, Stage::Cleared);
            }
        }
    }

    fn set(&mut self, node: usize, request: &Fingerprint, stage: Stage) {
        let Node { suspects, quarantine, .. } = &mut self.nodes[node];
        quarantine.set(request, stage, self.now);
        if stage == Stage::Cleared {
            suspects.clear(request);
        }
        if stage == Stage::Confirmed {
            quarantine.reconsider(self.now);
        }
    }

    fn release(&mut self, run: &Run) {
        if let Some(group) = run.group {
            self.permits.remove(&group.0);
        }
    }

    fn end_runs(&mut self) {
        let due: Vec<Run> = self.runs.iter().filter(|run| run.ends <= self.now).copied().collect();
        for run in due {
            if !self.runs.iter().any(|r| r.request == run.request && r.runner == run.runner) {
                continue;
            }
            if run.request == CRASHING {
                self.crash(run.runner, Some(CRASHING));
                continue;
            }
            self.runs.retain(|r| !(r.request == run.request && r.runner == run.runner));
            self.release(&run);
            self.answered_at[run.request] = Some(self.now);
            let request = fingerprint(run.request);
            if self.nodes[run.node].quarantine.note_answered(request, self.now) {
                self.set(run.node, &request, Stage::Cleared);
            }
        }
    }

    /// Sends each request now and then, the sound ones beside the crashing one.
    fn send(&mut self) {
        for request in 0..self.requests {
            let is_due = self.rng.random_ratio(1, 20);
            let is_over = request == CRASHING && self.is_calm();
            let is_running = self.runs.iter().any(|run| run.request == request);
            let is_companion = (1..=self.companions).contains(&request) && !self.is_calm();
            if !is_due || is_over || is_companion || is_running && request != CRASHING {
                continue;
            }
            let node = self.rng.random_range(0..self.nodes.len());
            if self.is_frozen(node) {
                continue;
            }
            let Some(runner) = self.start(request, node, None) else { continue };
            if request == CRASHING {
                self.start_companions(runner);
            }
        }
    }

    fn start_companions(&mut self, runner: usize) {
        for request in 1..=self.companions {
            let node = self.rng.random_range(0..self.nodes.len());
            let is_running = self.runs.iter().any(|run| run.request == request);
            if !is_running && !self.is_frozen(node) {
                self.start(request, node, Some(runner));
            }
        }
    }

    /// Starts a run of a request, at a runner if one is given. Returns the runner; `None` if the
    /// request does not run now.
    fn start(&mut self, request: usize, node: usize, at: Option<usize>) -> Option<usize> {
        let disposition = self.nodes[node].quarantine.disposition(&fingerprint(request), self.now);
        let group = match disposition {
            Disposition::Free => None,
            Disposition::Restricted(_) if self.variant == Variant::NoTrials => None,
            Disposition::Restricted(group) => Some(group),
            Disposition::Undecided => return None,
            Disposition::Refused => {
                self.refused[request] |= !self.unlucky[request];
                return None;
            }
        };
        let up = |(at, (_, back)): (usize, &(u64, Instant))| (*back <= self.now).then_some(at);
        let up: Vec<usize> = self.runners.iter().enumerate().filter_map(up).collect();
        if up.is_empty() {
            return None;
        }
        let drawn = up[self.rng.random_range(0..up.len())];
        let runner = at.unwrap_or(drawn);
        if let Some(group) = group.filter(|_| self.variant != Variant::NoPermits) {
            let held = self.permits.get(&group.0);
            if held.is_some_and(|(_, at)| self.now < *at + PERMIT_TTL) {
                return None;
            }
            self.permits.insert(group.0, (request, self.now));
        }
        let took = match request {
            CRASHING => CRASH_DELAY,
            _ => Duration::from_millis(self.rng.random_range(80..400)),
        };
        if request == CRASHING && self.third_crash.is_some_and(|at| self.now > at + SETTLED) {
            self.late_runs += 1;
        }
        self.runs.push(Run { request, node, runner, ends: self.now + took, group });
        Some(runner)
    }

    fn decide(&mut self) {
        for node in 0..self.nodes.len() {
            if self.is_frozen(node) {
                continue;
            }
            for request in self.nodes[node].quarantine.due(self.now) {
                let Node { suspects, quarantine, .. } = &self.nodes[node];
                let has_counted = suspects.get(&request).is_some_and(|s| s.ends().len() >= 3);
                let stage = has_counted.then(|| quarantine.decide(&request, self.now)).flatten();
                if let Some(stage) = stage {
                    self.set(node, &request, stage);
                }
            }
        }
    }

    /// Passes new entries on, of which some are lost, and compares all entries now and then.
    fn gossip(&mut self) {
        let elapsed = self.now.saturating_duration_since(self.began);
        let compares = elapsed.as_millis().is_multiple_of(1_000);
        for from in 0..self.nodes.len() {
            if self.is_frozen(from) {
                continue;
            }
            let mut entries = self.nodes[from].quarantine.take_updates();
            if compares {
                entries = self.nodes[from].quarantine.entries().cloned().collect();
            }
            for to in 0..self.nodes.len() {
                if to != from && !self.is_frozen(to) && !self.rng.random_ratio(1, 10) {
                    entries.iter().for_each(|entry| self.apply(to, entry));
                }
            }
        }
    }

    fn apply(&mut self, node: usize, entry: &Entry) {
        let Node { suspects, quarantine, .. } = &mut self.nodes[node];
        if !quarantine.apply_entry(entry.clone(), self.now) {
            return;
        }
        if entry.stage == Stage::Cleared {
            suspects.clear(&entry.request);
        }
        if quarantine.contradicts(entry) {
            self.set(node, &entry.request, Stage::Cleared);
        }
    }

    fn violations(&self) -> Vec<String> {
        let mut found = Vec::new();
        if self.late_runs > MAX_LATE_RUNS {
            found.push(format!("{} late runs, {} crashes", self.late_runs, self.crashes));
        }
        for request in 1..self.requests {
            let answered = self.answered_at[request];
            if self.refused[request] {
                found.push(format!("sound request {request} refused"));
            }
            if answered.is_none_or(|at| at < self.began + CALM) && !self.unlucky[request] {
                found.push(format!("sound request {request} not answered"));
            }
        }
        found
    }
}

fn explore(variant: Variant, schedules: u64) -> Vec<String> {
    let mut found = Vec::new();
    for seed in 0..schedules {
        let mut world = World::new(variant, seed);
        world.play();
        found.extend(world.violations().iter().map(|text| format!("schedule {seed}: {text}")));
    }
    found
}

#[test]
fn requests_any_schedule_contained_and_sound_answered() {
    let found = explore(Variant::None, SCHEDULES);
    assert!(found.is_empty(), "{} violations: {:?}", found.len(), &found[..found.len().min(5)]);
}

/// Guards against requests that nothing tells apart and that run on freely.
#[test]
fn requests_without_trials_caught() {
    let found = explore(Variant::NoTrials, SCHEDULES);
    assert!(found.iter().any(|text| text.contains("late runs")), "{found:?}");
}

/// Guards against trials side by side, which name no request.
#[test]
fn requests_without_permits_caught() {
    assert!(!explore(Variant::NoPermits, SCHEDULES).is_empty());
}
