//! Tests of the roster on a simulated clock, with up to 550 nodes: membership, failure detection
//! and the spread of updates.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use sardinepick_lib::fleet::roster::{
    Contact, HEARTBEAT_PERIOD, PROBE_AFTER, Record, Roster, Standing, Status, WATCHERS,
};
use sardinepick_lib::id::Incarnation;

const MS: Duration = Duration::from_millis(1);
/// The latency between two nodes, which is one step of the simulated clock.
const STEP: Duration = Duration::from_millis(10);

fn address(at: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (at >> 8) as u8, at as u8], 9_000))
}

fn contact(at: usize, incarnation: u64) -> Contact {
    Contact {
        id: format!("edge-{at}").parse().expect("an id"),
        incarnation: Incarnation(incarnation),
        data_centre: "hall-a".parse().expect("an id"),
        front: address(at),
        peer: address(at),
    }
}

fn record(at: usize, serial: u32) -> Record {
    let standing = Standing::Ready;
    Record { contact: contact(at, 1), standing, served: true, serial, silent: false }
}

#[derive(Clone)]
struct Beat {
    to: usize,
    sender: Record,
    records: Vec<Record>,
    answer: bool,
    digest: u64,
}

/// Nodes that send each other heartbeats with a latency of one step.
struct Fleet {
    now: Instant,
    nodes: Vec<Option<Roster>>,
    at: HashMap<SocketAddr, usize>,
    next_beat: Vec<Instant>,
    in_transit: Vec<Beat>,
    /// The number of messages sent by each node, and the number of records in them.
    sent: Vec<u64>,
    records: u64,
    /// The number of list comparisons.
    compared: u64,
    /// Nodes that can neither send nor receive.
    cut: HashSet<usize>,
    /// The fraction of messages that is lost.
    loss: f64,
    rng: StdRng,
}

impl Fleet {
    /// Creates nodes that all know each other.
    fn new(count: usize) -> Self {
        let now = Instant::now();
        let mut rng = StdRng::seed_from_u64(count as u64);
        let mut nodes: Vec<Option<Roster>> =
            (0..count).map(|at| Some(Roster::new(contact(at, 1)))).collect();
        for (at, node) in nodes.iter_mut().enumerate() {
            let node = node.as_mut().expect("all nodes are present");
            node.set_own_state(Standing::Ready, true);
            for other in (0..count).filter(|other| *other != at) {
                node.apply_record(&record(other, 2), now);
            }
            while !node.take_updates().is_empty() {}
        }
        let next_beat = (0..count)
            .map(|_| now + HEARTBEAT_PERIOD.mul_f64(rng.random_range(0.0..1.0)))
            .collect();
        Self {
            now,
            at: (0..count).map(|at| (address(at), at)).collect(),
            nodes,
            next_beat,
            in_transit: Vec::new(),
            sent: vec![0; count],
            records: 0,
            compared: 0,
            cut: HashSet::new(),
            loss: 0.0,
            rng,
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until `done` and returns how long it took, which must be within `limit`.
    fn until(&mut self, limit: Duration, done: impl Fn(&Fleet) -> bool) -> Duration {
        let began = self.now;
        while !done(self) {
            assert!(self.now < began + limit, "not within {limit:?}");
            self.step();
        }
        self.now - began
    }

    fn step(&mut self) {
        self.now += STEP;
        for beat in std::mem::take(&mut self.in_transit) {
            self.deliver(&beat);
        }
        for at in 0..self.nodes.len() {
            let Some(node) = self.nodes[at].as_mut() else { continue };
            let due = self.now >= self.next_beat[at];
            if !due && !node.has_updates() {
                continue;
            }
            if due {
                self.next_beat[at] = self.now + HEARTBEAT_PERIOD;
            }
            let to_probe = node.tick(self.now);
            let records = node.take_updates();
            self.records += records.len() as u64 * node.watchers().len() as u64;
            let (sender, digest) = (node.me().clone(), node.digest());
            let watchers = node.watchers().to_vec();
            let beat = |to: &SocketAddr, records: &[Record], answer| Beat {
                to: self.at[to],
                sender: sender.clone(),
                records: records.to_vec(),
                answer,
                digest,
            };
            let beats: Vec<Beat> = watchers
                .iter()
                .map(|to| beat(to, &records, false))
                .chain(to_probe.iter().map(|to| beat(to, &[], true)))
                .collect();
            beats.into_iter().for_each(|beat| self.send(at, beat));
        }
    }

    fn send(&mut self, from: usize, beat: Beat) {
        self.sent[from] += 1;
        let cut = self.cut.contains(&from) || self.cut.contains(&beat.to);
        if !cut && self.rng.random_range(0.0..1.0) >= self.loss {
            self.in_transit.push(beat);
        }
    }

    fn deliver(&mut self, beat: &Beat) {
        let now = self.now;
        let Some(node) = self.nodes[beat.to].as_mut() else { return };
        node.apply_heartbeat(&beat.sender, Status::default(), now);
        for record in &beat.records {
            node.apply_record(record, now);
        }
        let differs = node.note_digest(&beat.sender.contact.id, beat.digest, now);
        let mistaken = node.superseding_record(&beat.sender).cloned();
        let from = self.at[&beat.sender.contact.peer];
        if beat.answer || mistaken.is_some() {
            let answer = Beat {
                to: from,
                sender: node.me().clone(),
                records: mistaken.into_iter().collect(),
                answer: false,
                digest: node.digest(),
            };
            self.send(beat.to, answer);
        }
        if differs {
            self.compare(beat.to, from);
        }
    }

    fn compare(&mut self, one: usize, other: usize) {
        if self.cut.contains(&one) || self.cut.contains(&other) {
            return;
        }
        self.compared += 1;
        let (mine, now) =
            (self.nodes[one].as_ref().expect("the node is present").records(), self.now);
        let Some(node) = self.nodes[other].as_mut() else { return };
        for record in mine {
            node.apply_record(&record, now);
        }
        let theirs = node.records();
        let node = self.nodes[one].as_mut().expect("the node is present");
        for record in theirs {
            node.apply_record(&record, now);
        }
    }

    fn present(&self) -> impl Iterator<Item = &Roster> {
        self.nodes.iter().flatten()
    }

    /// The number of present nodes that consider node `at` present.
    fn knowing(&self, at: usize) -> usize {
        let id = contact(at, 1).id;
        self.present().filter(|node| node.ids().any(|known| *known == id)).count()
    }
}

/// The heartbeats of a node grew with the number of nodes until they were too infrequent to be
/// useful, as each node sent heartbeats to all others.
#[test]
fn tick_more_nodes_same_messages() {
    let mut sent = BTreeMap::new();
    for count in [6, 30, 300, 550] {
        let mut fleet = Fleet::new(count);
        fleet.run(MS * 1_000);
        assert_eq!(fleet.records, 0, "there are no updates");
        let most = fleet.sent.iter().max().copied().unwrap_or_default();
        sent.insert(count, most);
    }
    assert!(sent[&550] <= sent[&30] + 2, "{sent:?}");
    assert!(sent[&550] <= 5 * WATCHERS as u64 + 8, "{sent:?}");
}

/// Callers were sent to a dead node for seven seconds: with 295 nodes a heartbeat came every 1.2 s,
/// and six of them had to be missed.
#[test]
fn tick_dead_node_all_know_soon() {
    for count in [6, 60, 300] {
        let mut fleet = Fleet::new(count);
        fleet.run(MS * 500);
        fleet.nodes[3] = None;
        let took = fleet.until(MS * 3_000, |fleet| fleet.knowing(3) == 0);
        assert!(took <= PROBE_AFTER + MS * 1_000, "{count} nodes: {took:?}");
        fleet.run(MS * 2_000);
        assert_eq!(fleet.knowing(4), count - 2, "the others know all present nodes");
    }
}

/// Hundreds of nodes that restarted together read all entries of the store. Half of the nodes are
/// killed and restart; updates about their new incarnations pass along the watchers alone.
#[test]
fn apply_record_half_start_again_all_know() {
    let mut fleet = Fleet::new(60);
    fleet.run(MS * 500);
    for at in (0..60).step_by(2) {
        fleet.nodes[at] = None;
    }
    fleet.run(MS * 1_500);
    for at in (0..60).step_by(2) {
        let mut node = Roster::new(contact(at, 2));
        // It asks one node for its list, as at every start.
        for record in fleet.nodes[1].as_ref().expect("the node is present").records() {
            node.apply_record(&record, fleet.now);
        }
        node.set_own_state(Standing::Ready, true);
        let me = node.me().clone();
        fleet.nodes[at] = Some(node);
        let now = fleet.now;
        fleet.nodes[1].as_mut().expect("the node is present").apply_record(&me, now);
    }
    fleet.until(MS * 4_000, |fleet| (0..60).all(|at| fleet.knowing(at) >= 59));
    let fronts = fleet.present().map(|node| node.ready_contacts().len()).min();
    assert_eq!(fronts, Some(59));
}

/// One change of a node was sent again and again, as records that were not new were passed on.
#[test]
fn set_me_leaving_each_passes_it_on_few_times() {
    let mut fleet = Fleet::new(300);
    fleet.run(MS * 500);
    fleet.nodes[7].as_mut().expect("the node is present").set_own_state(Standing::Leaving, true);
    let leaving = |fleet: &Fleet| fleet.present().all(|node| node.ready_contacts().len() <= 299);
    let took = fleet.until(MS * 1_000, |fleet| {
        let id = contact(7, 1).id;
        let sent_there = |node: &Roster| node.ready_contacts().iter().any(|front| front.id == id);
        leaving(fleet) && fleet.present().filter(|node| sent_there(node)).count() == 0
    });
    assert!(took <= MS * 100, "{took:?}");
    fleet.run(MS * 2_000);
    let each = fleet.records as f64 / 300.0;
    assert!(each <= 2.0 * WATCHERS as f64, "{each} records per node for one change");
}

/// With packet loss, nodes came and went in the answers to callers.
#[test]
fn tick_packets_lost_nobody_reported_silent() {
    let mut fleet = Fleet::new(60);
    fleet.loss = 0.05;
    for _ in 0..20 {
        fleet.run(MS * 500);
        let least = (0..60).map(|at| fleet.knowing(at)).min();
        assert_eq!(least, Some(60 - 1));
    }
}

/// After the end of a partition, nodes stayed apart: a third of the nodes was cut off and
/// considered silent, and neither side sent heartbeats to the other any more.
#[test]
fn apply_heartbeat_partition_healed_all_present() {
    let mut fleet = Fleet::new(30);
    fleet.run(MS * 500);
    // Each node is cut off by itself and hears no other.
    fleet.cut = (0..10).collect();
    fleet.until(MS * 4_000, |fleet| (0..10).all(|at| fleet.knowing(at) <= 10));
    fleet.cut.clear();
    // A node occasionally contacts nodes that it does not consider present.
    let greeted: Vec<SocketAddr> =
        fleet.nodes[20].as_ref().expect("the node is present").silent_addresses().collect();
    assert_eq!(greeted.len(), 10);
    fleet.until(MS * 6_000, |fleet| (0..30).all(|at| fleet.knowing(at) >= 29));
}

/// Guards against nodes that stay apart although they reach each other: all nodes to which each sends
/// heartbeats have failed, so none hears another, and none reports the failed nodes as silent.
#[test]
fn tick_most_nodes_lost_survivors_hear_each_other() {
    const SURVIVORS: usize = 3;
    let mut fleet = Fleet::new(67);
    fleet.run(MS * 500);
    for at in SURVIVORS..67 {
        fleet.nodes[at] = None;
    }
    fleet.until(MS * 12_000, |fleet| {
        fleet.present().all(|node| node.heard(fleet.now) == SURVIVORS - 1)
    });
}

/// Kills all of `count` nodes but those in `left`, which must hear others within `meeting`, and have
/// reported all failed nodes `reporting` later.
fn lose_most(count: usize, left: &[usize], meeting: Duration, reporting: Duration) {
    let mut fleet = Fleet::new(count);
    fleet.run(MS * 1_000);
    for other in (0..count).filter(|other| !left.contains(other)) {
        fleet.nodes[other] = None;
    }
    fleet.sent.iter_mut().for_each(|sent| *sent = 0);
    let lost = fleet.now;
    let heard = |fleet: &Fleet| fleet.present().all(|node| node.heard(fleet.now) > 0);
    // Heartbeats of failed nodes are recent until then.
    let before = PROBE_AFTER + MS * 50;
    fleet.run(before);
    fleet.until(meeting - before, heard);
    let rate = |fleet: &Fleet| {
        let most = fleet.sent.iter().max().copied().unwrap_or_default();
        most as f64 / (fleet.now - lost).as_secs_f64()
    };
    let heartbeats = WATCHERS as f64 / HEARTBEAT_PERIOD.as_secs_f64();
    assert!(rate(&fleet) <= 2.2 * heartbeats, "{count} nodes: {} a second", rate(&fleet));
    let is_complete = |node: &Roster| node.ids().count() + 1 == left.len();
    fleet.until(reporting, |fleet| fleet.present().all(is_complete));
    // Reports are passed on besides.
    assert!(rate(&fleet) <= 2.5 * heartbeats, "{count} nodes: {} a second", rate(&fleet));
    fleet.run(MS * 1_000);
    for _ in 0..20 {
        fleet.run(MS * 100);
        assert!(heard(&fleet), "{count} nodes: they lose each other again");
        assert!(fleet.present().all(|node| !node.is_searching() && is_complete(node)));
    }
}

/// Guards against survivors that find each other late, that keep failed nodes as present, or whose
/// search costs more than the heartbeats twice over.
#[test]
fn is_searching_most_nodes_lost_failed_reported() {
    for first in 0..5 {
        lose_most(10, &[first, first + 4], MS * 2_500, MS * 3_000);
        lose_most(67, &[first, first + 5], MS * 3_000, MS * 8_000);
        let seven: Vec<usize> = (0..7).map(|at| first + 5 * at).collect();
        lose_most(67, &seven, MS * 3_000, MS * 8_000);
    }
}

/// Guards against a search whose time grows beyond the bound with the number of nodes.
#[test]
fn is_searching_most_of_550_nodes_lost_failed_reported() {
    for left in [vec![1, 6], vec![2, 302], vec![0, 100, 200, 300, 400]] {
        lose_most(550, &left, MS * 12_000, MS * 42_000);
    }
}

/// Guards against a search while enough nodes are heard, and one that does not end.
#[test]
fn is_searching_few_lost_no_search() {
    let mut fleet = Fleet::new(60);
    fleet.run(MS * 1_000);
    fleet.nodes[7] = None;
    for _ in 0..30 {
        fleet.run(MS * 100);
        assert!(fleet.present().all(|node| !node.is_searching()));
    }
    fleet.cut = (0..10).collect();
    fleet.run(MS * 3_000);
    assert!(fleet.nodes[3].as_ref().is_some_and(Roster::is_searching));
    fleet.cut.clear();
    fleet.run(MS * 3_000);
    assert!(fleet.present().all(|node| !node.is_searching() && node.ids().count() == 58));
}

/// After a stall of its own, a node reported all others as silent.
#[test]
fn tick_own_stall_nobody_reported() {
    let mut fleet = Fleet::new(6);
    fleet.run(MS * 500);
    let node = fleet.nodes[0].as_mut().expect("the node is present");
    let later = fleet.now + MS * 5_000;
    assert!(node.tick(later).is_empty(), "no node is probed");
    assert!(!node.has_updates());
    assert_eq!(node.ids().count(), 5);
}

#[test]
fn apply_record_older_changes_nothing() {
    let now = Instant::now();
    let mut roster = Roster::new(contact(0, 1));
    assert!(roster.apply_record(&record(1, 3), now));
    assert!(!roster.apply_record(&record(1, 3), now), "it is already known");
    assert!(!roster.apply_record(&record(1, 2), now), "it is older");
    assert!(roster.apply_record(&Record { silent: true, ..record(1, 3) }, now));
    assert!(!roster.apply_record(&record(1, 3), now), "an earlier record does not refute it");
    assert!(roster.apply_record(&record(1, 4), now));
    let next = Record { contact: contact(1, 2), ..record(1, 1) };
    assert!(roster.apply_record(&next, now), "a new incarnation supersedes the former one");
    assert!(!roster.apply_record(&record(1, 9), now), "the former incarnation is ignored");
    assert!(!roster.apply_record(&Record { silent: true, ..record(2, 1) }, now));
    assert_eq!(roster.known(), 1, "a node first heard of as silent is not added");
}

#[test]
fn apply_record_reported_silent_refutes() {
    let now = Instant::now();
    let mut roster = Roster::new(contact(0, 1));
    let before = roster.me().serial;
    assert!(roster.apply_record(&Record { silent: true, ..record(0, before) }, now));
    assert!(roster.me().serial > before && roster.has_updates());
    let former = Record { contact: contact(0, 0), silent: true, ..record(0, 99) };
    assert!(!roster.apply_record(&former, now), "that was a former incarnation");
}

#[test]
fn add_unheard_not_present_until_heard() {
    let now = Instant::now();
    let mut roster = Roster::new(contact(0, 1));
    assert!(roster.add_unheard(contact(1, 1), now));
    assert!(roster.ready_contacts().is_empty() && roster.ids().count() == 0);
    assert_eq!(roster.silent_addresses().collect::<Vec<_>>(), [address(1)]);
    assert!(roster.apply_heartbeat(&record(1, 1), Status::default(), now));
    assert_eq!(roster.ready_contacts().len(), 1);
}

/// No node followed the store after the nodes that did were killed, as they were still counted.
#[test]
fn served_silent_or_turned_away_not_counted() {
    let now = Instant::now();
    let mut roster = Roster::new(contact(0, 1));
    for at in 1..=3 {
        roster.apply_record(&record(at, 1), now);
    }
    assert_eq!(roster.served().count(), 3);
    roster.apply_record(&Record { served: false, ..record(1, 2) }, now);
    roster.apply_record(&Record { silent: true, ..record(2, 1) }, now);
    assert_eq!(roster.served().count(), 1);
    assert_eq!((roster.ids().count(), roster.known()), (2, 3));
}

/// A node to which no other sends heartbeats has missed an update. Its digest differs from those of
/// all nodes to which it sends heartbeats, but each of these hears it among many that do not
/// differ. They took the next equal digest for the end of the difference, and no comparison took
/// place.
#[test]
fn note_digest_one_of_many_differs_noticed() {
    let (mut node, now) = (Roster::new(contact(0, 1)), Instant::now());
    let same = node.digest();
    let mut noticed = false;
    for beat in 0..20 {
        let at = now + HEARTBEAT_PERIOD * beat;
        noticed |= node.note_digest(&contact(1, 1).id, same ^ 1, at);
        for other in 2..9 {
            assert!(!node.note_digest(&contact(other, 1).id, same, at + MS));
        }
    }
    assert!(noticed);
}

/// Guards against two sides of a partition that each use the whole of a shared allowance.
#[test]
fn present_fraction_partitioned_sides_add_up() {
    let now = Instant::now();
    let side = |me: usize, there: std::ops::Range<usize>| {
        let mut roster = Roster::new(contact(me, 1));
        for at in (0..9).filter(|at| *at != me) {
            roster.apply_record(&record(at, 1), now);
            if !there.contains(&at) {
                roster.apply_record(&Record { silent: true, ..record(at, 1) }, now);
            }
        }
        roster.present_fraction()
    };
    assert_eq!(side(0, 0..9), 1.0);
    assert!((side(0, 0..2) + side(5, 2..9) - 1.0).abs() < 1e-9);
    let mut roster = Roster::new(contact(0, 1));
    roster.apply_record(&Record { standing: Standing::Leaving, ..record(1, 2) }, now);
    assert_eq!(roster.present_fraction(), 1.0, "a leaving node has no share");
}
