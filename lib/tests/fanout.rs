//! Tests of the distribution of a large object between nodes, on a simulated clock.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use proptest::prelude::*;
use sardinepick_lib::fleet::fanout::{Fanout, Response};

/// A configuration of one megabyte, of which a node sends at most two copies concurrently.
const LARGE: usize = 1 << 20;

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (node >> 8) as u8, node as u8], 1))
}

fn node(address: SocketAddr) -> usize {
    let SocketAddr::V4(v4) = address else { panic!("all test addresses are IPv4") };
    let [_, _, high, low] = v4.ip().octets();
    usize::from(high) << 8 | usize::from(low)
}

/// Nodes that request copies from each other. A link sends its copies in turns, so two concurrent
/// copies each take twice as long; time is counted in steps of half a copy.
struct Fleet {
    fanouts: Vec<Fanout<usize>>,
    /// Halves of a copy that remain to be sent, by sender and receiver.
    in_progress: BTreeMap<(usize, usize), u32>,
    has: BTreeSet<usize>,
    /// Nodes whose copies never complete; they are aborted after four steps.
    unreachable: BTreeSet<usize>,
}

/// The number of steps after which a copy without progress is aborted.
const ABORT_STEPS: u32 = 4;

impl Fleet {
    fn new(nodes: usize, holders: usize) -> Self {
        Self {
            fanouts: (0..nodes).map(|_| Fanout::default()).collect(),
            in_progress: BTreeMap::new(),
            has: (0..holders).collect(),
            unreachable: BTreeSet::new(),
        }
    }

    fn ask(&mut self, asker: usize, holder: usize) {
        if self.fanouts[holder].ask(|| asker, LARGE) {
            self.begin(holder, asker);
        }
    }

    fn begin(&mut self, sender: usize, receiver: usize) {
        let steps = if self.unreachable.contains(&receiver) { ABORT_STEPS } else { 2 };
        self.in_progress.insert((sender, receiver), steps);
    }

    /// Advances time by half a copy on each link.
    fn step(&mut self) {
        let senders: BTreeSet<usize> = self.in_progress.keys().map(|(sender, _)| *sender).collect();
        let mut ended = Vec::new();
        for sender in senders {
            let mine: Vec<_> = self.in_progress.keys().filter(|k| k.0 == sender).copied().collect();
            // Copies that share the link take turns: the one with less to send completes first.
            let least = mine.iter().min_by_key(|k| self.in_progress[k]).copied();
            for key in mine {
                let unreachable = self.unreachable.contains(&key.1);
                let left = self.in_progress.get_mut(&key).expect("the key was just listed");
                if unreachable || Some(key) == least {
                    *left -= 1;
                }
                if *left == 0 {
                    ended.push(key);
                }
            }
        }
        for (sender, receiver) in ended {
            self.in_progress.remove(&(sender, receiver));
            let whole = !self.unreachable.contains(&receiver);
            if whole {
                self.has.insert(receiver);
            }
            let responses = self.fanouts[sender].end(whole.then(|| address(receiver)), LARGE);
            for (asker, response) in responses {
                match response {
                    Response::Send => self.begin(sender, asker),
                    Response::Redirect(at) => self.ask(asker, node(at)),
                }
            }
        }
    }

    /// Runs until no copy is in progress and returns the time, in copies.
    fn run(&mut self) -> u32 {
        let mut steps: u32 = 0;
        while !self.in_progress.is_empty() {
            self.step();
            steps += 1;
            assert!(steps < 10_000, "copies never complete");
        }
        steps.div_ceil(2)
    }
}

/// All copies of a new configuration shared the links of the three nodes that had it, so the last
/// of 87 nodes would have received it after the time of 28 copies, and each was aborted long
/// before.
#[test]
fn end_all_ask_few_time_of_few_copies() {
    let mut times = Vec::new();
    for nodes in [9, 87, 550, 2_000] {
        let mut fleet = Fleet::new(nodes, 3);
        (3..nodes).for_each(|asker| fleet.ask(asker, asker % 3));
        times.push(fleet.run());
        assert_eq!(fleet.has.len(), nodes);
    }
    expect_test::expect!["[2, 6, 9, 11]"].assert_eq(&format!("{times:?}"));
}

#[test]
fn end_unreachable_receivers_others_served() {
    let mut fleet = Fleet::new(87, 3);
    fleet.unreachable = (3..30).step_by(5).collect();
    (3..87).for_each(|asker| fleet.ask(asker, asker % 3));
    fleet.run();
    assert_eq!(fleet.has.len(), 87 - fleet.unreachable.len());
}

#[test]
fn ask_small_all_at_once() {
    let mut fanout: Fanout<usize> = Fanout::default();
    assert!((0..30).all(|asker| fanout.ask(|| asker, 2_000)));
}

proptest! {
    /// Each requester is sent a copy or redirected, exactly once, whatever the order in which
    /// copies end, and no more than two copies are sent concurrently.
    #[test]
    fn end_any_order_one_response_each(
        steps in proptest::collection::vec((any::<bool>(), any::<bool>()), 1..120),
    ) {
        let mut fanout: Fanout<usize> = Fanout::default();
        let (mut asked, mut responded) = (0, BTreeSet::new());
        let mut given = VecDeque::new();
        let end = |fanout: &mut Fanout<usize>,
                       given: &mut VecDeque<usize>,
                       responded: &mut BTreeSet<usize>,
                       whole: bool| {
            let Some(receiver) = given.pop_front() else { return };
            for (asker, response) in fanout.end(whole.then(|| address(receiver)), LARGE) {
                assert!(responded.insert(asker), "{asker} got two responses");
                if response == Response::Send {
                    given.push_back(asker);
                }
            }
            assert!(given.len() <= 2, "{} concurrent copies", given.len());
        };
        for (asks, whole) in steps {
            if asks {
                if fanout.ask(|| asked, LARGE) {
                    responded.insert(asked);
                    given.push_back(asked);
                }
                asked += 1;
            } else {
                end(&mut fanout, &mut given, &mut responded, whole);
            }
        }
        while !given.is_empty() {
            end(&mut fanout, &mut given, &mut responded, true);
        }
        prop_assert_eq!((responded.len(), fanout.waiting()), (asked, 0));
    }
}
