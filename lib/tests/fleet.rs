//! Tests of the serving core: routes, the register, health, budgets, admission control and
//! placement.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use sardinepick_lib::fleet::admission::{MeanSize, Terms, Wait, urgency};
use sardinepick_lib::fleet::balance::{self, Capacity, Change, Demand, StageCounts};
use sardinepick_lib::fleet::budget::{Bounds, Budget};
use sardinepick_lib::fleet::cache::{Cache, Chain, Part, Progress};
use sardinepick_lib::fleet::deadline::Deadlines;
use sardinepick_lib::fleet::engine::{Engine, Pace, Stage, Work};
use sardinepick_lib::fleet::event::{MAX_EVENT_BYTES, Splitter, TooLarge};
use sardinepick_lib::fleet::health::{Outcome, Record};
use sardinepick_lib::fleet::load::{CLASSES, Class, Load, RemoteLoads};
use sardinepick_lib::fleet::outage::{DOUBT, Outage, pause};
use sardinepick_lib::fleet::placement::{self, Criteria, Placement, Plan};
use sardinepick_lib::fleet::rank::Rank;
use sardinepick_lib::fleet::register::{Change as Changed, PrefillReport, Register, WorkCost};
use sardinepick_lib::fleet::route::{Configuration, Kind, Limits, Route, Target};
use sardinepick_lib::fleet::runner::{Entry, State, Tag};
use sardinepick_lib::fleet::timeout;
use sardinepick_lib::history::Point;
use sardinepick_lib::id::{ConfigVersion, DataCentre, RunnerId, ServiceId};
use smallvec::smallvec;

const MS: Duration = Duration::from_millis(1);
const S: Duration = Duration::from_secs(1);

fn service() -> ServiceId {
    "telraad".parse().expect("an id")
}

fn home() -> DataCentre {
    "zaal-dom".parse().expect("an id")
}

fn id(name: &str) -> RunnerId {
    name.parse().expect("an id")
}

fn entry(name: &str, stage: Option<Stage>, revision: u64) -> Entry {
    Entry {
        id: id(name),
        born: None,
        service: service(),
        address: "127.0.0.1:1".parse().expect("an address"),
        data_centre: home(),
        state: State::Ready,
        stage,
        version: Default::default(),
        reclaimable: false,
        slots: 8,
        writes: 0,
        at: Point::without_era(revision),
    }
}

const ENGINE: Engine = Engine {
    slots: 128,
    memory: 800_000,
    token_bytes: 18_432,
    link_rate: 350e9,
    handle_ttl: Duration::from_secs(5),
    switch: Duration::from_secs(3),
};

fn engines(prefill: usize, decode: usize) -> Register {
    let mut register = Register::default();
    for at in 0..prefill {
        register.apply(entry(&format!("p{at}"), Some(Stage::Prefill), 1));
    }
    for at in 0..decode {
        register.apply(entry(&format!("d{at}"), Some(Stage::Decode), 1));
    }
    register
}

fn work(root: &str, shared: u64, own: u64) -> Work {
    let own_id = format!("{root}-{shared}-{own}");
    let parts = [(root, shared), (own_id.as_str(), own)];
    Work { chain: Chain::new("m", parts.into_iter()), prompt: shared + own, output: 80 }
}

fn choose(register: &Register, class: Class, work: &Work, now: Instant) -> Option<Placement> {
    let (service, home) = (service(), home());
    let criteria = Criteria {
        objective: None,
        service: &service,
        pool: None,
        class,
        data_centre: &home,
        skip: &[],
        version: None,
        continues: false,
        now,
    };
    let mut rng = StdRng::seed_from_u64(1);
    placement::place_generation(register, &criteria, &ENGINE, work, &mut rng)
}

fn route(host: &str, prefix: &str) -> Route {
    Route {
        name: prefix.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: Kind::ResumableStream,
        timeout: S * 5,
        objective: MS * 500,
        pause: MS * 400,
        rank: Rank::of_route(2),
        targets: smallvec![Target { service: service(), weight: 1 }],
        max_attempts: 2,
        anonymous: false,
    }
}

fn configuration(routes: Vec<Route>) -> Configuration {
    Configuration::new(ConfigVersion(1), routes, Vec::new(), Limits::default())
}

#[test]
fn route_longest_prefix_of_host() {
    let all = vec![route("a.example", "/x/"), route("a.example", "/x/y/"), route("b.example", "/")];
    let configuration = configuration(all);
    let prefix = |host, path| configuration.route(host, path).map(|r| r.prefix.as_str());
    assert_eq!(prefix("a.example", "/x/y/z"), Some("/x/y/"));
    assert_eq!(prefix("A.example:8080", "/x/z"), Some("/x/"));
    assert_eq!(prefix("b.example", "/x/y/z"), Some("/"));
    assert_eq!(prefix("a.example", "/y/"), None);
    assert_eq!(prefix("c.example", "/x/"), None);
}

#[test]
fn service_split_by_weight() {
    let mut route = route("a.example", "/");
    let other: ServiceId = "other".parse().expect("an id");
    route.targets = smallvec![
        Target { service: service(), weight: 90 },
        Target { service: other.clone(), weight: 10 },
    ];
    let to_other = (0..1000).filter(|n| *route.service(f64::from(*n) / 1000.0) == other).count();
    assert_eq!(to_other, 100);
    assert_eq!(*route.service(0.999_999), other);
}

proptest! {
    /// Events are complete and in order wherever the bytes are split, and no bytes are lost.
    #[test]
    fn splitter_any_cuts_same_events(
        cuts in proptest::collection::vec(1usize..9, 1..60),
        line_end in proptest::sample::select(&["\n", "\r\n"][..]),
    ) {
        let event = |n| format!("id: {n}{line_end}data: t{n}{line_end}{line_end}");
        let text: String = (1..9).map(event).collect();
        let event_end = line_end.repeat(2);
        let (mut splitter, mut ids, mut bytes) = (Splitter::default(), Vec::new(), Vec::new());
        let mut rest = text.as_bytes();
        for cut in cuts {
            let (now, later) = rest.split_at(cut.min(rest.len()));
            rest = later;
            splitter.push(now);
            while let Some(event) = splitter.next_event().expect("small events") {
                prop_assert!(event.bytes.ends_with(event_end.as_bytes()));
                ids.push(event.id.expect("each event has an id").to_string());
                bytes.extend_from_slice(&event.bytes);
            }
        }
        bytes.extend_from_slice(splitter.rest());
        prop_assert_eq!(&bytes[..], &text.as_bytes()[..text.len() - rest.len()]);
        let expected: Vec<String> = (1..=ids.len()).map(|n| n.to_string()).collect();
        prop_assert_eq!(ids, expected);
    }
}

#[test]
fn splitter_carriage_returns_one_event() {
    let mut splitter = Splitter::default();
    splitter.push(b"id: 4\r\ndata: x\r\n\r\nid: 5");
    let event = splitter.next_event().expect("a small event").expect("one event");
    assert_eq!(event.id.as_deref(), Some("4"));
    assert_eq!((splitter.next_event(), splitter.rest()), (Ok(None), &b"id: 5"[..]));
}

/// Guards against an event without end that is held until the deadline.
#[test]
fn splitter_large_event_error() {
    let mut splitter = Splitter::default();
    splitter.push(&vec![b'x'; MAX_EVENT_BYTES - 2]);
    assert_eq!(splitter.next_event(), Ok(None));
    splitter.push(b"\n\n");
    let event = splitter.next_event().expect("not too large").expect("one event");
    assert_eq!(event.bytes.len(), MAX_EVENT_BYTES);
    for end in ["", "\n\n"] {
        let mut splitter = Splitter::default();
        splitter.push(&vec![b'x'; MAX_EVENT_BYTES + 1]);
        splitter.push(end.as_bytes());
        assert_eq!(splitter.next_event(), Err(TooLarge), "{end:?}");
    }
}

#[test]
fn cache_chain_start_counts() {
    let now = Instant::now();
    let mut cache = Cache::default();
    cache.note(&work("a", 1_000, 50).chain, Progress::Prefilled, now);
    assert_eq!(cache.cached(&work("a", 1_000, 70).chain, now), 1_000);
    assert_eq!(cache.cached(&work("b", 1_000, 50).chain, now), 0);
}

/// A part that a runner has reported by its own id counts in any chain, and only once.
#[test]
fn cache_standalone_part_counts() {
    let now = Instant::now();
    let mut cache = Cache::default();
    cache.note_part(Part::standalone("m", "a", 1_000), Progress::Prefilled, now);
    assert_eq!(cache.cached(&work("a", 1_000, 70).chain, now), 1_000);
    assert_eq!(
        cache.cached(&work("a", 1_200, 70).chain, now),
        0,
        "the runner has less of it cached"
    );
    cache.note(&work("a", 1_000, 70).chain, Progress::Prefilled, now);
    assert_eq!(cache.tokens(), 1_070);
}

#[test]
fn cache_full_least_recent_evicted() {
    let start = Instant::now();
    let mut cache = Cache::default();
    cache.set_memory(10_000);
    for n in 0..20 {
        cache.note(&work(&format!("c{n}"), 900, 100).chain, Progress::Prefilled, start + MS * n);
        cache.note(&work("hot", 900, 100).chain, Progress::Prefilled, start + MS * n);
    }
    assert!(cache.tokens() <= 10_000);
    assert_eq!(cache.cached(&work("hot", 900, 5).chain, start), 900);
    assert_eq!(cache.cached(&work("c0", 900, 5).chain, start), 0);
}

#[test]
fn record_failures_in_a_row_one_at_a_time() {
    let start = Instant::now();
    let mut record = Record::default();
    for _ in 0..3 {
        assert!(record.takes_work(start));
        record.note(Outcome::Broken, start);
    }
    assert!(!record.takes_work(start));
    let later = start + S;
    assert!(record.takes_work(later), "a probe is due");
    record.note_sent(later);
    assert!(!record.takes_work(later + MS * 100), "one probe at a time");
    record.note(Outcome::Answered, later + MS * 200);
    assert!(record.takes_work(later + MS * 200));
}

/// Failure answers, which one route gives for a seventh of its requests, were taken for broken
/// runners, so all runners of a service got no work although they were up.
#[test]
fn record_own_failures_still_takes_work() {
    let now = Instant::now();
    let mut record = Record::default();
    for n in 0..200 {
        record.note(if n % 7 == 0 { Outcome::Failed } else { Outcome::Answered }, now);
        assert!(record.takes_work(now));
    }
    assert!(record.failure_rate() < 0.3);
}

#[test]
fn outage_return_doubts_for_a_while() {
    let start = Instant::now();
    let mut outage = Outage::default();
    assert_eq!(outage.doubt(start), None);
    assert!(outage.note_failure(start));
    assert!(!outage.note_failure(start + S));
    assert!(outage.doubt(start + S).is_some());
    assert_eq!(outage.note_answer(start + S * 2), Some(S * 2));
    assert_eq!(outage.doubt(start + S * 2 + MS), Some(start + S * 2 + DOUBT));
    assert_eq!(outage.doubt(start + S * 2 + DOUBT), None);
}

/// A runner that had left got work 2.2 s later. After a rejected call, one follower of the store
/// was served again, another hung for two more seconds and then noticed that the entry was gone; it
/// took its own first answer for the end of the outage.
#[test]
fn outage_late_follower_no_new_doubt() {
    let start = Instant::now();
    let mut outage = Outage::default();
    outage.note_failure(start);
    outage.note_answer(start + S);
    assert_eq!(outage.note_answer(start + S * 4), None);
    assert_eq!(outage.doubt(start + S * 4), None);
}

/// Guards against a runner that gets work after it has left: a node whose own path to the store had
/// failed made no further calls once others watched, and took its next answer for the end of an
/// outage.
#[test]
fn outage_others_answered_meanwhile_no_doubt() {
    let start = Instant::now();
    let mut outage = Outage::default();
    outage.note_failure(start);
    assert_eq!(outage.doubt(start), Some(start + DOUBT));
    outage.note_attested(start + MS * 100);
    assert!(!outage.note_failure(start + MS * 500), "this node is still not answered");
    for at in 1..14 {
        outage.note_attested(start + S * at);
    }
    assert_eq!(outage.doubt(start + S * 15), None);
    assert_eq!(outage.note_answer(start + S * 16), Some(S * 16));
    assert_eq!(outage.doubt(start + S * 16), None);
}

#[test]
fn outage_first_answered_other_node_ends_it() {
    let start = Instant::now();
    let mut outage = Outage::default();
    outage.note_attested(start);
    outage.note_failure(start + S);
    assert_eq!(outage.doubt(start + S * 5), Some(start + S * 5 + DOUBT));
    outage.note_attested(start + S * 5);
    outage.note_attested(start + S * 6);
    assert_eq!(outage.doubt(start + S * 6), Some(start + S * 5 + DOUBT));
    outage.note_answer(start + S * 6 + MS * 500);
    assert_eq!(outage.doubt(start + S * 6 + MS * 500), Some(start + S * 5 + DOUBT));
    assert_eq!(outage.doubt(start + S * 7), None);
}

#[test]
fn pause_failures_bounded_and_spread() {
    assert!(pause(1, 0.0) < pause(1, 1.0));
    assert!((1..100).all(|n| pause(n, 1.0) <= MS * 600));
}

#[test]
fn register_older_entry_changes_nothing() {
    let mut register = Register::default();
    assert_eq!(register.apply(entry("a", None, 5)), Changed::Added);
    let draining = Entry { state: State::Draining, ..entry("a", None, 7) };
    assert_eq!(register.apply(draining), Changed::Leaving);
    assert_eq!(register.apply(entry("a", None, 6)), Changed::None);
    assert!(!register.get(&id("a")).expect("known").takes_work(Instant::now()));
}

#[test]
fn register_missing_comes_back_or_goes() {
    let start = Instant::now();
    let mut register = Register::default();
    register.apply(entry("a", None, 1));
    register.apply(entry("b", None, 1));
    let changes = register.replace(Vec::new(), Some(start + S));
    assert!(changes.iter().all(|(_, change)| *change == Changed::Missing));
    register.apply(entry("a", None, 9));
    assert_eq!(register.expire(start + S), [id("b")]);
    assert!(register.get(&id("a")).is_some() && register.get(&id("b")).is_none());
}

/// A runner got work 5 s after it had said that it leaves, and 3 s after its entry was removed. The
/// removal was in doubt after an outage, and another node, which did not know of it, sent its old
/// entry, which was taken for a sign of the runner's return.
#[test]
fn register_missing_old_entry_again_goes() {
    let start = Instant::now();
    let mut register = Register::default();
    register.apply(entry("a", None, 5));
    assert_eq!(register.remove(&id("a"), Some(start + S)), Changed::Missing);
    assert_eq!(register.apply(entry("a", None, 5)), Changed::None);
    assert_eq!(register.expire(start + S), [id("a")]);
}

#[test]
fn register_without_doubt_gone_at_once() {
    let mut register = Register::default();
    register.apply(entry("a", None, 1));
    assert_eq!(register.remove(&id("a"), None), Changed::Removed);
    assert_eq!(register.runners().count(), 0);
}

/// A runner that had changed its stage was never used again, as the health recorded in its former
/// stage still applied.
#[test]
fn register_stage_changed_health_anew() {
    let now = Instant::now();
    let mut register = engines(1, 0);
    register.get_mut(&id("p0")).expect("known").health.note(Outcome::Gone, now);
    register.reserve(&[Tag::of(&id("p0"), None)], now + S);
    register.apply(entry("p0", Some(Stage::Decode), 2));
    assert!(register.get(&id("p0")).expect("known").takes_work(now));
}

#[test]
fn load_shares_begin_and_end_even() {
    let now = Instant::now();
    let mut register = engines(1, 0);
    let cost = WorkCost { class: Class::of_rank(1), prefill_tokens: 500, footprint: 900 };
    let registration = register.begin(&id("p0"), cost, now).expect("known");
    let load = register.get(&id("p0")).expect("known").own;
    assert_eq!((load.total(), load.tokens, load.tokens_ahead(Class::LATE)), (1, 900, 500));
    assert_eq!(load.tokens_ahead(Class::of_rank(0)), 0);
    register.note_prefilled(&registration, cost);
    register.end(&registration, cost);
    assert_eq!(register.get(&id("p0")).expect("known").own, Load::default());
}

fn in_first_class<T: Copy + Default>(count: T) -> [T; CLASSES] {
    let mut classes = [T::default(); CLASSES];
    classes[0] = count;
    classes
}

#[test]
fn remote_loads_prompt_in_prefill_half_counts() {
    let start = Instant::now();
    let mut others = RemoteLoads::default();
    let load = Load {
        requests: in_first_class(2),
        backlog: in_first_class(10_000),
        prompts: in_first_class(1),
        tokens: 1,
    };
    let node = "edge-1".parse().expect("an id");
    others.replace(&node, load, start);
    assert_eq!(others.sum(start, 50_000.0).backlog[0], 10_000);
    assert_eq!(others.sum(start + MS * 20, 50_000.0).backlog[0], 9_000);
    assert_eq!(
        others.sum(start + MS * 400, 50_000.0).backlog[0],
        5_000,
        "the prompt is not known to be prefilled"
    );
    // Prompts that wait behind it count in full, however old the report is.
    let waits = Load { backlog: in_first_class(6_000), ..load };
    others.replace(&"edge-2".parse().expect("an id"), waits, start);
    assert_eq!(others.sum(start + S, 50_000.0).backlog[0], 16_000 - 4_000);
    assert_eq!(
        others.sum(start + S * 2, 50_000.0),
        Load::default(),
        "reports of a silent node expire"
    );
}

#[test]
fn pace_learns_within_range() {
    let mut pace = Pace::default();
    for _ in 0..400 {
        pace.learn(0.1 * pace.factor(), 0.1, 0.13);
    }
    assert!((1.2..1.4).contains(&pace.factor()), "{}", pace.factor());
    for _ in 0..1000 {
        pace.learn(0.1, 1.0, 100.0);
    }
    assert!(pace.factor() <= 8.0);
}

/// The bound holds over all nodes in any window: each node spends all it is granted, some restart
/// and lose their state, some are partitioned and still count the others.
#[test]
fn budget_any_window_within_bounds() {
    let bounds = Bounds { ratio: 0.2, allowance: 52.0, window: S * 10 };
    let start = Instant::now();
    let nodes = 6;
    let mut budgets: Vec<Budget> = (0..nodes).map(|_| Budget::new(bounds, start)).collect();
    let (mut requests, mut extras) = (Vec::new(), Vec::new());
    for step in 0..6_000u32 {
        let now = start + MS * 10 * step;
        let at = (step as usize * 7) % nodes;
        if step % 1_300 == 900 {
            // All nodes restart at once.
            budgets = (0..nodes).map(|_| Budget::new(bounds, now)).collect();
        }
        if step % 3 != 0 {
            budgets[at].note_request(now);
            requests.push(now);
        }
        while budgets[at].take(now, nodes) {
            extras.push(now);
        }
    }
    for from in (0..5_000u64).step_by(50) {
        let from = start + MS * 10 * u32::try_from(from).expect("small");
        let within = |at: &&Instant| **at >= from && **at < from + S * 10;
        let spent = extras.iter().filter(within).count() as f64;
        // The requests may be those of the window before.
        let earlier = |at: &&Instant| **at >= from - S * 10 && **at < from;
        let most =
            requests.iter().filter(within).count().max(requests.iter().filter(earlier).count());
        let allowed = most as f64 * bounds.ratio + bounds.allowance;
        assert!(spent <= allowed, "{spent} of {allowed}");
    }
    assert!(extras.len() > 500, "the budget can be used");
}

/// Shows that the test above can fail: the bound is exceeded if a restarted node has its allowance
/// at once.
#[test]
fn budget_allowance_at_start_would_break() {
    let bounds = Bounds { ratio: 0.0, allowance: 52.0, window: S * 10 };
    let start = Instant::now();
    let mut fresh = Budget::new(bounds, start);
    assert!(!fresh.take(start, 1), "a restarted node has no allowance");
    let mut grown = Budget::new(bounds, start);
    let later = start + S * 10;
    let granted = std::iter::repeat_with(|| grown.take(later, 1)).take_while(|g| *g).count();
    assert!(granted * 2 > 52, "{granted}: twice in one window is over the bound");
}

#[test]
fn terms_retry_objective_over() {
    let route = route("a.example", "/");
    let first = Terms::new(&route, S * 5, Wait::default(), 1.0);
    assert!(first.on_time(0.4) && !first.on_time(0.5) && !first.is_retry);
    let back = Terms::new(&route, S * 3, Wait { before: S * 2, here: MS }, 1.0);
    assert!(back.is_retry && !back.on_time(0.0));
    assert!(back.is_useful(1.2, 1.0) && !first.is_useful(1.2, 1.0), "retries are admitted first");
    assert!(!back.is_useful(2.9, 0.0));
}

/// Short first attempts were queued behind all others, and were late although runners were idle:
/// callers of one route wait for between 0.85 of the maximum time and all of it, and the difference
/// to the maximum was taken for time already waited.
#[test]
fn deadlines_spread_first_attempts_have_not_waited() {
    let mut deadlines = Deadlines::default();
    let mut rng = StdRng::seed_from_u64(5);
    let mut draw = || Duration::from_millis(rng.random_range(2_550..3_000));
    for _ in 0..300 {
        deadlines.note(draw());
    }
    assert!((0..200).all(|_| deadlines.note(draw()).is_zero()));
}

/// Retries are still distinguished from first attempts when a third of all requests are retries.
#[test]
fn deadlines_retry_has_waited() {
    let mut deadlines = Deadlines::default();
    let mut rng = StdRng::seed_from_u64(6);
    for n in 0..2_000 {
        let first = rng.random_range(2_550..3_000);
        let retry = n % 3 == 0;
        let waited = if retry { rng.random_range(300..1_300) } else { 0 };
        let seen = deadlines.note(Duration::from_millis(first - waited));
        if n < 400 {
            continue;
        }
        if !retry {
            assert!(seen.is_zero(), "a first attempt of {first} ms has waited {seen:?}");
        } else if waited > 600 {
            let error = seen.as_millis().abs_diff(u128::from(waited));
            assert!(error < 350, "{seen:?} for {waited} ms");
        }
    }
}

/// If all callers allow the same time, any difference is time already waited.
#[test]
fn deadlines_equal_any_less_has_waited() {
    let mut deadlines = Deadlines::default();
    for _ in 0..100 {
        assert!(deadlines.note(S * 5).is_zero());
    }
    let waited = deadlines.note(MS * 4_500);
    assert!(waited > MS * 350 && waited < MS * 650, "{waited:?}");
}

#[test]
fn terms_long_work_may_wait_longer() {
    let route = route("a.example", "/");
    let terms = |size| Terms::new(&route, S * 5, Wait::default(), size);
    let (short, long) = (terms(0.2), terms(2.5));
    assert!(long.is_useful(2.0, 0.8) && !short.is_useful(2.0, 0.8));
}

#[test]
fn retry_delay_within_time_left() {
    let terms = Terms::new(&route("a.example", "/"), S * 3, Wait { before: S * 2, here: MS }, 1.0);
    let mut rng = StdRng::seed_from_u64(3);
    for first in [0.0, 0.3, 2.0, 50.0] {
        let after = terms.retry_delay(first, &mut rng);
        assert!(after > Duration::ZERO && after <= S, "{after:?}");
    }
}

#[test]
fn urgency_follows_classes() {
    let classes = [Class::of_rank(0), Class::of_rank(1), Class::of_rank(9), Class::LATE];
    assert!(classes.windows(2).all(|w| urgency(w[0]) < urgency(w[1])));
    assert!(urgency(Class::LATE) <= 9);
}

/// Guards against losing the order of routes where accounts have ranks: urgent work of an account
/// was then queued behind its other work.
#[test]
fn class_orders_by_account_then_route() {
    let class = |account, route| Class::of(Rank { account, route });
    let ordered = [
        class(Some(0), 0),
        class(Some(0), 2),
        class(Some(1), 0),
        class(Some(1), 1),
        class(None, 1),
        class(Some(1), 2),
        class(Some(2), 0),
        class(Some(9), 9),
        Class::LATE,
    ];
    assert!(ordered.is_sorted(), "{ordered:?}");
    assert!(class(Some(1), 0) < class(Some(1), 1) && class(Some(1), 1) < class(Some(1), 2));
    assert_eq!(class(None, 2), Class::of_rank(2));
    let routes = [Class::of_rank(0), Class::of_rank(1), Class::of_rank(2), Class::LATE];
    assert!(routes.windows(2).all(|pair| pair[0] < pair[1]), "{routes:?}");
}

#[test]
fn sizes_against_mean() {
    let mut sizes = MeanSize::default();
    for _ in 0..100 {
        sizes.note(1_000);
    }
    assert!((sizes.note(4_000) - 3.9).abs() < 0.2);
}

#[test]
fn generation_idle_split_at_cached_prefix() {
    let now = Instant::now();
    let mut register = engines(3, 3);
    let work = work("manual", 13_000, 3_000);
    register.get_mut(&id("p1")).expect("known").cache.note(&work.chain, Progress::Prefilled, now);
    let placed = choose(&register, Class::of_rank(2), &work, now).expect("a place");
    assert!(matches!(&placed.plan, Plan::Split { prefill, .. } if *prefill == id("p1")));
    assert!(placed.prefill_tokens == 0 && placed.first_event < 0.1, "{placed:?}");
}

/// All nodes start an uncached chain on the same runner, whatever their random draws.
#[test]
fn generation_new_chain_same_runner() {
    let register = engines(5, 3);
    let work = work("new", 13_000, 3_000);
    let (service, home) = (service(), home());
    let now = Instant::now();
    let class = Class::of_rank(0);
    let criteria = Criteria {
        objective: None,
        service: &service,
        pool: None,
        class,
        data_centre: &home,
        skip: &[],
        version: None,
        continues: false,
        now,
    };
    let placed = |seed| {
        let mut rng = StdRng::seed_from_u64(seed);
        placement::place_generation(&register, &criteria, &ENGINE, &work, &mut rng)
            .expect("a place")
            .plan
    };
    let prefill = |plan: Plan| match plan {
        Plan::Split { prefill, .. } => prefill,
        Plan::Whole { runner } => runner,
    };
    let first = prefill(placed(0));
    assert!((1..50).all(|seed| prefill(placed(seed)) == first));
}

/// The most urgent streams started 300 ms late in a burst, as late long prompts were prefilled on
/// the runners where those streams were to start, and a runner finishes a prompt it has started.
/// Late work must stay on runners that get no urgent work.
#[test]
fn generation_late_work_apart_from_urgent() {
    let now = Instant::now();
    let mut register = engines(4, 5);
    let mut late = Vec::new();
    for n in 0..40 {
        let work = work(&format!("late{n}"), 20_000, 10_000);
        let Some(placed) = choose(&register, Class::LATE, &work, now) else { continue };
        let reader = match &placed.plan {
            Plan::Whole { runner } => runner.clone(),
            Plan::Split { prefill, .. } => prefill.clone(),
        };
        let cost = WorkCost {
            class: Class::LATE,
            prefill_tokens: placed.prefill_tokens,
            footprint: work.footprint(),
        };
        register.begin(&reader, cost, now);
        late.push(reader);
    }
    late.sort();
    late.dedup();
    assert!(late.len() >= 3, "late work uses several runners: {late:?}");
    for n in 0..40 {
        let work = work(&format!("urgent{n}"), 300, 1_000);
        let placed = choose(&register, Class::of_rank(0), &work, now).expect("a place");
        let Plan::Split { prefill, decode } = &placed.plan else { panic!("{placed:?}") };
        assert!(
            !late.contains(prefill) && !late.contains(decode),
            "{placed:?} shares a runner with late work: {late:?}"
        );
        assert!(placed.first_event < 0.15, "{placed:?}");
    }
}

#[test]
fn generation_no_prefill_runner_whole() {
    let register = engines(0, 2);
    let placed = choose(&register, Class::of_rank(0), &work("a", 300, 100), Instant::now());
    assert!(matches!(placed.expect("a place").plan, Plan::Whole { .. }));
    let late = choose(&register, Class::LATE, &work("a", 300, 100), Instant::now());
    assert!(late.is_some());
}

#[test]
fn generation_no_decode_runner_none() {
    let register = engines(3, 0);
    assert_eq!(choose(&register, Class::of_rank(0), &work("a", 300, 100), Instant::now()), None);
    assert_eq!(choose(&Register::default(), Class::LATE, &work("a", 1, 1), Instant::now()), None);
}

#[test]
fn generation_all_probed_still_served() {
    let now = Instant::now();
    let mut register = engines(1, 1);
    for name in ["p0", "d0"] {
        let health = &mut register.get_mut(&id(name)).expect("known").health;
        (0..3).for_each(|_| health.note(Outcome::Broken, now));
    }
    assert!(choose(&register, Class::of_rank(0), &work("a", 300, 100), now).is_some());
}

#[test]
fn decode_leaving_runner_never() {
    let now = Instant::now();
    let mut register = engines(1, 2);
    register.apply(Entry { state: State::Draining, ..entry("d0", Some(Stage::Decode), 2) });
    let (service, home) = (service(), home());
    let class = Class::of_rank(0);
    let criteria = Criteria {
        objective: None,
        service: &service,
        pool: None,
        class,
        data_centre: &home,
        skip: &[],
        version: None,
        continues: false,
        now,
    };
    let work = work("a", 300, 100);
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let chosen =
            placement::place_decode(&register, &criteria, &ENGINE, &work, &id("p0"), &mut rng);
        assert_eq!(chosen, Some(id("d1")));
    }
}

/// Short requests that had been prefilled in time waited a quarter of a second for their first
/// event, and runners rejected them while others had free slots. This happened in bursts of short
/// prompts on runners with small batches: only runners without prefill work were used for decoding
/// after a split, and their batch slots were not counted.
#[test]
fn decode_batches_full_others_go_on() {
    let now = Instant::now();
    let mut register = engines(2, 6);
    let small = Engine { slots: 16, ..ENGINE };
    let (service, home, class) = (service(), home(), Class::of_rank(0));
    let mut rng = StdRng::seed_from_u64(2);
    for _ in 0..90 {
        let criteria = Criteria {
            objective: None,
            service: &service,
            pool: None,
            class,
            data_centre: &home,
            skip: &[],
            version: None,
            continues: false,
            now,
        };
        let work = work("a", 300, 100);
        let chosen =
            placement::place_decode(&register, &criteria, &small, &work, &id("p0"), &mut rng);
        let cost = WorkCost { class, prefill_tokens: 0, footprint: 400 };
        register.begin(&chosen.expect("a place"), cost, now);
    }
    let loads = (0..6).map(|at| register.get(&id(&format!("d{at}"))).expect("known").own.total());
    assert!(loads.clone().all(|load| load <= 18), "{:?}", loads.collect::<Vec<_>>());
}

/// Urgent requests were rejected by runners and used up the retry budget: late work was sent as
/// long as its caller would wait, and filled the queues of the runners.
#[test]
fn generation_queues_long_no_late_work() {
    let now = Instant::now();
    let mut register = engines(2, 4);
    let small = Engine { slots: 4, ..ENGINE };
    let (service, home) = (service(), home());
    let criteria = |class| Criteria {
        objective: None,
        service: &service,
        pool: None,
        class,
        data_centre: &home,
        skip: &[],
        version: None,
        continues: false,
        now,
    };
    let work = work("a", 300, 100);
    let late = WorkCost { class: Class::LATE, prefill_tokens: 0, footprint: 400 };
    let mut sent = 0;
    let mut rng = StdRng::seed_from_u64(2);
    while let Some(placed) =
        placement::place_generation(&register, &criteria(Class::LATE), &small, &work, &mut rng)
    {
        let (Plan::Split { decode, .. } | Plan::Whole { runner: decode }) = placed.plan;
        register.begin(&decode, late, now);
        sent += 1;
        assert!(sent <= 40, "the queues never fill up");
    }
    assert_eq!(sent, 4 * 8, "two for each slot");
    let urgent = Class::of_rank(0);
    assert!(
        placement::place_generation(&register, &criteria(urgent), &small, &work, &mut rng)
            .is_some()
    );
    // Work whose prompt has been prefilled continues nevertheless.
    let reader = id("p0");
    let on = placement::place_decode(
        &register,
        &criteria(Class::LATE),
        &small,
        &work,
        &reader,
        &mut rng,
    );
    assert!(on.is_some());
}

/// Short prompts waited three times as long as predicted in bursts at one runner: their tokens were
/// counted, but not that each takes at least one step.
#[test]
fn wait_many_short_prompts_longer_than_one_long() {
    let now = Instant::now();
    let class = Class::of_rank(0);
    let waits = |prompts: u64| {
        let mut register = engines(1, 0);
        let cost = WorkCost { class, prefill_tokens: 6_000 / prompts, footprint: 1 };
        (0..prompts).for_each(|_| drop(register.begin(&id("p0"), cost, now)));
        let runner = register.get(&id("p0")).expect("known");
        runner.wait(&runner.load(now), class)
    };
    assert!(waits(20) > waits(1) * 1.5, "{} for {}", waits(20), waits(1));
}

/// Urgent requests were refused or queued as late although a runner would have started them at
/// once: late requests waiting for a batch slot were counted as if they came first.
#[test]
fn wait_for_slot_less_urgent_overtaken() {
    let now = Instant::now();
    let mut register = engines(0, 1);
    let late = WorkCost { class: Class::LATE, prefill_tokens: 0, footprint: 1 };
    (0..40).for_each(|_| drop(register.begin(&id("d0"), late, now)));
    let runner = register.get(&id("d0")).expect("known");
    let load = runner.load(now);
    let urgent = runner.wait_for_slot(&load, Class::of_rank(0), 16);
    assert!(urgent > 0.0 && urgent <= runner.stream_time / 16.0);
    let behind = runner.wait_for_slot(&load, Class::LATE, 16);
    assert!(behind >= runner.stream_time * 25.0 / 16.0);
    assert_eq!(runner.wait_for_slot(&load, Class::LATE, 64), 0.0);
}

#[test]
fn plain_failing_runner_gets_less() {
    let now = Instant::now();
    let mut register = Register::default();
    register.apply(entry("a", None, 1));
    register.apply(entry("b", None, 1));
    for _ in 0..10 {
        register.get_mut(&id("a")).expect("known").health.note(Outcome::Failed, now);
    }
    let (service, home) = (service(), home());
    let class = Class::of_rank(0);
    let criteria = Criteria {
        objective: None,
        service: &service,
        pool: None,
        class,
        data_centre: &home,
        skip: &[],
        version: None,
        continues: false,
        now,
    };
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let chosen = placement::place_plain(&register, &criteria, &mut rng).expect("a runner");
        assert_eq!(chosen.runner, id("b"));
    }
}

fn demand(rate: u64, streams: u32, held: u64) -> Demand {
    let start = Instant::now();
    let mut demand = Demand::default();
    (0..streams).for_each(|_| demand.begin(held));
    for n in 0..60 {
        demand.tick(start + MS * 250 * n);
        demand.note(rate / 4);
    }
    demand
}

fn division(prefill: usize, decode: usize) -> StageCounts {
    StageCounts { prefill, decode, to_prefill: 0, to_decode: 0 }
}

#[test]
fn decide_prefill_demand_to_prefill() {
    let demand = demand(60_000, 5, 10_000);
    let change = balance::decide(division(4, 5), &demand, 6, ENGINE.memory, &Capacity::default());
    assert_eq!(change, Some(Change { to: Stage::Prefill, count: 2, urgent: false }));
    assert_eq!(
        balance::decide(division(6, 3), &demand, 6, ENGINE.memory, &Capacity::default()),
        None
    );
}

#[test]
fn decide_no_demand_no_change() {
    assert_eq!(
        balance::decide(division(4, 5), &demand(0, 0, 0), 6, ENGINE.memory, &Capacity::default()),
        None
    );
    assert_eq!(
        balance::decide(
            division(1, 1),
            &demand(90_000, 1, 1),
            6,
            ENGINE.memory,
            &Capacity::default()
        ),
        None
    );
}

/// A fleet that had lost two runners changed five more from prefill to decode within six seconds,
/// and served half. Requests that waited for their prefill were counted as streams, so the longer
/// waits caused by fewer prefill runners reduced their number further.
#[test]
fn decide_waiting_requests_no_streams() {
    let waiting = demand(80_000, 8, 10_000);
    let change = balance::decide(division(5, 2), &waiting, 6, ENGINE.memory, &Capacity::default());
    assert_eq!(change, None);
}

#[test]
fn decide_many_streams_one_at_a_time() {
    let busy = demand(1_000, 60, 8_000);
    let change = balance::decide(division(6, 3), &busy, 6, ENGINE.memory, &Capacity::default());
    assert_eq!(change, Some(Change { to: Stage::Decode, count: 1, urgent: false }));
    let under_way = StageCounts { to_decode: 5, ..division(4, 3) };
    assert_eq!(balance::decide(under_way, &busy, 6, ENGINE.memory, &Capacity::default()), None);
}

/// All requests were refused for four seconds although runners were idle. Two decode runners had
/// been changed to prefill, then the others were replaced or crashed, and the change back was
/// rejected as too early.
#[test]
fn decide_no_decode_runner_urgent() {
    let change = balance::decide(
        division(6, 0),
        &demand(50_000, 5, 10_000),
        6,
        ENGINE.memory,
        &Capacity::default(),
    );
    assert_eq!(change, Some(Change { to: Stage::Decode, count: 2, urgent: true }));
    let alone = balance::decide(
        division(2, 0),
        &demand(50_000, 5, 10_000),
        6,
        ENGINE.memory,
        &Capacity::default(),
    );
    assert_eq!(alone, None, "two runners are too few to change the stage of one");
}

#[test]
fn generation_cached_elsewhere_fetched() {
    let now = Instant::now();
    let mut register = engines(3, 3);
    let work = work("manual", 13_000, 3_000);
    register.get_mut(&id("p1")).expect("known").cache.note(&work.chain, Progress::Prefilled, now);
    let cost = WorkCost { class: Class::of_rank(0), prefill_tokens: 60_000, footprint: 60_000 };
    register.begin(&id("p1"), cost, now);
    let own = Work { prompt: work.prompt, ..work.clone() };
    let placed = choose(&register, Class::of_rank(0), &own, now).expect("a place");
    assert!(!matches!(&placed.plan, Plan::Split { prefill, .. } if *prefill == id("p1")));
    assert_eq!((placed.fetch.clone(), placed.prefill_tokens), (Some(id("p1")), 0));
    assert!(placed.first_event < 0.15, "{placed:?}");
}

#[test]
fn generation_little_cached_elsewhere_prefilled() {
    let now = Instant::now();
    let mut register = engines(2, 2);
    let work = work("short", 500, 100);
    register.get_mut(&id("p1")).expect("known").cache.note(&work.chain, Progress::Prefilled, now);
    let cost = WorkCost { class: Class::of_rank(0), prefill_tokens: 60_000, footprint: 60_000 };
    register.begin(&id("p1"), cost, now);
    let placed = choose(&register, Class::of_rank(0), &work, now).expect("a place");
    assert_eq!(placed.fetch, None);
}

/// One third of all prefill was for shared prompts that another runner was already prefilling. A
/// prompt counted as cached only once its prefill was complete, so a second request that arrived
/// meanwhile was prefilled elsewhere. It must wait where the first one is prefilled.
#[test]
fn generation_prompt_in_prefill_same_runner() {
    let now = Instant::now();
    let mut register = engines(6, 4);
    let first = work("manual", 13_000, 3_000);
    let placed = choose(&register, Class::of_rank(2), &first, now).expect("a place");
    let Plan::Split { prefill, .. } = placed.plan else { panic!("{placed:?}") };
    let cost = WorkCost {
        class: Class::of_rank(2),
        prefill_tokens: placed.prefill_tokens,
        footprint: 16_000,
    };
    register.begin(&prefill, cost, now);
    let runner = register.get_mut(&prefill).expect("known");
    runner.cache.note(&first.chain, Progress::Started, now);
    let second = work("manual", 13_000, 2_000);
    let placed = choose(&register, Class::of_rank(2), &second, now + MS * 10).expect("a place");
    let same_runner = matches!(&placed.plan, Plan::Split { prefill: p, .. } if *p == prefill);
    assert!(same_runner && placed.prefill_tokens == 2_000 && placed.fetch.is_none(), "{placed:?}");
}

/// A prompt whose prefill is in progress cannot be fetched: the fetch would find nothing.
#[test]
fn cache_started_part_not_fetchable() {
    let now = Instant::now();
    let (mut cache, work) = (Cache::default(), work("a", 1_000, 50));
    cache.note(&work.chain, Progress::Started, now);
    assert_eq!((cache.cached(&work.chain, now + S), cache.fetchable(&work.chain)), (1_050, 0));
    assert_eq!(cache.cached(&work.chain, now + S * 3), 0, "the prefill has been cancelled");
    cache.note(&work.chain, Progress::Prefilled, now + S);
    cache.note(&work.chain, Progress::Started, now + S * 2);
    assert_eq!(cache.fetchable(&work.chain), 1_050, "a complete prefill stays complete");
}

/// Requests of one category share the start of their prompts. Their affinity is determined by the
/// last shared part; by the first part, a whole category would be placed on the same runner.
#[test]
fn generation_common_start_many_runners() {
    let now = Instant::now();
    let register = engines(12, 4);
    let plans: std::collections::HashSet<String> = (0..40)
        .map(|n| {
            let (part, own) = (format!("thing{n}"), format!("own{n}"));
            let parts = [("start", 2_500), (part.as_str(), 3_800), (own.as_str(), 2_900)];
            let work =
                Work { chain: Chain::new("m", parts.into_iter()), prompt: 9_200, output: 10 };
            let placed = choose(&register, Class::of_rank(1), &work, now).expect("a place");
            placed.plan.to_string() + &format!("{:?}", placed.plan)
        })
        .collect();
    assert!(plans.len() >= 8, "{plans:?}");
}

/// The retry budget was exhausted in bursts: late prompts that waited behind later urgent ones
/// exceeded a multiple of their prediction, which cannot include later arrivals, and were prefilled
/// again elsewhere.
#[test]
fn prefill_timeout_late_work_only_by_time_left() {
    assert_eq!(timeout::prefill(Class::LATE, 0.1, S * 2), S * 2);
    assert_eq!(timeout::prefill(Class::of_rank(0), 0.1, S * 2), MS * 700);
    assert_eq!(timeout::prefill(Class::of_rank(0), 0.1, MS * 300), MS * 300);
}

#[test]
fn stall_timeout_long_pauses_longer() {
    assert_eq!(timeout::stall(MS * 100, 0.5), MS * 1_500);
    assert_eq!(timeout::stall(S, 0.0), MS * 2_500);
    assert_eq!(timeout::stall(S, f64::MAX), MS * 12_500);
}

/// Callers of long prompts gave up after two seconds while most prefill runners were idle: in a
/// burst of prompts that could not be on time, all waited for the few runners reserved for late
/// work. Late work uses these first, then idle ones of the others, half of which stay free.
#[test]
fn generation_late_runners_busy_idle_used() {
    let now = Instant::now();
    let mut register = engines(9, 3);
    let mut prefill_runners = Vec::new();
    for n in 0..12 {
        let work = work(&format!("late{n}"), 40_000, 10_000);
        let placed = choose(&register, Class::LATE, &work, now).expect("a place");
        let Plan::Split { prefill, .. } = placed.plan else { panic!("{placed:?}") };
        let cost = WorkCost {
            class: Class::LATE,
            prefill_tokens: placed.prefill_tokens,
            footprint: 50_000,
        };
        register.begin(&prefill, cost, now);
        prefill_runners.push(prefill);
    }
    let distinct = |some: &[RunnerId]| some.iter().collect::<std::collections::HashSet<_>>().len();
    assert_eq!(
        distinct(&prefill_runners[..6]),
        6,
        "no prompt waits while idle runners are available: {prefill_runners:?}"
    );
    assert_eq!(distinct(&prefill_runners), 6, "three runners stay free: {prefill_runners:?}");
}

/// Of prompts believed to have been cached for more than eight seconds, six in ten were prefilled
/// again; of those cached for less than four, one in four. Other nodes sent requests with parts of
/// their own, which evicted the shared prompt, but reported only shared parts, so the runner's
/// memory was assumed to fill at a third of the actual rate.
#[test]
fn apply_prefill_report_own_parts_evict_shared() {
    let now = Instant::now();
    let mut register = engines(1, 1);
    let runner = register.get_mut(&id("p0")).expect("known");
    runner.cache.set_memory(50_000);
    let shared = work("manual", 13_000, 100).chain;
    runner.cache.note(&shared, Progress::Prefilled, now);
    for n in 0..10 {
        let other = work(&format!("doc{}", n % 2), 2_000, 4_000 + n).chain;
        for part in &other.0 {
            let report = PrefillReport {
                runner: Tag::of(&id("p0"), None),
                part: *part,
                progress: Progress::Prefilled,
            };
            register.apply_prefill_report(report, now + S * (1 + n as u32));
        }
    }
    let runner = register.get(&id("p0")).expect("known");
    assert_eq!(runner.cache.cached(&shared, now + S * 11), 0);
    assert_eq!(runner.cache.cached(&work("doc1", 2_000, 1).chain, now + S * 11), 2_000);
}
