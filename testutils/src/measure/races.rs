//! Operators who race one another: whole-head compare against conflicts by footprint.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use sardinepick_lib::config::change::{Edit, Prepared, check_conflict, prepare};
use sardinepick_lib::config::chunk::Chunk;
use sardinepick_lib::config::head::{Head, Operation};
use sardinepick_lib::config::record::{Assignment, Field, Key, Kind};
use sardinepick_lib::config::snapshot::Snapshot;
use sardinepick_lib::hash::Digest;
use sardinepick_lib::id::{Generation, Name};
use smol_str::{SmolStr, ToSmolStr};

use super::figure::Figure;

const ACCOUNTS: usize = 200;
const SPAN: Duration = Duration::from_secs(60);
/// How long one call to the store takes.
const CALL: Duration = Duration::from_millis(5);
/// How long an operator looks before it commands.
const LOOK: Duration = Duration::from_millis(1500);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    WholeHead,
    Footprint,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Step {
    Look,
    Read,
    Update,
}

struct Writer {
    base: Generation,
    edits: Vec<Edit>,
    read: Option<(Head, Prepared)>,
}

#[derive(Default)]
struct Counts {
    landed: u64,
    refused: u64,
    calls: u64,
    rebased: u64,
}

fn account(at: usize) -> Key {
    let name = format!("account-{at}").parse().expect("letters and digits make a name");
    Key { kind: Kind::Account, name }
}

fn author(at: usize) -> Name {
    format!("operator-{at}").parse().expect("letters and digits make a name")
}

fn first() -> Snapshot {
    let key = Digest::of(b"key").to_smolstr();
    let create = |at| Edit::Create {
        key: account(at),
        fields: vec![Assignment { field: Field::Key, value: key.clone() }],
    };
    let edits: Vec<Edit> = (0..ACCOUNTS).map(create).collect();
    prepare(&Snapshot::default(), &edits).expect("the accounts are right").snapshot
}

fn edits(rng: &mut StdRng) -> Vec<Edit> {
    let at = rng.random_range(0..ACCOUNTS);
    let value = rng.random_range(1..1000_u32).to_smolstr();
    vec![Edit::Set { key: account(at), fields: vec![Assignment { field: Field::Rate, value }] }]
}

/// The head that follows, without the chunks: they are written beside and never conflict.
fn follow(head: &Head, prepared: &Prepared, who: usize, change: u64) -> Head {
    let operation = Operation {
        generation: prepared.snapshot.generation,
        parent: None,
        root: Digest::default(),
        change: format!("{}.c{change}", head.generation).parse().expect("a right change id"),
        author: author(who),
        at: 0,
        text: SmolStr::default(),
        wrote: prepared.footprint.wrote.iter().cloned().collect(),
    };
    let digest = Chunk::write(&operation).digest;
    head.advance(&operation, digest)
}

fn run(way: Way, count: usize) -> Counts {
    let mut rng = StdRng::seed_from_u64(3);
    let mut snapshot = first();
    let mut head = Head { generation: snapshot.generation, ..Head::default() };
    let mut writers: Vec<Writer> = (0..count)
        .map(|_| Writer { base: head.generation, edits: Vec::new(), read: None })
        .collect();
    let mut counts = Counts::default();
    let mut queue: BinaryHeap<Reverse<(Duration, usize, Step)>> = BinaryHeap::new();
    for who in 0..count {
        let at = LOOK.mul_f64(rng.random());
        queue.push(Reverse((at, who, Step::Look)));
    }
    while let Some(Reverse((now, who, step))) = queue.pop() {
        if now > SPAN {
            break;
        }
        let writer = &mut writers[who];
        let next = match step {
            Step::Look => {
                writer.base = head.generation;
                writer.edits = edits(&mut rng);
                (LOOK, Step::Read)
            }
            Step::Read => {
                counts.calls += 1;
                let moved = head.generation > writer.base;
                let prepared = prepare(&snapshot, &writer.edits).expect("the edits are right");
                let refused = match way {
                    Way::WholeHead => moved,
                    Way::Footprint => {
                        moved && check_conflict(&prepared.footprint, writer.base, &head).is_err()
                    }
                };
                if refused {
                    counts.refused += 1;
                    (CALL, Step::Look)
                } else {
                    counts.rebased += u64::from(moved);
                    // The changed chunk, the root and the operation are written at once.
                    counts.calls += 3;
                    writer.read = Some((head.clone(), prepared));
                    (CALL * 2, Step::Update)
                }
            }
            Step::Update => {
                counts.calls += 1;
                let (read, prepared) = writer.read.take().expect("a head was read");
                if read.generation == head.generation {
                    head = follow(&head, &prepared, who, counts.landed);
                    snapshot = prepared.snapshot;
                    counts.landed += 1;
                    (CALL, Step::Look)
                } else {
                    (CALL, Step::Read)
                }
            }
        };
        queue.push(Reverse((now + next.0, who, next.1)));
    }
    counts
}

/// The figures.
pub fn measure() -> Vec<Figure> {
    let mut figures = Vec::new();
    for (label, way) in [("whole_head", Way::WholeHead), ("footprint", Way::Footprint)] {
        for count in [2, 8, 32, 64] {
            let counts = run(way, count);
            let base = format!("config.race.{count}.{label}");
            let commands = (counts.landed + counts.refused) as f64;
            let mut add = |name: &str, value| {
                figures.push(Figure::new(format!("{base}.{name}"), value));
            };
            add("changes_per_s", counts.landed as f64 / SPAN.as_secs_f64());
            add("refused_part", counts.refused as f64 / commands);
            add("calls_per_change", counts.calls as f64 / counts.landed as f64);
        }
    }
    figures
}
