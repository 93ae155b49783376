//! What a node knows of the runners of one service: their late reports, corrected by what it sent
//! them since.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::config::object::{Admission, Role};
use crate::hash::stable_hash;
use crate::id::Name;
use crate::unit::{TokenRate, Tokens};

/// How many prompt prefixes are remembered for each runner.
pub const HINTS: usize = 64;

/// How long a cache hint is believed without being renewed.
pub const HINT_LIFE: Duration = Duration::from_secs(60);

const PREFIX_SEED: u64 = 0x7072_6566;

/// The rates that are assumed until a runner has reported its own.
pub const DEFAULT_PREFILL_RATE: TokenRate = TokenRate(8_000);
/// As [`DEFAULT_PREFILL_RATE`], for the output tokens of one request.
pub const DEFAULT_DECODE_RATE: TokenRate = TokenRate(40);

/// The hash of the start of a prompt, by which cached prompts are found again.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Prefix(pub u64);

/// How many bytes of a prompt are hashed: long enough to tell brand manuals apart.
pub const PREFIX_BYTES: usize = 512;

impl Prefix {
    /// The prefix of a prompt.
    pub fn of(prompt: &str) -> Self {
        let end = prompt.len().min(PREFIX_BYTES);
        Self(stable_hash(PREFIX_SEED, &prompt.as_bytes()[..end]))
    }
}

/// What a request asks of a runner.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// The prompt's length.
    pub prompt: Tokens,
    /// The expected length of the output.
    pub output: Tokens,
    /// The start of the prompt.
    pub prefix: Prefix,
    /// How much of the prompt a runner with this prefix has cached.
    pub cached: Tokens,
}

/// A runner's own word of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Requests under way.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Prompt tokens not yet processed.
    pub backlog: Tokens,
    /// Prompt tokens it processes a second.
    pub prefill_rate: TokenRate,
    /// Output tokens a second of one request.
    pub decode_rate: TokenRate,
    /// The role it works in.
    pub role: Role,
    /// It wants no new work.
    pub leaving: bool,
}

/// A remembered prompt prefix.
#[derive(Clone, Copy, Debug)]
struct Hint {
    prefix: Prefix,
    at: Instant,
}

/// How many own events are remembered for one runner. At the size to design for a node sends a
/// runner about one request a second, so they reach back further than any report is late.
const EVENTS: usize = 64;

/// Over which time the part of others is smoothed: much longer than reports are late, and shorter
/// than a lasting difference between runners may be left alone.
pub const SMOOTHING: Duration = Duration::from_secs(10);

/// A change of what this node has at a runner.
#[derive(Clone, Copy, Debug)]
struct OwnEvent {
    at: Instant,
    requests: i32,
    tokens: i64,
}

/// An amount of work at a runner: requests, and prompt tokens that are not yet processed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests, under way or waiting.
    pub requests: f64,
    /// Prompt tokens not yet processed.
    pub backlog: f64,
}

/// What a node knows of one runner.
///
/// A report is late, and what this node has sent or seen ended since it was true is known exactly.
/// So a report is taken apart into this node's own part at that time, worked out from its own
/// events, and the part of all others. The own part is replaced by the own part of now; the part of
/// others is smoothed.
#[derive(Clone, Debug)]
pub struct RunnerView {
    /// Its name.
    pub name: Name,
    /// What operators want of it.
    pub state: Admission,
    /// It said itself that it leaves, or refused work as one that leaves.
    pub leaving: bool,
    /// Until when it gets no new work since it is about to be away for a planned change.
    pub reserved_until: Option<Instant>,
    /// Until when it is left alone after a fault.
    pub backoff_until: Option<Instant>,
    /// Faults one after the other.
    pub faults: u32,
    /// Requests it works on at once.
    pub slots: u32,
    /// Its last report.
    pub report: Report,
    /// When the report was true.
    pub reported: Option<Instant>,
    /// Requests of this node that it has.
    pub in_flight: u32,
    /// Prompt tokens of this node's requests whose first token has not come.
    pub own_backlog: u64,
    /// What it has of other nodes, smoothed over [`SMOOTHING`].
    pub others: Load,
    events: VecDeque<OwnEvent>,
    hints: SmallVec<[Hint; 4]>,
}

/// How long a runner is left alone after its first fault; it doubles with each further one.
pub const FIRST_AVOID: Duration = Duration::from_millis(500);
/// The longest time a runner is left alone.
pub const LONGEST_AVOID: Duration = Duration::from_secs(15);

impl RunnerView {
    /// A runner of which nothing has been heard yet.
    pub fn new(name: Name, slots: u32, state: Admission) -> Self {
        Self {
            name,
            state,
            leaving: false,
            reserved_until: None,
            backoff_until: None,
            faults: 0,
            slots,
            report: Report {
                prefill_rate: DEFAULT_PREFILL_RATE,
                decode_rate: DEFAULT_DECODE_RATE,
                ..Report::default()
            },
            reported: None,
            in_flight: 0,
            own_backlog: 0,
            others: Load::default(),
            events: VecDeque::new(),
            hints: SmallVec::new(),
        }
    }

    /// Whether new work may go there at `now`.
    pub fn takes_work(&self, now: Instant) -> bool {
        let before = |until: Option<Instant>| until.is_some_and(|until| now < until);
        let left_alone = before(self.backoff_until) || before(self.reserved_until);
        self.state == Admission::Ready && !self.leaving && !left_alone
    }

    /// Takes in a report that was true at `at`. An older report than the last is left out, so
    /// that reports that overtake one another cannot bring an old load back.
    pub fn apply_report(&mut self, at: Instant, report: Report) -> bool {
        if self.reported.is_some_and(|last| at <= last) {
            return false;
        }
        let own = self.own_at(at);
        let requests = f64::from(report.running + report.waiting);
        let others = Load {
            requests: (requests - own.requests).max(0.0),
            backlog: (f64::from(report.backlog.0) - own.backlog).max(0.0),
        };
        let gain = self.reported.map_or(1.0, |last| {
            let passed = at.saturating_duration_since(last).as_secs_f64();
            1.0 - (-passed / SMOOTHING.as_secs_f64()).exp()
        });
        self.others.requests += (others.requests - self.others.requests) * gain;
        self.others.backlog += (others.backlog - self.others.backlog) * gain;
        self.report = report;
        self.reported = Some(at);
        self.leaving = report.leaving;
        true
    }

    /// What this node had there at `at`, by taking back what happened since.
    fn own_at(&self, at: Instant) -> Load {
        let mut requests = i64::from(self.in_flight);
        let mut tokens = i64::try_from(self.own_backlog).unwrap_or(i64::MAX);
        for event in self.events.iter().rev().take_while(|e| e.at > at) {
            requests -= i64::from(event.requests);
            tokens -= event.tokens;
        }
        Load { requests: requests.max(0) as f64, backlog: tokens.max(0) as f64 }
    }

    fn note(&mut self, at: Instant, requests: i32, tokens: i64) {
        if self.events.len() >= EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(OwnEvent { at, requests, tokens });
        self.in_flight = self.in_flight.saturating_add_signed(requests);
        self.own_backlog = self.own_backlog.saturating_add_signed(tokens);
    }

    /// Notes that work went there.
    pub fn record_sent(&mut self, now: Instant, work: &Work) {
        self.note(now, 1, i64::from(work.prompt.0));
    }

    /// Notes that the first token of `work` has come: its prompt is processed.
    pub fn record_first_token(&mut self, now: Instant, work: &Work) {
        self.note(now, 0, -i64::from(work.prompt.0));
    }

    /// Notes that a request ended without blame, such as one that its caller gave up. `pending`
    /// are its prompt tokens if its first token had not come.
    pub fn record_end(&mut self, now: Instant, pending: Tokens) {
        self.note(now, -1, -i64::from(pending.0));
    }

    /// Notes that the runner answers well.
    pub fn record_success(&mut self) {
        self.faults = 0;
        self.backoff_until = None;
    }

    /// Notes a fault, after which the runner is left alone for a while.
    pub fn record_fault(&mut self, now: Instant) {
        let factor = 1 << self.faults.min(8);
        self.faults += 1;
        self.backoff_until = Some(now + (FIRST_AVOID * factor).min(LONGEST_AVOID));
    }

    /// Notes that the runner has this prefix cached.
    pub fn record_cached(&mut self, prefix: Prefix, at: Instant) {
        match self.hints.iter_mut().find(|h| h.prefix == prefix) {
            Some(hint) => hint.at = at,
            None => {
                if self.hints.len() >= HINTS {
                    self.hints.remove(0);
                }
                self.hints.push(Hint { prefix, at });
            }
        }
    }

    /// Whether the runner probably still has this prefix.
    pub fn has_cached(&self, prefix: Prefix, now: Instant) -> bool {
        let fresh = |h: &Hint| now.saturating_duration_since(h.at) < HINT_LIFE;
        self.hints.iter().any(|h| h.prefix == prefix && fresh(h))
    }

    /// The age of the last report.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.reported.map(|at| now.saturating_duration_since(at))
    }
}
