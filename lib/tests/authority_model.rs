//! Explores every interleaving of two lease holders, an engine and the store up to a fixed depth.
//!
//! It guards against an engine executing an order of a holder that has lost its authority after one
//! of its successor. This happens if a holder is paused with an order ready to send, its lease
//! expires, a successor sends another order, and the first holder resumes: authority is checked too
//! early, or passes on while an engine that ignores fencing tokens can still be reached by the old
//! holder.

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

use sardinepick_lib::config::object::{Fencing, Role};
use sardinepick_lib::history::Point;
use sardinepick_lib::id::{Epoch, Incarnation};
use sardinepick_lib::lease::{self, Holder, Lease, Term, Written};
use sardinepick_lib::order::{self, Answer, EngineStatus, Id, Intent, Order, OrderSender};

const TERM: Term = Term { ttl: Duration::from_secs(4), margin: Duration::from_secs(1) };
const TICK: Duration = Duration::from_secs(3);
const TICKS: u8 = 4;

/// A request to the store or the engine that has not been answered.
#[derive(Clone, Debug, Hash, PartialEq, Eq)]
enum Call {
    Lease(lease::Action),
    Order(order::Action),
}

#[derive(Clone, Debug, Hash)]
struct Node {
    lease: Lease,
    orders: OrderSender,
    call: Option<Call>,
    wanted: bool,
}

#[derive(Clone, Debug, Hash)]
struct World {
    now: Instant,
    ticks: u8,
    lease: Option<(u64, lease::Record)>,
    intent: Option<(u64, Intent)>,
    revision: u64,
    engine: EngineStatus,
    fencing: Fencing,
    /// Orders that have been sent and have not reached the engine.
    in_flight: Vec<(usize, Order)>,
    nodes: Vec<Node>,
    lost: u8,
    late: u8,
    /// The highest fencing token of an executed order.
    highest_executed: Epoch,
    violated: bool,
}

/// A variant of the code under test.
#[derive(Clone, Copy, PartialEq)]
enum Variant {
    /// The unmodified code.
    Correct,
    /// Deliberately broken: authority is not checked again before an order is sent, and engines
    /// that ignore fencing tokens get orders while an earlier holder may still be running.
    Broken,
}

fn holder(at: usize) -> Holder {
    let name = format!("entry-{at}").parse().expect("a valid name");
    Holder { name, incarnation: Incarnation(1) }
}

fn initial_world(fencing: Fencing) -> World {
    let node = |at| Node {
        lease: Lease::new(holder(at)),
        orders: OrderSender::new(fencing),
        call: None,
        wanted: false,
    };
    World {
        now: Instant::now(),
        ticks: 0,
        lease: None,
        intent: None,
        revision: 0,
        engine: EngineStatus { role: Role::Mixed, changing: false, last: None, fence: Epoch(0) },
        fencing,
        in_flight: Vec::new(),
        nodes: vec![node(0), node(1)],
        lost: 0,
        late: 0,
        highest_executed: Epoch(0),
        violated: false,
    }
}

impl World {
    /// All states that can follow.
    fn successors(&self, variant: Variant) -> Vec<World> {
        let mut next = Vec::new();
        if self.ticks < TICKS {
            let mut world = self.clone();
            world.now += TICK;
            world.ticks += 1;
            next.push(world);
        }
        for at in 0..self.nodes.len() {
            match &self.nodes[at].call {
                // A node that does not act next is a paused one, so pauses are covered.
                None => next.extend(self.poll(at, variant)),
                Some(call) => next.extend(self.answer(at, call, variant)),
            }
        }
        for in_flight in 0..self.in_flight.len() {
            next.push(self.deliver(in_flight));
        }
        next
    }

    fn poll(&self, at: usize, variant: Variant) -> Option<World> {
        let mut world = self.clone();
        let now = world.now;
        let node = &mut world.nodes[at];
        if let Some(action) = node.lease.poll(now, TERM, true, |_| false) {
            node.call = Some(Call::Lease(action));
            return Some(world);
        }
        let authority = node.lease.authority(now);
        if authority.is_some() && !node.wanted {
            let role = if at == 0 { Role::Prefill } else { Role::Decode };
            node.wanted = node.orders.request(Id(format!("order-{at}").into()), role);
        }
        let doubtful = variant == Variant::Correct && node.lease.is_doubtful();
        let action = node.orders.poll(now, authority, doubtful)?;
        node.call = Some(Call::Order(action));
        Some(world)
    }

    fn answer(&self, at: usize, call: &Call, variant: Variant) -> Vec<World> {
        let mut world = self.clone();
        world.nodes[at].call = None;
        match call {
            Call::Lease(lease::Action::Read) => {
                let found = world.lease.clone().map(|(r, record)| (Point::without_era(r), record));
                let now = world.now;
                world.nodes[at].lease.on_read(now, TERM, found);
                vec![world]
            }
            Call::Lease(lease::Action::Write { expected, record }) => {
                world.write_lease(at, *expected, record)
            }
            Call::Order(order::Action::Read) => {
                let found = world.intent.clone().map(|(r, intent)| (Point::without_era(r), intent));
                world.nodes[at].orders.on_read(found);
                vec![world]
            }
            Call::Order(order::Action::Write { expected, intent }) => {
                world.write_intent(at, *expected, intent)
            }
            Call::Order(order::Action::Query) => {
                let condition = world.engine.clone();
                let action = world.nodes[at].orders.on_status(&condition);
                world.nodes[at].call = action.map(Call::Order);
                vec![world]
            }
            Call::Order(order::Action::Send(order)) => world.send(at, order, variant),
        }
    }

    fn write_lease(
        mut self,
        at: usize,
        expected: Option<Point>,
        record: &lease::Record,
    ) -> Vec<World> {
        let now = self.now;
        if self.lease.as_ref().map(|(r, _)| Point::without_era(*r)) != expected {
            self.nodes[at].lease.on_written(now, TERM, Written::Conflict);
            return vec![self];
        }
        self.revision += 1;
        self.lease = Some((self.revision, record.clone()));
        let mut lost = self.clone();
        let done = Written::Done(Point::without_era(self.revision));
        self.nodes[at].lease.on_written(now, TERM, done);
        let mut worlds = vec![self];
        if lost.lost == 0 {
            lost.lost += 1;
            lost.nodes[at].lease.on_written(now, TERM, Written::Lost);
            if lost.nodes[at].lease.take_settling_read() {
                lost.nodes[at].call = Some(Call::Lease(lease::Action::Read));
            }
            worlds.push(lost);
        }
        worlds
    }

    fn write_intent(mut self, at: usize, expected: Option<Point>, intent: &Intent) -> Vec<World> {
        if self.intent.as_ref().map(|(r, _)| Point::without_era(*r)) != expected {
            self.nodes[at].orders.on_written(None);
            return vec![self];
        }
        self.revision += 1;
        self.intent = Some((self.revision, intent.clone()));
        let mut lost = self.clone();
        self.nodes[at].orders.on_written(Some(Point::without_era(self.revision)));
        let mut worlds = vec![self];
        if lost.lost == 0 {
            lost.lost += 1;
            lost.nodes[at].orders.on_written(None);
            worlds.push(lost);
        }
        worlds
    }

    /// Sends the order: it either reaches the engine at once, or is delayed and its answer is lost.
    fn send(mut self, at: usize, order: &Order, variant: Variant) -> Vec<World> {
        let is_authorized = self.nodes[at].lease.authority(self.now) == Some(order.epoch);
        if variant == Variant::Correct && !is_authorized {
            self.nodes[at].orders.on_answer(Answer::Lost);
            return vec![self];
        }
        let mut late = self.clone();
        let answer = self.execute(order);
        let action = self.nodes[at].orders.on_answer(answer);
        self.nodes[at].call = action.map(Call::Order);
        let mut worlds = vec![self];
        // An order in flight when its sender loses the lease can only be stopped by a fencing
        // token. For engines that ignore them, the code waits for proof that the sender has ended,
        // so delayed orders are only simulated for engines that check.
        if late.late == 0 && late.fencing == Fencing::Checked {
            late.late += 1;
            late.in_flight.push((at, order.clone()));
            late.nodes[at].orders.on_answer(Answer::Lost);
            worlds.push(late);
        }
        worlds
    }

    fn deliver(&self, in_flight: usize) -> World {
        let mut world = self.clone();
        let (_, order) = world.in_flight.remove(in_flight);
        world.execute(&order);
        world
    }

    /// The engine executes an order or rejects its fencing token.
    fn execute(&mut self, order: &Order) -> Answer {
        let stale = order.epoch < self.engine.fence;
        if stale && self.fencing == Fencing::Checked {
            return Answer::Fenced;
        }
        if self.engine.last.as_ref() != Some(&order.id) {
            // The invariant: after an order of one holder, no order of an earlier holder is
            // executed.
            self.violated |= order.epoch < self.highest_executed;
            self.engine.last = Some(order.id.clone());
            self.engine.role = order.role;
        }
        self.engine.fence = self.engine.fence.max(order.epoch);
        self.highest_executed = self.highest_executed.max(order.epoch);
        Answer::Accepted
    }

    fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }
}

/// Explores breadth first. Returns the number of states, whether the invariant was violated, and
/// the highest executed fencing token, which shows whether a second holder sent orders at all.
fn explore(fencing: Fencing, variant: Variant, depth: usize) -> (usize, bool, u64) {
    let mut seen = HashSet::new();
    let mut world = initial_world(fencing);
    // The broken variant fails without lost answers; leaving them out keeps the search short.
    world.lost = u8::from(variant == Variant::Broken);
    let mut frontier = vec![world];
    let mut violated = false;
    let mut highest = 0;
    for _ in 0..depth {
        let mut next = Vec::new();
        for world in &frontier {
            for successor in world.successors(variant) {
                if seen.insert(successor.digest()) {
                    violated |= successor.violated;
                    highest = highest.max(successor.highest_executed.0);
                    next.push(successor);
                }
            }
        }
        frontier = next;
        if violated {
            break;
        }
    }
    (seen.len(), violated, highest)
}

const DEPTH: usize = 34;
const BROKEN_DEPTH: usize = 44;

#[test]
fn authority_with_fencing_engine() {
    let (states, violated, highest) = explore(Fencing::Checked, Variant::Correct, DEPTH);
    println!("fencing engine: {states} states to depth {DEPTH}, highest executed token {highest}");
    assert!(!violated);
    assert!(highest >= 2, "no order of a second holder was executed, so the test shows nothing");
}

#[test]
fn authority_with_non_fencing_engine() {
    let (states, violated, highest) = explore(Fencing::Ignored, Variant::Correct, DEPTH);
    println!(
        "engine without fencing: {states} states to depth {DEPTH}, highest executed token {highest}"
    );
    assert!(!violated);
    assert_eq!(
        highest, 1,
        "no other node may send orders before the first holder is known to have ended"
    );
}

#[test]
fn authority_detects_broken_variant() {
    let (states, violated, _) = explore(Fencing::Ignored, Variant::Broken, BROKEN_DEPTH);
    println!("broken variant: {states} states");
    assert!(violated, "the deliberately broken variant was not detected");
}
