//! The nodes that serve together: who is there, who takes callers, who has fallen silent.
//!
//! Each node sends its beats to a few others, its *watchers*, whatever their number: those of highest
//! weight for it, the same at all nodes that know the same ones. A watcher that hears nothing asks,
//! and then tells all that the node is silent. What is new of a node goes as a *record* from each
//! node to its watchers as soon as it is heard of; along these few edges it reaches hundreds of nodes
//! in three or four steps. Beats carry a digest of all that is known, and nodes whose digests stay
//! apart compare their lists, so that what is lost on the way does not stay lost.
//!
//! With eight others or fewer, all are watchers of each other.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::Rng;
use rand::seq::IteratorRandom as _;
use smallvec::SmallVec;

use super::digest::Differences;
use super::mark::Mark;
use crate::hash::stable_hash;
use crate::id::{ConfigVersion, DataCentre, Incarnation, NodeId};

/// How many nodes a node beats to. In a graph drawn so, news reaches 550 nodes in four steps, and a
/// node is cut from all its watchers at once only when most nodes are lost.
pub const WATCHERS: usize = 8;
/// The time between beats. With eight watchers a node sends 40 beats a second, some 5 KB.
pub const PERIOD: Duration = Duration::from_millis(200);
/// The silence after which a watcher asks a node: three beats.
pub const SILENCE: Duration = Duration::from_millis(600);
/// How often a silent node is asked, and the pause between two questions, before it is told of as
/// silent. A node that is held up for a tenth of a second must not be; a lost datagram is made up for.
const QUESTIONS: u8 = 2;
const QUESTION_PAUSE: Duration = Duration::from_millis(150);
/// How many records one beat carries, at up to 84 bytes each.
pub const MOST_RECORDS: usize = 14;
/// How often those who watch this one, and whom it watches, are worked out anew at the most: it takes
/// a look at each pair of nodes.
const WATCH_PERIOD: Duration = Duration::from_secs(1);
/// A tick that comes so late means that this process was held up, and heard nobody for that reason.
const HELD_UP: Duration = Duration::from_millis(400);

/// How a node stands towards callers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Standing {
    /// It knows no configuration yet.
    #[default]
    Starting,
    /// It takes callers.
    Ready,
    /// It finishes what it has.
    Leaving,
}

/// A node as others know it.
#[derive(Clone, Debug, PartialEq)]
pub struct Contact {
    /// Its name.
    pub id: NodeId,
    /// Its process, by the time it started.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where callers reach it.
    pub front: SocketAddr,
    /// Where other nodes reach it.
    pub peer: SocketAddr,
}

/// What a beat says besides who sends it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Status {
    /// How the node stands.
    pub standing: Standing,
    /// The version of its configuration.
    pub version: ConfigVersion,
    /// How new its knowledge of the register of runners is.
    pub register: Mark,
    /// Whether the platform's store serves it; a node that has not tried counts as served.
    pub served: bool,
}

/// What is known of a node, as nodes pass it on.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// The node.
    pub contact: Contact,
    /// How it stands.
    pub standing: Standing,
    /// Whether the store serves it.
    pub served: bool,
    /// Which of its own changes this is. A later one outweighs an earlier one.
    pub serial: u32,
    /// Whether it has fallen silent since. That outweighs what the node said itself, until it says
    /// more.
    pub silent: bool,
}

impl Record {
    fn weight(&self) -> (Incarnation, u32, bool) {
        (self.contact.incarnation, self.serial, self.silent)
    }

    /// A hash of what it says, for the digest. Nodes that are silent or only known by name count for
    /// nothing: they are forgotten sooner here, later there.
    fn digest(&self) -> u64 {
        if self.silent {
            return 0;
        }
        let id = stable_hash(u64::from(self.serial), self.contact.id.as_str().as_bytes());
        stable_hash(id, &self.contact.incarnation.0.to_le_bytes())
    }
}

#[derive(Clone, Debug)]
struct Member {
    record: Record,
    /// What it said last itself.
    status: Status,
    /// When it was last heard itself.
    heard: Option<Instant>,
    /// When the record came.
    since: Instant,
    /// Whether this node is one of its watchers, and since when.
    watched: Option<Instant>,
    /// Questions that it has left unanswered, and when the last was asked.
    questions: u8,
    asked: Option<Instant>,
}

/// The other nodes, and what this one says of itself.
#[derive(Clone, Debug)]
pub struct Roster {
    me: Record,
    members: HashMap<NodeId, Member>,
    /// Records to be passed on, each in one beat: a node gets it from eight others, so few are missed.
    news: VecDeque<Record>,
    watchers: SmallVec<[SocketAddr; WATCHERS]>,
    /// When the watchers were worked out, and whether nodes have come or gone since.
    watched_at: Option<Instant>,
    changed: bool,
    ticked: Option<Instant>,
    /// When this node last heard any other.
    heard: Option<Instant>,
    /// The nodes whose lists differ from this one's.
    differences: Differences,
}

impl Roster {
    /// The roster of a node that knows no other.
    pub fn new(me: Contact) -> Self {
        let standing = Standing::Starting;
        Self {
            me: Record { contact: me, standing, served: true, serial: 1, silent: false },
            members: HashMap::new(),
            news: VecDeque::new(),
            watchers: SmallVec::new(),
            watched_at: None,
            changed: true,
            ticked: None,
            heard: None,
            differences: Differences::default(),
        }
    }

    /// What this node says of itself.
    pub fn me(&self) -> &Record {
        &self.me
    }

    /// Sets how this node stands. True if that is to be told.
    pub fn set_me(&mut self, standing: Standing, served: bool) -> bool {
        if (self.me.standing, self.me.served) == (standing, served) {
            return false;
        }
        (self.me.standing, self.me.served) = (standing, served);
        self.me.serial += 1;
        self.spread(self.me.clone());
        true
    }

    /// Takes in a node that was read from the store; nothing is heard of it yet. True if it was not
    /// known.
    pub fn introduce(&mut self, contact: Contact, now: Instant) -> bool {
        if contact.id == self.me.contact.id || self.members.contains_key(&contact.id) {
            return false;
        }
        let standing = Standing::Starting;
        let record = Record { contact, standing, served: true, serial: 0, silent: true };
        self.insert(record, now);
        true
    }

    fn insert(&mut self, record: Record, now: Instant) {
        let status =
            Status { standing: record.standing, served: record.served, ..Status::default() };
        let (heard, watched, asked) = (None, None, None);
        let member = Member { record, status, heard, since: now, watched, questions: 0, asked };
        self.members.insert(member.record.contact.id.clone(), member);
        self.changed = true;
    }

    /// Takes in what another node knows of one. True if it is news, which is passed on.
    pub fn take_record(&mut self, record: &Record, now: Instant) -> bool {
        if record.contact.id == self.me.contact.id {
            return self.object(record);
        }
        let Some(member) = self.members.get_mut(&record.contact.id) else {
            // A node that is first heard of as silent is not worth remembering.
            if record.silent {
                return false;
            }
            self.insert(record.clone(), now);
            self.spread(record.clone());
            return true;
        };
        if record.weight() <= member.record.weight() {
            return false;
        }
        let was = &member.record;
        let life = (was.contact.incarnation, was.silent);
        self.changed |= life != (record.contact.incarnation, record.silent);
        if was.contact.incarnation != record.contact.incarnation {
            (member.status, member.heard) = (Status::default(), None);
        }
        member.status.standing = record.standing;
        member.status.served = record.served;
        member.record = record.clone();
        (member.since, member.questions, member.asked) = (now, 0, None);
        self.spread(record.clone());
        true
    }

    /// Contradicts a record that takes this life of this node for silent.
    fn object(&mut self, record: &Record) -> bool {
        let mine = record.contact.incarnation == self.me.contact.incarnation;
        if !mine || !record.silent || record.serial < self.me.serial {
            return false;
        }
        self.me.serial = record.serial + 1;
        self.spread(self.me.clone());
        true
    }

    fn spread(&mut self, record: Record) {
        self.news.retain(|other| other.contact.id != record.contact.id);
        self.news.push_back(record);
    }

    /// Takes in a beat: what its sender says of itself and of what it knows. True if that is news.
    pub fn take_beat(&mut self, record: &Record, status: Status, now: Instant) -> bool {
        let new = self.take_record(record, now);
        self.heard = Some(now);
        if let Some(member) = self.members.get_mut(&record.contact.id)
            && member.record.contact.incarnation == record.contact.incarnation
        {
            member.heard = Some(now);
            (member.questions, member.asked) = (0, None);
            member.status.version = member.status.version.max(status.version);
            member.status.register = member.status.register.max(status.register);
        }
        new
    }

    /// Whether a node that speaks is taken for silent here: it has to be told, so that it
    /// contradicts. Without that, nodes that lost each other would never find together again.
    pub fn is_mistaken(&self, record: &Record) -> Option<&Record> {
        let known = &self.members.get(&record.contact.id)?.record;
        (known.silent && known.weight() > record.weight()).then_some(known)
    }

    /// The records to go with the next beat.
    pub fn take_news(&mut self) -> Vec<Record> {
        let some = self.news.len().min(MOST_RECORDS);
        self.news.drain(..some).collect()
    }

    /// Whether there are records that no beat has carried yet.
    pub fn has_news(&self) -> bool {
        !self.news.is_empty()
    }

    /// A few nodes that are there, for one that knows nobody.
    pub fn some<R: Rng>(&self, rng: &mut R) -> Vec<Record> {
        let there = self.present().map(|m| m.record.clone());
        there.sample(rng, MOST_RECORDS - 1)
    }

    /// A digest of all nodes that are there.
    pub fn digest(&self) -> u64 {
        let others = self.members.values().map(|member| member.record.digest());
        others.fold(self.me.digest(), |sum, one| sum ^ one)
    }

    /// Compares another node's digest with this one's. True if the lists have differed for so long that
    /// they should be compared.
    pub fn note_digest(&mut self, node: &NodeId, digest: u64, now: Instant) -> bool {
        let same = digest == self.digest();
        self.differences.note(node, same, now)
    }

    /// All that is known of nodes that are there, for another node.
    pub fn records(&self) -> Vec<Record> {
        let there = self.members.values().map(|m| &m.record).filter(|record| !record.silent);
        std::iter::once(&self.me).chain(there).cloned().collect()
    }

    /// Where this node's beats go.
    pub fn watchers(&self) -> &[SocketAddr] {
        &self.watchers
    }

    /// Looks after those that this node watches. Gives whom to ask whether it is there; those that do
    /// not answer are told of as silent.
    pub fn tick(&mut self, now: Instant) -> Vec<SocketAddr> {
        let held_up = self.ticked.is_some_and(|at| now > at + HELD_UP);
        self.ticked = Some(now);
        let due = self.watched_at.is_none_or(|at| now >= at + WATCH_PERIOD);
        if self.changed && (due || self.members.len() <= WATCHERS) {
            self.choose_watchers(now);
        }
        // Who hears nobody is cut off, or was held up, and says nothing of others.
        let deaf = self.heard.is_none_or(|at| now > at + SILENCE);
        if held_up || deaf {
            for member in self.members.values_mut() {
                member.watched = member.watched.map(|_| now);
                (member.questions, member.asked) = (0, None);
            }
        }
        let (mut ask, mut silent) = (Vec::new(), Vec::new());
        for member in self.members.values_mut() {
            let Some(watched) = member.watched.filter(|_| !member.record.silent) else { continue };
            let heard = member.heard.map_or(watched, |at| at.max(watched)).max(member.since);
            let quiet = now > heard + SILENCE;
            if !quiet || member.asked.is_some_and(|at| now < at + QUESTION_PAUSE) {
                continue;
            }
            if member.questions < QUESTIONS {
                member.questions += 1;
                member.asked = Some(now);
                ask.push(member.record.contact.peer);
            } else {
                silent.push(Record { silent: true, ..member.record.clone() });
            }
        }
        for record in silent {
            self.take_record(&record, now);
        }
        ask
    }

    /// Works out who watches this node, and whom it watches.
    fn choose_watchers(&mut self, now: Instant) {
        self.changed = false;
        self.watched_at = Some(now);
        let key = |record: &Record| stable_hash(0, record.contact.id.as_str().as_bytes());
        let there = self.members.values().filter(|m| !m.record.silent);
        let mut nodes: Vec<(u64, SocketAddr)> =
            there.map(|m| (key(&m.record), m.record.contact.peer)).collect();
        let me = key(&self.me);
        let weight = |of: u64, watcher: u64| stable_hash(of, &watcher.to_le_bytes());
        // How many come before this node among the watchers of another.
        let before = |of: u64| {
            let mine = weight(of, me);
            let others = nodes.iter().filter(|(node, _)| *node != of);
            others.filter(|(node, _)| weight(of, *node) > mine).take(WATCHERS).count()
        };
        for member in self.members.values_mut() {
            let watches = !member.record.silent && before(key(&member.record)) < WATCHERS;
            member.watched = watches.then(|| member.watched.unwrap_or(now));
        }
        nodes.sort_unstable_by_key(|(node, _)| std::cmp::Reverse(weight(me, *node)));
        self.watchers = nodes.iter().take(WATCHERS).map(|(_, peer)| *peer).collect();
    }

    /// All nodes that were ever known, this one not among them.
    pub fn known(&self) -> usize {
        self.members.len()
    }

    /// Where the nodes are reached that are silent or only known by name: they may be back.
    pub fn lost(&self) -> impl Iterator<Item = SocketAddr> {
        self.members.values().filter(|m| m.record.silent).map(|m| m.record.contact.peer)
    }

    /// The nodes that the store serves, as far as anyone has tried.
    pub fn served(&self) -> impl Iterator<Item = &NodeId> {
        let there = self.present().filter(|m| m.record.served);
        there.map(|m| &m.record.contact.id)
    }

    /// The nodes that are there.
    pub fn ids(&self) -> impl Iterator<Item = &NodeId> {
        self.present().map(|m| &m.record.contact.id)
    }

    /// All other nodes that were ever known, and when what is known of each came.
    pub fn members(&self) -> impl Iterator<Item = (&Record, Instant)> {
        self.members.values().map(|m| (&m.record, m.since))
    }

    /// The other nodes that are there.
    pub fn present_records(&self) -> impl Iterator<Item = &Record> {
        self.present().map(|m| &m.record)
    }

    fn present(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|m| !m.record.silent)
    }

    /// The nodes that are there as a part of those that could be, this one among both. Nodes that
    /// said that they leave could not; silent ones may be on the other side of a partition.
    pub fn part(&self) -> f64 {
        let heard = self.members.values().filter(|m| m.record.serial > 0);
        let could = heard.filter(|m| m.record.standing != Standing::Leaving).count() + 1;
        let there = self.present().filter(|m| m.record.standing != Standing::Leaving).count() + 1;
        there.min(could) as f64 / could as f64
    }

    /// What a node said last of itself.
    pub fn status(&self, id: &NodeId) -> Option<Status> {
        self.members.get(id).map(|m| m.status)
    }

    /// The nodes that take callers.
    pub fn fronts(&self) -> Vec<&Contact> {
        let ready = self.present().filter(|m| m.record.standing == Standing::Ready);
        ready.map(|m| &m.record.contact).collect()
    }

    /// The nodes that are there and know a newer register than `mine`.
    pub fn with_newer_register(&self, mine: Mark) -> impl Iterator<Item = (&Contact, Status)> {
        let newer = self.present().filter(move |m| m.status.register > mine);
        newer.map(|m| (&m.record.contact, m.status))
    }

    /// The nodes that are there and have a newer configuration than `mine`.
    pub fn with_newer_configuration(&self, mine: ConfigVersion) -> impl Iterator<Item = &Contact> {
        let newer = self.present().filter(move |m| m.status.version > mine);
        newer.map(|m| &m.record.contact)
    }

    /// Forgets nodes that have been silent for `limit`, for good as far as this node knows.
    pub fn forget(&mut self, now: Instant, limit: Duration) -> Vec<NodeId> {
        let gone = |m: &Member| m.record.silent && now.saturating_duration_since(m.since) > limit;
        let ids: Vec<NodeId> =
            self.members.iter().filter(|(_, m)| gone(m)).map(|(id, _)| id.clone()).collect();
        for id in &ids {
            self.members.remove(id);
        }
        ids
    }
}
