//! The held bytes of a node, and the decisions that depend on them.

mod shed;

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use strum::{Display, EnumCount as _, IntoStaticStr};

use self::shed::{Lack, Victims};
use super::bounds::Bounds;
use super::holder::{Connection, Holder, Owner, Purpose};
use super::level;
use super::meter::Meter;
use super::unit::{Rate, Size};

/// The number of a holding.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Number(u64);

/// Why bytes cannot be held now.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// The node holds as much as it may.
    Memory,
    /// The owner holds as much as it may while others need space.
    Owner,
    /// More waits for the link than it carries in time.
    Link,
    /// Too many bodies wait already.
    Waiting,
}

/// New work is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Full {
    /// Why.
    pub cause: Cause,
    /// When there will be space, as far as the recent rate of release tells.
    pub after: Duration,
}

/// Whether a holding may grow.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Growth {
    /// It has grown.
    Held,
    /// Reading pauses for at most this long. The holdings to be shed, if any, make space.
    Pause {
        /// The time until the decision is final.
        wait: Duration,
        /// What is shed.
        shed: Vec<Number>,
    },
    /// There is no space for it, and it has paused for as long as it may.
    Shed(Cause),
}

/// The size of a new request that counts as small: a body of some kilobytes with the buffers of its
/// stream. It is not bounded by its owner's part, so that an owner of large bodies is still served.
const SMALL_BODY: Size = Size(112 << 10);
/// What a body must receive to count as moving.
pub const MIN_PROGRESS: Size = Size(1 << 10);
/// The held bytes of a stream that counts as small: more than a reader that keeps up leaves unread
/// between two events.
const SMALL_STREAM: Size = Size(32 << 10);
/// How much of the free space an owner may hold (dynamic thresholds). A single owner may hold two
/// thirds of all, two hold two fifths each, and many leave little free. No owner needs to be known
/// beforehand, and space that nobody else asks for is used.
const OWNER_FACTOR: f64 = 2.0;
/// How long reading of a runner's response pauses at most. Runners cut off a response that has
/// remained unread for some seconds, two at the least.
pub const MAX_PAUSE: Duration = Duration::from_millis(1_500);
/// How long a holding pauses before others are shed for it: what slow readers take in that time may
/// suffice.
const SHED_AFTER: Duration = Duration::from_millis(800);
/// The longest time for which a body waits for space: callers of the shortest streams wait two
/// seconds without receiving anything.
const MAX_BODY_WAIT: Duration = Duration::from_secs(2);
/// The fraction of its remaining time for which a request may wait for space.
const BODY_WAIT_FRACTION: f64 = 1.0 / 3.0;
/// The shortest and longest predicted time until there is space.
const AFTER_RANGE: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(10));
/// The fraction of the link rate from which the link counts as saturated. Below it, what waits to
/// be sent waits for slow readers.
const SATURATED: f64 = 0.7;

#[derive(Clone, Debug)]
struct Holding {
    holder: Holder,
    size: Size,
    /// When its reader last took something; when it was begun if it has not yet.
    progressed: Instant,
    is_shed: bool,
    /// Whether it is a body whose space grows while it is read.
    is_growing: bool,
    /// While it is a body that is being read: what has been received since `progressed`.
    reading: Option<Size>,
}

impl Holding {
    /// How long its reader, or the sender of its body, has not moved.
    fn stall(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.progressed)
    }
}

/// How long a body waits for space at most, if the request has `left` until its deadline.
pub fn body_wait(left: Duration) -> Duration {
    left.mul_f64(BODY_WAIT_FRACTION).min(MAX_BODY_WAIT)
}

/// The held bytes of a node.
#[derive(Clone, Debug)]
pub struct Ledger {
    bounds: Bounds,
    holdings: BTreeMap<Number, Holding>,
    owners: HashMap<Owner, Size>,
    connections: HashMap<Connection, Size>,
    purposes: [Size; Purpose::COUNT],
    total: Size,
    /// Bodies that wait for space, in the order of their arrival.
    waiting: BTreeMap<Number, Size>,
    last: u64,
    released: Meter,
    sent: Meter,
    /// Whether new work is refused because of the link.
    link_is_full: bool,
    /// When it was last chosen what is shed.
    shed_at: Option<Instant>,
}

impl Ledger {
    /// An empty ledger.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            holdings: BTreeMap::new(),
            owners: HashMap::new(),
            connections: HashMap::new(),
            purposes: [Size::ZERO; Purpose::COUNT],
            total: Size::ZERO,
            waiting: BTreeMap::new(),
            last: 0,
            released: Meter::default(),
            sent: Meter::default(),
            link_is_full: false,
            shed_at: None,
        }
    }

    /// The bounds.
    pub fn bounds(&self) -> &Bounds {
        &self.bounds
    }

    /// All held bytes.
    pub fn total(&self) -> Size {
        self.total
    }

    /// The held bytes of a purpose.
    pub fn of_purpose(&self, purpose: Purpose) -> Size {
        self.purposes[purpose as usize]
    }

    /// The held bytes of an owner.
    pub fn of_owner(&self, owner: &Owner) -> Size {
        self.owners.get(owner).copied().unwrap_or_default()
    }

    /// The held bytes of a connection.
    pub fn of_connection(&self, connection: Connection) -> Size {
        self.connections.get(&connection).copied().unwrap_or_default()
    }

    /// The held bytes of a holding.
    pub fn of_holding(&self, number: Number) -> Size {
        self.holdings.get(&number).map(|holding| holding.size).unwrap_or_default()
    }

    /// Whom a holding is for.
    pub fn owner(&self, number: Number) -> Option<&Owner> {
        self.holdings.get(&number).map(|holding| &holding.holder.owner)
    }

    /// The number of bodies that wait for space.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Begins a holding without any bytes.
    pub fn begin(&mut self, holder: Holder, now: Instant) -> Number {
        self.last += 1;
        let number = Number(self.last);
        let holding = Holding {
            holder,
            size: Size::ZERO,
            progressed: now,
            is_shed: false,
            is_growing: false,
            reading: None,
        };
        self.holdings.insert(number, holding);
        number
    }

    /// Checks whether new work is accepted; the error has the retry delay. Called when a request
    /// arrives, before its body is read.
    ///
    /// # Errors
    /// What waits for the link, or for space, takes too long.
    pub fn admit(&mut self, now: Instant) -> Result<(), Full> {
        let waits_for_link =
            self.of_purpose(Purpose::Answer).plus(self.of_purpose(Purpose::Stream));
        let limit = if self.link_is_full { self.bounds.link_resume } else { self.bounds.link_full };
        let is_saturated =
            self.sent.rate(now).bytes() >= self.bounds.link.fraction(SATURATED).bytes();
        self.link_is_full = is_saturated && waits_for_link > limit;
        if self.link_is_full {
            let after = self.bounds.link.time(waits_for_link.less(self.bounds.link_resume));
            return Err(Full { cause: Cause::Link, after: clamp(after) });
        }
        if self.waiting.len() >= self.bounds.waiting as usize {
            let after = self.time_to_release(self.waiting.values().copied().sum(), now);
            return Err(Full { cause: Cause::Waiting, after });
        }
        Ok(())
    }

    /// Lets a new body of `size` be read, or wait in its socket: it then asks again, in the order of
    /// arrival. Bodies that wait only because of their owner let others pass, and small ones do not
    /// wait for large ones.
    ///
    /// # Errors
    /// It waits.
    pub fn begin_body(&mut self, number: Number, size: Size, now: Instant) -> Result<(), Full> {
        let is_small = |size: Size| size <= SMALL_BODY;
        let is_behind = self.waiting.range(..number).any(|(other, waiting)| {
            is_small(*waiting) == is_small(size)
                && self.body_refusal(*other, *waiting) != Some(Cause::Owner)
        });
        let refusal = self.body_refusal(number, size);
        if let Some(cause) = refusal.or(is_behind.then_some(Cause::Memory)) {
            self.waiting.insert(number, size);
            let ahead = self.waiting.range(..=number).map(|(_, size)| *size);
            let ahead: Size = ahead.filter(|ahead| is_small(*ahead) == is_small(size)).sum();
            let free = self.bounds.total.fraction(self.body_level(size)).less(self.total);
            return Err(Full { cause, after: self.time_to_release(ahead.less(free), now) });
        }
        self.waiting.remove(&number);
        self.add(number, size);
        if let Some(holding) = self.holdings.get_mut(&number) {
            (holding.reading, holding.progressed) = (Some(Size::ZERO), now);
        }
        Ok(())
    }

    /// Records that a body has no known length, so that its space grows while it is read.
    pub fn expect_growth(&mut self, number: Number) {
        if let Some(holding) = self.holdings.get_mut(&number) {
            holding.is_growing = true;
        }
    }

    /// Records that `size` of a body has been received.
    pub fn note_received(&mut self, number: Number, size: Size, now: Instant) {
        let Some(holding) = self.holdings.get_mut(&number) else { return };
        let Some(received) = &mut holding.reading else { return };
        *received = received.plus(size);
        if *received >= MIN_PROGRESS {
            (*received, holding.progressed) = (Size::ZERO, now);
        }
    }

    /// Records that a body has been read to its end. It is not shed any more.
    pub fn note_body_read(&mut self, number: Number) {
        if let Some(holding) = self.holdings.get_mut(&number) {
            holding.reading = None;
        }
    }

    /// Whether a body of `size` could be held if the node held nothing else.
    pub fn fits(&self, size: Size) -> bool {
        size <= self.bounds.total.fraction(level::BODY)
    }

    /// The fill level up to which new bodies of this size may fill the node.
    fn body_level(&self, size: Size) -> f64 {
        if size <= SMALL_BODY {
            level::SMALL_BODY
        } else if size <= self.bounds.total.fraction(level::NEW_BODY) {
            level::NEW_BODY
        } else {
            level::BODY
        }
    }

    /// Why a new body may not be read now.
    fn body_refusal(&self, number: Number, size: Size) -> Option<Cause> {
        let level = self.body_level(size);
        if size <= SMALL_BODY {
            return self.is_full(size, level).then_some(Cause::Memory);
        }
        self.refusal(number, size, level)
    }

    /// Lets a holding grow by `size`, which has not been read yet. `paused` is how long it has been
    /// paused for these bytes.
    pub fn grow(&mut self, number: Number, size: Size, paused: Duration, now: Instant) -> Growth {
        let Some(holding) = self.holdings.get_mut(&number) else {
            return Growth::Shed(Cause::Memory);
        };
        if holding.is_shed {
            return Growth::Shed(Cause::Memory);
        }
        if holding.reading.is_some() {
            // It is not its sender that does not move.
            holding.progressed = now;
        }
        let (purpose, after) = (holding.holder.purpose, holding.size.plus(size));
        let is_body = purpose == Purpose::Body;
        let is_small = purpose == Purpose::Stream && after <= SMALL_STREAM;
        let is_large = purpose == Purpose::Stream && after > self.bounds.stream;
        let level = match purpose {
            Purpose::Body => level::BODY,
            Purpose::Transfer => level::TRANSFER,
            Purpose::Answer => level::ANSWER,
            Purpose::Stream if is_small => level::SMALL_STREAM,
            Purpose::Stream if is_large => level::LARGE_STREAM,
            Purpose::Stream => level::STREAM,
        };
        if after > self.bounds.total.fraction(level) {
            // It would not fit into an empty node.
            return Growth::Shed(Cause::Memory);
        }
        let refusal = if is_small {
            self.is_full(size, level).then_some(Cause::Memory)
        } else {
            self.refusal(number, size, level)
        };
        let left = MAX_PAUSE.saturating_sub(paused);
        match refusal {
            // Its runner is read once more only when it would soon give up.
            None if is_large && !left.is_zero() => Growth::Pause { wait: left, shed: Vec::new() },
            None => {
                self.add(number, size);
                if purpose == Purpose::Answer {
                    // Its reader cannot take it yet.
                    self.note_progress(number, Size::ZERO, now);
                }
                Growth::Held
            }
            Some(cause) if left.is_zero() => Growth::Shed(cause),
            // A large stream takes no space of others; it is the one to be shed.
            Some(_) if is_large || !is_small && !is_body && paused < SHED_AFTER => {
                Growth::Pause { wait: left, shed: Vec::new() }
            }
            Some(cause) => {
                let victims = match purpose {
                    Purpose::Body => Victims::StalledOrLaterBodies,
                    Purpose::Answer | Purpose::Stream | Purpose::Transfer => Victims::Stalled,
                };
                let lack = Lack { size, level, cause };
                Growth::Pause { wait: left, shed: self.shed(number, lack, victims, now) }
            }
        }
    }

    /// Releases `size` of a holding because its reader has taken it.
    pub fn take(&mut self, number: Number, size: Size, now: Instant) {
        let Some(holding) = self.holdings.get_mut(&number) else { return };
        holding.progressed = now;
        if matches!(holding.holder.purpose, Purpose::Answer | Purpose::Stream) {
            self.sent.note(size, now);
        }
        self.remove(number, size, now);
    }

    /// Records that the reader of a holding has taken `size` of it, which remains held until all is
    /// taken, or that it can begin to read.
    pub fn note_progress(&mut self, number: Number, size: Size, now: Instant) {
        if let Some(holding) = self.holdings.get_mut(&number) {
            holding.progressed = now;
            self.sent.note(size, now);
        }
    }

    /// Adds bytes that are held in any case.
    pub fn count(&mut self, number: Number, size: Size) {
        self.add(number, size);
    }

    /// Releases all of a holding that is shed. The holding itself ends with its request.
    pub fn clear(&mut self, number: Number, now: Instant) {
        let size = self.of_holding(number);
        self.remove(number, size, now);
    }

    /// Ends a holding and releases all of it.
    pub fn end(&mut self, number: Number, now: Instant) {
        self.waiting.remove(&number);
        self.clear(number, now);
        self.holdings.remove(&number);
    }

    fn is_full(&self, size: Size, level: f64) -> bool {
        self.total.plus(size) > self.bounds.total.fraction(level)
    }

    /// Why a holding may not grow by `size` up to a fill level.
    fn refusal(&self, number: Number, size: Size, level: f64) -> Option<Cause> {
        if self.is_full(size, level) {
            return Some(Cause::Memory);
        }
        let owner = &self.holdings.get(&number)?.holder.owner;
        let held = self.of_owner(owner);
        let free = self.bounds.total.fraction(level).less(self.total.plus(size));
        // What an owner that holds nothing asks for is bounded by the fill level alone.
        let is_over = held > Size::ZERO && held.plus(size) > free.fraction(OWNER_FACTOR);
        is_over.then_some(Cause::Owner)
    }

    fn add(&mut self, number: Number, size: Size) {
        let Some(holding) = self.holdings.get_mut(&number) else { return };
        holding.size = holding.size.plus(size);
        let Holder { owner, connection, purpose, .. } = &holding.holder;
        let of_owner = self.owners.entry(owner.clone()).or_default();
        *of_owner = of_owner.plus(size);
        let of_connection = self.connections.entry(*connection).or_default();
        *of_connection = of_connection.plus(size);
        let of_purpose = &mut self.purposes[*purpose as usize];
        *of_purpose = of_purpose.plus(size);
        self.total = self.total.plus(size);
    }

    fn remove(&mut self, number: Number, size: Size, now: Instant) {
        let Some(holding) = self.holdings.get_mut(&number) else { return };
        let size = size.min(holding.size);
        holding.size = holding.size.less(size);
        let Holder { owner, connection, purpose, .. } = &holding.holder;
        subtract(&mut self.owners, owner, size);
        subtract(&mut self.connections, connection, size);
        let of_purpose = &mut self.purposes[*purpose as usize];
        *of_purpose = of_purpose.less(size);
        self.total = self.total.less(size);
        self.released.note(size, now);
    }

    /// The predicted time until `size` has been released: at the recent rate, or at that of the
    /// link if nothing has been released recently.
    fn time_to_release(&mut self, size: Size, now: Instant) -> Duration {
        let recent = self.released.rate(now);
        let rate = if recent > Rate::default() { recent } else { self.bounds.link };
        clamp(rate.time(size))
    }
}

fn subtract<K: std::hash::Hash + Eq>(sizes: &mut HashMap<K, Size>, key: &K, size: Size) {
    let Some(held) = sizes.get_mut(key) else { return };
    *held = held.less(size);
    if *held == Size::ZERO {
        sizes.remove(key);
    }
}

fn clamp(after: Duration) -> Duration {
    after.clamp(AFTER_RANGE.0, AFTER_RANGE.1)
}
