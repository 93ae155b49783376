//! Opening connections to other processes.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::FutureExt as _;
use futures_util::future::BoxFuture;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

use crate::observed::{Observed, WriteFailure};
use crate::serve::connection::prepare;

/// A connection: bytes in both directions.
pub trait Stream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> Stream for T {}

/// Opens connections. A caller that gives up drops the future, and a stream that is dropped is
/// closed without delivering what has not been sent yet.
pub trait Dial: Send + Sync {
    /// Connects to an address.
    ///
    /// # Errors
    /// The peer refuses or resets the connection, or cannot be reached.
    fn dial(&self, address: SocketAddr) -> BoxFuture<'_, io::Result<Box<dyn Stream>>>;
}

/// Why a connection was not opened.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Failure {
    /// The peer did not answer in time.
    Timeout,
    /// No process listens at the address.
    Refused,
    /// The connection was reset.
    Reset,
    /// Another error, such as a network without a route.
    Other,
}

impl From<&io::Error> for Failure {
    fn from(error: &io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::TimedOut => Failure::Timeout,
            io::ErrorKind::ConnectionRefused => Failure::Refused,
            io::ErrorKind::ConnectionReset => Failure::Reset,
            _ => Failure::Other,
        }
    }
}

/// Opens TCP connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tcp;

impl Dial for Tcp {
    fn dial(&self, address: SocketAddr) -> BoxFuture<'_, io::Result<Box<dyn Stream>>> {
        async move {
            let stream = TcpStream::connect(address).await?;
            prepare(&stream);
            discard_unsent_on_close(&stream);
            Ok(Box::new(Observed::new(stream, WriteFailure::default())) as Box<dyn Stream>)
        }
        .boxed()
    }
}

/// Makes closing the connection discard undelivered data.
///
/// If a call is abandoned while the path to its peer is down, its bytes stay in the kernel's send
/// buffer and are delivered once the path recovers. Without this, a runner got a request six
/// seconds after its caller had disconnected, and more than two after the runner had said that it
/// leaves. Closing with a reset discards the buffer.
fn discard_unsent_on_close(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        log::debug!(error:% = error; "cannot set SO_LINGER");
    }
}
