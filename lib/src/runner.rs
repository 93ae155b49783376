//! A node's view of the runners of one service: delayed load reports, corrected by the work that
//! the node has sent since.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::config::object::{Admission, Role};
use crate::hash::stable_hash;
use crate::id::Name;
use crate::unit::{TokenRate, Tokens};

/// How many prompt prefixes are remembered per runner.
pub const MAX_CACHE_HINTS: usize = 64;

/// How long a cache hint is valid without being renewed.
pub const CACHE_HINT_TTL: Duration = Duration::from_secs(60);

const PREFIX_SEED: u64 = 0x7072_6566;

/// The prefill rate assumed until a runner has reported its own.
pub const DEFAULT_PREFILL_RATE: TokenRate = TokenRate(8_000);
/// The decode rate of one request assumed until a runner has reported its own.
pub const DEFAULT_DECODE_RATE: TokenRate = TokenRate(40);

/// The hash of the start of a prompt, used to find runners that have it cached.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Prefix(pub u64);

/// How many bytes of a prompt are hashed. It is enough to tell similar system prompts, such as
/// brand manuals, apart.
pub const PREFIX_BYTES: usize = 512;

impl Prefix {
    /// Hashes the start of a prompt.
    pub fn of(prompt: &str) -> Self {
        let end = prompt.len().min(PREFIX_BYTES);
        Self(stable_hash(PREFIX_SEED, &prompt.as_bytes()[..end]))
    }
}

/// The work that a request makes for a runner.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// The length of the prompt.
    pub prompt: Tokens,
    /// The expected length of the output.
    pub output: Tokens,
    /// The prefix of the prompt.
    pub prefix: Prefix,
    /// How many tokens of the prompt a runner with this prefix has cached.
    pub cached: Tokens,
}

/// The load that a runner reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// Prompt tokens not yet processed.
    pub backlog: Tokens,
    /// Prompt tokens processed per second.
    pub prefill_rate: TokenRate,
    /// Output tokens per second of one request.
    pub decode_rate: TokenRate,
    /// The current role.
    pub role: Role,
    /// Whether it accepts no new work because it is shutting down.
    pub leaving: bool,
}

/// A remembered prompt prefix.
#[derive(Clone, Copy, Debug)]
struct CacheHint {
    prefix: Prefix,
    at: Instant,
}

/// How many of this node's own events are remembered per runner. At the design size a node sends a
/// runner about one request per second, so they cover more time than any report is delayed.
const MAX_OWN_EVENTS: usize = 64;

/// The time constant for smoothing the load of other nodes. It is much longer than the delay of
/// reports, and short enough to follow lasting differences between runners.
pub const SMOOTHING_TIME: Duration = Duration::from_secs(10);

/// A change of this node's work at a runner.
#[derive(Clone, Copy, Debug)]
struct OwnEvent {
    at: Instant,
    requests: i32,
    tokens: i64,
}

/// An amount of work at a runner.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Running and waiting requests.
    pub requests: f64,
    /// Prompt tokens not yet processed.
    pub backlog: f64,
}

/// What a node knows of one runner.
///
/// A report is delayed, but the node knows exactly which requests it has sent or seen end since the
/// time of the report. So the reported load is split into this node's own load at that time,
/// reconstructed from its events, and the load of all other nodes. The own part is replaced by the
/// current own load; the part of the others is smoothed.
#[derive(Clone, Debug)]
pub struct RunnerView {
    /// The name of the runner.
    pub name: Name,
    /// The state that operators have set for it.
    pub state: Admission,
    /// Whether it has reported that it is shutting down, or refused work for that reason.
    pub leaving: bool,
    /// Until when it gets no new work because of an upcoming planned change.
    pub reserved_until: Option<Instant>,
    /// Until when it gets no new work after a fault.
    pub backoff_until: Option<Instant>,
    /// The number of consecutive faults.
    pub faults: u32,
    /// How many requests it runs at once.
    pub slots: u32,
    /// The last report.
    pub report: Report,
    /// The time at which the last report was taken.
    pub reported: Option<Instant>,
    /// This node's requests at the runner.
    pub in_flight: u32,
    /// Prompt tokens of this node's requests that wait for their first token.
    pub own_backlog: u64,
    /// The load of other nodes, smoothed over [`SMOOTHING_TIME`].
    pub others: Load,
    events: VecDeque<OwnEvent>,
    hints: SmallVec<[CacheHint; 4]>,
}

/// The back-off after the first fault. It doubles with each further one.
pub const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
/// The longest back-off.
pub const MAX_BACKOFF: Duration = Duration::from_secs(15);

impl RunnerView {
    /// Creates a view of a runner that has not reported yet.
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

    /// Whether the runner may get new work at `now`.
    pub fn takes_work(&self, now: Instant) -> bool {
        let before = |until: Option<Instant>| until.is_some_and(|until| now < until);
        let is_backing_off = before(self.backoff_until) || before(self.reserved_until);
        self.state == Admission::Ready && !self.leaving && !is_backing_off
    }

    /// Applies a report taken at `at`. Returns `false` and ignores it if it is not newer than the
    /// last one, so that reordered reports cannot restore an old load.
    pub fn apply_report(&mut self, at: Instant, report: Report) -> bool {
        if self.reported.is_some_and(|last| at <= last) {
            return false;
        }
        let own = self.own_load_at(at);
        let requests = f64::from(report.running + report.waiting);
        let others = Load {
            requests: (requests - own.requests).max(0.0),
            backlog: (f64::from(report.backlog.0) - own.backlog).max(0.0),
        };
        let gain = self.reported.map_or(1.0, |last| {
            let elapsed = at.saturating_duration_since(last).as_secs_f64();
            1.0 - (-elapsed / SMOOTHING_TIME.as_secs_f64()).exp()
        });
        self.others.requests += (others.requests - self.others.requests) * gain;
        self.others.backlog += (others.backlog - self.others.backlog) * gain;
        self.report = report;
        self.reported = Some(at);
        self.leaving = report.leaving;
        true
    }

    /// Returns this node's load at the runner at `at`, by undoing the events since.
    fn own_load_at(&self, at: Instant) -> Load {
        let mut requests = i64::from(self.in_flight);
        let mut tokens = i64::try_from(self.own_backlog).unwrap_or(i64::MAX);
        for event in self.events.iter().rev().take_while(|e| e.at > at) {
            requests -= i64::from(event.requests);
            tokens -= event.tokens;
        }
        Load { requests: requests.max(0) as f64, backlog: tokens.max(0) as f64 }
    }

    fn record(&mut self, at: Instant, requests: i32, tokens: i64) {
        if self.events.len() >= MAX_OWN_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(OwnEvent { at, requests, tokens });
        self.in_flight = self.in_flight.saturating_add_signed(requests);
        self.own_backlog = self.own_backlog.saturating_add_signed(tokens);
    }

    /// Records that a request was sent.
    pub fn record_sent(&mut self, now: Instant, work: &Work) {
        self.record(now, 1, i64::from(work.prompt.0));
    }

    /// Records the first token of a request: its prompt has been processed.
    pub fn record_first_token(&mut self, now: Instant, work: &Work) {
        self.record(now, 0, -i64::from(work.prompt.0));
    }

    /// Records the end of a request without a fault, for instance when the client cancelled it.
    /// `pending` is the number of its prompt tokens if the first token had not arrived.
    pub fn record_end(&mut self, now: Instant, pending: Tokens) {
        self.record(now, -1, -i64::from(pending.0));
    }

    /// Records a successful answer.
    pub fn record_success(&mut self) {
        self.faults = 0;
        self.backoff_until = None;
    }

    /// Records a fault and starts a back-off.
    pub fn record_fault(&mut self, now: Instant) {
        let factor = 1 << self.faults.min(8);
        self.faults += 1;
        self.backoff_until = Some(now + (INITIAL_BACKOFF * factor).min(MAX_BACKOFF));
    }

    /// Records that the runner has this prefix cached.
    pub fn record_cached(&mut self, prefix: Prefix, at: Instant) {
        match self.hints.iter_mut().find(|h| h.prefix == prefix) {
            Some(hint) => hint.at = at,
            None => {
                if self.hints.len() >= MAX_CACHE_HINTS {
                    self.hints.remove(0);
                }
                self.hints.push(CacheHint { prefix, at });
            }
        }
    }

    /// Whether the runner probably still has this prefix cached.
    pub fn has_cached(&self, prefix: Prefix, now: Instant) -> bool {
        let fresh = |h: &CacheHint| now.saturating_duration_since(h.at) < CACHE_HINT_TTL;
        self.hints.iter().any(|h| h.prefix == prefix && fresh(h))
    }

    /// The age of the last report.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.reported.map(|at| now.saturating_duration_since(at))
    }
}
