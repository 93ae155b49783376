//! Model check of the incarnations of one runner as seen by two nodes, explored exhaustively: every
//! order of restarts, late writes of a former incarnation, entries that arrive late and out of
//! order, work that ends after its incarnation, and late reports between the nodes.
//!
//! In every state, the load that a node counts for a runner is exactly the work that it started in
//! the incarnation it knows, it counts nothing of the other node's work in another incarnation, and
//! considers only those parts cached that this incarnation has prefilled. A register that
//! identifies runners by id alone is explored as well, and must be caught.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use sardinepick_lib::fleet::cache::{Chain, Progress};
use sardinepick_lib::fleet::load::{Class, Load};
use sardinepick_lib::fleet::register::{PrefillReport, Register, WorkCost};
use sardinepick_lib::fleet::runner::{Entry, Registration, State, Tag};
use sardinepick_lib::history::Point;
use sardinepick_lib::id::{NodeId, RunnerId, StartTime};

const NODES: usize = 2;
/// The number of events explored from each start.
const DEPTH: usize = 5;
const COST: WorkCost = WorkCost { class: Class::LATE, prefill_tokens: 10, footprint: 20 };

#[derive(Clone, Copy, Debug)]
enum Event {
    /// The runner restarts and writes its entry.
    Restart,
    /// A write of the former incarnation arrives at the store.
    LateWrite,
    /// A node receives the newest entry.
    TakeNewest(usize),
    /// A node receives the entry before the newest.
    TakeOlder(usize),
    /// A node starts work.
    Begin(usize),
    /// The oldest work of a node ends, with its prompt prefilled.
    End(usize),
    /// The first node reports its loads and the parts prefilled for it.
    SendReport,
    /// The second node receives the oldest outstanding report.
    ReceiveReport,
}

const EVENTS: [Event; 11] = [
    Event::Restart,
    Event::LateWrite,
    Event::TakeNewest(0),
    Event::TakeNewest(1),
    Event::TakeOlder(1),
    Event::Begin(0),
    Event::Begin(1),
    Event::End(0),
    Event::End(1),
    Event::SendReport,
    Event::ReceiveReport,
];

/// Work in progress, with the incarnation that its node knew when it started.
#[derive(Clone)]
struct Work {
    registration: Registration,
    born: StartTime,
}

#[derive(Clone)]
struct Report {
    loads: Vec<(Tag, Load)>,
    prefills: Vec<PrefillReport>,
    /// The incarnations of the sender's work in progress, one entry for each piece of work.
    truth: Vec<StartTime>,
}

#[derive(Clone)]
struct World {
    now: Instant,
    born: StartTime,
    written: Vec<Entry>,
    nodes: [Register; NODES],
    work: [Vec<Work>; NODES],
    prefills: Vec<PrefillReport>,
    sent: Vec<Report>,
    heard: Vec<StartTime>,
    /// The incarnations that have prefilled the prompt.
    read: HashSet<StartTime>,
    /// Whether entries contain the start time of the runner.
    with_births: bool,
}

fn id() -> RunnerId {
    "i-1".parse().expect("an id")
}

fn chain() -> Chain {
    Chain::new("m", [("shared", 100), ("own", 10)].into_iter())
}

impl World {
    fn new(with_births: bool) -> Self {
        let mut world = Self {
            now: Instant::now(),
            born: StartTime(1),
            written: Vec::new(),
            nodes: [Register::default(), Register::default()],
            work: [Vec::new(), Vec::new()],
            prefills: Vec::new(),
            sent: Vec::new(),
            heard: Vec::new(),
            read: HashSet::new(),
            with_births,
        };
        world.write(StartTime(1));
        for at in 0..NODES {
            world.step(Event::TakeNewest(at));
        }
        world
    }

    /// Writes an entry of one incarnation. Each incarnation has an address of its own, by which the
    /// test distinguishes them independently of the register.
    fn write(&mut self, born: StartTime) {
        let address =
            ([127, 0, 0, 1], u16::try_from(born.0).expect("there are few incarnations")).into();
        self.written.push(Entry {
            id: id(),
            born: self.with_births.then_some(born),
            service: "s".parse().expect("an id"),
            address,
            data_centre: "d".parse().expect("an id"),
            state: State::Ready,
            stage: None,
            slots: 1,
            version: Default::default(),
            reclaimable: false,
            writes: 0,
            at: Point::without_era(self.written.len() as u64 + 1),
        });
    }

    /// The outstanding work of the first node in one incarnation of the runner.
    fn own_in(&self, tag: Tag) -> (Tag, Load) {
        (tag, self.nodes[0].by_tag(tag).map(|runner| runner.own).unwrap_or_default())
    }

    /// The incarnation of the runner that a node knows.
    fn known_incarnation(&self, at: usize) -> Option<StartTime> {
        let runner = self.nodes[at].get(&id())?;
        Some(StartTime(u64::from(runner.entry.address.port())))
    }

    fn step(&mut self, event: Event) {
        self.now += Duration::from_millis(1);
        match event {
            Event::Restart => {
                self.born = self.born.next();
                self.write(self.born);
            }
            Event::LateWrite => {
                if self.born > StartTime(1) {
                    self.write(StartTime(self.born.0 - 1));
                }
            }
            Event::TakeNewest(at) => {
                let entry = self.written.last().expect("at least one entry").clone();
                self.nodes[at].apply(entry);
            }
            Event::TakeOlder(at) => {
                if let Some(entry) = self.written.iter().rev().nth(1).cloned() {
                    self.nodes[at].apply(entry);
                }
            }
            Event::Begin(at) => {
                let born = self.known_incarnation(at);
                let registration = self.nodes[at].begin(&id(), COST, self.now);
                if let (Some(born), Some(registration)) = (born, registration) {
                    self.work[at].push(Work { registration, born });
                }
            }
            Event::End(at) => self.end(at),
            Event::SendReport => {
                let report = Report {
                    // A node reports each incarnation in which it has worked, also after its end.
                    loads: self.written.iter().map(|entry| self.own_in(entry.tag())).collect(),
                    prefills: std::mem::take(&mut self.prefills),
                    truth: self.work[0].iter().map(|work| work.born).collect(),
                };
                self.sent.push(report);
            }
            Event::ReceiveReport => {
                if !self.sent.is_empty() {
                    let report = self.sent.remove(0);
                    let node: NodeId = "edge-1".parse().expect("an id");
                    self.nodes[1].apply_load_report(&node, &report.loads, self.now);
                    for prefill in report.prefills {
                        self.nodes[1].apply_prefill_report(prefill, self.now);
                    }
                    self.heard = report.truth;
                }
            }
        }
    }

    fn end(&mut self, at: usize) {
        if self.work[at].is_empty() {
            return;
        }
        let work = self.work[at].remove(0);
        self.read.insert(work.born);
        let (register, now) = (&mut self.nodes[at], self.now);
        register.note_prefilled(&work.registration, COST);
        if let Some(runner) = register.registered_mut(&work.registration) {
            runner.cache.note(&chain(), Progress::Prefilled, now);
        }
        register.end(&work.registration, COST);
        if at == 0 {
            let runner = Tag::of(&work.registration.id, work.registration.born);
            let part = chain().0[0];
            self.prefills.push(PrefillReport { runner, part, progress: Progress::Prefilled });
        }
    }

    fn check(&self) -> Result<(), String> {
        for at in 0..NODES {
            let Some(runner) = self.nodes[at].get(&id()) else { continue };
            let known_incarnation = self.known_incarnation(at).expect("the runner is known");
            let mine = self.work[at].iter().filter(|work| work.born == known_incarnation).count();
            if runner.own.total() as usize != mine {
                return Err(format!("node {at} counts {} for {mine}", runner.own.total()));
            }
            if runner.cache.tokens() > 0 && !self.read.contains(&known_incarnation) {
                return Err(format!(
                    "node {at} considers cached what {known_incarnation} has not prefilled"
                ));
            }
            let of_others = runner.load(self.now).total() - runner.own.total();
            let most = self.heard.iter().filter(|born| **born == known_incarnation).count();
            if of_others as usize > most {
                return Err(format!("node {at} counts {of_others} for {most} of the other node"));
            }
        }
        Ok(())
    }

    /// Explores all orders of events from this state. Returns the first violation, and counts the
    /// states.
    fn explore(&self, depth: usize, path: &mut Vec<Event>, count: &mut u64) -> Result<(), String> {
        *count += 1;
        if depth == 0 {
            return Ok(());
        }
        for event in EVENTS {
            let mut next = self.clone();
            next.step(event);
            path.push(event);
            next.check().map_err(|error| format!("{error}, after {path:?}"))?;
            next.explore(depth - 1, path, count)?;
            path.pop();
        }
        Ok(())
    }
}

#[test]
fn incarnations_any_order_never_mixed() {
    // From a state with work in progress, and from there again with an outstanding report and a new
    // incarnation.
    let mut count = 0;
    let mut world = World::new(true);
    world.step(Event::Begin(0));
    assert_eq!(world.explore(DEPTH, &mut Vec::new(), &mut count), Ok(()));
    world.step(Event::SendReport);
    world.step(Event::Restart);
    assert_eq!(world.explore(DEPTH, &mut Vec::new(), &mut count), Ok(()));
    assert!(count > 300_000, "{count} states");
}

/// Broken variant: entries without start times, as if ids identified incarnations.
#[test]
fn incarnations_by_id_alone_caught() {
    let mut world = World::new(false);
    world.step(Event::Begin(0));
    let found = world.explore(4, &mut Vec::new(), &mut 0);
    assert!(found.is_err_and(|error| error.contains("Restart")));
}
