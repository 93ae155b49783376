//! A caller that writes and reads the bytes of its connection itself, so that a test controls how a
//! request is split and sees how a response ends.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Buf as _, BytesMut};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{Instant, sleep, timeout_at};

/// How a response ended.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum End {
    /// The response is complete.
    Complete,
    /// The node closed the connection before that.
    Closed,
    /// The connection was reset before that.
    Reset,
    /// The response was not complete in time.
    #[default]
    TimedOut,
}

/// A response as far as it was received.
#[derive(Clone, Debug, Default)]
pub struct RawReply {
    /// The status; 0 if no response head was received.
    pub status: u16,
    /// The names, in lowercase, and values of its headers.
    pub headers: Vec<(String, String)>,
    /// The body as far as it was received.
    pub body: Vec<u8>,
    /// How it ended.
    pub end: End,
}

impl RawReply {
    /// A header of the response.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// Whether the response says that the connection closes after it.
    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Whether the whole response was received.
    pub fn is_complete(&self) -> bool {
        self.end == End::Complete
    }
}

/// A request to be written by hand.
#[derive(Clone, Copy, Debug)]
pub struct RawRequest<'a> {
    /// The path and query.
    pub path: &'a str,
    /// The request id.
    pub id: &'a str,
    /// The deadline that it announces.
    pub deadline: Duration,
    /// Additional header lines.
    pub headers: &'a [(&'a str, &'a str)],
    /// The body.
    pub body: &'a [u8],
}

impl<'a> RawRequest<'a> {
    /// A POST to a path of the default host, with a short body and a deadline of three seconds.
    pub fn new(path: &'a str, id: &'a str) -> Self {
        let deadline = Duration::from_secs(3);
        Self { path, id, deadline, headers: &[], body: b"a brief" }
    }

    /// Its bytes up to the body.
    pub fn head(&self) -> Vec<u8> {
        let mut head = format!(
            "POST {} HTTP/1.1\r\nhost: kitchen.example\r\nrequest-id: {}\r\ndeadline-ms: {}\r\n\
             content-length: {}\r\n",
            self.path,
            self.id,
            self.deadline.as_millis(),
            self.body.len(),
        );
        for (name, value) in self.headers {
            head += &format!("{name}: {value}\r\n");
        }
        head += "\r\n";
        head.into_bytes()
    }

    /// All of its bytes.
    pub fn bytes(&self) -> Vec<u8> {
        [&self.head()[..], self.body].concat()
    }
}

/// How the length of a response body is known.
enum Framing {
    Length(usize),
    Chunked,
    UntilClose,
}

/// A caller with one connection.
#[derive(Debug)]
pub struct RawCaller {
    stream: TcpStream,
    /// Bytes that were read and belong to no response yet.
    buffer: BytesMut,
    /// The pause before each read.
    read_pause: Duration,
}

/// The maximum size of one read.
const READ_BYTES: usize = 64 << 10;

impl RawCaller {
    /// Connects to a node.
    ///
    /// # Panics
    /// The node does not accept the connection.
    pub async fn connect(address: SocketAddr) -> Self {
        Self::try_connect(address).await.expect("the node accepts connections")
    }

    /// Connects to a node that may not accept connections.
    ///
    /// # Errors
    /// It does not accept the connection.
    pub async fn try_connect(address: SocketAddr) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect(address).await?))
    }

    /// Connects to a node with a small receive buffer, so that most of a large response stays at the
    /// node until it is read.
    ///
    /// # Panics
    /// The node does not accept the connection.
    pub async fn connect_with_buffer(address: SocketAddr, buffer_bytes: u32) -> Self {
        let caller = Self::try_connect_with_buffer(address, buffer_bytes).await;
        caller.expect("the node accepts connections")
    }

    /// As [`RawCaller::connect_with_buffer`], to a node that may not accept connections.
    ///
    /// # Errors
    /// It does not accept the connection.
    pub async fn try_connect_with_buffer(
        address: SocketAddr,
        buffer_bytes: u32,
    ) -> io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(buffer_bytes)?;
        Ok(Self::new(socket.connect(address).await?))
    }

    fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).expect("a connected socket");
        Self { stream, buffer: BytesMut::new(), read_pause: Duration::ZERO }
    }

    /// Sets the pause before each read of up to 64 KB.
    pub fn set_read_pause(&mut self, pause: Duration) {
        self.read_pause = pause;
    }

    /// Writes bytes; false if the connection is closed.
    pub async fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).await.is_ok()
    }

    /// Writes bytes in pieces of equal size with a pause between them; false if the connection is
    /// closed.
    pub async fn write_pieces(&mut self, bytes: &[u8], pieces: usize, pause: Duration) -> bool {
        for (at, piece) in bytes.chunks(bytes.len().div_ceil(pieces).max(1)).enumerate() {
            if at > 0 {
                sleep(pause).await;
            }
            if !self.write(piece).await {
                return false;
            }
        }
        true
    }

    /// Closes the sending half of the connection.
    pub async fn close_write(&mut self) {
        // The connection may already be closed.
        let _ = self.stream.shutdown().await;
    }

    /// Writes a request and reads its response.
    pub async fn send(&mut self, request: &RawRequest<'_>, limit: Duration) -> RawReply {
        self.write(&request.bytes()).await;
        self.read_reply(limit).await
    }

    /// Reads one response.
    pub async fn read_reply(&mut self, limit: Duration) -> RawReply {
        let deadline = Instant::now() + limit;
        let mut reply = RawReply::default();
        reply.end = match self.read_parts(&mut reply, deadline).await {
            Ok(()) => End::Complete,
            Err(end) => end,
        };
        reply
    }

    /// Waits until the node closes the connection, without having sent anything; false if it sends
    /// something or leaves the connection open.
    pub async fn wait_closed(&mut self, limit: Duration) -> bool {
        let end = self.fill(Instant::now() + limit).await;
        matches!(end, Err(End::Closed | End::Reset))
    }

    /// Whether the node has closed the connection, as far as that is known without waiting.
    pub fn is_closed(&mut self) -> bool {
        match self.stream.try_read_buf(&mut self.buffer) {
            Ok(read) => read == 0,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        }
    }

    /// Reads more bytes into the buffer.
    async fn fill(&mut self, deadline: Instant) -> Result<(), End> {
        if !self.read_pause.is_zero() {
            sleep(self.read_pause).await;
        }
        self.buffer.reserve(READ_BYTES);
        match timeout_at(deadline, self.stream.read_buf(&mut self.buffer)).await {
            Ok(Ok(0)) => Err(End::Closed),
            Ok(Ok(_)) => Ok(()),
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionReset => Err(End::Reset),
            Ok(Err(_)) => Err(End::Closed),
            Err(_) => Err(End::TimedOut),
        }
    }

    async fn read_parts(&mut self, reply: &mut RawReply, deadline: Instant) -> Result<(), End> {
        let status = self.read_line(deadline).await?;
        reply.status = status.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or_default();
        loop {
            let line = self.read_line(deadline).await?;
            let Some((name, value)) = line.split_once(':') else { break };
            reply.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
        let length = reply.header("content-length").and_then(|value| value.parse().ok());
        let framing = match length {
            Some(length) => Framing::Length(length),
            None if reply.header("transfer-encoding") == Some("chunked") => Framing::Chunked,
            None => Framing::UntilClose,
        };
        match framing {
            Framing::Length(length) => self.read_exact(length, &mut reply.body, deadline).await,
            Framing::Chunked => self.read_chunks(&mut reply.body, deadline).await,
            Framing::UntilClose => loop {
                reply.body.extend_from_slice(&self.buffer.split());
                match self.fill(deadline).await {
                    Ok(()) => {}
                    Err(End::Closed) => return Ok(()),
                    Err(end) => return Err(end),
                }
            },
        }
    }

    async fn read_line(&mut self, deadline: Instant) -> Result<String, End> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|bytes| bytes == b"\r\n") {
                let line = self.buffer.split_to(at);
                self.buffer.advance(2);
                return Ok(String::from_utf8_lossy(&line).into_owned());
            }
            self.fill(deadline).await?;
        }
    }

    async fn read_exact(
        &mut self,
        mut length: usize,
        body: &mut Vec<u8>,
        deadline: Instant,
    ) -> Result<(), End> {
        loop {
            let piece = self.buffer.split_to(length.min(self.buffer.len()));
            length -= piece.len();
            body.extend_from_slice(&piece);
            if length == 0 {
                return Ok(());
            }
            self.fill(deadline).await?;
        }
    }

    async fn read_chunks(&mut self, body: &mut Vec<u8>, deadline: Instant) -> Result<(), End> {
        loop {
            let line = self.read_line(deadline).await?;
            let length = usize::from_str_radix(line.trim(), 16).map_err(|_| End::Closed)?;
            self.read_exact(length, body, deadline).await?;
            // The end of the chunk, or of the last one.
            self.read_line(deadline).await?;
            if length == 0 {
                return Ok(());
            }
        }
    }
}
