//! A completion's way through a node: admission, choice of a runner, attempts, the stream.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::StreamExt as _;
use sardinepick_lib::admit::{AdmissionRequest, Refusal};
use sardinepick_lib::config::object::{Account, Priority, Service};
use sardinepick_lib::config::snapshot::Snapshot;
use sardinepick_lib::id::{Attempt, Name};
use sardinepick_lib::outcome::{Fault, NextStep, Request, RetryMode, Run, Verdict};
use sardinepick_lib::runner::{Prefix, Work};
use smallvec::SmallVec;
use smol_str::SmolStr;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::node::Node;
use crate::pool::{Permit, Shared, Ticket};
use crate::upstream::{Completion, Frame, Frames, Peer};

/// How many runners one request tries at the most.
pub const MOST_ATTEMPTS: u64 = 4;

/// How many frames may wait for a slow caller before the runner is held back.
const FRAMES_AHEAD: usize = 32;

/// The bytes of a prompt that are taken for one token when a cost is guessed.
const BYTES_PER_TOKEN: usize = 4;

/// A completion as a caller asks for it, checked.
#[derive(Clone, Debug)]
pub struct Wanted {
    /// The service.
    pub service: Name,
    /// The prompt.
    pub prompt: SmolStr,
    /// At most so many tokens.
    pub max_tokens: u32,
    /// The time that the caller gives, if less than the service's.
    pub deadline: Option<Duration>,
    /// The caller's name for the request, if it gave one.
    pub id: SmolStr,
}

/// Why a request has no answer.
#[derive(Clone, Debug)]
pub struct Denied {
    /// Whether it may have run.
    pub run: Run,
    /// Why.
    pub cause: Cause,
    /// When to come back.
    pub after: Duration,
}

/// The reasons for which a request has no answer.
#[derive(Clone, Debug, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// The gate refused it.
    Admission(Refusal),
    /// No runner takes work.
    NoRunner,
    /// The runners failed.
    Upstream(Fault),
    /// The time was over.
    Deadline,
    /// The node is leaving or has no configuration.
    NotServing,
    /// The service is not there.
    NoService,
    /// A claim was denied.
    Claim(SmolStr),
}

impl Cause {
    /// The cause in words.
    pub fn text(&self) -> String {
        match self {
            Cause::Admission(refusal) => match refusal.reason {
                sardinepick_lib::admit::Reason::Rate => "the account is beyond its rate".to_owned(),
                sardinepick_lib::admit::Reason::Concurrency => {
                    "the account has too many requests under way".to_owned()
                }
                sardinepick_lib::admit::Reason::Late => "the answer would come too late".to_owned(),
                sardinepick_lib::admit::Reason::Full => "the queue is full".to_owned(),
            },
            Cause::NoRunner => "no runner of the service takes work".to_owned(),
            Cause::Upstream(fault) => fault.to_string(),
            Cause::Deadline => "the time for the answer is over".to_owned(),
            Cause::NotServing => "this node takes no requests".to_owned(),
            Cause::NoService => "there is no such service".to_owned(),
            Cause::Claim(why) => why.to_string(),
        }
    }

    /// The label for metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Cause::Admission(refusal) => refusal.reason.into(),
            other => other.into(),
        }
    }
}

/// When to come back after a fault that says nothing about it.
pub const DEFAULT_AFTER: Duration = Duration::from_secs(1);

impl Denied {
    /// A refusal before anything was sent.
    pub fn not_run(cause: Cause) -> Self {
        Self { run: Run::NotRun, cause, after: DEFAULT_AFTER }
    }
}

/// A part of an answer on its way to the caller.
#[derive(Debug)]
pub enum Part {
    /// A token.
    Token(SmolStr),
    /// The whole answer has come.
    Close(SmolStr),
    /// The answer broke off and cannot be gone on with.
    Denied(Box<Denied>),
}

/// Parts of an answer. Dropping it cancels the request.
pub type Parts = mpsc::Receiver<Part>;

/// The priority and deadline of a request, by the service, its account and the policies.
pub fn terms(
    snapshot: &Snapshot,
    service: &Service,
    account: &Account,
    wanted: Option<Duration>,
) -> (Priority, Duration) {
    let mut priority = service.priority.max(account.priority);
    let mut deadline = service.deadline;
    for policy in snapshot.policies(&service.name, &account.name) {
        priority = policy.priority.unwrap_or(priority);
        deadline = policy.deadline.unwrap_or(deadline);
    }
    (priority, wanted.map_or(deadline, |w| w.min(deadline)))
}

/// Admits a completion and starts it. The parts of its answer come through the receiver, the first
/// of them at once with the result, so that a refusal can still have a status of its own.
///
/// # Errors
/// The refusal.
pub async fn start(
    node: &Arc<Node>,
    snapshot: Arc<Snapshot>,
    account: &Account,
    wanted: Wanted,
) -> Result<(Part, Parts), Denied> {
    if !node.takes_requests() {
        return Err(Denied::not_run(Cause::NotServing));
    }
    let began = node.clock.now();
    let service = snapshot.service(&wanted.service).cloned();
    let service = service.ok_or_else(|| Denied::not_run(Cause::NoService))?;
    let pool = node.pool(&service.name).ok_or_else(|| Denied::not_run(Cause::NoService))?;
    let (priority, allowed) = terms(&snapshot, &service, account, wanted.deadline);
    let prefix = Prefix::of(&wanted.prompt);
    let prompt = wanted.prompt.len().div_ceil(BYTES_PER_TOKEN);
    let prompt = u32::try_from(prompt).unwrap_or(u32::MAX);
    let work = pool.estimate_work(prompt, wanted.max_tokens, prefix);
    pool.note_arrival(&work);
    let deadline = began + allowed;
    let offer = AdmissionRequest {
        id: node.next_request(),
        account: account.name.clone(),
        priority,
        deadline,
        cost: pool.cost(&work),
    };
    let permit = pool.enter(account, offer).await.map_err(|refusal| Denied {
        run: Run::NotRun,
        cause: Cause::Admission(refusal),
        after: refusal.retry_after,
    })?;
    let model = service.model.as_ref().unwrap_or(&service.name);
    let completion = Completion {
        id: wanted.id.clone(),
        model: SmolStr::new(model.as_str()),
        prompt: wanted.prompt,
        max_tokens: u64::from(wanted.max_tokens),
        priority,
        resume_from: 0,
    };
    let mut request = Request::new(RetryMode::Resumable);
    request.admit();
    let (sender, mut parts) = mpsc::channel(FRAMES_AHEAD);
    let drive = Drive {
        node: node.clone(),
        pool,
        request,
        completion,
        work,
        began,
        deadline,
        sender,
        tried: SmallVec::new(),
        last_token: None,
    };
    tokio::spawn(drive.run(permit));
    match parts.recv().await {
        Some(Part::Denied(denied)) => Err(*denied),
        Some(first) => Ok((first, parts)),
        None => Err(Denied { run: Run::Unknown, cause: Cause::Deadline, after: DEFAULT_AFTER }),
    }
}

/// One completion under way.
struct Drive {
    node: Arc<Node>,
    pool: Shared,
    request: Request,
    completion: Completion,
    work: Work,
    began: Instant,
    deadline: Instant,
    sender: mpsc::Sender<Part>,
    tried: SmallVec<[Name; 4]>,
    last_token: Option<Instant>,
}

/// How an attempt ended.
enum End {
    Whole(SmolStr),
    CallerGone,
    Late,
    Fault { fault: Fault, leaving: bool },
}

impl Drive {
    async fn run(mut self, mut permit: Permit) {
        self.node.metrics.under_way.inc();
        let end = self.attempts().await;
        self.node.metrics.under_way.dec();
        let label = match end {
            Ok(Some(reason)) => {
                permit.note_finished();
                self.pool.note_output(self.completion.max_tokens, self.request.forwarded());
                drop(permit);
                let _ = self.sender.send(Part::Close(reason)).await;
                "answered"
            }
            Ok(None) => "caller_gone",
            Err(denied) => {
                drop(permit);
                let label = denied.cause.label();
                log::debug!(
                    request:% = self.completion.id, service:% = self.pool.service,
                    run:% = denied.run; "refused: {}", denied.cause.text()
                );
                let _ = self.sender.send(Part::Denied(Box::new(denied))).await;
                label
            }
        };
        let service = self.pool.service.as_str();
        self.node.metrics.requests.with_label_values(&[service, label]).inc();
    }

    /// Tries runners until the answer is whole. `None` means that the caller has gone.
    async fn attempts(&mut self) -> Result<Option<SmolStr>, Denied> {
        loop {
            let Some(mut ticket) = self.pool.bind(&self.work, &self.tried) else {
                let run = self.request.refuse();
                return Err(Denied { run, cause: Cause::NoRunner, after: DEFAULT_AFTER });
            };
            self.request.bind();
            self.tried.push(ticket.runner.clone());
            let (fault, leaving) = match self.attempt(&mut ticket).await {
                End::Whole(reason) => {
                    ticket.done();
                    return Ok(Some(reason));
                }
                End::CallerGone => return Ok(None),
                End::Late => {
                    let run = self.request.refuse();
                    return Err(Denied { run, cause: Cause::Deadline, after: DEFAULT_AFTER });
                }
                End::Fault { fault, leaving } => (fault, leaving),
            };
            ticket.fault(leaving);
            self.after_fault(fault, leaving)?;
        }
    }

    fn after_fault(&mut self, fault: Fault, leaving: bool) -> Result<(), Denied> {
        let in_time = self.node.clock.now() < self.deadline;
        let few = self.request.attempt() < Attempt(MOST_ATTEMPTS);
        // Going on after a runner's own planned leave is no fault of the fleet, so it costs nothing
        // of the retry budget.
        let granted = in_time && few && (leaving || self.pool.take_retry());
        log::info!(
            request:% = self.completion.id, runner:% = self.tried.last().expect("just tried"),
            attempt:% = self.request.attempt(); "attempt failed: {fault}"
        );
        let kind = match self.request.on_fault(&fault, granted) {
            NextStep::Retry => "retry",
            NextStep::Resume { from } => {
                self.completion.resume_from = from;
                "resume"
            }
            NextStep::Refuse(run) => {
                return Err(Denied { run, cause: Cause::Upstream(fault), after: DEFAULT_AFTER });
            }
        };
        self.node.metrics.retries.with_label_values(&[kind]).inc();
        Ok(())
    }

    fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(self.node.clock.now())
    }

    async fn attempt(&mut self, ticket: &mut Ticket) -> End {
        let peer = Peer { name: ticket.runner.clone(), address: ticket.address };
        let attempt = self.request.send();
        let node = self.node.clone();
        let completion = self.completion.clone();
        let sent = node.engine.complete(&peer, &completion);
        let frames = tokio::select! {
            () = self.sender.closed() => return End::CallerGone,
            sent = timeout(self.left(), sent) => match sent {
                Ok(Ok(frames)) => frames,
                Ok(Err(failure)) => {
                    return End::Fault { fault: failure.fault, leaving: failure.leaving };
                }
                Err(_) => return End::Late,
            },
        };
        self.read(ticket, &peer, attempt, frames).await
    }

    /// Passes the frames of one attempt on. The stall timeout bounds the wait for each, so that a
    /// runner that hangs is given up long before the deadline.
    async fn read(
        &mut self,
        ticket: &mut Ticket,
        peer: &Peer,
        attempt: Attempt,
        mut frames: Frames,
    ) -> End {
        let stall = self.node.settings.stall_timeout;
        let mut reason = SmolStr::default();
        loop {
            let wait = self.left().min(stall);
            let next = tokio::select! {
                () = self.sender.closed() => return End::CallerGone,
                next = timeout(wait, frames.next()) => next,
            };
            let frame = match next {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(fault))) => return End::Fault { fault, leaving: false },
                Ok(None) => return broken(peer, "ended without its closing frame"),
                Err(_) if self.left().is_zero() => return End::Late,
                Err(_) => return broken(peer, "no sign of life"),
            };
            match frame {
                Frame::Token { index, text } => match self.request.on_token(attempt, index) {
                    Verdict::Pass => {
                        ticket.note_first();
                        self.note_token();
                        if self.sender.send(Part::Token(text)).await.is_err() {
                            return End::CallerGone;
                        }
                    }
                    Verdict::Drop => self.node.metrics.dropped_frames.inc(),
                    Verdict::Gap => {
                        let detail = SmolStr::new_static("a token is missing");
                        let fault = Fault::Invalid { peer: peer.name.clone(), detail };
                        return End::Fault { fault, leaving: false };
                    }
                },
                Frame::Finish(why) => reason = why,
                Frame::Close => {
                    self.request.close(attempt);
                    return End::Whole(reason);
                }
            }
        }
    }

    fn note_token(&mut self) {
        let now = self.node.clock.now();
        let metrics = &self.node.metrics;
        metrics.tokens.inc();
        match self.last_token.replace(now) {
            Some(last) => {
                metrics.token_gap.observe(now.saturating_duration_since(last).as_secs_f64());
            }
            None => {
                let passed = now.saturating_duration_since(self.began).as_secs_f64();
                let service = self.pool.service.as_str();
                metrics.first_token.with_label_values(&[service]).observe(passed);
            }
        }
    }
}

fn broken(peer: &Peer, detail: &'static str) -> End {
    let fault = Fault::Interrupted { peer: peer.name.clone(), detail: SmolStr::new_static(detail) };
    End::Fault { fault, leaving: false }
}
