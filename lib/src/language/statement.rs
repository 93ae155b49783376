//! The statements of the query language.

use smol_str::SmolStr;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::config::change::Edit;
use crate::id::{Generation, Name};
use crate::unit::Tokens;

/// A statement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Statement {
    /// Lists rows.
    Show(Query),
    /// Counts rows.
    Count(Count),
    /// Changes the configuration atomically.
    Change(Vec<Edit>),
    /// Reverts the change of a generation; `None` for the current one.
    Undo(Option<Generation>),
    /// Previews a change without applying it.
    Plan(Box<Statement>),
    /// Lists the most recent operations.
    History(Option<usize>),
    /// Explains where a request would be routed and why.
    ExplainRequest(HypotheticalRequest),
    /// Explains the current roles of a service's runners.
    ExplainRoles(Name),
}

/// The kind of rows that a query returns.
#[derive(Clone, Copy, Debug, Display, EnumIter, EnumString, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Subject {
    /// Models.
    Models,
    /// Services.
    Services,
    /// Runners and their load.
    Runners,
    /// Client accounts.
    Accounts,
    /// Policies.
    Policies,
    /// Operators.
    Operators,
    /// Nodes of this system.
    Nodes,
    /// The lease holder of each service.
    Leases,
}

/// A column of a row.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    EnumIter,
    EnumString,
    Eq,
    Hash,
    IntoStaticStr,
    Ord,
    PartialEq,
    PartialOrd,
)]
#[strum(serialize_all = "snake_case")]
pub enum Column {
    /// The name.
    Name,
    /// The service of a runner, policy or lease.
    Service,
    /// An IP address and port.
    Address,
    /// The data centre.
    DataCentre,
    /// The role of a runner or operator.
    Role,
    /// The state of a runner or node.
    State,
    /// Whether a runner checks fencing tokens.
    Fencing,
    /// The number of requests that a runner processes concurrently.
    Slots,
    /// The number of requests in flight on this node.
    InFlight,
    /// The number of queued requests.
    Queue,
    /// The last reported load, in percent.
    Load,
    /// The age of the row's data, in milliseconds.
    Age,
    /// The generation in force.
    Generation,
    /// The incarnation of a node.
    Incarnation,
    /// The holder of a lease.
    Holder,
    /// The fencing token of a lease.
    Epoch,
    /// Whether a service is a model service or a plain HTTP service.
    Form,
    /// The model of a service.
    Model,
    /// The version of a model.
    Version,
    /// The location of a model's weights.
    Weights,
    /// A deadline.
    Deadline,
    /// A priority.
    Priority,
    /// The request rate limit, per second.
    Rate,
    /// The number of requests allowed in a burst beyond the rate.
    Burst,
    /// The maximum number of concurrent requests.
    Concurrency,
    /// The weight of a share under contention.
    Weight,
    /// The account of a policy.
    Account,
    /// The retry budget.
    RetryBudget,
    /// The cost of a role change.
    RolePrice,
    /// The percentage of runners that may be unavailable at the same time.
    AwayLimit,
}

impl Subject {
    /// The columns of this kind of rows, in display order.
    pub fn columns(self) -> &'static [Column] {
        use Column::*;
        match self {
            Subject::Models => &[Name, Version, Weights],
            Subject::Services => {
                &[Name, Form, Model, Deadline, Priority, RetryBudget, RolePrice, AwayLimit, Queue]
            }
            Subject::Runners => &[
                Name, Service, Address, DataCentre, Role, State, Fencing, Slots, InFlight, Queue,
                Load, Age,
            ],
            Subject::Accounts => &[Name, Rate, Burst, Concurrency, Priority, Weight, InFlight],
            Subject::Policies => &[Name, Service, Account, Priority, Deadline, DataCentre],
            Subject::Operators => &[Name, Role],
            Subject::Nodes => &[Name, Address, DataCentre, State, Generation, Incarnation, Age],
            Subject::Leases => &[Service, Holder, Epoch, Age],
        }
    }
}

/// A comparison operator.
#[derive(Clone, Copy, Debug, Display, EnumIter, EnumString, Eq, PartialEq)]
pub enum Operator {
    /// Equal.
    #[strum(serialize = "=")]
    Equal,
    /// Not equal.
    #[strum(serialize = "!=")]
    NotEqual,
    /// Less than.
    #[strum(serialize = "<")]
    Less,
    /// Less than or equal.
    #[strum(serialize = "<=")]
    AtMost,
    /// Greater than.
    #[strum(serialize = ">")]
    Greater,
    /// Greater than or equal.
    #[strum(serialize = ">=")]
    AtLeast,
    /// Contains the value as a substring.
    #[strum(serialize = "~")]
    Contains,
}

/// A condition on a column.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Condition {
    /// The column.
    pub column: Column,
    /// The comparison operator.
    pub operator: Operator,
    /// The value to compare with.
    pub value: SmolStr,
}

/// The sort order of rows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Order {
    /// The column to sort by.
    pub column: Column,
    /// Whether the largest value comes first.
    pub descending: bool,
}

/// A query for rows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Query {
    /// The kind of rows.
    pub subject: Subject,
    /// The columns to return; empty for all.
    pub columns: Vec<Column>,
    /// The conditions, all of which must hold.
    pub conditions: Vec<Condition>,
    /// The sort order.
    pub order: Option<Order>,
    /// The maximum number of rows.
    pub limit: Option<usize>,
}

/// A query for the number of rows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Count {
    /// The kind of rows.
    pub subject: Subject,
    /// The conditions, all of which must hold.
    pub conditions: Vec<Condition>,
    /// The column to group by.
    pub by: Option<Column>,
}

/// A hypothetical request to explain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HypotheticalRequest {
    /// The service.
    pub service: Name,
    /// The length of the prompt.
    pub prompt: Option<Tokens>,
    /// The length of the output.
    pub output: Option<Tokens>,
    /// The account of the request.
    pub account: Option<Name>,
}
