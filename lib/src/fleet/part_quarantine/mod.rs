//! Quarantine of prompt parts that crash the runners that begin to write an answer on them.
//!
//! Requests with such a part come at any node, and no two of them are alike, so crashes are counted
//! for each part of a prompt that requests may share. Two nodes count for all: those with the
//! highest rendezvous weight for the part. After two crashes without any progress in between,
//! requests with the part run one at a time in the whole deployment. If a runner crashes under one
//! that was sent after an earlier crash, the part is proposed to all nodes, and quarantined unless
//! one of them objects.
//!
//! Progress of any run on a part, at any node, clears the part: what sound requests share is
//! cleared as soon as one of them has begun. A part that always occurred together with others is
//! refused only together with those, until one of them is cleared.
//!
//! Entries are gossiped like roster records; a digest shows nodes that they have missed some.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use smallvec::SmallVec;
use strum::{Display, IntoStaticStr};

use self::decision::MIN_CRASHES;
pub use self::entry::{Crashes, Entry, Stage};
use self::evidence::{BEGUN_WEIGHT, Evidence, Series};
pub use self::evidence::{Crash, MAX_CONTEXT, MAX_CRASHES, Report};
pub use self::prompt::{Context, Mark, Prompt, Subject};
use self::trial::Permits;
pub use self::trial::{Answer, Question};
use super::digest::Differences;
use super::recent::Recent;
use super::runner::Tag;
use crate::hash::stable_hash;
use crate::id::NodeId;

mod decision;
mod entry;
mod evidence;
mod prompt;
mod trial;

/// The weight of the crashes from which requests with a part run one at a time: two under runs that
/// had begun.
const RESTRICTION_WEIGHT: u32 = 4;
/// The weight of the crashes from which a part is proposed: three under runs that had begun.
const QUARANTINE_WEIGHT: u32 = 6;
/// The weight of the failed trials that count against a part: one run that had begun. A run that had
/// not may have been queued at a runner that crashed for another reason.
const FAILED_TRIAL_WEIGHT: u32 = 2;
/// The number of events after which a run has made progress. What crashes its runner when it begins
/// to write may have sent an event or two.
pub const PROGRESS_EVENTS: u64 = 3;
/// For how long after progress on a part crashes under it are reported with a delay.
const SOUND_PERIOD: Duration = Duration::from_secs(1);
/// The delay. When many runners crash at once, most parts that sound requests share make progress
/// in that time, and are not reported.
pub const SOUND_DELAY: Duration = Duration::from_millis(300);
/// For how long requests with several restricted parts on which no run has ever made progress wait
/// for trials of each of these alone: runners that have crashed are back by then.
const TRIAL_ALONE_PERIOD: Duration = Duration::from_secs(5);
/// The maximum number of parts of one request that are counted or remembered. Others are left out,
/// different ones at each crash.
const MAX_PARTS: usize = 256;
/// The maximum number of entries.
const MAX_ENTRIES: usize = 1_024;
/// How long before its expiry an entry is excluded from the digest, as nodes remove it at slightly
/// different times.
const DIGEST_MARGIN: Duration = Duration::from_secs(60);
/// The maximum number of entries in one message, at up to 190 bytes each.
pub const MAX_ENTRIES_PER_MESSAGE: usize = 6;

/// What a node does with a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Disposition {
    /// It may run.
    Free,
    /// It waits for a decision.
    Held,
    /// It needs a permit for each of these parts.
    Restricted(SmallVec<[Subject; 2]>),
    /// It is refused because of this part.
    Refused(Subject),
}

/// Why an entry has changed.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// This node has counted enough crashes.
    Counted,
    /// Another node has said so.
    Heard,
    /// A run has made progress.
    Progress,
    /// The decision on a proposal.
    Decided,
    /// Other parts may account for the crashes.
    Undecided,
    /// A part of the context has been cleared, or was not at a crash.
    Narrowed,
    /// A trial has begun.
    Tried,
    /// An operator has released the part.
    Released,
    /// The platform's store had the entry.
    Stored,
}

/// A change of an entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The entry as it is now.
    pub entry: Entry,
    /// The stage before; `None` if the entry is new.
    pub was: Option<Stage>,
    /// Why it has changed.
    pub cause: Cause,
}

/// Whether enough of the `crashes` under a part count against it to propose it. Those that only
/// other nodes have counted count too: this node may have started since.
fn is_strong(trials: u32, crashes: &Crashes, series: &Series) -> bool {
    let is_own = |tag: &&Tag| series.incarnations().any(|own| own == **tag);
    let others = crashes.iter().filter(|tag| !is_own(tag)).count() as u32;
    let weight = series.weight(|_| true) + others * BEGUN_WEIGHT;
    weight >= QUARANTINE_WEIGHT || trials > 0 && crashes.len() >= MIN_CRASHES
}

/// What a node reports after a crash.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    /// The reports to send at once.
    pub now: Vec<Report>,
    /// The reports to send after [`SOUND_DELAY`], unless they are refuted until then.
    pub later: Vec<Report>,
}

#[derive(Clone, Debug)]
struct Tracked {
    entry: Entry,
    /// Since when runs on the part are trials: when it was first restricted.
    restricted: Instant,
    /// How often this node has refused requests with the part.
    refused: u64,
}

/// What one node knows of prompt parts that crash runners.
#[derive(Clone, Debug, Default)]
pub struct PartQuarantine {
    evidence: Evidence,
    entries: BTreeMap<Subject, Tracked>,
    permits: Permits,
    /// When runs on parts last made progress.
    sound: Recent,
    updates: VecDeque<Subject>,
    /// The nodes whose digests differ from this node's.
    differences: Differences,
}

impl PartQuarantine {
    /// What to do with a request.
    pub fn disposition(&self, prompt: &Prompt, now: Instant) -> Disposition {
        let mut restricted: SmallVec<[Subject; 2]> = SmallVec::new();
        let mut is_held = false;
        for subject in &prompt.subjects {
            let Some(entry) = self.active(subject) else { continue };
            match entry.stage {
                Stage::Quarantined if prompt.has_all(&entry.context) => {
                    return Disposition::Refused(*subject);
                }
                Stage::Proposed if entry.is_undecided(now) => is_held = true,
                Stage::Restricted | Stage::Proposed | Stage::Undecided | Stage::Quarantined => {
                    restricted.push(*subject);
                }
                Stage::Cleared => {}
            }
        }
        if restricted.is_empty() && !is_held {
            return Disposition::Free;
        }
        if is_held || self.is_ambiguous(&restricted, now) {
            return Disposition::Held;
        }
        Disposition::Restricted(restricted)
    }

    /// Whether a crash under a run on some restricted parts would not tell which of them is at
    /// fault. Trials of each alone come first for a while.
    fn is_ambiguous(&self, restricted: &[Subject], now: Instant) -> bool {
        let entries = restricted.iter().filter_map(|subject| self.get(subject));
        let suspects: SmallVec<[&Entry; 2]> =
            entries.filter(|entry| !entry.is_probably_sound()).collect();
        let is_recent = |entry: &&Entry| now < entry.since + TRIAL_ALONE_PERIOD;
        suspects.len() > 1 && suspects.iter().any(is_recent)
    }

    /// The entry of a part.
    pub fn get(&self, subject: &Subject) -> Option<&Entry> {
        self.entries.get(subject).map(|tracked| &tracked.entry)
    }

    fn active(&self, subject: &Subject) -> Option<&Entry> {
        self.get(subject).filter(|entry| entry.is_active())
    }

    /// All entries.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> + Clone {
        self.entries.values().map(|tracked| &tracked.entry)
    }

    /// The number of parts with crashes that count here.
    pub fn suspects(&self) -> usize {
        self.evidence.len()
    }

    /// What to report to the counting nodes after a runner has crashed under a run that had made no
    /// progress.
    pub fn reports(&self, prompt: &Prompt, crash: &Crash, now: Instant) -> Reports {
        let sound = |subject: &Subject| self.sound.last(subject.fingerprint());
        let is_suspect = |s: &&Subject| sound(s).is_none() || self.active(s).is_some();
        let mut marks: Vec<Mark> =
            prompt.subjects.iter().filter(is_suspect).map(Subject::mark).collect();
        // Reports of different crashes must leave out the same marks.
        marks.sort_unstable();
        let context = |subject: &Subject| -> Context {
            let others = marks.iter().copied().filter(|mark| *mark != subject.mark());
            [prompt.request, prompt.account].into_iter().chain(others).take(MAX_CONTEXT).collect()
        };
        let mut suspects: Vec<&Subject> = prompt.subjects.iter().collect();
        if suspects.len() > MAX_PARTS {
            let draw = |s: &&Subject| stable_hash(crash.incarnation.0, s.fingerprint().as_bytes());
            suspects.sort_by_cached_key(draw);
            suspects.truncate(MAX_PARTS);
        }
        let report = |subject: &Subject| Report {
            subject: *subject,
            crash: Crash { context: context(subject), ..crash.clone() },
            sound: sound(subject),
        };
        let has_just_been_sound = |subject: &&Subject| {
            sound(subject).is_some_and(|at| now.saturating_duration_since(at) < SOUND_PERIOD)
        };
        let (later, now): (Vec<&Subject>, Vec<&Subject>) =
            suspects.into_iter().partition(has_just_been_sound);
        Reports {
            now: now.into_iter().map(report).collect(),
            later: later.into_iter().map(report).collect(),
        }
    }

    /// Whether a run on a part has made progress here since the crash of a report, which makes the
    /// report unnecessary.
    pub fn is_refuted(&self, report: &Report) -> bool {
        let sound = self.sound.last(report.subject.fingerprint());
        sound.is_some_and(|at| at > report.crash.at)
    }

    /// Counts a crash, as one of the counting nodes of the part or as the node that has seen it.
    pub fn note_report(&mut self, report: &Report, now: Instant) -> Option<Change> {
        let subject = report.subject;
        self.permits.release_sent(&subject, report.crash.sent);
        let sound = report.sound.max(self.sound.last(subject.fingerprint()));
        let stage = self.active(&subject).map(|entry| entry.stage);
        if stage != Some(Stage::Quarantined) && self.is_explained(report) {
            return None;
        }
        self.evidence.note(&Report { sound, ..report.clone() }, now);
        match stage {
            Some(Stage::Quarantined) => self.add_crash(&subject, &report.crash),
            _ => self.evaluate(&subject, now),
        }
    }

    /// Whether a quarantined part that was not in the reported run accounts for the crash.
    fn is_explained(&self, report: &Report) -> bool {
        let quarantined = self.entries().filter(|entry| entry.stage == Stage::Quarantined);
        let mut others = quarantined.filter(|e| !report.crash.context.contains(&e.subject.mark()));
        others.any(|entry| entry.crashes.contains(&report.crash.incarnation))
    }

    /// Adds a crash to a quarantined part. The context becomes narrower by what several runs since
    /// then did not have; one may have crashed for another reason.
    fn add_crash(&mut self, subject: &Subject, crash: &Crash) -> Option<Change> {
        let series = self.evidence.get(subject)?;
        let known = self.get(subject)?;
        let is_other = |other: &&Entry| {
            let is_in_doubt = other.is_active() && other.subject != *subject;
            is_in_doubt && !known.has_in_context(&other.subject)
        };
        let suspects: Context =
            self.entries().filter(is_other).map(|other| other.subject.mark()).collect();
        let is_alone = |c: &Crash| !c.context.iter().any(|mark| suspects.contains(mark));
        let is_kept = |mark: &&Mark| {
            let is_without = |c: &Crash| c.sent > known.since && !c.context.contains(mark);
            let counts = |c: &Crash| is_alone(c) && is_without(c);
            let has_other_cause = series.context(counts).iter().any(|m| !known.context.contains(m));
            let needed = if has_other_cause { QUARANTINE_WEIGHT } else { RESTRICTION_WEIGHT };
            series.weight(counts) < needed
        };
        let context: Context = known.context.iter().filter(is_kept).copied().collect();
        let is_new =
            known.crashes.len() < MAX_CRASHES && !known.crashes.contains(&crash.incarnation);
        if !is_new && context.len() == known.context.len() {
            return None;
        }
        let entry = &mut self.entries.get_mut(subject)?.entry;
        entry.context = context;
        if is_new {
            entry.crashes.push(crash.incarnation);
        }
        Some(self.queue(subject, Some(Stage::Quarantined), Cause::Counted))
    }

    /// Restricts a part if enough crashes count against it, and proposes it once a trial has failed.
    fn evaluate(&mut self, subject: &Subject, now: Instant) -> Option<Change> {
        let series = self.evidence.get(subject)?;
        let weight = series.weight(|_| true);
        let known = self.get(subject);
        let serial = known.map_or(0, |known| known.serial);
        let trials = known.filter(|known| known.is_active()).map_or(0, |known| known.trials);
        let crashes = self.known_crashes(known, series);
        let mut context = series.context(|_| true);
        if let Some(known) = known.filter(|_| trials > 0 || crashes.len() > series.len()) {
            context.retain(|mark| known.context.contains(mark));
        }
        let entry = |serial, stage| Entry {
            subject: *subject,
            serial,
            stage,
            crashes: crashes.clone(),
            context: context.clone(),
            was_sound: series.was_sound,
            trials,
            tried: now,
            first: series.first().unwrap_or(now),
            since: now,
        };
        let next = serial.saturating_add(1);
        let entry = match known.map(|known| (known.stage, known)) {
            None | Some((Stage::Cleared, _)) if weight < RESTRICTION_WEIGHT => return None,
            None | Some((Stage::Cleared, _)) => entry(next, Stage::Restricted),
            Some((Stage::Proposed, known)) if known.is_undecided(now) => {
                entry(serial, Stage::Proposed)
            }
            // The next trial decides on a proposal that nobody has decided in time.
            Some((stage @ (Stage::Restricted | Stage::Proposed | Stage::Undecided), known)) => {
                let since = self.entries.get(subject).map_or(now, |tracked| tracked.restricted);
                let is_trial = |crash: &Crash| crash.sent > since;
                let is_new_trial = |crash: &Crash| crash.sent > known.since;
                let serial = if stage == Stage::Restricted { serial } else { next };
                if !is_strong(trials, &crashes, series) || !series.has(is_new_trial) {
                    entry(known.serial, stage)
                } else if self.is_distinct(subject, series, is_trial) {
                    entry(serial, Stage::Proposed)
                } else {
                    return self.leave_undecided(subject, serial, now);
                }
            }
            Some((Stage::Quarantined, _)) => return None,
        };
        self.apply_own(entry, Cause::Counted)
    }

    /// The crashes under a part, in which those count that other nodes have counted before a failed
    /// trial, or if this node has counted too few, unless a quarantined part accounts for them.
    fn known_crashes(&self, known: Option<&Entry>, series: &Series) -> Crashes {
        let mut crashes: Crashes = series.incarnations().collect();
        let is_weak = series.weight(|_| true) < QUARANTINE_WEIGHT;
        let counts = |known: &&Entry| known.is_active() && (known.trials > 0 || is_weak);
        let Some(known) = known.filter(counts) else { return crashes };
        let is_explained = |tag: Tag| {
            let mut others = self.entries().filter(|other| {
                other.stage == Stage::Quarantined && !known.has_in_context(&other.subject)
            });
            others.any(|other| other.crashes.contains(&tag))
        };
        for tag in &known.crashes {
            if crashes.len() < MAX_CRASHES && !crashes.contains(tag) && !is_explained(*tag) {
                crashes.push(*tag);
            }
        }
        crashes
    }

    /// Records that a run on a prompt has made progress, which clears its parts.
    pub fn note_progress(&mut self, prompt: &Prompt, now: Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        for subject in prompt.subjects.iter().take(MAX_PARTS) {
            self.sound.note(*subject.fingerprint(), now);
            changes.extend(self.set_stage(subject, Stage::Cleared, Cause::Progress, now));
            changes.extend(self.drop_from_contexts(subject));
        }
        changes
    }

    /// Removes a part that is sound from the contexts of others.
    fn drop_from_contexts(&mut self, sound: &Subject) -> Vec<Change> {
        let entries = self.entries().filter(|entry| entry.is_active());
        let others = entries.filter(|entry| entry.has_in_context(sound));
        let others: Vec<Subject> = others.map(|entry| entry.subject).collect();
        let mut changes = Vec::new();
        for subject in others {
            if let Some(tracked) = self.entries.get_mut(&subject) {
                tracked.entry.context.retain(|mark| *mark != sound.mark());
                let was = Some(tracked.entry.stage);
                changes.push(self.queue(&subject, was, Cause::Narrowed));
            }
        }
        changes
    }

    /// Releases a part on an operator's command; `None` if it is neither restricted nor
    /// quarantined.
    pub fn release(&mut self, subject: &Subject, now: Instant) -> Option<Change> {
        self.set_stage(subject, Stage::Cleared, Cause::Released, now)
    }

    /// Moves an active entry to a later stage, which holds since a time.
    fn set_stage(
        &mut self,
        subject: &Subject,
        stage: Stage,
        cause: Cause,
        since: Instant,
    ) -> Option<Change> {
        let entry = Entry { stage, since, tried: since, ..self.active(subject)?.clone() };
        self.apply_own(entry, cause)
    }

    /// Applies another node's entry, or one from the store.
    pub fn apply(&mut self, mut entry: Entry, cause: Cause, now: Instant) -> Vec<Change> {
        if entry.has_expired(now, Duration::ZERO) {
            return Vec::new();
        }
        let subject = entry.subject;
        let sound = self.sound.last(subject.fingerprint());
        let is_sound = entry.is_active() && sound.is_some_and(|at| at > entry.first);
        entry.context.truncate(MAX_CONTEXT);
        let mut changes: Vec<Change> = self.apply_own(entry, cause).into_iter().collect();
        if let Some(at) = sound.filter(|_| is_sound) {
            changes.extend(self.set_stage(&subject, Stage::Cleared, Cause::Progress, at));
        }
        if self.get(&subject).is_some_and(|entry| !entry.is_active()) {
            // Crashes since the progress count on.
            changes.extend(self.evaluate(&subject, now));
        }
        changes
    }

    fn apply_own(&mut self, entry: Entry, cause: Cause) -> Option<Change> {
        let subject = entry.subject;
        let was = self.get(&subject).map(|entry| entry.stage);
        if let Some(tracked) = self.entries.get_mut(&subject) {
            if !tracked.entry.merge(entry) {
                return None;
            }
            if tracked.entry.stage == Stage::Restricted {
                tracked.restricted = tracked.entry.since;
            }
        } else {
            if self.entries.len() >= MAX_ENTRIES {
                self.make_room();
            }
            let restricted = entry.since;
            self.entries.insert(subject, Tracked { entry, restricted, refused: 0 });
        }
        let change = self.queue(&subject, was, cause);
        if was != Some(change.entry.stage) {
            self.apply_stage(&change.entry);
        }
        Some(change)
    }

    /// Applies a new stage to what is counted here.
    fn apply_stage(&mut self, entry: &Entry) {
        match entry.stage {
            Stage::Restricted | Stage::Proposed | Stage::Undecided => {}
            // The part, and what was always with it, account for these crashes.
            Stage::Quarantined => {
                let keep = |s: &Subject| *s == entry.subject || entry.has_in_context(s);
                self.evidence.discount(&entry.crashes, keep);
            }
            Stage::Cleared => {
                self.evidence.forget_until(&entry.subject, entry.since);
                self.permits.clear(&entry.subject);
            }
        }
    }

    /// Queues an entry for gossip, and returns its change.
    fn queue(&mut self, subject: &Subject, was: Option<Stage>, cause: Cause) -> Change {
        self.updates.retain(|other| other != subject);
        self.updates.push_back(*subject);
        let entry = self.entries[subject].entry.clone();
        Change { entry, was, cause }
    }

    /// Removes the oldest entry, and quarantined ones last.
    fn make_room(&mut self) {
        let order = |tracked: &Tracked| {
            let entry = &tracked.entry;
            (entry.stage == Stage::Quarantined, entry.is_active(), entry.since)
        };
        let victim = self.entries.iter().min_by_key(|(_, tracked)| order(tracked));
        let victim = victim.map(|(subject, _)| *subject);
        victim.map(|subject| self.entries.remove(&subject));
    }

    /// Answers a request for a permit, as the node that counts the part's crashes. `covered` says
    /// whether the request has everything in the part's context.
    pub fn acquire(
        &mut self,
        subject: &Subject,
        covered: bool,
        question: Question,
        now: Instant,
    ) -> Answer {
        let Some(entry) = self.active(subject) else { return Answer::Free };
        match entry.stage {
            Stage::Proposed if entry.is_undecided(now) => return Answer::Busy,
            Stage::Undecided if now < entry.next_run() => return Answer::Busy,
            Stage::Quarantined if covered && entry.next_trial().is_none_or(|at| now < at) => {
                return Answer::Refused;
            }
            Stage::Restricted
            | Stage::Proposed
            | Stage::Undecided
            | Stage::Quarantined
            | Stage::Cleared => {}
        }
        self.permits.acquire(*subject, question, now)
    }

    /// Answers a request for a permit for the trial of a request of a group. There is no entry of a
    /// group: whether its requests are restricted is known to the node that asks.
    pub fn acquire_group(&mut self, group: Subject, question: Question, now: Instant) -> Answer {
        self.permits.acquire(group, question, now)
    }

    /// Ends a permit whose run has not been sent, or has ended without a crash or progress.
    pub fn return_permit(&mut self, subject: &Subject, number: u64) {
        self.permits.release(subject, number);
    }

    /// Whether a trial of a quarantined part is due.
    pub fn is_trial_due(&self, subject: &Subject, now: Instant) -> bool {
        let entry = self.active(subject).filter(|entry| entry.stage == Stage::Quarantined);
        entry.and_then(Entry::next_trial).is_some_and(|at| now >= at)
    }

    /// Records that a trial of a quarantined part begins.
    pub fn note_trial(&mut self, subject: &Subject, now: Instant) -> Option<Change> {
        let entry = &mut self.entries.get_mut(subject)?.entry;
        if entry.stage != Stage::Quarantined {
            return None;
        }
        entry.trials = entry.trials.saturating_add(1);
        entry.tried = now;
        Some(self.queue(subject, Some(Stage::Quarantined), Cause::Tried))
    }

    /// How often this node has refused requests with a part.
    pub fn refused(&self, subject: &Subject) -> u64 {
        self.entries.get(subject).map_or(0, |tracked| tracked.refused)
    }

    /// Counts a refusal.
    pub fn note_refused(&mut self, subject: &Subject) {
        if let Some(tracked) = self.entries.get_mut(subject) {
            tracked.refused += 1;
        }
    }

    /// How many of the crashes under a request remain after those for which suspect parts account. A
    /// part under which runners crashed with this request alone accounts for none.
    pub fn unexplained_by_parts(&self, crashes: &[Tag], request: Mark) -> usize {
        let accounts = |entry: &&Entry| {
            let is_suspect = matches!(entry.stage, Stage::Proposed | Stage::Quarantined);
            let is_independent = !entry.context.contains(&request);
            is_suspect && is_independent && entry.crashes.len() >= crashes.len()
        };
        let others = self.entries().filter(accounts);
        let is_unexplained = |tag: &&Tag| !others.clone().any(|other| other.crashes.contains(tag));
        crashes.iter().filter(is_unexplained).count()
    }

    /// Takes the entries for the next message.
    pub fn take_updates(&mut self) -> Vec<Entry> {
        let count = self.updates.len().min(MAX_ENTRIES_PER_MESSAGE);
        let subjects: Vec<Subject> = self.updates.drain(..count).collect();
        subjects.iter().filter_map(|subject| self.get(subject).cloned()).collect()
    }

    /// Whether there is an entry that has not been sent in any message.
    pub fn has_updates(&self) -> bool {
        !self.updates.is_empty()
    }

    /// Removes what is too old. Returns the parts that were quarantined until now.
    pub fn expire(&mut self, now: Instant) -> Vec<Subject> {
        self.evidence.expire(now);
        let has_expired = |tracked: &Tracked| tracked.entry.has_expired(now, Duration::ZERO);
        let expired = self.entries.values().filter(|tracked| has_expired(tracked));
        let quarantined = expired.filter(|tracked| tracked.entry.stage == Stage::Quarantined);
        let quarantined = quarantined.map(|tracked| tracked.entry.subject).collect();
        self.entries.retain(|_, tracked| !has_expired(tracked));
        quarantined
    }

    /// A digest of all entries; zero if there are none.
    pub fn digest(&self, now: Instant) -> u64 {
        let included = self.entries().filter(|entry| !entry.has_expired(now, DIGEST_MARGIN));
        included.fold(0, |sum, entry| sum ^ entry.digest())
    }

    /// Compares another node's digest with this node's. Returns whether they have differed long
    /// enough to compare the entries.
    pub fn note_digest(&mut self, node: &NodeId, digest: u64, now: Instant) -> bool {
        let same = digest == self.digest(now);
        self.differences.note(node, same, now)
    }
}
