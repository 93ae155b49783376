//! Model check of reaching runners directly or through a peer, on seeded schedules: cuts between
//! nodes and runners of any shape, by silence, reset, refusal and one way, which overlap, heal and
//! flap; lost segments; nodes that end; runners that leave, end, and are replaced at the same
//! address; and requests that may repeat, must not, or are streams that can be resumed.
//!
//! In every schedule no request runs twice that must not; none is sent to a runner that has left;
//! none is given up that could have been delivered, directly or by a peer, on a way that has not
//! changed for three seconds; nodes are back to direct connections 1.5 s after a heal; probes are
//! bounded; a path is closed only where it was interrupted; and calm schedules ask no peer.
//!
//! The policy before, which connects directly only, and five broken variants are explored as well,
//! and must be caught.

mod connection;
mod dispatch;
mod request;
mod site;
mod world;

use self::site::{Shape, Site};
use self::world::{Policy, Stats, World};

const SCHEDULES: u64 = 3_000;
/// The number of schedules of a policy that must be caught.
const BROKEN_SCHEDULES: u64 = 400;

/// The violations of all schedules, and their sums.
fn explore(policy: Policy, shape: Shape, schedules: u64) -> (Vec<String>, Stats) {
    let (mut violations, mut sums) = (Vec::new(), Stats::default());
    for seed in 0..schedules {
        let site = Site::draw(shape, seed);
        let mut world = World::new(policy, site, seed);
        world.play();
        sums.add(&world.stats);
        violations.extend(world.violations.iter().map(|found| format!("schedule {seed}: {found}")));
    }
    (violations, sums)
}

fn assert_none(violations: &[String]) {
    assert!(violations.is_empty(), "{} violations, first: {}", violations.len(), violations[0]);
}

fn assert_caught(policy: Policy, text: &str) {
    let (violations, _) = explore(policy, Shape::Any, BROKEN_SCHEDULES);
    let count = violations.iter().filter(|found| found.contains(text)).count();
    assert!(count > 0, "not caught; {} other violations", violations.len());
}

#[test]
fn reachability_any_schedule_delivers() {
    let (violations, sums) = explore(Policy::Reachability, Shape::Any, SCHEDULES);
    assert_none(&violations);
    assert!(sums.answered > sums.failed * 5, "few requests answered: {sums:?}");
    assert!(sums.relayed > 50 * SCHEDULES, "few requests through peers: {sums:?}");
    assert!(sums.probes > SCHEDULES, "few probes: {sums:?}");
}

#[test]
fn reachability_calm_asks_no_peer() {
    let (violations, sums) = explore(Policy::Reachability, Shape::Calm, 500);
    assert_none(&violations);
    assert_eq!((sums.asked, sums.probes, sums.failed), (0, 0, 0));
}

/// Guards against a storm of attempts through peers that are cut as well.
#[test]
fn reachability_all_nodes_cut_asks_bounded() {
    let (violations, sums) = explore(Policy::Reachability, Shape::AllCut, 100);
    assert_none(&violations);
    assert_eq!(sums.relayed, 0);
    // Two a second, and those of the attempts that begin before the first verdict.
    assert!(sums.asked < sums.pairs * 9 * 3, "{sums:?}");
}

/// Guards against nodes that fail their callers while their peers reach the runners.
#[test]
fn reachability_direct_only_caught() {
    assert_caught(Policy::DirectOnly, "could have been delivered");
}

/// Guards against a runner that is down closing the path to it.
#[test]
fn reachability_closing_without_peer_caught() {
    assert_caught(Policy::CloseWithoutPeer, "was not interrupted");
}

/// Guards against requests on connections that died in a partition.
#[test]
fn reachability_reuse_of_unverified_caught() {
    assert_caught(Policy::ReuseUnverified, "dead connection");
}

/// Guards against nodes that go on through peers after a heal.
#[test]
fn reachability_no_probes_caught() {
    assert_caught(Policy::NoProbes, "still through a peer");
}

/// Guards against requests to runners that have left while the connection was established.
#[test]
fn reachability_no_look_before_sending_caught() {
    assert_caught(Policy::NoLookBeforeSending, "has left");
}

/// Guards against a request that must not repeat being sent again after it may have run.
#[test]
fn reachability_repeat_of_broken_caught() {
    assert_caught(Policy::RepeatBroken, "ran twice");
}
