//! Tests of held bytes: bounds, what waits, what pauses, what is shed and what is refused.

use std::time::{Duration, Instant};

use sardinepick_lib::fleet::holding::Connection;
use sardinepick_lib::fleet::holding::ledger::{Cause, MAX_PAUSE, Number};
use sardinepick_lib::fleet::holding::runner::share;
use sardinepick_lib::fleet::holding::{
    Bounds, Growth, Holder, Ledger, Owner, Purpose, Rate, Resources, Size,
};
use sardinepick_lib::id::{NodeId, RunnerId};

const MS: Duration = Duration::from_millis(1);
const MB: u64 = 1 << 20;
/// A node of the smaller kind.
const SMALL_NODE: (f64, u32, f64) = (160.0, 4_100, 10.0);
/// How often a paused stream asks again.
const POLL: Duration = Duration::from_millis(50);

fn resources((memory, descriptors, link): (f64, u32, f64)) -> Resources {
    let (memory, link) = (Size::of_megabytes(memory), Rate::of_megabits(link));
    Resources { memory, descriptors, link }
}

struct Node {
    ledger: Ledger,
    now: Instant,
    connections: u64,
}

impl Node {
    fn new(of: (f64, u32, f64)) -> Self {
        let ledger = Ledger::new(Bounds::of(resources(of)));
        Self { ledger, now: Instant::now(), connections: 0 }
    }

    fn begin(&mut self, purpose: Purpose, account: &str, class: usize) -> Number {
        self.connections += 1;
        let owner = Owner::Account(account.parse().expect("an account"));
        let connection = Connection(self.connections);
        self.ledger.begin(Holder { owner, connection, purpose, class }, self.now)
    }

    fn grow(&mut self, number: Number, bytes: u64, paused: Duration) -> Growth {
        self.ledger.grow(number, Size(bytes), paused, self.now)
    }

    /// Grows a stream as its task does: it pauses until it may grow or is shed. Returns whether it
    /// has grown, and after which pause.
    fn grow_or_pause(&mut self, number: Number, bytes: u64) -> (bool, Duration) {
        let mut paused = Duration::ZERO;
        loop {
            match self.grow(number, bytes, paused) {
                Growth::Held => return (true, paused),
                Growth::Shed(_) => return (false, paused),
                Growth::Pause { wait, shed } => {
                    for other in shed {
                        self.ledger.end(other, self.now);
                    }
                    let wait = wait.min(POLL);
                    paused += wait;
                    self.now += wait;
                }
            }
        }
    }

    fn take(&mut self, number: Number, bytes: u64) {
        self.ledger.take(number, Size(bytes), self.now);
    }

    fn filled(&self) -> f64 {
        self.ledger.total().0 as f64 / self.ledger.bounds().total.0 as f64
    }
}

#[test]
fn size_and_rate_text_round_trip() {
    assert_eq!("65536".parse::<Size>().expect("a size").to_string(), "65536");
    assert_eq!("12.5".parse::<Rate>().expect("a rate"), Rate::of_megabits(12.5));
    assert_eq!(Rate::of_megabits(10.0).to_string(), "10");
    assert!("-1".parse::<Rate>().is_err());
}

/// Guards against bounds that leave no memory for the process or control traffic, on any node of the
/// reference loads.
#[test]
fn bounds_reference_nodes_within_memory() {
    for of in [(120.0, 3_075, 10.0), SMALL_NODE, (512.0, 10_250, 200.0)] {
        let bounds = Bounds::of(resources(of));
        let memory = Size::of_megabytes(of.0).0;
        assert!(bounds.total.0 * 3 / 2 + 24 * MB <= memory * 8 / 10, "{of:?}: {bounds:?}");
        assert!(bounds.total.0 >= 32 * MB, "{of:?}: {bounds:?}");
        assert!(bounds.connections <= of.1 / 2, "{of:?}: {bounds:?}");
        assert!(bounds.link < Rate::of_megabits(of.2), "{of:?}: {bounds:?}");
    }
    // A node with hardly any memory still serves.
    assert!(Bounds::of(resources((16.0, 64, 1.0))).total > Size(2 * MB));
}

/// Guards against a node that holds whatever its callers do not read: 10,000 readers that take
/// nothing, while their runners send. Readers that keep up go on in time.
#[test]
fn grow_10_000_slow_readers_bounded() {
    let mut node = Node::new(SMALL_NODE);
    let slow: Vec<Number> =
        (0..10_000).map(|at| node.begin(Purpose::Stream, &format!("a{}", at % 50), 4)).collect();
    let mut paused = vec![Duration::ZERO; slow.len()];
    let (mut longest, mut ended) = (Duration::ZERO, 0);
    for _ in 0..100 {
        for (at, number) in slow.iter().enumerate() {
            match node.grow(*number, 2 << 10, paused[at]) {
                Growth::Held => paused[at] = Duration::ZERO,
                Growth::Pause { shed, .. } => {
                    paused[at] += POLL;
                    for other in shed {
                        node.ledger.end(other, node.now);
                        ended += 1;
                    }
                }
                Growth::Shed(_) => node.ledger.end(*number, node.now),
            }
            assert!(node.filled() <= 1.0);
        }
        let fast = node.begin(Purpose::Stream, "fast", 4);
        let (held, pause) = node.grow_or_pause(fast, 4 << 10);
        assert!(held, "a reader that keeps up was shed");
        longest = longest.max(pause);
        node.ledger.end(fast, node.now);
        node.now += POLL;
    }
    // The first one may wait until the others count as stalled.
    assert!(longest <= Duration::from_millis(1_100), "paused for {longest:?}");
    assert!(ended > 0, "nothing was shed, which tests nothing");
}

/// Guards against one account whose slow readers take the space of the others, and against readers
/// of the others that are shed for it.
#[test]
fn grow_slow_account_others_unaffected() {
    let mut node = Node::new(SMALL_NODE);
    let slow: Vec<Number> = (0..500).map(|_| node.begin(Purpose::Stream, "slow", 0)).collect();
    let others: Vec<Number> =
        (0..50).map(|at| node.begin(Purpose::Stream, &format!("b{at}"), 8)).collect();
    for _ in 0..40 {
        for number in &slow {
            if let Growth::Pause { shed, .. } = node.grow(*number, 32 << 10, Duration::from_secs(1))
            {
                assert!(shed.iter().all(|other| !others.contains(other)), "another account's");
            }
        }
        for number in &others {
            assert_eq!(node.grow(*number, 128 << 10, Duration::ZERO), Growth::Held);
        }
        node.now += 20 * MS;
        for number in &others {
            node.take(*number, 128 << 10);
        }
    }
    let owner = Owner::Account("slow".parse().expect("an account"));
    let share = node.ledger.of_owner(&owner).0 as f64 / node.ledger.bounds().total.0 as f64;
    assert!((0.4..0.7).contains(&share), "{share}");
}

/// Guards against bodies that are buffered beyond the memory, a large one that waits for ever behind
/// small ones, and one that is refused although it fits.
#[test]
fn begin_body_many_of_16_mb_wait_in_order() {
    let mut node = Node::new(SMALL_NODE);
    assert!(node.ledger.fits(Size(16 * MB)));
    let mut waiting: Vec<Number> =
        (0..40).map(|at| node.begin(Purpose::Body, &format!("a{at}"), 4)).collect();
    let mut begun: Vec<(Number, Instant)> = Vec::new();
    let mut order = Vec::new();
    let mut small_waits = 0;
    for _ in 0..10_000 {
        let now = node.now;
        waiting.retain(|number| match node.ledger.begin_body(*number, Size(16 * MB), now) {
            Ok(()) => {
                begun.push((*number, now));
                order.push(*number);
                false
            }
            Err(full) => {
                assert!(full.after >= 50 * MS && full.after <= Duration::from_secs(10));
                true
            }
        });
        // A stream goes on beside the bodies, and a small body does not wait for large ones.
        let stream = node.begin(Purpose::Stream, "s", 0);
        assert_eq!(node.grow(stream, 64 << 10, Duration::ZERO), Growth::Held);
        node.ledger.end(stream, now);
        let small = node.begin(Purpose::Body, "s", 0);
        small_waits += usize::from(node.ledger.begin_body(small, Size(1 << 10), now).is_err());
        node.ledger.end(small, now);
        assert!(node.filled() <= 0.5);
        begun.retain(|(number, at)| {
            let runs = now - *at < 500 * MS;
            if !runs {
                node.ledger.end(*number, now);
            }
            runs
        });
        node.now += 20 * MS;
        if waiting.is_empty() {
            break;
        }
    }
    assert!(order.is_sorted() && order.len() == 40, "{order:?}");
    assert_eq!(small_waits, 0);
    assert_eq!(node.ledger.of_purpose(Purpose::Stream), Size::ZERO);
}

/// Guards against an account whose large bodies keep the bodies of others waiting.
#[test]
fn begin_body_account_over_share_others_pass() {
    let mut node = Node::new(SMALL_NODE);
    let first = node.begin(Purpose::Body, "big", 4);
    assert_eq!(node.ledger.begin_body(first, Size(16 * MB), node.now), Ok(()));
    let second = node.begin(Purpose::Body, "big", 4);
    let full = node.ledger.begin_body(second, Size(6 * MB), node.now).expect_err("over its share");
    assert_eq!(full.cause, Cause::Owner);
    let other = node.begin(Purpose::Body, "other", 4);
    assert_eq!(node.ledger.begin_body(other, Size(4 * MB), node.now), Ok(()));
    node.ledger.end(first, node.now);
    assert_eq!(node.ledger.begin_body(second, Size(6 * MB), node.now), Ok(()));
}

/// Guards against new work that waits behind more answers than the link carries in time, and against
/// a retry delay after which it is refused again.
#[test]
fn admit_answers_faster_than_link_refused_until_drained() {
    let mut node = Node::new(SMALL_NODE);
    let (tick, link) = (10 * MS, node.ledger.bounds().link);
    let (mut answers, mut refused): (Vec<Number>, Option<Duration>) = (Vec::new(), None);
    // 2.5 MB/s arrive, and the link carries 1.1 MB/s.
    for _ in 0..1_000 {
        let answer = node.begin(Purpose::Stream, &format!("a{}", answers.len() % 30), 4);
        assert_eq!(node.grow(answer, 25_000, Duration::ZERO), Growth::Held);
        answers.push(answer);
        drain(&mut node, &answers, link.size(tick));
        if let Err(full) = node.ledger.admit(node.now) {
            assert_eq!(full.cause, Cause::Link);
            refused = Some(full.after);
            break;
        }
        node.now += tick;
    }
    let after = refused.expect("refused within ten seconds");
    assert!(
        after >= Duration::from_millis(900) && after <= Duration::from_millis(1_200),
        "{after:?}"
    );
    let until = node.now + after;
    while node.now < until {
        drain(&mut node, &answers, link.size(tick));
        node.now += tick;
    }
    assert_eq!(node.ledger.admit(node.now), Ok(()));
}

/// Sends what the link carries, oldest answer first.
fn drain(node: &mut Node, answers: &[Number], mut carried: Size) {
    for answer in answers {
        let size = node.ledger.of_holding(*answer).min(carried);
        if size > Size::ZERO {
            node.take(*answer, size.0);
            carried = carried.less(size);
        }
    }
}

/// Guards against work that is refused because readers are slow although the link is idle.
#[test]
fn admit_slow_readers_link_idle_accepted() {
    let mut node = Node::new(SMALL_NODE);
    for at in 0..100 {
        let stream = node.begin(Purpose::Stream, &format!("a{at}"), 4);
        assert_eq!(node.grow(stream, 64 << 10, Duration::ZERO), Growth::Held);
    }
    node.now += Duration::from_secs(3);
    assert_eq!(node.ledger.admit(node.now), Ok(()));
}

/// Guards against a pause after which the runner has cut off its response.
#[test]
fn grow_large_stream_pause_below_two_seconds() {
    let mut node = Node::new(SMALL_NODE);
    let stream = node.begin(Purpose::Stream, "a", 4);
    let part = node.ledger.bounds().stream.0;
    assert_eq!(node.grow(stream, part, Duration::ZERO), Growth::Held);
    let (held, paused) = node.grow_or_pause(stream, 1 << 10);
    assert!(held && paused == MAX_PAUSE && paused < Duration::from_secs(2), "{paused:?}");
    // A reader that goes on ends the pause.
    node.take(stream, part);
    assert_eq!(node.grow_or_pause(stream, 1 << 10), (true, Duration::ZERO));
}

/// Guards against shedding in another order than the slowest reader, the largest holding, the least
/// urgent one, and against shedding readers that go on.
#[test]
fn grow_full_node_sheds_in_order() {
    let mut node = Node::new(SMALL_NODE);
    let size = |node: &Node, fraction: f64| node.ledger.bounds().total.fraction(fraction).0;
    let begin = |node: &mut Node, account: &str, class, fraction| {
        let number = node.begin(Purpose::Answer, account, class);
        let bytes = size(node, fraction);
        assert_eq!(node.grow(number, bytes, Duration::ZERO), Growth::Held);
        number
    };
    let slowest = begin(&mut node, "a", 0, 0.01);
    node.now += 2 * Duration::from_secs(1);
    let large = begin(&mut node, "b", 0, 0.3);
    let urgent = begin(&mut node, "c", 0, 0.1);
    let late = begin(&mut node, "d", 9, 0.1);
    node.now += 500 * MS;
    let reading = begin(&mut node, "e", 9, 0.3);
    node.now += 600 * MS;
    node.ledger.note_progress(reading, Size(1), node.now);
    let mut expected = [slowest, large, late, urgent].into_iter();
    for _ in 0..4 {
        let mine = node.begin(Purpose::Answer, "f", 4);
        let bytes = size(&node, 0.85) - node.ledger.total().0 + 1;
        let growth = node.grow(mine, bytes, Duration::from_secs(1));
        let Growth::Pause { shed, .. } = growth else { panic!("{growth:?}") };
        assert_eq!(shed, [expected.next().expect("one more")]);
        assert!(node.ledger.is_shed(shed[0]) && !node.ledger.is_shed(reading));
        node.ledger.end(shed[0], node.now);
        node.ledger.end(mine, node.now);
        node.now += 20 * MS;
    }
}

/// Guards against bytes that stay counted after their holding has ended.
#[test]
fn end_releases_all_counts() {
    let mut node = Node::new(SMALL_NODE);
    let number = node.begin(Purpose::Transfer, "a", 4);
    assert_eq!(node.grow(number, 5_000, Duration::ZERO), Growth::Held);
    let connection = Connection(node.connections);
    assert_eq!(node.ledger.of_connection(connection), Size(5_000));
    node.take(number, 6_000);
    node.ledger.end(number, node.now);
    node.ledger.end(number, node.now);
    assert_eq!(node.ledger.total(), Size::ZERO);
    assert_eq!(node.ledger.of_connection(connection), Size::ZERO);
    assert_eq!(node.ledger.of_purpose(Purpose::Transfer), Size::ZERO);
    assert_eq!(node.grow(number, 1, Duration::ZERO), Growth::Shed(Cause::Memory));
}

/// Guards against nodes that together send a runner more than it can hold because none of them knows
/// what the others send, and against nodes at which large work finds no runner.
#[test]
fn share_all_nodes_whole_runner() {
    let id = |text: String| text.parse().expect("an id");
    for count in [1, 2, 8, 9, 65, 550] {
        let nodes: Vec<NodeId> = (0..count).map(|at| id(format!("n{at}"))).collect();
        let runners: Vec<RunnerId> =
            (0..60).map(|at| format!("i-{at}").parse().expect("an id")).collect();
        let mut largest = vec![0.0_f64; nodes.len()];
        for runner in &runners {
            let mut sum = 0.0;
            for (at, me) in nodes.iter().enumerate() {
                let part = share(runner, me, nodes.iter().filter(|other| *other != me));
                largest[at] = largest[at].max(part);
                sum += part;
            }
            assert!((sum - 1.0).abs() < 1e-9, "{sum} at {count} nodes");
        }
        if count <= 65 {
            assert!(largest.iter().all(|part| *part >= 0.1), "{largest:?}");
        }
    }
}
