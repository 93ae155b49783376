//! Decisions on parts that are proposed for quarantine.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::evidence::Series;
use super::{
    Cause, Change, Crash, Entry, FAILED_TRIAL_WEIGHT, MAX_CONTEXT, Mark, PartQuarantine,
    RESTRICTION_WEIGHT, Stage, Subject, Tracked, is_strong,
};
use crate::fleet::runner::Tag;

/// How long a proposal waits for its decision: an update reaches 550 nodes in a tenth of a second,
/// and objections take the same time back.
pub(super) const DECISION_DELAY: Duration = Duration::from_millis(300);
/// The number of crashes that must remain after those for which other parts account.
pub(super) const MIN_CRASHES: usize = 3;
/// The number of crashes that quarantine a part even if many parts are proposed at once.
const CERTAIN_CRASHES: usize = 5;
/// The maximum number of concurrent proposals without a common cause. When runners crash by a fault
/// of their own, there are many.
const MAX_CONCURRENT: usize = 4;

impl PartQuarantine {
    /// Whether any proposal is undecided.
    pub fn has_undecided(&self, now: Instant) -> bool {
        self.entries().any(|entry| entry.is_undecided(now))
    }

    /// Decides the proposals that are due, provided that this node has counted enough crashes
    /// itself, a failed trial among them.
    pub fn decide(&mut self, now: Instant) -> Vec<Change> {
        let is_due = |tracked: &&Tracked| {
            let entry = &tracked.entry;
            let has_counted = self.evidence.get(&entry.subject).is_some_and(|series| {
                let is_trial = |crash: &Crash| crash.sent > tracked.restricted;
                let crashes = self.known_crashes(Some(entry), series);
                is_strong(entry.trials, &crashes, series) && series.has(is_trial)
            });
            entry.is_undecided(now) && now >= entry.since + DECISION_DELAY && has_counted
        };
        let due = self.entries.values().filter(is_due);
        let due: Vec<Subject> = due.map(|tracked| tracked.entry.subject).collect();
        // All are decided by the same evidence.
        let verdicts: Vec<(Subject, bool)> =
            due.into_iter().map(|subject| (subject, self.is_at_fault(&subject, now))).collect();
        let changes = verdicts.into_iter().filter_map(|(subject, is_at_fault)| {
            if is_at_fault {
                self.quarantine(&subject, now)
            } else {
                let serial = self.get(&subject).map_or(0, |entry| entry.serial);
                self.leave_undecided(&subject, serial, now)
            }
        });
        changes.collect()
    }

    /// Whether the evidence points to a proposed part. If not, the next trial decides. Further
    /// crashes may have been counted since the proposal.
    fn is_at_fault(&self, subject: &Subject, now: Instant) -> bool {
        let Some(tracked) = self.entries.get(subject) else { return false };
        let Some(series) = self.evidence.get(subject) else { return false };
        let entry = &tracked.entry;
        let is_trial = |crash: &Crash| crash.sent > tracked.restricted;
        let rivals = self.rivals(entry, &series.context(is_trial));
        let was_there = |tag: Tag, rival: &&Entry| rival.crashes.contains(&tag);
        let is_suspect = |rival: &&&Entry| entry.was_sound || !rival.is_probably_sound();
        let is_stronger =
            |rival: &&&Entry| is_suspect(rival) && rival.crashes.len() >= entry.crashes.len();
        let is_explained =
            |tag: Tag| rivals.iter().filter(is_stronger).any(|rival| was_there(tag, rival));
        let unexplained = entry.crashes.iter().filter(|tag| !is_explained(**tag)).count();
        // The runner of a trial may have crashed because of another part's trial.
        let is_shared =
            |tag: Tag| rivals.iter().filter(is_suspect).any(|rival| was_there(tag, rival));
        let is_failed_trial = |crash: &Crash| is_trial(crash) && !is_shared(crash.incarnation);
        let is_one_of_many = self.concurrent(now) > MAX_CONCURRENT;
        series.weight(is_failed_trial) >= FAILED_TRIAL_WEIGHT
            && self.is_distinct(subject, series, is_trial)
            && unexplained >= MIN_CRASHES
            && (!is_one_of_many || entry.crashes.len() >= CERTAIN_CRASHES)
    }

    /// Whether the crashes under a part are evidence against it rather than against the other
    /// suspect parts of its runs. `is_trial` tells which crashes are those of failed trials; there
    /// is one. If runs on the part have made progress before, one is not enough.
    pub(super) fn is_distinct(
        &self,
        subject: &Subject,
        series: &Series,
        is_trial: impl Fn(&Crash) -> bool,
    ) -> bool {
        let trials = self.get(subject).map_or(0, |entry| entry.trials);
        if series.was_sound && trials == 0 {
            return false;
        }
        let others = self.others(subject, series);
        let is_alone = |crash: &Crash| !crash.context.iter().any(|mark| others.contains_key(mark));
        let has_alone_failed = series.has(|crash| is_alone(crash) && is_trial(crash));
        // A part that has been sound may have been at one crash with many others.
        let counts = |crash: &Crash| is_alone(crash) && (is_trial(crash) || !series.was_sound);
        if has_alone_failed && series.weight(counts) >= RESTRICTION_WEIGHT {
            return true;
        }
        // Nothing tells parts apart that were in the same runs; they are refused together.
        let is_joint = series.context(is_trial).iter().any(|mark| others.contains_key(mark));
        let mut rivals = others.iter().filter(|(mark, _)| series.has_seen(mark));
        let is_strongest = rivals.all(|(_, crashes)| *crashes < series.len());
        is_joint || (is_strongest && !series.was_sound)
    }

    /// The other suspect parts, and the number of their crashes.
    fn others(&self, subject: &Subject, series: &Series) -> BTreeMap<Mark, usize> {
        let is_suspect = |other: &&Entry| {
            let is_other = other.is_active() && other.subject != *subject;
            is_other && (series.was_sound || !other.is_probably_sound())
        };
        let others = self.entries().filter(is_suspect);
        others.map(|other| (other.subject.mark(), other.crashes.len())).collect()
    }

    /// The other suspect parts, without those that were in all failed trials of a part: they are
    /// judged together.
    fn rivals(&self, entry: &Entry, in_trials: &[Mark]) -> SmallVec<[&Entry; 8]> {
        let is_rival = |other: &&Entry| {
            let is_together = in_trials.contains(&other.subject.mark());
            other.is_active() && other.subject != entry.subject && !is_together
        };
        self.entries().filter(is_rival).collect()
    }

    /// Quarantines a part by what has been counted until now: reports of one crash may come one
    /// after the other.
    fn quarantine(&mut self, subject: &Subject, now: Instant) -> Option<Change> {
        let tracked = self.entries.get(subject)?;
        let (known, restricted) = (tracked.entry.clone(), tracked.restricted);
        let series = self.evidence.get(subject)?;
        let is_trial = |crash: &Crash| crash.sent > restricted;
        let mut context = series.context(|_| true);
        context.retain(|mark| known.context.contains(mark));
        // A part that failed its trials together with another one is refused together with it.
        let others = self.others(subject, series);
        for mark in series.context(is_trial) {
            if others.contains_key(&mark) && !context.contains(&mark) {
                context.push(mark);
            }
        }
        context.truncate(MAX_CONTEXT);
        let (stage, crashes) = (Stage::Quarantined, self.known_crashes(Some(&known), series));
        let entry = Entry { stage, crashes, context, trials: 0, since: now, tried: now, ..known };
        self.apply_own(entry, Cause::Decided)
    }

    /// The number of causes that are proposed at the same time. Parts with the same crashes count
    /// once.
    fn concurrent(&self, now: Instant) -> usize {
        let mut causes: Vec<SmallVec<[Tag; 8]>> = Vec::new();
        for entry in self.entries().filter(|entry| entry.is_undecided(now)) {
            let is_known = |cause: &SmallVec<_>| entry.crashes.iter().all(|t| cause.contains(t));
            if !causes.iter().any(is_known) {
                causes.push(entry.crashes.iter().copied().collect());
            }
        }
        causes.len()
    }

    /// Lets the requests with a part run one at a time after a trial that has told nothing.
    pub(super) fn leave_undecided(
        &mut self,
        subject: &Subject,
        serial: u32,
        now: Instant,
    ) -> Option<Change> {
        let known = self.active(subject)?.clone();
        let trials = known.trials.saturating_add(1);
        let entry = Entry { serial, stage: Stage::Undecided, since: now, trials, ..known };
        self.apply_own(entry, Cause::Undecided)
    }
}
