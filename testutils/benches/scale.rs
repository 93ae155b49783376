//! `cargo bench --bench scale`: measures sizes, allocations and times at different deployment sizes.
//! Sizes and allocations are exact and checked against bounds; times are only printed.

use std::alloc::System;
use std::hint::black_box;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use rand::SeedableRng as _;
use rand::rngs::StdRng;
use sardinepick_lib::assignment;
use sardinepick_lib::choose::{Settings, choose};
use sardinepick_lib::config::chunk::{join, split};
use sardinepick_lib::config::object::Admission;
use sardinepick_lib::config::snapshot::Snapshot;
use sardinepick_lib::id::{Generation, Incarnation, Name};
use sardinepick_lib::member::{Addresses, Members, State, Update};
use sardinepick_lib::runner::{RunnerView, Work};
use sardinepick_testutils::measure::figure::{self, Figure};
use sardinepick_testutils::measure::{nodes, scale};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// The shortest time of several runs of `work` in seconds.
fn seconds(mut work: impl FnMut()) -> f64 {
    const RUNS: usize = 5;
    let mut best = Duration::MAX;
    for _ in 0..RUNS {
        let began = Instant::now();
        work();
        best = best.min(began.elapsed());
    }
    best.as_secs_f64()
}

/// Runs `make` and returns its result with the number of bytes that it leaves allocated.
fn measure_allocation<T>(make: impl FnOnce() -> T) -> (T, f64) {
    let region = Region::new(ALLOCATOR);
    let value = make();
    let change = region.change();
    let measure_allocation = change.bytes_allocated as f64 - change.bytes_deallocated as f64;
    (value, measure_allocation)
}

fn members(count: usize) -> Members {
    let update = |at: usize| {
        let address = format!("10.9.{}.{}:8081", at / 250, at % 250 + 1);
        let address = address.parse().expect("an address");
        Update {
            name: scale::name("entry", at),
            incarnation: Incarnation(1),
            serial: 1,
            state: State::Serving,
            addresses: Addresses { peer: address, front: address },
            data_centre: scale::name("dc", at % 5),
        }
    };
    let mut members = Members::new(update(0), Vec::new());
    members.merge_updates(Instant::now(), (1..count).map(update).collect());
    members
}

fn measure_size(size: scale::Size) -> Vec<Figure> {
    let mut figures = Vec::new();
    let mut add = |name: &str, value: f64| {
        figures.push(Figure::new(format!("scale.{}.{name}", size.nodes), value));
    };
    let records = scale::records(size);
    let (snapshot, bytes) = measure_allocation(|| {
        Snapshot::build(Generation(1), records.clone(), None).expect("valid records")
    });
    add(
        "time.snapshot_build_ms",
        1e3 * seconds(|| {
            black_box(Snapshot::build(Generation(1), records.clone(), None).is_ok());
        }),
    );
    add("memory.snapshot_mb", bytes / 1e6);
    let (_, chunks) = split(&records);
    add(
        "time.config_join_ms",
        1e3 * seconds(|| {
            black_box(join(&chunks).is_ok());
        }),
    );
    drop(snapshot);

    let (mut members, bytes) = measure_allocation(|| members(size.nodes));
    add("memory.members_mb", bytes / 1e6);
    let mut rng = StdRng::seed_from_u64(1);
    let mut now = Instant::now();
    let ticks = 100;
    add(
        "time.member_tick_us",
        1e6 / f64::from(ticks)
            * seconds(|| {
                for _ in 0..ticks {
                    now += Duration::from_millis(100);
                    black_box(members.tick(now, &mut rng).len());
                }
            }),
    );

    let names: Vec<Name> = (0..size.nodes).map(|at| scale::name("entry", at)).collect();
    let runners: Vec<Name> = (0..size.runners).map(|at| scale::name("runner", at)).collect();
    let mut out = Vec::new();
    add(
        "time.sharers_all_ms",
        1e3 * seconds(|| {
            for runner in &runners {
                assignment::assign_nodes(runner, &names, &mut out);
                black_box(out.len());
            }
        }),
    );
    figures
}

fn measure_choice() -> Vec<Figure> {
    let mut figures = Vec::new();
    let now = Instant::now();
    let mut rng = StdRng::seed_from_u64(1);
    for count in [4, 18, 100, 1600] {
        let view = |at| RunnerView::new(scale::name("runner", at), 32, Admission::Ready);
        let views: Vec<RunnerView> = (0..count).map(view).collect();
        let work = Work::default();
        let rounds = 10_000;
        let region = Region::new(ALLOCATOR);
        let elapsed = seconds(|| {
            for _ in 0..rounds {
                black_box(choose(&views, &work, now, Settings::default(), &[], &mut rng));
            }
        });
        let allocations = region.change().allocations as f64;
        figures.push(Figure::new(
            format!("choice.{count}.time.ns"),
            1e9 * elapsed / f64::from(rounds),
        ));
        figures.push(Figure::new(format!("choice.{count}.allocations"), allocations));
        let naive = seconds(|| {
            for _ in 0..rounds / 10 {
                let best = sardinepick_lib::baseline::best_of_all(
                    &views,
                    &work,
                    now,
                    Settings::default(),
                    &mut rng,
                );
                black_box(best);
            }
        });
        let naive = 1e9 * naive / f64::from(rounds / 10);
        figures.push(Figure::new(format!("choice.{count}.time.naive_ns"), naive));
    }
    figures
}

fn main() -> ExitCode {
    let mut figures = scale::measure();
    figures.extend(measure_choice());
    for size in scale::SIZES {
        figures.extend(measure_size(size));
    }
    if !std::env::args().any(|a| a == "--quick") {
        figures.extend(nodes::measure(true));
    }
    let bounds = include_str!("../../bench/bounds.ini");
    if figure::report(&figures, bounds, "scale") { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
