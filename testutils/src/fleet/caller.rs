//! A caller of the platform.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::time::Instant;

/// What came of a request.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    /// The status; none if the connection ended without a head.
    pub status: Option<StatusCode>,
    /// The headers of the answer.
    pub headers: HeaderMap,
    /// The body as far as it came.
    pub body: Bytes,
    /// Whether the body came to its proper end.
    pub complete: bool,
    /// How long it took.
    pub elapsed: Duration,
}

impl Reply {
    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// A header of the answer.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// What a caller asks.
#[derive(Clone, Debug)]
pub struct RequestSpec<'a> {
    /// The host.
    pub host: &'a str,
    /// The path and query.
    pub path: &'a str,
    /// The method.
    pub method: Method,
    /// The id of the attempt.
    pub id: &'a str,
    /// How long the caller waits.
    pub deadline: Duration,
    /// Further headers.
    pub headers: &'a [(&'a str, &'a str)],
    /// The body.
    pub body: Bytes,
}

impl<'a> RequestSpec<'a> {
    /// A request with an id, to a path of the usual host, that waits for three seconds.
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

    /// The request.
    ///
    /// # Panics
    /// It is not one.
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
        builder.body(Full::new(self.body.clone())).expect("the test asks for a request")
    }
}

/// A caller.
#[derive(Clone, Debug)]
pub struct Caller(Client<HttpConnector, Full<Bytes>>);

impl Default for Caller {
    fn default() -> Self {
        Self(Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build_http())
    }
}

impl Caller {
    /// Sends a request and reads the whole answer, as far as it comes.
    pub async fn send(&self, address: SocketAddr, ask: &RequestSpec<'_>) -> Reply {
        let began = Instant::now();
        let mut told = Reply::default();
        let Ok(response) = self.0.request(ask.request(address)).await else {
            told.elapsed = began.elapsed();
            return told;
        };
        let (head, mut body) = response.into_parts();
        told.status = Some(head.status);
        told.headers = head.headers;
        let mut bytes = Vec::new();
        told.complete = loop {
            match body.frame().await {
                Some(Ok(frame)) => bytes.extend(frame.data_ref().into_iter().flatten()),
                Some(Err(_)) => break false,
                None => break true,
            }
        };
        told.body = Bytes::from(bytes);
        told.elapsed = began.elapsed();
        told
    }
}
