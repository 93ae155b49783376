//! Runs seeded schedules of nodes that share a lease, with pauses, network failures, restarts,
//! delayed calls, and a store that is restored from backups.
//!
//! Violations are a call with a lower fencing token after one with a higher, one token used by two
//! nodes, and calls of two nodes that alternate faster than allowed.

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use sardinepick_lib::history::{Era, Point};
use sardinepick_lib::id::{Epoch, Incarnation};
use sardinepick_lib::lease::{Action, Holder, Lease, Record, Term, Written};

const MS: Duration = Duration::from_millis(1);
const MIN_ALTERNATION: Duration = Duration::from_secs(3);
const TERM: Term = Term { ttl: Duration::from_secs(2), margin: Duration::from_millis(3_200) };
const STEP: Duration = Duration::from_millis(50);
const CALL: Duration = Duration::from_millis(600);
const ANSWER: Duration = Duration::from_millis(700);
/// How long a node has been unhealthy when the others notice.
const DETECTION_DELAY: Duration = Duration::from_millis(800);
const NODES: usize = 4;
const STEPS: u32 = 1_200;
const SCHEDULES: u64 = 3_000;

/// A variant of the code under test.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Variant {
    /// The unmodified code.
    Correct,
    /// Deliberately broken: a node that has seen itself as the holder makes calls at any time.
    NoTerm,
    /// Deliberately broken: a successor does not wait for the whole term.
    ShortTerm,
    /// Deliberately broken: nodes do not know eras.
    NoEra,
    /// Deliberately broken: nodes know eras, but trust a backup that shows no holder.
    NoGrace,
}

/// A call to the store.
struct StoreCall {
    action: Action,
    /// When the store executes it.
    done: Instant,
    /// When the answer arrives; `None` if it is lost.
    answered: Option<Instant>,
    sent: Instant,
    outcome: Option<Written>,
    found: Option<Option<(Point, Record)>>,
    /// The era known to the node when it sent the call, and the era in the answer.
    known_era: Era,
    answer_era: Era,
}

struct Node {
    lease: Lease,
    incarnation: u64,
    call: Option<StoreCall>,
    paused_until: Instant,
    cut_off_until: Instant,
    down_until: Instant,
    /// How long it has been paused, disconnected from the store or down.
    unhealthy_for: Duration,
    /// Until when it has a wrong view of whether it is the leader.
    wrong_view_until: Instant,
    is_leader: bool,
    read: Option<Instant>,
    /// The known era and when it became known.
    era: Option<(Era, Instant)>,
}

struct World {
    rng: StdRng,
    variant: Variant,
    now: Instant,
    store: Option<(u64, Record)>,
    revision: u64,
    era: Era,
    /// A backup of the store for every second.
    backups: Vec<(Option<(u64, Record)>, u64)>,
    steps: u32,
    restores: u32,
    nodes: Vec<Node>,
    /// Writes whose senders no longer wait for them.
    abandoned_writes: Vec<(Instant, Option<Point>, Record)>,
    /// Calls to the platform: time of arrival, node and fencing token.
    calls: Vec<(Instant, usize, Epoch)>,
}

fn holder(at: usize, incarnation: u64) -> Holder {
    let name = format!("edge-{at}").parse().expect("a name");
    Holder { name, incarnation: Incarnation(incarnation) }
}

impl World {
    fn new(seed: u64, variant: Variant) -> Self {
        let now = Instant::now();
        let node = |at| Node {
            lease: Lease::new(holder(at, 1)),
            incarnation: 1,
            call: None,
            paused_until: now,
            cut_off_until: now,
            down_until: now,
            unhealthy_for: Duration::ZERO,
            wrong_view_until: now,
            is_leader: at == 0,
            read: None,
            era: None,
        };
        Self {
            rng: StdRng::seed_from_u64(seed),
            variant,
            now,
            store: None,
            revision: 0,
            era: Era(1),
            backups: Vec::new(),
            steps: 0,
            restores: 0,
            nodes: (0..NODES).map(node).collect(),
            abandoned_writes: Vec::new(),
            calls: Vec::new(),
        }
    }

    fn chance(&mut self, p: f64) -> bool {
        self.rng.random_bool(p)
    }

    fn span(&mut self, from: u64, to: u64) -> Duration {
        MS * u32::try_from(self.rng.random_range(from..to)).expect("a duration in range")
    }

    /// Executes a conditional write, which only compares the revision, as in the store.
    fn write(&mut self, expected: Option<Point>, record: &Record) -> Option<Point> {
        let expected = expected.map(|point| point.revision.0);
        if self.store.as_ref().map(|(revision, _)| *revision) != expected {
            return None;
        }
        self.revision += 1;
        self.store = Some((self.revision, record.clone()));
        Some(Point::new(self.reported_era(), self.revision))
    }

    /// The era that answers contain.
    fn reported_era(&self) -> Era {
        if self.variant == Variant::NoEra { Era(0) } else { self.era }
    }

    /// Takes backups, and occasionally restores one.
    fn backup_and_restore(&mut self) {
        self.steps += 1;
        if self.steps.is_multiple_of(20) {
            self.backups.push((self.store.clone(), self.revision));
        }
        if self.chance(0.003) && !self.backups.is_empty() {
            let back = self.rng.random_range(0..self.backups.len().min(10));
            let at = self.backups.len() - 1 - back;
            (self.store, self.revision) = self.backups[at].clone();
            self.backups.truncate(at + 1);
            // Other objects have been written since.
            self.revision += self.rng.random_range(0..4);
            self.era = Era(self.era.0 + 1);
            self.restores += 1;
        }
    }

    /// Makes a node learn an era.
    fn learn_era(&mut self, at: usize, era: Era) {
        let now = self.now;
        let node = &mut self.nodes[at];
        if node.era.is_none_or(|(known_era, _)| known_era < era) {
            node.era = Some((era, now));
        }
        if self.variant != Variant::NoEra
            && let Some((era, since)) = node.era
        {
            let grace = self.variant != Variant::NoGrace;
            let since = if grace { since } else { since - TERM.ttl - TERM.margin };
            node.lease.set_era(era, since);
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        let (due, rest) =
            std::mem::take(&mut self.abandoned_writes).into_iter().partition(|l| l.0 <= now);
        self.abandoned_writes = rest;
        for (_, expected, record) in Vec::from_iter::<Vec<_>>(due) {
            self.write(expected, &record);
        }
        self.backup_and_restore();
        self.inject_faults();
        for at in 0..NODES {
            self.apply_call(at);
            if self.nodes[at].paused_until <= now && self.nodes[at].down_until <= now {
                self.handle_answer(at);
                self.run_node(at);
            }
        }
    }

    /// Pauses, disconnects and restarts nodes, and gives them wrong views of the leader.
    fn inject_faults(&mut self) {
        for at in 0..NODES {
            let now = self.now;
            if self.chance(0.002) {
                self.nodes[at].paused_until = now + self.span(100, 10_000);
            }
            if self.chance(0.002) {
                self.nodes[at].cut_off_until = now + self.span(100, 8_000);
            }
            if self.chance(0.001) {
                let down_until = self.span(200, 4_000);
                self.abandon_call(at);
                let node = &mut self.nodes[at];
                node.incarnation += 1;
                node.lease = Lease::new(holder(at, node.incarnation));
                node.era = None;
                node.down_until = now + down_until;
            }
            if self.chance(0.002) {
                self.nodes[at].wrong_view_until = now + self.span(500, 8_000);
            }
        }
        self.elect();
    }

    /// The first node that is not unhealthy is the leader, except for nodes with a wrong view.
    fn elect(&mut self) {
        let now = self.now;
        for node in &mut self.nodes {
            let is_healthy =
                node.paused_until <= now && node.cut_off_until <= now && node.down_until <= now;
            node.unhealthy_for =
                if is_healthy { Duration::ZERO } else { node.unhealthy_for + STEP };
        }
        let first = self.nodes.iter().position(|node| node.unhealthy_for < DETECTION_DELAY);
        for (at, node) in self.nodes.iter_mut().enumerate() {
            node.is_leader = (first == Some(at)) != (node.wrong_view_until > now);
        }
    }

    /// Abandons a node's pending call. The store may still execute a write.
    fn abandon_call(&mut self, at: usize) {
        let Some(call) = self.nodes[at].call.take() else { return };
        if call.outcome.is_none()
            && let Action::Write { expected, record } = call.action
        {
            self.abandoned_writes.push((call.done, expected, record));
        }
    }

    /// Makes the store execute the pending call of a node when it is due.
    fn apply_call(&mut self, at: usize) {
        let now = self.now;
        let Some(call) = &self.nodes[at].call else { return };
        if call.done > now || call.outcome.is_some() || call.found.is_some() {
            return;
        }
        let answer_era = self.reported_era();
        self.nodes[at].call.as_mut().expect("a call is pending").answer_era = answer_era;
        let call = self.nodes[at].call.as_ref().expect("a call is pending");
        match call.action.clone() {
            Action::Read => {
                let found = self.store.clone();
                let found =
                    found.map(|(revision, record)| (Point::new(answer_era, revision), record));
                self.nodes[at].call.as_mut().expect("a call is pending").found = Some(found);
            }
            Action::Write { expected, record } => {
                let written = self.write(expected, &record);
                let outcome = written.map_or(Written::Conflict, Written::Done);
                self.nodes[at].call.as_mut().expect("a call is pending").outcome = Some(outcome);
            }
        }
    }

    fn handle_answer(&mut self, at: usize) {
        let now = self.now;
        let Some(call) = &self.nodes[at].call else { return };
        let has_arrived = call.answered.is_some_and(|answered| answered <= now);
        let timed_out = now >= call.sent + ANSWER;
        if !has_arrived && !timed_out {
            return;
        }
        if !has_arrived {
            self.abandon_call(at);
            let lease = &mut self.nodes[at].lease;
            lease.on_written(now, TERM, Written::Lost);
            lease.request_read();
            return;
        }
        let call = self.nodes[at].call.take().expect("a call is pending");
        let known_era = self.nodes[at].era.map(|(era, _)| era).unwrap_or_default();
        self.learn_era(at, call.answer_era);
        // The client discards answers of an earlier era, and treats a write across two eras as in
        // doubt.
        let crossed =
            matches!(call.outcome, Some(Written::Done(_))) && call.known_era != call.answer_era;
        let lease = &mut self.nodes[at].lease;
        if call.answer_era < known_era || crossed {
            lease.on_written(now, TERM, Written::Lost);
            lease.request_read();
            return;
        }
        match (call.found, call.outcome) {
            (Some(found), _) => lease.on_read(now, TERM, found),
            (None, Some(outcome)) => lease.on_written(now, TERM, outcome),
            (None, None) => unreachable!("the store has answered the call"),
        }
    }

    fn run_node(&mut self, at: usize) {
        let now = self.now;
        let term = match self.variant {
            Variant::ShortTerm => Term { ttl: TERM.ttl / 2, margin: MS * 100 },
            _ => TERM,
        };
        let lives: Vec<Holder> = (0..NODES).map(|n| holder(n, self.nodes[n].incarnation)).collect();
        let is_gone = |old: &Holder| {
            lives.iter().any(|l| l.name == old.name && l.incarnation > old.incarnation)
        };
        if self.nodes[at].call.is_none() {
            let node = &mut self.nodes[at];
            let settles = node.lease.take_settling_read();
            if node.read.is_none_or(|read| now >= read + MS * 1_500) {
                node.lease.request_read();
                node.read = Some(now);
            }
            let action = if settles {
                Some(Action::Read)
            } else {
                node.lease.poll(now, term, node.is_leader, is_gone)
            };
            if let Some(action) = action {
                self.send(at, action);
            }
        }
        let lease = &self.nodes[at].lease;
        let authority = match self.variant {
            Variant::NoTerm => {
                let me = holder(at, self.nodes[at].incarnation);
                lease.record().filter(|r| r.holder.as_ref() == Some(&me)).map(|r| r.epoch)
            }
            _ => lease.authority_for(now, CALL),
        };
        if let Some(epoch) = authority
            && self.chance(0.3)
        {
            // Calls sent right as a node resumes are not simulated: it cannot detect the pause.
            let arrives = now + self.span(1, 600);
            self.calls.push((arrives, at, epoch));
        }
    }

    fn send(&mut self, at: usize, action: Action) {
        let now = self.now;
        let (is_cut, is_lost, is_late) =
            (self.nodes[at].cut_off_until > now, self.chance(0.1), self.chance(0.1));
        let done = if is_cut || is_late { self.span(1_000, 6_000) } else { self.span(1, 200) };
        let answered = (!is_cut && !is_lost).then(|| now + done + MS * 10);
        let done = now + done;
        let known_era = self.nodes[at].era.map(|(era, _)| era).unwrap_or_default();
        let (outcome, found, answer_era) = (None, None, Era(0));
        self.nodes[at].call = Some(StoreCall {
            action,
            done,
            answered,
            sent: now,
            outcome,
            found,
            known_era,
            answer_era,
        });
    }

    fn violation(&self) -> Option<String> {
        let mut calls = self.calls.clone();
        calls.sort_by_key(|call| call.0);
        // Fencing tokens never decrease, and each belongs to one holder.
        let mut highest: Option<(Epoch, usize)> = None;
        for (_, node, epoch) in &calls {
            match highest {
                Some((number, of)) if number > *epoch => {
                    return Some(format!(
                        "token {epoch} of node {node} after token {number} of node {of}"
                    ));
                }
                Some((number, of)) if number == *epoch && of != *node => {
                    return Some(format!("token {epoch} of both node {node} and node {of}"));
                }
                _ => highest = Some((*epoch, *node)),
            }
        }
        for (at, (time, node, epoch)) in calls.iter().enumerate() {
            let before = calls[..at].iter().rev().take_while(|c| *time - c.0 < MIN_ALTERNATION * 2);
            let mut other = false;
            for (earlier, of, number) in before {
                if number > epoch {
                    return Some(format!(
                        "token {epoch} of node {node} after token {number} of node {of}"
                    ));
                }
                if number == epoch && of != node {
                    return Some(format!("token {epoch} of both node {node} and node {of}"));
                }
                if other && of == node && *time - *earlier < MIN_ALTERNATION {
                    return Some(format!(
                        "calls of node {node} alternate within {:?}",
                        *time - *earlier
                    ));
                }
                other |= of != node;
            }
        }
        None
    }
}

struct RunResult {
    violation: Option<String>,
    calls: usize,
    holders: usize,
    restores: u32,
}

fn run_schedule(seed: u64, variant: Variant) -> RunResult {
    let mut world = World::new(seed, variant);
    for _ in 0..STEPS {
        world.step();
    }
    let mut holders: Vec<usize> = world.calls.iter().map(|call| call.1).collect();
    holders.dedup();
    RunResult {
        violation: world.violation(),
        calls: world.calls.len(),
        holders: holders.len(),
        restores: world.restores,
    }
}

#[test]
fn schedules_keep_calls_in_order() {
    let (mut calls, mut changes, mut restores) = (0, 0, 0);
    for seed in 0..SCHEDULES {
        let result = run_schedule(seed, Variant::Correct);
        assert_eq!(result.violation, None, "seed {seed}");
        calls += result.calls;
        changes += result.holders;
        restores += u64::from(result.restores);
    }
    // Schedules in which no node holds the lease would show nothing.
    assert!(calls as u64 > SCHEDULES * 50, "{calls} calls");
    assert!(changes as u64 > SCHEDULES * 2, "{changes} changes of the holder");
    assert!(restores > SCHEDULES * 2, "{restores} restores");
}

#[test]
fn schedules_detect_broken_variants() {
    for variant in [Variant::NoTerm, Variant::ShortTerm, Variant::NoEra, Variant::NoGrace] {
        let caught = (0..SCHEDULES).any(|seed| run_schedule(seed, variant).violation.is_some());
        assert!(caught, "{variant:?}");
    }
}
