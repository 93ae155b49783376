//! The HTTP client of a node without the users' platform: for engines, plain services and its own
//! platform.

use std::io;
use std::net::SocketAddr;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt as _;
use futures_util::future::BoxFuture;
use http::{Request, Response, Uri};
use http_body_util::Full;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::{Connected, Connection};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use thiserror::Error;
use tokio::net::TcpStream;
use tonic::codegen::Service;

use crate::framing::body::Body;
use crate::framing::{self, Malformed};
use crate::observed::{Observed, WriteFailure};

/// The read buffer of a connection. The head of a response must fit into it.
const READ_BUFFER: usize = 16 << 10;

/// Why a request has no response.
#[derive(Debug, Error)]
pub enum Error {
    /// There is no connection, or it broke.
    #[error(transparent)]
    Connection(#[from] legacy::Error),
    /// The response is malformed.
    #[error("malformed response: {0}")]
    Malformed(#[from] Malformed),
}

impl Error {
    /// Whether no connection was established.
    pub fn is_connect(&self) -> bool {
        matches!(self, Error::Connection(error) if error.is_connect())
    }
}

/// An HTTP client.
#[derive(Clone, Debug)]
pub struct Client(legacy::Client<Connector, Full<Bytes>>);

impl Client {
    /// Creates a client. With `resends`, a request that was not sent because its connection had been
    /// closed is sent over another one.
    pub fn new(connect_timeout: Duration, resends: bool) -> Self {
        let client = legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .http1_max_buf_size(READ_BUFFER)
            .retry_canceled_requests(resends)
            .build(Connector { timeout: connect_timeout });
        Self(client)
    }

    /// Sends a request to the address in its URI, and waits for the head of the response.
    ///
    /// # Errors
    /// There is no response, or it is malformed.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Result<Response<Body>, Error> {
        let is_conditional = framing::is_conditional(&request);
        let (head, content) = self.0.request(request).await?.into_parts();
        framing::check(&head, is_conditional)?;
        let body = Body::new(&head, content);
        Ok(Response::from_parts(head, body))
    }
}

/// Connects to addresses.
#[derive(Clone, Copy, Debug)]
struct Connector {
    timeout: Duration,
}

impl Connector {
    async fn connect(self, uri: Uri) -> io::Result<TokioIo<Observed<WriteFailure>>> {
        let authority = uri.authority().map_or("", |authority| authority.as_str());
        let address: SocketAddr = authority.parse().map_err(io::Error::other)?;
        let connected = tokio::time::timeout(self.timeout, TcpStream::connect(address)).await;
        let stream = connected.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        Ok(TokioIo::new(Observed::new(stream, WriteFailure::default())))
    }
}

impl Service<Uri> for Connector {
    type Response = TokioIo<Observed<WriteFailure>>;
    type Error = io::Error;
    type Future = BoxFuture<'static, io::Result<Self::Response>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        self.connect(uri).boxed()
    }
}

impl Connection for Observed<WriteFailure> {
    fn connected(&self) -> Connected {
        Connected::new()
    }
}
