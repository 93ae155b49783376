//! Measurements of decisions, on a clock of their own and with fixed seeds, so that every run
//! gives the same figures.

pub mod choosing;
pub mod figure;
pub mod fleet;
pub mod mixes;
pub mod nodes;
pub mod offline;
pub mod races;
pub mod roles;
pub mod scale;
pub mod waking;

use figure::Figure;

/// All figures about decisions; with those that take minutes, plans that know the future and
/// 550 nodes, if it is to be thorough.
pub fn decisions(thorough: bool) -> Vec<Figure> {
    let mut figures = Vec::new();
    figures.extend(choosing::measure());
    figures.extend(waking::measure());
    figures.extend(races::measure());
    figures.extend(nodes::measure(thorough));
    figures.extend(roles::measure(thorough));
    figures
}
