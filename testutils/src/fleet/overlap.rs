//! Runs of one request that go on beside each other at runners.

use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use tokio::time::Instant;

use crate::fleet::spoiler::{Call, Spoil};

/// How long a run may go on beside later runs of its request (platform rules).
pub const MAX_OVERLAP: Duration = Duration::from_millis(400);

/// A run that went on beside later ones for too long.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Overlap {
    /// The request id.
    pub id: String,
    /// How long the run went on beside later ones without a break.
    pub duration: Duration,
    /// What happened to the responses of the run and of the later ones.
    pub spoils: Vec<Spoil>,
}

impl fmt::Display for Overlap {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { id, duration, spoils } = self;
        write!(f, "overlap: two runs of {id} for {duration:?}: {spoils:?}")
    }
}

impl Overlap {
    /// The overlaps among calls, of which those that have not ended go on until `now`. Calls that only
    /// process a prompt are no runs.
    pub fn find(calls: impl IntoIterator<Item = Call>, now: Instant) -> Vec<Self> {
        let mut runs: HashMap<String, Vec<Call>> = HashMap::new();
        for call in calls {
            if !call.is_prefill && !call.id.is_empty() {
                runs.entry(call.id.clone()).or_default().push(call);
            }
        }
        let mut overlaps = Vec::new();
        for mut runs in runs.into_values() {
            runs.sort_by_key(|run| run.began);
            let pairs = runs.iter().enumerate().map(|(at, run)| (run, &runs[at + 1..]));
            overlaps.extend(pairs.filter_map(|(run, later)| Self::of(run, later, now)));
        }
        overlaps
    }

    /// The overlap of a run with later ones, which are in the order of their beginning.
    fn of(run: &Call, later: &[Call], now: Instant) -> Option<Self> {
        let end = |call: &Call| call.ended.unwrap_or(now);
        let mut longest = Duration::ZERO;
        // The time that the run has spent beside the later ones since it last was the only one.
        let mut beside: Option<(Instant, Instant)> = None;
        for other in later {
            // A run that was given up is no longer beside the one that goes on.
            let (from, to) = (other.began, end(other).min(end(run)));
            let (from, to) = match beside {
                Some((began, until)) if from <= until => (began, until.max(to)),
                Some(_) | None => (from, to),
            };
            beside = Some((from, to));
            longest = longest.max(to.saturating_duration_since(from));
        }
        let spoils = std::iter::once(run).chain(later).map(|call| call.spoil).collect();
        (longest > MAX_OVERLAP).then(|| Self { id: run.id.clone(), duration: longest, spoils })
    }
}
