//! A model of nodes that follow the store, directly or through each other, while nodes fail, freeze
//! and return, and while paths between nodes and to the store fail silently or with resets.
//!
//! Guarantees: a node that has run and reached the store for three seconds has each change within
//! two seconds; the calls to the store stay below its rate limit.

mod world;

use std::time::Duration;

use world::{Fault, MS, Policy, World};

/// Runs schedules of random faults, and returns the violations of each that has any.
fn run(nodes: usize, seeds: std::ops::Range<u64>, policy: Policy) -> Vec<(u64, Vec<String>)> {
    let run = |seed| (seed, World::new(nodes, seed, policy).run_random(Duration::from_secs(24)));
    seeds.map(run).filter(|(_, violations)| !violations.is_empty()).collect()
}

#[test]
fn random_faults_few_nodes_follow_store() {
    for nodes in [2, 4, 6, 9] {
        assert_eq!(run(nodes, 0..150, Policy::Current), [], "{nodes} nodes");
    }
}

#[test]
fn random_faults_67_nodes_follow_store() {
    assert_eq!(run(67, 0..20, Policy::Current), []);
}

#[test]
fn most_of_550_nodes_killed_others_follow_store() {
    let mut world = World::new(550, 1, Policy::Current);
    world.run(MS * 3_000);
    (0..547).for_each(|node| world.apply(Fault::Kill { node }));
    world.run(MS * 4_500);
    assert_eq!(world.violations(), [""; 0]);
}

/// The paths from the first nodes by rank to the store fail silently.
fn cut_first_nodes(policy: Policy) -> Vec<String> {
    let mut world = World::new(9, 4, policy);
    world.change_period = Some(MS * 200);
    world.run(MS * 6_000);
    for node in world.by_rank().into_iter().take(6) {
        world.apply(Fault::CutStore { node, is_silent: true });
    }
    world.run(MS * 5_000);
    world.violations().to_vec()
}

#[test]
fn first_nodes_cut_from_store_others_follow_store() {
    assert_eq!(cut_first_nodes(Policy::Current), [""; 0]);
}

/// The network between all nodes fails while all reach the store.
#[test]
fn all_of_550_nodes_cut_from_each_other_follow_store() {
    let mut world = World::new(550, 2, Policy::Current);
    world.run(MS * 3_000);
    world.apply(Fault::Isolate);
    world.run(MS * 4_000);
    assert_eq!(world.violations(), [""; 0]);
}

/// Without a fault, only elected nodes call the store.
#[test]
fn calm_few_calls() {
    for nodes in [6, 67, 550] {
        let mut world = World::new(nodes, 3, Policy::Current);
        world.change_period = None;
        world.run(MS * 3_000);
        let before = world.calls();
        world.run(MS * 6_000);
        let calls = world.calls() - before;
        assert!(calls <= 6 * 3, "{nodes} nodes: {calls} calls in 6 s");
        assert_eq!(world.violations(), [""; 0]);
    }
}

/// Guards against a model that would not notice nodes that do not follow the store.
#[test]
fn random_faults_broken_policies_caught() {
    assert!(!run(6, 0..150, Policy::ElectedOnly).is_empty());
    assert!(!cut_first_nodes(Policy::NoAge).is_empty());
}
