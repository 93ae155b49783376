//! The handling of a completion in a node: admission, choice of a runner, attempts and streaming.

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
use crate::pool::{Permit, RunnerAttempt, SharedPool};
use crate::upstream::{Completion, Frame, Frames, Peer};

/// The maximum number of attempts for one request.
pub const MAX_ATTEMPTS: u64 = 4;

/// How many frames are buffered for a slow client before backpressure reaches the runner.
const MAX_BUFFERED_FRAMES: usize = 32;

/// The estimated size of a token in a prompt, for the cost estimate.
const BYTES_PER_TOKEN: usize = 4;

/// A validated completion request.
#[derive(Clone, Debug)]
pub struct CompletionRequest {
    /// The service.
    pub service: Name,
    /// The prompt.
    pub prompt: SmolStr,
    /// The maximum number of tokens.
    pub max_tokens: u32,
    /// The client's deadline; the service's applies if it is shorter.
    pub deadline: Option<Duration>,
    /// The request ID.
    pub id: SmolStr,
}

/// An error that ends a request.
#[derive(Clone, Debug)]
pub struct RequestError {
    /// Whether it may have run.
    pub run: Run,
    /// The cause.
    pub cause: Cause,
    /// The delay before a retry.
    pub retry_after: Duration,
}

/// Why a request failed.
#[derive(Clone, Debug, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// The admission queue refused it.
    Admission(Refusal),
    /// No runner accepts work.
    NoRunner,
    /// The runners failed.
    Upstream(Fault),
    /// The deadline passed.
    Deadline,
    /// The node is leaving or has no configuration.
    NotServing,
    /// The service does not exist.
    NoService,
    /// Its key could not be claimed.
    Claim(SmolStr),
}

impl Cause {
    /// Returns the message for the client.
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
            Cause::Claim(reason) => reason.to_string(),
        }
    }

    /// Returns the label for metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Cause::Admission(refusal) => refusal.reason.into(),
            other => other.into(),
        }
    }
}

/// The retry delay for errors that specify none.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

impl RequestError {
    /// Creates an error for a request that was not sent to any runner.
    pub fn not_run(cause: Cause) -> Self {
        Self { run: Run::NotRun, cause, retry_after: DEFAULT_RETRY_AFTER }
    }
}

/// A part of a response.
#[derive(Debug)]
pub enum ResponsePart {
    /// A token.
    Token(SmolStr),
    /// The response is complete.
    Close(SmolStr),
    /// The response was interrupted and cannot be resumed.
    Failed(Box<RequestError>),
}

/// Receives the parts of a response. Dropping it cancels the request.
pub type PartReceiver = mpsc::Receiver<ResponsePart>;

/// Returns the priority and deadline of a request from its service, account, policies and the
/// client's deadline.
pub fn priority_and_deadline(
    snapshot: &Snapshot,
    service: &Service,
    account: &Account,
    requested: Option<Duration>,
) -> (Priority, Duration) {
    let mut priority = service.priority.max(account.priority);
    let mut deadline = service.deadline;
    for policy in snapshot.policies(&service.name, &account.name) {
        priority = policy.priority.unwrap_or(priority);
        deadline = policy.deadline.unwrap_or(deadline);
    }
    (priority, requested.map_or(deadline, |r| r.min(deadline)))
}

/// Admits and starts a completion. Returns the first part of the response and a receiver for the
/// rest: until the first part has arrived, an error can still be reported with its own HTTP status.
///
/// # Errors
/// The request was refused or failed before the first part of the response.
pub async fn start(
    node: &Arc<Node>,
    snapshot: Arc<Snapshot>,
    account: &Account,
    requested: CompletionRequest,
) -> Result<(ResponsePart, PartReceiver), RequestError> {
    if !node.accepts_requests() {
        return Err(RequestError::not_run(Cause::NotServing));
    }
    let started_at = node.clock.now();
    let service = snapshot.service(&requested.service).cloned();
    let service = service.ok_or_else(|| RequestError::not_run(Cause::NoService))?;
    let pool = node.pool(&service.name).ok_or_else(|| RequestError::not_run(Cause::NoService))?;
    let (priority, timeout) =
        priority_and_deadline(&snapshot, &service, account, requested.deadline);
    let prefix = Prefix::of(&requested.prompt);
    let prompt = requested.prompt.len().div_ceil(BYTES_PER_TOKEN);
    let prompt = u32::try_from(prompt).unwrap_or(u32::MAX);
    let work = pool.estimate_work(prompt, requested.max_tokens, prefix);
    pool.record_arrival(&work);
    let deadline = started_at + timeout;
    let admission = AdmissionRequest {
        id: node.next_request_id(),
        account: account.name.clone(),
        priority,
        deadline,
        cost: pool.cost(&work),
    };
    let permit = pool.admit(account, admission).await.map_err(|refusal| RequestError {
        run: Run::NotRun,
        cause: Cause::Admission(refusal),
        retry_after: refusal.retry_after,
    })?;
    let model = service.model.as_ref().unwrap_or(&service.name);
    let completion = Completion {
        id: requested.id.clone(),
        model: SmolStr::new(model.as_str()),
        prompt: requested.prompt,
        max_tokens: u64::from(requested.max_tokens),
        priority,
        resume_from: 0,
    };
    let mut request = Request::new(RetryMode::Resumable);
    request.admit();
    let (sender, mut parts) = mpsc::channel(MAX_BUFFERED_FRAMES);
    let task = CompletionTask {
        node: node.clone(),
        pool,
        request,
        completion,
        work,
        started_at,
        deadline,
        sender,
        tried: SmallVec::new(),
        last_token: None,
    };
    tokio::spawn(task.run(permit));
    match parts.recv().await {
        Some(ResponsePart::Failed(error)) => Err(*error),
        Some(first) => Ok((first, parts)),
        None => Err(RequestError {
            run: Run::Unknown,
            cause: Cause::Deadline,
            retry_after: DEFAULT_RETRY_AFTER,
        }),
    }
}

/// A completion in progress.
struct CompletionTask {
    node: Arc<Node>,
    pool: SharedPool,
    request: Request,
    completion: Completion,
    work: Work,
    started_at: Instant,
    deadline: Instant,
    sender: mpsc::Sender<ResponsePart>,
    tried: SmallVec<[Name; 4]>,
    last_token: Option<Instant>,
}

/// The outcome of an attempt.
enum AttemptEnd {
    Complete(SmolStr),
    ClientGone,
    DeadlinePassed,
    Fault { fault: Fault, leaving: bool },
}

impl CompletionTask {
    async fn run(mut self, mut permit: Permit) {
        self.node.metrics.under_way.inc();
        let result = self.try_runners().await;
        self.node.metrics.under_way.dec();
        let label = match result {
            Ok(Some(reason)) => {
                permit.record_finished();
                self.pool.record_output(self.completion.max_tokens, self.request.forwarded());
                drop(permit);
                let _ = self.sender.send(ResponsePart::Close(reason)).await;
                "answered"
            }
            Ok(None) => "caller_gone",
            Err(error) => {
                drop(permit);
                let label = error.cause.label();
                log::debug!(
                    request:% = self.completion.id, service:% = self.pool.service,
                    run:% = error.run; "refused: {}", error.cause.text()
                );
                let _ = self.sender.send(ResponsePart::Failed(Box::new(error))).await;
                label
            }
        };
        let service = self.pool.service.as_str();
        self.node.metrics.requests.with_label_values(&[service, label]).inc();
    }

    /// Tries runners until the response is complete. Returns `None` if the client disconnected.
    async fn try_runners(&mut self) -> Result<Option<SmolStr>, RequestError> {
        loop {
            let Some(mut runner_attempt) = self.pool.choose_runner(&self.work, &self.tried) else {
                let run = self.request.refuse();
                return Err(RequestError {
                    run,
                    cause: Cause::NoRunner,
                    retry_after: DEFAULT_RETRY_AFTER,
                });
            };
            self.request.bind();
            self.tried.push(runner_attempt.runner.clone());
            let (fault, leaving) = match self.attempt(&mut runner_attempt).await {
                AttemptEnd::Complete(reason) => {
                    runner_attempt.succeed();
                    return Ok(Some(reason));
                }
                AttemptEnd::ClientGone => return Ok(None),
                AttemptEnd::DeadlinePassed => {
                    let run = self.request.refuse();
                    return Err(RequestError {
                        run,
                        cause: Cause::Deadline,
                        retry_after: DEFAULT_RETRY_AFTER,
                    });
                }
                AttemptEnd::Fault { fault, leaving } => (fault, leaving),
            };
            runner_attempt.fail(leaving);
            self.handle_fault(fault, leaving)?;
        }
    }

    fn handle_fault(&mut self, fault: Fault, leaving: bool) -> Result<(), RequestError> {
        let in_time = self.node.clock.now() < self.deadline;
        let attempts_left = self.request.attempt() < Attempt(MAX_ATTEMPTS);
        // A retry because a runner is leaving as planned is not counted against the retry budget.
        let may_retry = in_time && attempts_left && (leaving || self.pool.take_retry());
        log::info!(
            request:% = self.completion.id,
            runner:% = self.tried.last().expect("a runner has been tried"),
            attempt:% = self.request.attempt(); "attempt failed: {fault}"
        );
        let kind = match self.request.on_fault(&fault, may_retry) {
            NextStep::Retry => "retry",
            NextStep::Resume { from } => {
                self.completion.resume_from = from;
                "resume"
            }
            NextStep::Refuse(run) => {
                return Err(RequestError {
                    run,
                    cause: Cause::Upstream(fault),
                    retry_after: DEFAULT_RETRY_AFTER,
                });
            }
        };
        self.node.metrics.retries.with_label_values(&[kind]).inc();
        Ok(())
    }

    fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(self.node.clock.now())
    }

    async fn attempt(&mut self, runner_attempt: &mut RunnerAttempt) -> AttemptEnd {
        let peer = Peer { name: runner_attempt.runner.clone(), address: runner_attempt.address };
        let attempt = self.request.send();
        let node = self.node.clone();
        let completion = self.completion.clone();
        let sent = node.engine.complete(&peer, &completion);
        let frames = tokio::select! {
            () = self.sender.closed() => return AttemptEnd::ClientGone,
            sent = timeout(self.remaining(), sent) => match sent {
                Ok(Ok(frames)) => frames,
                Ok(Err(failure)) => {
                    return AttemptEnd::Fault { fault: failure.fault, leaving: failure.leaving };
                }
                Err(_) => return AttemptEnd::DeadlinePassed,
            },
        };
        self.forward_frames(runner_attempt, &peer, attempt, frames).await
    }

    /// Forwards the frames of one attempt. The stall timeout limits the wait for each frame, so
    /// that a hanging runner is abandoned long before the deadline.
    async fn forward_frames(
        &mut self,
        runner_attempt: &mut RunnerAttempt,
        peer: &Peer,
        attempt: Attempt,
        mut frames: Frames,
    ) -> AttemptEnd {
        let stall_timeout = self.node.settings.stall_timeout;
        let mut reason = SmolStr::default();
        loop {
            let wait = self.remaining().min(stall_timeout);
            let next = tokio::select! {
                () = self.sender.closed() => return AttemptEnd::ClientGone,
                next = timeout(wait, frames.next()) => next,
            };
            let frame = match next {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(fault))) => return AttemptEnd::Fault { fault, leaving: false },
                Ok(None) => return interrupted(peer, "ended without its closing frame"),
                Err(_) if self.remaining().is_zero() => return AttemptEnd::DeadlinePassed,
                Err(_) => return interrupted(peer, "no sign of life"),
            };
            match frame {
                Frame::Token { index, text } => match self.request.on_token(attempt, index) {
                    Verdict::Pass => {
                        runner_attempt.record_first_token();
                        self.record_token();
                        if self.sender.send(ResponsePart::Token(text)).await.is_err() {
                            return AttemptEnd::ClientGone;
                        }
                    }
                    Verdict::Drop => self.node.metrics.dropped_frames.inc(),
                    Verdict::Gap => {
                        let detail = SmolStr::new_static("a token is missing");
                        let fault = Fault::Invalid { peer: peer.name.clone(), detail };
                        return AttemptEnd::Fault { fault, leaving: false };
                    }
                },
                Frame::Finish(finish_reason) => reason = finish_reason,
                Frame::Close => {
                    self.request.close(attempt);
                    return AttemptEnd::Complete(reason);
                }
            }
        }
    }

    fn record_token(&mut self) {
        let now = self.node.clock.now();
        let metrics = &self.node.metrics;
        metrics.tokens.inc();
        match self.last_token.replace(now) {
            Some(last) => {
                metrics.token_gap.observe(now.saturating_duration_since(last).as_secs_f64());
            }
            None => {
                let elapsed = now.saturating_duration_since(self.started_at).as_secs_f64();
                let service = self.pool.service.as_str();
                metrics.first_token.with_label_values(&[service]).observe(elapsed);
            }
        }
    }
}

fn interrupted(peer: &Peer, detail: &'static str) -> AttemptEnd {
    let fault = Fault::Interrupted { peer: peer.name.clone(), detail: SmolStr::new_static(detail) };
    AttemptEnd::Fault { fault, leaving: false }
}
