//! Rows, and the filters, order and counts of queries on them.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::language::statement::{Column, Condition, Count, Operator, Query};

/// A row with one cell for each column of its subject, in the subject's order.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The cells.
    pub cells: Vec<SmolStr>,
}

/// The result of a query, with the information needed to judge whether it is complete.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Table {
    /// The column headings.
    pub columns: Vec<SmolStr>,
    /// The rows.
    pub rows: Vec<Row>,
    /// The nodes that should have answered and did not.
    pub missing: Vec<SmolStr>,
}

/// Compares two cells as numbers if both are numbers, otherwise as text.
pub fn compare(a: &str, b: &str) -> Ordering {
    match (a.parse::<f64>(), b.parse::<f64>()) {
        (Ok(a), Ok(b)) => a.total_cmp(&b),
        _ => a.cmp(b),
    }
}

fn satisfies(cell: &str, condition: &Condition) -> bool {
    let order = compare(cell, &condition.value);
    match condition.operator {
        Operator::Equal => order == Ordering::Equal,
        Operator::NotEqual => order != Ordering::Equal,
        Operator::Less => order == Ordering::Less,
        Operator::AtMost => order != Ordering::Greater,
        Operator::Greater => order == Ordering::Greater,
        Operator::AtLeast => order != Ordering::Less,
        Operator::Contains => cell.contains(condition.value.as_str()),
    }
}

fn column_index(columns: &[Column], column: Column) -> usize {
    columns.iter().position(|c| *c == column).expect("the parser checked the column")
}

fn matches(columns: &[Column], row: &Row, conditions: &[Condition]) -> bool {
    conditions.iter().all(|c| satisfies(&row.cells[column_index(columns, c.column)], c))
}

/// Evaluates `query` on all rows of its subject.
pub fn show(query: &Query, rows: Vec<Row>) -> Table {
    let subject_columns = query.subject.columns();
    let mut rows: Vec<Row> =
        rows.into_iter().filter(|row| matches(subject_columns, row, &query.conditions)).collect();
    if let Some(order) = query.order {
        let at = column_index(subject_columns, order.column);
        rows.sort_by(|a, b| {
            let by = compare(&a.cells[at], &b.cells[at]);
            if order.descending { by.reverse() } else { by }
        });
    }
    if let Some(limit) = query.limit {
        rows.truncate(limit);
    }
    let shown = if query.columns.is_empty() { subject_columns } else { &query.columns };
    let indices: Vec<usize> = shown.iter().map(|c| column_index(subject_columns, *c)).collect();
    let pick = |row: Row| Row { cells: indices.iter().map(|at| row.cells[*at].clone()).collect() };
    Table {
        columns: shown.iter().map(|c| SmolStr::new_static((*c).into())).collect(),
        rows: rows.into_iter().map(pick).collect(),
        missing: Vec::new(),
    }
}

/// Evaluates `count` on all rows of its subject.
pub fn count(count: &Count, rows: &[Row]) -> Table {
    let subject_columns = count.subject.columns();
    let matching = rows.iter().filter(|row| matches(subject_columns, row, &count.conditions));
    let Some(by) = count.by else {
        let number = SmolStr::new(matching.count().to_string());
        let rows = vec![Row { cells: vec![number] }];
        return Table { columns: vec![SmolStr::new("count")], rows, missing: Vec::new() };
    };
    let at = column_index(subject_columns, by);
    let mut groups: BTreeMap<SmolStr, usize> = BTreeMap::new();
    for row in matching {
        *groups.entry(row.cells[at].clone()).or_default() += 1;
    }
    let rows = groups
        .into_iter()
        .map(|(value, n)| Row { cells: vec![value, SmolStr::new(n.to_string())] })
        .collect();
    let columns = vec![SmolStr::new_static(by.into()), SmolStr::new("count")];
    Table { columns, rows, missing: Vec::new() }
}
