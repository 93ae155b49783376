//! `cargo bench --bench decisions`: the quality of decisions, exact, held against bounds.

use std::process::ExitCode;

use sardinepick_testutils::measure::{decisions, figure};

fn main() -> ExitCode {
    let bounds = include_str!("../../bench/bounds.ini");
    if figure::report(&decisions(), bounds, "decisions") {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
