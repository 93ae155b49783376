//! Tests of the quarantine: which requests are confirmed or released, and how all nodes learn of
//! it.

use std::time::{Duration, Instant};

use sardinepick_lib::fleet::fingerprint::Fingerprint;
use sardinepick_lib::fleet::quarantine::{DECISION_DELAY, Disposition, Entry, Quarantine, Stage};
use sardinepick_lib::fleet::runner::Tag;
use sardinepick_lib::fleet::suspect::{RunProgress, RunnerEnd, Suspects};
use sardinepick_lib::hash::stable_hash;
use sardinepick_lib::id::NodeId;

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

fn request(n: u64) -> Fingerprint {
    Fingerprint::of(&[&n.to_le_bytes()])
}

fn name(n: usize) -> NodeId {
    format!("edge-{n}").parse().expect("an id")
}

/// A node that counts ends and decides by itself.
#[derive(Default)]
struct Node {
    suspects: Suspects,
    quarantine: Quarantine,
}

impl Node {
    /// Records that a request was running when these runners ended.
    fn ended(&mut self, n: u64, incarnations: &[u64], begun: bool, now: Instant) -> Option<Entry> {
        let progress = RunProgress { events: 0, begun };
        self.note(n, incarnations, progress, false, now)
    }

    /// Records that a runner has ended under the trial of a request.
    fn trial_failed(&mut self, n: u64, incarnation: u64, now: Instant) -> Option<Entry> {
        let progress = RunProgress { events: 0, begun: true };
        self.note(n, &[incarnation], progress, true, now)
    }

    fn note(
        &mut self,
        n: u64,
        incarnations: &[u64],
        progress: RunProgress,
        is_trial: bool,
        now: Instant,
    ) -> Option<Entry> {
        for incarnation in incarnations {
            let incarnation = Tag(*incarnation);
            let end = RunnerEnd { incarnation, progress, is_trial };
            self.suspects.note(request(n), end, now);
        }
        let suspect = self.suspects.get(&request(n)).expect("just noted");
        self.quarantine.propose(request(n), suspect, now)
    }

    fn decided(&self, n: u64, now: Instant) -> Option<Stage> {
        self.quarantine.decide(&request(n), now)
    }

    /// Decides a proposal and applies the decision.
    fn settle(&mut self, n: u64, now: Instant) -> Stage {
        let stage = self.decided(n, now).expect("it is proposed");
        self.quarantine.set(&request(n), stage, now).expect("it is undecided");
        stage
    }

    fn disposition(&self, n: u64, now: Instant) -> Disposition {
        self.quarantine.disposition(&request(n), now)
    }

    fn confirm(&mut self, n: u64, now: Instant) {
        self.ended(n, &[n * 10, n * 10 + 1, n * 10 + 2], true, now).expect("it is proposed");
        self.quarantine.set(&request(n), Stage::Confirmed, now).expect("it is undecided");
    }
}

#[test]
fn propose_three_ends_waits_then_confirmed() {
    let (mut node, now) = (Node::default(), Instant::now());
    assert_eq!(node.ended(1, &[1, 2], true, now), None);
    assert_eq!(node.quarantine.disposition(&request(1), now), Disposition::Free);
    assert!(node.ended(1, &[3], true, now).is_some());
    assert_eq!(node.quarantine.disposition(&request(1), now), Disposition::Undecided);
    assert!(node.quarantine.due(now + DECISION_DELAY - MS).is_empty());
    let then = now + DECISION_DELAY;
    assert_eq!(node.quarantine.due(then), [request(1)]);
    assert_eq!(node.decided(1, then), Some(Stage::Confirmed));
    node.quarantine.set(&request(1), Stage::Confirmed, then);
    assert_eq!(node.quarantine.disposition(&request(1), then), Disposition::Refused);
    assert_eq!(node.quarantine.disposition(&request(2), then), Disposition::Free);
}

/// Two requests were at the same three runners when these ended, but one of them was only queued:
/// it was there by coincidence.
#[test]
fn decide_waited_beside_one_that_ran_restricted() {
    let (mut node, now) = (Node::default(), Instant::now());
    node.ended(1, &[1, 2, 3], true, now);
    node.ended(2, &[1, 2, 3], false, now);
    assert_eq!(node.decided(1, now), Some(Stage::Confirmed));
    assert_eq!(node.decided(2, now), Some(Stage::Restricted));
}

/// A request was moved to another runner twice, and met the request that ends runners both times; a
/// fourth runner ended for another reason.
#[test]
fn decide_beside_one_that_accounts_for_most_restricted() {
    let (mut node, now) = (Node::default(), Instant::now());
    node.ended(1, &[1, 2, 3, 4], true, now);
    node.ended(2, &[3, 4, 9], true, now);
    assert_eq!(node.decided(1, now), Some(Stage::Confirmed));
    assert_eq!(node.decided(2, now), Some(Stage::Restricted));
}

/// Guards against a request that runs freely after its third end because nothing distinguishes it
/// from another: both run in trials, one after the other, and the next end names one of them.
#[test]
fn decide_tie_restricted_until_trial_fails() {
    let (mut node, now) = (Node::default(), Instant::now());
    for n in [1, 2] {
        node.ended(n, &[1, 2, 3], true, now);
    }
    for n in [1, 2] {
        assert_eq!(node.settle(n, now), Stage::Restricted);
        assert_eq!(node.disposition(n, now), Disposition::Restricted(Tag(1)), "one group");
    }
    let again = node.trial_failed(1, 4, now + SECOND).expect("proposed again");
    assert_eq!((again.serial, again.ends.len()), (2, 4));
    assert_eq!(node.disposition(1, now + SECOND), Disposition::Undecided);
    assert_eq!(node.settle(1, now + SECOND), Stage::Confirmed);
    assert_eq!(node.disposition(2, now + SECOND), Disposition::Restricted(Tag(1)));
    assert!(!node.quarantine.has_progressed(&request(2), 2));
    assert!(node.quarantine.has_progressed(&request(2), 3));
}

/// Guards against sound requests that are refused because they were always beside one that crashes
/// runners, whatever the number of ends.
#[test]
fn decide_tie_many_ends_restricted() {
    let (mut node, now) = (Node::default(), Instant::now());
    for n in [1, 2] {
        node.ended(n, &[1, 2, 3, 4, 5], true, now);
    }
    for n in [1, 2] {
        assert_eq!(node.settle(n, now), Stage::Restricted);
    }
    for n in [1, 2] {
        let then = now + n as u32 * SECOND;
        node.trial_failed(n, 10 + n, then).expect("proposed again");
        assert_eq!(node.settle(n, then), Stage::Confirmed, "both crash runners");
    }
}

/// What crashes its runners has started at each of its ends; of two that have not, neither is
/// refused for having started once more.
#[test]
fn decide_started_at_some_ends_restricted() {
    let (mut node, now) = (Node::default(), Instant::now());
    for (n, started, queued) in [(1, [1, 2].as_slice(), [3].as_slice()), (2, &[1], &[2, 3])] {
        node.ended(n, started, true, now);
        node.ended(n, queued, false, now);
    }
    for n in [1, 2] {
        assert_eq!(node.decided(n, now), Some(Stage::Restricted));
    }
    let mut node = Node::default();
    node.ended(1, &[1, 2, 3], true, now);
    node.ended(2, &[1, 2], true, now);
    node.ended(2, &[3], false, now);
    assert_eq!(node.decided(1, now), Some(Stage::Confirmed));
    assert_eq!(node.decided(2, now), Some(Stage::Restricted));
}

/// A runner that ends under the trials of two requests at once names neither.
#[test]
fn decide_shared_trial_restricted() {
    let (mut node, now) = (Node::default(), Instant::now());
    for (n, ends) in [(1, [1, 2, 3]), (2, [4, 5, 6]), (3, [1, 2, 3]), (4, [4, 5, 6])] {
        node.ended(n, &ends, true, now);
    }
    for n in 1..=4 {
        assert_eq!(node.settle(n, now), Stage::Restricted);
    }
    for n in [1, 2] {
        node.trial_failed(n, 7, now + SECOND).expect("proposed again");
    }
    for n in [1, 2] {
        assert_eq!(node.decided(n, now + SECOND), Some(Stage::Restricted));
    }
}

/// Guards against a request that is pardoned because another one was confirmed in its place: its
/// ends still count, and the other one runs again in trials once they account for it.
#[test]
fn reconsider_better_explanation_restricted() {
    let (mut node, now) = (Node::default(), Instant::now());
    node.ended(2, &[1, 2, 3], true, now);
    assert_eq!(node.settle(2, now), Stage::Confirmed);
    node.ended(1, &[1, 2, 3], true, now);
    assert_eq!(node.settle(1, now), Stage::Restricted, "not free");
    assert_eq!(node.quarantine.reconsider(now), []);
    node.trial_failed(1, 4, now + SECOND).expect("proposed again");
    assert_eq!(node.settle(1, now + SECOND), Stage::Confirmed);
    let restricted = node.quarantine.reconsider(now + SECOND);
    assert_eq!(restricted.iter().map(|entry| entry.request).collect::<Vec<_>>(), [request(2)]);
    assert_eq!(node.disposition(2, now + SECOND), Disposition::Restricted(Tag(1)));
    assert_eq!(node.disposition(1, now + SECOND), Disposition::Refused);
}

/// Guards against trials without a result that follow one another all day.
#[test]
fn note_trial_without_result_bounded_in_a_day() {
    let (mut node, now) = (Node::default(), Instant::now());
    for n in [1, 2] {
        node.ended(n, &[1, 2, 3], true, now);
    }
    node.settle(1, now);
    let mut trials = 0;
    let mut at = now;
    while at < now + 86_000 * SECOND {
        if node.disposition(1, at) == Disposition::Restricted(Tag(1)) {
            node.quarantine.note_trial(&request(1), at).expect("new");
            trials += 1;
        }
        at += 50 * MS;
    }
    assert!(trials <= 21, "{trials} trials");
}

/// Guards against a request that runs freely because too many others are proposed.
#[test]
fn propose_many_restricted() {
    let (mut node, now) = (Node::default(), Instant::now());
    for n in 1..=40 {
        let entry = node.ended(n, &[n * 10, n * 10 + 1, n * 10 + 2], true, now).expect("new");
        let expected = if n <= 16 { Stage::Proposed } else { Stage::Restricted };
        assert_eq!(entry.stage, expected);
        assert_ne!(node.disposition(n, now), Disposition::Free);
    }
}

/// Runners that all end every few seconds by a fault of their own end under each of their requests:
/// many requests are proposed at once, and none is refused without a trial.
#[test]
fn decide_many_at_once_restricted() {
    let (mut node, now) = (Node::default(), Instant::now());
    for n in 1..=12 {
        node.ended(n, &[n * 10, n * 10 + 1, n * 10 + 2], true, now);
    }
    for n in 1..=12 {
        assert_eq!(node.decided(n, now), Some(Stage::Restricted));
    }
}

/// A few requests that end runners at the same time are all confirmed.
#[test]
fn decide_few_at_once_confirmed() {
    let (mut node, now) = (Node::default(), Instant::now());
    for n in 1..=3 {
        node.ended(n, &[n * 10, n * 10 + 1, n * 10 + 2], true, now);
    }
    for n in 1..=3 {
        assert_eq!(node.decided(n, now), Some(Stage::Confirmed));
    }
}

/// If the nodes that counted are gone or have stalled, the request runs in trials, and a further end
/// proposes it again.
#[test]
fn disposition_nobody_decides_restricted() {
    let (mut node, now) = (Node::default(), Instant::now());
    node.ended(1, &[1, 2, 3], true, now);
    let late = now + 2 * SECOND;
    assert_eq!(node.disposition(1, late), Disposition::Restricted(Tag(1)));
    assert_eq!(node.decided(1, late), None);
    assert!(node.quarantine.due(late).is_empty());
    assert!(node.ended(1, &[4], true, late).is_some());
}

/// Many callers send the same request all day, so it is running whenever a runner ends, and some
/// node has answered it since.
#[test]
fn contradicts_answered_since_first_end() {
    let (mut node, now) = (Node::default(), Instant::now());
    let mut other = Quarantine::default();
    other.note_answered(request(1), now + SECOND);
    other.note_answered(request(2), now - SECOND);
    for n in [1, 2] {
        let entry = node.ended(n, &[n * 10, n * 10 + 1, n * 10 + 2], true, now).expect("proposed");
        assert_eq!(
            other.contradicts(&entry),
            n == 1,
            "an answer before the first end does not count"
        );
    }
    assert!(
        node.quarantine.note_answered(request(1), now + SECOND),
        "the answer counts in favour of the request"
    );
}

/// A refused request is tried again at increasing intervals, at most three times.
#[test]
fn begin_trial_three_times() {
    let (mut node, now) = (Node::default(), Instant::now());
    node.confirm(1, now);
    let mut tried = Vec::new();
    for s in 0..20_000 {
        if node.quarantine.begin_trial(&request(1), now + s * SECOND) {
            tried.push(s);
        }
    }
    assert_eq!(tried, [30, 630, 2_430]);
    assert!(!node.quarantine.begin_trial(&request(2), now + 50 * SECOND));
}

/// A trial for which no runner was available does not count, and the next request is tried.
#[test]
fn return_trial_next_is_tried() {
    let (mut node, now) = (Node::default(), Instant::now());
    node.confirm(1, now);
    let due = now + 30 * SECOND;
    assert!(node.quarantine.begin_trial(&request(1), due));
    assert!(!node.quarantine.begin_trial(&request(1), due + MS));
    node.quarantine.return_trial(&request(1));
    assert!(node.quarantine.begin_trial(&request(1), due + 2 * MS));
    assert!(!node.quarantine.begin_trial(&request(1), due + 599 * SECOND));
}

#[test]
fn take_older_changes_nothing() {
    let (mut node, now) = (Node::default(), Instant::now());
    let proposed = node.ended(1, &[1, 2, 3], true, now).expect("proposed");
    let confirmed = node.quarantine.set(&request(1), Stage::Confirmed, now).expect("new");
    let mut other = Quarantine::default();
    assert!(other.apply_entry(confirmed.clone(), now));
    assert!(!other.apply_entry(proposed, now), "the proposal is superseded");
    assert!(!other.apply_entry(confirmed, now));
    let cleared = other.set(&request(1), Stage::Cleared, now).expect("new");
    assert!(node.quarantine.apply_entry(cleared, now));
    assert_eq!(node.quarantine.disposition(&request(1), now), Disposition::Free);
}

/// After a request was cleared, only new ends count, and its next proposal has a new serial.
#[test]
fn propose_after_cleared_counts() {
    let (mut node, now) = (Node::default(), Instant::now());
    node.confirm(1, now);
    node.quarantine.set(&request(1), Stage::Cleared, now);
    node.suspects.clear(&request(1));
    assert_eq!(node.ended(1, &[21, 22], true, now), None);
    assert_eq!(node.ended(1, &[23], true, now).map(|entry| entry.serial), Some(2));
}

/// A malformed entry with the greatest serial must not make a node panic.
#[test]
fn propose_after_greatest_serial_none() {
    let (mut node, now) = (Node::default(), Instant::now());
    node.confirm(1, now);
    let last = node.quarantine.get(&request(1)).expect("it is refused").clone();
    let last = Entry { serial: u32::MAX, stage: Stage::Cleared, ..last };
    assert!(node.quarantine.apply_entry(last, now));
    assert_eq!(node.ended(1, &[21, 22, 23], true, now), None);
}

#[test]
fn take_thousands_keeps_confirmed() {
    let (mut node, now) = (Node::default(), Instant::now());
    node.confirm(1, now);
    for n in 2..5_000 {
        let at = now + n as u32 * MS;
        let entry = Entry {
            request: request(n),
            serial: 1,
            stage: Stage::Restricted,
            ends: [Tag(1)].into_iter().collect(),
            begun: 1,
            events: 0,
            failed_trials: [].into_iter().collect(),
            trials: 0,
            first: at,
            since: at,
        };
        node.quarantine.apply_entry(entry, at);
    }
    assert!(node.quarantine.entries().count() <= 1_024);
    assert_eq!(node.quarantine.disposition(&request(1), now), Disposition::Refused);
}

#[test]
fn expire_a_day_later_removed() {
    let (mut node, now) = (Node::default(), Instant::now());
    node.confirm(1, now);
    assert!(node.quarantine.expire(now + 86_399 * SECOND).is_empty());
    assert_eq!(node.quarantine.expire(now + 86_400 * SECOND), [request(1)]);
}

/// Nodes that each send updates to eight others at once and heartbeats every 200 ms. Latency is ten
/// milliseconds, and one message in ten is lost.
struct Fleet {
    began: Instant,
    nodes: Vec<Quarantine>,
    watchers: Vec<Vec<usize>>,
    /// Messages with entries, and comparisons of all entries.
    sent: u32,
    compared: u32,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let began = Instant::now();
        let mut first = Node::default();
        first.confirm(1, began);
        let mut nodes: Vec<Quarantine> = vec![Quarantine::default(); count];
        nodes[0] = first.quarantine;
        let weight = |of: usize, to: usize| stable_hash(of as u64, &to.to_le_bytes());
        let watchers = |of: usize| {
            let mut others: Vec<usize> = (0..count).filter(|to| *to != of).collect();
            others.sort_by_key(|to| std::cmp::Reverse(weight(of, *to)));
            others.truncate(8);
            others
        };
        let watchers = (0..count).map(watchers).collect();
        Self { began, nodes, watchers, sent: 0, compared: 0 }
    }

    /// The number of nodes that refuse the request.
    fn refusing(&self) -> usize {
        let refuses =
            |node: &&Quarantine| node.disposition(&request(1), self.began) == Disposition::Refused;
        self.nodes.iter().filter(refuses).count()
    }

    /// Simulates the ten milliseconds after `at`.
    fn step(&mut self, at: Duration) {
        let now = self.began + at;
        let updates: Vec<Vec<Entry>> =
            self.nodes.iter_mut().map(Quarantine::take_updates).collect();
        let beats = at.as_millis().is_multiple_of(200);
        for (from, entries) in updates.iter().enumerate() {
            for to in self.watchers[from].clone() {
                let draw = [from.to_le_bytes(), to.to_le_bytes()].concat();
                if stable_hash(at.as_millis() as u64, &draw).is_multiple_of(10) {
                    continue;
                }
                self.sent += u32::from(!entries.is_empty());
                for entry in entries {
                    self.nodes[to].apply_entry(entry.clone(), now);
                }
                let digest = self.nodes[from].digest(now);
                if beats && self.nodes[to].note_digest(&name(from), digest, now) {
                    self.compare(from, to, now);
                }
            }
        }
    }

    fn compare(&mut self, one: usize, other: usize, now: Instant) {
        self.compared += 1;
        for (from, to) in [(one, other), (other, one)] {
            let all: Vec<Entry> = self.nodes[from].entries().cloned().collect();
            for entry in all {
                self.nodes[to].apply_entry(entry, now);
            }
        }
    }
}

/// The number of messages per node does not grow with the fleet.
#[test]
fn take_updates_at_all_sizes_reaches_all() {
    for count in [2, 6, 70, 295, 550] {
        let mut fleet = Fleet::new(count);
        let mut at = Duration::ZERO;
        while at < 200 * MS {
            fleet.step(at);
            at += 10 * MS;
        }
        let refusing = fleet.refusing();
        assert!(refusing * 100 >= count * 99, "{refusing} of {count} after 200 ms");
        let sent = f64::from(fleet.sent) / count as f64;
        assert!(sent <= 8.0, "{sent} messages per node at {count} nodes");
        while at < 3 * SECOND {
            fleet.step(at);
            at += 10 * MS;
        }
        assert_eq!(fleet.refusing(), count, "nodes that missed the entry find out by the digests");
        assert!(fleet.compared <= 24, "{} lists compared at {count} nodes", fleet.compared);
    }
}

/// A node that has stalled, was partitioned, or has just started finds out by the digest that it
/// has missed an entry.
#[test]
fn note_digest_missed_found() {
    let (mut node, now) = (Node::default(), Instant::now());
    let (mut other, name) = (Quarantine::default(), name(0));
    assert_eq!(other.digest(now), 0);
    assert!(!other.note_digest(&name, node.quarantine.digest(now), now));
    node.confirm(1, now);
    let digest = node.quarantine.digest(now);
    assert!(!other.note_digest(&name, digest, now), "the entry may still arrive");
    assert!(other.note_digest(&name, digest, now + SECOND));
    for entry in node.quarantine.entries() {
        other.apply_entry(entry.clone(), now + SECOND);
    }
    assert!(!other.note_digest(&name, digest, now + 3 * SECOND));
}
