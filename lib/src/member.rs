//! Membership: which nodes there are, and which of them are well.
//!
//! Each node probes one other a second, in a shuffled round, and passes on a few news with every
//! message, so that the cost for a node does not grow with their number. A node that does not
//! answer is asked through others before it is suspected, and a suspected one has time to object
//! before it is taken for gone. A node that was itself paused finds its probes unanswered through
//! its own fault, so after a pause it suspects nobody. Nodes taken for gone are probed now and
//! then, since two regions that lost each other must find together again. The platform's VM list,
//! which lags, is one input among others.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::seq::SliceRandom as _;
use rand::{Rng, RngExt as _};
use smallvec::SmallVec;

pub use crate::gossip::{Addresses, Message, Outgoing, Purpose, State, Status, Update, Vm};
use crate::id::{Incarnation, Name};

/// How often a node probes another.
pub const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// How long a probe may go unanswered before others are asked to probe.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// How many others are asked to probe.
pub const INDIRECT_PROBES: usize = 3;
/// How long a suspected node has to object.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(4);
/// How often a node that is taken for gone is probed.
pub const GONE_PROBE_PERIOD: Duration = Duration::from_secs(5);
/// How long a node that is taken for gone is remembered. Longer than regions lose each other.
pub const GONE_RETENTION: Duration = Duration::from_secs(2 * 3600);
/// How much news goes with a message at the most.
pub const MAX_UPDATES: usize = 12;
/// How often a piece of news is passed on, times the logarithm of the number of nodes.
pub const RETRANSMIT_FACTOR: u32 = 3;
/// More waiting news than these make whole lists worth exchanging.
pub const FULL_SYNC_THRESHOLD: usize = 40;
/// How often whole lists are exchanged then. At 550 nodes a list has some 40 KB.
pub const FULL_SYNC_PERIOD: Duration = Duration::from_secs(5);
/// How often all nodes are looked through for suspicions that are over.
pub const SUSPECT_CHECK_PERIOD: Duration = Duration::from_millis(500);
/// A tick that comes so much late means that this process was paused.
pub const PAUSE_THRESHOLD: Duration = Duration::from_millis(1500);

/// The reads of the VM list a period that all nodes make together, at the most about: the
/// platform's rates grow more slowly than the fleet.
pub const LIST_READS_PER_PERIOD: usize = 20;

/// How often one of `nodes` nodes reads the VM list, where few do it every `base`.
pub fn list_period(nodes: usize, base: Duration) -> Duration {
    let factor = nodes.div_ceil(LIST_READS_PER_PERIOD).max(1);
    base * u32::try_from(factor).unwrap_or(u32::MAX)
}

/// What is known of another node.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The newest news.
    pub update: Update,
    /// Since when it has this state, here.
    pub since: Instant,
    /// When it was last heard itself.
    pub heard: Option<Instant>,
    /// What it last said of itself.
    pub status: Status,
    /// The VM list names it as leaving.
    pub listed_leaving: bool,
    /// The VM list has named it, and then no longer did.
    pub unlisted: bool,
}

impl Peer {
    /// Whether callers may be sent there.
    pub fn accepts_clients(&self) -> bool {
        self.update.state == State::Serving && !self.listed_leaving
    }

    /// Whether it takes part in duties.
    pub fn is_active(&self) -> bool {
        matches!(self.update.state, State::Serving | State::Leaving | State::Joining)
    }
}

#[derive(Clone, Debug)]
struct Probe {
    target: Name,
    sequence: u64,
    sent: Instant,
    indirect: bool,
}

#[derive(Clone, Debug)]
struct Relay {
    sequence: u64,
    requester: SocketAddr,
    requester_sequence: u64,
    sent: Instant,
}

#[derive(Clone, Debug)]
struct QueuedUpdate {
    update: Update,
    sent: u32,
}

/// What one node knows of all nodes.
#[derive(Clone, Debug)]
pub struct Members {
    me: Update,
    status: Status,
    peers: BTreeMap<Name, Peer>,
    seeds: Vec<SocketAddr>,
    probe_round: Vec<Name>,
    probe: Option<Probe>,
    relays: Vec<Relay>,
    queued_updates: Vec<QueuedUpdate>,
    sequence: u64,
    last_tick: Option<Instant>,
    last_probe: Option<Instant>,
    last_gone_probe: Option<Instant>,
    last_suspect_check: Option<Instant>,
    last_full_sync: Option<Instant>,
    active: usize,
}

impl Members {
    /// The membership of a node that has just been started and knows the addresses of `seeds`.
    pub fn new(me: Update, seeds: Vec<SocketAddr>) -> Self {
        Self {
            me,
            status: Status::default(),
            peers: BTreeMap::new(),
            seeds,
            probe_round: Vec::new(),
            probe: None,
            relays: Vec::new(),
            queued_updates: Vec::new(),
            sequence: 0,
            last_tick: None,
            last_probe: None,
            last_gone_probe: None,
            last_suspect_check: None,
            last_full_sync: None,
            active: 0,
        }
    }

    /// What this node says of itself.
    pub fn me(&self) -> &Update {
        &self.me
    }

    /// The other nodes, by name.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Another node.
    pub fn peer(&self, name: &Name) -> Option<&Peer> {
        self.peers.get(name)
    }

    /// The names of the nodes that take part in duties, this one included.
    pub fn active(&self) -> impl Iterator<Item = &Name> {
        let peers = self.peers.values().filter(|p| p.is_active()).map(|p| &p.update.name);
        std::iter::once(&self.me.name).chain(peers)
    }

    /// The names of the nodes that take callers; this one too if it does.
    pub fn serving(&self) -> impl Iterator<Item = &Name> {
        let me = (self.me.state == State::Serving).then_some(&self.me.name);
        let peers = self.peers.values().filter(|p| p.accepts_clients()).map(|p| &p.update.name);
        me.into_iter().chain(peers)
    }

    /// Whether a node's process in this life is known to have ended: its VM has left the list, or
    /// the node has been started again. Silence is no proof.
    pub fn is_ended(&self, name: &Name, incarnation: Incarnation) -> bool {
        if *name == self.me.name {
            return incarnation < self.me.incarnation;
        }
        let Some(peer) = self.peers.get(name) else { return false };
        let restarted = peer.update.incarnation > incarnation;
        restarted || (peer.unlisted && peer.update.state == State::Gone)
    }

    /// Sets what this node says of itself with each message.
    pub fn set_status(&mut self, status: Status) {
        self.status = status;
    }

    /// Sets this node's own state and tells the others.
    pub fn set_state(&mut self, state: State) {
        if self.me.state == state {
            return;
        }
        self.me.state = state;
        self.announce();
    }

    fn announce(&mut self) {
        self.me.serial += 1;
        let me = self.me.clone();
        self.queue_update(me);
    }

    /// Takes in the platform's list.
    pub fn apply_vm_list(&mut self, now: Instant, vms: &[Vm]) {
        for peer in self.peers.values_mut() {
            let listed = vms.iter().find(|vm| vm.name == peer.update.name);
            match listed {
                Some(vm) => {
                    peer.listed_leaving = vm.leaving;
                    peer.unlisted = false;
                }
                None => peer.unlisted = true,
            }
        }
        // A suspected node that is no longer listed need not be waited for. One that is named as
        // leaving is told of to the others, as few nodes look at the list at a time.
        let updates: Vec<Update> = self
            .peers
            .values()
            .filter_map(|p| {
                let state = match p.update.state {
                    State::Suspected if p.unlisted => State::Gone,
                    State::Serving if p.listed_leaving => State::Leaving,
                    _ => return None,
                };
                Some(Update { state, ..p.update.clone() })
            })
            .collect();
        for update in updates {
            self.apply_update(now, update);
        }
        let me_leaving = vms.iter().any(|vm| vm.name == self.me.name && vm.leaving);
        if me_leaving && self.me.state == State::Serving {
            self.set_state(State::Leaving);
        }
        let known = |vm: &&Vm| vm.name == self.me.name || self.peers.contains_key(&vm.name);
        self.seeds = vms.iter().filter(|vm| !known(vm)).map(|vm| vm.address).collect();
    }

    /// What to send at `now`. Call it about ten times a second.
    pub fn tick<R: Rng>(&mut self, now: Instant, rng: &mut R) -> Vec<Outgoing> {
        let paused = self.last_tick.is_some_and(|last| now > last + PAUSE_THRESHOLD);
        self.last_tick = Some(now);
        if paused {
            self.reset_after_pause(now);
        }
        let mut out = Vec::new();
        self.check_probe(now, rng, &mut out);
        if self.last_suspect_check.is_none_or(|last| now >= last + SUSPECT_CHECK_PERIOD) {
            self.last_suspect_check = Some(now);
            self.active = self.active().count();
            self.expire_suspects(now);
        }
        self.relays.retain(|r| now < r.sent + PROBE_PERIOD);
        let due = self.last_probe.is_none_or(|last| now >= last + PROBE_PERIOD);
        if due && self.probe.is_none() {
            self.last_probe = Some(now);
            self.start_probe(now, rng, &mut out);
        }
        self.probe_gone(now, rng, &mut out);
        out
    }

    /// After a pause of this process: what it did not hear then says nothing about others.
    fn reset_after_pause(&mut self, now: Instant) {
        self.probe = None;
        for peer in self.peers.values_mut() {
            if peer.update.state == State::Suspected {
                peer.since = now;
            }
        }
    }

    fn check_probe<R: Rng>(&mut self, now: Instant, rng: &mut R, out: &mut Vec<Outgoing>) {
        let Some(probe) = self.probe.clone() else { return };
        if now >= probe.sent + PROBE_PERIOD {
            self.probe = None;
            self.suspect(now, &probe.target);
        } else if !probe.indirect && now >= probe.sent + PROBE_TIMEOUT {
            self.send_indirect_probes(&probe, rng, out);
            self.probe = Some(Probe { indirect: true, ..probe });
        }
    }

    fn send_indirect_probes<R: Rng>(
        &mut self,
        probe: &Probe,
        rng: &mut R,
        out: &mut Vec<Outgoing>,
    ) {
        let Some(target) = self.peers.get(&probe.target) else { return };
        let address = target.update.addresses.peer;
        let mut helpers: Vec<SocketAddr> = self
            .peers
            .values()
            .filter(|p| p.is_active() && p.update.name != probe.target)
            .map(|p| p.update.addresses.peer)
            .collect();
        let (chosen, _) = helpers.partial_shuffle(rng, INDIRECT_PROBES);
        let chosen: SmallVec<[SocketAddr; INDIRECT_PROBES]> = chosen.iter().copied().collect();
        for to in chosen {
            let purpose = Purpose::Relay { target: probe.target.clone(), address };
            self.push(out, to, purpose, probe.sequence);
        }
    }

    fn suspect(&mut self, now: Instant, name: &Name) {
        let Some(peer) = self.peers.get(name) else { return };
        if peer.is_active() {
            let update = Update { state: State::Suspected, ..peer.update.clone() };
            self.apply_update(now, update);
        }
    }

    fn expire_suspects(&mut self, now: Instant) {
        let over =
            |p: &&Peer| p.update.state == State::Suspected && now >= p.since + SUSPICION_TIMEOUT;
        let gone: Vec<Update> = self
            .peers
            .values()
            .filter(over)
            .map(|p| Update { state: State::Gone, ..p.update.clone() })
            .collect();
        for update in gone {
            self.apply_update(now, update);
        }
        self.peers.retain(|_, p| p.update.state != State::Gone || now < p.since + GONE_RETENTION);
    }

    fn start_probe<R: Rng>(&mut self, now: Instant, rng: &mut R, out: &mut Vec<Outgoing>) {
        if let Some(seed) = self.seeds.pop() {
            // A seed has no name yet, so its silence is not held against it.
            self.push(out, seed, Purpose::Ping, 0);
        }
        while let Some(target) = self.next_probe_target(rng) {
            let Some(peer) = self.peers.get(&target) else { continue };
            if !peer.is_active() && peer.update.state != State::Suspected {
                continue;
            }
            let to = peer.update.addresses.peer;
            self.sequence += 1;
            let sequence = self.sequence;
            self.probe = Some(Probe { target, sequence, sent: now, indirect: false });
            self.push(out, to, Purpose::Ping, sequence);
            return;
        }
    }

    fn next_probe_target<R: Rng>(&mut self, rng: &mut R) -> Option<Name> {
        if self.probe_round.is_empty() {
            self.probe_round = self
                .peers
                .values()
                .filter(|p| p.update.state != State::Gone)
                .map(|p| p.update.name.clone())
                .collect();
            self.probe_round.shuffle(rng);
        }
        self.probe_round.pop()
    }

    fn probe_gone<R: Rng>(&mut self, now: Instant, rng: &mut R, out: &mut Vec<Outgoing>) {
        if self.last_gone_probe.is_some_and(|last| now < last + GONE_PROBE_PERIOD) {
            return;
        }
        self.last_gone_probe = Some(now);
        let gone: Vec<SocketAddr> = self
            .peers
            .values()
            .filter(|p| p.update.state == State::Gone && !p.unlisted)
            .map(|p| p.update.addresses.peer)
            .collect();
        if !gone.is_empty() {
            let to = gone[rng.random_range(0..gone.len())];
            self.push(out, to, Purpose::Ping, 0);
        }
    }

    fn push(&mut self, out: &mut Vec<Outgoing>, to: SocketAddr, purpose: Purpose, sequence: u64) {
        let message = self.message(purpose, sequence);
        out.push(Outgoing { to, message });
    }

    fn message(&mut self, purpose: Purpose, sequence: u64) -> Message {
        let updates = self.select_updates();
        Message { purpose, sequence, from: self.me.name.clone(), status: self.status, updates }
    }

    /// This node's own news first, so that a stranger learns who speaks; then the news that has
    /// been passed on least.
    fn select_updates(&mut self) -> SmallVec<[Update; 4]> {
        let mut updates = SmallVec::new();
        updates.push(self.me.clone());
        let limit = RETRANSMIT_FACTOR * (usize::BITS - self.active.leading_zeros()).max(1);
        self.queued_updates.sort_by_key(|r| r.sent);
        for rumour in self.queued_updates.iter_mut().take(MAX_UPDATES - 1) {
            rumour.sent += 1;
            updates.push(rumour.update.clone());
        }
        self.queued_updates.retain(|r| r.sent < limit);
        updates
    }

    fn queue_update(&mut self, update: Update) {
        self.queued_updates.retain(|r| r.update.name != update.name);
        self.queued_updates.push(QueuedUpdate { update, sent: 0 });
    }

    /// Messages that carry news at once to `count` nodes drawn at random, as when a new generation
    /// is in force here.
    pub fn push_updates<R: Rng>(&mut self, count: usize, rng: &mut R) -> Vec<Outgoing> {
        let mut targets: Vec<SocketAddr> = self
            .peers
            .values()
            .filter(|p| p.is_active())
            .map(|p| p.update.addresses.peer)
            .collect();
        let (chosen, _) = targets.partial_shuffle(rng, count);
        let chosen: SmallVec<[SocketAddr; 8]> = chosen.iter().copied().collect();
        let mut out = Vec::new();
        for to in chosen {
            self.push(&mut out, to, Purpose::Gossip, 0);
        }
        out
    }

    /// Takes in a message that came from `source`.
    pub fn receive(&mut self, now: Instant, source: SocketAddr, message: Message) -> Vec<Outgoing> {
        let mut out = Vec::new();
        for update in message.updates {
            self.apply_update(now, update);
        }
        if let Some(peer) = self.peers.get_mut(&message.from) {
            peer.heard = Some(now);
            peer.status = message.status;
        }
        self.notify_if_suspected(source, &message.from, &mut out);
        match message.purpose {
            Purpose::Ping => self.push(&mut out, source, Purpose::Ack, message.sequence),
            Purpose::Ack => self.on_ack(&message.from, message.sequence, &mut out),
            Purpose::Relay { address, .. } => {
                self.sequence += 1;
                let sequence = self.sequence;
                self.relays.push(Relay {
                    sequence,
                    requester: source,
                    requester_sequence: message.sequence,
                    sent: now,
                });
                self.push(&mut out, address, Purpose::Ping, sequence);
            }
            Purpose::Gossip => {}
        }
        out
    }

    /// Tells a node that speaks, and is taken for suspected or gone here, that it is.
    ///
    /// Without this, regions that lost each other never find together again: what the other says of
    /// itself weighs no more than what was concluded about it, and it does not know that it has to
    /// contradict.
    fn notify_if_suspected(&mut self, source: SocketAddr, from: &Name, out: &mut Vec<Outgoing>) {
        let Some(peer) = self.peers.get(from) else { return };
        if peer.update.state < State::Suspected {
            return;
        }
        let update = peer.update.clone();
        let mut message = self.message(Purpose::Gossip, 0);
        message.updates.truncate(MAX_UPDATES - 1);
        message.updates.push(update);
        out.push(Outgoing { to: source, message });
    }

    fn on_ack(&mut self, from: &Name, sequence: u64, out: &mut Vec<Outgoing>) {
        if self.probe.as_ref().is_some_and(|p| p.sequence == sequence) {
            self.probe = None;
            return;
        }
        // An ack to a ping that was sent for another node is passed on under its own sequence.
        let Some(at) = self.relays.iter().position(|r| r.sequence == sequence) else { return };
        let relay = self.relays.swap_remove(at);
        debug_assert_ne!(*from, self.me.name);
        self.push(out, relay.requester, Purpose::Ack, relay.requester_sequence);
    }

    /// Takes in a whole list of nodes, as a node that joins gets it from the first it reaches.
    ///
    /// It is not passed on: whoever gave it has done so.
    pub fn merge_updates(&mut self, now: Instant, updates: Vec<Update>) {
        let rumours = std::mem::take(&mut self.queued_updates);
        for update in updates {
            self.apply_update(now, update);
        }
        self.queued_updates = rumours;
    }

    /// The node to exchange whole lists with at `now`, if there is more news than messages have room
    /// for.
    ///
    /// When a data centre or a region goes or comes back, hundreds of news wait for room in messages,
    /// and nodes disagree for minutes. Whole lists end that in a few rounds; their period keeps their
    /// cost within a node's bytes.
    pub fn full_sync_peer<R: Rng>(&mut self, now: Instant, rng: &mut R) -> Option<SocketAddr> {
        let due = self.last_full_sync.is_none_or(|last| now >= last + FULL_SYNC_PERIOD);
        if !due || self.queued_updates.len() < FULL_SYNC_THRESHOLD {
            return None;
        }
        self.last_full_sync = Some(now);
        let active: Vec<SocketAddr> = self
            .peers
            .values()
            .filter(|p| p.is_active())
            .map(|p| p.update.addresses.peer)
            .collect();
        (!active.is_empty()).then(|| active[rng.random_range(0..active.len())])
    }

    /// All that this node knows, for one that joins.
    pub fn all_updates(&self) -> Vec<Update> {
        let peers = self.peers.values().map(|p| p.update.clone());
        std::iter::once(self.me.clone()).chain(peers).collect()
    }

    fn apply_update(&mut self, now: Instant, update: Update) {
        if update.name == self.me.name {
            self.refute(&update);
            return;
        }
        let Some(peer) = self.peers.get_mut(&update.name) else {
            // A node that is first heard of as gone is not worth remembering.
            if update.state != State::Gone {
                let peer = Peer {
                    update: update.clone(),
                    since: now,
                    heard: None,
                    status: Status::default(),
                    listed_leaving: false,
                    unlisted: false,
                };
                self.peers.insert(update.name.clone(), peer);
                self.queue_update(update);
            }
            return;
        };
        if update.supersedes(&peer.update) {
            if update.state != peer.update.state || update.incarnation != peer.update.incarnation {
                peer.since = now;
            }
            peer.update = update.clone();
            self.queue_update(update);
        }
    }

    /// Contradicts news that takes this life of this node for suspected or gone.
    fn refute(&mut self, update: &Update) {
        let same_life = update.incarnation == self.me.incarnation;
        if same_life && update.state >= State::Suspected && update.serial >= self.me.serial {
            self.me.serial = update.serial;
            self.announce();
        }
    }
}
