//! An immutable configuration of one generation, with indexes for request processing.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::chunk::{Chunk, Root};
use super::object::{Account, Object, ObjectError, Operator, Policy, Runner, Service};
use super::record::{Key, Kind, Record};
use crate::hash::Digest;
use crate::id::{Generation, Name};

/// A complete validated configuration. It is immutable and shared by reference.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The generation; 0 is the empty configuration before the first change.
    pub generation: Generation,
    /// The objects in raw form.
    pub records: BTreeMap<Key, Arc<Record>>,
    /// The validated objects.
    objects: BTreeMap<Key, Arc<Object>>,
    /// The runners of each service, sorted by name.
    runners: HashMap<Name, Vec<Arc<Object>>>,
    /// The policies, sorted by name. Every request scans them, which must not require scanning all
    /// accounts and runners.
    policies: Vec<Arc<Object>>,
    /// The accounts and operators by the digest of their key.
    keys: HashMap<Digest, Key>,
}

impl Snapshot {
    /// Validates `records` as a whole. Objects that are unchanged since `previous` are reused.
    ///
    /// # Errors
    /// All validation errors.
    pub fn build(
        generation: Generation,
        records: BTreeMap<Key, Arc<Record>>,
        previous: Option<&Snapshot>,
    ) -> Result<Self, Vec<ObjectError>> {
        let mut errors = Vec::new();
        let mut objects = BTreeMap::new();
        for (key, record) in &records {
            if let Some(object) = previous.and_then(|p| p.unchanged(key, record)) {
                objects.insert(key.clone(), object);
                continue;
            }
            match Object::try_from(record.as_ref()) {
                Ok(object) => {
                    objects.insert(key.clone(), Arc::new(object));
                }
                Err(found) => errors.extend(found),
            }
        }
        for object in objects.values() {
            for (field, target) in object.references() {
                if !records.contains_key(&target) {
                    errors.push(ObjectError::Reference { key: object.key(), field, target });
                }
            }
        }
        if !errors.is_empty() {
            return Err(errors);
        }
        let mut snapshot = Self {
            generation,
            records,
            objects,
            runners: HashMap::new(),
            policies: Vec::new(),
            keys: HashMap::new(),
        };
        snapshot.build_indexes();
        Ok(snapshot)
    }

    fn unchanged(&self, key: &Key, record: &Arc<Record>) -> Option<Arc<Object>> {
        let is_same = self.records.get(key).is_some_and(|r| Arc::ptr_eq(r, record) || r == record);
        is_same.then(|| self.objects.get(key).cloned()).flatten()
    }

    fn build_indexes(&mut self) {
        for object in self.objects.values() {
            match object.as_ref() {
                Object::Runner(runner) => {
                    self.runners.entry(runner.service.clone()).or_default().push(object.clone());
                }
                Object::Account(account) => {
                    self.keys.insert(account.key, object.key());
                }
                Object::Operator(operator) => {
                    self.keys.insert(operator.key, object.key());
                }
                Object::Policy(_) => self.policies.push(object.clone()),
                Object::Model(_) | Object::Service(_) => {}
            }
        }
    }

    /// The object of this kind and name.
    pub fn object(&self, kind: Kind, name: &Name) -> Option<&Object> {
        let key = Key { kind, name: name.clone() };
        self.objects.get(&key).map(Arc::as_ref)
    }

    /// All objects, sorted by key.
    pub fn objects(&self) -> impl Iterator<Item = &Object> {
        self.objects.values().map(Arc::as_ref)
    }

    /// The service of this name.
    pub fn service(&self, name: &Name) -> Option<&Service> {
        match self.object(Kind::Service, name)? {
            Object::Service(service) => Some(service),
            _ => None,
        }
    }

    /// All services, sorted by name.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.objects().filter_map(|o| match o {
            Object::Service(service) => Some(service),
            _ => None,
        })
    }

    /// The runners of a service, sorted by name.
    pub fn runners(&self, service: &Name) -> impl Iterator<Item = &Runner> {
        let found = self.runners.get(service).map(Vec::as_slice).unwrap_or_default();
        found.iter().filter_map(|o| match o.as_ref() {
            Object::Runner(runner) => Some(runner),
            _ => None,
        })
    }

    /// The runner of this name.
    pub fn runner(&self, name: &Name) -> Option<&Runner> {
        match self.object(Kind::Runner, name)? {
            Object::Runner(runner) => Some(runner),
            _ => None,
        }
    }

    /// The account whose key has this digest. The lookup by the digest of a secret is not constant-time, so
    /// the digest found is compared again in constant time.
    pub fn account_of_key(&self, digest: &Digest) -> Option<&Account> {
        let key = self.keys.get(digest)?;
        match self.objects.get(key)?.as_ref() {
            Object::Account(account) if account.key.matches(digest) => Some(account),
            _ => None,
        }
    }

    /// The operator whose key has this digest.
    pub fn operator_of_key(&self, digest: &Digest) -> Option<&Operator> {
        let key = self.keys.get(digest)?;
        match self.objects.get(key)?.as_ref() {
            Object::Operator(operator) if operator.key.matches(digest) => Some(operator),
            _ => None,
        }
    }

    /// The policies that apply to this service and account.
    pub fn policies<'a>(
        &'a self,
        service: &'a Name,
        account: &'a Name,
    ) -> impl Iterator<Item = &'a Policy> {
        self.policies.iter().filter_map(move |o| match o.as_ref() {
            Object::Policy(p)
                if p.service.as_ref().is_none_or(|s| s == service)
                    && p.account.as_ref().is_none_or(|a| a == account) =>
            {
                Some(p)
            }
            _ => None,
        })
    }

    /// The root and chunks of this configuration.
    pub fn chunks(&self) -> (Root, Vec<Chunk>) {
        super::chunk::split(&self.records)
    }
}
