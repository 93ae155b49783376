//! A small HTTP server for fakes, which can abort connections as a killed process does.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// The connection is aborted before or during the response.
#[derive(Clone, Copy, Debug, Error)]
#[error("connection aborted by fault injection")]
pub struct Aborted;

/// A response body that may be aborted.
pub type Body = BoxBody<Bytes, Aborted>;

/// A body of the given bytes.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never: Infallible| match never {}).boxed()
}

/// A response with a status and a body.
pub fn text_response(status: StatusCode, bytes: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full_body(bytes));
    *response.status_mut() = status;
    response
}

/// A response with a JSON body.
pub fn json_response(status: StatusCode, value: &impl serde::Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(value).expect("the value is serializable as JSON");
    let mut response = text_response(status, bytes);
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(http::header::CONTENT_TYPE, json);
    response
}

/// A server that runs until it is stopped or dropped.
#[derive(Debug)]
pub struct Server {
    /// The address that it listens on.
    pub address: SocketAddr,
    stop: watch::Sender<bool>,
}

impl Server {
    /// Listens on `address` and answers each request with `handler`.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn start<H, F>(address: SocketAddr, handler: H) -> std::io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
        F: Future<Output = Result<Response<Body>, Aborted>> + Send + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        tokio::spawn(accept(listener, Arc::new(handler), stopped));
        Ok(Self { address, stop })
    }

    /// Aborts all connections and stops listening, as a killed process does.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}

async fn accept<H, F>(listener: TcpListener, handler: Arc<H>, mut stopped: watch::Receiver<bool>)
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Result<Response<Body>, Aborted>> + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.wait_for(|stop| *stop) => return,
        };
        let Ok((stream, _)) = accepted else { continue };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        let mut stopped = stopped.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| handler(request));
            let builder = auto::Builder::new(TokioExecutor::new());
            let connection = builder.serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                _ = connection => {}
                _ = stopped.wait_for(|stop| *stop) => {}
            }
        });
    }
}

/// Reads a whole body.
///
/// # Errors
/// The caller aborted the request.
pub async fn read_body(body: Incoming) -> Result<Bytes, Aborted> {
    body.collect().await.map(http_body_util::Collected::to_bytes).map_err(|_| Aborted)
}
