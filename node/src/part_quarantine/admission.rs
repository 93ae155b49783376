//! Which requests may run: those without a suspect part, and a single one at a time with it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use sardinepick_lib::fleet::part_quarantine::{
    Answer, Disposition, Prompt, Question, Stage, Subject,
};
use sardinepick_wire::part_quarantine::Message;
use smallvec::SmallVec;
use tokio::time::timeout;

use super::{Coverage, PartQuarantine};

/// How long the node that counts a part's crashes has to answer, for each attempt.
const REPLY_TIMEOUT: Duration = Duration::from_millis(25);
/// How often it is asked. A datagram can be lost.
const SEND_ATTEMPTS: u32 = 2;
/// How often a request that waits is looked at again if nothing changes.
const POLL: Duration = Duration::from_millis(40);
/// The maximum time that a request waits for a decision or for the run of another.
const MAX_WAIT: Duration = Duration::from_millis(500);
/// A request waits for at most this fraction of its time.
const MAX_WAIT_FRACTION: u32 = 4;
/// How long a request waits at a node that has just started for the quarantined parts to be known.
const MAX_COVERAGE_WAIT: Duration = Duration::from_secs(1);
/// When a caller is asked to retry whose request has waited too long.
const UNDECIDED_RETRY_AFTER: Duration = Duration::from_millis(300);
/// When a caller is asked to retry whose request is refused, if no trial is planned.
const REFUSED_RETRY_AFTER: Duration = Duration::from_secs(3_600);

/// Whether a request may run.
pub enum Admission {
    /// It may run.
    Free,
    /// It may run once.
    Permitted(Permit),
    /// It must not run now; the caller may retry after this time.
    Refused(Subject, Duration),
    /// A decision is pending, or another run on one of its parts is in progress.
    Undecided(Duration),
}

/// The permit for one run on restricted parts. Dropping it returns it.
pub struct Permit {
    quarantine: Arc<PartQuarantine>,
    /// The parts, the nodes that have granted the permits, or `None` for this node, and the numbers
    /// of the permits.
    granted: SmallVec<[(Subject, Option<SocketAddr>, u64); 2]>,
    /// The quarantined parts of which the run is a trial.
    trials: SmallVec<[Subject; 2]>,
}

impl Permit {
    /// Records that the run is sent to a runner.
    pub fn note_sent(&mut self) {
        let now = self.quarantine.handles.clock.now();
        for subject in std::mem::take(&mut self.trials) {
            let change = self.quarantine.state().core.note_trial(&subject, now);
            self.quarantine.note_changes(change);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        for (subject, node, permit) in std::mem::take(&mut self.granted) {
            let Some(peer) = node else {
                self.quarantine.state().core.return_permit(&subject, permit);
                continue;
            };
            let (quarantine, message) =
                (self.quarantine.clone(), Message::Return { subject, permit });
            tokio::spawn(async move { quarantine.send(peer, message).await });
        }
    }
}

/// What a permit is requested for.
#[derive(Clone, Copy, Debug)]
pub(super) struct Wanted {
    /// The part, or the group of requests.
    pub subject: Subject,
    /// Whether the request has everything in the part's context.
    pub covered: bool,
    /// Whether the subject is a group of requests.
    pub group: bool,
}

/// The result of one attempt to get all permits that a request needs.
enum Acquired {
    All(Permit),
    Busy,
    Refused(Subject),
}

impl PartQuarantine {
    /// Whether a request may run without a permit.
    pub fn is_free(&self, prompt: &Prompt) -> bool {
        let now = self.handles.clock.now();
        prompt.subjects.is_empty()
            || (*self.coverage.borrow() != Coverage::None
                && self.state().core.disposition(prompt, now) == Disposition::Free)
    }

    /// Whether a request is refused at the moment, unless it has a permit.
    pub fn is_refused(&self, prompt: &Prompt) -> bool {
        let now = self.handles.clock.now();
        matches!(self.state().core.disposition(prompt, now), Disposition::Refused(_))
    }

    /// Decides whether a request may run, which has `left` to its deadline. Waits for pending
    /// decisions and for the run of another request, within limits. `may_try` is false if a runner
    /// has crashed under the request itself: a trial by another one tells more.
    pub async fn admit(
        self: &Arc<Self>,
        prompt: &Prompt,
        left: Duration,
        may_try: bool,
    ) -> Admission {
        if self.is_free(prompt) {
            return Admission::Free;
        }
        let began = self.handles.clock.now();
        let until = began + MAX_WAIT.min(left / MAX_WAIT_FRACTION);
        self.wait_for_coverage(left).await;
        let mut changed = self.changed.subscribe();
        loop {
            changed.mark_unchanged();
            let now = self.handles.clock.now();
            let disposition = self.state().core.disposition(prompt, now);
            let outcome = match disposition {
                Disposition::Free => return Admission::Free,
                Disposition::Refused(subject) if !may_try || !self.is_trial_due(&subject, now) => {
                    Acquired::Refused(subject)
                }
                Disposition::Refused(subject) => self.acquire(prompt, &[subject]).await,
                Disposition::Restricted(subjects) if may_try => {
                    self.acquire(prompt, &subjects).await
                }
                Disposition::Restricted(_) | Disposition::Held => Acquired::Busy,
            };
            match outcome {
                Acquired::All(permit) => {
                    self.count_admission("permitted");
                    return Admission::Permitted(permit);
                }
                Acquired::Refused(subject) => return self.refuse(subject, now),
                Acquired::Busy if self.handles.clock.now() >= until => {
                    self.count_admission("undecided");
                    return Admission::Undecided(UNDECIDED_RETRY_AFTER);
                }
                // A timeout is handled like a change: permits expire with time.
                Acquired::Busy => drop(timeout(POLL, changed.changed()).await),
            }
        }
    }

    /// Waits until the node has asked for the parts that were quarantined when it started.
    async fn wait_for_coverage(&self, left: Duration) {
        let mut coverage = self.coverage.subscribe();
        let limit = left.min(MAX_COVERAGE_WAIT);
        if timeout(limit, coverage.wait_for(|known| *known != Coverage::None)).await.is_err() {
            log::warn!("a request runs before the quarantined prompt parts are known");
        }
    }

    fn is_trial_due(&self, subject: &Subject, now: Instant) -> bool {
        self.state().core.is_trial_due(subject, now)
    }

    fn refuse(&self, subject: Subject, now: Instant) -> Admission {
        let mut state = self.state();
        state.core.note_refused(&subject);
        let entry = state.core.get(&subject);
        let next = entry.and_then(sardinepick_lib::fleet::part_quarantine::Entry::next_trial);
        drop(state);
        self.count_admission("refused");
        let wait = next.map_or(REFUSED_RETRY_AFTER, |at| at.saturating_duration_since(now));
        Admission::Refused(subject, wait)
    }

    fn count_admission(&self, event: &str) {
        self.handles.metrics.part_admissions.with_label_values(&[event]).inc();
    }

    /// Requests a permit for each of some parts. Keeps all or none.
    async fn acquire(self: &Arc<Self>, prompt: &Prompt, subjects: &[Subject]) -> Acquired {
        let wanted = |subject: &Subject| {
            let state = self.state();
            let covered = state.core.get(subject).is_some_and(|e| prompt.has_all(&e.context));
            Wanted { subject: *subject, covered, group: false }
        };
        let answers = subjects.iter().map(|subject| self.acquire_one(wanted(subject)));
        let answers = join_all(answers).await;
        let mut permit =
            Permit { quarantine: self.clone(), granted: SmallVec::new(), trials: SmallVec::new() };
        for (subject, (node, answer)) in subjects.iter().zip(&answers) {
            if let Answer::Granted(number) = answer {
                permit.granted.push((*subject, *node, *number));
            }
        }
        for (subject, (_, answer)) in subjects.iter().zip(&answers) {
            match answer {
                Answer::Granted(_) | Answer::Free => {}
                Answer::Busy => return Acquired::Busy,
                Answer::Refused => return Acquired::Refused(*subject),
            }
        }
        let state = self.state();
        let is_trial = |subject: &&Subject| {
            let entry = state.core.get(subject);
            entry.is_some_and(|e| e.stage == Stage::Quarantined && prompt.has_all(&e.context))
        };
        permit.trials = subjects.iter().filter(is_trial).copied().collect();
        drop(state);
        Acquired::All(permit)
    }

    /// Requests a permit for the trial of a request of a group; `None` if another one of the group
    /// is in progress.
    pub async fn acquire_group(self: &Arc<Self>, group: Subject) -> Option<Permit> {
        let wanted = Wanted { subject: group, covered: false, group: true };
        let granted = match self.acquire_one(wanted).await {
            (node, Answer::Granted(number)) => [(group, node, number)].into_iter().collect(),
            // A node of an earlier version knows no groups.
            (_, Answer::Free) => SmallVec::new(),
            (_, Answer::Busy | Answer::Refused) => return None,
        };
        Some(Permit { quarantine: self.clone(), granted, trials: SmallVec::new() })
    }

    /// Requests a permit from the nodes that count the crashes of its subject, or grants it if this
    /// node is the first of them that can be reached.
    async fn acquire_one(&self, wanted: Wanted) -> (Option<SocketAddr>, Answer) {
        for node in self.counting_nodes(&wanted.subject) {
            let Some(peer) = node else { return (None, self.answer_own(&wanted)) };
            if let Some(answer) = self.ask(peer, &wanted).await {
                return (node, answer);
            }
            log::info!(peer:% = peer, part:% = wanted.subject; "no reply to a request for a permit");
        }
        (None, self.answer_own(&wanted))
    }

    /// Asks another node for a permit. A repeated question has the same number, so that it is
    /// granted once.
    async fn ask(&self, peer: SocketAddr, wanted: &Wanted) -> Option<Answer> {
        let Wanted { subject, covered, group } = *wanted;
        let (number, mut answer) = self.state().questions.register();
        for _ in 0..SEND_ATTEMPTS {
            self.send(peer, Message::Acquire { number, subject, covered, group }).await;
            if let Ok(Ok(answer)) = timeout(REPLY_TIMEOUT, &mut answer).await {
                return Some(answer);
            }
        }
        self.state().questions.cancel(number);
        None
    }

    /// Answers this node's own request for a permit.
    fn answer_own(&self, wanted: &Wanted) -> Answer {
        // Only the number is needed: this question is not sent.
        let (number, _) = self.state().questions.register();
        self.state().questions.cancel(number);
        self.answer(wanted, Question { node: 0, number })
    }

    /// Answers a request for a permit.
    pub(super) fn answer(&self, wanted: &Wanted, question: Question) -> Answer {
        let now = self.handles.clock.now();
        let Wanted { subject, covered, group } = *wanted;
        let core = &mut self.state().core;
        if group {
            core.acquire_group(subject, question, now)
        } else {
            core.acquire(&subject, covered, question, now)
        }
    }
}
