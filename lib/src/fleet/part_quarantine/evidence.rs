//! The crashes that count against prompt parts.
//!
//! When a runner crashes, each run that had begun there and has made no progress is suspect, and
//! with it each part of its prompt. A run on a part that makes progress later proves that the part
//! does not crash runners, and the crashes before it no longer count.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::prompt::{Context, Mark, Subject};
use crate::fleet::runner::Tag;

/// The weight of a crash under a run that had begun to write its answer.
pub(super) const BEGUN_WEIGHT: u32 = 2;
/// The weight of a crash under any other run, which may have been queued.
const QUEUED_WEIGHT: u32 = 1;
/// How long crashes are remembered after the last one.
pub(super) const RETENTION: Duration = Duration::from_secs(600);
/// How long the only crash of a part is remembered when there is no room.
const SHORT_RETENTION: Duration = Duration::from_secs(10);
/// The maximum number of suspect parts.
const MAX_SUSPECTS: usize = 4_096;
/// The maximum number of crashes remembered for one part; the latest are.
pub const MAX_CRASHES: usize = 8;
/// The maximum number of marks that the context of one crash has.
pub const MAX_CONTEXT: usize = 8;

/// The crash of a runner under a run whose prompt has some part.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Crash {
    /// The incarnation of the runner.
    pub incarnation: Tag,
    /// When the runner was found to have crashed.
    pub at: Instant,
    /// Whether the run had begun to write its answer.
    pub begun: bool,
    /// When the run was sent to the runner.
    pub sent: Instant,
    /// What else the request had, without parts on which a run has made progress before.
    pub context: Context,
}

/// A crash, as reported to the nodes that count the crashes of a part.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// The part.
    pub subject: Subject,
    /// The crash.
    pub crash: Crash,
    /// When a run on the part last made progress at the reporting node, if it remembers one.
    pub sound: Option<Instant>,
}

/// The crashes that count against one part.
#[derive(Clone, Debug)]
pub(super) struct Series {
    crashes: SmallVec<[Crash; 4]>,
    /// When a crash was last reported.
    last: Instant,
    /// Whether a run on the part has ever made progress, as far as any reporting node remembers.
    pub(super) was_sound: bool,
}

impl Series {
    fn new(now: Instant) -> Self {
        Self { crashes: SmallVec::new(), last: now, was_sound: false }
    }

    fn note(&mut self, report: &Report, now: Instant) {
        let crash = &report.crash;
        self.last = now;
        if let Some(sound) = report.sound {
            self.was_sound = true;
            self.forget_until(sound);
            if crash.at <= sound {
                return;
            }
        }
        let known = self.crashes.iter_mut().find(|c| c.incarnation == crash.incarnation);
        if let Some(known) = known {
            // Of several runs at one runner, any may be the cause.
            known.begun |= crash.begun;
            (known.at, known.sent) = (known.at.min(crash.at), known.sent.max(crash.sent));
            for mark in &crash.context {
                if known.context.len() < MAX_CONTEXT && !known.context.contains(mark) {
                    known.context.push(*mark);
                }
            }
        } else {
            if self.crashes.len() >= MAX_CRASHES {
                self.crashes.remove(0);
            }
            self.crashes.push(crash.clone());
        }
    }

    /// Forgets the crashes until a time at which a run on the part made progress.
    fn forget_until(&mut self, sound: Instant) {
        self.crashes.retain(|crash| crash.at > sound);
    }

    /// When the first of the crashes was found; `None` if there are none.
    pub(super) fn first(&self) -> Option<Instant> {
        self.crashes.iter().map(|crash| crash.at).min()
    }

    /// The weight of those crashes for which `counts` holds: two for each crash under a run that had
    /// begun, and one for any other.
    pub(super) fn weight(&self, counts: impl Fn(&Crash) -> bool) -> u32 {
        let weight = |crash: &Crash| if crash.begun { BEGUN_WEIGHT } else { QUEUED_WEIGHT };
        self.crashes.iter().filter(|crash| counts(crash)).map(weight).sum()
    }

    /// Whether there is a crash for which `counts` holds.
    pub(super) fn has(&self, counts: impl Fn(&Crash) -> bool) -> bool {
        self.crashes.iter().any(counts)
    }

    /// Whether some run had this mark.
    pub(super) fn has_seen(&self, mark: &Mark) -> bool {
        self.crashes.iter().any(|crash| crash.context.contains(mark))
    }

    /// The number of crashes.
    pub(super) fn len(&self) -> usize {
        self.crashes.len()
    }

    /// What the runs of those crashes had in common, besides the part, for which `counts` holds.
    pub(super) fn context(&self, counts: impl Fn(&Crash) -> bool) -> Context {
        let mut counted = self.crashes.iter().filter(|crash| counts(crash));
        let Some(first) = counted.next() else { return Context::new() };
        let rest: SmallVec<[&Crash; 8]> = counted.collect();
        let is_common = |mark: &&_| rest.iter().all(|crash| crash.context.contains(mark));
        first.context.iter().filter(is_common).copied().collect()
    }

    /// The runners that crashed.
    pub(super) fn incarnations(&self) -> impl Iterator<Item = Tag> {
        self.crashes.iter().map(|crash| crash.incarnation)
    }
}

/// The crashes that count against parts, as known to one node.
#[derive(Clone, Debug, Default)]
pub(super) struct Evidence(BTreeMap<Subject, Series>);

impl Evidence {
    /// Records a crash.
    pub(super) fn note(&mut self, report: &Report, now: Instant) {
        if self.0.len() >= MAX_SUSPECTS && !self.0.contains_key(&report.subject) {
            self.make_room(now);
        }
        self.0.entry(report.subject).or_insert_with(|| Series::new(now)).note(report, now);
    }

    /// Parts with several crashes are kept: a caller that sends many different parts while runners
    /// crash must not displace them.
    fn make_room(&mut self, now: Instant) {
        let age = |series: &Series| now.saturating_duration_since(series.last);
        self.0.retain(|_, s| s.crashes.len() > 1 || age(s) < SHORT_RETENTION);
        if self.0.len() >= MAX_SUSPECTS {
            let victim = self.0.iter().min_by_key(|(_, s)| (s.crashes.len(), s.last));
            let victim = victim.map(|(subject, _)| *subject);
            victim.map(|subject| self.0.remove(&subject));
        }
    }

    pub(super) fn get(&self, subject: &Subject) -> Option<&Series> {
        self.0.get(subject)
    }

    /// Forgets the crashes of a part until the time at which it was cleared.
    pub(super) fn forget_until(&mut self, subject: &Subject, cleared: Instant) {
        if let Some(series) = self.0.get_mut(subject) {
            series.forget_until(cleared);
        }
        self.0.retain(|_, series| !series.crashes.is_empty());
    }

    /// Forgets the crashes that another part accounts for, except those of parts for which `keep`
    /// holds.
    pub(super) fn discount(&mut self, incarnations: &[Tag], keep: impl Fn(&Subject) -> bool) {
        for (subject, series) in &mut self.0 {
            if !keep(subject) {
                series.crashes.retain(|crash| !incarnations.contains(&crash.incarnation));
            }
        }
        self.0.retain(|_, series| !series.crashes.is_empty());
    }

    pub(super) fn expire(&mut self, now: Instant) {
        self.0.retain(|_, series| now.saturating_duration_since(series.last) < RETENTION);
    }

    pub(super) fn len(&self) -> usize {
        self.0.len()
    }
}
