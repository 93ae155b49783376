//! Placement while runners of several software versions serve side by side.

use std::time::{Duration, Instant};

use rand::SeedableRng as _;
use rand::rngs::StdRng;
use sardinepick_lib::fleet::cache::{Chain, Progress};
use sardinepick_lib::fleet::engine::{Engine, Stage, Work};
use sardinepick_lib::fleet::load::Class;
use sardinepick_lib::fleet::placement::{
    Criteria, Placement, Plan, place_decode, place_generation,
};
use sardinepick_lib::fleet::register::Register;
use sardinepick_lib::fleet::runner::{Entry, State};
use sardinepick_lib::fleet::stream_binding::history::NEW_VERSION_DELAY;
use sardinepick_lib::fleet::version::Version;
use sardinepick_lib::history::Point;
use sardinepick_lib::id::{DataCentre, RunnerId, ServiceId};

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

fn home() -> DataCentre {
    "zaal-dom".parse().expect("an id")
}

fn version(text: &str) -> Version {
    text.parse().expect("a version")
}

/// A register of runners, each with its name, stage and version.
fn register(runners: &[(&str, Stage, &str)]) -> Register {
    let mut register = Register::default();
    for (name, stage, of) in runners {
        register.apply(Entry {
            id: name.parse().expect("an id"),
            born: None,
            service: service(),
            address: "127.0.0.1:1".parse().expect("an address"),
            data_centre: home(),
            version: version(of),
            state: State::Ready,
            stage: Some(*stage),
            slots: 128,
            reclaimable: false,
            writes: 0,
            at: Point::without_era(1),
        });
    }
    register.assign_pools();
    register
}

fn work() -> Work {
    let parts = [("shared", 13_300), ("own", 3_700)];
    Work { chain: Chain::new("m", parts.into_iter()), prompt: 17_000, output: 12 }
}

fn place(register: &Register, bound: Option<&Version>, seed: u64) -> Option<Placement> {
    let (service, home, work) = (service(), home(), work());
    let criteria = Criteria {
        objective: None,
        service: &service,
        pool: Some(register.pool_of(&service, &work)),
        class: Class::of_rank(1),
        data_centre: &home,
        skip: &[],
        version: bound,
        continues: false,
        now: Instant::now(),
    };
    place_generation(register, &criteria, &ENGINE, &work, &mut StdRng::seed_from_u64(seed))
}

/// The runners of a placement, with the one from which a prefix is fetched.
fn runners(placement: &Placement) -> Vec<&RunnerId> {
    let planned = match &placement.plan {
        Plan::Whole { runner } => vec![runner],
        Plan::Split { prefill, decode } => vec![prefill, decode],
    };
    planned.into_iter().chain(&placement.fetch).collect()
}

fn versions<'a>(register: &'a Register, placement: &Placement) -> Vec<&'a Version> {
    let version = |id| &register.get(id).expect("it is known").entry.version;
    let mut versions: Vec<_> = runners(placement).into_iter().map(version).collect();
    versions.sort();
    versions.dedup();
    versions
}

/// Guards against a KV cache of one version that a runner of another version uses.
#[test]
fn place_generation_runners_of_one_version() {
    let mut register = register(&[
        ("p1", Stage::Prefill, "v1"),
        ("p2", Stage::Prefill, "v2"),
        ("d1", Stage::Decode, "v1"),
        ("d2", Stage::Decode, "v2"),
    ]);
    let (holder, now) = ("p1".parse().expect("an id"), Instant::now());
    register.settle_versions(now);
    register.settle_versions(now + NEW_VERSION_DELAY);
    let holder = register.get_mut(&holder).expect("it is known");
    holder.cache.set_memory(ENGINE.memory);
    holder.cache.note(&work().chain, Progress::Prefilled, now);
    for seed in 0..50 {
        let placement = place(&register, None, seed).expect("there are runners");
        assert_eq!(versions(&register, &placement).len(), 1, "{placement:?}");
        for bound in ["v1", "v2"].map(version) {
            let placement = place(&register, Some(&bound), seed).expect("there are runners");
            assert_eq!(versions(&register, &placement), [&bound], "{placement:?}");
        }
    }
}

/// Guards against requests that are refused because the stages of a service have different
/// versions.
#[test]
fn place_generation_without_prefill_runner_of_version_whole() {
    let register = register(&[("p1", Stage::Prefill, "v1"), ("d2", Stage::Decode, "v2")]);
    let placement = place(&register, None, 1).expect("a decode runner can run it alone");
    assert_eq!(runners(&placement), [&"d2".parse::<RunnerId>().expect("an id")]);
    assert_eq!(place(&register, Some(&version("v1")), 1), None);
}

/// Guards against a prompt that is prefilled by one version and decoded by another.
#[test]
fn place_decode_version_of_prefill_runner() {
    let register = register(&[
        ("p1", Stage::Prefill, "v1"),
        ("d1", Stage::Decode, "v1"),
        ("d2", Stage::Decode, "v2"),
        ("d3", Stage::Decode, "v2"),
    ]);
    let (service, home, work) = (service(), home(), work());
    let criteria = Criteria {
        objective: None,
        service: &service,
        pool: None,
        class: Class::of_rank(1),
        data_centre: &home,
        skip: &[],
        version: None,
        continues: true,
        now: Instant::now(),
    };
    let prefill = "p1".parse().expect("an id");
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let placed = place_decode(&register, &criteria, &ENGINE, &work, &prefill, &mut rng);
        assert_eq!(placed, Some("d1".parse().expect("an id")));
    }
}

/// Guards against streams that begin at a version before all nodes can know that it serves.
#[test]
fn place_generation_new_version_used_after_delay() {
    let mut register = register(&[("d1", Stage::Decode, "v1"), ("d2", Stage::Decode, "v2")]);
    let (now, new) = (Instant::now(), version("v2"));
    let is_new = |register: &Register| {
        let places = (0..50).filter_map(|seed| place(register, None, seed));
        places.filter(|placement| versions(register, placement) == [&new]).count()
    };
    register.settle_versions(now);
    assert_eq!(is_new(&register), 0);
    let bound = place(&register, Some(&new), 1).expect("a bound stream goes on at once");
    assert_eq!(versions(&register, &bound), [&new]);
    register.settle_versions(now + NEW_VERSION_DELAY);
    assert!(is_new(&register) > 0);
}

/// Guards against requests that are refused because the only runners have a new version.
#[test]
fn place_generation_only_new_version_used() {
    let mut register = register(&[("d1", Stage::Decode, "v1"), ("d2", Stage::Decode, "v2")]);
    register.remove(&"d1".parse().expect("an id"), None);
    let placement = place(&register, None, 1).expect("a runner is there");
    assert_eq!(versions(&register, &placement), [&version("v2")]);
}
