//! Tracks when a configuration was last confirmed to be the newest.
//!
//! A key that a node does not know may have been added a moment ago. Before the node refuses it, it
//! checks that no newer configuration exists. One check covers all requests that arrived before it
//! started or within [`CHECK_VALIDITY`] after its start, so requests with invalid keys cause a bounded
//! number of checks, however many arrive.

use std::time::{Duration, Instant};

use crate::id::ConfigVersion;

/// How long a check is valid. A change must take effect within a few seconds of its acknowledgement, and
/// most of that time is left for its propagation.
pub const CHECK_VALIDITY: Duration = Duration::from_secs(2);

/// The last check.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Freshness {
    last: Option<(ConfigVersion, Instant)>,
}

impl Freshness {
    /// Records that a check sent at `started_at` found `version` to be the newest.
    pub fn record_check(&mut self, version: ConfigVersion, started_at: Instant) {
        self.last = Some((version, started_at));
    }

    /// Whether the last check confirmed `version` recently enough for a request that arrived at
    /// `arrived`.
    pub fn covers(&self, version: ConfigVersion, arrived: Instant) -> bool {
        self.last.is_some_and(|(checked, at)| checked == version && arrived < at + CHECK_VALIDITY)
    }
}
