//! A loopback link of a bounded rate before one server, which all its connections share.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{Instant, sleep_until};

/// The largest piece that is sent at once; smaller ones share the link more evenly.
const PIECE: usize = 4 << 10;
/// What a connection holds on its way to the link, in bytes, as the small windows of a real one do.
const WINDOW: u32 = 32 << 10;

/// A link.
#[derive(Clone, Debug)]
pub struct Link {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    server: SocketAddr,
    /// Bytes a second from the server to all its callers together.
    rate: f64,
    carried: AtomicU64,
    /// When the link has sent what it has taken.
    free: Mutex<Instant>,
}

impl Link {
    /// Carries what comes to `listener` to `server`, and its answers back at `rate` bytes a second.
    pub fn start(listener: TcpListener, server: SocketAddr, rate: f64) -> Self {
        let free = Mutex::new(Instant::now());
        let inner = Arc::new(Inner { server, rate, carried: AtomicU64::new(0), free });
        let link = Self { inner };
        tokio::spawn(accept(link.clone(), listener));
        link
    }

    /// Bytes that the server's callers were sent so far.
    pub fn bytes_sent(&self) -> u64 {
        self.inner.carried.load(Ordering::Relaxed)
    }

    /// When `bytes` that are given to the link now have been sent.
    fn sent_at(&self, bytes: usize) -> Instant {
        let mut free = self.inner.free.lock().unwrap_or_else(PoisonError::into_inner);
        let took = Duration::from_secs_f64(bytes as f64 / self.inner.rate);
        *free = (*free).max(Instant::now()) + took;
        *free
    }
}

async fn accept(link: Link, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let link = link.clone();
        tokio::spawn(async move {
            if let Err(error) = carry(&link, stream).await {
                log::debug!(error:% = error; "a connection through a link ended");
            }
        });
    }
}

async fn carry(link: &Link, stream: TcpStream) -> std::io::Result<()> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(WINDOW)?;
    let server = socket.connect(link.inner.server).await?;
    stream.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (from_caller, to_caller) = stream.into_split();
    let (from_server, to_server) = server.into_split();
    tokio::select! {
        there = pump(from_caller, to_server, None) => there,
        back = pump(from_server, to_caller, Some(link)) => back,
    }
}

/// Carries bytes one way until either side ends; through the link if there is one this way.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    link: Option<&Link>,
) -> std::io::Result<()> {
    let mut buffer = vec![0; PIECE];
    loop {
        let length = from.read(&mut buffer).await?;
        if length == 0 {
            return to.shutdown().await;
        }
        if let Some(link) = link {
            sleep_until(link.sent_at(length)).await;
            link.inner.carried.fetch_add(length as u64, Ordering::Relaxed);
        }
        to.write_all(&buffer[..length]).await?;
    }
}
