//! Cluster membership: which nodes exist and which of them are alive, in the manner of SWIM.
//!
//! Each node probes one other node per second in shuffled order and attaches a few updates to every
//! message, so its cost does not grow with the size of the cluster. A node that does not answer is
//! probed through others before it is suspected, and a suspected node has time to refute before it
//! is declared gone. A node that was paused itself cannot tell which probes went unanswered because
//! of that, so it suspects nobody right after a pause. Gone nodes are probed occasionally, so that
//! two regions find each other again after a network partition. The platform's VM list, which is
//! delayed, is one of several inputs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::seq::SliceRandom as _;
use rand::{Rng, RngExt as _};
use smallvec::SmallVec;

pub use crate::gossip::{Addresses, Message, Outgoing, Purpose, State, Status, Update, Vm};
use crate::id::{Incarnation, Name};

/// How often a node probes another one.
pub const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// How long a probe may go unanswered before indirect probes are sent.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// How many nodes are asked to send an indirect probe.
pub const INDIRECT_PROBES: usize = 3;
/// How long a suspected node has to refute.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(4);
/// How often one of the gone nodes is probed.
pub const GONE_PROBE_PERIOD: Duration = Duration::from_secs(5);
/// How long a gone node is remembered. This is longer than network partitions between regions last.
pub const GONE_RETENTION: Duration = Duration::from_secs(2 * 3600);
/// The maximum number of updates in a message.
pub const MAX_UPDATES: usize = 12;
/// How often an update is sent, as a factor of the logarithm of the number of nodes.
pub const RETRANSMIT_FACTOR: u32 = 3;
/// Full synchronization starts when this many updates are queued.
pub const FULL_SYNC_THRESHOLD: usize = 40;
/// How often a node then synchronizes its full list with another one. At 550 nodes a list has about
/// 40 KB.
pub const FULL_SYNC_PERIOD: Duration = Duration::from_secs(5);
/// How often all nodes are checked for expired suspicions.
pub const SUSPECT_CHECK_PERIOD: Duration = Duration::from_millis(500);
/// A longer interval between two ticks means that this process was paused.
pub const PAUSE_THRESHOLD: Duration = Duration::from_millis(1500);

/// The approximate maximum number of reads of the VM list by all nodes in one base period. The
/// platform's rate limits grow more slowly than the number of nodes.
pub const LIST_READS_PER_PERIOD: usize = 20;

/// How often each of `nodes` nodes reads the VM list. `base` is the period in a small cluster.
pub fn list_period(nodes: usize, base: Duration) -> Duration {
    let factor = nodes.div_ceil(LIST_READS_PER_PERIOD).max(1);
    base * u32::try_from(factor).unwrap_or(u32::MAX)
}

/// What is known of another node.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The latest update.
    pub update: Update,
    /// When this node learned of its current state.
    pub since: Instant,
    /// When a message from it last arrived.
    pub last_heard: Option<Instant>,
    /// The status in its last message.
    pub status: Status,
    /// Whether the VM list marks it as leaving.
    pub listed_leaving: bool,
    /// Whether the VM list no longer contains it.
    pub unlisted: bool,
}

impl Peer {
    /// Whether clients may be sent to it.
    pub fn accepts_clients(&self) -> bool {
        self.update.state == State::Serving && !self.listed_leaving
    }

    /// Whether tasks may be assigned to it.
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

/// One node's view of all nodes.
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
    /// Creates the view of a node that has just started and knows the addresses `seeds`.
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

    /// The update about this node.
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

    /// The names of the nodes to which tasks may be assigned, including this one.
    pub fn active(&self) -> impl Iterator<Item = &Name> {
        let peers = self.peers.values().filter(|p| p.is_active()).map(|p| &p.update.name);
        std::iter::once(&self.me.name).chain(peers)
    }

    /// The names of the nodes that accept clients, including this one if it does.
    pub fn serving(&self) -> impl Iterator<Item = &Name> {
        let me = (self.me.state == State::Serving).then_some(&self.me.name);
        let peers = self.peers.values().filter(|p| p.accepts_clients()).map(|p| &p.update.name);
        me.into_iter().chain(peers)
    }

    /// Whether a node process is known to have ended: its VM is no longer listed, or the node has
    /// restarted. Silence alone is no proof.
    pub fn has_ended(&self, name: &Name, incarnation: Incarnation) -> bool {
        if *name == self.me.name {
            return incarnation < self.me.incarnation;
        }
        let Some(peer) = self.peers.get(name) else { return false };
        let restarted = peer.update.incarnation > incarnation;
        restarted || (peer.unlisted && peer.update.state == State::Gone)
    }

    /// Sets the status that this node includes in each message.
    pub fn set_status(&mut self, status: Status) {
        self.status = status;
    }

    /// Sets and announces this node's state.
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

    /// Applies the platform's VM list.
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
        // A suspected node that is no longer listed is gone without further waiting. A node that is
        // listed as leaving is announced to the others, because few nodes read the list at a time.
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
        let own_vm_leaving = vms.iter().any(|vm| vm.name == self.me.name && vm.leaving);
        if own_vm_leaving && self.me.state == State::Serving {
            self.set_state(State::Leaving);
        }
        let known = |vm: &&Vm| vm.name == self.me.name || self.peers.contains_key(&vm.name);
        self.seeds = vms.iter().filter(|vm| !known(vm)).map(|vm| vm.address).collect();
    }

    /// Returns the messages to send at `now`. Call it about ten times a second.
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

    /// Restarts suspicions after a pause of this process: messages missed during the pause say
    /// nothing about other nodes.
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
        let mut candidates: Vec<SocketAddr> = self
            .peers
            .values()
            .filter(|p| p.is_active() && p.update.name != probe.target)
            .map(|p| p.update.addresses.peer)
            .collect();
        let (selected, _) = candidates.partial_shuffle(rng, INDIRECT_PROBES);
        let selected: SmallVec<[SocketAddr; INDIRECT_PROBES]> = selected.iter().copied().collect();
        for to in selected {
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
        let expired =
            |p: &&Peer| p.update.state == State::Suspected && now >= p.since + SUSPICION_TIMEOUT;
        let gone: Vec<Update> = self
            .peers
            .values()
            .filter(expired)
            .map(|p| Update { state: State::Gone, ..p.update.clone() })
            .collect();
        for update in gone {
            self.apply_update(now, update);
        }
        self.peers.retain(|_, p| p.update.state != State::Gone || now < p.since + GONE_RETENTION);
    }

    fn start_probe<R: Rng>(&mut self, now: Instant, rng: &mut R, out: &mut Vec<Outgoing>) {
        if let Some(seed) = self.seeds.pop() {
            // The name of a seed is not known yet, so no suspicion follows from its silence.
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

    /// This node's own update comes first, so that a node that does not know it learns who sent the
    /// message. The updates that have been sent least often follow.
    fn select_updates(&mut self) -> SmallVec<[Update; 4]> {
        let mut updates = SmallVec::new();
        updates.push(self.me.clone());
        let limit = RETRANSMIT_FACTOR * (usize::BITS - self.active.leading_zeros()).max(1);
        self.queued_updates.sort_by_key(|r| r.sent);
        for queued in self.queued_updates.iter_mut().take(MAX_UPDATES - 1) {
            queued.sent += 1;
            updates.push(queued.update.clone());
        }
        self.queued_updates.retain(|r| r.sent < limit);
        updates
    }

    fn queue_update(&mut self, update: Update) {
        self.queued_updates.retain(|r| r.update.name != update.name);
        self.queued_updates.push(QueuedUpdate { update, sent: 0 });
    }

    /// Returns messages with updates to `count` random nodes, sent without waiting for the next
    /// probe. Used for instance when a new generation is in force.
    pub fn push_updates<R: Rng>(&mut self, count: usize, rng: &mut R) -> Vec<Outgoing> {
        let mut targets: Vec<SocketAddr> = self
            .peers
            .values()
            .filter(|p| p.is_active())
            .map(|p| p.update.addresses.peer)
            .collect();
        let (selected, _) = targets.partial_shuffle(rng, count);
        let selected: SmallVec<[SocketAddr; 8]> = selected.iter().copied().collect();
        let mut out = Vec::new();
        for to in selected {
            self.push(&mut out, to, Purpose::Gossip, 0);
        }
        out
    }

    /// Handles a message from `source`.
    pub fn receive(&mut self, now: Instant, source: SocketAddr, message: Message) -> Vec<Outgoing> {
        let mut out = Vec::new();
        for update in message.updates {
            self.apply_update(now, update);
        }
        if let Some(peer) = self.peers.get_mut(&message.from) {
            peer.last_heard = Some(now);
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

    /// Notifies the sender of a message if it is suspected or gone in this node's view.
    ///
    /// Otherwise regions would not find each other again after a partition: the sender's update
    /// about itself does not supersede the suspicion, and it does not know that it has to refute
    /// one.
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
        // An acknowledgement of an indirect probe is forwarded with the sequence of the requester.
        let Some(at) = self.relays.iter().position(|r| r.sequence == sequence) else { return };
        let relay = self.relays.swap_remove(at);
        debug_assert_ne!(*from, self.me.name);
        self.push(out, relay.requester, Purpose::Ack, relay.requester_sequence);
    }

    /// Merges a full list of nodes, for instance the one that a joining node gets from the first
    /// node it reaches.
    ///
    /// The updates are not queued for sending, because the node that sent the list has already done
    /// so.
    pub fn merge_updates(&mut self, now: Instant, updates: Vec<Update>) {
        let queued_before = std::mem::take(&mut self.queued_updates);
        for update in updates {
            self.apply_update(now, update);
        }
        self.queued_updates = queued_before;
    }

    /// Returns the node for a full synchronization at `now` if too many updates are queued.
    ///
    /// When a data centre or region fails or recovers, hundreds of updates wait for space in
    /// messages and the views of nodes differ for minutes. A few full synchronizations resolve
    /// this; their period keeps the cost within a node's network budget.
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

    /// The updates about all known nodes, for a joining node.
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
            // A node that is gone when first heard of is not worth remembering.
            if update.state != State::Gone {
                let peer = Peer {
                    update: update.clone(),
                    since: now,
                    last_heard: None,
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

    /// Refutes an update that declares this process suspected or gone.
    fn refute(&mut self, update: &Update) {
        let same_life = update.incarnation == self.me.incarnation;
        if same_life && update.state >= State::Suspected && update.serial >= self.me.serial {
            self.me.serial = update.serial;
            self.announce();
        }
    }
}
