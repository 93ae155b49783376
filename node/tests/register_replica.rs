//! Differences of the register between nodes: a node that applies them has the same state as the
//! sender, whatever it has missed in between.

use proptest::prelude::*;
use sardinepick_lib::fleet::register_version::RegisterVersion;
use sardinepick_lib::history::Point;
use sardinepick_node::serve::register_replica::{Difference, RegisterReplica};
use sardinepick_platform::store::Object;
use smol_str::{SmolStr, format_smolstr};

fn named(name: u8) -> SmolStr {
    format_smolstr!("i-{name}")
}

fn object(name: u8, revision: u64) -> Object {
    let content = format!("{{\"n\":{revision}}}").into();
    Object { name: named(name), at: Point::without_era(revision), content }
}

fn apply(replica: &mut RegisterReplica, difference: Difference) {
    let mut gone = difference.gone;
    if difference.whole {
        let named: Vec<SmolStr> = difference.entries.iter().map(|o| o.name.clone()).collect();
        gone.extend(names(replica).into_iter().filter(|name| !named.contains(name)));
    }
    replica.apply(difference.entries, &gone, difference.version);
}

fn names(replica: &RegisterReplica) -> Vec<SmolStr> {
    let mut names: Vec<SmolStr> =
        replica.since(RegisterVersion::default()).entries.into_iter().map(|o| o.name).collect();
    names.sort();
    names
}

proptest! {
    #[test]
    fn since_any_gaps_same_register(steps in proptest::collection::vec((0u8..9, 0u8..6), 1..80)) {
        let (mut sender, mut receiver) = (RegisterReplica::default(), RegisterReplica::default());
        for (at, (name, kind)) in steps.into_iter().enumerate() {
            let revision = 10 + at as u64 * 2;
            match kind {
                0 | 1 => sender.apply(vec![object(name, revision)], &[], RegisterVersion::of(Point::without_era(revision))),
                2 => sender.apply(Vec::new(), &[named(name)], RegisterVersion::of(Point::without_era(revision))),
                3 => sender.apply_expired(&[named(name)]),
                _ => {
                    let difference = sender.since(receiver.version());
                    apply(&mut receiver, difference);
                    prop_assert_eq!(receiver.version(), sender.version());
                    prop_assert_eq!(names(&receiver), names(&sender));
                }
            }
        }
    }
}

#[test]
fn since_far_behind_everything() {
    let mut sender = RegisterReplica::default();
    for at in 0..2_000u64 {
        sender.apply(
            vec![object(1, at * 2 + 1)],
            &[],
            RegisterVersion::of(Point::without_era(at * 2 + 1)),
        );
        sender.apply(Vec::new(), &[named(1)], RegisterVersion::of(Point::without_era(at * 2 + 2)));
    }
    sender.apply(vec![object(2, 5_000)], &[], RegisterVersion::of(Point::without_era(5_000)));
    assert!(sender.since(RegisterVersion::of(Point::without_era(5))).whole);
    let near = sender.since(RegisterVersion::of(Point::without_era(3_990)));
    assert!(!near.whole && near.entries.len() == 1 && near.gone.len() == 5);
}

/// Guards against requests to a runner that has left. After a store outage, a node that watches the
/// store finds an entry missing and doubts it. If it announces its new version without the doubt,
/// the other nodes consider their register up to date and request no difference.
#[test]
fn since_doubt_sent_with_its_version() {
    let mut sender = RegisterReplica::default();
    sender.apply(vec![object(1, 5), object(2, 6)], &[], RegisterVersion::of(Point::without_era(6)));
    sender.apply_with_doubts(
        Vec::new(),
        &[],
        &[named(1)],
        RegisterVersion::of(Point::without_era(9)),
    );
    let difference = sender.since(RegisterVersion::of(Point::without_era(6)));
    assert_eq!(
        (difference.doubted, difference.version),
        (vec![named(1)], RegisterVersion::of(Point::without_era(9)))
    );
    assert_eq!(sender.since(RegisterVersion::default()).doubted, [named(1)]);
    assert!(sender.since(RegisterVersion::of(Point::without_era(9))).doubted.is_empty());
    sender.apply(vec![object(1, 12)], &[], RegisterVersion::of(Point::without_era(12)));
    assert!(sender.since(RegisterVersion::default()).doubted.is_empty(), "the entry is back");
}

/// Guards against a change with an earlier version, as from a store that was restored from a copy,
/// that is never sent to other nodes.
#[test]
fn since_change_with_earlier_version_sent() {
    let mut sender = RegisterReplica::default();
    sender.apply(
        vec![object(1, 5), object(2, 100)],
        &[],
        RegisterVersion::of(Point::without_era(100)),
    );
    let known = sender.version();
    sender.apply(vec![object(1, 60)], &[], RegisterVersion::of(Point::without_era(60)));
    let difference = sender.since(known);
    assert_eq!(difference.entries, [object(1, 60)]);
    assert!(difference.version > known, "the announced version makes a node request it");
}
