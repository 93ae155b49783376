//! Conversion of records into validated objects.

use std::str::FromStr;
use std::time::Duration;

use smol_str::{SmolStr, format_smolstr};
use strum::VariantNames;

use super::choice::Form;
use super::object::{Account, Model, Object, ObjectError, Operator, Policy, Runner, Service};
use super::record::{Field, Kind, Record};
use crate::id::Name;
use crate::unit::{Percent, RequestRate};

const NAME_FORM: &str = "a name of a-z, 0-9, '-', '_' and '.'";
const NUMBER_FORM: &str = "a whole number";
const DURATION_FORM: &str = "a time such as 1500ms, 30s or 5m";
const KEY_FORM: &str = "the SHA-256 of a key, 64 hexadecimal digits";
const ADDRESS_FORM: &str = "an IP address and port such as 10.0.0.7:8000";

/// Reads the fields of one record and collects the errors.
struct Reader<'a> {
    record: &'a Record,
    errors: Vec<ObjectError>,
}

impl<'a> Reader<'a> {
    fn new(record: &'a Record) -> Self {
        let mut reader = Self { record, errors: Vec::new() };
        reader.check_unknown_fields();
        reader
    }

    fn check_unknown_fields(&mut self) {
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

    fn choice<T: FromStr + VariantNames>(&mut self, field: Field) -> Option<T> {
        let expected = format_smolstr!("one of {}", T::VARIANTS.join(", "));
        self.optional(field, &expected, |v| v.parse().ok())
    }

    fn number(&mut self, field: Field, default: u32) -> u32 {
        self.optional(field, NUMBER_FORM, |v| v.parse().ok()).unwrap_or(default)
    }

    fn duration(&mut self, field: Field, default: Duration) -> Duration {
        self.optional(field, DURATION_FORM, parse_duration).unwrap_or(default)
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

/// Parses a duration such as `30s`; a bare number is in milliseconds.
pub fn parse_duration(text: &str) -> Option<Duration> {
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
    let form = r.choice(Field::Form).unwrap_or(Form::Model);
    let model = match form {
        Form::Model => r.required_name(Field::Model),
        Form::Plain => r.name(Field::Model),
    };
    let service = Service {
        name: record.key.name.clone(),
        form,
        model,
        deadline: r.duration(Field::Deadline, DEFAULT_DEADLINE),
        retry_budget: Percent(r.number(Field::RetryBudget, DEFAULT_RETRY_BUDGET)),
        priority: r.choice(Field::Priority).unwrap_or_default(),
        role_price: r.optional(Field::RolePrice, DURATION_FORM, parse_duration),
        away_limit: Percent(r.number(Field::AwayLimit, DEFAULT_AWAY_LIMIT)),
    };
    r.finish(Some(service))
}

fn runner(record: &Record) -> Result<Runner, Vec<ObjectError>> {
    let mut r = Reader::new(record);
    let service = r.required_name(Field::Service);
    let address = r.required(Field::Address, ADDRESS_FORM, |v| v.parse().ok());
    let data_centre = r.required_name(Field::DataCentre);
    let role = r.choice(Field::Role).unwrap_or_default();
    let state = r.choice(Field::State).unwrap_or_default();
    let fencing = r.choice(Field::Fencing).unwrap_or_default();
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
    let priority = r.choice(Field::Priority).unwrap_or_default();
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
        priority: r.choice(Field::Priority),
        deadline: r.optional(Field::Deadline, DURATION_FORM, parse_duration),
        data_centre: r.name(Field::DataCentre),
    };
    r.finish(Some(policy))
}

fn operator(record: &Record) -> Result<Operator, Vec<ObjectError>> {
    let mut r = Reader::new(record);
    let key = r.required(Field::Key, KEY_FORM, |v| v.parse().ok());
    let role = r.choice(Field::Role).unwrap_or_default();
    let operator = key.map(|key| Operator { name: record.key.name.clone(), key, role });
    r.finish(operator)
}
