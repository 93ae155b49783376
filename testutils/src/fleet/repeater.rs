//! A loopback TCP proxy in front of a runner that repeats some of its responses: the copy arrives
//! where the response to the next request on the connection is expected.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

use crate::cluster::any_address;

const CHUNK_BYTES: usize = 16 << 10;

/// Decides which responses are repeated.
type Condition = Arc<dyn Fn(&[u8]) -> bool + Send + Sync>;

/// A proxy in front of one runner.
#[derive(Debug)]
pub struct Repeater {
    /// The address that it listens on.
    pub address: SocketAddr,
    repeated: Arc<AtomicU64>,
}

impl Repeater {
    /// Starts a proxy in front of `server`, which repeats the responses for whose bytes `condition`
    /// holds.
    ///
    /// # Errors
    /// No free address.
    pub async fn start(
        server: SocketAddr,
        condition: impl Fn(&[u8]) -> bool + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(any_address()).await?;
        let address = listener.local_addr()?;
        let (condition, repeated): (Condition, _) = (Arc::new(condition), Arc::default());
        tokio::spawn(accept(listener, server, condition, Arc::clone(&repeated)));
        Ok(Self { address, repeated })
    }

    /// The number of responses that were repeated.
    pub fn repeated(&self) -> u64 {
        self.repeated.load(Ordering::Relaxed)
    }
}

async fn accept(
    listener: TcpListener,
    server: SocketAddr,
    condition: Condition,
    repeated: Arc<AtomicU64>,
) {
    while let Ok((client, _)) = listener.accept().await {
        let (condition, repeated) = (condition.clone(), repeated.clone());
        tokio::spawn(async move {
            if let Err(error) = forward(client, server, &condition, &repeated).await {
                log::debug!(error:% = error; "connection through a repeater ended");
            }
        });
    }
}

/// Forwards one connection, which has one request at a time.
async fn forward(
    mut client: TcpStream,
    server: SocketAddr,
    condition: &Condition,
    repeated: &AtomicU64,
) -> std::io::Result<()> {
    let mut server = TcpStream::connect(server).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (mut from_client, mut from_server) = (vec![0; CHUNK_BYTES], vec![0; CHUNK_BYTES]);
    // The response since the last request.
    let mut response = Vec::new();
    loop {
        tokio::select! {
            read = client.read(&mut from_client) => {
                let length = read?;
                if length == 0 {
                    return Ok(());
                }
                if !response.is_empty() && condition(&response) {
                    repeated.fetch_add(1, Ordering::Relaxed);
                    client.write_all(&response).await?;
                }
                response.clear();
                server.write_all(&from_client[..length]).await?;
            }
            read = server.read(&mut from_server) => {
                let length = read?;
                if length == 0 {
                    return Ok(());
                }
                response.extend_from_slice(&from_server[..length]);
                client.write_all(&from_server[..length]).await?;
            }
        }
    }
}
