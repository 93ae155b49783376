//! Seeded crowds of bodies against the ledger of held bytes: what they hold is bounded, they do not
//! wait for each other without end, and small requests find space beside them.

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use sardinepick_lib::fleet::holding::ledger::{Number, body_wait};
use sardinepick_lib::fleet::holding::{
    Bounds, Connection, Growth, Holder, Ledger, Owner, Purpose, Rate, Resources, Size,
};

const TICK: Duration = Duration::from_millis(20);
const RUN: Duration = Duration::from_secs(20);
/// The deadline of each request.
const DEADLINE: Duration = Duration::from_secs(10);
/// The wait of an ordinary request for space, which is a third of its deadline of three seconds.
const ORDINARY_WAIT: Duration = Duration::from_secs(1);
const ORDINARY_SIZE: Size = Size(20 << 10);
const MAX_BODY: u64 = 4 << 20;
const STEP: u64 = 64 << 10;
/// The memory of VMs, in megabytes.
const MEMORY: [f64; 5] = [64.0, 120.0, 160.0, 260.0, 512.0];

/// How a sender behaves.
#[derive(Clone, Copy, PartialEq)]
enum Sender {
    /// It sends to the end, at this many bytes in a tick.
    Moves(u64),
    /// It stops when this much has been sent.
    Stops(u64),
    /// It leaves when this much has been sent.
    Leaves(u64),
}

#[derive(Clone, Copy, PartialEq)]
enum State {
    Waits,
    Reads,
    Runs(Instant),
}

struct Body {
    number: Number,
    sender: Sender,
    /// The length that it announces.
    length: Option<u64>,
    size: u64,
    sent: u64,
    reserved: u64,
    paused: Duration,
    arrived: Instant,
    state: State,
}

#[derive(Default)]
struct Counts {
    read: usize,
    refused: usize,
    shed: usize,
}

struct Crowd {
    ledger: Ledger,
    rng: StdRng,
    now: Instant,
    bodies: Vec<Body>,
    counts: Counts,
    connections: u64,
}

impl Crowd {
    fn new(memory_mb: f64, seed: u64) -> Self {
        let (memory, link) = (Size::of_megabytes(memory_mb), Rate::of_megabits(100.0));
        let bounds = Bounds::of(Resources { memory, descriptors: 4_100, link });
        Self {
            ledger: Ledger::new(bounds),
            rng: StdRng::seed_from_u64(seed),
            now: Instant::now(),
            bodies: Vec::new(),
            counts: Counts::default(),
            connections: 0,
        }
    }

    fn begin(&mut self) -> Number {
        self.connections += 1;
        let connection = Connection(self.connections);
        let owner = Owner::Caller([10, 0, 0, 1].into());
        let holder = Holder { owner, connection, purpose: Purpose::Body, class: 4 };
        self.ledger.begin(holder, self.now)
    }

    fn arrive(&mut self, sender: Sender, is_chunked: bool, size: u64) {
        if self.ledger.admit(self.now).is_err() {
            self.counts.refused += 1;
            return;
        }
        let number = self.begin();
        if is_chunked {
            self.ledger.expect_growth(number);
        }
        self.bodies.push(Body {
            number,
            sender,
            length: (!is_chunked).then_some(size),
            size,
            sent: 0,
            reserved: 0,
            paused: Duration::ZERO,
            arrived: self.now,
            state: State::Waits,
        });
    }

    /// Advances a body by a tick; false if it has ended.
    fn advance(&mut self, body: &mut Body) -> bool {
        let (number, now) = (body.number, self.now);
        if now - body.arrived >= DEADLINE {
            return false;
        }
        match body.state {
            State::Waits => {
                let size = Size(body.length.unwrap_or(STEP));
                if let Err(full) = self.ledger.begin_body(number, size, now) {
                    let shed = self.ledger.shed_for_body(number, size, now);
                    self.shed(&shed);
                    let ends = now - body.arrived + full.after > body_wait(DEADLINE);
                    self.counts.refused += usize::from(ends);
                    return !ends;
                }
                (body.reserved, body.state) = (size.0, State::Reads);
                true
            }
            State::Reads => {
                if self.ledger.is_shed(number) {
                    self.counts.shed += 1;
                    return false;
                }
                self.read(body)
            }
            State::Runs(since) => now - since < Duration::from_millis(200),
        }
    }

    fn read(&mut self, body: &mut Body) -> bool {
        let (step, limit) = match body.sender {
            Sender::Moves(step) => (step, body.size),
            Sender::Stops(limit) | Sender::Leaves(limit) => (STEP, limit.min(body.size - 1)),
        };
        let next = (body.sent + step).min(limit);
        if next > body.reserved {
            match self.ledger.grow(body.number, Size(STEP), body.paused, self.now) {
                Growth::Held => {
                    body.reserved += STEP;
                    body.paused = Duration::ZERO;
                }
                Growth::Pause { shed, .. } if shed.is_empty() => body.paused += TICK,
                Growth::Pause { shed, .. } => {
                    self.shed(&shed);
                    return self.read(body);
                }
                Growth::Shed(_) => {
                    self.counts.shed += 1;
                    return false;
                }
            }
            return true;
        }
        if next > body.sent {
            self.ledger.note_received(body.number, Size(next - body.sent), self.now);
        }
        body.sent = next;
        if body.sent == body.size {
            self.ledger.note_body_read(body.number);
            self.counts.read += 1;
            body.state = State::Runs(self.now);
        }
        !matches!(body.sender, Sender::Leaves(_) if body.sent == limit)
    }

    fn shed(&mut self, numbers: &[Number]) {
        for number in numbers {
            self.ledger.clear(*number, self.now);
        }
    }

    fn tick(&mut self) {
        let mut bodies = std::mem::take(&mut self.bodies);
        bodies.retain_mut(|body| {
            let goes_on = self.advance(body);
            if !goes_on {
                self.ledger.end(body.number, self.now);
            }
            goes_on
        });
        self.bodies = bodies;
        let (total, bound) = (self.ledger.total(), self.ledger.bounds().total);
        assert!(total <= bound, "{total} of {bound} bytes held");
        self.now += TICK;
    }

    /// Whether an ordinary request finds space now; it holds none afterwards.
    fn serves(&mut self, number: Number) -> bool {
        let began = self.ledger.begin_body(number, ORDINARY_SIZE, self.now);
        if began.is_err() {
            let shed = self.ledger.shed_for_body(number, ORDINARY_SIZE, self.now);
            self.shed(&shed);
        }
        began.is_ok()
    }
}

/// Guards against crowds that hold more than the bound, keep what they hold after they have gone, or
/// leave no space for a small request of the same owner.
#[test]
fn crowd_of_any_senders_bounded_and_small_served() {
    for memory in MEMORY {
        for seed in 0..12 {
            let mut crowd = Crowd::new(memory, seed);
            let end = crowd.now + RUN;
            let mut ordinary: Option<(Number, Instant)> = None;
            while crowd.now < end {
                for _ in 0..crowd.rng.random_range(0..4) {
                    let limit = crowd.rng.random_range(0..=MAX_BODY);
                    let sender = match crowd.rng.random_range(0..4) {
                        0 => Sender::Moves(STEP),
                        1 => Sender::Leaves(limit),
                        _ => Sender::Stops(limit),
                    };
                    let is_chunked = crowd.rng.random();
                    let size = crowd.rng.random_range(1..=MAX_BODY);
                    crowd.arrive(sender, is_chunked, size);
                }
                crowd.tick();
                let (number, since) = match ordinary {
                    Some(waiting) => waiting,
                    None => (crowd.begin(), crowd.now),
                };
                let waited = crowd.now - since;
                assert!(waited <= ORDINARY_WAIT, "{memory} MB, seed {seed}: {waited:?}");
                if crowd.serves(number) {
                    crowd.ledger.end(number, crowd.now);
                    ordinary = None;
                } else {
                    ordinary = Some((number, since));
                }
            }
            if let Some((number, _)) = ordinary {
                crowd.ledger.end(number, crowd.now);
            }
            assert!(crowd.counts.shed > 0 || memory > 260.0, "{memory} MB, seed {seed}");
            let until = crowd.now + DEADLINE + TICK;
            while crowd.now < until {
                crowd.tick();
            }
            assert_eq!(crowd.bodies.len(), 0, "{memory} MB, seed {seed}");
            assert_eq!(crowd.ledger.total(), Size::ZERO, "{memory} MB, seed {seed}");
            assert_eq!(crowd.ledger.waiting(), 0, "{memory} MB, seed {seed}");
        }
    }
}

/// Guards against bodies of unknown length that each hold a part of the space and wait for the rest
/// until all have reached their deadlines.
#[test]
fn crowd_of_moving_chunked_bodies_goes_on() {
    for memory in MEMORY {
        for seed in 0..12 {
            let mut crowd = Crowd::new(memory, seed);
            let end = crowd.now + RUN;
            let (mut read, mut since) = (0, crowd.now);
            while crowd.now < end {
                for _ in 0..crowd.rng.random_range(0..16) {
                    crowd.arrive(Sender::Moves(STEP / 4), true, MAX_BODY);
                }
                crowd.tick();
                if crowd.counts.read > read {
                    (read, since) = (crowd.counts.read, crowd.now);
                }
                let without = crowd.now - since;
                assert!(without < DEADLINE, "{memory} MB, seed {seed}: {without:?}");
            }
            assert!(crowd.counts.refused + crowd.counts.shed > 0 || memory > 260.0);
        }
    }
}
