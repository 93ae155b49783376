//! Tests of reaching runners directly or through a peer.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::SeedableRng as _;
use rand::rngs::StdRng;
use sardinepick_lib::fleet::reachability::{
    Action, Dial, MAX_RELAYS, NEXT_RELAY_DELAY, Outcome, PROBE_PERIOD, Path, RELAY_DELAY,
    Reachability,
};
use sardinepick_lib::id::NodeId;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn runner(number: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 1, number], 8_000))
}

fn node(number: usize) -> NodeId {
    format!("node-{number}").parse().expect("a valid id")
}

/// Starts a dial and takes its first action.
fn dial(path: Path, relays: usize, first: Action, now: Instant) -> Dial {
    let mut dial = Dial::new(path, relays, CONNECT_TIMEOUT, now);
    assert_eq!(dial.poll(now), first);
    dial
}

#[test]
fn dial_open_path_connects_directly() {
    let now = Instant::now();
    let mut dial = dial(Path::Open, 2, Action::Direct, now);
    assert_eq!(dial.poll(now), Action::Wait(now + RELAY_DELAY));
    assert_eq!(dial.poll(now + RELAY_DELAY - ms(1)), Action::Wait(now + RELAY_DELAY));
}

/// Guards against a request that waits for the whole timeout of a direct connect.
#[test]
fn dial_direct_silent_asks_two_peers_in_turn() {
    let now = Instant::now();
    for path in [Path::Open, Path::Unverified] {
        let mut dial = dial(path, 5, Action::Direct, now);
        let second = now + RELAY_DELAY + NEXT_RELAY_DELAY;
        assert_eq!(dial.poll(now + RELAY_DELAY), Action::Relay);
        assert_eq!(dial.poll(now + RELAY_DELAY), Action::Wait(second));
        assert_eq!(dial.poll(second), Action::Relay);
        assert_eq!(dial.poll(second), Action::Wait(now + CONNECT_TIMEOUT));
        assert_eq!(dial.relayed(second), Some(Outcome::Closed { since: now }));
        assert_eq!(dial.poll(now + CONNECT_TIMEOUT), Action::GiveUp);
        assert_eq!(dial.gave_up(), Some(Outcome::Unreachable { since: now }));
    }
}

/// Guards against waiting for a direct connect that was refused or reset.
#[test]
fn dial_direct_failed_asks_peer_at_once() {
    let now = Instant::now();
    let mut dial = dial(Path::Open, 2, Action::Direct, now);
    dial.note_direct_failed();
    assert_eq!(dial.poll(now + ms(1)), Action::Relay);
    assert_eq!(dial.relayed(now + ms(2)), Some(Outcome::Closed { since: now }));
}

/// Guards against a runner that is down costing more time than without peers.
#[test]
fn dial_all_failed_gives_up_at_once() {
    let now = Instant::now();
    let mut dial = dial(Path::Open, 2, Action::Direct, now);
    dial.note_direct_failed();
    for _ in 0..MAX_RELAYS {
        assert_eq!(dial.poll(now + ms(1)), Action::Relay);
        dial.note_relay_failed();
    }
    assert_eq!(dial.poll(now + ms(1)), Action::GiveUp);
    assert_eq!(dial.gave_up(), Some(Outcome::Unreachable { since: now }));
}

#[test]
fn dial_without_peers_as_before() {
    let now = Instant::now();
    for path in [Path::Open, Path::Unverified, Path::Closed] {
        let mut silent = dial(path, 0, Action::Direct, now);
        assert_eq!(silent.poll(now + ms(100)), Action::Wait(now + CONNECT_TIMEOUT));
        assert_eq!(silent.poll(now + CONNECT_TIMEOUT), Action::GiveUp);
        assert_eq!(silent.gave_up(), None);
        let mut refused = dial(path, 0, Action::Direct, now);
        refused.note_direct_failed();
        assert_eq!(refused.poll(now + ms(1)), Action::GiveUp);
    }
}

#[test]
fn dial_closed_path_asks_peer_first() {
    let now = Instant::now();
    let mut dial = dial(Path::Closed, 2, Action::Relay, now);
    assert_eq!(dial.poll(now), Action::Wait(now + NEXT_RELAY_DELAY));
    assert_eq!(dial.relayed(now + ms(3)), None);
    dial.note_relay_failed();
    assert_eq!(dial.poll(now + ms(3)), Action::Relay);
    dial.note_relay_failed();
    assert_eq!(dial.poll(now + ms(5)), Action::Direct);
    assert_eq!(dial.poll(now + ms(5)), Action::Wait(now + CONNECT_TIMEOUT));
}

/// Guards against giving up a peer that connects, but later than the next one is asked.
#[test]
fn dial_closed_path_slow_peer_awaited() {
    let now = Instant::now();
    let mut dial = dial(Path::Closed, 2, Action::Relay, now);
    let second = now + NEXT_RELAY_DELAY;
    assert_eq!(dial.poll(second), Action::Relay);
    dial.note_relay_failed();
    let direct = second + NEXT_RELAY_DELAY;
    assert_eq!(dial.poll(second + ms(1)), Action::Wait(direct));
    assert_eq!(dial.poll(direct), Action::Direct);
    dial.note_direct_failed();
    assert_eq!(dial.poll(direct + ms(1)), Action::Wait(now + CONNECT_TIMEOUT));
    dial.note_relay_failed();
    assert_eq!(dial.poll(direct + ms(2)), Action::GiveUp);
}

/// Guards against peers that do not answer using up the whole timeout.
#[test]
fn dial_closed_path_silent_peers_connects_directly() {
    let now = Instant::now();
    let mut dial = dial(Path::Closed, 2, Action::Relay, now);
    assert_eq!(dial.poll(now + NEXT_RELAY_DELAY), Action::Relay);
    assert_eq!(dial.poll(now + NEXT_RELAY_DELAY), Action::Wait(now + NEXT_RELAY_DELAY * 2));
    assert_eq!(dial.poll(now + NEXT_RELAY_DELAY * 2), Action::Direct);
    // The peer is still awaited, and says little of a direct connect that has only begun.
    assert_eq!(dial.relayed(now + NEXT_RELAY_DELAY * 2 + ms(5)), None);
    dial.note_direct_failed();
    let deadline = now + CONNECT_TIMEOUT;
    assert_eq!(dial.poll(now + NEXT_RELAY_DELAY * 2 + ms(5)), Action::Wait(deadline));
}

#[test]
fn path_unknown_open() {
    let (reachability, now) = (Reachability::default(), Instant::now());
    assert_eq!(reachability.path(runner(1), now), Path::Open);
    assert!(reachability.may_reuse(runner(1), now, now));
    assert!(reachability.may_relay(runner(1), now));
}

/// Guards against a lost segment that throws away the connections to all runners.
#[test]
fn path_one_closed_others_open() {
    let (mut reachability, now) = (Reachability::default(), Instant::now());
    reachability.note_closed(runner(1), now, now);
    reachability.note_closed(runner(1), now + ms(1), now + ms(1));
    assert_eq!(reachability.path(runner(1), now), Path::Closed);
    assert_eq!(reachability.path(runner(2), now), Path::Open);
    assert_eq!(reachability.closed(), 1);
}

/// Guards against requests on connections that died in a partition from all runners.
#[test]
fn path_two_closed_others_unverified() {
    let (mut reachability, now) = (Reachability::default(), Instant::now());
    reachability.note_connected(runner(3), now);
    reachability.note_closed(runner(1), now + ms(1), now + ms(1));
    reachability.note_closed(runner(2), now + ms(2), now + ms(2));
    assert_eq!(reachability.path(runner(3), now), Path::Unverified);
    assert_eq!(reachability.path(runner(4), now), Path::Unverified);
    assert!(!reachability.may_reuse(runner(3), now, now));
}

#[test]
fn path_unverified_open_once_used() {
    let (mut reachability, now) = (Reachability::default(), Instant::now());
    reachability.note_closed(runner(1), now, now);
    reachability.note_closed(runner(2), now, now);
    reachability.note_connected(runner(3), now + ms(10));
    reachability.note_received(runner(4), now + ms(10));
    for open in [runner(3), runner(4)] {
        assert_eq!(reachability.path(open, now), Path::Open);
        assert!(!reachability.may_reuse(open, now, now));
        assert!(reachability.may_reuse(open, now + ms(11), now));
    }
}

#[test]
fn path_probe_failed_others_unverified_once() {
    let (mut reachability, now) = (Reachability::default(), Instant::now());
    reachability.note_closed(runner(1), now, now);
    reachability.note_probe_failed(runner(1), now + ms(100));
    assert_eq!(reachability.path(runner(2), now), Path::Unverified);
    reachability.note_received(runner(2), now + ms(200));
    reachability.note_probe_failed(runner(1), now + ms(5_000));
    assert_eq!(reachability.path(runner(2), now), Path::Open);
}

/// Guards against many closings that each throw away the connections to all runners.
#[test]
fn path_more_closed_unverified_once_a_second() {
    let (mut reachability, now) = (Reachability::default(), Instant::now());
    reachability.note_closed(runner(1), now, now);
    reachability.note_closed(runner(2), now, now);
    reachability.note_received(runner(9), now + ms(1));
    reachability.note_closed(runner(3), now + ms(900), now + ms(900));
    assert_eq!(reachability.path(runner(9), now + ms(999)), Path::Open);
    assert_eq!(reachability.path(runner(9), now + ms(1_000)), Path::Unverified);
    reachability.note_received(runner(9), now + ms(1_001));
    assert_eq!(reachability.path(runner(9), now + ms(5_000)), Path::Open);
}

/// Guards against a path that is opened by a connection that lives on while new ones are refused.
#[test]
fn path_closed_received_stays_closed() {
    let (mut reachability, now) = (Reachability::default(), Instant::now());
    reachability.note_closed(runner(1), now, now);
    reachability.note_received(runner(1), now + ms(10));
    assert_eq!(reachability.path(runner(1), now), Path::Closed);
    assert!(!reachability.may_reuse(runner(1), now + ms(10), now));
    reachability.note_connected(runner(1), now + ms(20));
    assert_eq!(reachability.path(runner(1), now), Path::Open);
    assert!(!reachability.may_reuse(runner(1), now, now));
}

#[test]
fn path_silent_unverified_until_heard() {
    let (mut reachability, now) = (Reachability::default(), Instant::now());
    reachability.note_connected(runner(1), now);
    reachability.note_silent(runner(1), now + ms(1_000));
    assert_eq!(reachability.path(runner(1), now), Path::Unverified);
    assert_eq!(reachability.path(runner(2), now), Path::Open);
    reachability.note_received(runner(1), now + ms(1_100));
    assert_eq!(reachability.path(runner(1), now), Path::Open);
}

/// Guards against a runner that is down closing the path to it, and being probed for ever.
#[test]
fn path_unreachable_not_closed() {
    let (mut reachability, now) = (Reachability::default(), Instant::now());
    reachability.note_unreachable(runner(1), now, now);
    assert_eq!(reachability.path(runner(1), now), Path::Open);
    reachability.note_closed(runner(1), now, now);
    reachability.note_unreachable(runner(1), now + ms(10), now + ms(10));
    assert_eq!(reachability.path(runner(1), now), Path::Unverified);
    assert_eq!(reachability.next_probe(now + ms(10)), None);
}

/// Guards against a lost segment that closes a path on which another connect has succeeded.
#[test]
fn path_connected_since_not_closed() {
    let (mut reachability, now) = (Reachability::default(), Instant::now());
    reachability.note_connected(runner(1), now + ms(30));
    reachability.note_closed(runner(1), now, now + ms(70));
    assert_eq!(reachability.path(runner(1), now), Path::Open);
    reachability.note_closed(runner(1), now + ms(31), now + ms(100));
    assert_eq!(reachability.path(runner(1), now), Path::Closed);
}

/// Guards against an attempt that failed late undoing what a later one has found.
#[test]
fn path_relayed_since_not_unreachable() {
    let (mut reachability, now) = (Reachability::default(), Instant::now());
    let (nodes, mut rng) = ([node(1)], StdRng::seed_from_u64(1));
    reachability.note_relayed(&nodes[0], runner(1), now + ms(70));
    reachability.note_closed(runner(1), now, now + ms(70));
    reachability.note_unreachable(runner(1), now, now + ms(250));
    assert_eq!(reachability.path(runner(1), now), Path::Closed);
    let chosen = reachability.relays(runner(1), nodes.iter(), now + ms(250), &mut rng);
    assert_eq!(chosen[..], nodes);
}

/// Guards against a runner at a used address that is never connected to directly.
#[test]
fn path_address_used_again_opened_by_probe() {
    let (mut reachability, now) = (Reachability::default(), Instant::now());
    reachability.note_closed(runner(1), now, now);
    reachability.retain(|address| *address == runner(1), now + ms(100));
    assert_eq!(reachability.next_probe(now + ms(200)), Some(runner(1)));
    reachability.note_connected(runner(1), now + ms(201));
    assert_eq!(reachability.path(runner(1), now), Path::Open);
}

#[test]
fn next_probe_none_closed_none() {
    let (mut reachability, now) = (Reachability::default(), Instant::now());
    reachability.note_connected(runner(1), now);
    assert_eq!(reachability.next_probe(now), None);
}

#[test]
fn next_probe_one_a_period_in_turn() {
    let (mut reachability, now) = (Reachability::default(), Instant::now());
    for number in 1..=3 {
        reachability.note_closed(runner(number), now, now);
    }
    let mut probed = Vec::new();
    for at in 0..PROBE_PERIOD.as_millis() as u64 * 6 {
        probed.extend(reachability.next_probe(now + ms(at)));
    }
    let turn = [runner(1), runner(2), runner(3)];
    assert_eq!(probed, [turn, turn].concat());
}

/// Guards against a lost segment that keeps a path closed while others are probed.
#[test]
fn next_probe_newly_closed_first() {
    let (mut reachability, now) = (Reachability::default(), Instant::now());
    for number in 1..=3 {
        reachability.note_closed(runner(number), now, now);
        assert!(reachability.next_probe(now + PROBE_PERIOD * number.into()).is_some());
    }
    reachability.note_closed(runner(9), now + PROBE_PERIOD * 4, now + PROBE_PERIOD * 4);
    assert_eq!(reachability.next_probe(now + PROBE_PERIOD * 4), Some(runner(9)));
}

/// Guards against nodes that stay on detours for as many probes as there are runners.
#[test]
fn note_connected_closed_before_others_unverified() {
    let (mut reachability, now) = (Reachability::default(), Instant::now());
    for number in 1..=200 {
        reachability.note_closed(runner(number), now, now);
    }
    let probed = reachability.next_probe(now + ms(300)).expect("paths are closed");
    reachability.note_connected(probed, now + ms(301));
    assert_eq!(reachability.closed(), 0);
    assert_eq!(reachability.path(probed, now), Path::Open);
    let others = (1..=200).map(runner).filter(|other| *other != probed);
    assert!(others.into_iter().all(|other| reachability.path(other, now) == Path::Unverified));
}

/// Guards against a storm of attempts through peers that do not reach the runner either.
#[test]
fn relays_unreachable_one_attempt_a_second() {
    let (mut reachability, now) = (Reachability::default(), Instant::now());
    let (nodes, mut rng) = ([node(1), node(2)], StdRng::seed_from_u64(1));
    for peer in &nodes {
        reachability.note_relay_failed(peer, runner(1), now);
    }
    reachability.note_unreachable(runner(1), now, now);
    let mut count = |address, at| reachability.relays(address, nodes.iter(), at, &mut rng).len();
    assert_eq!(count(runner(1), now + ms(999)), 0);
    assert_eq!(count(runner(2), now + ms(999)), 2);
    assert_eq!(count(runner(1), now + ms(1_000)), 2);
    assert_eq!(count(runner(1), now + ms(1_999)), 0);
    reachability.note_relayed(&nodes[0], runner(1), now + ms(1_999));
    assert_eq!(reachability.relays(runner(1), nodes.iter(), now + ms(1_999), &mut rng).len(), 2);
}

/// Guards against a node that finds the one peer that reaches a runner only after many seconds.
#[test]
fn relays_unreachable_next_peers_sooner() {
    let (mut reachability, mut now) = (Reachability::default(), Instant::now());
    let nodes: Vec<NodeId> = (0..20).map(node).collect();
    let (mut asked, mut rng) = (Vec::new(), StdRng::seed_from_u64(1));
    for _ in 0..4 {
        let chosen = reachability.relays(runner(1), nodes.iter(), now, &mut rng);
        assert_eq!(chosen.len(), 2);
        for peer in chosen {
            assert!(!asked.contains(&peer));
            reachability.note_relay_failed(&peer, runner(1), now);
            asked.push(peer);
        }
        reachability.note_unreachable(runner(1), now, now);
        assert!(reachability.relays(runner(1), nodes.iter(), now + ms(249), &mut rng).is_empty());
        now += ms(250);
    }
    assert!(reachability.relays(runner(1), nodes.iter(), now, &mut rng).is_empty());
    assert_eq!(reachability.relays(runner(1), nodes.iter(), now + ms(750), &mut rng).len(), 2);
}

#[test]
fn relays_few_nodes_as_many() {
    let (mut reachability, now) = (Reachability::default(), Instant::now());
    let (nodes, mut rng) = ([node(1)], StdRng::seed_from_u64(1));
    assert_eq!(reachability.relays(runner(1), nodes.iter(), now, &mut rng)[..], nodes);
    assert!(reachability.relays(runner(1), [].iter(), now, &mut rng).is_empty());
}

#[test]
fn relays_many_nodes_spread() {
    let (mut reachability, now) = (Reachability::default(), Instant::now());
    let nodes: Vec<NodeId> = (0..10).map(node).collect();
    let (mut asked, mut rng) = ([0; 10], StdRng::seed_from_u64(1));
    for _ in 0..1_000 {
        let chosen = reachability.relays(runner(1), nodes.iter(), now, &mut rng);
        let first = nodes.iter().position(|node| *node == chosen[0]).expect("a candidate");
        asked[first] += 1;
        reachability.note_relayed(&chosen[0], runner(1), now);
    }
    assert!(asked.iter().all(|count| (60..140).contains(count)), "{asked:?}");
}

/// Guards against asking a peer again that is cut from the same runner.
#[test]
fn relays_failed_last() {
    let (mut reachability, now) = (Reachability::default(), Instant::now());
    let (nodes, mut rng) = ([node(1), node(2), node(3), node(4)], StdRng::seed_from_u64(1));
    reachability.note_relay_failed(&nodes[0], runner(1), now);
    reachability.note_relay_failed(&nodes[1], runner(2), now);
    for _ in 0..50 {
        let chosen = reachability.relays(runner(1), nodes.iter(), now, &mut rng);
        assert!(!chosen.contains(&nodes[0]) && !chosen.contains(&nodes[1]), "{chosen:?}");
        let chosen = reachability.relays(runner(1), nodes[..2].iter(), now, &mut rng);
        assert_eq!(chosen[..], [nodes[1].clone(), nodes[0].clone()]);
    }
}

/// Guards against a node that asks the same cut peers again, and never the one that has healed.
#[test]
fn relays_all_failed_least_recent_first() {
    let (mut reachability, now) = (Reachability::default(), Instant::now());
    let (nodes, mut rng) = ([node(1), node(2), node(3), node(4)], StdRng::seed_from_u64(1));
    for (index, failed_at) in [(2, 0), (0, 1), (3, 2), (1, 3)] {
        reachability.note_relay_failed(&nodes[index], runner(1), now + ms(failed_at));
    }
    let chosen = reachability.relays(runner(1), nodes.iter(), now + ms(10), &mut rng);
    assert_eq!(chosen[..], [nodes[2].clone(), nodes[0].clone()]);
}

/// Guards against passing over the peer that reaches a runner because it does not reach another.
#[test]
fn relays_reached_this_runner_kept() {
    let (mut reachability, now) = (Reachability::default(), Instant::now());
    let nodes: Vec<NodeId> = (0..10).map(node).collect();
    let mut rng = StdRng::seed_from_u64(1);
    reachability.note_relayed(&nodes[7], runner(1), now);
    reachability.note_relay_failed(&nodes[7], runner(2), now + ms(10));
    for _ in 0..50 {
        let chosen = reachability.relays(runner(1), nodes.iter(), now + ms(20), &mut rng);
        assert!(chosen.contains(&nodes[7]), "{chosen:?}");
        let chosen = reachability.relays(runner(2), nodes.iter(), now + ms(20), &mut rng);
        assert!(!chosen.contains(&nodes[7]), "{chosen:?}");
    }
}

/// Guards against two unknown peers in a row when one is known to reach runners.
#[test]
fn relays_second_has_reached_a_runner() {
    let (mut reachability, now) = (Reachability::default(), Instant::now());
    let nodes: Vec<NodeId> = (0..10).map(node).collect();
    let mut rng = StdRng::seed_from_u64(1);
    reachability.note_relayed(&nodes[7], runner(2), now);
    for _ in 0..50 {
        let chosen = reachability.relays(runner(1), nodes.iter(), now + ms(10), &mut rng);
        assert!(chosen.contains(&nodes[7]), "{chosen:?}");
    }
}

/// Guards against peers that all wait for each other's timeouts when all nodes are cut.
#[test]
fn may_relay_failed_refuses_at_once() {
    let (mut reachability, now) = (Reachability::default(), Instant::now());
    reachability.note_direct_failed(runner(1), now);
    reachability.note_unreachable(runner(2), now, now);
    reachability.note_closed(runner(3), now, now);
    let later = now + ms(1_000);
    for (number, after) in [(1, true), (2, true), (3, false)] {
        assert!(!reachability.may_relay(runner(number), now + ms(999)));
        assert_eq!(reachability.may_relay(runner(number), later), after);
    }
    reachability.note_connected(runner(3), later);
    assert!(reachability.may_relay(runner(3), later));
}

/// Guards against memory that grows with the runners that have ever been there.
#[test]
fn retain_unwanted_removed() {
    let (mut reachability, now) = (Reachability::default(), Instant::now());
    reachability.note_closed(runner(1), now, now);
    reachability.note_closed(runner(2), now, now);
    reachability.retain(|address| *address == runner(2), now);
    assert_eq!(reachability.closed(), 1);
    assert_eq!(reachability.next_probe(now), Some(runner(2)));
    assert_ne!(reachability.path(runner(1), now), Path::Closed);
}

type Reach = fn(&mut Reachability, Instant);

/// Guards against requests that wait for one runner after the other while none is reached, and
/// against giving up on the others because one or two runners are down.
#[test]
fn isolated_after_timeouts_of_three_runners_only() {
    let (mut reachability, start) = (Reachability::default(), Instant::now());
    let timed_out = |reachability: &mut Reachability, number, began: Instant| {
        reachability.note_timed_out(runner(number), began, began + CONNECT_TIMEOUT);
    };
    for number in [1, 2, 1, 2] {
        timed_out(&mut reachability, number, start);
    }
    let now = start + CONNECT_TIMEOUT;
    assert!(!reachability.is_isolated(now), "two runners may be down");
    timed_out(&mut reachability, 3, start);
    assert!(reachability.is_isolated(now));
    assert!(!reachability.is_isolated(now + Duration::from_secs(5)), "the timeouts are old");

    let reached: [Reach; 3] = [
        |reachability, now| reachability.note_connected(runner(4), now),
        |reachability, now| reachability.note_received(runner(4), now),
        |reachability, now| reachability.note_relayed(&node(1), runner(4), now),
    ];
    for reach in reached {
        let mut reachability = reachability.clone();
        reach(&mut reachability, now);
        assert!(!reachability.is_isolated(now), "a runner was reached");
        for number in [1, 2, 3] {
            timed_out(&mut reachability, number, start);
        }
        assert!(!reachability.is_isolated(now), "the connects began before a runner was reached");
        for number in [1, 2, 3] {
            timed_out(&mut reachability, number, now + ms(1));
        }
        assert!(reachability.is_isolated(now + CONNECT_TIMEOUT + ms(1)));
    }
}

/// Guards against taking a connect that fails at once for one that times out.
#[test]
fn dial_timed_out_at_its_deadline_only() {
    let now = Instant::now();
    let mut dial = dial(Path::Open, 0, Action::Direct, now);
    dial.note_direct_failed();
    assert_eq!(dial.poll(now + ms(1)), Action::GiveUp);
    assert_eq!(dial.timed_out(now + ms(1)), None);
    assert_eq!(dial.timed_out(now + CONNECT_TIMEOUT), Some(now));
}
