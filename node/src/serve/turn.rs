//! The giving side of what nodes ask each other for: who gets it when, and its parts on their way.

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sardinepick_lib::fleet::fanout::{Fanout, Turn};
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;
use tonic::Status;

use crate::serve::rpc::SILENCE;

/// How often a node that waits for its turn is told that it does: well within the silence after which
/// it gives up.
const SIGN: Duration = Duration::from_millis(200);

/// The way of an answer's parts to the asking node.
pub type Parts<T> = mpsc::Sender<Result<T, Status>>;

/// The asking node is gone, or takes nothing.
#[derive(Debug, Error)]
#[error("the asking node does not take the answer")]
pub struct NotTaken;

/// Sends a part of an answer.
///
/// # Errors
/// The asking node does not take it.
pub async fn put<T>(parts: &Parts<T>, part: T) -> Result<(), NotTaken> {
    match timeout(SILENCE, parts.send(Ok(part))).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(_)) | Err(_) => Err(NotTaken),
    }
}

/// Waits for `future` while the asking node is told, by parts that say nothing, that it waits.
///
/// # Errors
/// The asking node waits no more.
pub async fn signalling<T: Default, F: Future>(
    parts: &Parts<T>,
    future: F,
) -> Result<F::Output, NotTaken> {
    let mut future = pin!(future);
    loop {
        match timeout(SIGN, &mut future).await {
            Ok(value) => return Ok(value),
            Err(_) => put(parts, T::default()).await?,
        }
    }
}

/// What a node that waits is told.
#[derive(Debug)]
pub enum Answer {
    /// It is given what it asks for now.
    Given(Place),
    /// It should ask another node.
    Elsewhere(SocketAddr),
}

/// Who is given something large now, and who waits for it.
#[derive(Debug, Default)]
pub struct Turns {
    fanout: Mutex<Fanout<oneshot::Sender<Answer>>>,
}

impl Turns {
    fn fanout(&self) -> MutexGuard<'_, Fanout<oneshot::Sender<Answer>>> {
        self.fanout.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How many nodes wait.
    pub fn waiting(&self) -> usize {
        self.fanout().waiting()
    }

    /// Waits until it is the turn of a node that asks for `bytes` bytes.
    ///
    /// # Errors
    /// It waits no more.
    pub async fn wait<T: Default>(
        self: &Arc<Self>,
        parts: &Parts<T>,
        bytes: usize,
    ) -> Result<Answer, NotTaken> {
        let (sender, receiver) = oneshot::channel();
        if self.fanout().ask(|| sender, bytes) {
            return Ok(Answer::Given(Place::new(self, bytes)));
        }
        signalling(parts, receiver).await?.map_err(|_| NotTaken)
    }
}

/// The right to give something now. Dropping it lets the next ones have their turns.
pub struct Place {
    turns: Arc<Turns>,
    bytes: usize,
    receiver: Option<SocketAddr>,
}

impl Place {
    fn new(turns: &Arc<Turns>, bytes: usize) -> Self {
        Self { turns: turns.clone(), bytes, receiver: None }
    }

    /// Waits until the asking node, which ends the call when it has all, has it. `receiver` is where
    /// others can ask that node from then on.
    ///
    /// # Errors
    /// The asking node does not end the call.
    pub async fn finish<T>(mut self, parts: &Parts<T>, receiver: &str) -> Result<(), NotTaken> {
        timeout(SILENCE, parts.closed()).await.map_err(|_| NotTaken)?;
        self.receiver = receiver.parse().ok();
        Ok(())
    }
}

impl fmt::Debug for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Place").field("receiver", &self.receiver).finish_non_exhaustive()
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let turns = {
            let mut fanout = self.turns.fanout();
            fanout.retain(|waiter| !waiter.is_closed());
            fanout.end(self.receiver, self.bytes)
        };
        for (waiter, turn) in turns {
            let answer = match turn {
                Turn::Given => Answer::Given(Place::new(&self.turns, self.bytes)),
                Turn::Elsewhere(address) => Answer::Elsewhere(address),
            };
            // One that has given up in this instant drops its place, which the next one gets.
            drop(waiter.send(answer));
        }
    }
}
