//! A loopback TCP proxy that injects network faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// A network fault that is applied to all connections of a proxy.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum NetworkFault {
    /// Forward without a fault.
    #[default]
    None,
    /// Delay every chunk by this time.
    Delay(Duration),
    /// Reset open connections, and new ones on accept.
    Reset,
    /// Hold back bytes towards the server.
    BlockToServer,
    /// Hold back bytes in both directions.
    BlockBoth,
}

/// A proxy in front of one server.
#[derive(Debug)]
pub struct Proxy {
    /// The address that it listens on.
    pub address: SocketAddr,
    fault: Arc<watch::Sender<NetworkFault>>,
}

impl Proxy {
    /// Starts a proxy at `address` in front of `server`.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn start(address: SocketAddr, server: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let fault = Arc::new(watch::Sender::new(NetworkFault::None));
        tokio::spawn(accept(listener, server, fault.clone()));
        Ok(Self { address, fault })
    }

    /// Applies a fault to all connections from now on.
    pub fn set(&self, fault: NetworkFault) {
        self.fault.send_replace(fault);
    }
}

async fn accept(
    listener: TcpListener,
    server: SocketAddr,
    fault: Arc<watch::Sender<NetworkFault>>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let fault = fault.clone();
        tokio::spawn(async move {
            let now = *fault.borrow();
            if now == NetworkFault::Reset {
                return reset(&stream);
            }
            let Ok(upstream) = TcpStream::connect(server).await else { return reset(&stream) };
            // Nagle's algorithm would delay small chunks.
            let _ = (stream.set_nodelay(true), upstream.set_nodelay(true));
            forward(stream, upstream, &fault).await;
        });
    }
}

/// Makes the connection end with a reset when it is dropped, by a linger time of zero.
fn reset(stream: &TcpStream) {
    // If the option cannot be set, the connection is closed normally, which is a fault as well.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn forward(stream: TcpStream, upstream: TcpStream, fault: &watch::Sender<NetworkFault>) {
    reset(&stream);
    let (from_caller, to_caller) = stream.into_split();
    let (from_server, to_server) = upstream.into_split();
    let mut resets = fault.subscribe();
    let upload = copy_bytes(from_caller, to_server, fault, true);
    let download = copy_bytes(from_server, to_caller, fault, false);
    tokio::select! {
        _ = upload => {}
        _ = download => {}
        _ = wait_for(&mut resets, |fault| *fault == NetworkFault::Reset) => {}
    }
}

/// Waits until the fault satisfies `condition`; false if the proxy was dropped.
async fn wait_for(
    faults: &mut watch::Receiver<NetworkFault>,
    condition: impl Fn(&NetworkFault) -> bool,
) -> bool {
    faults.wait_for(condition).await.is_ok()
}

/// Copies bytes in one direction until either side closes, subject to the current fault.
async fn copy_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    fault: &watch::Sender<NetworkFault>,
    upload: bool,
) -> std::io::Result<()> {
    let mut buffer = vec![0; 16 << 10];
    let mut faults = fault.subscribe();
    loop {
        let length = from.read(&mut buffer).await?;
        if length == 0 {
            return to.shutdown().await;
        }
        let now = *fault.borrow();
        if let NetworkFault::Delay(delay) = now {
            sleep(delay).await;
        }
        let forwards = |fault: &NetworkFault| match fault {
            NetworkFault::BlockBoth => false,
            NetworkFault::BlockToServer => !upload,
            NetworkFault::None | NetworkFault::Delay(_) | NetworkFault::Reset => true,
        };
        if !wait_for(&mut faults, forwards).await {
            return Ok(());
        }
        to.write_all(&buffer[..length]).await?;
    }
}
