//! Explanations of where a request would go and of the roles of a service.

use sardinepick_lib::id::Name;
use sardinepick_lib::language::statement::HypotheticalRequest;
use sardinepick_lib::query::{Row, Table};
use sardinepick_lib::runner::Prefix;
use smol_str::{SmolStr, ToSmolStr, format_smolstr};

use crate::node::Node;

/// The default lengths of a hypothetical request in tokens.
const DEFAULT_PROMPT: u32 = 500;
const DEFAULT_OUTPUT: u32 = 100;

fn table(columns: &[&'static str], rows: Vec<Vec<SmolStr>>) -> Table {
    Table {
        columns: columns.iter().map(|c| SmolStr::new_static(c)).collect(),
        rows: rows.into_iter().map(|cells| Row { cells }).collect(),
        missing: Vec::new(),
    }
}

fn seconds(value: f64) -> SmolStr {
    format_smolstr!("{value:.3}")
}

/// Returns the prediction for a request at every runner, the best first; `None` if the service does
/// not exist.
pub fn request(node: &Node, hypothetical: &HypotheticalRequest) -> Option<Table> {
    let pool = node.pool(&hypothetical.service)?;
    let prompt = hypothetical.prompt.map_or(DEFAULT_PROMPT, |t| t.0);
    let output = hypothetical.output.map_or(DEFAULT_OUTPUT, |t| t.0);
    let work = pool.estimate_work(prompt, output, Prefix::default());
    let mut lines = pool.explain(&work);
    lines.sort_by(|a, b| {
        let key = |l: &(_, sardinepick_lib::choose::Prediction, bool)| (!l.2, l.1.last_token);
        let (a, b) = (key(a), key(b));
        a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
    });
    let now = node.clock.now();
    let rows = lines.into_iter().map(|(view, prediction, usable)| {
        let why = if usable {
            SmolStr::new_static("usable")
        } else if view.leaving {
            SmolStr::new_static("leaving")
        } else if view.backoff_until.is_some_and(|until| now < until) {
            format_smolstr!("left alone after {} faults", view.faults)
        } else {
            SmolStr::new_static("drained")
        };
        let age = view.age(now).map_or(SmolStr::new_static("-"), |a| a.as_millis().to_smolstr());
        vec![
            view.name.to_smolstr(),
            why,
            seconds(prediction.first_token),
            seconds(prediction.last_token),
            view.in_flight.to_smolstr(),
            age,
        ]
    });
    let columns = ["runner", "state", "first_token_s", "last_token_s", "in_flight", "age"];
    Some(table(&columns, rows.collect()))
}

/// Returns the last decision on the roles of a service, made by the node that holds its lease.
pub fn roles(node: &Node, service: &Name) -> Table {
    let views = node.authority.views();
    let view = views.get(service);
    let Some(decision) = view.and_then(|v| v.decision.as_ref()) else {
        let holder = view.and_then(|v| v.lease.as_ref()).and_then(|l| l.holder.as_ref());
        let why = match holder {
            Some(holder) => {
                format_smolstr!("no decision here; the lease is held by {}", holder.name)
            }
            None => SmolStr::new_static("no decision here; roles follow the operators' settings"),
        };
        return table(&["why"], vec![vec![why]]);
    };
    let role_counts = |d: sardinepick_lib::role::RoleCounts| {
        format_smolstr!("{} prefill, {} decode, {} mixed", d.prefill, d.decode, d.mixed)
    };
    let row = vec![
        decision.why.to_smolstr(),
        role_counts(decision.current),
        role_counts(decision.target),
        seconds(decision.gain),
        seconds(decision.cost),
    ];
    table(&["why", "current", "target", "gain_engine_s", "cost_engine_s"], vec![row])
}
