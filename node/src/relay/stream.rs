//! A connection to a runner through a peer, as seen by the node that opened it.

use std::fmt;
use std::future::Future;
use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::{Buf as _, Bytes};
use sardinepick_wire::fleet::RelayPart;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::mpsc::error::{SendError, TrySendError};
use tokio::sync::mpsc::{OwnedPermit, Sender};
use tokio_stream::Stream as _;
use tonic::Streaming;

use super::CHUNK_BYTES;
use crate::holding::Hold;
use crate::serve::metrics::Metrics;

type Reserve = Pin<Box<dyn Future<Output = Result<OwnedPermit<RelayPart>, SendError<()>>> + Send>>;

/// A connection through a peer. Dropping it closes the runner's connection at once.
pub struct Stream {
    received: Streaming<RelayPart>,
    /// Received data that has not been read yet.
    unread: Bytes,
    /// Whether the runner has ended its side of the connection.
    ended: bool,
    sender: Sender<RelayPart>,
    /// The wait for room to send, if there was none.
    reserve: Option<Reserve>,
    /// What it takes of the node's memory.
    _hold: Hold,
    metrics: Metrics,
}

impl Stream {
    pub(super) fn new(
        received: Streaming<RelayPart>,
        sender: Sender<RelayPart>,
        hold: Hold,
        metrics: Metrics,
    ) -> Self {
        metrics.relayed_connections.inc();
        Self {
            received,
            unread: Bytes::new(),
            ended: false,
            sender,
            reserve: None,
            _hold: hold,
            metrics,
        }
    }

    fn poll_send(&mut self, context: &mut Context<'_>, part: RelayPart) -> Poll<io::Result<()>> {
        let part = match self.reserve {
            None => match self.sender.try_send(part) {
                Ok(()) => return Poll::Ready(Ok(())),
                Err(TrySendError::Closed(_)) => return Poll::Ready(Err(closed())),
                Err(TrySendError::Full(part)) => part,
            },
            Some(_) => part,
        };
        let sender = &self.sender;
        let reserve = self.reserve.get_or_insert_with(|| Box::pin(sender.clone().reserve_owned()));
        let permit = ready!(reserve.as_mut().poll(context));
        self.reserve = None;
        permit.map_err(|_| closed())?.send(part);
        Poll::Ready(Ok(()))
    }
}

fn closed() -> io::Error {
    io::Error::new(ErrorKind::BrokenPipe, "the peer forwards no more data to the runner")
}

impl Drop for Stream {
    fn drop(&mut self) {
        self.metrics.relayed_connections.dec();
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        while self.unread.is_empty() && !self.ended {
            let part = match ready!(Pin::new(&mut self.received).poll_next(context)) {
                Some(Ok(part)) => part,
                Some(Err(status)) => {
                    return Poll::Ready(Err(io::Error::new(ErrorKind::ConnectionReset, status)));
                }
                None => {
                    let detail = "the peer stopped forwarding before the runner's end of stream";
                    return Poll::Ready(Err(io::Error::new(ErrorKind::ConnectionAborted, detail)));
                }
            };
            (self.unread, self.ended) = (part.data, part.end);
        }
        let length = self.unread.len().min(buffer.remaining());
        buffer.put_slice(&self.unread[..length]);
        self.unread.advance(length);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        let length = data.len().min(CHUNK_BYTES);
        let data = Bytes::copy_from_slice(&data[..length]);
        let part = RelayPart { data, ..RelayPart::default() };
        self.poll_send(context, part).map_ok(|()| length)
    }

    /// Written data is sent without delay.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let part = RelayPart { end: true, ..RelayPart::default() };
        self.poll_send(context, part)
    }
}

impl fmt::Debug for Stream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let unread = self.unread.len();
        f.debug_struct("Stream").field("unread", &unread).finish_non_exhaustive()
    }
}
