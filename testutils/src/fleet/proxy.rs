//! A loopback proxy that harms the connections through it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// What is done to connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Harm {
    /// Nothing.
    #[default]
    None,
    /// Every piece of bytes is delayed so long.
    Delay(Duration),
    /// Open connections are reset once, and new ones at once.
    Reset,
    /// Bytes towards the server are held back.
    OneWay,
    /// Bytes are held back both ways.
    Silence,
}

/// A proxy before one server.
#[derive(Debug)]
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    harm: Arc<watch::Sender<Harm>>,
}

impl Proxy {
    /// Starts a proxy at `address` before `server`.
    ///
    /// # Errors
    /// The address cannot be listened at.
    pub async fn start(address: SocketAddr, server: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let harm = Arc::new(watch::Sender::new(Harm::None));
        tokio::spawn(accept(listener, server, harm.clone()));
        Ok(Self { address, harm })
    }

    /// Does something to all connections from now on.
    pub fn set(&self, harm: Harm) {
        self.harm.send_replace(harm);
    }
}

async fn accept(listener: TcpListener, server: SocketAddr, harm: Arc<watch::Sender<Harm>>) {
    while let Ok((stream, _)) = listener.accept().await {
        let harm = harm.clone();
        tokio::spawn(async move {
            let now = *harm.borrow();
            if now == Harm::Reset {
                return reset(&stream);
            }
            let Ok(upstream) = TcpStream::connect(server).await else { return reset(&stream) };
            // Small pieces must not wait for each other.
            let _ = (stream.set_nodelay(true), upstream.set_nodelay(true));
            carry(stream, upstream, &harm).await;
        });
    }
}

/// A connection that is dropped with no time to linger is reset.
fn reset(stream: &TcpStream) {
    // If it cannot be set the connection is closed, which harms too.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn carry(stream: TcpStream, upstream: TcpStream, harm: &watch::Sender<Harm>) {
    reset(&stream);
    let (from_caller, to_caller) = stream.into_split();
    let (from_server, to_server) = upstream.into_split();
    let mut resets = harm.subscribe();
    let there = pump(from_caller, to_server, harm, true);
    let back = pump(from_server, to_caller, harm, false);
    tokio::select! {
        _ = there => {}
        _ = back => {}
        _ = until(&mut resets, |harm| *harm == Harm::Reset) => {}
    }
}

/// Waits until the harm is as asked for; false if the proxy is gone.
async fn until(harms: &mut watch::Receiver<Harm>, asked: impl Fn(&Harm) -> bool) -> bool {
    harms.wait_for(asked).await.is_ok()
}

/// Carries bytes one way until either side ends.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    harm: &watch::Sender<Harm>,
    there: bool,
) -> std::io::Result<()> {
    let mut buffer = vec![0; 16 << 10];
    let mut harms = harm.subscribe();
    loop {
        let length = from.read(&mut buffer).await?;
        if length == 0 {
            return to.shutdown().await;
        }
        let now = *harm.borrow();
        if let Harm::Delay(delay) = now {
            sleep(delay).await;
        }
        let passes = |harm: &Harm| match harm {
            Harm::Silence => false,
            Harm::OneWay => !there,
            Harm::None | Harm::Delay(_) | Harm::Reset => true,
        };
        if !until(&mut harms, passes).await {
            return Ok(());
        }
        to.write_all(&buffer[..length]).await?;
    }
}
