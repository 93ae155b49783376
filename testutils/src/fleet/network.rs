//! A network whose paths from nodes to other addresses fail one by one.
//!
//! Faults apply to the connections that nodes open with the [`Dial`] of the network.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};

use futures_util::FutureExt as _;
use futures_util::future::{BoxFuture, pending};
use sardinepick_node::serve::dial::{Dial, Stream, Tcp};
use tokio::io::{
    AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _, DuplexStream, ReadBuf, ReadHalf,
    WriteHalf, duplex, split,
};
use tokio::sync::{oneshot, watch};

/// The bytes that a path holds back before its sender must wait.
const BUFFER_BYTES: usize = 64 << 10;
/// The bytes that are forwarded at once.
const CHUNK_BYTES: usize = 16 << 10;

/// The fault of a path from a node to an address.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    /// None.
    #[default]
    None,
    /// Connecting does not complete. Open connections stay open and pass no bytes in either
    /// direction. What is held back goes on when the fault ends.
    Hang,
    /// Open and new connections are reset.
    Reset,
    /// New connections are refused. Open ones live on.
    Refuse,
    /// What the node sends arrives, and what is sent to it does not.
    OneWay,
}

impl Fault {
    fn passes(self, direction: Direction) -> bool {
        match self {
            Fault::None | Fault::Reset | Fault::Refuse => true,
            Fault::Hang => false,
            Fault::OneWay => direction == Direction::FromNode,
        }
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Direction {
    FromNode,
    ToNode,
}

type Faults = watch::Receiver<Fault>;

/// The paths by node and address.
type Paths = HashMap<(String, SocketAddr), watch::Sender<Fault>>;

/// The faults of all paths.
#[derive(Clone, Debug, Default)]
pub struct Network {
    paths: Arc<Mutex<Paths>>,
}

impl Network {
    /// Sets the fault of the path from a node to an address, for open and new connections.
    pub fn set(&self, node: &str, address: SocketAddr, fault: Fault) {
        self.path(node, address).send_replace(fault);
    }

    /// Ends the faults of all paths.
    pub fn heal(&self) {
        let paths = self.paths.lock().unwrap_or_else(PoisonError::into_inner);
        for path in paths.values() {
            path.send_replace(Fault::None);
        }
    }

    /// Opens the connections of a node.
    pub fn dial_of(&self, node: &str) -> Arc<dyn Dial> {
        Arc::new(NodeDial { network: self.clone(), node: node.to_owned() })
    }

    fn path(&self, node: &str, address: SocketAddr) -> watch::Sender<Fault> {
        let mut paths = self.paths.lock().unwrap_or_else(PoisonError::into_inner);
        paths.entry((node.to_owned(), address)).or_default().clone()
    }
}

struct NodeDial {
    network: Network,
    node: String,
}

impl Dial for NodeDial {
    fn dial(&self, address: SocketAddr) -> BoxFuture<'_, io::Result<Box<dyn Stream>>> {
        let path = self.network.path(&self.node, address);
        async move {
            let mut faults = path.subscribe();
            let answers = |fault: Fault| fault.passes(Direction::ToNode);
            match wait_for(&mut faults, answers).await {
                Fault::Reset => return Err(io::ErrorKind::ConnectionReset.into()),
                Fault::Refuse => return Err(io::ErrorKind::ConnectionRefused.into()),
                Fault::None | Fault::Hang | Fault::OneWay => {}
            }
            let peer = Tcp.dial(address).await?;
            Ok(Box::new(Endpoint::open(peer, faults)) as Box<dyn Stream>)
        }
        .boxed()
    }
}

/// Waits until the fault satisfies `condition`, and returns it; forever if the network is dropped.
async fn wait_for(faults: &mut Faults, condition: impl Fn(Fault) -> bool) -> Fault {
    let fault = faults.wait_for(|fault| condition(*fault)).await.map(|fault| *fault);
    match fault {
        Ok(fault) => fault,
        Err(_) => pending().await,
    }
}

/// The node's end of a connection.
struct Endpoint {
    stream: DuplexStream,
    was_reset: Arc<AtomicBool>,
    /// Dropped with the endpoint, which closes the connection.
    _closes: oneshot::Sender<()>,
}

impl Endpoint {
    fn open(peer: Box<dyn Stream>, faults: Faults) -> Self {
        let (stream, network_end) = duplex(BUFFER_BYTES);
        let (closes, closed) = oneshot::channel();
        let was_reset = Arc::new(AtomicBool::new(false));
        tokio::spawn(forward(network_end, peer, faults, closed, was_reset.clone()));
        Self { stream, was_reset, _closes: closes }
    }
}

impl AsyncRead for Endpoint {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        if buffer.filled().len() == before && self.was_reset.load(Ordering::Relaxed) {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Endpoint {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Forwards bytes between a node and its peer until the connection ends.
async fn forward(
    node: DuplexStream,
    peer: Box<dyn Stream>,
    mut faults: Faults,
    closed: oneshot::Receiver<()>,
    was_reset: Arc<AtomicBool>,
) {
    let (mut from_node, mut to_node) = split(node);
    let (mut from_peer, mut to_peer) = split(peer);
    let mut resets = faults.clone();
    tokio::select! {
        biased;
        _ = closed => {}
        _ = wait_for(&mut resets, |fault| fault == Fault::Reset) => {
            was_reset.store(true, Ordering::Relaxed);
            return;
        }
        never = send(&mut from_node, &mut to_peer, faults.clone()) => match never {},
        received = receive(&mut from_peer, &mut to_node, faults.clone()) => {
            was_reset.store(received.is_err(), Ordering::Relaxed);
            return;
        }
    }
    // The node has closed the connection: what is held back is lost, and the peer learns of the
    // close when the path passes bytes again.
    wait_for(&mut faults, |fault| fault.passes(Direction::FromNode)).await;
}

/// Forwards what the node sends. If that ends, the connection goes on until either side closes it.
async fn send(
    from_node: &mut ReadHalf<DuplexStream>,
    to_peer: &mut WriteHalf<Box<dyn Stream>>,
    faults: Faults,
) -> std::convert::Infallible {
    // If the peer has closed or reset the connection, the other direction ends with it.
    let _ = copy(from_node, to_peer, faults, Direction::FromNode).await;
    pending().await
}

/// Forwards what the peer sends, until it closes or resets the connection.
async fn receive(
    from_peer: &mut ReadHalf<Box<dyn Stream>>,
    to_node: &mut WriteHalf<DuplexStream>,
    faults: Faults,
) -> io::Result<()> {
    copy(from_peer, to_node, faults, Direction::ToNode).await
}

async fn copy(
    from: &mut (impl AsyncRead + Unpin),
    to: &mut (impl AsyncWrite + Unpin),
    mut faults: Faults,
    direction: Direction,
) -> io::Result<()> {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let read = from.read(&mut chunk).await;
        // Also the end of the connection is held back.
        wait_for(&mut faults, |fault| fault.passes(direction)).await;
        match read? {
            0 => return to.shutdown().await,
            length => to.write_all(&chunk[..length]).await?,
        }
    }
}
