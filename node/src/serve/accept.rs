//! Accepting connections, and closing a listener without resetting those that wait to be accepted.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// The pause after a failed `accept`: without free file descriptors, each attempt fails at once.
const PAUSE: Duration = Duration::from_millis(20);

/// Accepts the next connection.
pub async fn next(listener: &TcpListener) -> (TcpStream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                send_at_once(&stream);
                return (stream, peer);
            }
            Err(error) => {
                log::warn!(error:% = error; "cannot accept connection");
                sleep(PAUSE).await;
            }
        }
    }
}

/// Closes a listener, and returns the connections that the system has established and nobody has
/// accepted. The system would reset them.
pub fn close(listener: TcpListener) -> Vec<(TcpStream, SocketAddr)> {
    let mut accepted = Vec::new();
    // The runtime may not have seen yet that connections wait.
    let drained = listener.into_std().and_then(|listener| drain(&listener, &mut accepted));
    if let Err(error) = drained {
        log::warn!(error:% = error; "cannot accept connection");
    }
    accepted
}

/// Accepts connections until none waits.
fn drain(
    listener: &std::net::TcpListener,
    accepted: &mut Vec<(TcpStream, SocketAddr)>,
) -> io::Result<()> {
    loop {
        match listener.accept() {
            Ok((stream, peer)) => {
                stream.set_nonblocking(true)?;
                let stream = TcpStream::from_std(stream)?;
                send_at_once(&stream);
                accepted.push((stream, peer));
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
            Err(error) if error.kind() == ErrorKind::ConnectionAborted => {}
            Err(error) => return Err(error),
        }
    }
}

/// Configures a connection to send small writes at once.
///
/// The kernel's timeout for unacknowledged data is not set: it also ends the connection of a caller
/// that does not read for as long, and a response has its request's deadline.
fn send_at_once(stream: &TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:% = error; "cannot set TCP_NODELAY");
    }
}
