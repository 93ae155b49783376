//! The bindings of streams that a node remembers, each until the stream's deadline.
//!
//! Memory is bounded. If it is full, the account with the most streams loses the one that ends
//! first, so that an account cannot displace the streams of others.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use super::{Binding, StreamKey};

/// The maximum number of bindings.
pub const CAPACITY: usize = 32_768;

#[derive(Clone, Debug)]
struct Entry {
    binding: Binding,
    since: Instant,
    until: Instant,
}

/// Whether a binding was added.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Added {
    /// It is new.
    New,
    /// It is new, and another one was evicted for it.
    Evicting,
    /// It was known; it is now remembered for longer, if its deadline is later.
    Known,
    /// The stream is bound to something else, which stays.
    Conflicting,
}

/// The remembered bindings.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    entries: HashMap<StreamKey, Entry>,
    by_end: BTreeSet<(Instant, StreamKey)>,
    by_account: BTreeMap<u64, BTreeSet<(Instant, u64)>>,
}

impl Memory {
    /// The number of bindings, including those that have ended since the last change.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Remembers a binding that was made at `since`, until `until`. The first binding of a stream
    /// stays.
    pub fn add(
        &mut self,
        stream: StreamKey,
        binding: Binding,
        since: Instant,
        until: Instant,
        now: Instant,
    ) -> Added {
        self.expire(now);
        if let Some(known) = self.entries.get(&stream) {
            if known.binding != binding {
                return Added::Conflicting;
            }
            let (since, until) = (known.since.min(since), known.until.max(until));
            self.remove(stream);
            self.insert(stream, Entry { binding, since, until });
            return Added::Known;
        }
        let evicts = self.entries.len() >= CAPACITY;
        if evicts {
            self.evict();
        }
        self.insert(stream, Entry { binding, since, until });
        if evicts { Added::Evicting } else { Added::New }
    }

    /// The binding of a stream, and how long ago it was made.
    pub fn get(&self, stream: StreamKey, now: Instant) -> Option<(&Binding, Duration)> {
        let entry = self.entries.get(&stream).filter(|entry| now < entry.until)?;
        Some((&entry.binding, now.saturating_duration_since(entry.since)))
    }

    fn insert(&mut self, stream: StreamKey, entry: Entry) {
        self.by_end.insert((entry.until, stream));
        self.by_account.entry(stream.account).or_default().insert((entry.until, stream.id));
        self.entries.insert(stream, entry);
    }

    fn remove(&mut self, stream: StreamKey) {
        let Some(entry) = self.entries.remove(&stream) else { return };
        self.by_end.remove(&(entry.until, stream));
        if let Some(streams) = self.by_account.get_mut(&stream.account) {
            streams.remove(&(entry.until, stream.id));
            if streams.is_empty() {
                self.by_account.remove(&stream.account);
            }
        }
    }

    fn expire(&mut self, now: Instant) {
        while let Some((until, stream)) = self.by_end.first().copied()
            && until <= now
        {
            self.remove(stream);
        }
    }

    fn evict(&mut self) {
        let largest = self.by_account.iter().max_by_key(|(_, streams)| streams.len());
        let first = largest.and_then(|(account, streams)| {
            streams.first().map(|(_, id)| StreamKey { account: *account, id: *id })
        });
        if let Some(stream) = first {
            self.remove(stream);
        }
    }
}
