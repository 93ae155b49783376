//! Decisions that are repeated to nodes that ask again.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use sardinepick_lib::fleet::scheduler::{Decision, Query};

use super::Asker;

/// For how long a decision is repeated (wire protocol).
const TTL: Duration = Duration::from_secs(2);
/// The maximum number of decisions.
const MAX_LEN: usize = 4_096;

/// What identifies the request of a query. A node that has restarted uses its numbers again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Mark(u64, u64, u64);

impl Mark {
    fn of(query: &Query) -> Self {
        Self(query.account.0, query.work.chain.affinity_key().0, query.work.prompt)
    }
}

#[derive(Debug)]
struct Entry {
    mark: Mark,
    decision: Decision,
    at: Instant,
}

/// The last decisions.
#[derive(Debug, Default)]
pub(super) struct Memory {
    entries: HashMap<Asker, Entry>,
    order: VecDeque<Asker>,
}

impl Memory {
    pub(super) fn note(&mut self, asker: &Asker, query: &Query, decision: Decision, now: Instant) {
        let entry = Entry { mark: Mark::of(query), decision, at: now };
        if self.entries.insert(asker.clone(), entry).is_none() {
            self.order.push_back(asker.clone());
        }
        while self.order.len() > MAX_LEN {
            self.drop_oldest();
        }
    }

    pub(super) fn get(&self, asker: &Asker, query: &Query, now: Instant) -> Option<Decision> {
        let entry = self.entries.get(asker)?;
        let is_valid = entry.mark == Mark::of(query) && !is_over(entry, now);
        is_valid.then(|| entry.decision.clone())
    }

    pub(super) fn forget(&mut self, now: Instant) {
        while let Some(oldest) = self.order.front()
            && self.entries.get(oldest).is_none_or(|entry| is_over(entry, now))
        {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some(oldest) = self.order.pop_front() {
            self.entries.remove(&oldest);
        }
    }
}

fn is_over(entry: &Entry, now: Instant) -> bool {
    now.saturating_duration_since(entry.at) > TTL
}
