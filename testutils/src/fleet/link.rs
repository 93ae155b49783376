//! A loopback TCP proxy in front of one server, whose connections share a bandwidth limit.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{Instant, sleep_until};

/// The buffer size in bytes; small chunks share the bandwidth more evenly between connections.
const CHUNK_BYTES: usize = 4 << 10;
/// The receive buffer of a connection to the server in bytes; small, like the TCP window of a slow
/// link.
const RECEIVE_BUFFER_BYTES: u32 = 32 << 10;

/// A bandwidth-limited link.
#[derive(Clone, Debug)]
pub struct Link {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    server: SocketAddr,
    /// Bytes per second from the server to all of its clients together.
    rate: f64,
    bytes_sent: AtomicU64,
    /// When all bytes that were accepted so far have been sent.
    busy_until: Mutex<Instant>,
}

impl Link {
    /// Forwards connections from `listener` to `server`. Traffic from the server is limited to `rate`
    /// bytes per second; the other direction is not limited.
    pub fn start(listener: TcpListener, server: SocketAddr, rate: f64) -> Self {
        let busy_until = Mutex::new(Instant::now());
        let inner = Arc::new(Inner { server, rate, bytes_sent: AtomicU64::new(0), busy_until });
        let link = Self { inner };
        tokio::spawn(accept(link.clone(), listener));
        link
    }

    /// Bytes sent to the server's clients so far.
    pub fn bytes_sent(&self) -> u64 {
        self.inner.bytes_sent.load(Ordering::Relaxed)
    }

    /// Reserves bandwidth for `bytes` and returns when they have been sent.
    fn reserve(&self, bytes: usize) -> Instant {
        let mut busy_until = self.inner.busy_until.lock().unwrap_or_else(PoisonError::into_inner);
        let duration = Duration::from_secs_f64(bytes as f64 / self.inner.rate);
        *busy_until = (*busy_until).max(Instant::now()) + duration;
        *busy_until
    }
}

async fn accept(link: Link, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let link = link.clone();
        tokio::spawn(async move {
            if let Err(error) = forward(&link, stream).await {
                log::debug!(error:% = error; "connection through a link failed");
            }
        });
    }
}

async fn forward(link: &Link, stream: TcpStream) -> std::io::Result<()> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    let server = socket.connect(link.inner.server).await?;
    stream.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (from_caller, to_caller) = stream.into_split();
    let (from_server, to_server) = server.into_split();
    tokio::select! {
        upload = copy_bytes(from_caller, to_server, None) => upload,
        download = copy_bytes(from_server, to_caller, Some(link)) => download,
    }
}

/// Copies bytes in one direction until either side closes, limited by `link` if given.
async fn copy_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    link: Option<&Link>,
) -> std::io::Result<()> {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let length = from.read(&mut buffer).await?;
        if length == 0 {
            return to.shutdown().await;
        }
        if let Some(link) = link {
            sleep_until(link.reserve(length)).await;
            link.inner.bytes_sent.fetch_add(length as u64, Ordering::Relaxed);
        }
        to.write_all(&buffer[..length]).await?;
    }
}
