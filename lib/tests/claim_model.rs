//! Every interleaving of two attempts at one key, with the owner's death, lost answers and late
//! claims.
//!
//! The symptom to rule out: bread is ordered twice. The sequence: a caller's first attempt is held
//! up at one node, it tries again at another, the key's owner dies in between and another node
//! owns new keys. The cause: two owners that each grant the key once.

use std::collections::HashSet;
use std::sync::Arc;

use sardinepick_lib::claim::{Claim, Claimant, Outcome, Register, Verdict};
use sardinepick_lib::id::{Attempt, Incarnation, Name, Version};
use sardinepick_lib::owner::{Member, Table};

const KEY: &str = "hotel/ontbijtbord/order-7";

fn member(at: usize, incarnation: u64) -> Member {
    let name: Name = format!("entry-{at}").parse().expect("a right name");
    let address = format!("127.0.0.{}:9000", at + 1).parse().expect("a right address");
    Member { name, incarnation: Incarnation(incarnation), address }
}

/// One step of a history.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Step {
    /// The attempt claims the key at the owner that its table gives.
    Claim(usize),
    /// The attempt claims once more, as after a lost answer.
    Again(usize),
    /// The attempt sends, if it was granted.
    Send(usize),
    /// The attempt gives the key back unsent, if it was granted and has not sent.
    Release(usize),
    /// The attempt's end is told to the owner.
    End(usize),
    /// The owner dies and comes back without its records; a new table names its new life.
    Restart,
}

const STEPS: [Step; 11] = [
    Step::Claim(0),
    Step::Claim(1),
    Step::Again(0),
    Step::Again(1),
    Step::Send(0),
    Step::Send(1),
    Step::Release(0),
    Step::Release(1),
    Step::End(0),
    Step::End(1),
    Step::Restart,
];

#[derive(Clone, Copy, Default)]
struct Try {
    claimed: bool,
    granted: bool,
    sent: bool,
    over: bool,
}

struct World {
    table: Table,
    owner: Register,
    tries: [Try; 2],
    effects: u32,
    births: [Version; 2],
}

fn claim(at: usize, birth: Version) -> Claim {
    let claimant = Claimant {
        name: format!("entry-{}", at + 5).parse().expect("a right name"),
        incarnation: Incarnation(1),
        serial: 1,
    };
    Claim { key: KEY.into(), attempt: Attempt(at as u64 + 1), birth, request: 1, claimant }
}

/// Runs one history. `honest` callers send the first attempt's birth with every attempt; those that
/// are not show that the birth is what carries the promise.
fn run(history: &[Step], honest: bool) -> u32 {
    let table = Table::default().with_next_version(vec![member(0, 1)]);
    let mut owner = Register::new(member(0, 1));
    owner.set_table(&table);
    let birth = table.newest();
    let mut world =
        World { table, owner, tries: [Try::default(); 2], effects: 0, births: [birth; 2] };
    for step in history {
        world.take(*step, honest);
    }
    world.effects
}

impl World {
    fn take(&mut self, step: Step, honest: bool) {
        match step {
            Step::Claim(at) | Step::Again(at) => {
                let again = matches!(step, Step::Again(_));
                let one = self.tries[at];
                if one.sent || one.over || one.claimed != again {
                    return;
                }
                let granted = self.owner.claim(&claim(at, self.births[at])) == Verdict::Run;
                self.tries[at] = Try { claimed: true, granted: one.granted || granted, ..one };
            }
            Step::Send(at)
                if self.tries[at].granted && !self.tries[at].over && !self.tries[at].sent =>
            {
                self.tries[at].sent = true;
                self.effects += 1;
            }
            Step::Release(at) if self.tries[at].granted && !self.tries[at].sent => {
                self.tries[at].over = true;
                let claim = claim(at, self.births[at]);
                self.owner.release(KEY, claim.birth, &claim.claimant);
            }
            Step::End(at) if self.tries[at].sent => {
                self.tries[at].over = true;
                let claim = claim(at, self.births[at]);
                self.owner.end(KEY, claim.birth, &claim.claimant, Outcome::Unknown);
            }
            Step::Restart => {
                self.table =
                    self.table.with_next_version(vec![member(0, self.table.newest().0 + 1)]);
                let life = self.table.newest().0;
                self.owner = Register::new(member(0, life));
                self.owner.set_table(&self.table);
                if !honest && !self.tries[1].claimed {
                    self.births[1] = self.table.newest();
                }
            }
            _ => {}
        }
    }
}

/// All histories of up to `length` steps.
fn explore(length: usize, honest: bool) -> (u64, u32) {
    let mut layer: HashSet<Vec<Step>> = HashSet::from([Vec::new()]);
    let (mut histories, mut most) = (0, 0);
    for _ in 0..length {
        let mut next = HashSet::new();
        for history in &layer {
            for step in STEPS {
                let mut longer = history.clone();
                longer.push(step);
                histories += 1;
                most = most.max(run(&longer, honest));
                next.insert(longer);
            }
        }
        layer = next;
    }
    (histories, most)
}

#[test]
fn claim_every_history_at_most_once() {
    let (histories, most) = explore(6, true);
    println!("{histories} histories, at most {most} effect");
    assert_eq!(most, 1);
}

#[test]
fn claim_without_birth_caught() {
    let (_, most) = explore(5, false);
    assert_eq!(most, 2, "a repeat under a new birth must be seen to run twice");
}

#[test]
fn register_answers_repeat_with_outcome() {
    let table = Arc::new(Table::default().with_next_version(vec![member(0, 1)]));
    let mut owner = Register::new(member(0, 1));
    owner.set_table(&table);
    let first = claim(0, table.newest());
    assert_eq!(owner.claim(&first), Verdict::Run);
    assert_eq!(owner.claim(&claim(1, table.newest())), Verdict::InProgress);
    owner.end(KEY, first.birth, &first.claimant, Outcome::NotKept);
    assert_eq!(owner.claim(&claim(1, table.newest())), Verdict::Ended(Outcome::NotKept));
    let other = Claim { request: 2, ..claim(1, table.newest()) };
    assert_eq!(owner.claim(&other), Verdict::OtherRequest);
}
