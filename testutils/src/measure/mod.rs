//! Simulations that measure the quality of decisions. They use simulated time and fixed seeds, so every
//! run gives the same figures; those of [`scheduling_time`] are of the machine's clock.

pub mod figure;
pub mod fleet;
pub mod nodes;
pub mod offline;
pub mod roles;
pub mod runner_choice;
pub mod scale;
pub mod scheduling_time;
pub mod share;
pub mod waking;
pub mod workloads;
pub mod write_conflicts;

use figure::Figure;

/// All figures about decisions. `thorough` adds those that take minutes: the offline plans and the
/// simulation of 550 nodes.
pub fn decisions(thorough: bool) -> Vec<Figure> {
    let mut figures = Vec::new();
    figures.extend(runner_choice::measure());
    figures.extend(waking::measure());
    figures.extend(write_conflicts::measure());
    figures.extend(nodes::measure(thorough));
    figures.extend(roles::measure(thorough));
    figures.extend(share::measure());
    figures
}
