//! Tests of pools and of the decisions of a pool's scheduler.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use rand::SeedableRng as _;
use rand::rngs::StdRng;
use sardinepick_lib::fleet::admission::Terms;
use sardinepick_lib::fleet::cache::{Chain, ChainKey};
use sardinepick_lib::fleet::engine::{Engine, Stage, Work};
use sardinepick_lib::fleet::health::Outcome;
use sardinepick_lib::fleet::holding::runner::{Room, share};
use sardinepick_lib::fleet::load::{Class, Load};
use sardinepick_lib::fleet::placement::{Plan, Plans};
use sardinepick_lib::fleet::pool::{self, MAX_RUNNERS, Pool};
use sardinepick_lib::fleet::register::{Register, WorkCost};
use sardinepick_lib::fleet::runner::{Entry, Registration, State, Tag};
use sardinepick_lib::fleet::scheduler::{self, Decision, Firmness, Observation, Query, Step};
use sardinepick_lib::fleet::share::Account;
use sardinepick_lib::hash::stable_hash;
use sardinepick_lib::history::Point;
use sardinepick_lib::id::{NodeId, RunnerId, ServiceId};

const MS: Duration = Duration::from_millis(1);

const ENGINE: Engine = Engine {
    slots: 128,
    memory: 800_000,
    token_bytes: 18_432,
    link_rate: 350e9,
    handle_ttl: Duration::from_secs(5),
    switch: Duration::from_secs(3),
};

fn service() -> ServiceId {
    "telraad".parse().expect("an id")
}

fn id(at: usize) -> RunnerId {
    format!("i-{at:x}").parse().expect("an id")
}

fn node(at: usize) -> NodeId {
    format!("edge-{at}").parse().expect("an id")
}

/// Every third runner is a prefill runner.
fn stage(at: usize) -> Stage {
    if at.is_multiple_of(3) { Stage::Prefill } else { Stage::Decode }
}

fn fleet(runners: impl IntoIterator<Item = usize>) -> Register {
    let mut register = Register::default();
    for at in runners {
        register.apply(Entry {
            id: id(at),
            born: None,
            service: service(),
            address: "127.0.0.1:1".parse().expect("an address"),
            data_centre: "zaal-dom".parse().expect("an id"),
            state: State::Ready,
            stage: Some(stage(at)),
            slots: 128,
            version: Default::default(),
            reclaimable: false,
            writes: 0,
            at: Point::without_era(1),
        });
    }
    register.assign_pools();
    register
}

fn pools(register: &Register) -> BTreeMap<RunnerId, Pool> {
    register.runners().map(|r| (r.entry.id.clone(), r.pool)).collect()
}

fn query(prompt: &str, shared: u64, own: u64) -> Query {
    let own_id = format!("{prompt}-own");
    let parts = [(prompt, shared), (own_id.as_str(), own)];
    Query {
        service: service(),
        data_centre: "zaal-dom".parse().expect("an id"),
        terms: Terms {
            class: Class::of_rank(1),
            objective: Some(MS * 800),
            left: MS * 5_000,
            patience: MS * 3_200,
            is_retry: false,
            size: 1.0,
        },
        work: Work { chain: Chain::new("m", parts.into_iter()), prompt: shared + own, output: 60 },
        skip: Default::default(),
        version: None,
        account: Account::NONE,
        waited: Duration::ZERO,
        step: Step::Start(Firmness::New),
    }
}

fn decide(register: &Register, query: &Query, now: Instant, seed: u64) -> Decision {
    scheduler::decide(register, query, &ENGINE, now, &mut StdRng::seed_from_u64(seed))
}

/// The runner that prefills the prompt.
fn prefill_runner(decision: &Decision) -> RunnerId {
    match decision {
        Decision::Placed { placement, .. } => match &placement.plan {
            Plan::Whole { runner } => runner.clone(),
            Plan::Split { prefill, .. } => prefill.clone(),
        },
        other => panic!("not placed: {other:?}"),
    }
}

#[test]
fn assign_pools_each_stage_in_equal_parts() {
    for runners in [1, 9, 24, 25, 71, 160, 1_600] {
        let register = fleet(0..runners);
        let count = register.pools(&service());
        assert_eq!(count, pool::count(runners));
        assert!(runners.div_ceil(usize::from(count)) <= MAX_RUNNERS, "{runners} runners");
        for wanted in [Stage::Prefill, Stage::Decode] {
            let of_stage = register.runners().filter(|r| r.entry.stage == Some(wanted));
            let mut sizes: HashMap<Pool, usize> = (0..count).map(|n| (Pool(n), 0)).collect();
            of_stage.for_each(|r| *sizes.entry(r.pool).or_default() += 1);
            let (least, most) = (sizes.values().min(), sizes.values().max());
            assert!(most.unwrap() - least.unwrap() <= 1, "{runners} runners: {sizes:?}");
        }
    }
}

/// After each loss of a runner, prompts were prefilled again all over the fleet: the runners were
/// divided anew and most of them moved to other pools, whose schedulers do not know what they have
/// cached.
#[test]
fn assign_pools_one_runner_gone_few_move() {
    let before = pools(&fleet(0..160));
    for gone in 0..160 {
        let after = pools(&fleet((0..160).filter(|at| *at != gone)));
        let moved = after.iter().filter(|(id, pool)| before[*id] != **pool).count();
        assert!(moved <= 7, "{moved} runners moved when {gone} went");
    }
}

#[test]
fn of_prompt_twice_the_pools_each_cut_in_two() {
    for n in 0..1_000_u64 {
        let key = ChainKey(stable_hash(n, b"prompt"));
        let (few, many) = (Pool::of_prompt(key, 4), Pool::of_prompt(key, 8));
        assert_eq!(few.0, many.0 / 2);
    }
    let pools: BTreeSet<Pool> =
        (0..1_000).map(|n| Pool::of_prompt(ChainKey(stable_hash(n, b"prompt")), 8)).collect();
    assert_eq!(pools.len(), 8, "each pool has prompts");
}

/// On a fleet of 295 nodes, the busiest runner had 2.2 times the mean load, and long prompts took
/// three times as long as predicted: within the time of one prefill, dozens of nodes placed
/// prompts, each by reports that were a second old.
#[test]
fn decide_many_nodes_one_moment_spread() {
    let (now, runners, requests) = (Instant::now(), 24, 48);
    let busiest = |placed: &[RunnerId]| {
        let mut counts: HashMap<&RunnerId, u32> = HashMap::new();
        placed.iter().for_each(|id| *counts.entry(id).or_default() += 1);
        counts.values().copied().max().unwrap_or_default()
    };
    let queries: Vec<Query> =
        (0..requests).map(|n| query(&format!("p{n}"), 2_000, 1_000)).collect();
    let mut known = fleet(0..runners);
    let by_scheduler: Vec<RunnerId> = queries
        .iter()
        .enumerate()
        .map(|(n, query)| {
            let decision = decide(&known, query, now, n as u64);
            scheduler::note(&mut known, &node(n), query, &decision, &ENGINE, now);
            prefill_runner(&decision)
        })
        .collect();
    // Each node decides by itself and does not know the others' decisions.
    let unknown = fleet(0..runners);
    let alone: Vec<RunnerId> = queries
        .iter()
        .enumerate()
        .map(|(n, query)| prefill_runner(&decide(&unknown, query, now, n as u64)))
        .collect();
    let readers = by_scheduler.iter().collect::<BTreeSet<_>>().len();
    let mean = requests as f64 / readers as f64;
    assert!(readers >= runners / 3, "every prefill runner is used: {readers}");
    assert!(f64::from(busiest(&by_scheduler)) <= mean * 2.0, "{}", busiest(&by_scheduler));
    assert!(busiest(&alone) > busiest(&by_scheduler), "{}", busiest(&alone));
}

/// Several runners prefilled the same shared part: two nodes received requests with the same long
/// prompt within its prefill time, and the second did not know that a runner had started it.
#[test]
fn note_prompt_started_next_same_runner() {
    let now = Instant::now();
    let mut register = fleet(0..24);
    let (first, second) = (query("manual", 13_000, 300), query("manual", 13_000, 500));
    let decision = decide(&register, &first, now, 1);
    scheduler::note(&mut register, &node(1), &first, &decision, &ENGINE, now);
    let next = decide(&register, &second, now + MS * 20, 2);
    assert_eq!(prefill_runner(&next), prefill_runner(&decision));
    let Decision::Placed { placement, .. } = next else { panic!("not placed") };
    assert_eq!(placement.prefill_tokens, 500);
}

/// A runner looked busy for ever, or idle while it was not: loads were reported as differences, and
/// a message was lost, duplicated or late. Reports are absolute.
#[test]
fn take_report_in_place_of_what_was_placed() {
    let now = Instant::now();
    let mut register = fleet(0..3);
    let query = query("a", 1_000, 1_000);
    let decision = decide(&register, &query, now, 1);
    let id = prefill_runner(&decision);
    let tag = Tag::of(&id, None);
    let total = |register: &Register| register.get(&id).expect("known").load(now).total();
    // The reply is lost: the node asks again, and the work is counted twice.
    scheduler::note(&mut register, &node(1), &query, &decision, &ENGINE, now);
    scheduler::note(&mut register, &node(1), &query, &decision, &ENGINE, now);
    assert_eq!(total(&register), 2);
    let mut one = Load { tokens: 2_000, ..Load::default() };
    one.requests[1] = 1;
    for _ in 0..2 {
        register.apply_load_report(&node(1), &[(tag, one)], now);
        assert_eq!(total(&register), 1, "the report replaces what was counted");
    }
    register.apply_load_report(&node(2), &[(tag, one)], now);
    assert_eq!(total(&register), 2);
    register.apply_load_report(&node(1), &[(tag, Load::default())], now);
    assert_eq!(total(&register), 1);
    assert_eq!(register.get(&id).expect("known").load(now + MS * 2_000).total(), 0);
}

#[test]
fn decide_none_of_the_pool_left_another_pool_serves() {
    let now = Instant::now();
    let mut register = fleet(0..60);
    let query = query("a", 1_000, 1_000);
    let pool = register.pool_of(&query.service, &query.work);
    let of_pool: Vec<RunnerId> =
        register.runners().filter(|r| r.pool == pool).map(|r| r.entry.id.clone()).collect();
    for id in &of_pool {
        register.get_mut(id).expect("known").learn(Observation::Outcome(Outcome::Gone), now);
    }
    assert!(!of_pool.contains(&prefill_runner(&decide(&register, &query, now, 1))));
}

#[test]
fn decide_too_late_work_refused_at_once() {
    let now = Instant::now();
    let mut register = fleet(0..3);
    let flood = query("flood", 200_000, 200_000);
    for n in 0..40 {
        let firm = Query { step: Step::Start(Firmness::HasRun), ..flood.clone() };
        let decision = decide(&register, &firm, now, n);
        scheduler::note(&mut register, &node(1), &firm, &decision, &ENGINE, now);
    }
    assert!(matches!(decide(&register, &query("a", 9_000, 9_000), now, 1), Decision::Late(_)));
    let firm = Query { step: Step::Start(Firmness::HasRun), ..query("a", 9_000, 9_000) };
    let Decision::Placed { class, .. } = decide(&register, &firm, now, 1) else {
        panic!("a request that has run is placed as late work rather than refused");
    };
    assert_eq!(class, Class::LATE);
}

/// When one runner had stalled for a moment, the rest of its pool was overloaded: a few slow
/// answers, reported by all nodes at once, made it count as several times as slow.
#[test]
fn learn_slow_answers_of_short_prompts_pace_stays() {
    let now = Instant::now();
    let mut register = fleet(0..3);
    let runner = register.get_mut(&id(0)).expect("known");
    for _ in 0..30 {
        runner.learn(
            Observation::Prefill { predicted: 0.1, prefill: 0.01, seen: 0.5, basis: None },
            now,
        );
    }
    assert!(runner.pace.factor() < 1.25, "{}", runner.pace.factor());
}

/// Only two in five of the largest prompts were answered, of all prompts nine in ten. An engine
/// prefilled at half the assumed speed, and long prompts were started where they took longer than a
/// caller waits, as the pace was learned from short prompts, most of whose time is not prefill.
#[test]
fn learn_long_prompts_slow_engine_found() {
    let now = Instant::now();
    let mut register = fleet(0..3);
    let runner = register.get_mut(&id(0)).expect("known");
    for _ in 0..10 {
        let pace = runner.pace.factor();
        for _ in 0..20 {
            runner.learn(
                Observation::Prefill { predicted: 0.06, prefill: 0.006, seen: 0.06, basis: None },
                now,
            );
        }
        let predicted = 0.5 * pace;
        runner.learn(
            Observation::Prefill { predicted, prefill: predicted, seen: 1.0, basis: None },
            now,
        );
    }
    assert!(runner.pace.factor() > 1.5, "{}", runner.pace.factor());
}

/// Requests were placed by two schedulers long after one of them had joined, as nodes made
/// different choices among the same nodes.
#[test]
fn holder_any_order_same_and_moves_little() {
    let nodes: Vec<NodeId> = (0..300).map(node).collect();
    let service = service();
    let of = |nodes: &[NodeId], pool| {
        scheduler::choose_scheduler(&service, Pool(pool), nodes.iter())
            .expect("there are nodes")
            .clone()
    };
    let backwards: Vec<NodeId> = nodes.iter().rev().cloned().collect();
    let held: BTreeSet<NodeId> = (0..8).map(|pool| of(&nodes, pool)).collect();
    assert!(held.len() >= 7, "few nodes schedule two pools");
    for pool in 0..8 {
        assert_eq!(of(&nodes, pool), of(&backwards, pool));
        let others: Vec<NodeId> = nodes
            .iter()
            .filter(|node| !held.contains(*node) || **node == of(&nodes, pool))
            .cloned()
            .collect();
        assert_eq!(of(&others, pool), of(&nodes, pool), "only a node that is gone is replaced");
    }
}

/// The tokens that the nodes together have sent to each runner, by the registers of the nodes.
fn sent_tokens(nodes: &[Register]) -> BTreeMap<RunnerId, u64> {
    let mut sent: BTreeMap<RunnerId, u64> = BTreeMap::new();
    for runner in nodes.iter().flat_map(Register::runners) {
        *sent.entry(runner.entry.id.clone()).or_default() += runner.own.tokens;
    }
    sent
}

/// Sends the work of a query as a node does, and then continues it on a decode runner. Returns the
/// number of decisions that placed something.
fn send(register: &mut Register, query: &Query, room: Room<'_>, now: Instant, seed: u64) -> usize {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut decide = |register: &Register, query: &Query| {
        scheduler::decide_within(register, query, &ENGINE, Plans::Any, room, now, &mut rng)
    };
    let start = decide(register, query);
    let Some((runner, cost)) = start.cost(&query.work, &query.step) else { return 0 };
    register.begin(runner, cost, now);
    let Decision::Placed { placement, class } = &start else { return 1 };
    let Plan::Split { prefill, .. } = &placement.plan else { return 1 };
    let step = Step::Continue { prefill_runner: prefill.clone(), class: *class };
    let query = Query { step, ..query.clone() };
    let next = decide(register, &query);
    let Some((runner, cost)) = next.cost(&query.work, &query.step) else { return 1 };
    register.begin(runner, cost, now);
    2
}

/// Guards against runners that end because 65 nodes, none of which knows what the others have sent
/// in the last 200 ms, together send them more than they can hold.
#[test]
fn decide_within_65_nodes_alone_runners_hold_all() {
    let now = Instant::now();
    let ids: Vec<NodeId> = (0..65).map(node).collect();
    let mut nodes: Vec<Register> = ids.iter().map(|_| fleet(0..60)).collect();
    let mut placed = vec![0; nodes.len()];
    for turn in 0..20 {
        for (at, register) in nodes.iter_mut().enumerate() {
            let others = ids.iter().filter(|other| **other != ids[at]);
            let share = |runner: &RunnerId| share(runner, &ids[at], others.clone());
            let mut query = query(&format!("p{at}-{turn}"), 10_000, 7_000);
            query.step = Step::Start(Firmness::Streaming);
            placed[at] += send(register, &query, Room::Share(&share), now, turn);
        }
    }
    let sent = sent_tokens(&nodes);
    assert!(sent.values().all(|tokens| *tokens <= ENGINE.memory), "{sent:?}");
    let nothing = placed.iter().filter(|placed| **placed == 0).count();
    assert!(nothing <= 3, "{nothing} nodes placed nothing: {placed:?}");
    // Without the bound the same work exceeds what the runners hold.
    let mut nodes: Vec<Register> = ids.iter().map(|_| fleet(0..60)).collect();
    for (at, register) in nodes.iter_mut().enumerate() {
        for turn in 0..20 {
            let mut query = query(&format!("p{at}-{turn}"), 10_000, 7_000);
            query.step = Step::Start(Firmness::Streaming);
            send(register, &query, Room::Preferred, now, turn);
        }
    }
    assert!(sent_tokens(&nodes).values().any(|tokens| *tokens > ENGINE.memory));
}

/// Guards against work that is sent to a full runner because no other has room. It is late instead,
/// with a prediction of when there is room.
#[test]
fn decide_within_no_room_late_until_released() {
    let now = Instant::now();
    let mut register = fleet(0..6);
    let decide = |register: &Register, query: &Query| {
        let mut rng = StdRng::seed_from_u64(1);
        scheduler::decide_within(register, query, &ENGINE, Plans::Any, Room::Known, now, &mut rng)
    };
    let query = query("a", 3_000, 1_000);
    assert!(matches!(decide(&register, &query), Decision::Placed { .. }));
    let cost = WorkCost { class: Class::of_rank(1), prefill_tokens: 0, footprint: 719_000 };
    let all: Vec<RunnerId> = register.runners().map(|r| r.entry.id.clone()).collect();
    let begun: Vec<Registration> =
        all.iter().filter_map(|id| register.begin(id, cost, now)).collect();
    let Decision::Late(placement) = decide(&register, &query) else { panic!("placed") };
    assert!(placement.first_event > 0.0 && placement.first_event < 1.0, "{placement:?}");
    register.end(&begun[0], cost);
    register.end(&begun[1], cost);
    register.end(&begun[2], cost);
    let Decision::Placed { placement, .. } = decide(&register, &query) else { panic!("late") };
    let (Plan::Whole { runner } | Plan::Split { decode: runner, .. }) = placement.plan;
    assert!(begun[..3].iter().any(|ended| ended.id == runner));
}

/// Guards against a bound that changes decisions while the runners have room.
#[test]
fn decide_within_room_same_as_without_bound() {
    let now = Instant::now();
    let register = fleet(0..24);
    for seed in 0..50 {
        let query = query(&format!("p{seed}"), 3_000, 1_000);
        let room = Room::Known;
        let mut rng = StdRng::seed_from_u64(seed);
        let within =
            scheduler::decide_within(&register, &query, &ENGINE, Plans::Any, room, now, &mut rng);
        assert_eq!(within, decide(&register, &query, now, seed));
    }
}
