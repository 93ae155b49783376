//! Typed and validated configuration objects, converted from records by `TryFrom`.

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

/// A validation error in one object.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ObjectError {
    /// A required field is not set.
    #[error("{key}: {field} must be set: {expected}")]
    Missing {
        /// The object.
        key: Key,
        /// The field.
        field: Field,
        /// A description of the accepted values.
        expected: SmolStr,
    },
    /// A field has an invalid value.
    #[error("{key}: {field} = {value:?} is not accepted: {expected}")]
    Value {
        /// The object.
        key: Key,
        /// The field.
        field: Field,
        /// The value as written.
        value: SmolStr,
        /// A description of the accepted values.
        expected: SmolStr,
    },
    /// The object has a field that does not exist for its kind.
    #[error("{key}: a {} has no field {field}; it has {expected}", .key.kind)]
    Unknown {
        /// The object.
        key: Key,
        /// The field.
        field: Field,
        /// The fields of this kind.
        expected: SmolStr,
    },
    /// The object references another one that does not exist.
    #[error("{key}: {field} names {target}, which does not exist")]
    Reference {
        /// The object.
        key: Key,
        /// The field.
        field: Field,
        /// The missing object.
        target: Key,
    },
}

/// A model and its weights.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Model {
    /// Its name.
    pub name: Name,
    /// The version that engines load.
    pub version: SmolStr,
    /// The location of the weights.
    pub weights: SmolStr,
}

/// A service, which callers name in their requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: Name,
    /// Whether this is a model service or a plain HTTP service.
    pub form: Form,
    /// The model that its engines run; set for model services.
    pub model: Option<Name>,
    /// The deadline of requests that do not set a shorter one.
    pub deadline: Duration,
    /// The retry budget, in percent of the requests.
    pub retry_budget: Percent,
    /// The priority of its requests.
    pub priority: Priority,
    /// The cost of one role change in addition to the engine's own unavailability. Without it, engines
    /// keep the roles that operators assign.
    pub role_price: Option<Duration>,
    /// The percentage of its runners that may be unavailable at the same time.
    pub away_limit: Percent,
}

/// A back end of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Runner {
    /// Its name.
    pub name: Name,
    /// Its service.
    pub service: Name,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The data centre that it runs in.
    pub data_centre: Name,
    /// The initial role, assigned by operators.
    pub role: Role,
    /// Whether it accepts new requests.
    pub state: Admission,
    /// Whether it checks fencing tokens.
    pub fencing: Fencing,
    /// The number of requests that it processes concurrently.
    pub slots: u32,
}

/// A client account.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Account {
    /// Its name.
    pub name: Name,
    /// The SHA-256 of its key.
    pub key: Digest,
    /// The sustained request rate limit.
    pub rate: RequestRate,
    /// The number of requests allowed in a burst beyond the rate.
    pub burst: u32,
    /// The maximum number of concurrent requests.
    pub concurrency: u32,
    /// The priority of its requests.
    pub priority: Priority,
    /// The weight of its share under contention.
    pub weight: u32,
}

/// A prioritisation rule.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Policy {
    /// Its name.
    pub name: Name,
    /// The service that it applies to; `None` for all.
    pub service: Option<Name>,
    /// The account that it applies to; `None` for all.
    pub account: Option<Name>,
    /// The priority that it assigns.
    pub priority: Option<Priority>,
    /// The deadline that it assigns.
    pub deadline: Option<Duration>,
    /// The data centre whose runners are preferred.
    pub data_centre: Option<Name>,
}

/// A user of the administration API, human or automated.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Operator {
    /// Its name.
    pub name: Name,
    /// The SHA-256 of its key.
    pub key: Digest,
    /// Its permissions.
    pub role: Right,
}

/// A validated object of any kind.
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
    /// The fields of objects of this kind.
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
    /// The key of the object.
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

    /// The objects that this one references, each with the referencing field.
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
