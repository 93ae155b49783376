//! Queueing of large transfers to other nodes, and sending their parts.
//!
//! Concurrent transfers over a thin link would all exceed their timeouts, so few run at once;
//! waiting nodes get keep-alives, or are referred to nodes that have just received a copy.

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sardinepick_lib::fleet::fanout::{Fanout, Response};
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;
use tonic::Status;

use crate::serve::rpc::IDLE_TIMEOUT;

/// The keep-alive interval for a waiting node: well within its idle timeout.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(200);

/// The stream of an answer's parts to the calling node.
pub type Parts<T> = mpsc::Sender<Result<T, Status>>;

/// The calling node has disconnected, or does not read.
#[derive(Debug, Error)]
#[error("the calling node does not read the answer")]
pub struct Disconnected;

/// Sends a part of an answer.
///
/// # Errors
/// The calling node has disconnected.
pub async fn send<T>(parts: &Parts<T>, part: T) -> Result<(), Disconnected> {
    match timeout(IDLE_TIMEOUT, parts.send(Ok(part))).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(_)) | Err(_) => Err(Disconnected),
    }
}

/// Waits for `future` and sends empty parts meanwhile, so that the calling node does not time out.
///
/// # Errors
/// The calling node has disconnected.
pub async fn keep_alive<T: Default, F: Future>(
    parts: &Parts<T>,
    future: F,
) -> Result<F::Output, Disconnected> {
    let mut future = pin!(future);
    loop {
        match timeout(KEEP_ALIVE_INTERVAL, &mut future).await {
            Ok(value) => return Ok(value),
            Err(_) => send(parts, T::default()).await?,
        }
    }
}

/// The result of queueing a transfer.
#[derive(Debug)]
pub enum Grant {
    /// It may run now.
    Slot(Slot),
    /// The calling node should call another one.
    Referral(SocketAddr),
}

/// The running and the waiting transfers.
#[derive(Debug, Default)]
pub struct Queue {
    fanout: Mutex<Fanout<oneshot::Sender<Grant>>>,
}

impl Queue {
    fn fanout(&self) -> MutexGuard<'_, Fanout<oneshot::Sender<Grant>>> {
        self.fanout.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The number of waiting nodes.
    pub fn waiting(&self) -> usize {
        self.fanout().waiting()
    }

    /// Waits for a slot for a transfer of `bytes` bytes.
    ///
    /// # Errors
    /// The calling node has disconnected.
    pub async fn wait<T: Default>(
        self: &Arc<Self>,
        parts: &Parts<T>,
        bytes: usize,
    ) -> Result<Grant, Disconnected> {
        let (sender, receiver) = oneshot::channel();
        if self.fanout().ask(|| sender, bytes) {
            return Ok(Grant::Slot(Slot::new(self, bytes)));
        }
        keep_alive(parts, receiver).await?.map_err(|_| Disconnected)
    }
}

/// The slot of a running transfer. Dropping it starts the next ones.
pub struct Slot {
    queue: Arc<Queue>,
    bytes: usize,
    receiver: Option<SocketAddr>,
}

impl Slot {
    fn new(queue: &Arc<Queue>, bytes: usize) -> Self {
        Self { queue: queue.clone(), bytes, receiver: None }
    }

    /// Waits until the calling node has received all parts and ends the call. From then on, others
    /// can call that node at `receiver`.
    ///
    /// # Errors
    /// The calling node does not end the call.
    pub async fn finish<T>(mut self, parts: &Parts<T>, receiver: &str) -> Result<(), Disconnected> {
        timeout(IDLE_TIMEOUT, parts.closed()).await.map_err(|_| Disconnected)?;
        self.receiver = receiver.parse().ok();
        Ok(())
    }
}

impl fmt::Debug for Slot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Slot").field("receiver", &self.receiver).finish_non_exhaustive()
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let responses = {
            let mut fanout = self.queue.fanout();
            fanout.retain(|waiter| !waiter.is_closed());
            fanout.end(self.receiver, self.bytes)
        };
        for (waiter, response) in responses {
            let grant = match response {
                Response::Send => Grant::Slot(Slot::new(&self.queue, self.bytes)),
                Response::Redirect(address) => Grant::Referral(address),
            };
            // A caller that has just disconnected drops its slot, which passes on to the next one.
            drop(waiter.send(grant));
        }
    }
}
