//! An immutable configuration of one generation, with the indexes that requests use.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::chunk::{Chunk, Root};
use super::object::{Account, Object, ObjectError, Operator, Policy, Runner, Service};
use super::record::{Key, Kind, Record};
use crate::hash::Digest;
use crate::id::{Generation, Name};

/// A whole checked configuration. Cheap to share, never changed.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Its generation; nought is the empty one before the first change.
    pub generation: Generation,
    /// Its objects in raw form.
    pub records: BTreeMap<Key, Arc<Record>>,
    /// Its objects in checked form.
    objects: BTreeMap<Key, Arc<Object>>,
    /// The runners of each service, in the order of their names.
    runners: HashMap<Name, Vec<Arc<Object>>>,
    /// The policies, in the order of their names: each request looks through them, and must not look
    /// through all accounts and runners to find them.
    policies: Vec<Arc<Object>>,
    /// The accounts by the digest of their key.
    keys: HashMap<Digest, Key>,
}

impl Snapshot {
    /// Checks `records` as a whole.
    ///
    /// # Errors
    /// Everything that is wrong, at once.
    pub fn build(
        generation: Generation,
        records: BTreeMap<Key, Arc<Record>>,
        before: Option<&Snapshot>,
    ) -> Result<Self, Vec<ObjectError>> {
        let mut errors = Vec::new();
        let mut objects = BTreeMap::new();
        for (key, record) in &records {
            if let Some(object) = before.and_then(|b| b.unchanged(key, record)) {
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
        snapshot.index();
        Ok(snapshot)
    }

    fn unchanged(&self, key: &Key, record: &Arc<Record>) -> Option<Arc<Object>> {
        let same = self.records.get(key).is_some_and(|r| Arc::ptr_eq(r, record) || r == record);
        same.then(|| self.objects.get(key).cloned()).flatten()
    }

    fn index(&mut self) {
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

    /// All objects in the order of their keys.
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

    /// The services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.objects().filter_map(|o| match o {
            Object::Service(service) => Some(service),
            _ => None,
        })
    }

    /// The runners of a service, in the order of their names.
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

    /// The account whose key has this digest. The table is keyed by digests of secrets, and the
    /// digest that was found is compared again in constant time.
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

    /// The policies that speak of this service and account.
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

    /// The root and chunks that hold this configuration.
    pub fn chunks(&self) -> (Root, Vec<Chunk>) {
        super::chunk::split(&self.records)
    }
}
