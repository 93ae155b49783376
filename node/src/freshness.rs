//! How recent this node's copies of the store's objects are, and whether other nodes keep them so.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use sardinepick_lib::clock::Clock;
use sardinepick_lib::fleet::freshness::{Attestation, Attester, Freshness, MAX_AGE};
use sardinepick_lib::fleet::roster::Roster;
use sardinepick_lib::fleet::watch_role::{self, Role};
use sardinepick_wire::beat::Attestations;
use strum::{Display, IntoStaticStr};

use crate::lock::lock;
use crate::serve::metrics::Metrics;

/// What is copied from the store.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// The configuration.
    Configuration,
    /// The register of runners.
    Register,
}

/// Whether this node's copy of a kind is at least as new as another node's.
#[derive(Clone, Copy, Debug)]
pub struct Coverage {
    /// For the configuration.
    pub configuration: bool,
    /// For the register of runners.
    pub register: bool,
}

/// Tracks the attestations of both kinds.
pub struct Tracker {
    configuration: Mutex<State>,
    register: Mutex<State>,
    hears_nodes: AtomicBool,
    clock: Arc<dyn Clock>,
    metrics: Metrics,
}

struct State {
    freshness: Freshness,
    /// Whether the copy was reported as possibly outdated, and has not been confirmed since.
    is_reported: bool,
}

impl Tracker {
    /// Creates the tracker of the node `me`.
    pub fn new(me: Attester, clock: Arc<dyn Clock>, metrics: Metrics) -> Self {
        let now = clock.now();
        let state = || Mutex::new(State { freshness: Freshness::new(me, now), is_reported: false });
        Self {
            configuration: state(),
            register: state(),
            hears_nodes: AtomicBool::new(false),
            clock,
            metrics,
        }
    }

    fn state(&self, kind: Kind) -> MutexGuard<'_, State> {
        match kind {
            Kind::Configuration => lock(&self.configuration),
            Kind::Register => lock(&self.register),
        }
    }

    /// Records that the store's answer to this node at `answered` is reflected by its copy.
    pub fn note_answer(&self, kind: Kind, answered: Instant) {
        self.state(kind).freshness.note_answer(answered);
    }

    /// Applies the attestations of another node's heartbeat. Returns when the store gave the latest
    /// answer that this node has just learned of.
    pub fn apply(&self, received: Attestations, coverage: Coverage) -> Option<Instant> {
        let now = self.clock.now();
        let apply = |kind, attestation: Option<Attestation>, covers| {
            let attestation = attestation?;
            let is_new = self.state(kind).freshness.apply(attestation, covers, now);
            is_new.then(|| now.checked_sub(attestation.age)).flatten()
        };
        let configuration =
            apply(Kind::Configuration, received.configuration, coverage.configuration);
        configuration.max(apply(Kind::Register, received.register, coverage.register))
    }

    /// The attestations to include in a heartbeat to all watchers.
    pub fn to_pass_on(&self) -> Attestations {
        self.attestations(Freshness::to_pass_on)
    }

    /// The newest attestations, for a node that asks.
    pub fn newest(&self) -> Attestations {
        self.attestations(Freshness::newest)
    }

    fn attestations(
        &self,
        choose: impl Fn(&Freshness, Instant) -> Option<Attestation>,
    ) -> Attestations {
        let now = self.clock.now();
        let of = |kind| choose(&self.state(kind).freshness, now);
        Attestations { configuration: of(Kind::Configuration), register: of(Kind::Register) }
    }

    /// The time since the store's last known answer that this node's copy reflects.
    pub fn age(&self, kind: Kind) -> Duration {
        self.state(kind).freshness.age(self.clock.now())
    }

    /// The time since the store's last known answer to another node.
    pub fn age_of_others(&self, kind: Kind) -> Duration {
        self.state(kind).freshness.age_of_others(self.clock.now())
    }

    /// Why this node watches a kind of object, or `None` if it relies on other nodes.
    pub fn role(&self, kind: Kind, roster: &Roster) -> Option<Role> {
        watch_role::role(roster, &self.state(kind).freshness, self.clock.now())
    }

    /// Returns whether this node's copy of a kind was recent once, as far as known from other nodes,
    /// and no longer is.
    pub fn has_become_stale(&self, kind: Kind) -> bool {
        let state = self.state(kind);
        state.freshness.is_attested() && state.freshness.is_stale(1.0, self.clock.now())
    }

    /// Restarts the time in which the first attestations are expected: the membership is known only
    /// from now on.
    pub fn expect_from_now(&self) {
        let now = self.clock.now();
        for kind in [Kind::Configuration, Kind::Register] {
            self.state(kind).freshness.expect_from(now);
        }
    }

    /// Updates the metrics, and logs when a copy may be outdated, when it is confirmed again, and
    /// when this node hears no other. `heard` is the number of other nodes heard recently,
    /// `relied_on` names those that are believed to watch the store.
    pub fn report(&self, heard: usize, relied_on: impl Fn() -> String) {
        self.metrics.nodes_heard.set(i64::try_from(heard).unwrap_or(i64::MAX));
        if self.hears_nodes.swap(heard > 0, Ordering::Relaxed) && heard == 0 {
            log::warn!(relied_on = relied_on(); "no heartbeats from other nodes");
        }
        for kind in [Kind::Configuration, Kind::Register] {
            let age = self.age(kind);
            let (what, age_ms): (&str, _) = (kind.into(), age.as_millis() as u64);
            let gauge = self.metrics.store_copy_age.with_label_values(&[what]);
            gauge.set(i64::try_from(age_ms).unwrap_or(i64::MAX));
            let is_overdue = age > MAX_AGE;
            let was_reported = std::mem::replace(&mut self.state(kind).is_reported, is_overdue);
            if is_overdue && !was_reported {
                log::warn!(
                    what = what, age_ms = age_ms, heard = heard, relied_on = relied_on();
                    "copy may be outdated"
                );
            } else if was_reported && !is_overdue {
                log::info!(what = what, age_ms = age_ms; "copy confirmed again");
            }
        }
    }
}
