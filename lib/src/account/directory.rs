//! The client accounts of one configuration, indexed by key digest.

use std::collections::{HashMap, HashSet};

use smallvec::SmallVec;
use smol_str::SmolStr;
use thiserror::Error;

use crate::hash::Digest;
use crate::id::AccountId;

/// The maximum length of a key in bytes.
pub const MAX_KEY_LEN: usize = 256;
/// The maximum number of faults per configuration that are kept for the log.
const MAX_FAULTS: usize = 16;

/// The maximum number of removed keys that are remembered.
const MAX_RETIRED_KEYS: usize = 4_096;

/// A client account.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Account {
    /// The name of the account, which is passed on to runners.
    pub name: AccountId,
    /// The rank of its requests, with 0 as the highest; `None` to use the rank of the route.
    pub rank: Option<u8>,
}

/// An account in a configuration, with the digests of its keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The account.
    pub account: Account,
    /// The digests of its keys.
    pub keys: SmallVec<[Digest; 2]>,
}

/// A problem in the accounts of a configuration; the part that it concerns is not used.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum Fault {
    /// The name of an account is invalid.
    #[error("account {position}: {detail}")]
    Name {
        /// The position of the account in the list.
        position: usize,
        /// Why the name is invalid.
        detail: SmolStr,
    },
    /// A key is empty or too long for a request to carry.
    #[error(
        "account {account}: ignoring a key of {length} bytes, must be 1 to {MAX_KEY_LEN} bytes"
    )]
    Key {
        /// The account.
        account: AccountId,
        /// The length of the key, in bytes.
        length: usize,
    },
    /// Two accounts have the same name; the keys of both belong to the first.
    #[error("account {account} is defined more than once")]
    NamedTwice {
        /// The account.
        account: AccountId,
    },
    /// Two accounts have the same key, which therefore identifies neither.
    #[error("accounts {first} and {second} have the same key, which is ignored")]
    Shared {
        /// The first account with the key.
        first: AccountId,
        /// The second account with the key.
        second: AccountId,
    },
}

/// The digest of a key, or `None` if the key is empty or too long.
pub fn digest(key: &[u8]) -> Option<Digest> {
    (1..=MAX_KEY_LEN).contains(&key.len()).then(|| Digest::of(key))
}

/// The accounts of one configuration. Keys are kept as digests only, so that dumps of memory or state do
/// not reveal them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Directory {
    accounts: Vec<Account>,
    /// The index of the account of each key.
    keys: HashMap<Digest, u32>,
    /// Keys of earlier configurations that are no longer in this one.
    retired: HashSet<Digest>,
    faults: Vec<Fault>,
}

impl Directory {
    /// Builds a directory from `entries`. Invalid parts are left out and listed in [`Directory::faults`],
    /// after the given `faults`.
    pub fn new(entries: impl IntoIterator<Item = Entry>, faults: Vec<Fault>) -> Self {
        let mut directory = Self { faults, ..Self::default() };
        let mut indexes: HashMap<AccountId, u32> = HashMap::new();
        let mut shared = Vec::new();
        for Entry { account, keys } in entries {
            let next = u32::try_from(directory.accounts.len()).unwrap_or(u32::MAX);
            let index = *indexes.entry(account.name.clone()).or_insert(next);
            if index == next {
                directory.accounts.push(account);
            } else {
                directory.faults.push(Fault::NamedTwice { account: account.name });
            }
            for key in keys {
                let owner = *directory.keys.entry(key).or_insert(index);
                if owner != index {
                    shared.push((key, owner, index));
                }
            }
        }
        for (key, first, second) in shared {
            directory.keys.remove(&key);
            let name = |index: u32| directory.accounts[index as usize].name.clone();
            let fault = Fault::Shared { first: name(first), second: name(second) };
            directory.faults.push(fault);
        }
        directory.faults.truncate(MAX_FAULTS);
        directory
    }

    /// The account that a key belongs to.
    pub fn find(&self, key: &Digest) -> Option<&Account> {
        self.accounts.get(*self.keys.get(key)? as usize)
    }

    /// Takes over the retired keys from the previous directory, and adds those that this one no longer
    /// has. Requests with retired keys keep arriving for a long time. Without this, each would cause a
    /// check for a newer configuration that has the key.
    pub fn inherit_retired_keys(&mut self, previous: &Directory) {
        let old = previous.keys.keys().chain(&previous.retired);
        let retired = old.filter(|key| !self.keys.contains_key(key)).copied();
        self.retired = retired.take(MAX_RETIRED_KEYS).collect();
    }

    /// Whether a key was in an earlier configuration and has been removed.
    pub fn is_retired(&self, key: &Digest) -> bool {
        self.retired.contains(key)
    }

    /// All accounts.
    pub fn accounts(&self) -> &[Account] {
        &self.accounts
    }

    /// The number of keys.
    pub fn keys(&self) -> usize {
        self.keys.len()
    }

    /// The problems in the accounts of the configuration.
    pub fn faults(&self) -> &[Fault] {
        &self.faults
    }
}

/// The account of a request, or why it has none.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Identity {
    /// No account is needed: the configuration has none, or the route accepts requests without a key.
    Anonymous,
    /// The key belongs to this account.
    Account(Account),
    /// The request has no key, and the route requires one.
    NoKey,
    /// No account of this configuration has the key.
    UnknownKey,
    /// The key was removed by an earlier configuration change.
    RetiredKey,
}

/// Identifies the account of a request by its `key`. `anonymous` says whether its route accepts requests
/// without a valid key. `directory` is `None` if the configuration has no accounts.
pub fn identify(directory: Option<&Directory>, anonymous: bool, key: Option<&[u8]>) -> Identity {
    let Some(directory) = directory else { return Identity::Anonymous };
    let digest = key.and_then(digest);
    let found = digest.and_then(|digest| directory.find(&digest));
    match (found, key) {
        (Some(account), _) => Identity::Account(account.clone()),
        (None, _) if anonymous => Identity::Anonymous,
        (None, None) => Identity::NoKey,
        (None, Some(_)) if digest.is_some_and(|digest| directory.is_retired(&digest)) => {
            Identity::RetiredKey
        }
        (None, Some(_)) => Identity::UnknownKey,
    }
}
