//! The callers' listener.

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

use super::fault::Fault;
use super::{body, completions, plain};
use crate::node::Node;

/// The most headers of one request.
const MAX_HEADERS: usize = 64;

/// The longest head of one request, in bytes.
const MAX_HEAD: usize = 32 << 10;

/// How long the head of a request may take to arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// How many requests of one HTTP/2 connection may be under way.
const MAX_STREAMS: u32 = 256;

/// How long connections may take to close when the node stops.
const CLOSE_LIMIT: Duration = Duration::from_secs(3);

/// The way from the listener to dropshot's server.
#[derive(Clone)]
struct Api {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// Serves callers until the node stops; then closes connections as they become idle.
pub async fn run(node: Arc<Node>, listener: TcpListener, api: SocketAddr) {
    let client = Client::builder(TokioExecutor::new()).build(HttpConnector::new());
    let api = Api { address: api, client };
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            () = node.stopped() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => serve(&node, &api, &graceful, stream),
            Err(error) => {
                log::warn!(error:% = error; "accepting a caller");
                // Without file descriptors every accept fails at once.
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    if tokio::time::timeout(CLOSE_LIMIT, graceful.shutdown()).await.is_err() {
        log::warn!("callers kept connections open");
    }
}

/// How long to wait after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

fn builder() -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_headers(MAX_HEADERS)
        .max_buf_size(MAX_HEAD);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(MAX_HEAD as u32);
    builder
}

fn serve(node: &Arc<Node>, api: &Api, graceful: &GracefulShutdown, stream: TcpStream) {
    // A token is a small segment; without this it waits for the acknowledgement of the one before.
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:% = error; "setting a caller's connection");
    }
    let (node, api) = (node.clone(), api.clone());
    let service = service_fn(move |request| {
        let (node, api) = (node.clone(), api.clone());
        async move { Ok::<_, std::convert::Infallible>(route(&node, &api, request).await) }
    });
    let builder = builder();
    let connection = builder.serve_connection(TokioIo::new(stream), service).into_owned();
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(error:% = error; "a caller's connection ended");
        }
    });
}

async fn route(node: &Arc<Node>, api: &Api, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path();
    if path.starts_with(plain::PREFIX) {
        return plain::answer(node, request).await;
    }
    match (request.method(), path) {
        (&Method::POST, "/v1/completions") => completions::create_completion(node, request).await,
        (&Method::POST, "/v1/chat/completions") => {
            completions::create_chat_completion(node, request).await
        }
        _ => match pass_on(node, api, request).await {
            Ok(response) => response,
            Err(fault) => fault.answer(),
        },
    }
}

/// Passes a request on to dropshot's server in this process.
async fn pass_on(
    node: &Node,
    api: &Api,
    request: Request<Incoming>,
) -> Result<Response<Body>, Fault> {
    let (mut head, content) = request.into_parts();
    let settings = &node.settings;
    let bytes = body::read(content, settings.max_body, settings.body_timeout).await?;
    let path = head.uri.path_and_query().map_or("/", |p| p.as_str());
    let uri: Uri = format!("http://{}{path}", api.address)
        .parse()
        .map_err(|_| Fault::bad("path", "the path is not one"))?;
    drop_framing(&mut head.headers);
    let mut inner = Request::new(Full::new(bytes));
    *inner.method_mut() = head.method;
    *inner.uri_mut() = uri;
    *inner.headers_mut() = head.headers;
    match api.client.request(inner).await {
        Ok(response) => {
            let (mut parts, content) = response.into_parts();
            drop_framing(&mut parts.headers);
            parts.version = http::Version::default();
            Ok(Response::from_parts(parts, Body::wrap(content)))
        }
        Err(error) => Err(Fault {
            status: StatusCode::SERVICE_UNAVAILABLE,
            kind: "server_error",
            code: SmolStr::new_static("unavailable"),
            ..Fault::bad("", format!("the node's own API does not answer: {error}"))
        }),
    }
}

/// Drops the headers that speak of one connection's framing; each connection makes its own.
fn drop_framing(headers: &mut HeaderMap) {
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
