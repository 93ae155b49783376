//! Configuration objects in their checked form, made from records by `TryFrom`.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use smol_str::SmolStr;
use thiserror::Error;

pub use super::choice::{Admission, Fencing, Form, Priority, Right, Role};
use super::record::{Field, Key, Kind};
use crate::hash::Digest;
use crate::id::Name;
use crate::unit::{Percent, RequestRate};

/// What is wrong with one object.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ObjectError {
    /// A field that the object must have is not set.
    #[error("{key}: {field} must be set: {expected}")]
    Missing {
        /// The object.
        key: Key,
        /// The field.
        field: Field,
        /// The accepted form.
        expected: SmolStr,
    },
    /// A field has a value that it may not have.
    #[error("{key}: {field} = {value:?} is not accepted: {expected}")]
    Value {
        /// The object.
        key: Key,
        /// The field.
        field: Field,
        /// The value as it was written.
        value: SmolStr,
        /// The accepted form.
        expected: SmolStr,
    },
    /// The object has a field that its kind does not have.
    #[error("{key}: a {} has no field {field}; it has {expected}", .key.kind)]
    Unknown {
        /// The object.
        key: Key,
        /// The field.
        field: Field,
        /// The fields of this kind.
        expected: SmolStr,
    },
    /// The object names another that is not there.
    #[error("{key}: {field} names {target}, which does not exist")]
    Reference {
        /// The object.
        key: Key,
        /// The field.
        field: Field,
        /// The object that is not there.
        target: Key,
    },
}

/// A model with its weights.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Model {
    /// Its name.
    pub name: Name,
    /// The version that engines should load.
    pub version: SmolStr,
    /// Where the weights are kept.
    pub weights: SmolStr,
}

/// A service that callers name in their requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: Name,
    /// Model or plain.
    pub form: Form,
    /// The model that its engines run, for a model service.
    pub model: Option<Name>,
    /// The time within which a request must be answered unless it says less.
    pub deadline: Duration,
    /// Tries beyond the first, in hundredths of the requests.
    pub retry_budget: Percent,
    /// The priority of its work.
    pub priority: Priority,
    /// What one role change costs beyond the engine's own time away; without a price engines keep
    /// the roles that operators give them.
    pub role_price: Option<Duration>,
    /// The share of its runners that may be away at once.
    pub away_limit: Percent,
}

/// A back end of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Runner {
    /// Its name.
    pub name: Name,
    /// Its service.
    pub service: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: Name,
    /// The role that operators gave it at first.
    pub role: Role,
    /// Whether it takes new work.
    pub state: Admission,
    /// Whether it checks fencing numbers.
    pub fencing: Fencing,
    /// How many requests it works on at once.
    pub slots: u32,
}

/// A client account.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Account {
    /// Its name.
    pub name: Name,
    /// The SHA-256 of its key.
    pub key: Digest,
    /// The rate that it may keep up.
    pub rate: RequestRate,
    /// What it may send at once beyond its rate.
    pub burst: u32,
    /// How many of its requests may be under way.
    pub concurrency: u32,
    /// The priority of its work.
    pub priority: Priority,
    /// Its share when there is not enough for all.
    pub weight: u32,
}

/// A rule for which work goes first.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Policy {
    /// Its name.
    pub name: Name,
    /// The service it speaks of, or all.
    pub service: Option<Name>,
    /// The account it speaks of, or all.
    pub account: Option<Name>,
    /// The priority it gives.
    pub priority: Option<Priority>,
    /// The deadline it gives.
    pub deadline: Option<Duration>,
    /// The data centre whose runners it prefers.
    pub data_centre: Option<Name>,
}

/// A person or program that may use the administration API.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Operator {
    /// Its name.
    pub name: Name,
    /// The SHA-256 of its key.
    pub key: Digest,
    /// What it may do.
    pub role: Right,
}

/// Any object in checked form.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Object {
    /// A model.
    Model(Model),
    /// A service.
    Service(Service),
    /// A runner.
    Runner(Runner),
    /// An account.
    Account(Account),
    /// A policy.
    Policy(Policy),
    /// An operator.
    Operator(Operator),
}

impl Kind {
    /// The fields that an object of this kind may have.
    pub fn fields(self) -> &'static [Field] {
        match self {
            Kind::Model => &[Field::Version, Field::Weights],
            Kind::Service => &[
                Field::Form,
                Field::Model,
                Field::Deadline,
                Field::RetryBudget,
                Field::Priority,
                Field::RolePrice,
                Field::AwayLimit,
            ],
            Kind::Runner => &[
                Field::Service,
                Field::Address,
                Field::DataCentre,
                Field::Role,
                Field::State,
                Field::Fencing,
                Field::Slots,
            ],
            Kind::Account => &[
                Field::Key,
                Field::Rate,
                Field::Burst,
                Field::Concurrency,
                Field::Priority,
                Field::Weight,
            ],
            Kind::Policy => &[
                Field::Service,
                Field::Account,
                Field::Priority,
                Field::Deadline,
                Field::DataCentre,
            ],
            Kind::Operator => &[Field::Key, Field::Role],
        }
    }
}

impl fmt::Display for Object {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.key().fmt(f)
    }
}

impl Object {
    /// Which object this is.
    pub fn key(&self) -> Key {
        let (kind, name) = match self {
            Object::Model(o) => (Kind::Model, &o.name),
            Object::Service(o) => (Kind::Service, &o.name),
            Object::Runner(o) => (Kind::Runner, &o.name),
            Object::Account(o) => (Kind::Account, &o.name),
            Object::Policy(o) => (Kind::Policy, &o.name),
            Object::Operator(o) => (Kind::Operator, &o.name),
        };
        Key { kind, name: name.clone() }
    }

    /// The objects that this one names, with the field that does.
    pub fn references(&self) -> Vec<(Field, Key)> {
        let mut found = Vec::new();
        let mut add = |field, kind, name: &Option<Name>| {
            if let Some(name) = name {
                found.push((field, Key { kind, name: name.clone() }));
            }
        };
        match self {
            Object::Service(o) => add(Field::Model, Kind::Model, &o.model),
            Object::Runner(o) => add(Field::Service, Kind::Service, &Some(o.service.clone())),
            Object::Policy(o) => {
                add(Field::Service, Kind::Service, &o.service);
                add(Field::Account, Kind::Account, &o.account);
            }
            Object::Model(_) | Object::Account(_) | Object::Operator(_) => {}
        }
        found
    }
}
