//! Connections of other nodes: how many may be open, and how long one may stay silent at first.

use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use futures_util::stream::{Stream, unfold};
use tokio::net::TcpListener;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Sleep, sleep};
use tonic::transport::server::{Connected, TcpConnectInfo};

use crate::observed::{Observed, Observer};
use crate::serve::accept;

/// How long a new connection may send nothing: a node sends its preface at once. HTTP/2's own pings
/// begin only after that.
const FIRST_BYTES_TIMEOUT: Duration = Duration::from_secs(5);

/// Ends a connection that does not begin in time, and counts it as open.
pub struct Start {
    /// Until the first bytes have been received.
    timeout: Option<Pin<Box<Sleep>>>,
    _permit: Option<OwnedSemaphorePermit>,
}

/// Accepts connections, of which at most `limit` are open.
pub fn incoming(
    listener: TcpListener,
    limit: u32,
) -> impl Stream<Item = io::Result<Observed<Start>>> + Send {
    let slots = Arc::new(Semaphore::new(limit as usize));
    unfold((listener, slots), async |(listener, slots)| {
        // The semaphore is never closed.
        let permit = slots.clone().acquire_owned().await.ok();
        let (stream, _) = accept::next(&listener).await;
        let timeout = Some(Box::pin(sleep(FIRST_BYTES_TIMEOUT)));
        let connection = Observed::new(stream, Start { timeout, _permit: permit });
        Some((Ok(connection), (listener, slots)))
    })
}

impl Connected for Observed<Start> {
    type ConnectInfo = TcpConnectInfo;

    fn connect_info(&self) -> TcpConnectInfo {
        self.stream.connect_info()
    }
}

impl Observer for Start {
    fn note_read(&mut self, _bytes: usize) {
        self.timeout = None;
    }

    fn poll_silent(&mut self, context: &mut Context<'_>) -> Poll<io::Error> {
        let Some(timeout) = &mut self.timeout else { return Poll::Pending };
        ready!(timeout.as_mut().poll(context));
        Poll::Ready(io::Error::new(ErrorKind::TimedOut, "nothing received"))
    }
}
