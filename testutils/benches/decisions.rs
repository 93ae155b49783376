//! `cargo bench --bench decisions`: measures the quality of decisions and checks it against bounds.

use std::process::ExitCode;

use sardinepick_testutils::measure::{decisions, figure, scheduling_time};

fn main() -> ExitCode {
    let bounds = include_str!("../../bench/bounds.ini");
    let plans = !std::env::args().any(|a| a == "--quick");
    let in_time = figure::report(&scheduling_time::measure(), bounds, "scheduling");
    if figure::report(&decisions(plans), bounds, "decisions") && in_time {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
