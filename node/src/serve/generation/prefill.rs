//! Processing a prompt on a prefill runner, which yields a handle to its KV cache.

use std::net::SocketAddr;
use std::sync::Arc;

use http::StatusCode;
use sardinepick_lib::fleet::cache::Progress;
use sardinepick_lib::fleet::health::Outcome;
use sardinepick_lib::fleet::register::{PrefillReport, WorkCost};
use sardinepick_lib::fleet::runner::Tag;
use sardinepick_lib::id::RunnerId;
use sardinepick_platform::answer::{Verdict, classify};
use sardinepick_platform::error::FormatError;
use sardinepick_platform::runner::{self, CallKind, KvHandle, read_handle as decode_handle};
use thiserror::Error;

use super::attempt::{Failure, Placed};
use super::attempts::Arrival;
use super::{Generation, MAX_ANSWER_BYTES, millis};
use crate::serve::connection::{Answer, Incomplete, SendError};
use crate::serve::quarantine;
use crate::serve::reservation::{Reservation, Step};
use crate::serve::shared::Shared;

/// Why prefill failed.
#[derive(Debug, Error)]
enum PrefillError {
    /// The request could not be sent, or got no response.
    #[error(transparent)]
    Send(#[from] SendError),
    /// The response broke off.
    #[error(transparent)]
    Incomplete(#[from] Incomplete),
    /// The response is malformed.
    #[error(transparent)]
    Format(#[from] FormatError),
    /// The runner returned an error status.
    #[error("status {0}")]
    Status(StatusCode),
    /// The response belongs to another request.
    #[error("the response belongs to another request")]
    Mismatched,
}

impl PrefillError {
    /// Whether the runner has certainly not received the request.
    fn proves_unsent(&self) -> bool {
        matches!(self, PrefillError::Send(error) if error.proves_unsent())
    }

    /// Whether the connection failed after the request may have been sent.
    fn is_broken(&self) -> bool {
        match self {
            PrefillError::Send(error) => !error.proves_unsent(),
            PrefillError::Incomplete(_) => true,
            PrefillError::Format(_) | PrefillError::Status(_) | PrefillError::Mismatched => false,
        }
    }
}

impl Generation {
    /// Processes the prompt on a prefill runner; `None` if that failed.
    pub(super) async fn prefill_on(
        &self,
        id: &RunnerId,
        placed: &mut Placed,
    ) -> Result<Option<KvHandle>, Failure> {
        self.check_not_quarantined(placed).await?;
        let is_trial = placed.trial.is_some();
        let Placed { placement, class, payment, superseded, .. } = placed;
        let cost = WorkCost {
            class: *class,
            prefill_tokens: placement.prefill_tokens,
            footprint: self.work.prompt,
        };
        let mut reservation =
            Reservation::new(&self.shared, id, Step::Prefill, cost).part_of(superseded);
        self.attempts().calls += 1;
        let Some(address) = self.address(id) else { return Ok(None) };
        let fetch = placement.fetch.as_ref().and_then(|source| self.address(source));
        let request = self.runner_request(id, CallKind::Prefill, cost.class, fetch);
        self.note_cached(&reservation, Progress::Started);
        reservation.expect(placement, placement.prefill_end);
        reservation.meter_prefill(self.meter.prefill(placement.prefill_start));
        let is_first = {
            let mut attempts = self.attempts();
            attempts.prefills += 1;
            attempts.prefills == 1
        };
        quarantine::note_call(&self.shared, &self.request, id, "prefill");
        if let Some(trial) = &mut placed.trial {
            trial.note_sent();
        }
        let arrival = Arrival::of_prefill(self, payment);
        let request_id = &self.request.id;
        let prefill = async {
            let target = reservation.target(address);
            let sent = self.shared.dispatcher.send(target, request_id, request);
            let answer = sent.await?;
            receive_handle(id, request_id, address, answer).await
        };
        match prefill.await {
            Ok(handle) => {
                if is_first {
                    arrival.waive();
                    // The rest was reserved in case the runner rejects the prefill.
                    payment.keep(1);
                }
                reservation.conclude(Outcome::Answered);
                log::info!(
                    request:% = self.request.id, runner:% = id, fresh = placement.prefill_tokens,
                    predicted_ms = millis(placement.prefill_end),
                    held_ms = reservation.held().as_millis() as u64; "prompt read"
                );
                reservation.learn_expected();
                self.note_cached(&reservation, Progress::Prefilled);
                Ok(Some(handle))
            }
            Err(error) => {
                if error.proves_unsent() {
                    if let Some(trial) = &mut placed.trial {
                        trial.note_not_run();
                    }
                    self.attempts().prefills -= 1;
                    arrival.waive();
                }
                match &error {
                    PrefillError::Send(error) => {
                        reservation.conclude_unanswered(error);
                        self.attempts().has_waited |= error.is_connect_timeout();
                    }
                    PrefillError::Incomplete(_)
                    | PrefillError::Format(_)
                    | PrefillError::Status(_)
                    | PrefillError::Mismatched => reservation.conclude(Outcome::Broken),
                }
                log::info!(
                    request:% = self.request.id, runner:% = id, error:% = error,
                    held_ms = reservation.held().as_millis() as u64; "prompt not read"
                );
                if error.is_broken() {
                    let progress = self.progress(false);
                    self.note_broken(&reservation, progress, 0, is_trial).await;
                }
                Ok(None)
            }
        }
    }

    /// Records the runner's progress on the prompt, and reports cached parts to the runner's
    /// scheduler.
    pub(super) fn note_cached(&self, reservation: &Reservation, progress: Progress) {
        let Some(registration) = reservation.registration() else { return };
        let now = self.shared.clock.now();
        reservation.with_runner(|runner| {
            if let Some(engine) = self.request.engine {
                runner.cache.set_memory(engine.memory);
            }
            runner.cache.note(&self.work.chain, progress, now);
        });
        // The scheduler placed the request, so it already knows that prefill has begun.
        if progress == Progress::Prefilled {
            let tag = Tag::of(&registration.id, registration.born);
            let parts = self.work.chain.0.iter();
            let reports = parts.map(|part| PrefillReport { runner: tag, part: *part, progress });
            self.shared.scheduling.note_prefill_reports(reports);
        }
    }
}

/// Checks and decodes the response of a prefill runner.
async fn receive_handle(
    runner: &RunnerId,
    request: &str,
    address: SocketAddr,
    answer: Answer,
) -> Result<KvHandle, PrefillError> {
    let status = answer.head.status;
    let verdict = classify(status, &answer.head.headers, runner, request);
    if verdict == Verdict::Mismatched {
        return Err(PrefillError::Mismatched);
    }
    if !status.is_success() {
        answer.discard();
        return Err(PrefillError::Status(status));
    }
    let (_, body) = answer.read(MAX_ANSWER_BYTES).await?;
    Ok(decode_handle(address, &body)?)
}

/// Owns a KV cache that no decode runner has taken over. Dropping the guard frees the cache, so
/// that it does not occupy the runner's memory until it expires.
pub(super) struct KvHandleGuard {
    shared: Arc<Shared>,
    runner: RunnerId,
    handle: Option<KvHandle>,
}

impl KvHandleGuard {
    pub(super) fn new(shared: &Arc<Shared>, runner: &RunnerId, handle: KvHandle) -> Self {
        Self { shared: shared.clone(), runner: runner.clone(), handle: Some(handle) }
    }

    /// The runner that has the cache.
    pub(super) fn runner(&self) -> &RunnerId {
        &self.runner
    }

    /// Leaves the cache to a decode runner, which may have taken it over.
    pub(super) fn disarm(&mut self) -> Option<KvHandle> {
        self.handle.take()
    }

    /// Owns the cache again, which no runner has taken over.
    pub(super) fn rearm(&mut self, handle: Option<KvHandle>) {
        self.handle = handle;
    }
}

impl Drop for KvHandleGuard {
    fn drop(&mut self) {
        let Some(handle) = self.handle.take() else { return };
        let (shared, runner) = (self.shared.clone(), self.runner.clone());
        tokio::spawn(async move {
            let request = runner::release_handle(&handle, &runner);
            match shared.connector.send(&runner, handle.holder, request, None, || true).await {
                Ok(answer) => answer.discard(),
                Err(error) => {
                    log::info!(runner:% = runner, error:% = error; "failed to free KV cache");
                }
            }
        });
    }
}
