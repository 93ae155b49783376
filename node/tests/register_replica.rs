//! Differences of the register between nodes: a node that applies them has the same entries as the
//! sender, whatever either of them has missed.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use sardinepick_lib::fleet::register_version::RegisterVersion;
use sardinepick_lib::history::Point;
use sardinepick_node::serve::register_replica::{Difference, RegisterReplica};
use sardinepick_platform::store::Object;
use smol_str::{SmolStr, format_smolstr};

const DOUBT: Duration = Duration::from_secs(2);

fn named(name: u8) -> SmolStr {
    format_smolstr!("i-{name}")
}

fn object(name: u8, revision: u64) -> Object {
    let content = format!("{{\"n\":{revision}}}").into();
    Object { name: named(name), at: Point::without_era(revision), content }
}

fn version(revision: u64) -> RegisterVersion {
    RegisterVersion::of(Point::without_era(revision))
}

/// An answer to a watch.
fn changes(entries: Vec<Object>, gone: Vec<SmolStr>, revision: u64) -> Difference {
    Difference { entries, gone, version: version(revision), ..Difference::default() }
}

/// A list of the store.
fn listed(entries: Vec<Object>, revision: u64) -> Difference {
    Difference { whole: true, ..changes(entries, Vec::new(), revision) }
}

fn apply(replica: &mut RegisterReplica, difference: &Difference) -> Vec<Object> {
    replica.apply(difference).expect("the difference fits")
}

/// The answer of `sender` to `receiver`.
fn answer(sender: &RegisterReplica, receiver: &RegisterReplica, now: Instant) -> Difference {
    sender.difference_for(&receiver.keys().into_iter().collect(), now)
}

fn catch_up(receiver: &mut RegisterReplica, sender: &RegisterReplica, now: Instant) {
    let difference = answer(sender, receiver, now);
    apply(receiver, &difference);
}

fn names(replica: &RegisterReplica) -> Vec<SmolStr> {
    replica.names().cloned().collect()
}

proptest! {
    #[test]
    fn difference_for_any_gaps_same_register(steps in proptest::collection::vec((0u8..9, 0u8..6), 1..80)) {
        let now = Instant::now();
        let (mut sender, mut receiver) = (RegisterReplica::default(), RegisterReplica::default());
        for (at, (name, kind)) in steps.into_iter().enumerate() {
            let revision = 10 + at as u64 * 2;
            match kind {
                0 | 1 => drop(apply(&mut sender, &changes(vec![object(name, revision)], Vec::new(), revision))),
                2 => drop(apply(&mut sender, &changes(Vec::new(), vec![named(name)], revision))),
                3 => {
                    let left: Vec<Object> = sender
                        .difference_for(&HashSet::new(), now)
                        .entries
                        .into_iter()
                        .filter(|object| object.name != named(name))
                        .collect();
                    apply(&mut sender, &listed(left, revision));
                }
                _ => {
                    catch_up(&mut receiver, &sender, now);
                    prop_assert_eq!(receiver.version(), sender.version());
                    prop_assert_eq!(names(&receiver), names(&sender));
                    prop_assert_eq!(receiver.digest(), sender.digest());
                }
            }
        }
    }
}

/// Guards against a removed runner that stays in use: a node that has started since the removal, and
/// was sent the whole register, answers a node that still has the runner.
#[test]
fn difference_for_older_node_from_started_node_removes() {
    let now = Instant::now();
    let (mut watcher, mut started) = (RegisterReplica::default(), RegisterReplica::default());
    apply(&mut watcher, &changes(vec![object(1, 80), object(2, 90)], Vec::new(), 90));
    let mut behind = RegisterReplica::default();
    catch_up(&mut behind, &watcher, now);
    apply(&mut watcher, &changes(Vec::new(), vec![named(1)], 100));
    apply(&mut watcher, &changes(vec![object(2, 120)], Vec::new(), 120));
    catch_up(&mut started, &watcher, now);
    catch_up(&mut behind, &started, now);
    assert_eq!((names(&behind), behind.version()), (vec![named(2)], version(120)));
}

/// The same for a node that has listed the store after the removal.
#[test]
fn difference_for_older_node_from_lister_removes() {
    let now = Instant::now();
    let (mut lister, mut behind) = (RegisterReplica::default(), RegisterReplica::default());
    apply(&mut behind, &listed(vec![object(1, 80), object(2, 90)], 90));
    apply(&mut lister, &listed(vec![object(2, 90)], 110));
    apply(&mut lister, &changes(vec![object(2, 120)], Vec::new(), 120));
    catch_up(&mut behind, &lister, now);
    assert_eq!(names(&behind), [named(2)]);
}

/// Guards against an announced change that hides an earlier one that the receiver has missed.
#[test]
fn apply_announcement_after_gap_rejected() {
    let now = Instant::now();
    let mut sender = RegisterReplica::default();
    apply(&mut sender, &listed(vec![object(1, 5), object(2, 6)], 6));
    let mut receiver = sender.clone();
    apply(&mut sender, &changes(Vec::new(), vec![named(1)], 8));
    apply(&mut sender, &changes(vec![object(3, 9)], Vec::new(), 9));
    let late = sender.recent_changes(version(8), now).expect("remembered");
    let mismatch = receiver.apply(&late).expect_err("the removal of 1 is missing");
    assert_eq!((mismatch.expected, receiver.version()), (sender.digest(), version(6)));
    assert_eq!(names(&receiver), [named(1), named(2)]);
    let both = sender.recent_changes(version(6), now).expect("remembered");
    apply(&mut receiver, &both);
    assert_eq!(receiver.digest(), sender.digest());
}

#[test]
fn recent_changes_far_behind_none() {
    let now = Instant::now();
    let mut sender = RegisterReplica::default();
    assert!(sender.recent_changes(version(1), now).is_some_and(|none| none.entries.is_empty()));
    for at in 0..2_000u64 {
        apply(&mut sender, &changes(vec![object(1, at * 2 + 1)], Vec::new(), at * 2 + 1));
        apply(&mut sender, &changes(Vec::new(), vec![named(1)], at * 2 + 2));
    }
    apply(&mut sender, &changes(vec![object(2, 5_000)], Vec::new(), 5_000));
    assert!(sender.recent_changes(version(5), now).is_none());
    let near = sender.recent_changes(version(3_990), now).expect("remembered");
    assert_eq!((near.entries.len(), near.gone.as_slice()), (1, [named(1)].as_slice()));
}

/// Guards against requests to a runner that has left. After a store outage, a node that watches the
/// store finds an entry missing and doubts it. If it announces its new version without the doubt,
/// the other nodes consider their register up to date and request no difference.
#[test]
fn recent_changes_doubt_sent_with_its_version() {
    let now = Instant::now();
    let mut sender = RegisterReplica::default();
    apply(&mut sender, &listed(vec![object(1, 5), object(2, 6)], 6));
    let receiver = sender.clone();
    let removed = apply(&mut sender, &listed(vec![object(2, 6)], 9));
    assert_eq!(removed, [object(1, 5)]);
    sender.retain(object(1, 5), now + DOUBT);
    let announced = sender.recent_changes(version(6), now).expect("remembered");
    assert_eq!((announced.gone, announced.version), (vec![named(1)], version(9)));
    assert_eq!(announced.doubts[0].name, named(1));
    let asked = answer(&sender, &receiver, now);
    assert_eq!((asked.absent.len(), asked.doubts.len()), (1, 1));
    assert_eq!((asked.doubts[0].left, asked.doubts[0].object.as_ref()), (DOUBT, None));
    assert!(sender.recent_changes(version(9), now).expect("remembered").doubts.is_empty());
    apply(&mut sender, &changes(vec![object(1, 12)], Vec::new(), 12));
    assert!(answer(&sender, &receiver, now).doubts.is_empty(), "the entry is back");
}

/// Guards against a doubt whose time starts anew at each node that receives it.
#[test]
fn difference_for_doubt_time_left() {
    let now = Instant::now();
    let mut sender = RegisterReplica::default();
    apply(&mut sender, &listed(vec![object(1, 5)], 6));
    apply(&mut sender, &listed(Vec::new(), 9));
    sender.retain(object(1, 5), now + DOUBT);
    let doubts = sender.difference_for(&HashSet::new(), now + DOUBT / 2).doubts;
    assert_eq!((doubts[0].left, doubts[0].object.as_ref()), (DOUBT / 2, Some(&object(1, 5))));
    sender.release(&[named(1)]);
    assert!(sender.difference_for(&HashSet::new(), now).doubts.is_empty());
}

/// Guards against a change with an earlier version, as from a store that was restored from a copy,
/// that is never sent to other nodes.
#[test]
fn apply_change_with_earlier_version_sent() {
    let now = Instant::now();
    let mut sender = RegisterReplica::default();
    apply(&mut sender, &changes(vec![object(1, 5), object(2, 100)], Vec::new(), 100));
    let known = sender.clone();
    apply(&mut sender, &changes(vec![object(1, 60)], Vec::new(), 60));
    let difference = answer(&sender, &known, now);
    assert_eq!(difference.entries, [object(1, 60)]);
    assert!(difference.version > known.version(), "the announced version makes a node request it");
}
