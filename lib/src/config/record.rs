//! Configuration objects in raw form, as written in the query language and kept in the store.

use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use strum::{Display, EnumIter, EnumString, IntoStaticStr, VariantNames};

use super::choice::choice;
use crate::id::Name;

choice!(
    /// The kind of an object.
    Kind {
        /// A model and its weights.
        Model,
        /// A service, which callers name in their requests.
        Service,
        /// A back end of a service.
        Runner,
        /// A client account.
        Account,
        /// A prioritisation rule.
        Policy,
        /// A user of the administration API, human or automated.
        Operator,
    }
);

choice!(
    /// A field of an object.
    Field {
        /// The account that a policy applies to.
        Account,
        /// The IP address and port of a runner.
        Address,
        /// The percentage of a service's runners that may be unavailable for role changes at the same time.
        AwayLimit,
        /// The number of requests that an account may send in a burst beyond its rate.
        Burst,
        /// The maximum number of concurrent requests of an account.
        Concurrency,
        /// The data centre of a runner.
        DataCentre,
        /// The deadline of requests.
        Deadline,
        /// Whether a runner checks fencing tokens.
        Fencing,
        /// Whether a service is a model service or a plain HTTP service.
        Form,
        /// The SHA-256 of a key.
        Key,
        /// The model of a service.
        Model,
        /// The priority of the requests of an account, service or policy.
        Priority,
        /// The request rate limit, per second.
        Rate,
        /// The retry budget, in percent of the requests.
        RetryBudget,
        /// The role of a runner's engine, or the permissions of an operator.
        Role,
        /// The cost of one role change, in seconds of one engine's work.
        RolePrice,
        /// The service of a runner or a policy.
        Service,
        /// The number of requests that a runner processes concurrently.
        Slots,
        /// Whether a runner accepts new requests.
        State,
        /// The version of a model.
        Version,
        /// The weight of an account's share under contention.
        Weight,
        /// The location of a model's weights.
        Weights,
    }
);

/// The kind and name of an object, which identify it uniquely.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Key {
    /// The kind of the object.
    pub kind: Kind,
    /// The name of the object, unique within its kind.
    pub name: Name,
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind, self.name)
    }
}

/// A `field = value` assignment.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Assignment {
    /// The field.
    pub field: Field,
    /// The value as written.
    pub value: SmolStr,
}

/// An object in raw form: its fields are sorted and unique.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The key of the object.
    pub key: Key,
    /// Its fields, in the order of [`Field`].
    pub fields: Vec<Assignment>,
}

impl Record {
    /// A record without fields.
    pub fn new(key: Key) -> Self {
        Self { key, fields: Vec::new() }
    }

    /// The value of `field`, if it is set.
    pub fn get(&self, field: Field) -> Option<&SmolStr> {
        let index = self.fields.binary_search_by_key(&field, |a| a.field).ok()?;
        Some(&self.fields[index].value)
    }

    /// Sets `field`, replacing an existing value.
    pub fn set(&mut self, field: Field, value: SmolStr) {
        match self.fields.binary_search_by_key(&field, |a| a.field) {
            Ok(index) => self.fields[index].value = value,
            Err(index) => self.fields.insert(index, Assignment { field, value }),
        }
    }
}
