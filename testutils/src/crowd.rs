//! Crowds of callers that send what a node must bound, and read no response.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// The deadline of the crowd's requests.
const DEADLINE: Duration = Duration::from_secs(10);
/// How long a crowd stays once all of it has sent what it sends.
pub const STAY: Duration = Duration::from_secs(3);
/// The longest time for which a caller of a crowd sends.
const SEND_LIMIT: Duration = Duration::from_secs(12);

/// What one caller of a crowd sends.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    /// The path.
    pub path: &'static str,
    /// The header that announces the body.
    pub framing: Framing,
    /// The bytes of the body.
    pub bytes: usize,
    /// The bytes of each write.
    pub write: usize,
    /// What it does then.
    pub end: End,
}

/// How the length of a body is announced.
#[derive(Clone, Copy, Debug)]
pub enum Framing {
    /// An announced length.
    Length(usize),
    /// Chunks of this size, without the last one.
    Chunks(usize),
}

/// What a caller does once it has sent all.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    /// It stays open and reads nothing.
    Stays,
    /// It closes its connection.
    Closes,
}

impl Sent {
    /// The head of the request.
    pub fn head(&self, id: &str) -> Vec<u8> {
        let framing = match self.framing {
            Framing::Length(length) => format!("content-length: {length}"),
            Framing::Chunks(_) => "transfer-encoding: chunked".to_owned(),
        };
        let deadline = DEADLINE.as_millis();
        format!(
            "POST {} HTTP/1.1\r\nhost: kitchen.example\r\nrequest-id: {id}\r\n\
             deadline-ms: {deadline}\r\n{framing}\r\n\r\n",
            self.path
        )
        .into_bytes()
    }

    /// The body with its framing.
    pub fn body(&self) -> Vec<u8> {
        match self.framing {
            Framing::Length(_) => vec![b'x'; self.bytes],
            Framing::Chunks(size) => {
                let chunk = format!("{size:x}\r\n{}\r\n", "x".repeat(size));
                chunk.repeat(self.bytes / size).into_bytes()
            }
        }
    }
}

/// Sends bytes in writes of this size, as long as the node accepts them.
pub async fn send(node: SocketAddr, head: &[u8], body: &[u8], write: usize) -> Option<TcpStream> {
    let sending = async {
        let mut stream = TcpStream::connect(node).await.ok()?;
        stream.set_nodelay(true).ok()?;
        stream.write_all(head).await.ok()?;
        for piece in body.chunks(write) {
            stream.write_all(piece).await.ok()?;
            tokio::task::yield_now().await;
        }
        Some(stream)
    };
    timeout(SEND_LIMIT, sending).await.ok().flatten()
}

/// A crowd of callers that all send the same.
pub async fn run(node: SocketAddr, count: usize, sent: Sent) {
    let body = sent.body();
    let body = &body[..];
    let callers = (0..count).map(async |at| {
        let head = sent.head(&format!("crowd-{at}"));
        let stream = send(node, &head, body, sent.write).await;
        if sent.end == End::Stays {
            sleep(STAY).await;
        }
        drop(stream);
    });
    join_all(callers).await;
}

/// Callers that connect one after another, send this once and stay.
pub async fn hold(addresses: &[SocketAddr], count: usize, sent: &[u8]) {
    let mut open = Vec::new();
    let connecting = async {
        for at in 0..count {
            open.push(send(addresses[at % addresses.len()], sent, &[], 1).await);
        }
    };
    if timeout(SEND_LIMIT, connecting).await.is_err() {
        println!("not all of {count} callers have connected");
    }
    sleep(STAY).await;
}
