//! How recently a configuration is known to have been the newest.
//!
//! A key that a node does not know may have been added a moment ago. Before the node refuses it, it
//! makes sure that no newer configuration exists. One check answers all requests that came before it
//! began, and those that come within [`CHECK_VALIDITY`] after it, so made-up keys cost a bounded number of
//! checks however many come.

use std::time::{Duration, Instant};

use crate::id::ConfigVersion;

/// How long a check holds. A change has to be in force within a few seconds of its acknowledgement;
/// this leaves most of that for the change to arrive.
pub const CHECK_VALIDITY: Duration = Duration::from_secs(2);

/// The last check.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Freshness {
    last: Option<(ConfigVersion, Instant)>,
}

impl Freshness {
    /// Notes that `version` was the newest at `began`, when the check was sent.
    pub fn record_check(&mut self, version: ConfigVersion, began: Instant) {
        self.last = Some((version, began));
    }

    /// Whether `version` is known to have been the newest recently enough for a request that arrived
    /// at `arrived`.
    pub fn covers(&self, version: ConfigVersion, arrived: Instant) -> bool {
        self.last.is_some_and(|(checked, at)| checked == version && arrived < at + CHECK_VALIDITY)
    }
}
