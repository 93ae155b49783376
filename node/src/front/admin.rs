//! The administration API: the operators' command language over HTTP.

use std::sync::Arc;
use std::time::Duration;

use dropshot::{
    Body, ClientErrorStatusCode, HttpError, HttpResponseOk, Path, RequestContext, TypedBody,
    endpoint,
};
use http::{HeaderValue, Response, header};
use rand::RngExt as _;
use sardinepick_lib::config::change::{ChangeError, Edit, prepare};
use sardinepick_lib::config::head::ChangeId;
use sardinepick_lib::config::object::Right;
use sardinepick_lib::config::record::Kind;
use sardinepick_lib::id::Generation;
use sardinepick_lib::language::{Statement, parse};
use sardinepick_lib::query::{self, Row, Table};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, ToSmolStr, format_smolstr};

use super::account::{self, Operator};
use super::{Context, HandlerResult};
use crate::explain;
use crate::gather::gather;
use crate::node::Node;
use crate::write::{self, ChangeBody, ChangeRequest, WriteError};

/// How long a command waits for all nodes by default.
const DEFAULT_WAIT_TIMEOUT: Duration = Duration::from_secs(12);

/// How many operations are listed by default.
const DEFAULT_HISTORY_LIMIT: usize = 20;

/// A command.
#[derive(Debug, Deserialize, JsonSchema)]
pub struct Command {
    /// One or more statements in the command language. At most one of them may change the
    /// configuration; several edits must be between `begin` and `commit`.
    text: String,
    /// The ID of the change. A change with the same ID is never applied twice.
    change_id: Option<String>,
    /// The generation that the operator saw; by default the one in force at this node.
    base: Option<u64>,
    /// How long to wait until all nodes have the change, in milliseconds.
    wait_ms: Option<u64>,
}

/// A table of results.
#[derive(Debug, Serialize, JsonSchema)]
pub struct Rows {
    /// The column names.
    columns: Vec<String>,
    /// The rows.
    rows: Vec<Vec<String>>,
    /// The nodes that did not answer.
    missing: Vec<String>,
}

impl From<Table> for Rows {
    fn from(table: Table) -> Self {
        let texts = |cells: Vec<SmolStr>| cells.iter().map(ToString::to_string).collect();
        Self {
            columns: texts(table.columns),
            rows: table.rows.into_iter().map(|row| texts(row.cells)).collect(),
            missing: texts(table.missing),
        }
    }
}

/// The result of a change.
#[derive(Debug, Serialize, JsonSchema)]
pub struct Applied {
    /// The ID of the change.
    change_id: String,
    /// The generation that it created.
    generation: u64,
    /// How many nodes have applied it.
    applied: usize,
    /// How many nodes there are.
    nodes: usize,
    /// The nodes that have not confirmed it.
    waiting_for: Vec<String>,
}

/// The result of one statement.
#[derive(Debug, Serialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Rows.
    Rows(Rows),
    /// A change.
    Applied(Applied),
}

/// The results of a command.
#[derive(Debug, Serialize, JsonSchema)]
pub struct Outcomes {
    /// One for each statement.
    results: Vec<Outcome>,
    /// The generation in force at the node that answered.
    generation: u64,
}

/// The state of a change.
#[derive(Debug, Serialize, JsonSchema)]
pub struct Found {
    /// The ID of the change.
    change_id: String,
    /// The generation that it created; `None` if it has not been applied.
    generation: Option<u64>,
}

/// The path parameters of a change request.
#[derive(Debug, Deserialize, JsonSchema)]
pub struct ChangePath {
    /// The ID of the change.
    id: String,
}

fn client_error(status: ClientErrorStatusCode, code: &str, message: String) -> HttpError {
    HttpError::for_client_error(Some(code.to_owned()), status, message)
}

fn bad_request(code: &str, message: impl std::fmt::Display) -> HttpError {
    client_error(ClientErrorStatusCode::BAD_REQUEST, code, message.to_string())
}

fn write_error(error: &WriteError) -> HttpError {
    match error {
        WriteError::Change(ChangeError::Conflict { .. } | ChangeError::TooOld(_))
        | WriteError::Contended => {
            client_error(ClientErrorStatusCode::CONFLICT, "conflict", error.to_string())
        }
        WriteError::Change(_) | WriteError::NoGeneration(_) => bad_request("refused", error),
        WriteError::NotApplied(_) => {
            let mut unavailable =
                HttpError::for_unavail(Some("not_applied".to_owned()), error.to_string());
            unavailable.external_message = error.to_string();
            unavailable
        }
        WriteError::Unknown(_) => {
            let mut unavailable =
                HttpError::for_unavail(Some("unknown".to_owned()), error.to_string());
            unavailable.external_message = error.to_string();
            unavailable
        }
    }
}

fn authenticate(context: &RequestContext<Context>) -> Result<Operator, HttpError> {
    let node = context.context();
    let snapshot = node.config.load_full();
    account::authenticate_operator(node, &snapshot, context.request.headers()).map_err(|error| {
        client_error(ClientErrorStatusCode::UNAUTHORIZED, "unauthorized", error.message)
    })
}

/// Executes a command of the operators' language.
#[endpoint { method = POST, path = "/admin/v1/command" }]
pub async fn run_command(
    context: RequestContext<Context>,
    command: TypedBody<Command>,
) -> Result<HttpResponseOk<Outcomes>, HttpError> {
    let node = context.context();
    let operator = authenticate(&context)?;
    let command = command.into_inner();
    let statements = parse(&command.text).map_err(|error| bad_request("syntax", error))?;
    let changes = statements.iter().filter(|s| is_change(s)).count();
    if changes > 1 {
        let message = "a command may change the configuration once; put edits between begin and \
                       commit";
        return Err(bad_request("several_changes", message));
    }
    for statement in &statements {
        check_right(&operator, statement)?;
    }
    log::info!(operator:% = operator.name, text = command.text.as_str(); "command");
    let mut results = Vec::with_capacity(statements.len());
    for statement in statements {
        results.push(execute(node, &operator, &command, statement).await?);
    }
    let generation = node.config.load().generation.0;
    Ok(HttpResponseOk(Outcomes { results, generation }))
}

/// Reports whether a change has been applied.
#[endpoint { method = GET, path = "/admin/v1/changes/{id}" }]
pub async fn find_change(
    context: RequestContext<Context>,
    path: Path<ChangePath>,
) -> Result<HttpResponseOk<Found>, HttpError> {
    authenticate(&context)?;
    let text = path.into_inner().id;
    let change: ChangeId = text.parse().map_err(|error| bad_request("change_id", error))?;
    let generation =
        write::find_change(context.context(), &change).await.map_err(|e| write_error(&e))?;
    Ok(HttpResponseOk(Found { change_id: text, generation: generation.map(|g| g.0) }))
}

/// Returns the OpenAPI document of this API.
#[endpoint { method = GET, path = "/admin/v1/openapi.json" }]
pub async fn openapi(_context: RequestContext<Context>) -> HandlerResult {
    let api = super::api().map_err(|error| HttpError::for_internal_error(error.to_string()))?;
    let version = semver::Version::new(0, 1, 0);
    let mut document = Vec::new();
    api.openapi("sardinepick", version)
        .write(&mut document)
        .map_err(|error| HttpError::for_internal_error(error.to_string()))?;
    let mut response = Response::new(Body::from(document));
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    Ok(response)
}

fn is_change(statement: &Statement) -> bool {
    matches!(statement, Statement::Change(_) | Statement::Undo(_))
}

/// Returns the right that a statement requires. Setting fields of services, runners and policies
/// and draining runners requires the right to operate. Creating and deleting objects, and anything
/// that concerns keys, requires the right to administer.
fn required_right(statement: &Statement) -> Right {
    match statement {
        Statement::Change(edits) if edits.iter().all(is_operation) => Right::Operate,
        Statement::Change(_) | Statement::Undo(_) => Right::Administer,
        _ => Right::Look,
    }
}

fn is_operation(edit: &Edit) -> bool {
    let kind = edit.key().kind;
    matches!(edit, Edit::Set { .. }) && matches!(kind, Kind::Service | Kind::Runner | Kind::Policy)
}

fn check_right(operator: &Operator, statement: &Statement) -> Result<(), HttpError> {
    let required = required_right(statement);
    if operator.right >= required {
        return Ok(());
    }
    let message = format!("{} may {}, and this needs {required}", operator.name, operator.right);
    Err(client_error(ClientErrorStatusCode::FORBIDDEN, "forbidden", message))
}

async fn execute(
    node: &Arc<Node>,
    operator: &Operator,
    command: &Command,
    statement: Statement,
) -> Result<Outcome, HttpError> {
    let rows = |table: Table| Ok(Outcome::Rows(table.into()));
    match statement {
        Statement::Show(query) => {
            let gathered = gather(node, query.subject).await;
            let table = query::show(&query, gathered.rows);
            rows(Table { missing: gathered.missing, ..table })
        }
        Statement::Count(count) => {
            let gathered = gather(node, count.subject).await;
            let table = query::count(&count, &gathered.rows);
            rows(Table { missing: gathered.missing, ..table })
        }
        Statement::History(limit) => {
            let limit = limit.unwrap_or(DEFAULT_HISTORY_LIMIT);
            rows(history(node, limit).await.map_err(|error| write_error(&error.into()))?)
        }
        Statement::ExplainRequest(probe) => match explain::request(node, &probe) {
            Some(table) => rows(table),
            None => Err(bad_request("unknown_service", format!("no service {}", probe.service))),
        },
        Statement::ExplainRoles(service) => rows(explain::roles(node, &service)),
        Statement::Plan(inner) => rows(plan(node, &inner)?),
        Statement::Change(edits) => change(node, operator, command, ChangeBody::Edits(edits)).await,
        Statement::Undo(generation) => {
            let generation = generation.unwrap_or(node.config.load().generation);
            change(node, operator, command, ChangeBody::Undo(generation)).await
        }
    }
}

async fn history(node: &Node, limit: usize) -> Result<Table, crate::configuration::FetchError> {
    let operations = write::history(node, limit).await?;
    let columns = ["generation", "at_ms", "author", "change_id", "text"];
    let row = |o: &sardinepick_lib::config::head::Operation| Row {
        cells: vec![
            o.generation.to_smolstr(),
            o.at.to_smolstr(),
            o.author.to_smolstr(),
            o.change.to_smolstr(),
            o.text.clone(),
        ],
    };
    Ok(Table {
        columns: columns.iter().map(|c| SmolStr::new_static(c)).collect(),
        rows: operations.iter().map(row).collect(),
        missing: Vec::new(),
    })
}

/// Returns what a change would do to each object, without applying it.
fn plan(node: &Node, statement: &Statement) -> Result<Table, HttpError> {
    let Statement::Change(edits) = statement else {
        return Err(bad_request("plan", "only edits can be planned"));
    };
    let snapshot = node.config.load_full();
    let prepared = prepare(&snapshot, edits).map_err(|error| bad_request("refused", error))?;
    let mut rows = Vec::new();
    for key in &prepared.footprint.wrote {
        let before = snapshot.records.get(key);
        let after = prepared.snapshot.records.get(key);
        let effect = match (before, after) {
            (None, Some(_)) => "created",
            (Some(_), None) => "deleted",
            (Some(b), Some(a)) if b == a => "unchanged",
            _ => "changed",
        };
        let in_flight = node
            .pools()
            .iter()
            .flat_map(|pool| pool.state().views)
            .filter(|view| key.kind == Kind::Runner && view.name == key.name)
            .map(|view| view.in_flight)
            .sum::<u32>();
        rows.push(Row {
            cells: vec![
                key.to_smolstr(),
                SmolStr::new_static(effect),
                format_smolstr!("{in_flight} requests of this node under way"),
            ],
        });
    }
    let columns = ["object", "effect", "touches"];
    let columns = columns.iter().map(|c| SmolStr::new_static(c)).collect();
    Ok(Table { columns, rows, missing: Vec::new() })
}

fn new_change_id(node: &Node) -> ChangeId {
    let generation = node.config.load().generation;
    let draw: u64 = node.rng().random();
    format!("{generation}.{draw:016x}").parse().expect("the digits are a valid change ID")
}

async fn change(
    node: &Arc<Node>,
    operator: &Operator,
    command: &Command,
    body: ChangeBody,
) -> Result<Outcome, HttpError> {
    let change = match &command.change_id {
        Some(text) => text.parse().map_err(|error| bad_request("change_id", error))?,
        None => new_change_id(node),
    };
    let request = ChangeRequest {
        change,
        author: operator.name.clone(),
        text: SmolStr::new(&command.text),
        base: command.base.map_or(node.config.load().generation, Generation),
        body,
    };
    // The change runs in its own task, so that a client that disconnects does not leave behind an
    // update of the head whose outcome is never determined.
    let task = {
        let node = node.clone();
        let request = request.clone();
        tokio::spawn(async move { write::apply(&node, &request).await })
    };
    let applied = task.await.map_err(|error| HttpError::for_internal_error(error.to_string()))?;
    let generation = applied.map_err(|error| write_error(&error))?;
    log::info!(
        operator:% = operator.name, change:% = request.change, generation:% = generation;
        "change applied"
    );
    let timeout = command.wait_ms.map_or(DEFAULT_WAIT_TIMEOUT, Duration::from_millis);
    let (nodes, waiting) = write::wait_applied(node, generation, timeout).await;
    Ok(Outcome::Applied(Applied {
        change_id: request.change.to_string(),
        generation: generation.0,
        applied: nodes - waiting.len(),
        nodes,
        waiting_for: waiting.iter().map(ToString::to_string).collect(),
    }))
}
