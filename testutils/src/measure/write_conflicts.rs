//! A simulation of concurrent configuration changes by operators, which compares conflict detection on
//! the whole head with detection by footprint.

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
const SIMULATED_TIME: Duration = Duration::from_secs(60);
/// The duration of one call to the store.
const CALL_TIME: Duration = Duration::from_millis(5);
/// The time that an operator looks at the configuration before issuing a command.
const THINK_TIME: Duration = Duration::from_millis(1500);

#[derive(Clone, Copy, Debug, PartialEq)]
enum ConflictCheck {
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
    applied: u64,
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

fn initial_snapshot() -> Snapshot {
    let key = Digest::of(b"key").to_smolstr();
    let create = |at| Edit::Create {
        key: account(at),
        fields: vec![Assignment { field: Field::Key, value: key.clone() }],
    };
    let edits: Vec<Edit> = (0..ACCOUNTS).map(create).collect();
    prepare(&Snapshot::default(), &edits).expect("the accounts are valid").snapshot
}

fn edits(rng: &mut StdRng) -> Vec<Edit> {
    let at = rng.random_range(0..ACCOUNTS);
    let value = rng.random_range(1..1000_u32).to_smolstr();
    vec![Edit::Set { key: account(at), fields: vec![Assignment { field: Field::Rate, value }] }]
}

/// The next head. Chunks are left out, since their writes never conflict.
fn next_head(head: &Head, prepared: &Prepared, operator: usize, change: u64) -> Head {
    let operation = Operation {
        generation: prepared.snapshot.generation,
        parent: None,
        root: Digest::default(),
        change: format!("{}.c{change}", head.generation).parse().expect("a valid change id"),
        author: author(operator),
        at: 0,
        text: SmolStr::default(),
        wrote: prepared.footprint.wrote.iter().cloned().collect(),
    };
    let digest = Chunk::write(&operation).digest;
    head.advance(&operation, digest)
}

fn run(check: ConflictCheck, count: usize) -> Counts {
    let mut rng = StdRng::seed_from_u64(3);
    let mut snapshot = initial_snapshot();
    let mut head = Head { generation: snapshot.generation, ..Head::default() };
    let mut writers: Vec<Writer> = (0..count)
        .map(|_| Writer { base: head.generation, edits: Vec::new(), read: None })
        .collect();
    let mut counts = Counts::default();
    let mut queue: BinaryHeap<Reverse<(Duration, usize, Step)>> = BinaryHeap::new();
    for operator in 0..count {
        let at = THINK_TIME.mul_f64(rng.random());
        queue.push(Reverse((at, operator, Step::Look)));
    }
    while let Some(Reverse((now, operator, step))) = queue.pop() {
        if now > SIMULATED_TIME {
            break;
        }
        let writer = &mut writers[operator];
        let next = match step {
            Step::Look => {
                writer.base = head.generation;
                writer.edits = edits(&mut rng);
                (THINK_TIME, Step::Read)
            }
            Step::Read => {
                counts.calls += 1;
                let head_changed = head.generation > writer.base;
                let prepared = prepare(&snapshot, &writer.edits).expect("the edits are valid");
                let refused = match check {
                    ConflictCheck::WholeHead => head_changed,
                    ConflictCheck::Footprint => {
                        head_changed
                            && check_conflict(&prepared.footprint, writer.base, &head).is_err()
                    }
                };
                if refused {
                    counts.refused += 1;
                    (CALL_TIME, Step::Look)
                } else {
                    counts.rebased += u64::from(head_changed);
                    // The changed chunk, the root and the operation are written concurrently.
                    counts.calls += 3;
                    writer.read = Some((head.clone(), prepared));
                    (CALL_TIME * 2, Step::Update)
                }
            }
            Step::Update => {
                counts.calls += 1;
                let (read, prepared) = writer.read.take().expect("a head was read");
                if read.generation == head.generation {
                    head = next_head(&head, &prepared, operator, counts.applied);
                    snapshot = prepared.snapshot;
                    counts.applied += 1;
                    (CALL_TIME, Step::Look)
                } else {
                    (CALL_TIME, Step::Read)
                }
            }
        };
        queue.push(Reverse((now + next.0, operator, next.1)));
    }
    counts
}

/// The figures about concurrent changes.
pub fn measure() -> Vec<Figure> {
    let mut figures = Vec::new();
    for (label, check) in
        [("whole_head", ConflictCheck::WholeHead), ("footprint", ConflictCheck::Footprint)]
    {
        for count in [2, 8, 32, 64] {
            let counts = run(check, count);
            let base = format!("config.race.{count}.{label}");
            let commands = (counts.applied + counts.refused) as f64;
            let mut add = |name: &str, value| {
                figures.push(Figure::new(format!("{base}.{name}"), value));
            };
            add("changes_per_s", counts.applied as f64 / SIMULATED_TIME.as_secs_f64());
            add("refused_part", counts.refused as f64 / commands);
            add("calls_per_change", counts.calls as f64 / counts.applied as f64);
        }
    }
    figures
}
