//! Loads of runners that a node has observed and shares with other nodes.

use std::time::Duration;

use sardinepick_lib::config::object::Role;
use sardinepick_lib::hash::stable_hash;
use sardinepick_lib::id::Name;
use sardinepick_lib::runner::Report;
use sardinepick_lib::unit::{TokenRate, Tokens};

use crate::error::WireError;
use crate::generated as pb;

/// The maximum number of loads in a datagram, which keeps it below 1,400 bytes.
pub const MAX_LOADS_PER_DATAGRAM: usize = 24;

const RUNNER_HASH_SEED: u64 = 0x7275_6e6e;

/// The hash of a runner's name, by which loads identify the runner.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RunnerHash(pub u64);

impl From<&Name> for RunnerHash {
    fn from(name: &Name) -> Self {
        Self(stable_hash(RUNNER_HASH_SEED, name.as_str().as_bytes()))
    }
}

/// The load of one runner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// The runner.
    pub runner: RunnerHash,
    /// The age of the report when it was sent.
    pub age: Duration,
    /// The runner's report.
    pub report: Report,
}

impl From<&Load> for pb::Load {
    fn from(load: &Load) -> Self {
        let report = &load.report;
        Self {
            runner: load.runner.0,
            age_ms: u32::try_from(load.age.as_millis()).unwrap_or(u32::MAX),
            running: report.running,
            waiting: report.waiting,
            backlog: report.backlog.0,
            prefill_rate: report.prefill_rate.0,
            decode_rate: report.decode_rate.0,
            role: report.role as u32,
            leaving: report.leaving,
        }
    }
}

impl TryFrom<pb::Load> for Load {
    type Error = WireError;

    fn try_from(load: pb::Load) -> Result<Self, WireError> {
        let role = match load.role {
            0 => Role::Prefill,
            1 => Role::Decode,
            2 => Role::Mixed,
            _ => return Err(WireError::Value("role")),
        };
        Ok(Self {
            runner: RunnerHash(load.runner),
            age: Duration::from_millis(u64::from(load.age_ms)),
            report: Report {
                running: load.running,
                waiting: load.waiting,
                backlog: Tokens(load.backlog),
                prefill_rate: TokenRate(load.prefill_rate),
                decode_rate: TokenRate(load.decode_rate),
                role,
                leaving: load.leaving,
            },
        })
    }
}
