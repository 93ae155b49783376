//! A socket whose reads and writes are observed.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Sees the reads and writes of a socket.
pub trait Observer: Unpin {
    /// Notes that bytes have been read, or the end.
    fn note_read(&mut self, bytes: usize);

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
        if Pin::new(&mut self.stream).poll_read(context, buffer)?.is_pending() {
            return Poll::Ready(Err(ready!(self.observer.poll_silent(context))));
        }
        self.observer.note_read(buffer.filled().len() - before);
        Poll::Ready(Ok(()))
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
