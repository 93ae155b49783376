//! Conversion of messages about prompt parts that crash runners.

use std::time::{Duration, Instant};

use sardinepick_lib::fleet::fingerprint::Fingerprint;
use sardinepick_lib::fleet::part_quarantine::{
    Answer, Crash, Entry, MAX_CONTEXT, MAX_CRASHES, Mark, Report, Stage, Subject,
};
use sardinepick_lib::fleet::runner::Tag;

use crate::age::{age_ms, duration_ms, instant_before};
use crate::error::WireError;
use crate::fleet as pb;

/// A datagram about a part, between a node and one that counts the part's crashes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Message {
    /// Reports a crash.
    Crash {
        /// The number of the report, unique at the reporting node.
        number: u64,
        /// The crash.
        report: CrashReport,
    },
    /// Acknowledges a [`Message::Crash`].
    Noted {
        /// The number of the report.
        number: u64,
    },
    /// Requests a permit for a run.
    Acquire {
        /// The number of the request, unique at the requesting node.
        number: u64,
        /// The part.
        subject: Subject,
        /// Whether the request has everything in the part's context.
        covered: bool,
        /// Whether the subject is a group of requests rather than a part.
        group: bool,
    },
    /// Answers a [`Message::Acquire`].
    Acquired {
        /// The number of the request.
        number: u64,
        /// The answer.
        answer: Answer,
    },
    /// Returns a permit.
    Return {
        /// The part.
        subject: Subject,
        /// The number of the permit.
        permit: u64,
    },
}

/// The crash of a runner under a run on a part, with ages for times.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashReport {
    /// The part.
    pub subject: Subject,
    /// The incarnation of the runner.
    pub incarnation: Tag,
    /// Whether the run had begun to write its answer.
    pub begun: bool,
    /// How long ago the runner was found to have crashed.
    pub crashed: Duration,
    /// How long ago the run was sent.
    pub sent: Duration,
    /// How long ago a run on the part last made progress, if known.
    pub sound: Option<Duration>,
    /// The marks of what else the request had.
    pub context: Vec<Mark>,
}

impl CrashReport {
    /// The report as sent at `now`.
    pub fn new(report: &Report, now: Instant) -> Self {
        let Report { subject, crash, sound } = report;
        Self {
            subject: *subject,
            incarnation: crash.incarnation,
            begun: crash.begun,
            crashed: now.saturating_duration_since(crash.at),
            sent: now.saturating_duration_since(crash.sent),
            sound: sound.map(|at| now.saturating_duration_since(at)),
            context: crash.context.to_vec(),
        }
    }

    /// The report as received at `now`.
    pub fn report(&self, now: Instant) -> Report {
        let before = |age: Duration| instant_before(now, duration_ms(age));
        let crash = Crash {
            incarnation: self.incarnation,
            at: before(self.crashed),
            begun: self.begun,
            sent: before(self.sent),
            context: self.context.iter().copied().take(MAX_CONTEXT).collect(),
        };
        Report { subject: self.subject, crash, sound: self.sound.map(before) }
    }
}

/// Encodes a message.
pub(crate) fn encode(message: &Message) -> pb::PartQuarantine {
    let body = match message {
        Message::Crash { number, report } => pb::part_quarantine::Body::Crash(pb::PartCrash {
            number: *number,
            subject: bytes(&report.subject),
            incarnation: report.incarnation.0,
            begun: report.begun,
            crash_ms: duration_ms(report.crashed),
            sent_ms: duration_ms(report.sent),
            sound_ms: report.sound.map(duration_ms),
            context: report.context.iter().map(|mark| mark.0).collect(),
        }),
        Message::Noted { number } => {
            pb::part_quarantine::Body::Noted(pb::PartCrashNoted { number: *number })
        }
        Message::Acquire { number, subject, covered, group } => {
            pb::part_quarantine::Body::Trial(pb::PartTrial {
                number: *number,
                subject: bytes(subject),
                covered: *covered,
                group: *group,
            })
        }
        Message::Acquired { number, answer } => {
            let (answer, permit) = match answer {
                Answer::Granted(permit) => (pb::TrialAnswer::Granted, *permit),
                Answer::Busy => (pb::TrialAnswer::Busy, 0),
                Answer::Refused => (pb::TrialAnswer::Refused, 0),
                Answer::Free => (pb::TrialAnswer::Free, 0),
            };
            let answer = pb::PartTrialAnswer { number: *number, answer: answer.into(), permit };
            pb::part_quarantine::Body::Answer(answer)
        }
        Message::Return { subject, permit } => {
            let (subject, permit) = (bytes(subject), *permit);
            pb::part_quarantine::Body::Over(pb::PartTrialOver { subject, permit })
        }
    };
    pb::PartQuarantine { body: Some(body) }
}

/// Decodes a message.
///
/// # Errors
/// A field is missing or invalid.
pub(crate) fn decode(message: &pb::PartQuarantine) -> Result<Message, WireError> {
    Ok(match message.body.as_ref().ok_or(WireError::Missing("body"))? {
        pb::part_quarantine::Body::Crash(crash) => {
            let millis = Duration::from_millis;
            let report = CrashReport {
                subject: subject(&crash.subject)?,
                incarnation: Tag(crash.incarnation),
                begun: crash.begun,
                crashed: millis(crash.crash_ms),
                sent: millis(crash.sent_ms),
                sound: crash.sound_ms.map(millis),
                context: crash.context.iter().copied().take(MAX_CONTEXT).map(Mark).collect(),
            };
            Message::Crash { number: crash.number, report }
        }
        pb::part_quarantine::Body::Noted(noted) => Message::Noted { number: noted.number },
        pb::part_quarantine::Body::Trial(trial) => Message::Acquire {
            number: trial.number,
            subject: subject(&trial.subject)?,
            covered: trial.covered,
            group: trial.group,
        },
        pb::part_quarantine::Body::Answer(answer) => {
            let number = answer.number;
            let answer = match pb::TrialAnswer::try_from(answer.answer) {
                Ok(pb::TrialAnswer::Granted) => Answer::Granted(answer.permit),
                Ok(pb::TrialAnswer::Busy) => Answer::Busy,
                Ok(pb::TrialAnswer::Refused) => Answer::Refused,
                Ok(pb::TrialAnswer::Free) => Answer::Free,
                Err(_) => return Err(WireError::Value("answer")),
            };
            Message::Acquired { number, answer }
        }
        pb::part_quarantine::Body::Over(over) => {
            Message::Return { subject: subject(&over.subject)?, permit: over.permit }
        }
    })
}

fn bytes(subject: &Subject) -> Vec<u8> {
    subject.fingerprint().as_bytes().to_vec()
}

fn subject(bytes: &[u8]) -> Result<Subject, WireError> {
    let fingerprint = Fingerprint::try_from(bytes).map_err(|_| WireError::Value("subject"))?;
    Ok(Subject::from(fingerprint))
}

/// Encodes entries.
pub fn encode_entries(entries: &[Entry], now: Instant) -> Vec<pb::QuarantinedPart> {
    let convert = |entry: &Entry| pb::QuarantinedPart {
        subject: bytes(&entry.subject),
        serial: entry.serial,
        stage: match entry.stage {
            Stage::Restricted => pb::PartStage::Restricted,
            Stage::Proposed => pb::PartStage::Proposed,
            Stage::Undecided => pb::PartStage::Undecided,
            Stage::Quarantined => pb::PartStage::Quarantined,
            Stage::Cleared => pb::PartStage::Cleared,
        }
        .into(),
        crashes: entry.crashes.iter().map(|tag| tag.0).collect(),
        context: entry.context.iter().map(|mark| mark.0).collect(),
        was_sound: entry.was_sound,
        trials: entry.trials,
        tried_ms: age_ms(entry.tried, now),
        first_ms: age_ms(entry.first, now),
        since_ms: age_ms(entry.since, now),
    };
    entries.iter().map(convert).collect()
}

/// Decodes entries.
///
/// # Errors
/// An entry has an invalid fingerprint or stage.
pub fn decode_entries(
    entries: &[pb::QuarantinedPart],
    now: Instant,
) -> Result<Vec<Entry>, WireError> {
    let convert = |entry: &pb::QuarantinedPart| {
        Ok(Entry {
            subject: subject(&entry.subject)?,
            serial: entry.serial,
            stage: match pb::PartStage::try_from(entry.stage) {
                Ok(pb::PartStage::Restricted) => Stage::Restricted,
                Ok(pb::PartStage::Proposed) => Stage::Proposed,
                Ok(pb::PartStage::Undecided) => Stage::Undecided,
                Ok(pb::PartStage::Quarantined) => Stage::Quarantined,
                Ok(pb::PartStage::Cleared) => Stage::Cleared,
                Err(_) => return Err(WireError::Value("stage")),
            },
            crashes: entry.crashes.iter().take(MAX_CRASHES).map(|tag| Tag(*tag)).collect(),
            context: entry.context.iter().take(MAX_CONTEXT).map(|mark| Mark(*mark)).collect(),
            was_sound: entry.was_sound,
            trials: entry.trials,
            tried: instant_before(now, entry.tried_ms),
            first: instant_before(now, entry.first_ms),
            since: instant_before(now, entry.since_ms),
        })
    };
    entries.iter().map(convert).collect()
}
