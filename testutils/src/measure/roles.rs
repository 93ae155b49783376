//! The figures about roles.

use super::figure::Figure;
use super::mixes::{self, Fleet, Mix, Way};
use super::offline;

/// Services by their number of engines.
const SERVICES: [(&str, usize); 3] = [("telraad", 9), ("tryckassistent", 18), ("large", 1600)];

/// Prices beyond the time away, in seconds: that of Van Houtkamp, that of Profiltryckeri, and a
/// higher one.
pub const PRICES: [u32; 3] = [5, 10, 20];

/// What one change weighs against requests answered: for Van Houtkamp, who weighs goodput more, and
/// for Profiltryckeri, for whom every change idles an engine while presses wait.
const WEIGHTS: [(&str, f64); 2] = [("van_houtkamp", 10.0), ("profiltryckeri", 150.0)];

fn ways() -> Vec<(String, Way)> {
    let mut ways =
        vec![("no_change".to_owned(), Way::NoChange), ("threshold".to_owned(), Way::Threshold)];
    ways.extend(PRICES.iter().map(|p| (format!("price_{p}"), Way::Policy { price: *p })));
    ways
}

fn figures(base: &str, fleet: &Fleet) -> [Figure; 3] {
    [
        Figure::new(format!("{base}.goodput"), fleet.answered / fleet.asked),
        Figure::new(format!("{base}.changes"), f64::from(fleet.changes)),
        Figure::new(format!("{base}.away_engine_s"), fleet.away),
    ]
}

/// The largest fleet for which a plan is searched.
const MOST_PLANNED: usize = 18;

/// What came of one mix: its figures, and what each way is worth to each customer.
struct Measured {
    figures: Vec<Figure>,
    worths: Vec<Vec<f64>>,
}

fn measure_mix(service: &str, engines: usize, mix: &Mix, with_offline: bool) -> Measured {
    let base = format!("roles.{service}.{}", mix.name);
    let ideal = offline::ideal(mix, engines);
    // The fake is fluid, so what the plan gains hardly depends on the size; at 1,600 engines the
    // search would take hours.
    let small = engines <= MOST_PLANNED;
    let plan = (with_offline && small).then(|| offline::plan(mix, engines));
    let mut out = Vec::new();
    if let Some(plan) = &plan {
        out.extend(figures(&format!("{base}.offline"), plan));
        out.push(Figure::new(format!("{base}.ideal.goodput"), ideal / plan.asked));
    }
    let mut worths = vec![Vec::new(); WEIGHTS.len()];
    for (label, way) in ways() {
        let fleet = mixes::run(mix, engines, way);
        let base = format!("{base}.{label}");
        out.extend(figures(&base, &fleet));
        out.push(Figure::new(format!("{base}.goodput_of_bound"), fleet.answered / ideal));
        if let Some(plan) = &plan {
            let of_offline = fleet.answered / plan.answered;
            out.push(Figure::new(format!("{base}.goodput_of_offline"), of_offline));
        }
        for (worth, (_, weight)) in worths.iter_mut().zip(WEIGHTS) {
            worth.push(fleet.answered - f64::from(fleet.changes) * weight);
        }
    }
    Measured { figures: out, worths }
}

fn measure_service(service: &str, engines: usize, with_offline: bool) -> Vec<Figure> {
    let mixes = mixes::all();
    let measured: Vec<Measured> = std::thread::scope(|scope| {
        let begin = |mix| scope.spawn(move || measure_mix(service, engines, mix, with_offline));
        let threads: Vec<_> = mixes.iter().map(begin).collect();
        threads.into_iter().map(|t| t.join().expect("measuring does not panic")).collect()
    });
    let mut out: Vec<Figure> = measured.iter().flat_map(|m| m.figures.clone()).collect();
    for (at, (customer, _)) in WEIGHTS.iter().enumerate() {
        for (way, (label, _)) in ways().iter().enumerate() {
            let worth = measured.iter().map(|m| m.worths[at][way]).sum();
            out.push(Figure::new(format!("roles.{service}.worth_to_{customer}.{label}"), worth));
        }
    }
    out
}

/// The figures; with those of the offline plan, which takes a minute, if wanted.
pub fn measure(with_offline: bool) -> Vec<Figure> {
    let services = SERVICES.iter();
    services.flat_map(|(s, engines)| measure_service(s, *engines, with_offline)).collect()
}
