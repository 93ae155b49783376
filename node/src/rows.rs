//! Query rows from the configuration and the live state.

use std::time::Instant;

use sardinepick_lib::config::object::Object;
use sardinepick_lib::config::snapshot::Snapshot;
use sardinepick_lib::id::Name;
use sardinepick_lib::language::statement::{Column, Subject};
use sardinepick_lib::member::{State, Update};
use sardinepick_lib::query::Row;
use sardinepick_lib::runner::RunnerView;
use smol_str::{SmolStr, ToSmolStr};

use crate::node::Node;
use crate::pool::PoolState;

/// The cell of an unknown value.
const NONE: SmolStr = SmolStr::new_static("-");

fn or_none<T: ToSmolStr>(value: Option<T>) -> SmolStr {
    value.map_or(NONE, |v| v.to_smolstr())
}

fn millis(duration: std::time::Duration) -> SmolStr {
    duration.as_millis().to_smolstr()
}

fn age(now: Instant, at: Option<Instant>) -> SmolStr {
    at.map_or(NONE, |at| millis(now.saturating_duration_since(at)))
}

/// Returns all rows of a subject as seen by this node.
pub fn live(node: &Node, subject: Subject) -> Vec<Row> {
    let snapshot = node.config.load_full();
    match subject {
        Subject::Nodes => nodes(node),
        Subject::Leases => leases(node),
        Subject::Runners => runners(node, &snapshot),
        _ => snapshot.objects().filter_map(|object| row(node, subject, object)).collect(),
    }
}

fn cells(subject: Subject, cell: impl Fn(Column) -> SmolStr) -> Row {
    Row { cells: subject.columns().iter().map(|column| cell(*column)).collect() }
}

fn row(node: &Node, subject: Subject, object: &Object) -> Option<Row> {
    let cell = |column| configured_cell(node, object, column);
    let matches_subject = matches!(
        (subject, object),
        (Subject::Models, Object::Model(_))
            | (Subject::Services, Object::Service(_))
            | (Subject::Accounts, Object::Account(_))
            | (Subject::Policies, Object::Policy(_))
            | (Subject::Operators, Object::Operator(_))
    );
    matches_subject.then(|| cells(subject, cell))
}

fn configured_cell(node: &Node, object: &Object, column: Column) -> SmolStr {
    if column == Column::Name {
        return object.key().name.to_smolstr();
    }
    match object {
        Object::Model(o) => match column {
            Column::Version => o.version.clone(),
            Column::Weights => o.weights.clone(),
            _ => NONE,
        },
        Object::Service(o) => match column {
            Column::Form => o.form.to_smolstr(),
            Column::Model => or_none(o.model.as_ref()),
            Column::Deadline => millis(o.deadline),
            Column::Priority => o.priority.to_smolstr(),
            Column::RetryBudget => o.retry_budget.to_smolstr(),
            Column::RolePrice => o.role_price.map_or(NONE, millis),
            Column::AwayLimit => o.away_limit.to_smolstr(),
            Column::Queue => {
                let queue = node.pool(&o.name).map_or(0, |pool| pool.state().queue);
                queue.to_smolstr()
            }
            _ => NONE,
        },
        Object::Account(o) => match column {
            Column::Rate => o.rate.to_smolstr(),
            Column::Burst => o.burst.to_smolstr(),
            Column::Concurrency => o.concurrency.to_smolstr(),
            Column::Priority => o.priority.to_smolstr(),
            Column::Weight => o.weight.to_smolstr(),
            Column::InFlight => {
                let pools = node.pools();
                pools.iter().map(|p| p.account_in_progress(&o.name)).sum::<u32>().to_smolstr()
            }
            _ => NONE,
        },
        Object::Policy(o) => match column {
            Column::Service => or_none(o.service.as_ref()),
            Column::Account => or_none(o.account.as_ref()),
            Column::Priority => or_none(o.priority),
            Column::Deadline => o.deadline.map_or(NONE, millis),
            Column::DataCentre => or_none(o.data_centre.as_ref()),
            _ => NONE,
        },
        Object::Operator(o) => match column {
            Column::Role => o.role.to_smolstr(),
            _ => NONE,
        },
        Object::Runner(_) => NONE,
    }
}

/// Returns the displayed state of a runner. Its actual state takes precedence over the configured
/// one.
fn runner_state(view: Option<&RunnerView>, configured: SmolStr, now: Instant) -> SmolStr {
    match view {
        Some(view) if view.leaving => SmolStr::new_static("leaving"),
        Some(view) if view.backoff_until.is_some_and(|until| now < until) => {
            SmolStr::new_static("failing")
        }
        _ => configured,
    }
}

fn runners(node: &Node, snapshot: &Snapshot) -> Vec<Row> {
    let now = node.clock.now();
    let states: Vec<(Name, PoolState)> =
        node.pools().iter().map(|p| (p.service.clone(), p.state())).collect();
    let mut rows = Vec::new();
    for service in snapshot.services() {
        let state = states.iter().find(|(name, _)| *name == service.name).map(|(_, state)| state);
        for runner in snapshot.runners(&service.name) {
            let view = state.and_then(|p| p.views.iter().find(|v| v.name == runner.name));
            let report = view.map(|v| v.report).unwrap_or_default();
            rows.push(cells(Subject::Runners, |column| match column {
                Column::Name => runner.name.to_smolstr(),
                Column::Service => runner.service.to_smolstr(),
                Column::Address => runner.address.to_smolstr(),
                Column::DataCentre => runner.data_centre.to_smolstr(),
                Column::Role => match view.and_then(|v| v.reported) {
                    Some(_) => report.role.to_smolstr(),
                    None => runner.role.to_smolstr(),
                },
                Column::State => runner_state(view, runner.state.to_smolstr(), now),
                Column::Fencing => runner.fencing.to_smolstr(),
                Column::Slots => runner.slots.to_smolstr(),
                Column::InFlight => or_none(view.map(|v| v.in_flight)),
                Column::Queue => report.waiting.to_smolstr(),
                Column::Load => (report.running * 100 / runner.slots.max(1)).to_smolstr(),
                Column::Age => age(now, view.and_then(|v| v.reported)),
                _ => NONE,
            }));
        }
    }
    rows
}

fn nodes(node: &Node) -> Vec<Row> {
    let now = node.clock.now();
    let generation = node.config.load().generation;
    let members = node.members();
    let line = |update: &Update, state: SmolStr, generation: SmolStr, age: SmolStr| {
        cells(Subject::Nodes, |column| match column {
            Column::Name => update.name.to_smolstr(),
            Column::Address => update.addresses.front.to_smolstr(),
            Column::DataCentre => update.data_centre.to_smolstr(),
            Column::State => state.clone(),
            Column::Generation => generation.clone(),
            Column::Incarnation => update.incarnation.to_smolstr(),
            Column::Age => age.clone(),
            _ => NONE,
        })
    };
    let me = members.me();
    let mine = line(me, me.state.to_smolstr(), generation.to_smolstr(), SmolStr::new_static("0"));
    let others = members.peers().map(|p| {
        let state = if p.listed_leaving && p.update.state == State::Serving {
            State::Leaving
        } else {
            p.update.state
        };
        let generation = p.status.generation.to_smolstr();
        line(&p.update, state.to_smolstr(), generation, age(now, p.last_heard))
    });
    std::iter::once(mine).chain(others).collect()
}

fn leases(node: &Node) -> Vec<Row> {
    let now = node.clock.now();
    let views = node.authority.views();
    let known =
        views.iter().filter_map(|(service, view)| Some((service, view, view.lease.as_ref()?)));
    known
        .map(|(service, view, record)| {
            cells(Subject::Leases, |column| match column {
                Column::Service => service.to_smolstr(),
                Column::Holder => or_none(record.holder.as_ref().map(|h| h.name.clone())),
                Column::Epoch => record.epoch.to_smolstr(),
                Column::Age => age(now, view.seen_at),
                _ => NONE,
            })
        })
        .collect()
}
