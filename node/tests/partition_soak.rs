//! Short soak tests of nodes that are cut from runners, with fixed seeds. Each seed that ever
//! violated an invariant is kept here, with the cause.

use std::time::Duration;

use sardinepick_testutils::fleet::partition_soak;
use sardinepick_testutils::fleet::soak::SoakOptions;

const SEEDS: [u64; 2] = [1, 2];

/// Guards against requests that run twice, reach runners that leave, or are held, in a cut network.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn soak_with_cut_paths_keeps_invariants() {
    for seed in SEEDS {
        let duration = Duration::from_secs(12);
        let options = SoakOptions { seed, duration, nodes: 6, callers: 1, restore_backups: false };
        let report = partition_soak::run(options).await;
        println!("seed {seed}: {report}");
        assert!(report.violations.is_empty(), "seed {seed}: {report}");
        assert!(report.outcomes.get("answered").copied().unwrap_or(0) > 0, "no request was served");
    }
}
