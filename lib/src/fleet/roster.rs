//! Membership: which nodes are present, which accept callers, and which have failed.
//!
//! Each node sends heartbeats to a few others, its *watchers*, whatever the number of nodes: those
//! with the highest rendezvous weight for it, which are the same on all nodes that know the same
//! nodes. A watcher that hears nothing probes the node, and then tells all others that it is
//! silent. Updates about a node are passed as *records* from each node to its watchers as soon as
//! they arrive; over these few edges they reach hundreds of nodes in three or four hops. Heartbeats
//! carry a digest of all records, and nodes whose digests keep differing compare their lists, so
//! that lost updates are repaired.
//!
//! With up to eight other nodes, all are watchers of each other.
//!
//! A node that hears too few others searches for them ([`super::search`]), and sends heartbeats also
//! to those that it finds.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::Rng;
use rand::seq::IteratorRandom as _;
use smallvec::SmallVec;

use super::digest::Differences;
use super::register_version::RegisterVersion;
use super::search::{Search, WIDTH};
use crate::hash::stable_hash;
use crate::id::{ConfigVersion, DataCentre, Incarnation, NodeId};

/// The number of nodes to which a node sends heartbeats. In a random graph of this degree, updates
/// reach 550 nodes in four hops, and a node loses all its watchers at once only when most nodes are
/// lost.
pub const WATCHERS: usize = 8;
/// The heartbeat interval. With eight watchers a node sends 40 heartbeats per second, about 5 KB.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(200);
/// The silence after which a watcher probes a node: three heartbeats.
pub const PROBE_AFTER: Duration = Duration::from_millis(600);
/// The number of probes and their interval before a node is reported as silent. A stall of a tenth
/// of a second, or a lost datagram, must not cause a report.
const PROBES: u8 = 2;
const PROBE_INTERVAL: Duration = Duration::from_millis(150);
/// The maximum number of records in one heartbeat, at up to 84 bytes each.
pub const MAX_RECORDS: usize = 14;
/// The minimum time between computations of the watchers of this node and of the nodes it watches:
/// each examines every pair of nodes.
const WATCHERS_PERIOD: Duration = Duration::from_secs(1);
/// The time between ticks from which this process counts as stalled, so that the stall explains why
/// it heard from no other.
const STALL_THRESHOLD: Duration = Duration::from_millis(400);

/// Whether a node accepts callers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Standing {
    /// It has no configuration yet.
    #[default]
    Starting,
    /// It accepts callers.
    Ready,
    /// It finishes outstanding requests.
    Leaving,
}

/// The identity and addresses of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct Contact {
    /// The node's id.
    pub id: NodeId,
    /// The start time of its process.
    pub incarnation: Incarnation,
    /// The data centre it runs in.
    pub data_centre: DataCentre,
    /// The address for callers.
    pub front: SocketAddr,
    /// The address for other nodes.
    pub peer: SocketAddr,
}

/// The contents of a heartbeat besides the identity of its sender.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Status {
    /// Whether the node accepts callers.
    pub standing: Standing,
    /// The version of its configuration.
    pub version: ConfigVersion,
    /// The version of its copy of the runner register.
    pub register: RegisterVersion,
    /// Whether the platform's store answers it; true for a node that has not tried.
    pub served: bool,
}

/// The state of a node, as passed on between nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// The node.
    pub contact: Contact,
    /// Whether it accepts callers.
    pub standing: Standing,
    /// Whether the store answers it.
    pub served: bool,
    /// The number of the node's own change. A later one supersedes an earlier one.
    pub serial: u32,
    /// Whether it has been reported as silent since. This supersedes what the node has said itself,
    /// until it sends a later serial.
    pub silent: bool,
}

impl Record {
    fn precedence(&self) -> (Incarnation, u32, bool) {
        (self.contact.incarnation, self.serial, self.silent)
    }

    /// A hash of the record for the digest. Nodes that are silent or only known from the store are
    /// excluded, as nodes remove them at different times.
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
    /// The last status that the node has sent itself.
    status: Status,
    /// When its last heartbeat arrived.
    last_heard: Option<Instant>,
    /// When the record arrived.
    since: Instant,
    /// Since when this node is one of its watchers; `None` if it is not.
    watched: Option<Instant>,
    /// The number of unanswered probes, and the time of the last one.
    probes: u8,
    probed_at: Option<Instant>,
}

impl Member {
    /// Whether a heartbeat has arrived recently.
    fn is_heard(&self, now: Instant) -> bool {
        self.last_heard.is_some_and(|at| now.saturating_duration_since(at) <= PROBE_AFTER)
    }
}

/// The other nodes, and this node's own record.
#[derive(Clone, Debug)]
pub struct Roster {
    me: Record,
    members: HashMap<NodeId, Member>,
    /// Records to pass on, each in one heartbeat: a node receives an update from eight others, so
    /// it rarely misses one.
    updates: VecDeque<Record>,
    /// The watchers.
    chosen: SmallVec<[SocketAddr; WATCHERS]>,
    /// The nodes to which this node sends heartbeats.
    targets: SmallVec<[SocketAddr; WATCHERS]>,
    /// When the watchers were computed, and whether nodes have joined or left since.
    watched_at: Option<Instant>,
    changed: bool,
    last_tick: Option<Instant>,
    /// When this node last received a heartbeat.
    last_heard: Option<Instant>,
    /// The nodes whose lists differ from this node's.
    differences: Differences,
    search: Search,
}

/// The hash of a node's id by which watchers are chosen, and nodes searched for.
fn place(record: &Record) -> u64 {
    stable_hash(0, record.contact.id.as_str().as_bytes())
}

impl Roster {
    /// Creates the roster of a node that knows no other.
    pub fn new(me: Contact) -> Self {
        let standing = Standing::Starting;
        let me = Record { contact: me, standing, served: true, serial: 1, silent: false };
        Self {
            search: Search::new(place(&me)),
            me,
            members: HashMap::new(),
            updates: VecDeque::new(),
            chosen: SmallVec::new(),
            targets: SmallVec::new(),
            watched_at: None,
            changed: true,
            last_tick: None,
            last_heard: None,
            differences: Differences::default(),
        }
    }

    /// This node's own record.
    pub fn me(&self) -> &Record {
        &self.me
    }

    /// Sets the state of this node. Returns whether it has changed and must be sent.
    pub fn set_own_state(&mut self, standing: Standing, served: bool) -> bool {
        if (self.me.standing, self.me.served) == (standing, served) {
            return false;
        }
        (self.me.standing, self.me.served) = (standing, served);
        self.me.serial += 1;
        self.enqueue(self.me.clone());
        true
    }

    /// Adds a node that was read from the store and of which no record has arrived yet. Returns
    /// whether it was unknown.
    pub fn add_unheard(&mut self, contact: Contact, now: Instant) -> bool {
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
        let (last_heard, watched, probed_at) = (None, None, None);
        let member =
            Member { record, status, last_heard, since: now, watched, probes: 0, probed_at };
        self.members.insert(member.record.contact.id.clone(), member);
        self.changed = true;
    }

    /// Applies a record from another node. Returns whether it is new, in which case it is passed
    /// on.
    pub fn apply_record(&mut self, record: &Record, now: Instant) -> bool {
        if record.contact.id == self.me.contact.id {
            return self.refute(record);
        }
        let Some(member) = self.members.get_mut(&record.contact.id) else {
            // A node that is first reported as silent is not added.
            if record.silent {
                return false;
            }
            self.insert(record.clone(), now);
            self.enqueue(record.clone());
            return true;
        };
        if record.precedence() <= member.record.precedence() {
            return false;
        }
        let was = &member.record;
        let previous = (was.contact.incarnation, was.silent);
        self.changed |= previous != (record.contact.incarnation, record.silent);
        if was.contact.incarnation != record.contact.incarnation {
            (member.status, member.last_heard) = (Status::default(), None);
        }
        member.status.standing = record.standing;
        member.status.served = record.served;
        member.record = record.clone();
        (member.since, member.probes, member.probed_at) = (now, 0, None);
        self.enqueue(record.clone());
        true
    }

    /// Refutes a record that reports this incarnation of this node as silent.
    fn refute(&mut self, record: &Record) -> bool {
        let mine = record.contact.incarnation == self.me.contact.incarnation;
        if !mine || !record.silent || record.serial < self.me.serial {
            return false;
        }
        self.me.serial = record.serial + 1;
        self.enqueue(self.me.clone());
        true
    }

    fn enqueue(&mut self, record: Record) {
        self.updates.retain(|other| other.contact.id != record.contact.id);
        self.updates.push_back(record);
    }

    /// Applies a heartbeat: the sender's record and status. Returns whether the record is new.
    pub fn apply_heartbeat(&mut self, record: &Record, status: Status, now: Instant) -> bool {
        let new = self.apply_record(record, now);
        self.last_heard = Some(now);
        if let Some(member) = self.members.get_mut(&record.contact.id)
            && member.record.contact.incarnation == record.contact.incarnation
        {
            member.last_heard = Some(now);
            (member.probes, member.probed_at) = (0, None);
            member.status.version = member.status.version.max(status.version);
            member.status.register = member.status.register.max(status.register);
        }
        new
    }

    /// The known record of a sender that is considered silent here, if it supersedes the one
    /// received. The sender must be told so that it can refute it; otherwise nodes that have lost
    /// each other would never reconnect.
    pub fn superseding_record(&self, record: &Record) -> Option<&Record> {
        let known = &self.members.get(&record.contact.id)?.record;
        (known.silent && known.precedence() > record.precedence()).then_some(known)
    }

    /// Takes the records for the next heartbeat.
    pub fn take_updates(&mut self) -> Vec<Record> {
        let count = self.updates.len().min(MAX_RECORDS);
        self.updates.drain(..count).collect()
    }

    /// Whether there are records that have not been sent in any heartbeat.
    pub fn has_updates(&self) -> bool {
        !self.updates.is_empty()
    }

    /// A sample of the present nodes, for a node that knows no other.
    pub fn sample<R: Rng>(&self, rng: &mut R) -> Vec<Record> {
        let present = self.present().map(|m| m.record.clone());
        present.sample(rng, MAX_RECORDS - 1)
    }

    /// A digest of all present nodes.
    pub fn digest(&self) -> u64 {
        let others = self.members.values().map(|member| member.record.digest());
        others.fold(self.me.digest(), |sum, one| sum ^ one)
    }

    /// Compares another node's digest with this node's. Returns whether they have differed long
    /// enough to compare the lists.
    pub fn note_digest(&mut self, node: &NodeId, digest: u64, now: Instant) -> bool {
        let same = digest == self.digest();
        self.differences.note(node, same, now)
    }

    /// The records of all present nodes, for another node.
    pub fn records(&self) -> Vec<Record> {
        let present = self.members.values().map(|m| &m.record).filter(|record| !record.silent);
        std::iter::once(&self.me).chain(present).cloned().collect()
    }

    /// The addresses to which this node sends heartbeats.
    pub fn watchers(&self) -> &[SocketAddr] {
        &self.targets
    }

    /// Whether this node searches for others, as it hears too few.
    pub fn is_searching(&self) -> bool {
        self.search.is_active()
    }

    /// Checks the watched nodes. Returns the addresses to probe, those of a search included; nodes
    /// that have not answered their probes are reported as silent.
    pub fn tick(&mut self, now: Instant) -> Vec<SocketAddr> {
        let stalled = self.last_tick.is_some_and(|at| now > at + STALL_THRESHOLD);
        self.last_tick = Some(now);
        let due = self.watched_at.is_none_or(|at| now >= at + WATCHERS_PERIOD);
        if self.changed && (due || self.members.len() <= WATCHERS) {
            self.choose_watchers(now);
        }
        // A node that hears from no other is partitioned or was stalled, and must not report others
        // as silent.
        let isolated = self.last_heard.is_none_or(|at| now > at + PROBE_AFTER);
        if stalled || isolated {
            for member in self.members.values_mut() {
                member.watched = member.watched.map(|_| now);
                (member.probes, member.probed_at) = (0, None);
            }
        }
        let (mut to_probe, mut silent) = (Vec::new(), Vec::new());
        for member in self.members.values_mut() {
            let Some(watched) = member.watched.filter(|_| !member.record.silent) else { continue };
            let heard = member.last_heard.map_or(watched, |at| at.max(watched)).max(member.since);
            let overdue = now > heard + PROBE_AFTER;
            if !overdue || member.probed_at.is_some_and(|at| now < at + PROBE_INTERVAL) {
                continue;
            }
            if member.probes < PROBES {
                member.probes += 1;
                member.probed_at = Some(now);
                to_probe.push(member.record.contact.peer);
            } else {
                silent.push(Record { silent: true, ..member.record.clone() });
            }
        }
        self.update_search(stalled, isolated, now);
        if !stalled && !isolated {
            silent.extend(self.unanswered(now));
        }
        to_probe.extend(self.search(now));
        for record in silent {
            self.apply_record(&record, now);
        }
        self.targets = self.choose_targets(now);
        to_probe
    }

    /// Begins or ends the search.
    fn update_search(&mut self, stalled: bool, isolated: bool, now: Instant) {
        let watched = || self.present().filter(|m| m.watched.is_some());
        let heard = watched().filter(|m| m.is_heard(now)).count();
        let mut hears_too_few = isolated || 2 * heard < watched().count();
        if self.search.is_active() {
            // The watched nodes may just have been reported, and others not been chosen yet. The
            // search goes on while more nodes fail to answer it than are heard.
            let silent = self.present().filter(|m| {
                let is_over = m.probed_at.is_some_and(|at| now > at + PROBE_INTERVAL);
                m.watched.is_none() && is_over
            });
            hears_too_few |= self.changed || silent.count() > self.heard(now);
        }
        if self.search.note(hears_too_few && !stalled, now) {
            for member in self.members.values_mut().filter(|m| m.watched.is_none()) {
                (member.probes, member.probed_at) = (0, None);
            }
        }
    }

    /// Returns the addresses that the search probes now.
    fn search(&mut self, now: Instant) -> SmallVec<[SocketAddr; WIDTH]> {
        let unheard = self.members.values().filter(|m| !m.is_heard(now));
        let places = self.search.next(unheard.map(|m| place(&m.record)), now);
        let mut to_probe = SmallVec::new();
        for member in self.members.values_mut() {
            if !places.contains(&place(&member.record)) {
                continue;
            }
            to_probe.push(member.record.contact.peer);
            // The probes of watched nodes are counted separately.
            if member.watched.is_none() && member.probes < PROBES {
                member.probes += 1;
                member.probed_at = Some(now);
            }
        }
        to_probe
    }

    /// The present nodes that have not answered the probes of the search, as silent.
    fn unanswered(&self, now: Instant) -> Vec<Record> {
        let is_unanswered = |m: &&Member| {
            let is_over = m.probed_at.is_some_and(|at| now > at + PROBE_AFTER);
            m.watched.is_none() && m.probes >= PROBES && is_over
        };
        let unanswered = self.present().filter(is_unanswered);
        unanswered.map(|m| Record { silent: true, ..m.record.clone() }).collect()
    }

    /// The watchers; while this node searches, the nodes that it hears replace those that it does
    /// not, so that nodes that have found each other do not lose each other again.
    fn choose_targets(&self, now: Instant) -> SmallVec<[SocketAddr; WATCHERS]> {
        if !self.search.is_active() {
            return self.chosen.clone();
        }
        let mut heard: Vec<&Member> = self.members.values().filter(|m| m.is_heard(now)).collect();
        let is_chosen = |m: &Member| self.chosen.contains(&m.record.contact.peer);
        heard.sort_unstable_by_key(|m| std::cmp::Reverse((is_chosen(m), m.last_heard)));
        let heard = heard.iter().map(|m| m.record.contact.peer);
        let mut targets: SmallVec<[SocketAddr; WATCHERS]> = heard.take(WATCHERS).collect();
        let unheard = self.chosen.iter().filter(|peer| !targets.contains(peer));
        let unheard: SmallVec<[SocketAddr; WATCHERS]> = unheard.copied().collect();
        targets.extend(unheard.into_iter().take(WATCHERS - targets.len()));
        targets
    }

    /// Computes the watchers of this node and the nodes it watches.
    fn choose_watchers(&mut self, now: Instant) {
        self.changed = false;
        self.watched_at = Some(now);
        let present = self.members.values().filter(|m| !m.record.silent);
        let mut nodes: Vec<(u64, SocketAddr)> =
            present.map(|m| (place(&m.record), m.record.contact.peer)).collect();
        let me = place(&self.me);
        let weight = |of: u64, watcher: u64| stable_hash(of, &watcher.to_le_bytes());
        // The number of other nodes that precede this one among the watchers of a node.
        let before = |of: u64| {
            let mine = weight(of, me);
            let others = nodes.iter().filter(|(node, _)| *node != of);
            others.filter(|(node, _)| weight(of, *node) > mine).take(WATCHERS).count()
        };
        for member in self.members.values_mut() {
            let watches = !member.record.silent && before(place(&member.record)) < WATCHERS;
            member.watched = watches.then(|| member.watched.unwrap_or(now));
        }
        nodes.sort_unstable_by_key(|(node, _)| std::cmp::Reverse(weight(me, *node)));
        self.chosen = nodes.iter().take(WATCHERS).map(|(_, peer)| *peer).collect();
    }

    /// The number of other nodes from which this node has received a heartbeat recently.
    pub fn heard(&self, now: Instant) -> usize {
        self.members.values().filter(|m| m.is_heard(now)).count()
    }

    /// The number of other nodes ever known.
    pub fn known(&self) -> usize {
        self.members.len()
    }

    /// The addresses of nodes that are silent or only known from the store, which may be reachable.
    pub fn silent_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.members.values().filter(|m| m.record.silent).map(|m| m.record.contact.peer)
    }

    /// The present nodes to which the store responds, as far as known.
    pub fn served(&self) -> impl Iterator<Item = &NodeId> {
        let served = self.present().filter(|m| m.record.served);
        served.map(|m| &m.record.contact.id)
    }

    /// The present nodes.
    pub fn ids(&self) -> impl Iterator<Item = &NodeId> {
        self.present().map(|m| &m.record.contact.id)
    }

    /// All other nodes ever known, and when their records arrived.
    pub fn members(&self) -> impl Iterator<Item = (&Record, Instant)> {
        self.members.values().map(|m| (&m.record, m.since))
    }

    /// The records of the other nodes that are present.
    pub fn present_records(&self) -> impl Iterator<Item = &Record> {
        self.present().map(|m| &m.record)
    }

    fn present(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|m| !m.record.silent)
    }

    /// The present nodes as a fraction of those that could be present, including this one. Nodes
    /// that announced that they are leaving are excluded; silent ones may be on the other side of a
    /// partition.
    pub fn present_fraction(&self) -> f64 {
        let known = self.members.values().filter(|m| m.record.serial > 0);
        let could = known.filter(|m| m.record.standing != Standing::Leaving).count() + 1;
        let present = self.present().filter(|m| m.record.standing != Standing::Leaving).count() + 1;
        present.min(could) as f64 / could as f64
    }

    /// The last status that a node has sent itself.
    pub fn status(&self, id: &NodeId) -> Option<Status> {
        self.members.get(id).map(|m| m.status)
    }

    /// The nodes that accept callers.
    pub fn ready_contacts(&self) -> Vec<&Contact> {
        let ready = self.present().filter(|m| m.record.standing == Standing::Ready);
        ready.map(|m| &m.record.contact).collect()
    }

    /// Whether a node is present and accepts callers.
    pub fn is_ready(&self, id: &NodeId) -> bool {
        let member = self.members.get(id).filter(|m| !m.record.silent);
        member.is_some_and(|m| m.record.standing == Standing::Ready)
    }

    /// The present nodes with a newer register than `mine`.
    pub fn with_newer_register(
        &self,
        mine: RegisterVersion,
    ) -> impl Iterator<Item = (&Contact, Status)> {
        let newer = self.present().filter(move |m| m.status.register > mine);
        newer.map(|m| (&m.record.contact, m.status))
    }

    /// The present nodes with a newer configuration than `mine`.
    pub fn with_newer_configuration(&self, mine: ConfigVersion) -> impl Iterator<Item = &Contact> {
        let newer = self.present().filter(move |m| m.status.version > mine);
        newer.map(|m| &m.record.contact)
    }

    /// Removes nodes that have been silent for longer than `limit`, and returns their ids.
    pub fn forget(&mut self, now: Instant, limit: Duration) -> Vec<NodeId> {
        let is_expired =
            |m: &Member| m.record.silent && now.saturating_duration_since(m.since) > limit;
        let ids: Vec<NodeId> =
            self.members.iter().filter(|(_, m)| is_expired(m)).map(|(id, _)| id.clone()).collect();
        for id in &ids {
            self.members.remove(id);
        }
        ids
    }
}
