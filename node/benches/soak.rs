//! A randomized soak test: `cargo bench --bench soak -- --seed 1 --seconds 30 --nodes 6 --callers 12
//! --count 10`. With `--ending` it sends requests that crash runners, with `--copies` its store is
//! restored from backups, with `--leaving` runners leave while nodes start in waves and are paused,
//! with `--kept` callers keep connections under planned work and silent runners, with `--cuts` nodes
//! in this process are cut from runners.
//!
//! Runs one seed after the other and fails if any of them violates an invariant.

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use getopts::Options;
use sardinepick_testutils::fleet::soak::SoakOptions;
use sardinepick_testutils::fleet::{crash_soak, drain_soak, kept_soak, partition_soak, soak};

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "seed", "the first seed", "N");
    options.optopt("", "count", "number of seeds", "N");
    options.optopt("", "seconds", "duration of the faults per seed", "N");
    options.optopt("", "nodes", "number of node processes", "N");
    options.optopt("", "callers", "number of callers", "N");
    options.optflag("", "copies", "restore the store from backups");
    options.optflag("", "ending", "send requests that crash runners");
    options.optflag("", "leaving", "runners leave beside waves of starts and pauses of nodes");
    options.optflag("", "kept", "callers keep connections under planned work and silent runners");
    options.optflag("", "cuts", "nodes are cut from runners");
    options.optflag("", "bench", "passed by cargo, ignored");
    options
}

#[tokio::main]
async fn main() -> ExitCode {
    let matches = match options().parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("{error}\n{}", options().usage("Usage: soak"));
            return ExitCode::FAILURE;
        }
    };
    let number = |name, default| matches.opt_get_default::<u64>(name, default).unwrap_or(default);
    let (first, count) = (number("seed", 1), number("count", 1));
    let mut passed = true;
    for seed in first..first + count {
        let plan = SoakOptions {
            seed,
            duration: Duration::from_secs(number("seconds", 20)),
            nodes: number("nodes", 6) as usize,
            callers: number("callers", 12) as usize,
            restore_backups: matches.opt_present("copies"),
        };
        let exe = Path::new(env!("CARGO_BIN_EXE_sardinepickd"));
        let report = if matches.opt_present("ending") {
            crash_soak::run(exe, plan).await
        } else if matches.opt_present("leaving") {
            drain_soak::run(exe, plan).await
        } else if matches.opt_present("kept") {
            kept_soak::run(exe, plan).await
        } else if matches.opt_present("cuts") {
            Ok(partition_soak::run(plan).await)
        } else {
            soak::run(exe, plan).await
        };
        match report {
            Ok(report) => {
                passed &= report.violations.is_empty();
                println!("seed {seed}: {report}");
            }
            Err(error) => {
                passed = false;
                println!("seed {seed}: failed to run: {error}");
            }
        }
    }
    if passed { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
