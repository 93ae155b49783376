//! Measurements of decisions, on a clock of their own and with fixed seeds, so that every run
//! gives the same figures.

pub mod choosing;
pub mod figure;
pub mod fleet;
pub mod waking;

use figure::Figure;

/// All figures about decisions.
pub fn decisions() -> Vec<Figure> {
    let mut figures = Vec::new();
    figures.extend(choosing::measure());
    figures.extend(waking::measure());
    figures
}
