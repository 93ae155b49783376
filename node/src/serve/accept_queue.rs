//! Closing a listener without resetting the connections that wait to be accepted.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpStream};

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
                accepted.push((TcpStream::from_std(stream)?, peer));
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
            Err(error) if error.kind() == ErrorKind::ConnectionAborted => {}
            Err(error) => return Err(error),
        }
    }
}
