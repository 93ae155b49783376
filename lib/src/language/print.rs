//! Formats statements as text that parses to the same statements.

use std::fmt;

use super::statement::{Condition, Count, HypotheticalRequest, Query, Statement};
use crate::config::change::Edit;
use crate::config::record::Assignment;

impl fmt::Display for Statement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Statement::Show(query) => query.fmt(f),
            Statement::Count(count) => count.fmt(f),
            Statement::Change(edits) => fmt_edits(f, edits),
            Statement::Undo(None) => f.write_str("undo"),
            Statement::Undo(Some(generation)) => write!(f, "undo {generation}"),
            Statement::Plan(inner) => write!(f, "plan {inner}"),
            Statement::History(None) => f.write_str("history"),
            Statement::History(Some(limit)) => write!(f, "history limit {limit}"),
            Statement::ExplainRequest(request) => request.fmt(f),
            Statement::ExplainRoles(service) => write!(f, "explain roles {service}"),
        }
    }
}

fn fmt_edits(f: &mut fmt::Formatter<'_>, edits: &[Edit]) -> fmt::Result {
    if let [edit] = edits {
        return write!(f, "{edit}");
    }
    f.write_str("begin; ")?;
    for edit in edits {
        write!(f, "{edit}; ")?;
    }
    f.write_str("commit")
}

impl fmt::Display for Edit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Edit::Create { key, fields } => {
                write!(f, "create {key}")?;
                fmt_assignments(f, fields)
            }
            Edit::Set { key, fields } => {
                write!(f, "set {key}")?;
                fmt_assignments(f, fields)
            }
            Edit::Delete { key } => write!(f, "delete {key}"),
            Edit::Restore { key, record: Some(_) } => write!(f, "# restores {key}"),
            Edit::Restore { key, record: None } => write!(f, "# removes {key}"),
        }
    }
}

fn fmt_assignments(f: &mut fmt::Formatter<'_>, fields: &[Assignment]) -> fmt::Result {
    for (index, assignment) in fields.iter().enumerate() {
        let comma = if index > 0 { "," } else { "" };
        write!(f, "{comma} {} = {}", assignment.field, Quoted(&assignment.value))?;
    }
    Ok(())
}

/// A quoted value, which can contain all characters except quotes and newlines.
struct Quoted<'a>(&'a str);

impl fmt::Display for Quoted<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "\"{}\"", self.0)
    }
}

fn fmt_conditions(f: &mut fmt::Formatter<'_>, conditions: &[Condition]) -> fmt::Result {
    for (index, condition) in conditions.iter().enumerate() {
        let keyword = if index == 0 { "where" } else { "and" };
        let Condition { column, operator, value } = condition;
        write!(f, " {keyword} {column} {operator} {}", Quoted(value))?;
    }
    Ok(())
}

impl fmt::Display for Query {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "show {}", self.subject)?;
        if !self.columns.is_empty() {
            let columns: Vec<&str> = self.columns.iter().map(std::convert::Into::into).collect();
            write!(f, " ({})", columns.join(", "))?;
        }
        fmt_conditions(f, &self.conditions)?;
        if let Some(order) = self.order {
            let direction = if order.descending { "desc" } else { "asc" };
            write!(f, " order by {} {direction}", order.column)?;
        }
        match self.limit {
            Some(limit) => write!(f, " limit {limit}"),
            None => Ok(()),
        }
    }
}

impl fmt::Display for Count {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "count {}", self.subject)?;
        fmt_conditions(f, &self.conditions)?;
        match self.by {
            Some(column) => write!(f, " by {column}"),
            None => Ok(()),
        }
    }
}

impl fmt::Display for HypotheticalRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "explain service {}", self.service)?;
        if let Some(prompt) = self.prompt {
            write!(f, " prompt {prompt}")?;
        }
        if let Some(output) = self.output {
            write!(f, " output {output}")?;
        }
        match &self.account {
            Some(account) => write!(f, " account {account}"),
            None => Ok(()),
        }
    }
}
