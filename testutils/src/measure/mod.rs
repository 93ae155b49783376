//! Measurements of decisions, on a clock of their own and with fixed seeds, so that every run
//! gives the same figures.

pub mod choosing;
pub mod figure;
pub mod fleet;
pub mod mixes;
pub mod offline;
pub mod roles;
pub mod waking;

use figure::Figure;

/// All figures about decisions; with those of plans that know the future, which take minutes, if
/// wanted.
pub fn decisions(with_offline: bool) -> Vec<Figure> {
    let mut figures = Vec::new();
    figures.extend(choosing::measure());
    figures.extend(waking::measure());
    figures.extend(roles::measure(with_offline));
    figures
}
