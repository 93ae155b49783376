//! Seeded schedules of nodes that share the lease on the duties, a store that fails and comes back from
//! copies, and calls under way.
//!
//! What must never be: a call with a lower number after one with a higher, one number of two nodes, or
//! calls of two nodes by turns within the time that has to lie between them.

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use sardinepick_lib::history::{Era, Point};
use sardinepick_lib::id::{Epoch, Incarnation};
use sardinepick_lib::lease::{Action, Holder, Lease, Record, Term, Written};

const MS: Duration = Duration::from_millis(1);
const TURNS: Duration = Duration::from_secs(3);
const TERM: Term = Term { ttl: Duration::from_secs(2), margin: Duration::from_millis(3_200) };
const STEP: Duration = Duration::from_millis(50);
const CALL: Duration = Duration::from_millis(600);
const ANSWER: Duration = Duration::from_millis(700);
/// How long a node has been unwell when the others notice.
const NOTICED: Duration = Duration::from_millis(800);
const NODES: usize = 4;
const STEPS: u32 = 1_200;
const SCHEDULES: u64 = 3_000;

/// A variant of the code under test.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Variant {
    /// As it is.
    Right,
    /// Broken on purpose: whoever saw itself as the holder makes calls, whatever time it is.
    NoTerm,
    /// Broken on purpose: a successor does not wait for the whole term.
    ShortTerm,
    /// Broken on purpose: nodes do not know eras.
    NoEra,
    /// Broken on purpose: nodes know eras, and take a copy that shows no holder at its word.
    NoGrace,
}

/// A call to the store.
struct Asked {
    action: Action,
    /// When the store carries it out.
    done: Instant,
    /// When the node learns of it; none if the answer is lost.
    answered: Option<Instant>,
    sent: Instant,
    outcome: Option<Written>,
    found: Option<Option<(Point, Record)>>,
    /// The era that the node knew when it asked, and that of the answer.
    known: Era,
    shown: Era,
}

struct Node {
    lease: Lease,
    incarnation: u64,
    asked: Option<Asked>,
    frozen: Instant,
    cut: Instant,
    down: Instant,
    /// For how long it has been frozen, cut from the store or down.
    unwell: Duration,
    /// Until when it takes another for the first, or itself.
    mistaken: Instant,
    leads: bool,
    read: Option<Instant>,
    /// The era that it knows, and since when.
    era: Option<(Era, Instant)>,
}

struct World {
    rng: StdRng,
    variant: Variant,
    now: Instant,
    store: Option<(u64, Record)>,
    revision: u64,
    era: Era,
    /// The store as it was, every second.
    copies: Vec<(Option<(u64, Record)>, u64)>,
    steps: u32,
    drills: u32,
    nodes: Vec<Node>,
    /// Writes whose senders do not wait for them any more.
    late: Vec<(Instant, Option<Point>, Record)>,
    /// Calls to the platform: when they arrive, of which node, with which number.
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
            asked: None,
            frozen: now,
            cut: now,
            down: now,
            unwell: Duration::ZERO,
            mistaken: now,
            leads: at == 0,
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
            copies: Vec::new(),
            steps: 0,
            drills: 0,
            nodes: (0..NODES).map(node).collect(),
            late: Vec::new(),
            calls: Vec::new(),
        }
    }

    fn chance(&mut self, p: f64) -> bool {
        self.rng.random_bool(p)
    }

    fn span(&mut self, from: u64, to: u64) -> Duration {
        MS * u32::try_from(self.rng.random_range(from..to)).expect("a short time")
    }

    /// Writes under a condition on the revision alone, as the store does.
    fn write(&mut self, expected: Option<Point>, record: &Record) -> Option<Point> {
        let expected = expected.map(|point| point.revision.0);
        if self.store.as_ref().map(|(revision, _)| *revision) != expected {
            return None;
        }
        self.revision += 1;
        self.store = Some((self.revision, record.clone()));
        Some(Point::new(self.shown_era(), self.revision))
    }

    /// The era that answers name.
    fn shown_era(&self) -> Era {
        if self.variant == Variant::NoEra { Era(0) } else { self.era }
    }

    /// Takes copies, and has the store come back from one.
    fn drill(&mut self) {
        self.steps += 1;
        if self.steps.is_multiple_of(20) {
            self.copies.push((self.store.clone(), self.revision));
        }
        if self.chance(0.003) && !self.copies.is_empty() {
            let back = self.rng.random_range(0..self.copies.len().min(10));
            let at = self.copies.len() - 1 - back;
            (self.store, self.revision) = self.copies[at].clone();
            self.copies.truncate(at + 1);
            // Others have written there since.
            self.revision += self.rng.random_range(0..4);
            self.era = Era(self.era.0 + 1);
            self.drills += 1;
        }
    }

    /// Has a node learn an era.
    fn show(&mut self, at: usize, era: Era) {
        let now = self.now;
        let node = &mut self.nodes[at];
        if node.era.is_none_or(|(known, _)| known < era) {
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
        let (due, rest) = std::mem::take(&mut self.late).into_iter().partition(|l| l.0 <= now);
        self.late = rest;
        for (_, expected, record) in Vec::from_iter::<Vec<_>>(due) {
            self.write(expected, &record);
        }
        self.drill();
        self.disturb();
        for at in 0..NODES {
            self.carry_out(at);
            if self.nodes[at].frozen <= now && self.nodes[at].down <= now {
                self.take_answer(at);
                self.act(at);
            }
        }
    }

    /// Freezes, cuts and kills, and views of who leads that change and disagree.
    fn disturb(&mut self) {
        for at in 0..NODES {
            let now = self.now;
            if self.chance(0.002) {
                self.nodes[at].frozen = now + self.span(100, 10_000);
            }
            if self.chance(0.002) {
                self.nodes[at].cut = now + self.span(100, 8_000);
            }
            if self.chance(0.001) {
                let down = self.span(200, 4_000);
                self.orphan(at);
                let node = &mut self.nodes[at];
                node.incarnation += 1;
                node.lease = Lease::new(holder(at, node.incarnation));
                node.era = None;
                node.down = now + down;
            }
            if self.chance(0.002) {
                self.nodes[at].mistaken = now + self.span(500, 8_000);
            }
        }
        self.choose();
    }

    /// The first node that has been well leads, as far as nodes agree.
    fn choose(&mut self) {
        let now = self.now;
        for node in &mut self.nodes {
            let well = node.frozen <= now && node.cut <= now && node.down <= now;
            node.unwell = if well { Duration::ZERO } else { node.unwell + STEP };
        }
        let first = self.nodes.iter().position(|node| node.unwell < NOTICED);
        for (at, node) in self.nodes.iter_mut().enumerate() {
            node.leads = (first == Some(at)) != (node.mistaken > now);
        }
    }

    /// Leaves a node's write to the store, which may still come to it.
    fn orphan(&mut self, at: usize) {
        let Some(asked) = self.nodes[at].asked.take() else { return };
        if asked.outcome.is_none()
            && let Action::Write { expected, record } = asked.action
        {
            self.late.push((asked.done, expected, record));
        }
    }

    /// Has the store carry out what it has got.
    fn carry_out(&mut self, at: usize) {
        let now = self.now;
        let Some(asked) = &self.nodes[at].asked else { return };
        if asked.done > now || asked.outcome.is_some() || asked.found.is_some() {
            return;
        }
        let shown = self.shown_era();
        self.nodes[at].asked.as_mut().expect("it is asked").shown = shown;
        let asked = self.nodes[at].asked.as_ref().expect("it is asked");
        match asked.action.clone() {
            Action::Read => {
                let found = self.store.clone();
                let found = found.map(|(revision, record)| (Point::new(shown, revision), record));
                self.nodes[at].asked.as_mut().expect("it is asked").found = Some(found);
            }
            Action::Write { expected, record } => {
                let written = self.write(expected, &record);
                let outcome = written.map_or(Written::Conflict, Written::Done);
                self.nodes[at].asked.as_mut().expect("it is asked").outcome = Some(outcome);
            }
        }
    }

    fn take_answer(&mut self, at: usize) {
        let now = self.now;
        let Some(asked) = &self.nodes[at].asked else { return };
        let has_come = asked.answered.is_some_and(|answered| answered <= now);
        let given_up = now >= asked.sent + ANSWER;
        if !has_come && !given_up {
            return;
        }
        if !has_come {
            self.orphan(at);
            let lease = &mut self.nodes[at].lease;
            lease.on_written(now, TERM, Written::Lost);
            lease.request_read();
            return;
        }
        let asked = self.nodes[at].asked.take().expect("it is asked");
        let known = self.nodes[at].era.map(|(era, _)| era).unwrap_or_default();
        self.show(at, asked.shown);
        // The client uses no answer of a former era, and takes a write across two for one in doubt.
        let crossed = matches!(asked.outcome, Some(Written::Done(_))) && asked.known != asked.shown;
        let lease = &mut self.nodes[at].lease;
        if asked.shown < known || crossed {
            lease.on_written(now, TERM, Written::Lost);
            lease.request_read();
            return;
        }
        match (asked.found, asked.outcome) {
            (Some(found), _) => lease.on_read(now, TERM, found),
            (None, Some(outcome)) => lease.on_written(now, TERM, outcome),
            (None, None) => unreachable!("an answer comes after what it answers"),
        }
    }

    fn act(&mut self, at: usize) {
        let now = self.now;
        let term = match self.variant {
            Variant::ShortTerm => Term { ttl: TERM.ttl / 2, margin: MS * 100 },
            _ => TERM,
        };
        let lives: Vec<Holder> = (0..NODES).map(|n| holder(n, self.nodes[n].incarnation)).collect();
        let is_gone = |old: &Holder| {
            lives.iter().any(|l| l.name == old.name && l.incarnation > old.incarnation)
        };
        if self.nodes[at].asked.is_none() {
            let node = &mut self.nodes[at];
            let settles = node.lease.take_settling_read();
            if node.read.is_none_or(|read| now >= read + MS * 1_500) {
                node.lease.request_read();
                node.read = Some(now);
            }
            let action = if settles {
                Some(Action::Read)
            } else {
                node.lease.poll(now, term, node.leads, is_gone)
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
            // What a frozen node sends as it wakes is not counted: it could not know.
            let arrives = now + self.span(1, 600);
            self.calls.push((arrives, at, epoch));
        }
    }

    fn send(&mut self, at: usize, action: Action) {
        let now = self.now;
        let (is_cut, is_lost, is_late) =
            (self.nodes[at].cut > now, self.chance(0.1), self.chance(0.1));
        let done = if is_cut || is_late { self.span(1_000, 6_000) } else { self.span(1, 200) };
        let answered = (!is_cut && !is_lost).then(|| now + done + MS * 10);
        let done = now + done;
        let known = self.nodes[at].era.map(|(era, _)| era).unwrap_or_default();
        let (outcome, found, shown) = (None, None, Era(0));
        self.nodes[at].asked =
            Some(Asked { action, done, answered, sent: now, outcome, found, known, shown });
    }

    fn violation(&self) -> Option<String> {
        let mut calls = self.calls.clone();
        calls.sort_by_key(|call| call.0);
        // Fencing numbers never fall, and each is of one holding.
        let mut highest: Option<(Epoch, usize)> = None;
        for (_, node, epoch) in &calls {
            match highest {
                Some((number, of)) if number > *epoch => {
                    return Some(format!("{epoch} of {node} after {number} of {of}"));
                }
                Some((number, of)) if number == *epoch && of != *node => {
                    return Some(format!("{epoch} of {node} and of {of}"));
                }
                _ => highest = Some((*epoch, *node)),
            }
        }
        for (at, (time, node, epoch)) in calls.iter().enumerate() {
            let before = calls[..at].iter().rev().take_while(|c| *time - c.0 < TURNS * 2);
            let mut other = false;
            for (earlier, of, number) in before {
                if number > epoch {
                    return Some(format!("{epoch} of {node} after {number} of {of}"));
                }
                if number == epoch && of != node {
                    return Some(format!("{epoch} of {node} and of {of}"));
                }
                if other && of == node && *time - *earlier < TURNS {
                    return Some(format!("{node} by turns within {:?}", *time - *earlier));
                }
                other |= of != node;
            }
        }
        None
    }
}

struct Played {
    violation: Option<String>,
    calls: usize,
    holders: usize,
    drills: u32,
}

fn play(seed: u64, variant: Variant) -> Played {
    let mut world = World::new(seed, variant);
    for _ in 0..STEPS {
        world.step();
    }
    let mut holders: Vec<usize> = world.calls.iter().map(|call| call.1).collect();
    holders.dedup();
    Played {
        violation: world.violation(),
        calls: world.calls.len(),
        holders: holders.len(),
        drills: world.drills,
    }
}

#[test]
fn schedules_calls_in_order() {
    let (mut calls, mut changes, mut drills) = (0, 0, 0);
    for seed in 0..SCHEDULES {
        let played = play(seed, Variant::Right);
        assert_eq!(played.violation, None, "seed {seed}");
        calls += played.calls;
        changes += played.holders;
        drills += u64::from(played.drills);
    }
    // Schedules in which nobody holds the duties would show nothing.
    assert!(calls as u64 > SCHEDULES * 50, "{calls} calls");
    assert!(changes as u64 > SCHEDULES * 2, "{changes} changes of the holder");
    assert!(drills > SCHEDULES * 2, "{drills} returns from a copy");
}

#[test]
fn schedules_broken_variants_caught() {
    for variant in [Variant::NoTerm, Variant::ShortTerm, Variant::NoEra, Variant::NoGrace] {
        let caught = (0..SCHEDULES).any(|seed| play(seed, variant).violation.is_some());
        assert!(caught, "{variant:?}");
    }
}
