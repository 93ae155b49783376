//! The load of a runner, per node and summed over all nodes.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::rank::{LEVELS, Rank};
use crate::id::NodeId;

/// The number of classes in which work is queued at a runner. Lower classes are served first.
pub const CLASSES: usize = (LEVELS * LEVELS) as usize + 1;

/// The class of a piece of work: the rank of its account and route, or below all ranks if it will
/// be late.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Class(u8);

impl Class {
    /// Work that is late or is predicted to be. It uses only spare capacity, so that it never
    /// delays work that could be on time.
    pub const LATE: Class = Class((CLASSES - 1) as u8);

    /// The class of work that can be on time, by the rank of its account and route.
    pub fn of(rank: Rank) -> Self {
        Class(rank.level())
    }

    /// The class of work that can be on time, by the rank of its route alone.
    pub fn of_rank(rank: u8) -> Self {
        Self::of(Rank::of_route(rank))
    }

    /// The rank of the work; `None` for late work.
    pub fn rank(self) -> Option<Rank> {
        let rank = Rank { account: Some(self.0 / LEVELS), route: self.0 % LEVELS };
        (self != Self::LATE).then_some(rank)
    }

    /// The class with an index, or `None` if there is none.
    pub fn at(index: u8) -> Option<Self> {
        (usize::from(index) < CLASSES).then_some(Class(index))
    }

    /// The index of the class, from 0.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// The outstanding work of one node at one runner.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Outstanding requests, by class.
    pub requests: [u32; CLASSES],
    /// Prompt tokens that were sent and are not known to be prefilled yet, by class.
    pub backlog: [u64; CLASSES],
    /// The number of prompts that `backlog` consists of, by class.
    #[serde(rename = "unread")]
    pub prompts: [u32; CLASSES],
    /// The memory that the requests take, in tokens.
    pub tokens: u64,
}

impl Load {
    /// Whether there is no outstanding work.
    pub fn is_empty(&self) -> bool {
        self.total() == 0
    }

    /// Outstanding requests.
    pub fn total(&self) -> u32 {
        self.requests.iter().sum()
    }

    /// Outstanding requests that are served before new work of `class`.
    pub fn requests_ahead(&self, class: Class) -> u32 {
        self.requests[..=class.index()].iter().sum()
    }

    /// Prompt tokens that are prefilled before new work of `class`.
    pub fn tokens_ahead(&self, class: Class) -> u64 {
        self.backlog[..=class.index()].iter().sum()
    }

    /// Prompts that are prefilled before new work of `class`.
    pub fn prompts_ahead(&self, class: Class) -> u32 {
        self.prompts[..=class.index()].iter().sum()
    }

    /// The expected prompt tokens of less urgent work that are prefilled before new work of
    /// `class`: a runner finishes the prompt it has started, and on average half of it remains.
    pub fn residual_prefill(&self, class: Class) -> u64 {
        let behind = class.index() + 1;
        let prompts: u32 = self.prompts[behind..].iter().sum();
        let tokens: u64 = self.backlog[behind..].iter().sum();
        tokens / u64::from(prompts.max(1)) / 2
    }

    /// Adds another load.
    pub fn add(&mut self, other: &Load) {
        self.tokens += other.tokens;
        for (mine, more) in self.backlog.iter_mut().zip(other.backlog) {
            *mine += more;
        }
        for (mine, more) in self.prompts.iter_mut().zip(other.prompts) {
            *mine += more;
        }
        for (mine, more) in self.requests.iter_mut().zip(other.requests) {
            *mine += more;
        }
    }
}

/// The outstanding work of another node, as it reported it.
#[derive(Clone, Debug)]
struct Report {
    node: NodeId,
    load: Load,
    received_at: Instant,
}

/// How long a report is valid. A node that has stopped reporting is dead or partitioned; its work
/// has ended by then or is no longer known.
pub const REPORT_TTL: Duration = Duration::from_millis(1_500);

/// The average fraction of the current prompt that a runner has prefilled. Progress within a prompt
/// is not reported.
const PREFILLED_FRACTION: f64 = 0.5;

/// The outstanding work of all other nodes at one runner.
#[derive(Clone, Debug, Default)]
pub struct RemoteLoads {
    reports: SmallVec<[Report; 8]>,
}

impl RemoteLoads {
    /// Replaces the last report of a node.
    pub fn replace(&mut self, node: &NodeId, load: Load, now: Instant) {
        self.reports.retain(|r| r.node != *node);
        if !load.is_empty() {
            self.reports.push(Report { node: node.clone(), load, received_at: now });
        }
    }

    /// Adds to the last report of a node.
    pub fn add(&mut self, node: &NodeId, load: Load, now: Instant) {
        match self.reports.iter_mut().find(|report| report.node == *node) {
            Some(report) => {
                report.load.add(&load);
                report.received_at = now;
            }
            None => self.reports.push(Report { node: node.clone(), load, received_at: now }),
        }
    }

    /// The sum of the reports. A prompt counts in full until it has been prefilled, so the progress
    /// on the current prompt is subtracted: what the runner can have prefilled since the oldest
    /// report, at `rate` prompt tokens per second, but at most about half a prompt.
    pub fn sum(&self, now: Instant, rate: f64) -> Load {
        let mut sum = Load::default();
        let mut oldest = Duration::ZERO;
        for report in &self.reports {
            let age = now.saturating_duration_since(report.received_at);
            if age <= REPORT_TTL {
                sum.add(&report.load);
                oldest = oldest.max(age);
            }
        }
        let tokens: u64 = sum.backlog.iter().sum();
        let prompts: u32 = sum.prompts.iter().sum();
        let max_progress = tokens as f64 / f64::from(prompts.max(1)) * PREFILLED_FRACTION;
        let possible = oldest.as_secs_f64() * rate;
        let mut prefilled = possible.min(max_progress) as u64;
        for backlog in &mut sum.backlog {
            let taken = prefilled.min(*backlog);
            *backlog -= taken;
            prefilled -= taken;
        }
        sum
    }
}
