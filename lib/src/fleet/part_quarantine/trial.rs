//! Permits for trial runs on restricted and quarantined parts, granted by the node that counts the
//! crashes of a part: one at a time in the whole deployment.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use strum::{Display, IntoStaticStr};

use super::prompt::Subject;

/// How long a permit lasts if neither a crash nor progress ends it. The node or the caller that had
/// it may be gone.
const PERMIT_TTL: Duration = Duration::from_secs(3);
/// The maximum number of permits. Further ones are denied until some have expired.
const MAX_PERMITS: usize = 1_024;

/// Identifies a request for a permit.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Question {
    /// A hash of the node that asks.
    pub node: u64,
    /// The number of the request at that node.
    pub number: u64,
}

/// The answer to a request for a permit.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Answer {
    /// One run may be sent, by the permit of this number.
    Granted(u64),
    /// Another run is in progress, or a decision is pending.
    Busy,
    /// The part is quarantined, and no trial is due.
    Refused,
    /// The part is not restricted.
    Free,
}

/// A permit that a node has granted.
#[derive(Clone, Copy, Debug)]
struct Permit {
    number: u64,
    granted: Instant,
    /// For which question it was granted.
    question: Question,
}

impl Permit {
    fn is_outstanding(&self, now: Instant) -> bool {
        now < self.granted + PERMIT_TTL
    }
}

/// The permits that a node has granted.
#[derive(Clone, Debug, Default)]
pub(super) struct Permits {
    outstanding: BTreeMap<Subject, Permit>,
    last_number: u64,
}

impl Permits {
    /// Grants a permit unless one is outstanding. A question that is repeated, since the answer was
    /// lost, is answered in the same way.
    pub(super) fn acquire(&mut self, subject: Subject, question: Question, now: Instant) -> Answer {
        let outstanding = self.outstanding.get(&subject);
        if let Some(permit) = outstanding.filter(|permit| permit.is_outstanding(now)) {
            let is_repeated = permit.question == question;
            return if is_repeated { Answer::Granted(permit.number) } else { Answer::Busy };
        }
        if self.outstanding.len() >= MAX_PERMITS {
            self.outstanding.retain(|_, permit| permit.is_outstanding(now));
            if self.outstanding.len() >= MAX_PERMITS {
                return Answer::Busy;
            }
        }
        self.last_number += 1;
        let number = self.last_number;
        self.outstanding.insert(subject, Permit { number, granted: now, question });
        Answer::Granted(number)
    }

    /// Ends the permit of a part, whichever it is.
    pub(super) fn clear(&mut self, subject: &Subject) {
        self.outstanding.remove(subject);
    }

    /// Ends a permit.
    pub(super) fn release(&mut self, subject: &Subject, number: u64) {
        if self.outstanding.get(subject).is_some_and(|permit| permit.number == number) {
            self.outstanding.remove(subject);
        }
    }

    /// Ends the permit of a part if it was granted before a run was sent, which it must have been
    /// for.
    pub(super) fn release_sent(&mut self, subject: &Subject, sent: Instant) {
        if self.outstanding.get(subject).is_some_and(|permit| permit.granted <= sent) {
            self.outstanding.remove(subject);
        }
    }
}
