//! Model check of streams and versions on seeded schedules: two to six nodes; two or three versions
//! that releases bring forth and back; copies of the register that lag or stand still; lost and
//! delayed datagrams; nodes that are killed, one or most or all at once, that freeze, or that are
//! cut off from others; and callers that take a broken stream up at any node, twice.
//!
//! In every schedule each stream has events of one version only. Streams go on whose binding a node
//! holds that the asking node can reach. Four broken variants are explored as well and must be
//! caught.

mod world;

use self::world::{Stats, Variant, World};

const SCHEDULES: u64 = 3_000;
/// The number of schedules of a variant that must be caught.
const BROKEN_SCHEDULES: u64 = 600;

/// The violations of all schedules, and their sums.
fn explore(variant: Variant, schedules: u64) -> (Vec<String>, Stats) {
    play((0..schedules).map(|seed| (seed, World::new(variant, seed))))
}

/// As [`explore`], with a loss of all nodes in each schedule.
fn explore_loss(variant: Variant, schedules: u64) -> (Vec<String>, Stats) {
    play((0..schedules).map(|seed| (seed, World::with_loss(variant, seed))))
}

fn play(worlds: impl Iterator<Item = (u64, World)>) -> (Vec<String>, Stats) {
    let (mut violations, mut sums) = (Vec::new(), Stats::default());
    for (seed, mut world) in worlds {
        world.play();
        sums.add(&world.stats);
        violations.extend(world.violations.iter().map(|found| format!("schedule {seed}: {found}")));
    }
    (violations, sums)
}

fn count(violations: &[String], text: &str) -> usize {
    violations.iter().filter(|found| found.contains(text)).count()
}

#[test]
fn streams_any_schedule_one_version() {
    let (violations, sums) = explore(Variant::None, SCHEDULES);
    assert!(violations.is_empty(), "{} violations, first: {}", violations.len(), violations[0]);
    assert!(sums.taken_up > SCHEDULES * 10, "{sums:?}");
    assert!(sums.from_history > 0 && sums.unknown > 0, "{sums:?}");
    assert!(sums.went_on * 10 > sums.taken_up * 8, "most go on: {sums:?}");
}

/// Guards against a stream that another version continues after all nodes were lost, with all
/// bindings, and the runners of its version have left before a node was back.
#[test]
fn streams_after_loss_of_all_nodes_one_version() {
    let (violations, sums) = explore_loss(Variant::None, SCHEDULES);
    assert!(violations.is_empty(), "{} violations, first: {}", violations.len(), violations[0]);
    assert!(sums.orphaned > SCHEDULES && sums.from_history > 0, "{sums:?}");
}

/// Guards against a binding that is lost with the node that began the stream.
#[test]
fn streams_known_to_own_node_only_caught() {
    let (violations, _) = explore(Variant::NotShared, BROKEN_SCHEDULES);
    assert!(count(&violations, "was not found") > 0, "{} others", violations.len());
}

/// Guards against a version that is taken for the only one because it is the only one now.
#[test]
fn streams_without_history_caught() {
    let (violations, _) = explore(Variant::NoHistory, BROKEN_SCHEDULES);
    assert!(count(&violations, "events of two versions") > 0, "{} others", violations.len());
}

/// Guards against a stream that is bound to the version of a run that has brought no event.
#[test]
fn streams_bound_at_placement_caught() {
    let (violations, _) = explore(Variant::BoundAtPlacement, BROKEN_SCHEDULES);
    assert!(count(&violations, "events of two versions") > 0, "{} others", violations.len());
}

/// Guards against a stream of unknown version that goes on anywhere.
#[test]
fn streams_unknown_as_any_caught() {
    let (violations, _) = explore(Variant::UnknownIsAny, BROKEN_SCHEDULES);
    assert!(count(&violations, "events of two versions") > 0, "{} others", violations.len());
}
