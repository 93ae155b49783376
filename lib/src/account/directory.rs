//! The accounts of one configuration, found by the digest of a key.

use std::collections::{HashMap, HashSet};

use smallvec::SmallVec;
use smol_str::SmolStr;
use thiserror::Error;

use crate::hash::Digest;
use crate::id::AccountId;

/// The longest key that is accepted, in bytes.
pub const LONGEST_KEY: usize = 256;
/// The most faults of one configuration that are kept for the log.
const MOST_FAULTS: usize = 16;

/// The most keys that were taken away and are remembered.
const MOST_RETIRED: usize = 4_096;

/// A client account.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Account {
    /// Its name, which runners are told.
    pub name: AccountId,
    /// The rank of its requests, 0 the highest; none where that of the route holds.
    pub rank: Option<u8>,
}

/// An account as a configuration gives it, with the digests of its keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The account.
    pub account: Account,
    /// Digests of its keys.
    pub keys: SmallVec<[Digest; 2]>,
}

/// A part of a configuration's accounts that is not used.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum Fault {
    /// An account has no usable name.
    #[error("account {position}: {detail}")]
    Name {
        /// Its place in the list.
        position: usize,
        /// What is wrong with the name.
        detail: SmolStr,
    },
    /// An account has a key that no request can carry.
    #[error("account {account}: a key of {length} bytes is not used")]
    Key {
        /// The account.
        account: AccountId,
        /// The length of the key, in bytes.
        length: usize,
    },
    /// Two accounts have one name; their keys count for the first.
    #[error("account {account} is named twice")]
    NamedTwice {
        /// The account.
        account: AccountId,
    },
    /// A key names two accounts, and so none.
    #[error("one key belongs to {first} and to {second}; it is not used")]
    Shared {
        /// An account that has the key.
        first: AccountId,
        /// Another one.
        second: AccountId,
    },
}

/// The digest of a key, if it is one that a configuration may hold.
pub fn digest(key: &[u8]) -> Option<Digest> {
    (1..=LONGEST_KEY).contains(&key.len()).then(|| Digest::of(key))
}

/// The accounts of one configuration. Keys are kept as digests only, so that no dump of the memory
/// or the state shows one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Directory {
    accounts: Vec<Account>,
    /// The place of the account of each key.
    keys: HashMap<Digest, u32>,
    /// Keys that earlier configurations had, and this one has not.
    retired: HashSet<Digest>,
    faults: Vec<Fault>,
}

impl Directory {
    /// A directory of these accounts. What cannot be used of them is left out and told by
    /// [`Directory::faults`], after `faults` that were found before.
    pub fn new(entries: impl IntoIterator<Item = Entry>, faults: Vec<Fault>) -> Self {
        let mut directory = Self { faults, ..Self::default() };
        let mut places: HashMap<AccountId, u32> = HashMap::new();
        let mut shared = Vec::new();
        for Entry { account, keys } in entries {
            let next = u32::try_from(directory.accounts.len()).unwrap_or(u32::MAX);
            let place = *places.entry(account.name.clone()).or_insert(next);
            if place == next {
                directory.accounts.push(account);
            } else {
                directory.faults.push(Fault::NamedTwice { account: account.name });
            }
            for key in keys {
                let owner = *directory.keys.entry(key).or_insert(place);
                if owner != place {
                    shared.push((key, owner, place));
                }
            }
        }
        for (key, first, second) in shared {
            directory.keys.remove(&key);
            let name = |place: u32| directory.accounts[place as usize].name.clone();
            let fault = Fault::Shared { first: name(first), second: name(second) };
            directory.faults.push(fault);
        }
        directory.faults.truncate(MOST_FAULTS);
        directory
    }

    /// The account that a key belongs to.
    pub fn find(&self, key: &Digest) -> Option<&Account> {
        self.accounts.get(*self.keys.get(key)? as usize)
    }

    /// Takes over which keys were taken away, from the directory before this one. Requests go on coming
    /// with such keys for long; each would cost a check that no newer configuration has it.
    pub fn inherit_retired_keys(&mut self, before: &Directory) {
        let old = before.keys.keys().chain(&before.retired);
        let gone = old.filter(|key| !self.keys.contains_key(key)).copied();
        self.retired = gone.take(MOST_RETIRED).collect();
    }

    /// Whether a key was taken away.
    pub fn is_retired(&self, key: &Digest) -> bool {
        self.retired.contains(key)
    }

    /// All accounts.
    pub fn accounts(&self) -> &[Account] {
        &self.accounts
    }

    /// How many keys there are.
    pub fn keys(&self) -> usize {
        self.keys.len()
    }

    /// What of the configuration's accounts is not used.
    pub fn faults(&self) -> &[Fault] {
        &self.faults
    }
}

/// Whose a request is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Identity {
    /// Nobody's in particular: the configuration has no accounts, or the route needs no key.
    Anonymous,
    /// An account's.
    Account(Account),
    /// It has no key and needs one.
    NoKey,
    /// No account of this configuration has its key.
    UnknownKey,
    /// Its key was taken away.
    RetiredKey,
}

/// Finds whose a request is, by its `key` and whether its route is `anonymous`. `directory` is none
/// where the configuration has no accounts.
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
