//! What can be said in the operators' language.

use smol_str::SmolStr;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::config::change::Edit;
use crate::id::{Generation, Name};
use crate::unit::Tokens;

/// One statement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Statement {
    /// Shows rows.
    Show(Query),
    /// Counts rows.
    Count(Count),
    /// Changes the configuration, whole or not at all.
    Change(Vec<Edit>),
    /// Puts the configuration back to before a generation's change.
    Undo(Option<Generation>),
    /// Says what a change would do.
    Plan(Box<Statement>),
    /// Lists the newest operations.
    History(Option<usize>),
    /// Says where a request would go and why.
    ExplainRequest(Probe),
    /// Says why the roles of a service are as they are.
    ExplainRoles(Name),
}

/// Rows of which kind.
#[derive(Clone, Copy, Debug, Display, EnumIter, EnumString, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Subject {
    /// Models.
    Models,
    /// Services.
    Services,
    /// Runners with their load.
    Runners,
    /// Client accounts.
    Accounts,
    /// Policies.
    Policies,
    /// Operators.
    Operators,
    /// The system's own nodes.
    Nodes,
    /// Who holds the authority over each service.
    Leases,
}

/// A column of rows.
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
    /// Whether a runner checks fencing numbers.
    Fencing,
    /// How many requests a runner works on at once.
    Slots,
    /// Requests that this node has under way.
    InFlight,
    /// Requests that wait.
    Queue,
    /// The load as last reported, in hundredths.
    Load,
    /// The age of what the row says, in milliseconds.
    Age,
    /// The generation in force.
    Generation,
    /// The life of a node.
    Incarnation,
    /// The holder of a lease.
    Holder,
    /// The fencing number of a lease.
    Epoch,
    /// Model or plain.
    Form,
    /// The model of a service.
    Model,
    /// The version of a model.
    Version,
    /// Where weights are kept.
    Weights,
    /// A deadline.
    Deadline,
    /// A priority.
    Priority,
    /// Requests a second.
    Rate,
    /// Requests at once beyond the rate.
    Burst,
    /// Requests under way at once.
    Concurrency,
    /// A share.
    Weight,
    /// The account of a policy.
    Account,
    /// Tries beyond the first.
    RetryBudget,
    /// The price of a role change.
    RolePrice,
    /// The share that may be away.
    AwayLimit,
}

impl Subject {
    /// The columns that rows of this kind have, in the order in which they are shown.
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

/// How a condition compares.
#[derive(Clone, Copy, Debug, Display, EnumIter, EnumString, Eq, PartialEq)]
pub enum Operator {
    /// Equal.
    #[strum(serialize = "=")]
    Equal,
    /// Not equal.
    #[strum(serialize = "!=")]
    NotEqual,
    /// Less.
    #[strum(serialize = "<")]
    Less,
    /// Less or equal.
    #[strum(serialize = "<=")]
    AtMost,
    /// More.
    #[strum(serialize = ">")]
    Greater,
    /// More or equal.
    #[strum(serialize = ">=")]
    AtLeast,
    /// Has the value as a part.
    #[strum(serialize = "~")]
    Contains,
}

/// A condition on a column.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Condition {
    /// The column.
    pub column: Column,
    /// How it is compared.
    pub operator: Operator,
    /// With what.
    pub value: SmolStr,
}

/// In which order rows come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Order {
    /// The column that decides.
    pub column: Column,
    /// Largest first.
    pub descending: bool,
}

/// A question for rows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Query {
    /// Rows of which kind.
    pub subject: Subject,
    /// Which columns; empty for all.
    pub columns: Vec<Column>,
    /// All must hold.
    pub conditions: Vec<Condition>,
    /// In which order.
    pub order: Option<Order>,
    /// At most so many.
    pub limit: Option<usize>,
}

/// A question for a number of rows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Count {
    /// Rows of which kind.
    pub subject: Subject,
    /// All must hold.
    pub conditions: Vec<Condition>,
    /// One number for each value of this column.
    pub by: Option<Column>,
}

/// A request that is only thought of.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Probe {
    /// The service.
    pub service: Name,
    /// The length of its prompt.
    pub prompt: Option<Tokens>,
    /// The length of its output.
    pub output: Option<Tokens>,
    /// Whose it is.
    pub account: Option<Name>,
}
