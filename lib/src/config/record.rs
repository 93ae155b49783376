//! Configuration objects in their raw form, as the language writes them and the store keeps them.

use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use strum::{Display, EnumIter, EnumString, IntoStaticStr, VariantNames};

use super::choice::choice;
use crate::id::Name;

choice!(
    /// What an object is.
    Kind {
        /// A model with its weights.
        Model,
        /// A service that callers name in their requests.
        Service,
        /// A back end of a service.
        Runner,
        /// A client account.
        Account,
        /// A rule for which work goes first.
        Policy,
        /// A person or program that may use the administration API.
        Operator,
    }
);

choice!(
    /// A field of an object.
    Field {
        /// The account that a policy speaks of.
        Account,
        /// The IP address and port of a runner.
        Address,
        /// The part of a service that may be away for role changes at once, in hundredths.
        AwayLimit,
        /// How many requests an account may send at once beyond its rate.
        Burst,
        /// How many requests of an account may be under way at once.
        Concurrency,
        /// The data centre of a runner.
        DataCentre,
        /// The time within which a request must be answered.
        Deadline,
        /// Whether a runner checks fencing numbers.
        Fencing,
        /// Whether a service is a model or a plain one.
        Form,
        /// The SHA-256 of a key.
        Key,
        /// The model of a service.
        Model,
        /// The priority of an account, a service or a policy's work.
        Priority,
        /// Requests a second.
        Rate,
        /// The tries beyond the first, in hundredths of the requests.
        RetryBudget,
        /// The work of a runner's engine, or the rights of an operator.
        Role,
        /// The price of one role change in seconds of one engine's work.
        RolePrice,
        /// The service of a runner or a policy.
        Service,
        /// How many requests a runner works on at once.
        Slots,
        /// Whether a runner takes new work.
        State,
        /// The version of a model.
        Version,
        /// The share of an account when there is not enough for all.
        Weight,
        /// Where a model's weights are kept.
        Weights,
    }
);

/// The kind and name of an object, unlike those of any other.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Key {
    /// What the object is.
    pub kind: Kind,
    /// Its name among those of its kind.
    pub name: Name,
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind, self.name)
    }
}

/// One `field = value`.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Assignment {
    /// The field.
    pub field: Field,
    /// The value as it was written.
    pub value: SmolStr,
}

/// An object in raw form: its fields sorted, each at most once.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Which object this is.
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
        let at = self.fields.binary_search_by_key(&field, |a| a.field).ok()?;
        Some(&self.fields[at].value)
    }

    /// Sets `field`, whether or not it was set before.
    pub fn set(&mut self, field: Field, value: SmolStr) {
        match self.fields.binary_search_by_key(&field, |a| a.field) {
            Ok(at) => self.fields[at].value = value,
            Err(at) => self.fields.insert(at, Assignment { field, value }),
        }
    }
}
