//! The load of a runner, as one node makes it and as it adds up over nodes.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::id::NodeId;

/// The classes in which work waits at a runner; a lower one goes first.
pub const CLASSES: usize = 4;

/// The class of work: the rank of its route, or behind all ranks if it will be late.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Class(u8);

impl Class {
    /// Work that is late already, or will be. It runs on what others leave over, so that it never
    /// makes work late that could be on time.
    pub const LATE: Class = Class((CLASSES - 1) as u8);

    /// The class of work that can be on time, by the rank of its route. Ranks beyond the last class
    /// of their own share it.
    pub fn of_rank(rank: u8) -> Self {
        Class(rank.min(CLASSES as u8 - 2))
    }

    /// Its place, from 0.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// What one node has under way at one runner.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Requests under way, by class.
    pub requests: [u32; CLASSES],
    /// Prompt tokens sent and not yet known to be read, by class.
    pub backlog: [u64; CLASSES],
    /// Prompts of which these are, by class.
    pub unread: [u32; CLASSES],
    /// Memory that the requests take, in tokens.
    pub tokens: u64,
}

impl Load {
    /// Whether nothing is under way.
    pub fn is_empty(&self) -> bool {
        self.total() == 0
    }

    /// Requests under way.
    pub fn total(&self) -> u32 {
        self.requests.iter().sum()
    }

    /// Requests under way that go before new work of `class`, or came before it in its own.
    pub fn before(&self, class: Class) -> u32 {
        self.requests[..=class.index()].iter().sum()
    }

    /// The prompt tokens that go before new work of `class`.
    pub fn ahead(&self, class: Class) -> u64 {
        self.backlog[..=class.index()].iter().sum()
    }

    /// The prompts that go before new work of `class`.
    pub fn prompts(&self, class: Class) -> u32 {
        self.unread[..=class.index()].iter().sum()
    }

    /// The prompt tokens that probably go before new work of `class` though they are less urgent: a
    /// runner that has begun a prompt reads it to its end, and on average half of it is left.
    pub fn begun(&self, class: Class) -> u64 {
        let behind = class.index() + 1;
        let prompts: u32 = self.unread[behind..].iter().sum();
        let tokens: u64 = self.backlog[behind..].iter().sum();
        tokens / u64::from(prompts.max(1)) / 2
    }

    /// Adds another load.
    pub fn add(&mut self, other: &Load) {
        self.tokens += other.tokens;
        for (mine, more) in self.backlog.iter_mut().zip(other.backlog) {
            *mine += more;
        }
        for (mine, more) in self.unread.iter_mut().zip(other.unread) {
            *mine += more;
        }
        for (mine, more) in self.requests.iter_mut().zip(other.requests) {
            *mine += more;
        }
    }
}

/// What another node says that it has under way.
#[derive(Clone, Debug)]
struct Report {
    node: NodeId,
    load: Load,
    heard: Instant,
}

/// How long a node's report counts. A node that has stopped telling is dead or cut off; its work
/// has ended by then or is not known any more.
pub const REPORT_LIFE: Duration = Duration::from_millis(1_500);

/// The part of what a runner has read since the reports that is not replaced by what was sent to it
/// since. Without it a busy runner, whose queue stays as long as it is, looks emptier than it is by
/// all that it reads in a beat: with all of it, since the oldest report, 0.02 less worth was earned
/// on each of two deployments (two plays of six days). With none an idle one looks busy for long.
const NOT_REPLACED: f64 = 0.5;

/// What the other nodes have under way at one runner.
#[derive(Clone, Debug, Default)]
pub struct Others {
    reports: SmallVec<[Report; 8]>,
}

impl Others {
    /// Takes a node's report in place of its last one.
    pub fn take(&mut self, node: &NodeId, load: Load, now: Instant) {
        self.reports.retain(|r| r.node != *node);
        if !load.is_empty() {
            self.reports.push(Report { node: node.clone(), load, heard: now });
        }
    }

    /// The sum of the reports, with what the runner has probably read since taken off: `rate` is in
    /// prompt tokens a second.
    pub fn sum(&self, now: Instant, rate: f64) -> Load {
        let mut sum = Load::default();
        // Tokens reported, and how long ago, in token seconds.
        let (mut tokens, mut aged) = (0, 0.0);
        for report in &self.reports {
            let age = now.saturating_duration_since(report.heard);
            if age <= REPORT_LIFE {
                sum.add(&report.load);
                let backlog: u64 = report.load.backlog.iter().sum();
                tokens += backlog;
                aged += backlog as f64 * age.as_secs_f64();
            }
        }
        let age = if tokens == 0 { 0.0 } else { aged / tokens as f64 };
        let mut read = (age * rate * NOT_REPLACED) as u64;
        for backlog in &mut sum.backlog {
            let taken = read.min(*backlog);
            *backlog -= taken;
            read -= taken;
        }
        sum
    }
}
