//! The HTTP listener for clients.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dropshot::Body;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri, header};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::service::service_fn;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::GracefulShutdown;
use smol_str::SmolStr;
use tokio::net::{TcpListener, TcpStream};

use super::body::RequestBody;
use super::error::ApiError;
use super::{completions, plain};
use crate::node::Node;

/// The maximum number of headers in a request.
const MAX_HEADERS: usize = 64;

/// The maximum size of a request head.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// The timeout for receiving a request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// The maximum number of concurrent requests on one HTTP/2 connection.
const MAX_CONCURRENT_STREAMS: u32 = 256;

/// How long connections may take to close when the node shuts down.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(3);

/// A client for the dropshot server of this process.
#[derive(Clone)]
struct ApiClient {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// Serves clients until the node stops, then closes connections as they become idle.
pub async fn run(node: Arc<Node>, listener: TcpListener, api: SocketAddr) {
    let client = Client::builder(TokioExecutor::new()).build(HttpConnector::new());
    let api = ApiClient { address: api, client };
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            () = node.stopped() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => serve_connection(&node, &api, &graceful, stream),
            Err(error) => {
                log::warn!(error:% = error; "failed to accept a connection");
                // Without the delay, running out of file descriptors would make this a busy loop.
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drop(listener);
    if tokio::time::timeout(CLOSE_TIMEOUT, graceful.shutdown()).await.is_err() {
        log::warn!("client connections still open at the shutdown timeout");
    }
}

/// The delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

fn connection_builder() -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_headers(MAX_HEADERS)
        .max_buf_size(MAX_HEAD_BYTES);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_CONCURRENT_STREAMS)
        .max_header_list_size(MAX_HEAD_BYTES as u32);
    builder
}

fn serve_connection(
    node: &Arc<Node>,
    api: &ApiClient,
    graceful: &GracefulShutdown,
    stream: TcpStream,
) {
    // Each token is a small segment. With Nagle's algorithm it would wait for the acknowledgement
    // of the previous one.
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:% = error; "failed to set TCP_NODELAY on a client connection");
    }
    let (node, api) = (node.clone(), api.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        let (node, api) = (node.clone(), api.clone());
        let request = request.map(RequestBody::new);
        async move { Ok::<_, std::convert::Infallible>(route(&node, &api, request).await) }
    });
    let builder = connection_builder();
    let connection = builder.serve_connection(TokioIo::new(stream), service).into_owned();
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(error:% = error; "client connection failed");
        }
    });
}

async fn route(node: &Arc<Node>, api: &ApiClient, request: Request<RequestBody>) -> Response<Body> {
    let path = request.uri().path();
    if path.starts_with(plain::PREFIX) {
        return plain::handle(node, request).await;
    }
    match (request.method(), path) {
        (&Method::POST, "/v1/completions") => completions::create_completion(node, request).await,
        (&Method::POST, "/v1/chat/completions") => {
            completions::create_chat_completion(node, request).await
        }
        _ => match forward_to_api(node, api, request).await {
            Ok(response) => response,
            Err(error) => error.response(),
        },
    }
}

/// Forwards a request to the dropshot server of this process.
async fn forward_to_api(
    node: &Node,
    api: &ApiClient,
    request: Request<RequestBody>,
) -> Result<Response<Body>, ApiError> {
    let (mut head, content) = request.into_parts();
    let settings = &node.settings;
    let bytes = node.bodies.read(content, settings.max_body, settings.body_timeout).await?;
    let path = head.uri.path_and_query().map_or("/", |p| p.as_str());
    let uri: Uri = format!("http://{}{path}", api.address)
        .parse()
        .map_err(|_| ApiError::bad_request("path", "the path is not one"))?;
    remove_framing_headers(&mut head.headers);
    let mut inner = Request::new(Full::new(bytes));
    *inner.method_mut() = head.method;
    *inner.uri_mut() = uri;
    *inner.headers_mut() = head.headers;
    match api.client.request(inner).await {
        Ok(response) => {
            let (mut parts, content) = response.into_parts();
            remove_framing_headers(&mut parts.headers);
            parts.version = http::Version::default();
            Ok(Response::from_parts(parts, Body::wrap(content)))
        }
        Err(error) => Err(ApiError {
            status: StatusCode::SERVICE_UNAVAILABLE,
            kind: "server_error",
            code: SmolStr::new_static("unavailable"),
            ..ApiError::bad_request("", format!("the node's own API does not answer: {error}"))
        }),
    }
}

/// Removes the headers that describe the framing on one connection; each connection sets its own.
fn remove_framing_headers(headers: &mut HeaderMap) {
    let framing = [
        header::HOST,
        header::CONNECTION,
        header::TRANSFER_ENCODING,
        header::CONTENT_LENGTH,
        header::UPGRADE,
    ];
    for name in framing {
        headers.remove(name);
    }
}
