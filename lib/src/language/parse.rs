//! Parses text into statements. An error gives the position of the offending word and what was expected
//! there.

use std::str::FromStr;

use pest::Parser;
use pest::error::{ErrorVariant, LineColLocation};
use pest::iterators::Pair;
use smol_str::SmolStr;
use strum::IntoEnumIterator;
use thiserror::Error;

use super::statement::{
    Column, Condition, Count, HypotheticalRequest, Operator, Order, Query, Statement, Subject,
};
use crate::config::change::{Edit, admission};
use crate::config::object::Admission;
use crate::config::record::{Assignment, Field, Key, Kind};
use crate::id::{Generation, Name};
use crate::unit::Tokens;

/// The maximum length of a text in bytes.
pub const MAX_TEXT: usize = 1 << 18;

/// The parser generated from the grammar.
#[allow(missing_docs)]
mod grammar {
    #[derive(pest_derive::Parser)]
    #[grammar = "language/grammar.pest"]
    pub(super) struct Grammar;
}

use grammar::{Grammar, Rule};

/// A syntax error.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("line {line}, column {column}: at {found:?}: {expected}")]
pub struct ParseError {
    /// The line number, starting at 1.
    pub line: usize,
    /// The column in characters, starting at 1.
    pub column: usize,
    /// The offending word; empty at the end of the text.
    pub found: String,
    /// What was expected instead.
    pub expected: String,
}

/// Parses a text into statements.
///
/// # Errors
/// The position of the first offending word and what was expected there.
pub fn parse(text: &str) -> Result<Vec<Statement>, ParseError> {
    if text.len() > MAX_TEXT {
        let expected = format!("a text of at most {MAX_TEXT} bytes");
        return Err(ParseError { line: 1, column: 1, found: String::new(), expected });
    }
    let mut input =
        Grammar::parse(Rule::input, text).map_err(|error| syntax_error(text, &error))?;
    let Some(input) = input.next() else { return Ok(Vec::new()) };
    input.into_inner().filter(|p| p.as_rule() != Rule::EOI).map(statement).collect()
}

fn syntax_error(text: &str, error: &pest::error::Error<Rule>) -> ParseError {
    let (line, column) = match error.line_col {
        LineColLocation::Pos(at) | LineColLocation::Span(at, _) => at,
    };
    let expected = match &error.variant {
        ErrorVariant::ParsingError { positives, .. } => expected(positives),
        ErrorVariant::CustomError { message } => message.clone(),
    };
    ParseError { line, column, found: word_at(text, line, column), expected }
}

fn word_at(text: &str, line: usize, column: usize) -> String {
    let line = text.split('\n').nth(line - 1).unwrap_or_default();
    let rest: String = line.chars().skip(column - 1).collect();
    rest.split_whitespace().next().unwrap_or_default().to_owned()
}

fn expected(rules: &[Rule]) -> String {
    let mut names: Vec<String> = rules.iter().map(|rule| rule_name(*rule)).collect();
    names.sort();
    names.dedup();
    format!("expected {}", names.join(" or "))
}

fn rule_name(rule: Rule) -> String {
    let name = format!("{rule:?}");
    match rule {
        Rule::EOI => "the end".to_owned(),
        Rule::operator => "one of = != < <= > >= ~".to_owned(),
        Rule::conditions => "'where'".to_owned(),
        Rule::assignments | Rule::assignment => "field = value".to_owned(),
        Rule::columns => "'(' with columns".to_owned(),
        Rule::order => "'order by'".to_owned(),
        Rule::limit => "'limit'".to_owned(),
        Rule::grouping => "'by'".to_owned(),
        Rule::prompt_part => "'prompt'".to_owned(),
        Rule::output_part => "'output'".to_owned(),
        Rule::account_part => "'account'".to_owned(),
        Rule::history
        | Rule::undo
        | Rule::explain
        | Rule::show
        | Rule::count
        | Rule::plan
        | Rule::create
        | Rule::set
        | Rule::delete
        | Rule::drain
        | Rule::resume => {
            format!("'{name}'")
        }
        Rule::batch => "'begin'".to_owned(),
        Rule::edit => "'create', 'set', 'delete', 'drain' or 'resume'".to_owned(),
        _ => match name.strip_suffix("_word") {
            Some(word) => format!("'{word}'"),
            None => format!("a {name}"),
        },
    }
}

/// An error for a word that matches the grammar but is not a known name.
fn word_error(pair: &Pair<Rule>, expected: String) -> ParseError {
    let (line, column) = pair.line_col();
    ParseError { line, column, found: pair.as_str().to_owned(), expected }
}

fn unknown_word<T>(pair: &Pair<Rule>, names: impl Iterator<Item = T>) -> ParseError
where
    T: std::fmt::Display,
{
    let names: Vec<String> = names.map(|n| n.to_string()).collect();
    word_error(pair, format!("expected one of {}", names.join(", ")))
}

fn parse_word<T>(pair: &Pair<Rule>) -> Result<T, ParseError>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    pair.as_str().parse().map_err(|error| word_error(pair, format!("{error}")))
}

fn kind(pair: &Pair<Rule>) -> Result<Kind, ParseError> {
    pair.as_str().parse().map_err(|_| unknown_word(pair, Kind::iter()))
}

/// The inner pairs without keywords.
fn parts(pair: Pair<Rule>) -> impl Iterator<Item = Pair<Rule>> {
    pair.into_inner().filter(|p| !format!("{:?}", p.as_rule()).ends_with("_word"))
}

fn statement(pair: Pair<Rule>) -> Result<Statement, ParseError> {
    match pair.as_rule() {
        Rule::batch => batch(pair),
        Rule::plan => {
            let inner = parts(pair).next().expect("plan has a statement");
            Ok(Statement::Plan(Box::new(statement(inner)?)))
        }
        Rule::show => show(pair).map(Statement::Show),
        Rule::count => count(pair).map(Statement::Count),
        Rule::history => {
            let limit = parts(pair).next().map(limit).transpose()?;
            Ok(Statement::History(limit))
        }
        Rule::undo => {
            let generation =
                parts(pair).next().map(|p| parse_word::<Generation>(&p)).transpose()?;
            Ok(Statement::Undo(generation))
        }
        Rule::explain => explain(pair),
        _ => edit(pair).map(|edit| Statement::Change(vec![edit])),
    }
}

fn batch(pair: Pair<Rule>) -> Result<Statement, ParseError> {
    let edits = parts(pair).map(edit).collect::<Result<_, _>>()?;
    Ok(Statement::Change(edits))
}

fn edit(pair: Pair<Rule>) -> Result<Edit, ParseError> {
    let pair = match pair.as_rule() {
        Rule::edit => pair.into_inner().next().expect("an edit has one form"),
        _ => pair,
    };
    let rule = pair.as_rule();
    let mut parts = parts(pair);
    if matches!(rule, Rule::drain | Rule::resume) {
        let name = parse_word(&parts.next().expect("a runner is named"))?;
        let state = if rule == Rule::drain { Admission::Drain } else { Admission::Ready };
        return Ok(admission(name, state));
    }
    let kind = kind(&parts.next().expect("a kind is named"))?;
    let name = parse_word(&parts.next().expect("an object is named"))?;
    let key = Key { kind, name };
    let fields = match parts.next() {
        Some(pair) => pair.into_inner().map(|p| assignment(kind, p)).collect::<Result<_, _>>()?,
        None => Vec::new(),
    };
    Ok(match rule {
        Rule::create => Edit::Create { key, fields },
        Rule::set => Edit::Set { key, fields },
        _ => Edit::Delete { key },
    })
}

fn assignment(kind: Kind, pair: Pair<Rule>) -> Result<Assignment, ParseError> {
    let mut inner = pair.into_inner();
    let field_pair = inner.next().expect("an assignment has a field");
    let known = kind.fields();
    let field: Field = field_pair
        .as_str()
        .parse()
        .ok()
        .filter(|field| known.contains(field))
        .ok_or_else(|| unknown_word(&field_pair, known.iter()))?;
    let value = value(inner.next().expect("an assignment has a value"));
    Ok(Assignment { field, value })
}

fn value(pair: Pair<Rule>) -> SmolStr {
    let form = pair.into_inner().next().expect("a value has one form");
    match form.as_rule() {
        Rule::quoted => {
            let inner = form.into_inner().next().expect("a quoted value has an inside");
            SmolStr::new(inner.as_str())
        }
        _ => SmolStr::new(form.as_str()),
    }
}

fn subject(pair: &Pair<Rule>) -> Result<Subject, ParseError> {
    pair.as_str().parse().map_err(|_| unknown_word(pair, Subject::iter()))
}

fn column(subject: Subject, pair: &Pair<Rule>) -> Result<Column, ParseError> {
    let known = subject.columns();
    pair.as_str()
        .parse()
        .ok()
        .filter(|column| known.contains(column))
        .ok_or_else(|| unknown_word(pair, known.iter()))
}

fn limit(pair: Pair<Rule>) -> Result<usize, ParseError> {
    parse_word(&parts(pair).next().expect("a limit has a number"))
}

fn show(pair: Pair<Rule>) -> Result<Query, ParseError> {
    let mut parts = parts(pair);
    let subject = subject(&parts.next().expect("a subject is named"))?;
    let mut query =
        Query { subject, columns: Vec::new(), conditions: Vec::new(), order: None, limit: None };
    for part in parts {
        match part.as_rule() {
            Rule::columns => {
                query.columns =
                    part.into_inner().map(|p| column(subject, &p)).collect::<Result<_, _>>()?;
            }
            Rule::conditions => query.conditions = conditions(subject, part)?,
            Rule::order => query.order = Some(order(subject, part)?),
            _ => query.limit = Some(limit(part)?),
        }
    }
    Ok(query)
}

fn count(pair: Pair<Rule>) -> Result<Count, ParseError> {
    let mut parts = parts(pair);
    let subject = subject(&parts.next().expect("a subject is named"))?;
    let mut count = Count { subject, conditions: Vec::new(), by: None };
    for part in parts {
        match part.as_rule() {
            Rule::conditions => count.conditions = conditions(subject, part)?,
            _ => {
                let by = self::parts(part).next().expect("a column is named");
                count.by = Some(column(subject, &by)?);
            }
        }
    }
    Ok(count)
}

fn conditions(subject: Subject, pair: Pair<Rule>) -> Result<Vec<Condition>, ParseError> {
    parts(pair).map(|p| condition(subject, p)).collect()
}

fn condition(subject: Subject, pair: Pair<Rule>) -> Result<Condition, ParseError> {
    let mut inner = pair.into_inner();
    let column = column(subject, &inner.next().expect("a condition has a column"))?;
    let operator_pair = inner.next().expect("a condition has an operator");
    let operator = operator_pair
        .as_str()
        .parse()
        .map_err(|_| unknown_word(&operator_pair, Operator::iter()))?;
    let value = value(inner.next().expect("a condition has a value"));
    Ok(Condition { column, operator, value })
}

fn order(subject: Subject, pair: Pair<Rule>) -> Result<Order, ParseError> {
    let mut parts = parts(pair);
    let column = column(subject, &parts.next().expect("an order has a column"))?;
    let descending = parts.next().is_some_and(|p| p.as_str() == "desc");
    Ok(Order { column, descending })
}

fn explain(pair: Pair<Rule>) -> Result<Statement, ParseError> {
    let form = parts(pair).next().expect("explain has a form");
    let rule = form.as_rule();
    let mut parts = parts(form);
    let name: Name = parse_word(&parts.next().expect("explain names a service"))?;
    if rule == Rule::explain_roles {
        return Ok(Statement::ExplainRoles(name));
    }
    let mut request =
        HypotheticalRequest { service: name, prompt: None, output: None, account: None };
    for part in parts {
        let rule = part.as_rule();
        let inner = self::parts(part).next().expect("a part has a value");
        match rule {
            Rule::prompt_part => request.prompt = Some(parse_word::<Tokens>(&inner)?),
            Rule::output_part => request.output = Some(parse_word::<Tokens>(&inner)?),
            _ => request.account = Some(parse_word(&inner)?),
        }
    }
    Ok(Statement::ExplainRequest(request))
}
