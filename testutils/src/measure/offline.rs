//! Reference values for role decisions: an offline plan that knows all arrivals, and an ideal fleet
//! whose role changes are free.

use std::collections::BTreeMap;

use sardinepick_lib::config::object::Role;
use sardinepick_lib::role::{Demand, RoleCounts};

use super::workloads::{Fleet, STEP, Workload, advance, arrivals, steps_per_decision};

/// The cost of a role change in requests, which keeps the plan from making changes without benefit.
const CHANGE_COST: f64 = 1.0;

/// The fraction of all engines that the plan may change at once.
const MAX_CHANGED_FRACTION: f64 = 0.25;

/// Searches for the best plan by dynamic programming over divisions, and keeps the best course that
/// ends in each division. The plan is achievable, since it runs on the same simulation as the online
/// strategies. It may not be optimal, since only one course per division is kept.
pub fn plan(workload: &Workload, engines: usize) -> Fleet {
    let arrivals = arrivals(workload, engines);
    let mut courses: BTreeMap<RoleCounts, Fleet> = BTreeMap::new();
    let first = Fleet::new(engines);
    courses.insert(first.division(), first);
    let step = (engines / 20).max(1) as u32;
    for part in arrivals.chunks(steps_per_decision()) {
        let mut next: BTreeMap<RoleCounts, Fleet> = BTreeMap::new();
        for (division, fleet) in &courses {
            for target in targets(*division, engines, step) {
                let mut fleet = fleet.clone();
                if target != *division {
                    fleet.move_to(target, workload.away);
                }
                advance(&mut fleet, workload, part);
                keep_best(&mut next, fleet);
            }
        }
        courses = next;
    }
    courses.into_values().max_by(|a, b| value(a).total_cmp(&value(b))).expect("at least one course")
}

fn value(fleet: &Fleet) -> f64 {
    // Queued work counts as a loss, so that a course is not preferred for its backlog.
    let waiting = fleet.waiting().total();
    fleet.answered - f64::from(fleet.changes) * CHANGE_COST - waiting
}

fn keep_best(courses: &mut BTreeMap<RoleCounts, Fleet>, fleet: Fleet) {
    let division = fleet.division();
    match courses.get(&division) {
        Some(best) if value(best) >= value(&fleet) => {}
        _ => {
            courses.insert(division, fleet);
        }
    }
}

/// The divisions that are reachable in one interval by changes from one role to one other.
fn targets(from: RoleCounts, engines: usize, step: u32) -> Vec<RoleCounts> {
    const ROLES: [Role; 3] = [Role::Prefill, Role::Decode, Role::Mixed];
    let max_changes = (engines as f64 * MAX_CHANGED_FRACTION).max(1.0) as u32;
    let mut targets = vec![from];
    let pairs = ROLES.into_iter().flat_map(|a| ROLES.into_iter().map(move |b| (a, b)));
    for (a, b) in pairs.filter(|(a, b)| a != b) {
        let mut count = step;
        while count <= max_changes && from.of(a) >= count {
            targets.push((0..count).fold(from, |division, _| division.changed(a, b)));
            count *= 2;
        }
    }
    targets
}

/// The number of requests answered by an ideal fleet, in which every engine can do any work at any
/// time. This is an upper bound for all strategies.
pub fn ideal(workload: &Workload, engines: usize) -> f64 {
    let mut waiting: Vec<(f64, f64, f64)> = Vec::new();
    let mut answered = 0.0;
    let mut time = 0.0;
    let mut running = engines as f64;
    for (demand, count) in arrivals(workload, engines) {
        if let Some((at, part)) = workload.loss
            && (time - at).abs() < STEP / 2.0
        {
            running -= (engines as f64 * part).ceil();
        }
        waiting.push((time + IDEAL_DEADLINE, count, work(demand) / count));
        let mut capacity = running * STEP;
        waiting.retain(|(deadline, ..)| *deadline >= time);
        for (_, count, work) in &mut waiting {
            let fits = (capacity / *work).min(*count);
            capacity -= fits * *work;
            *count -= fits;
            answered += fits;
        }
        waiting.retain(|(_, count, _)| *count > 1e-9);
        time += STEP;
    }
    answered
}

/// The deadline of requests to the ideal fleet in seconds.
const IDEAL_DEADLINE: f64 = 20.0;

fn work(demand: Demand) -> f64 {
    demand.total() * STEP
}
