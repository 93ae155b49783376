//! Figures about role decisions.

use super::figure::Figure;
use super::offline;
use super::workloads::{self, Fleet, Strategy, Workload};

/// Service names and their numbers of engines.
const SERVICES: [(&str, usize); 3] = [("telraad", 9), ("tryckassistent", 18), ("large", 1600)];

/// Costs of a role change in seconds, in addition to its duration: those of Van Houtkamp and of
/// Profiltryckeri, and a higher one.
pub const PRICES: [u32; 3] = [5, 10, 20];

/// The cost of one role change in answered requests. Van Houtkamp gives more weight to goodput; for
/// Profiltryckeri, every change idles an engine while printing presses wait.
const WEIGHTS: [(&str, f64); 2] = [("van_houtkamp", 10.0), ("profiltryckeri", 150.0)];

fn strategies() -> Vec<(String, Strategy)> {
    let mut strategies = vec![
        ("no_change".to_owned(), Strategy::NoChange),
        ("threshold".to_owned(), Strategy::Threshold),
    ];
    strategies
        .extend(PRICES.iter().map(|p| (format!("price_{p}"), Strategy::Policy { price: *p })));
    strategies
}

fn figures(base: &str, fleet: &Fleet) -> [Figure; 3] {
    [
        Figure::new(format!("{base}.goodput"), fleet.answered / fleet.received),
        Figure::new(format!("{base}.changes"), f64::from(fleet.changes)),
        Figure::new(format!("{base}.away_engine_s"), fleet.away),
    ]
}

/// The largest fleet for which an offline plan is computed.
const MAX_PLANNED_ENGINES: usize = 18;

/// The results of one workload: its figures, and the value of each strategy to each customer.
struct WorkloadResult {
    figures: Vec<Figure>,
    values: Vec<Vec<f64>>,
}

fn measure_workload(
    service: &str,
    engines: usize,
    workload: &Workload,
    with_offline: bool,
) -> WorkloadResult {
    let base = format!("roles.{service}.{}", workload.name);
    let ideal = offline::ideal(workload, engines);
    // In the fluid simulation, the benefit of the plan hardly depends on the size; at 1,600 engines
    // the search would take hours.
    let small = engines <= MAX_PLANNED_ENGINES;
    let plan = (with_offline && small).then(|| offline::plan(workload, engines));
    let mut out = Vec::new();
    if let Some(plan) = &plan {
        out.extend(figures(&format!("{base}.offline"), plan));
        out.push(Figure::new(format!("{base}.ideal.goodput"), ideal / plan.received));
    }
    let mut values = vec![Vec::new(); WEIGHTS.len()];
    for (label, strategy) in strategies() {
        let fleet = workloads::run(workload, engines, strategy);
        let base = format!("{base}.{label}");
        out.extend(figures(&base, &fleet));
        out.push(Figure::new(format!("{base}.goodput_of_bound"), fleet.answered / ideal));
        if let Some(plan) = &plan {
            let of_offline = fleet.answered / plan.answered;
            out.push(Figure::new(format!("{base}.goodput_of_offline"), of_offline));
        }
        for (value, (_, weight)) in values.iter_mut().zip(WEIGHTS) {
            value.push(fleet.answered - f64::from(fleet.changes) * weight);
        }
    }
    WorkloadResult { figures: out, values }
}

fn measure_service(service: &str, engines: usize, with_offline: bool) -> Vec<Figure> {
    let workloads = workloads::all();
    let results: Vec<WorkloadResult> = std::thread::scope(|scope| {
        let spawn = |workload| {
            scope.spawn(move || measure_workload(service, engines, workload, with_offline))
        };
        let threads: Vec<_> = workloads.iter().map(spawn).collect();
        threads.into_iter().map(|t| t.join().expect("measuring does not panic")).collect()
    });
    let mut out: Vec<Figure> = results.iter().flat_map(|m| m.figures.clone()).collect();
    for (at, (customer, _)) in WEIGHTS.iter().enumerate() {
        for (strategy, (label, _)) in strategies().iter().enumerate() {
            let value = results.iter().map(|m| m.values[at][strategy]).sum();
            out.push(Figure::new(format!("roles.{service}.worth_to_{customer}.{label}"), value));
        }
    }
    out
}

/// The figures about roles. `with_offline` adds those of the offline plan, which takes a minute.
pub fn measure(with_offline: bool) -> Vec<Figure> {
    let services = SERVICES.iter();
    services.flat_map(|(s, engines)| measure_service(s, *engines, with_offline)).collect()
}
