//! Collecting live query rows from all nodes.

use std::collections::BTreeMap;
use std::sync::Arc;

use sardinepick_lib::id::Name;
use sardinepick_lib::language::statement::{Column, Subject};
use sardinepick_lib::query::Row;
use smol_str::{SmolStr, ToSmolStr};

use crate::node::Node;
use crate::rows;

/// The rows of a query.
pub struct Gathered {
    /// The rows.
    pub rows: Vec<Row>,
    /// The nodes that did not answer.
    pub missing: Vec<SmolStr>,
}

/// Returns the rows of a subject. Rows that differ between nodes are collected from all active
/// nodes; the others come from the configuration, which is the same on all nodes.
pub async fn gather(node: &Arc<Node>, subject: Subject) -> Gathered {
    let mut gathered = Gathered { rows: rows::live(node, subject), missing: Vec::new() };
    if !matches!(subject, Subject::Runners | Subject::Leases | Subject::Accounts) {
        return gathered;
    }
    let mut by_name: BTreeMap<SmolStr, Row> = BTreeMap::new();
    for row in gathered.rows {
        by_name.insert(row.cells[0].clone(), row);
    }
    let subject_name: &'static str = subject.into();
    let peers: Vec<(Name, _)> = {
        let members = node.members();
        let active = members.peers().filter(|p| p.is_active());
        active.map(|p| (p.update.name.clone(), p.update.addresses.peer)).collect()
    };
    let queries = peers
        .into_iter()
        .map(|(name, address)| async move { (name, node.peers.rows(address, subject_name).await) });
    for (name, answer) in futures_util::future::join_all(queries).await {
        let Ok(rows) = answer else {
            gathered.missing.push(name.to_smolstr());
            continue;
        };
        for row in rows {
            let row = Row { cells: row.cells.iter().map(SmolStr::new).collect() };
            // A node with a different configuration may temporarily return rows in another format.
            if row.cells.len() == subject.columns().len() {
                merge(subject, &mut by_name, row);
            }
        }
    }
    gathered.rows = by_name.into_values().collect();
    gathered
}

fn number(cell: &str) -> Option<u64> {
    cell.parse().ok()
}

/// Merges another node's row: counts are added up, the newer of two reports is kept, and so is the
/// view of a lease with the higher epoch.
fn merge(subject: Subject, rows: &mut BTreeMap<SmolStr, Row>, other: Row) {
    let Some(row) = rows.get_mut(&other.cells[0]) else {
        rows.insert(other.cells[0].clone(), other);
        return;
    };
    let index_of = |column| subject.columns().iter().position(|c| *c == column);
    if subject == Subject::Leases {
        let epoch = index_of(Column::Epoch).expect("leases have an epoch");
        if number(&other.cells[epoch]) > number(&row.cells[epoch]) {
            *row = other;
        }
        return;
    }
    let sum = index_of(Column::InFlight).map(|at| {
        let (a, b) = (number(&row.cells[at]), number(&other.cells[at]));
        (at, if a.is_none() && b.is_none() { None } else { Some(a.unwrap_or(0) + b.unwrap_or(0)) })
    });
    if let Some(age) = index_of(Column::Age) {
        let is_newer = match (number(&row.cells[age]), number(&other.cells[age])) {
            (Some(mine), Some(theirs)) => theirs < mine,
            (None, Some(_)) => true,
            (_, None) => false,
        };
        if is_newer {
            *row = other;
        }
    }
    if let Some((at, Some(sum))) = sum {
        row.cells[at] = sum.to_smolstr();
    }
}
