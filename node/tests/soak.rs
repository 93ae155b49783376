//! A short soak with fixed seeds. Each seed that ever broke a promise stays here, with its cause.

use std::path::Path;
use std::time::Duration;

use sardinepick_testutils::fleet::crash_soak;
use sardinepick_testutils::fleet::soak::{SoakOptions, run};

/// Seeds that are always run: the first is one like any other. Seed 2 saw streams run twice: a
/// stand-in that hung counted the reading of a prompt as a run.
const SEEDS: [u64; 2] = [1, 2];

#[tokio::test(flavor = "multi_thread")]
async fn soak_seeds_no_promise_broken() {
    for seed in SEEDS {
        let plan = SoakOptions {
            seed,
            duration: Duration::from_secs(8),
            nodes: 4,
            callers: 8,
            restore_backups: false,
        };
        let exe = Path::new(env!("CARGO_BIN_EXE_sardinepickd"));
        let report = run(exe, plan).await.expect("the stand-ins have addresses");
        println!("seed {seed}: {report}");
        assert!(report.violations.is_empty(), "seed {seed}: {report}");
        assert!(report.outcomes.get("answered").copied().unwrap_or(0) > 0, "nothing was served");
    }
}

/// The same with a store that comes back from copies between the other faults.
#[tokio::test(flavor = "multi_thread")]
async fn soak_copies_no_promise_broken() {
    let duration = Duration::from_secs(10);
    let plan = SoakOptions { seed: 3, duration, nodes: 4, callers: 8, restore_backups: true };
    let exe = Path::new(env!("CARGO_BIN_EXE_sardinepickd"));
    let report = run(exe, plan).await.expect("the stand-ins have addresses");
    println!("{report}");
    assert!(report.violations.is_empty(), "{report}");
    assert!(report.outcomes.get("answered").copied().unwrap_or(0) > 0, "nothing was served");
}

/// A request under which runners end, sent all the time beside others, while nodes and runners also end
/// for no reason.
#[tokio::test(flavor = "multi_thread")]
async fn ending_seed_no_promise_broken() {
    let plan = SoakOptions {
        seed: 1,
        duration: Duration::from_secs(12),
        nodes: 4,
        callers: 8,
        restore_backups: false,
    };
    let exe = Path::new(env!("CARGO_BIN_EXE_sardinepickd"));
    let report = crash_soak::run(exe, plan).await.expect("the stand-ins have addresses");
    println!("{report}");
    assert!(report.violations.is_empty(), "{report}");
    assert!(report.outcomes.get("answered").copied().unwrap_or(0) > 0, "nothing was served");
}
