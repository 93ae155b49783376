//! Seeded exploration of several copies of the register: nodes start, list and watch the store, miss
//! and reorder messages, answer each other late, doubt and drop entries, while the store changes,
//! loses its history and is restored from a backup.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::seq::IndexedRandom as _;
use rand::{RngExt as _, SeedableRng as _};
use sardinepick_lib::fleet::outage::DOUBT;
use sardinepick_lib::fleet::register_digest::{EntryHash, EntryKey, RegisterDigest};
use sardinepick_lib::fleet::register_version::RegisterVersion;
use sardinepick_lib::history::{Era, Point};
use sardinepick_node::serve::register_replica::{Difference, RegisterReplica};
use sardinepick_platform::store::Object;
use smol_str::{SmolStr, format_smolstr};

const SEEDS: u64 = 3_000;
const STEPS: usize = 250;
const NODES: usize = 5;
const RUNNERS: u8 = 7;
/// How many rounds without faults make all copies equal: one to hear of the newest, one to ask.
const QUIET_ROUNDS: usize = 4;
/// The longest time that a message is on its way.
const MAX_TRANSIT: Duration = Duration::from_millis(200);

/// A mechanism that is left out, to show that the exploration notices.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Broken {
    Nothing,
    /// Answers are computed from the asker's version alone.
    AnswersByVersion,
    /// Announcements are applied without comparing the result.
    UncheckedAnnouncements,
    /// A list has the version of its newest entry.
    ListOfNewestEntry,
    /// Each node counts the time of doubt from when it hears of it.
    DoubtAnew,
}

/// The store, with the digest that a copy has at each point of its history.
struct Store {
    at: Point,
    entries: BTreeMap<SmolStr, Object>,
    changes: Vec<(Point, SmolStr)>,
    digests: HashMap<Point, RegisterDigest>,
    backup: (Point, BTreeMap<SmolStr, Object>),
}

impl Store {
    fn new() -> Self {
        let at = Point::new(Era(1), 1);
        let (entries, changes) = (BTreeMap::new(), Vec::new());
        let digests = HashMap::from([(at, RegisterDigest::default())]);
        Self { at, backup: (at, BTreeMap::new()), entries, changes, digests }
    }

    fn change(&mut self, name: SmolStr, exists: bool) {
        if !exists && !self.entries.contains_key(&name) {
            return;
        }
        self.at = Point::new(self.at.era, self.at.revision.0 + 1);
        if exists {
            let object = Object { name: name.clone(), at: self.at, content: "{}".into() };
            self.entries.insert(name.clone(), object);
        } else {
            self.entries.remove(&name);
        }
        self.changes.push((self.at, name));
        self.note_digest();
    }

    fn note_digest(&mut self) {
        let mut digest = RegisterDigest::default();
        self.entries.values().for_each(|o| digest.toggle(EntryHash::of(&o.name, o.at)));
        self.digests.insert(self.at, digest);
    }

    /// Restores the backup, which begins the next era.
    fn restore(&mut self) {
        let era = Era(self.at.era.0 + 1);
        self.at = Point::new(era, self.backup.0.revision.0);
        self.entries = self.backup.1.clone();
        // Nodes read the restored entries in the next era.
        self.entries
            .values_mut()
            .for_each(|object| object.at = Point::new(era, object.at.revision.0));
        self.changes.clear();
        self.note_digest();
        self.back_up();
    }

    fn back_up(&mut self) {
        self.backup = (self.at, self.entries.clone());
    }

    fn list(&self, broken: Broken) -> Difference {
        let entries: Vec<Object> = self.entries.values().cloned().collect();
        let newest = entries.iter().map(|object| object.at).max();
        let at = newest.filter(|_| broken == Broken::ListOfNewestEntry).unwrap_or(self.at);
        Difference {
            whole: true,
            entries,
            version: RegisterVersion::of(at).or_first(),
            ..Difference::default()
        }
    }

    /// The changes since a point of this era; `None` if the history is gone.
    fn changes_since(&self, from: Point) -> Option<Difference> {
        let first = self.changes.first().map_or(self.at, |(at, _)| *at);
        if from.era != self.at.era || from.revision.0 + 1 < first.revision.0 {
            return None;
        }
        let names: HashSet<&SmolStr> =
            self.changes.iter().filter(|(at, _)| *at > from).map(|(_, name)| name).collect();
        let version = if names.is_empty() {
            RegisterVersion::default()
        } else {
            RegisterVersion::of(self.at)
        };
        let mut difference = Difference { version, ..Difference::default() };
        for name in names {
            match self.entries.get(name) {
                Some(object) => difference.entries.push(object.clone()),
                None => difference.gone.push(name.clone()),
            }
        }
        Some(difference)
    }
}

#[derive(Default)]
struct Node {
    replica: RegisterReplica,
    /// Where its watch goes on.
    from: Option<Point>,
    passed_on: RegisterVersion,
    /// Entries that are kept although they are missing, and until when.
    doubted: HashMap<SmolStr, Instant>,
}

/// A message on its way to a node.
enum Message {
    Announcement(Difference),
    /// The sender, and the keys and the version of what it has.
    Request(usize, HashSet<EntryKey>, RegisterVersion),
    Answer(Difference),
    /// A list or an answer to a watch, what was known at the call, and where the watch goes on.
    Listed(Difference, RegisterVersion, Point),
}

struct World {
    rng: StdRng,
    broken: Broken,
    now: Instant,
    store: Store,
    nodes: Vec<Node>,
    messages: Vec<(usize, Instant, Message)>,
    /// Until when missing entries are doubted, after an outage of the store.
    doubt: Option<Instant>,
    /// When the doubt of an entry ends at the nodes that found it missing themselves.
    doubt_ends: HashMap<SmolStr, Instant>,
}

impl World {
    fn new(seed: u64, broken: Broken) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            broken,
            now: Instant::now(),
            store: Store::new(),
            nodes: (0..NODES).map(|_| Node::default()).collect(),
            messages: Vec::new(),
            doubt: None,
            doubt_ends: HashMap::new(),
        }
    }

    fn step(&mut self) -> Result<(), String> {
        let node = self.rng.random_range(0..NODES);
        let name = format_smolstr!("i-{}", self.rng.random_range(0..RUNNERS));
        match self.rng.random_range(0..20) {
            0..4 => self.store.change(name, self.rng.random_bool(0.6)),
            4..7 => self.call_store(node),
            7..9 => self.announce(node, 0.5),
            9..12 => self.ask(node, 0.8),
            12..15 if !self.messages.is_empty() => {
                let index = self.rng.random_range(0..self.messages.len());
                self.deliver(index);
            }
            15 => self.compare_digests(node),
            16 if self.rng.random_bool(0.4) => {
                self.nodes[node] = Node::default();
                self.messages.retain(|(receiver, _, message)| {
                    *receiver != node || !matches!(message, Message::Listed(..))
                });
            }
            17 if self.rng.random_bool(0.3) => {
                self.doubt = Some(self.now + DOUBT);
                self.store.change(name, false);
            }
            18 if self.rng.random_bool(0.3) => self.store.back_up(),
            19 if self.rng.random_bool(0.1) => self.store.restore(),
            _ => self.pass_time(),
        }
        self.check()
    }

    fn pass_time(&mut self) {
        self.now += Duration::from_millis(self.rng.random_range(1..120));
        let now = self.now;
        self.doubt = self.doubt.filter(|until| *until > now);
        for node in &mut self.nodes {
            let over: Vec<SmolStr> =
                node.doubted.extract_if(|_, until| *until <= now).map(|(name, _)| name).collect();
            node.replica.release(&over);
        }
        self.messages.retain(|(_, sent, _)| *sent + MAX_TRANSIT > now);
    }

    /// The first three nodes watch the store; a lost history makes them list.
    fn call_store(&mut self, node: usize) {
        if node >= 3 {
            return;
        }
        let known = self.nodes[node].replica.version();
        let changes = self.nodes[node].from.and_then(|from| self.store.changes_since(from));
        let answer = changes.filter(|_| self.rng.random_bool(0.8));
        let answer = answer.unwrap_or_else(|| self.store.list(self.broken));
        let message = Message::Listed(answer, known, self.store.at);
        self.messages.push((node, self.now, message));
    }

    fn announce(&mut self, node: usize, share: f64) {
        let replica = &self.nodes[node].replica;
        let version = replica.version();
        let changes = replica.recent_changes(self.nodes[node].passed_on, self.now);
        self.nodes[node].passed_on = version;
        let Some(changes) = changes else { return };
        for other in 0..NODES {
            if other != node && self.rng.random_bool(share) {
                let message = Message::Announcement(changes.clone());
                self.messages.push((other, self.now, message));
            }
        }
    }

    /// Asks a node with a later version.
    fn ask(&mut self, node: usize, share: f64) {
        let replica = &self.nodes[node].replica;
        let (mine, keys) = (replica.version(), replica.keys().into_iter().collect());
        let ahead = |other: &usize| self.nodes[*other].replica.version() > mine;
        let ahead: Vec<usize> = (0..NODES).filter(ahead).collect();
        if let Some(other) = ahead.choose(&mut self.rng).copied()
            && self.rng.random_bool(share)
        {
            self.messages.push((other, self.now, Message::Request(node, keys, mine)));
        }
    }

    fn compare_digests(&mut self, node: usize) {
        let digest = self.nodes[node].replica.digest();
        let same = self.nodes.iter().map(|other| &other.replica);
        let same = same.filter(|replica| replica.is_known() && replica.digest() == digest);
        let newest = same.map(RegisterReplica::version).max();
        if let Some(newest) = newest
            && self.nodes[node].replica.is_known()
        {
            self.nodes[node].replica.adopt(newest);
        }
    }

    fn deliver(&mut self, index: usize) {
        let (node, _, message) = self.messages.swap_remove(index);
        match message {
            Message::Request(sender, keys, version) => {
                let answer = self.answer(node, &keys, version);
                self.messages.push((sender, self.now, Message::Answer(answer)));
            }
            Message::Announcement(mut difference) => {
                if self.broken == Broken::UncheckedAnnouncements {
                    difference.digest = None;
                }
                let replica = &self.nodes[node].replica;
                if replica.is_known() && replica.is_behind(&difference) {
                    self.apply(node, &difference, None);
                }
            }
            Message::Answer(difference) => {
                if self.nodes[node].replica.is_behind(&difference) {
                    self.apply(node, &difference, None);
                }
            }
            Message::Listed(answer, known, at) => {
                if at.era != self.store.at.era {
                    return;
                }
                self.nodes[node].from = Some(at);
                if self.nodes[node].replica.uses_answer(&answer, known) {
                    self.apply(node, &answer, self.doubt);
                }
            }
        }
    }

    fn answer(
        &self,
        node: usize,
        keys: &HashSet<EntryKey>,
        version: RegisterVersion,
    ) -> Difference {
        let replica = &self.nodes[node].replica;
        let answer = replica.difference_for(keys, self.now);
        if self.broken != Broken::AnswersByVersion || answer.whole {
            return answer;
        }
        // What the node remembers since then: nothing from before its own start.
        let gone = replica.recent_changes(version, self.now).unwrap_or_default().gone;
        Difference { absent: Vec::new(), gone, digest: None, ..answer }
    }

    fn apply(&mut self, node: usize, difference: &Difference, doubt: Option<Instant>) {
        let (now, broken) = (self.now, self.broken);
        let node = &mut self.nodes[node];
        let was_known = node.replica.is_known();
        let Ok(removed) = node.replica.apply(difference) else { return };
        for object in &difference.entries {
            node.doubted.remove(&object.name);
        }
        let left = |left: Duration| if broken == Broken::DoubtAnew { DOUBT } else { left };
        let told = |name: &SmolStr| {
            let told = difference.doubts.iter().find(|doubt| doubt.name == *name);
            told.map(|told| now + left(told.left))
        };
        let first = difference.doubts.iter().filter(|_| !was_known);
        let first = first.filter_map(|doubt| doubt.object.clone());
        for object in removed.into_iter().chain(first) {
            if told(&object.name).is_none()
                && let Some(until) = doubt
            {
                let end = self.doubt_ends.entry(object.name.clone()).or_insert(until);
                *end = until.max(*end);
            }
            if let Some(until) = told(&object.name).or(doubt) {
                node.doubted.entry(object.name.clone()).or_insert(until);
                node.replica.retain(object, until);
            }
        }
    }

    /// Each copy holds exactly what the store held at its version, and no entry is doubted for longer
    /// than where it was found missing, but for the time that messages take from node to node.
    fn check(&self) -> Result<(), String> {
        for (at, node) in self.nodes.iter().enumerate().filter(|(_, n)| n.replica.is_known()) {
            let version = node.replica.version();
            let held = self.store.digests.get(&version.point()).copied();
            if held.is_some_and(|held| held != node.replica.digest()) {
                return Err(format!("node {at} does not hold the register of {version}"));
            }
            let delay = MAX_TRANSIT * (NODES as u32 - 1);
            let is_late =
                |(name, until): (&SmolStr, &Instant)| *until > self.doubt_ends[name] + delay;
            if node.doubted.iter().any(is_late) {
                return Err(format!("node {at} doubts an entry for too long"));
            }
        }
        Ok(())
    }

    /// No more faults: all copies become the store's within a few rounds.
    fn calm_down(&mut self) -> Result<(), String> {
        for _ in 0..QUIET_ROUNDS {
            for node in 0..NODES {
                self.call_store(node);
                self.announce(node, 1.0);
                self.compare_digests(node);
                self.ask(node, 1.0);
                while !self.messages.is_empty() {
                    self.deliver(0);
                    self.check()?;
                }
            }
        }
        let current = self.store.digests[&self.store.at];
        match self.nodes.iter().position(|node| node.replica.digest() != current) {
            Some(node) => Err(format!("node {node} does not hold the store's register")),
            None => Ok(()),
        }
    }
}

fn explore(seed: u64, broken: Broken) -> Result<(), String> {
    let mut world = World::new(seed, broken);
    for _ in 0..STEPS {
        world.step()?;
    }
    world.calm_down()
}

#[test]
fn replicas_any_schedule_hold_the_stores_register() {
    for seed in 0..SEEDS {
        if let Err(violation) = explore(seed, Broken::Nothing) {
            panic!("seed {seed}: {violation}");
        }
    }
}

/// The exploration notices each mechanism that is left out.
#[test]
fn replicas_without_a_mechanism_caught() {
    for broken in [
        Broken::AnswersByVersion,
        Broken::UncheckedAnnouncements,
        Broken::ListOfNewestEntry,
        Broken::DoubtAnew,
    ] {
        let caught = (0..SEEDS).find_map(|seed| explore(seed, broken).err().map(|why| (seed, why)));
        println!("{broken:?}: {caught:?}");
        assert!(caught.is_some(), "{broken:?} was not noticed");
    }
}
