//! Lives of one runner as two nodes see them, explored exhaustively: every order of restarts, late
//! writes of a former life, entries that come late and out of order, work that ends after its life,
//! and reports between the nodes that are heard late.
//!
//! Whatever happens, a node counts at a runner just the work that it began in the life it believes
//! in, counts of the other node's work nothing of another life, and believes kept only what that
//! life has read. A register that goes by the id alone is explored as well, and must be caught.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use sardinepick_lib::fleet::cache::{Chain, Progress};
use sardinepick_lib::fleet::load::{Class, Load};
use sardinepick_lib::fleet::register::{Reading, Register, Share};
use sardinepick_lib::fleet::runner::{Entry, State, Stay, Tag};
use sardinepick_lib::history::Point;
use sardinepick_lib::id::{NodeId, RunnerId, StartTime};

const NODES: usize = 2;
/// Events explored from each start.
const DEPTH: usize = 5;
const SHARE: Share = Share { class: Class::LATE, fresh: 10, footprint: 20 };

#[derive(Clone, Copy, Debug)]
enum Event {
    /// The runner dies and starts again, and writes its entry.
    Restart,
    /// A write of the life before arrives at the store.
    LateWrite,
    /// A node takes the newest entry.
    TakeNewest(usize),
    /// A node takes the entry before the newest.
    TakeOlder(usize),
    /// A node begins work.
    Begin(usize),
    /// A node's oldest work ends, its prompt read.
    End(usize),
    /// The first node reports its loads and what was read for it.
    Tell,
    /// The second node hears the oldest report that it has not heard.
    Hear,
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
    Event::Tell,
    Event::Hear,
];

/// Work under way, with the life that its node believed in when it began.
#[derive(Clone)]
struct Work {
    stay: Stay,
    born: StartTime,
}

#[derive(Clone)]
struct Report {
    loads: Vec<(Tag, Load)>,
    readings: Vec<Reading>,
    /// How much work of each life the sender had.
    truth: Vec<StartTime>,
}

#[derive(Clone)]
struct World {
    now: Instant,
    born: StartTime,
    written: Vec<Entry>,
    nodes: [Register; NODES],
    work: [Vec<Work>; NODES],
    readings: Vec<Reading>,
    told: Vec<Report>,
    heard: Vec<StartTime>,
    /// The lives that have read the prompt.
    read: HashSet<StartTime>,
    /// Whether births are told at all.
    lives: bool,
}

fn id() -> RunnerId {
    "i-1".parse().expect("an id")
}

fn chain() -> Chain {
    Chain::new("m", [("shared", 100), ("own", 10)].into_iter())
}

impl World {
    fn new(lives: bool) -> Self {
        let mut world = Self {
            now: Instant::now(),
            born: StartTime(1),
            written: Vec::new(),
            nodes: [Register::default(), Register::default()],
            work: [Vec::new(), Vec::new()],
            readings: Vec::new(),
            told: Vec::new(),
            heard: Vec::new(),
            read: HashSet::new(),
            lives,
        };
        world.write(StartTime(1));
        for at in 0..NODES {
            world.step(Event::TakeNewest(at));
        }
        world
    }

    /// Writes an entry of one life; each life has an address of its own, by which it is told apart
    /// here whatever the register does.
    fn write(&mut self, born: StartTime) {
        let address = ([127, 0, 0, 1], u16::try_from(born.0).expect("few lives")).into();
        self.written.push(Entry {
            id: id(),
            born: self.lives.then_some(born),
            service: "s".parse().expect("an id"),
            address,
            data_centre: "d".parse().expect("an id"),
            state: State::Ready,
            stage: None,
            slots: 1,
            reclaimable: false,
            writes: 0,
            at: Point::without_era(self.written.len() as u64 + 1),
        });
    }

    /// The life that a node believes in.
    /// What the first node has under way in one life of the runner.
    fn own_in(&self, tag: Tag) -> (Tag, Load) {
        (tag, self.nodes[0].by_tag(tag).map(|runner| runner.own).unwrap_or_default())
    }

    fn believed(&self, at: usize) -> Option<StartTime> {
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
                let entry = self.written.last().expect("one at least").clone();
                self.nodes[at].apply(entry);
            }
            Event::TakeOlder(at) => {
                if let Some(entry) = self.written.iter().rev().nth(1).cloned() {
                    self.nodes[at].apply(entry);
                }
            }
            Event::Begin(at) => {
                let born = self.believed(at);
                let stay = self.nodes[at].begin(&id(), SHARE, self.now);
                if let (Some(born), Some(stay)) = (born, stay) {
                    self.work[at].push(Work { stay, born });
                }
            }
            Event::End(at) => self.end(at),
            Event::Tell => {
                let report = Report {
                    // A node tells of each life that it has worked in, also when that is over.
                    loads: self.written.iter().map(|entry| self.own_in(entry.tag())).collect(),
                    readings: std::mem::take(&mut self.readings),
                    truth: self.work[0].iter().map(|work| work.born).collect(),
                };
                self.told.push(report);
            }
            Event::Hear => {
                if !self.told.is_empty() {
                    let report = self.told.remove(0);
                    let node: NodeId = "edge-1".parse().expect("an id");
                    self.nodes[1].take_report(&node, &report.loads, self.now);
                    for reading in report.readings {
                        self.nodes[1].take_reading(reading, self.now);
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
        register.note_read(&work.stay, SHARE);
        if let Some(runner) = register.in_stay_mut(&work.stay) {
            runner.cache.note(&chain(), Progress::Read, now);
        }
        register.end(&work.stay, SHARE);
        if at == 0 {
            let runner = Tag::of(&work.stay.id, work.stay.born);
            let part = chain().0[0];
            self.readings.push(Reading { runner, part, progress: Progress::Read });
        }
    }

    fn check(&self) -> Result<(), String> {
        for at in 0..NODES {
            let Some(runner) = self.nodes[at].get(&id()) else { continue };
            let believed = self.believed(at).expect("it is known");
            let mine = self.work[at].iter().filter(|work| work.born == believed).count();
            if runner.own.total() as usize != mine {
                return Err(format!("node {at} counts {} for {mine}", runner.own.total()));
            }
            if runner.cache.tokens() > 0 && !self.read.contains(&believed) {
                return Err(format!("node {at} believes kept what {believed} has not read"));
            }
            let of_others = runner.load(self.now).total() - runner.own.total();
            let most = self.heard.iter().filter(|born| **born == believed).count();
            if of_others as usize > most {
                return Err(format!("node {at} counts {of_others} of another's {most}"));
            }
        }
        Ok(())
    }

    /// Runs all orders of events from here; gives the first that breaks a promise, and counts runs.
    fn explore(&self, depth: usize, way: &mut Vec<Event>, count: &mut u64) -> Result<(), String> {
        *count += 1;
        if depth == 0 {
            return Ok(());
        }
        for event in EVENTS {
            let mut next = self.clone();
            next.step(event);
            way.push(event);
            next.check().map_err(|error| format!("{error}, after {way:?}"))?;
            next.explore(depth - 1, way, count)?;
            way.pop();
        }
        Ok(())
    }
}

#[test]
fn lives_any_order_never_crossed() {
    // From work under way, and from there again with a report not yet heard and a new life.
    let mut count = 0;
    let mut world = World::new(true);
    world.step(Event::Begin(0));
    assert_eq!(world.explore(DEPTH, &mut Vec::new(), &mut count), Ok(()));
    world.step(Event::Tell);
    world.step(Event::Restart);
    assert_eq!(world.explore(DEPTH, &mut Vec::new(), &mut count), Ok(()));
    assert!(count > 300_000, "{count} states");
}

/// Broken: births are not told, as if ids named lives.
#[test]
fn lives_by_id_alone_caught() {
    let mut world = World::new(false);
    world.step(Event::Begin(0));
    let found = world.explore(4, &mut Vec::new(), &mut 0);
    assert!(found.is_err_and(|error| error.contains("Restart")));
}
