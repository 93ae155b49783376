//! Configuration objects in their checked form, made from records by `TryFrom`.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};
use strum::{Display, EnumIter, EnumString, IntoStaticStr, VariantNames};
use thiserror::Error;

use super::record::{Field, Key, Kind, Record};
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

/// How urgent work is; the later ones go first.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    EnumIter,
    EnumString,
    Eq,
    Hash,
    IntoStaticStr,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
    VariantNames,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Work that can wait.
    Low,
    /// Work without a mark.
    #[default]
    Normal,
    /// Work that goes first.
    High,
    /// Work that goes before all else.
    Urgent,
}

/// What a service is.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    EnumString,
    Eq,
    IntoStaticStr,
    PartialEq,
    Serialize,
    Deserialize,
    VariantNames,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Form {
    /// Served by model engines over the completions protocol.
    Model,
    /// Any HTTP service.
    Plain,
}

/// The work that an engine does.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    EnumIter,
    EnumString,
    Eq,
    Hash,
    IntoStaticStr,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
    VariantNames,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prompts only.
    Prefill,
    /// Output tokens only.
    Decode,
    /// Both.
    #[default]
    Mixed,
}

/// What operators want of a runner.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    EnumString,
    Eq,
    IntoStaticStr,
    PartialEq,
    Serialize,
    Deserialize,
    VariantNames,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Admission {
    /// It takes new work.
    #[default]
    Ready,
    /// It finishes what it has and takes nothing new.
    Drain,
}

/// Whether a runner refuses orders with an old fencing number.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    EnumString,
    Eq,
    IntoStaticStr,
    PartialEq,
    Hash,
    Serialize,
    Deserialize,
    VariantNames,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// It refuses old numbers.
    Checked,
    /// It obeys whoever speaks. The safe assumption.
    #[default]
    Ignored,
}

/// What an operator may do; the later ones may do all that the earlier may.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    EnumString,
    Eq,
    IntoStaticStr,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
    VariantNames,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Right {
    /// Ask.
    #[default]
    Look,
    /// Drain runners and set fields of services, runners and policies.
    Operate,
    /// Everything.
    Administer,
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

const NAME_FORM: &str = "a name of a-z, 0-9, '-', '_' and '.'";
const NUMBER_FORM: &str = "a whole number";
const SPAN_FORM: &str = "a time such as 1500ms, 30s or 5m";
const KEY_FORM: &str = "the SHA-256 of a key, 64 hexadecimal digits";
const ADDRESS_FORM: &str = "an IP address and port such as 10.0.0.7:8000";

/// Reads the fields of one record and collects what is wrong with them.
struct Reader<'a> {
    record: &'a Record,
    errors: Vec<ObjectError>,
}

impl<'a> Reader<'a> {
    fn new(record: &'a Record) -> Self {
        let mut reader = Self { record, errors: Vec::new() };
        reader.check_fields();
        reader
    }

    fn check_fields(&mut self) {
        let known = self.record.key.kind.fields();
        for assignment in &self.record.fields {
            if !known.contains(&assignment.field) {
                let names: Vec<&str> = known.iter().map(std::convert::Into::into).collect();
                self.errors.push(ObjectError::Unknown {
                    key: self.record.key.clone(),
                    field: assignment.field,
                    expected: SmolStr::new(names.join(", ")),
                });
            }
        }
    }

    fn optional<T>(
        &mut self,
        field: Field,
        expected: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let value = self.record.get(field)?;
        let parsed = parse(value);
        if parsed.is_none() {
            self.errors.push(ObjectError::Value {
                key: self.record.key.clone(),
                field,
                value: value.clone(),
                expected: SmolStr::new(expected),
            });
        }
        parsed
    }

    fn required<T>(
        &mut self,
        field: Field,
        expected: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        if self.record.get(field).is_none() {
            self.errors.push(ObjectError::Missing {
                key: self.record.key.clone(),
                field,
                expected: SmolStr::new(expected),
            });
            return None;
        }
        self.optional(field, expected, parse)
    }

    fn named<T: FromStr + VariantNames>(&mut self, field: Field) -> Option<T> {
        let expected = format_smolstr!("one of {}", T::VARIANTS.join(", "));
        self.optional(field, &expected, |v| v.parse().ok())
    }

    fn number(&mut self, field: Field, default: u32) -> u32 {
        self.optional(field, NUMBER_FORM, |v| v.parse().ok()).unwrap_or(default)
    }

    fn span(&mut self, field: Field, default: Duration) -> Duration {
        self.optional(field, SPAN_FORM, span).unwrap_or(default)
    }

    fn name(&mut self, field: Field) -> Option<Name> {
        self.optional(field, NAME_FORM, |v| v.parse().ok())
    }

    fn required_name(&mut self, field: Field) -> Option<Name> {
        self.required(field, NAME_FORM, |v| v.parse().ok())
    }

    fn finish<T>(self, object: Option<T>) -> Result<T, Vec<ObjectError>> {
        match object {
            Some(object) if self.errors.is_empty() => Ok(object),
            _ => Err(self.errors),
        }
    }
}

/// Reads a time such as `30s`; a bare number is in milliseconds.
pub fn span(text: &str) -> Option<Duration> {
    match text.parse() {
        Ok(millis) => Some(Duration::from_millis(millis)),
        Err(_) => humantime::parse_duration(text).ok(),
    }
}

const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
const DEFAULT_RETRY_BUDGET: u32 = 10;
const DEFAULT_AWAY_LIMIT: u32 = 25;
const DEFAULT_SLOTS: u32 = 16;
const DEFAULT_RATE: u32 = 10;
const DEFAULT_BURST: u32 = 20;
const DEFAULT_CONCURRENCY: u32 = 16;

impl TryFrom<&Record> for Object {
    type Error = Vec<ObjectError>;

    fn try_from(record: &Record) -> Result<Self, Vec<ObjectError>> {
        match record.key.kind {
            Kind::Model => model(record).map(Object::Model),
            Kind::Service => service(record).map(Object::Service),
            Kind::Runner => runner(record).map(Object::Runner),
            Kind::Account => account(record).map(Object::Account),
            Kind::Policy => policy(record).map(Object::Policy),
            Kind::Operator => operator(record).map(Object::Operator),
        }
    }
}

fn model(record: &Record) -> Result<Model, Vec<ObjectError>> {
    let mut r = Reader::new(record);
    let text = |v: &str| Some(SmolStr::new(v));
    let version = r.required(Field::Version, "a version such as 3", text);
    let weights = r.optional(Field::Weights, "a place in the weight store", text);
    let model = version.map(|version| Model {
        name: record.key.name.clone(),
        version,
        weights: weights.unwrap_or_default(),
    });
    r.finish(model)
}

fn service(record: &Record) -> Result<Service, Vec<ObjectError>> {
    let mut r = Reader::new(record);
    let form = r.named(Field::Form).unwrap_or(Form::Model);
    let model = match form {
        Form::Model => r.required_name(Field::Model),
        Form::Plain => r.name(Field::Model),
    };
    let service = Service {
        name: record.key.name.clone(),
        form,
        model,
        deadline: r.span(Field::Deadline, DEFAULT_DEADLINE),
        retry_budget: Percent(r.number(Field::RetryBudget, DEFAULT_RETRY_BUDGET)),
        priority: r.named(Field::Priority).unwrap_or_default(),
        role_price: r.optional(Field::RolePrice, SPAN_FORM, span),
        away_limit: Percent(r.number(Field::AwayLimit, DEFAULT_AWAY_LIMIT)),
    };
    r.finish(Some(service))
}

fn runner(record: &Record) -> Result<Runner, Vec<ObjectError>> {
    let mut r = Reader::new(record);
    let service = r.required_name(Field::Service);
    let address = r.required(Field::Address, ADDRESS_FORM, |v| v.parse().ok());
    let data_centre = r.required_name(Field::DataCentre);
    let role = r.named(Field::Role).unwrap_or_default();
    let state = r.named(Field::State).unwrap_or_default();
    let fencing = r.named(Field::Fencing).unwrap_or_default();
    let slots = r.optional(Field::Slots, "a whole number from 1", |v| {
        v.parse().ok().filter(|slots| *slots > 0)
    });
    let runner = (|| {
        Some(Runner {
            name: record.key.name.clone(),
            service: service?,
            address: address?,
            data_centre: data_centre?,
            role,
            state,
            fencing,
            slots: slots.unwrap_or(DEFAULT_SLOTS),
        })
    })();
    r.finish(runner)
}

fn account(record: &Record) -> Result<Account, Vec<ObjectError>> {
    let mut r = Reader::new(record);
    let key = r.required(Field::Key, KEY_FORM, |v| v.parse().ok());
    let rate = RequestRate(r.number(Field::Rate, DEFAULT_RATE));
    let burst = r.number(Field::Burst, DEFAULT_BURST);
    let concurrency = r.number(Field::Concurrency, DEFAULT_CONCURRENCY);
    let priority = r.named(Field::Priority).unwrap_or_default();
    let weight = r.number(Field::Weight, 1).max(1);
    let name = record.key.name.clone();
    let account = key.map(|key| Account { name, key, rate, burst, concurrency, priority, weight });
    r.finish(account)
}

fn policy(record: &Record) -> Result<Policy, Vec<ObjectError>> {
    let mut r = Reader::new(record);
    let policy = Policy {
        name: record.key.name.clone(),
        service: r.name(Field::Service),
        account: r.name(Field::Account),
        priority: r.named(Field::Priority),
        deadline: r.optional(Field::Deadline, SPAN_FORM, span),
        data_centre: r.name(Field::DataCentre),
    };
    r.finish(Some(policy))
}

fn operator(record: &Record) -> Result<Operator, Vec<ObjectError>> {
    let mut r = Reader::new(record);
    let key = r.required(Field::Key, KEY_FORM, |v| v.parse().ok());
    let role = r.named(Field::Role).unwrap_or_default();
    let operator = key.map(|key| Operator { name: record.key.name.clone(), key, role });
    r.finish(operator)
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
