//! A socket whose reads and writes are observed.

use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Sees the reads and writes of a socket.
pub trait Observer: Unpin {
    /// Notes that bytes have been read, or the end.
    fn note_read(&mut self, _bytes: usize) {}

    /// Decides on the end of what the peer sends: to pass it on, or to fail.
    ///
    /// # Errors
    /// The end is not one that the peer has sent.
    fn check_end(&mut self) -> io::Result<()> {
        Ok(())
    }

    /// Decides on a read for which no bytes have arrived: to wait, or to fail.
    fn poll_silent(&mut self, _context: &mut Context<'_>) -> Poll<io::Error> {
        Poll::Pending
    }

    /// Notes the result of a write.
    fn note_write(&mut self, _written: &Poll<io::Result<usize>>) {}
}

/// An observed socket.
#[derive(Debug)]
pub struct Observed<O> {
    /// The socket.
    pub stream: TcpStream,
    observer: O,
}

impl<O> Observed<O> {
    /// Wraps a socket.
    pub fn new(stream: TcpStream, observer: O) -> Self {
        Self { stream, observer }
    }
}

impl<O: Observer> AsyncRead for Observed<O> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let has_room = buffer.remaining() > 0;
        if Pin::new(&mut self.stream).poll_read(context, buffer)?.is_pending() {
            return Poll::Ready(Err(ready!(self.observer.poll_silent(context))));
        }
        let bytes = buffer.filled().len() - before;
        self.observer.note_read(bytes);
        if bytes == 0 && has_room {
            Poll::Ready(self.observer.check_end())
        } else {
            Poll::Ready(Ok(()))
        }
    }
}

impl<O: Observer> AsyncWrite for Observed<O> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.observer.note_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.observer.note_write(&written);
        written
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

/// Remembers that a write has failed. The kernel reports a reset once; if a write gets the report,
/// reads see an end as if the peer had sent it.
#[derive(Debug, Default)]
pub struct WriteFailure(Option<ErrorKind>);

impl Observer for WriteFailure {
    fn check_end(&mut self) -> io::Result<()> {
        self.0.map_or(Ok(()), |kind| Err(kind.into()))
    }

    fn note_write(&mut self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Err(error)) = written {
            self.0 = Some(error.kind());
        }
    }
}
