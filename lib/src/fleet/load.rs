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

/// The part of a prompt that a runner is reading which it has read, on average. What was read of it
/// is not known until all of it has been.
const PART_READ: f64 = 0.5;

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

    /// Adds to what a node has reported.
    pub fn add(&mut self, node: &NodeId, load: Load, now: Instant) {
        match self.reports.iter_mut().find(|report| report.node == *node) {
            Some(report) => {
                report.load.add(&load);
                report.heard = now;
            }
            None => self.reports.push(Report { node: node.clone(), load, heard: now }),
        }
    }

    /// The sum of the reports. A prompt counts whole until it has been read, so what the runner has
    /// read of the one that it is at is taken off: as much as it can have read since the oldest
    /// report, at `rate` prompt tokens a second, and about half of a prompt at the most.
    pub fn sum(&self, now: Instant, rate: f64) -> Load {
        let mut sum = Load::default();
        let mut oldest = Duration::ZERO;
        for report in &self.reports {
            let age = now.saturating_duration_since(report.heard);
            if age <= REPORT_LIFE {
                sum.add(&report.load);
                oldest = oldest.max(age);
            }
        }
        let tokens: u64 = sum.backlog.iter().sum();
        let prompts: u32 = sum.unread.iter().sum();
        let at_most = tokens as f64 / f64::from(prompts.max(1)) * PART_READ;
        let since = oldest.as_secs_f64() * rate;
        let mut read = since.min(at_most) as u64;
        for backlog in &mut sum.backlog {
            let taken = read.min(*backlog);
            *backlog -= taken;
            read -= taken;
        }
        sum
    }
}
