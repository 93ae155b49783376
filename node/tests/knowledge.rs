//! What nodes tell each other of the register: a node that takes in differences knows what the one
//! that told them knows, whatever was missed between.

use proptest::prelude::*;
use sardinepick_lib::fleet::register_version::RegisterVersion;
use sardinepick_lib::history::Point;
use sardinepick_node::serve::knowledge::{Difference, Knowledge};
use sardinepick_platform::store::Object;
use smol_str::{SmolStr, format_smolstr};

fn named(name: u8) -> SmolStr {
    format_smolstr!("i-{name}")
}

fn object(name: u8, revision: u64) -> Object {
    let content = format!("{{\"n\":{revision}}}").into();
    Object { name: named(name), at: Point::without_era(revision), content }
}

fn take(knowledge: &mut Knowledge, told: Difference) {
    let mut gone = told.gone;
    if told.whole {
        let named: Vec<SmolStr> = told.entries.iter().map(|o| o.name.clone()).collect();
        gone.extend(names(knowledge).into_iter().filter(|name| !named.contains(name)));
    }
    knowledge.take(told.entries, &gone, told.mark);
}

fn names(knowledge: &Knowledge) -> Vec<SmolStr> {
    let mut names: Vec<SmolStr> =
        knowledge.since(RegisterVersion::default()).entries.into_iter().map(|o| o.name).collect();
    names.sort();
    names
}

proptest! {
    #[test]
    fn since_any_gaps_same_register(steps in proptest::collection::vec((0u8..9, 0u8..6), 1..80)) {
        let (mut teller, mut learner) = (Knowledge::default(), Knowledge::default());
        for (at, (name, kind)) in steps.into_iter().enumerate() {
            let revision = 10 + at as u64 * 2;
            match kind {
                0 | 1 => teller.take(vec![object(name, revision)], &[], RegisterVersion::of(Point::without_era(revision))),
                2 => teller.take(Vec::new(), &[named(name)], RegisterVersion::of(Point::without_era(revision))),
                3 => teller.take_lapsed(&[named(name)]),
                _ => {
                    let told = teller.since(learner.mark());
                    take(&mut learner, told);
                    prop_assert_eq!(learner.mark(), teller.mark());
                    prop_assert_eq!(names(&learner), names(&teller));
                }
            }
        }
    }
}

#[test]
fn since_far_behind_everything() {
    let mut teller = Knowledge::default();
    for at in 0..2_000u64 {
        teller.take(
            vec![object(1, at * 2 + 1)],
            &[],
            RegisterVersion::of(Point::without_era(at * 2 + 1)),
        );
        teller.take(Vec::new(), &[named(1)], RegisterVersion::of(Point::without_era(at * 2 + 2)));
    }
    teller.take(vec![object(2, 5_000)], &[], RegisterVersion::of(Point::without_era(5_000)));
    assert!(teller.since(RegisterVersion::of(Point::without_era(5))).whole);
    let near = teller.since(RegisterVersion::of(Point::without_era(3_990)));
    assert!(!near.whole && near.entries.len() == 1 && near.gone.len() == 5);
}

/// Symptom: nodes give work to a runner that has left. Sequence: the store was away; a node
/// that follows it finds an entry missing, doubts that, and tells the others how new its register is;
/// they know as new a register and ask nobody else. Cause: it told the mark and not the doubt.
#[test]
fn since_doubt_told_with_its_mark() {
    let mut teller = Knowledge::default();
    teller.take(vec![object(1, 5), object(2, 6)], &[], RegisterVersion::of(Point::without_era(6)));
    teller.take_with_doubt(
        Vec::new(),
        &[],
        &[named(1)],
        RegisterVersion::of(Point::without_era(9)),
    );
    let told = teller.since(RegisterVersion::of(Point::without_era(6)));
    assert_eq!(
        (told.doubted, told.mark),
        (vec![named(1)], RegisterVersion::of(Point::without_era(9)))
    );
    assert_eq!(teller.since(RegisterVersion::default()).doubted, [named(1)]);
    assert!(teller.since(RegisterVersion::of(Point::without_era(9))).doubted.is_empty());
    teller.take(vec![object(1, 12)], &[], RegisterVersion::of(Point::without_era(12)));
    assert!(teller.since(RegisterVersion::default()).doubted.is_empty(), "it has come back");
}

/// Guards against a change under an earlier mark, as of a store that came back from a copy, that is told
/// to nobody.
#[test]
fn since_change_under_earlier_mark_told() {
    let mut teller = Knowledge::default();
    teller.take(
        vec![object(1, 5), object(2, 100)],
        &[],
        RegisterVersion::of(Point::without_era(100)),
    );
    let known = teller.mark();
    teller.take(vec![object(1, 60)], &[], RegisterVersion::of(Point::without_era(60)));
    let told = teller.since(known);
    assert_eq!(told.entries, [object(1, 60)]);
    assert!(told.mark > known, "a node that hears of the mark has to ask");
}
