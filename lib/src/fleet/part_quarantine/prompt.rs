//! What is counted when a runner crashes: the parts of a prompt, and what else identifies it.

use std::fmt;
use std::str::FromStr;

use smallvec::SmallVec;

use crate::fleet::fingerprint::{Fingerprint, FingerprintError};
use crate::fleet::part::PartId;
use crate::fleet::runner::Tag;
use crate::hash::stable_hash;
use crate::id::{AccountId, ServiceId};

/// A prompt part of one model of one service.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Subject(Fingerprint);

impl Subject {
    /// The subject of a part. The hash is collision-resistant, since requests are refused by it.
    pub fn of(service: &ServiceId, model: &str, part: &PartId) -> Self {
        let names = [service.as_str(), model, part.as_str()].map(str::as_bytes);
        Self(Fingerprint::of(&[b"prompt part", names[0], names[1], names[2]]))
    }

    /// The subject of the requests whose trials run one after the other, which have a runner in
    /// common that has ended under them.
    pub fn of_group(group: Tag) -> Self {
        Self(Fingerprint::of(&[b"request group", &group.0.to_le_bytes()]))
    }

    /// Its fingerprint.
    pub fn fingerprint(&self) -> &Fingerprint {
        &self.0
    }

    /// Its short form.
    pub fn mark(&self) -> Mark {
        Mark::of_fingerprint(&self.0)
    }
}

impl From<Fingerprint> for Subject {
    fn from(fingerprint: Fingerprint) -> Self {
        Self(fingerprint)
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for Subject {
    type Err = FingerprintError;

    fn from_str(text: &str) -> Result<Self, FingerprintError> {
        text.parse().map(Self)
    }
}

/// A short hash of something that requests can have in common: a part, the whole request, or the
/// account. A refusal never depends on a mark alone.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Mark(pub u64);

impl Mark {
    /// The mark of a whole request.
    pub fn of_request(request: &Fingerprint) -> Self {
        Self::of_fingerprint(request)
    }

    /// The mark of a client account; all requests without one have the same.
    pub fn of_account(account: Option<&AccountId>) -> Self {
        Self(stable_hash(1, account.map_or("", AccountId::as_str).as_bytes()))
    }

    fn of_fingerprint(fingerprint: &Fingerprint) -> Self {
        Self(stable_hash(0, fingerprint.as_bytes()))
    }
}

/// What some requests have in common.
pub type Context = SmallVec<[Mark; 4]>;

/// The parts of a request's prompt that other requests may share, with what else identifies the
/// request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Prompt {
    /// The parts.
    pub subjects: SmallVec<[Subject; 4]>,
    /// The mark of the request.
    pub request: Mark,
    /// The mark of its account.
    pub account: Mark,
}

impl Prompt {
    /// Whether the request has everything in `context`.
    pub fn has_all(&self, context: &[Mark]) -> bool {
        let has = |mark: &Mark| {
            *mark == self.account
                || *mark == self.request
                || self.subjects.iter().any(|subject| subject.mark() == *mark)
        };
        context.iter().all(has)
    }
}
