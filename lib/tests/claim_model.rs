//! Explores every interleaving of two attempts with one key, including restarts of the key's owner,
//! lost answers and repeated claims.
//!
//! It guards against a request that runs twice: the first attempt is delayed at one node, the
//! client retries at another, and the key's owner is replaced in between, so that two owners each
//! grant the key once.

use std::collections::HashSet;
use std::sync::Arc;

use sardinepick_lib::claim::{Claim, Claimant, Outcome, Register, Verdict};
use sardinepick_lib::id::{Attempt, Incarnation, Name, Version};
use sardinepick_lib::owner::{Member, Table};

const KEY: &str = "hotel/ontbijtbord/order-7";

fn member(at: usize, incarnation: u64) -> Member {
    let name: Name = format!("entry-{at}").parse().expect("a valid name");
    let address = format!("127.0.0.{}:9000", at + 1).parse().expect("a valid address");
    Member { name, incarnation: Incarnation(incarnation), address }
}

/// A step of a history.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Step {
    /// The attempt claims the key at the owner in its table.
    Claim(usize),
    /// The attempt repeats its claim, as after a lost answer.
    Repeat(usize),
    /// The attempt is sent, if its claim was granted.
    Send(usize),
    /// The attempt releases the key, if it was granted and has not been sent.
    Release(usize),
    /// The outcome of the attempt is reported to the owner.
    End(usize),
    /// The owner restarts without its records, and a new table contains its new incarnation.
    Restart,
}

const STEPS: [Step; 11] = [
    Step::Claim(0),
    Step::Claim(1),
    Step::Repeat(0),
    Step::Repeat(1),
    Step::Send(0),
    Step::Send(1),
    Step::Release(0),
    Step::Release(1),
    Step::End(0),
    Step::End(1),
    Step::Restart,
];

#[derive(Clone, Copy, Default)]
struct AttemptState {
    claimed: bool,
    granted: bool,
    sent: bool,
    is_over: bool,
}

struct World {
    table: Table,
    owner: Register,
    attempts: [AttemptState; 2],
    effects: u32,
    births: [Version; 2],
}

fn claim(at: usize, birth: Version) -> Claim {
    let claimant = Claimant {
        name: format!("entry-{}", at + 5).parse().expect("a valid name"),
        incarnation: Incarnation(1),
        serial: 1,
    };
    Claim { key: KEY.into(), attempt: Attempt(at as u64 + 1), birth, request: 1, claimant }
}

/// Runs a history and returns the number of executions. Honest clients send the birth version of
/// the first attempt with every attempt. The others show that the guarantee depends on this.
fn run(history: &[Step], honest: bool) -> u32 {
    let table = Table::default().with_next_version(vec![member(0, 1)]);
    let mut owner = Register::new(member(0, 1));
    owner.set_table(&table);
    let birth = table.newest();
    let mut world = World {
        table,
        owner,
        attempts: [AttemptState::default(); 2],
        effects: 0,
        births: [birth; 2],
    };
    for step in history {
        world.apply(*step, honest);
    }
    world.effects
}

impl World {
    fn apply(&mut self, step: Step, honest: bool) {
        match step {
            Step::Claim(at) | Step::Repeat(at) => {
                let is_repeat = matches!(step, Step::Repeat(_));
                let current = self.attempts[at];
                if current.sent || current.is_over || current.claimed != is_repeat {
                    return;
                }
                let granted = self.owner.claim(&claim(at, self.births[at])) == Verdict::Run;
                self.attempts[at] =
                    AttemptState { claimed: true, granted: current.granted || granted, ..current };
            }
            Step::Send(at)
                if self.attempts[at].granted
                    && !self.attempts[at].is_over
                    && !self.attempts[at].sent =>
            {
                self.attempts[at].sent = true;
                self.effects += 1;
            }
            Step::Release(at) if self.attempts[at].granted && !self.attempts[at].sent => {
                self.attempts[at].is_over = true;
                let claim = claim(at, self.births[at]);
                self.owner.release(KEY, claim.birth, &claim.claimant);
            }
            Step::End(at) if self.attempts[at].sent => {
                self.attempts[at].is_over = true;
                let claim = claim(at, self.births[at]);
                self.owner.end(KEY, claim.birth, &claim.claimant, Outcome::Unknown);
            }
            Step::Restart => {
                self.table =
                    self.table.with_next_version(vec![member(0, self.table.newest().0 + 1)]);
                let life = self.table.newest().0;
                self.owner = Register::new(member(0, life));
                self.owner.set_table(&self.table);
                if !honest && !self.attempts[1].claimed {
                    self.births[1] = self.table.newest();
                }
            }
            _ => {}
        }
    }
}

/// Explores all histories of up to `length` steps. Returns their number and the maximum number of
/// executions in one.
fn explore(length: usize, honest: bool) -> (u64, u32) {
    let mut frontier: HashSet<Vec<Step>> = HashSet::from([Vec::new()]);
    let (mut histories, mut max_effects) = (0, 0);
    for _ in 0..length {
        let mut next = HashSet::new();
        for history in &frontier {
            for step in STEPS {
                let mut longer = history.clone();
                longer.push(step);
                histories += 1;
                max_effects = max_effects.max(run(&longer, honest));
                next.insert(longer);
            }
        }
        frontier = next;
    }
    (histories, max_effects)
}

#[test]
fn claim_every_history_at_most_once() {
    let (histories, max_effects) = explore(6, true);
    println!("{histories} histories, at most {max_effects} executions");
    assert_eq!(max_effects, 1);
}

#[test]
fn claim_under_new_birth_version_runs_twice() {
    let (_, max_effects) = explore(5, false);
    assert_eq!(max_effects, 2, "a repeat under a new birth version was not seen to run twice");
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
