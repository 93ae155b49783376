//! When things identified by fingerprints last happened.

use std::collections::{HashMap, VecDeque};
use std::time::Instant;

use super::fingerprint::Fingerprint;

/// The maximum number of fingerprints that are remembered.
const MAX_REMEMBERED: usize = 4_096;

/// The last time of each of the most recent fingerprints.
#[derive(Clone, Debug, Default)]
pub(super) struct Recent {
    at: HashMap<Fingerprint, Instant>,
    order: VecDeque<Fingerprint>,
}

impl Recent {
    pub(super) fn note(&mut self, fingerprint: Fingerprint, now: Instant) {
        if self.at.insert(fingerprint, now).is_some() {
            return;
        }
        self.order.push_back(fingerprint);
        if self.order.len() > MAX_REMEMBERED
            && let Some(oldest) = self.order.pop_front()
        {
            self.at.remove(&oldest);
        }
    }

    pub(super) fn last(&self, fingerprint: &Fingerprint) -> Option<Instant> {
        self.at.get(fingerprint).copied()
    }
}
