//! A client that sends requests as callers of the platform do.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::time::Instant;

/// The response to a request as far as it was received.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    /// The status; `None` if no response head was received.
    pub status: Option<StatusCode>,
    /// The response headers.
    pub headers: HeaderMap,
    /// The body as far as it was received.
    pub body: Bytes,
    /// Whether the whole body was received.
    pub complete: bool,
    /// The time from sending the request to the end of the response.
    pub elapsed: Duration,
}

impl Reply {
    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// A response header, if present and valid text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// The parameters of a request.
#[derive(Clone, Debug)]
pub struct RequestSpec<'a> {
    /// The host.
    pub host: &'a str,
    /// The path and query.
    pub path: &'a str,
    /// The method.
    pub method: Method,
    /// The request id.
    pub id: &'a str,
    /// The deadline that the request announces.
    pub deadline: Duration,
    /// Additional headers.
    pub headers: &'a [(&'a str, &'a str)],
    /// The body.
    pub body: Bytes,
}

impl<'a> RequestSpec<'a> {
    /// A POST to a path of the default host, with a deadline of three seconds.
    pub fn new(path: &'a str, id: &'a str) -> Self {
        Self {
            host: "kitchen.example",
            path,
            method: Method::POST,
            id,
            deadline: Duration::from_secs(3),
            headers: &[],
            body: Bytes::from_static(b"a brief"),
        }
    }

    /// Builds the HTTP request.
    ///
    /// # Panics
    /// The parameters do not form a valid request.
    pub fn request(&self, address: SocketAddr) -> Request<Full<Bytes>> {
        let mut builder = Request::builder()
            .method(self.method.clone())
            .uri(format!("http://{address}{}", self.path))
            .header("host", self.host)
            .header("request-id", self.id)
            .header("deadline-ms", self.deadline.as_millis().to_string());
        for (name, value) in self.headers {
            builder = builder.header(*name, *value);
        }
        builder.body(Full::new(self.body.clone())).expect("valid request parameters")
    }
}

/// An HTTP client without automatic retries.
#[derive(Clone, Debug)]
pub struct Caller(Client<HttpConnector, Full<Bytes>>);

impl Default for Caller {
    fn default() -> Self {
        Self(Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build_http())
    }
}

impl Caller {
    /// Sends a request and reads the response until it ends or fails.
    pub async fn send(&self, address: SocketAddr, spec: &RequestSpec<'_>) -> Reply {
        let started = Instant::now();
        let mut reply = Reply::default();
        let Ok(response) = self.0.request(spec.request(address)).await else {
            reply.elapsed = started.elapsed();
            return reply;
        };
        let (head, mut body) = response.into_parts();
        reply.status = Some(head.status);
        reply.headers = head.headers;
        let mut bytes = Vec::new();
        reply.complete = loop {
            match body.frame().await {
                Some(Ok(frame)) => bytes.extend(frame.data_ref().into_iter().flatten()),
                Some(Err(_)) => break false,
                None => break true,
            }
        };
        reply.body = Bytes::from(bytes);
        reply.elapsed = started.elapsed();
        reply
    }
}
