//! Having a prompt read at a prefill runner.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use sardinepick_lib::fleet::cache::Progress;
use sardinepick_lib::fleet::health::Outcome;
use sardinepick_lib::fleet::patience;
use sardinepick_lib::fleet::place::Placement;
use sardinepick_lib::fleet::register::{Reading, Share};
use sardinepick_lib::fleet::runner::Tag;
use sardinepick_lib::id::RunnerId;
use sardinepick_platform::answer::{Verdict, classify};
use sardinepick_platform::error::FormatError;
use sardinepick_platform::runner::{self, CallKind, KvHandle, read_handle as decode_handle};
use thiserror::Error;
use tokio::time::timeout;

use super::{LARGEST, Stop, Way, millis};
use crate::serve::connection::CONNECT_LIMIT;
use crate::serve::connection::{Answer, Incomplete, SendError};
use crate::serve::shared::Shared;
use crate::serve::ticket::{Step, Ticket};

/// Why a prompt was not read.
#[derive(Debug, Error)]
enum ReadError {
    /// There is no answer.
    #[error(transparent)]
    Send(#[from] SendError),
    /// The answer broke off.
    #[error(transparent)]
    Incomplete(#[from] Incomplete),
    /// The answer says something else.
    #[error(transparent)]
    Format(#[from] FormatError),
    /// The runner says so.
    #[error("status {0}")]
    Status(StatusCode),
    /// The answer is to another request.
    #[error("the answer is another's")]
    Foreign,
    /// Nothing came for so long.
    #[error("no answer within {0:?}")]
    Silent(Duration),
}

impl ReadError {
    /// Whether the runner was not tried, since its rate limit leaves no room.
    fn is_denied(&self) -> bool {
        matches!(self, ReadError::Send(error) if error.is_denied())
    }

    /// Whether a call that had been sent broke off.
    fn is_broken(&self) -> bool {
        match self {
            ReadError::Send(error) => !error.proves_unsent(),
            ReadError::Incomplete(_) => true,
            ReadError::Format(_)
            | ReadError::Status(_)
            | ReadError::Foreign
            | ReadError::Silent(_) => false,
        }
    }
}

impl Way {
    /// Has the prompt read at a prefill runner. None if it was not.
    pub(super) async fn read_at(
        &mut self,
        id: &RunnerId,
        share: Share,
        placement: &Placement,
    ) -> Result<Option<KvHandle>, Stop> {
        self.pay()?;
        let left = self.request.left(self.shared.clock.now());
        let mut ticket = Ticket::new(&self.shared, id, Step::Read, share);
        self.calls += 1;
        let Some(address) = self.address(id) else { return Ok(None) };
        let fetch = placement.fetch.as_ref().and_then(|source| self.address(source));
        let outgoing = self.outgoing(id, CallKind::Prefill, share.class, left, fetch);
        let limit = patience::reading(share.class, placement.read, left);
        self.note_cached(&ticket, Progress::Begun);
        let request_id = self.request.id.clone();
        let reading = async {
            let target = ticket.target(address);
            let sent = self.shared.dispatcher.send(target, &request_id, outgoing);
            let answer = sent.await?;
            read_handle(id, &request_id, address, answer).await
        };
        let result = tokio::select! {
            () = self.caller.left() => {
                ticket.learn_in_vain(placement, placement.read);
                return Err(Stop::CallerLeft);
            }
            result = timeout(limit, reading) => result,
        };
        let result = result.unwrap_or(Err(ReadError::Silent(limit)));
        match result {
            Ok(handle) => {
                self.arrivals += u32::from(self.has_read);
                self.has_read = true;
                ticket.conclude(Outcome::Answered);
                log::info!(
                    request:% = self.request.id, runner:% = id, fresh = placement.fresh,
                    predicted_ms = millis(placement.read),
                    held_ms = ticket.held().as_millis() as u64; "prompt read"
                );
                let held = ticket.held().as_secs_f64();
                ticket.learn(placement.lesson(placement.read, held));
                self.note_cached(&ticket, Progress::Read);
                Ok(Some(handle))
            }
            Err(error) => {
                if !error.is_denied() {
                    self.arrivals += 1;
                    ticket.conclude(Outcome::Broken);
                }
                log::info!(
                    request:% = self.request.id, runner:% = id, error:% = error,
                    held_ms = ticket.held().as_millis() as u64; "prompt not read"
                );
                if error.is_broken() {
                    self.note_broken(&ticket, false).await;
                }
                Ok(None)
            }
        }
    }

    /// Notes how far a runner is with the prompt, and tells the runner's scheduler of its parts.
    pub(super) fn note_cached(&self, ticket: &Ticket, progress: Progress) {
        let Some(stay) = ticket.stay() else { return };
        let now = self.shared.clock.now();
        ticket.with_runner(|runner| {
            if let Some(engine) = self.request.engine {
                runner.cache.set_memory(engine.memory);
            }
            runner.cache.note(&self.work.chain, progress, now);
        });
        // That it has begun the scheduler knows, which has placed it.
        if progress == Progress::Read {
            let tag = Tag::of(&stay.id, stay.born);
            let parts = self.work.chain.0.iter();
            let readings = parts.map(|part| Reading { runner: tag, part: *part, progress });
            self.shared.scheduling.note_readings(readings);
        }
    }
}

/// Reads the answer of a runner that was to read a prompt.
async fn read_handle(
    runner: &RunnerId,
    request: &str,
    address: SocketAddr,
    answer: Answer,
) -> Result<KvHandle, ReadError> {
    let status = answer.head.status;
    let verdict = classify(status, &answer.head.headers, runner, request);
    if verdict == Verdict::Mismatched && status.is_success() {
        return Err(ReadError::Foreign);
    }
    let (_, body) = answer.read(LARGEST).await?;
    if !status.is_success() {
        return Err(ReadError::Status(status));
    }
    Ok(decode_handle(address, &body)?)
}

/// A KV cache that nobody has taken yet. It is freed when it is dropped, so that it does not hold a
/// runner's memory until it lapses.
pub(super) struct SpareHandle {
    shared: Arc<Shared>,
    runner: RunnerId,
    handle: Option<KvHandle>,
}

impl SpareHandle {
    pub(super) fn new(shared: &Arc<Shared>, runner: &RunnerId, handle: KvHandle) -> Self {
        Self { shared: shared.clone(), runner: runner.clone(), handle: Some(handle) }
    }

    pub(super) fn take(&mut self) {
        self.handle = None;
    }
}

impl Drop for SpareHandle {
    fn drop(&mut self) {
        let Some(handle) = self.handle.take() else { return };
        let (shared, runner) = (self.shared.clone(), self.runner.clone());
        tokio::spawn(async move {
            let request = runner::release_handle(&handle, &runner);
            match shared.connections.send(handle.holder, request, CONNECT_LIMIT).await {
                Ok(answer) => answer.discard(LARGEST).await,
                Err(error) => {
                    log::info!(runner:% = runner, error:% = error; "freeing a KV cache");
                }
            }
        });
    }
}
