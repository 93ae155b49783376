//! `cargo bench --bench decisions`: measures the quality of decisions and checks it against bounds.

use std::process::ExitCode;

use sardinepick_testutils::measure::{decisions, figure};

fn main() -> ExitCode {
    let bounds = include_str!("../../bench/bounds.ini");
    let plans = !std::env::args().any(|a| a == "--quick");
    if figure::report(&decisions(plans), bounds, "decisions") {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
