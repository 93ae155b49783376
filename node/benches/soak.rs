//! The soak: `cargo bench --bench soak -- --seed 1 --seconds 30 --nodes 6 --callers 12 --count 10`; with
//! `--ending` the one of requests under which runners end, with `--copies` one whose store comes back
//! from copies.
//!
//! Runs seeds one after the other and fails if any breaks a promise.

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use getopts::Options;
use sardinepick_testutils::fleet::soak::SoakOptions;
use sardinepick_testutils::fleet::{crash_soak, soak};

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "seed", "the first seed", "N");
    options.optopt("", "count", "how many seeds", "N");
    options.optopt("", "seconds", "how long each lasts", "N");
    options.optopt("", "nodes", "how many processes", "N");
    options.optopt("", "callers", "how many callers", "N");
    options.optflag("", "copies", "with a store that comes back from copies");
    options.optflag("", "ending", "of requests under which runners end");
    options.optflag("", "bench", "given by cargo");
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
    let mut good = true;
    for seed in first..first + count {
        let plan = SoakOptions {
            seed,
            duration: Duration::from_secs(number("seconds", 20)),
            nodes: number("nodes", 6) as usize,
            callers: number("callers", 12) as usize,
            restore_backups: matches.opt_present("copies"),
        };
        let exe = Path::new(env!("CARGO_BIN_EXE_sardinepickd"));
        let ending = matches.opt_present("ending");
        let report =
            if ending { crash_soak::run(exe, plan).await } else { soak::run(exe, plan).await };
        match report {
            Ok(report) => {
                good &= report.violations.is_empty();
                println!("seed {seed}: {report}");
            }
            Err(error) => {
                good = false;
                println!("seed {seed}: not run: {error}");
            }
        }
    }
    if good { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
