//! Connections of other nodes: how many may be open, and how long one may stay silent at first.

use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use futures_util::stream::{Stream, unfold};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Sleep, sleep};
use tonic::transport::server::{Connected, TcpConnectInfo};

use crate::serve::accept;

/// How long a new connection may send nothing: a node sends its preface at once. HTTP/2's own pings
/// begin only after that.
const FIRST_BYTES_TIMEOUT: Duration = Duration::from_secs(5);

/// A connection of another node.
pub struct Connection {
    stream: TcpStream,
    /// Until the first bytes have been received.
    timeout: Option<Pin<Box<Sleep>>>,
    _permit: Option<OwnedSemaphorePermit>,
}

/// Accepts connections, of which at most `limit` are open.
pub fn incoming(
    listener: TcpListener,
    limit: u32,
) -> impl Stream<Item = io::Result<Connection>> + Send {
    let slots = Arc::new(Semaphore::new(limit as usize));
    unfold((listener, slots), async |(listener, slots)| {
        // The semaphore is never closed.
        let permit = slots.clone().acquire_owned().await.ok();
        let (stream, _) = accept::next(&listener).await;
        let timeout = Some(Box::pin(sleep(FIRST_BYTES_TIMEOUT)));
        let connection = Connection { stream, timeout, _permit: permit };
        Some((Ok(connection), (listener, slots)))
    })
}

impl Connected for Connection {
    type ConnectInfo = TcpConnectInfo;

    fn connect_info(&self) -> TcpConnectInfo {
        self.stream.connect_info()
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if read.is_ready() {
            self.timeout = None;
        } else if let Some(timeout) = &mut self.timeout
            && timeout.as_mut().poll(context).is_ready()
        {
            return Poll::Ready(Err(io::Error::new(ErrorKind::TimedOut, "nothing received")));
        }
        read
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
