//! Recently answered requests.

use std::collections::{HashMap, VecDeque};
use std::time::Instant;

use crate::fleet::fingerprint::Fingerprint;

/// The maximum number of answered requests that are remembered.
const MAX_ANSWERED: usize = 4_096;

/// When requests were last answered completely.
#[derive(Clone, Debug, Default)]
pub(super) struct Answered {
    at: HashMap<Fingerprint, Instant>,
    order: VecDeque<Fingerprint>,
}

impl Answered {
    pub(super) fn note(&mut self, request: Fingerprint, now: Instant) {
        if self.at.insert(request, now).is_some() {
            return;
        }
        self.order.push_back(request);
        if self.order.len() > MAX_ANSWERED
            && let Some(oldest) = self.order.pop_front()
        {
            self.at.remove(&oldest);
        }
    }

    pub(super) fn last(&self, request: &Fingerprint) -> Option<Instant> {
        self.at.get(request).copied()
    }
}
