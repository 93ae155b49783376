//! What can be reached at the most: an offline plan that knows the future, and an ideal fleet
//! whose engines change at no cost.

use std::collections::BTreeMap;

use sardinepick_lib::config::object::Role;
use sardinepick_lib::role::{Demand, RoleCounts};

use super::mixes::{Fleet, Mix, STEP, advance, arrivals, steps_per_decision};

/// What one change must at least gain in the offline plan, in requests, so that it makes none for
/// nothing.
const WORTH: f64 = 1.0;

/// How many engines may move at once in the plan, as a part of all.
const MOVES: f64 = 0.25;

/// The best plan found by going forward over all divisions, keeping for each the best course that
/// ends in it. It knows all arrivals. Since a course is run on the same fake as every other way, it
/// can be reached; since only one course a division is kept, a better one may exist.
pub fn plan(mix: &Mix, engines: usize) -> Fleet {
    let arrivals = arrivals(mix, engines);
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
                    fleet.move_to(target, mix.away);
                }
                advance(&mut fleet, mix, part);
                keep(&mut next, fleet);
            }
        }
        courses = next;
    }
    courses.into_values().max_by(|a, b| worth(a).total_cmp(&worth(b))).expect("there is a course")
}

fn worth(fleet: &Fleet) -> f64 {
    // Requests that wait are half answered, so that a course is not preferred for a backlog.
    let waiting = fleet.waiting().total();
    fleet.answered - f64::from(fleet.changes) * WORTH - waiting
}

fn keep(courses: &mut BTreeMap<RoleCounts, Fleet>, fleet: Fleet) {
    let division = fleet.division();
    match courses.get(&division) {
        Some(best) if worth(best) >= worth(&fleet) => {}
        _ => {
            courses.insert(division, fleet);
        }
    }
}

/// The divisions that can be reached in one interval by moves between two roles.
fn targets(from: RoleCounts, engines: usize, step: u32) -> Vec<RoleCounts> {
    const ROLES: [Role; 3] = [Role::Prefill, Role::Decode, Role::Mixed];
    let most = (engines as f64 * MOVES).max(1.0) as u32;
    let mut targets = vec![from];
    let pairs = ROLES.into_iter().flat_map(|a| ROLES.into_iter().map(move |b| (a, b)));
    for (a, b) in pairs.filter(|(a, b)| a != b) {
        let mut moved = step;
        while moved <= most && from.of(a) >= moved {
            targets.push((0..moved).fold(from, |division, _| division.changed(a, b)));
            moved *= 2;
        }
    }
    targets
}

/// The requests that an ideal fleet answers, in which every engine does what is wanted at every
/// moment without loss: no way of deciding can answer more.
pub fn ideal(mix: &Mix, engines: usize) -> f64 {
    let mut waiting: Vec<(f64, f64, f64)> = Vec::new();
    let mut answered = 0.0;
    let mut time = 0.0;
    let mut there = engines as f64;
    for (demand, count) in arrivals(mix, engines) {
        if let Some((at, part)) = mix.loss
            && (time - at).abs() < STEP / 2.0
        {
            there -= (engines as f64 * part).ceil();
        }
        waiting.push((time + IDEAL_PATIENCE, count, work(demand) / count));
        let mut capacity = there * STEP;
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

/// How long the ideal fleet may take, in seconds: the whole deadline.
const IDEAL_PATIENCE: f64 = 20.0;

fn work(demand: Demand) -> f64 {
    demand.total() * STEP
}
