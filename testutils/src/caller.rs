//! A client that looks up node addresses and sends requests.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use eventsource_stream::Eventsource as _;
use futures_util::StreamExt as _;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyDataStream, BodyExt as _, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use thiserror::Error;

use crate::invariant::Observation;

/// Why a call failed.
#[derive(Debug, Error)]
pub enum CallError {
    /// The connection failed.
    #[error("calling {peer}: {detail}")]
    Transport {
        /// The node that was called.
        peer: SocketAddr,
        /// The transport error.
        detail: String,
    },
    /// The response does not follow the protocol.
    #[error("response of {peer}: {detail}")]
    Protocol {
        /// The node that was called.
        peer: SocketAddr,
        /// The parse error and the response.
        detail: String,
    },
}

/// The response to an address look-up.
#[derive(Clone, Debug, Deserialize)]
pub struct Listing {
    /// The addresses to use.
    pub addresses: Vec<SocketAddr>,
    /// How long they are valid, in milliseconds.
    pub valid_ms: u64,
    /// The epoch to send with requests that must run at most once.
    pub epoch: u64,
}

/// An attempt at a request that must run at most once.
#[derive(Clone, Debug)]
pub struct KeyedAttempt<'a> {
    /// The idempotency key.
    pub key: &'a str,
    /// The number of the attempt, starting at 1.
    pub attempt: u64,
    /// The epoch of the listing that the first attempt used.
    pub epoch: u64,
}

/// A client with the API key of an account.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    key: String,
}

/// The result of a request.
#[derive(Clone, Debug)]
pub struct Reply {
    /// What the caller can conclude about the request.
    pub observation: Observation,
    /// The HTTP status; 0 if none was received.
    pub status: u16,
    /// The delay before a retry that a refusal names.
    pub retry_after: Option<Duration>,
    /// The body of a refusal, or a description of the error.
    pub body: String,
}

impl Caller {
    /// A client with this API key.
    pub fn new(key: &str) -> Self {
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(HttpConnector::new());
        Self { client, key: key.to_owned() }
    }

    /// A client that uses HTTP/2 without TLS.
    pub fn with_http2(key: &str) -> Self {
        let client =
            Client::builder(TokioExecutor::new()).http2_only(true).build(HttpConnector::new());
        Self { client, key: key.to_owned() }
    }

    /// Sends a request and returns the response before its body is read.
    ///
    /// # Errors
    /// The connection failed before a response arrived.
    pub async fn send(
        &self,
        peer: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, String)],
        body: impl Into<Bytes>,
    ) -> Result<Response<Incoming>, CallError> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{peer}{path}"))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key))
            .header(header::CONTENT_TYPE, "application/json");
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        let request = request.body(Full::new(body.into())).expect("valid request parameters");
        self.client
            .request(request)
            .await
            .map_err(|error| CallError::Transport { peer, detail: error.to_string() })
    }

    /// Sends a request and reads the whole response.
    ///
    /// # Errors
    /// The connection failed.
    pub async fn fetch(
        &self,
        peer: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, String)],
        body: impl Into<Bytes>,
    ) -> Result<(StatusCode, String), CallError> {
        let response = self.send(peer, method, path, headers, body).await?;
        let status = response.status();
        let body = read(peer, response).await?;
        Ok((status, body))
    }

    /// Looks up the node addresses.
    ///
    /// # Errors
    /// The connection failed, or the response is not a listing.
    pub async fn look_up(&self, peer: SocketAddr) -> Result<Listing, CallError> {
        let (_, body) = self.fetch(peer, Method::GET, "/v1/addresses", &[], "").await?;
        serde_json::from_str(&body)
            .map_err(|error| CallError::Protocol { peer, detail: format!("{error}: {body}") })
    }

    /// Requests a streamed completion and reads the stream to its end.
    pub async fn complete(
        &self,
        peer: SocketAddr,
        model: &str,
        id: &str,
        prompt: &str,
        tokens: u64,
    ) -> Reply {
        let body = serde_json::json!({
            "model": model, "prompt": prompt, "max_tokens": tokens, "stream": true,
        });
        let headers = [("x-request-id", id.to_owned())];
        let call = self.send(peer, Method::POST, "/v1/completions", &headers, body.to_string());
        match call.await {
            Ok(response) if response.status().is_success() => read_stream(response).await,
            Ok(response) => read_refusal(peer, response).await,
            Err(error) => incomplete(error.to_string()),
        }
    }

    /// Sends a POST to a plain service.
    pub async fn post(
        &self,
        peer: SocketAddr,
        service: &str,
        body: &str,
        attempt: Option<&KeyedAttempt<'_>>,
    ) -> Reply {
        let mut headers = Vec::new();
        if let Some(attempt) = attempt {
            headers.push(("idempotency-key", attempt.key.to_owned()));
            headers.push(("x-sardinepick-attempt", attempt.attempt.to_string()));
            headers.push(("x-sardinepick-epoch", attempt.epoch.to_string()));
        }
        let path = format!("/services/{service}/orders");
        match self.send(peer, Method::POST, &path, &headers, body.to_owned()).await {
            Ok(response) if response.status().is_success() => {
                let status = response.status().as_u16();
                match read(peer, response).await {
                    Ok(text) => Reply {
                        observation: Observation::Answer(text),
                        status,
                        retry_after: None,
                        body: String::new(),
                    },
                    Err(error) => incomplete(error.to_string()),
                }
            }
            Ok(response) => read_refusal(peer, response).await,
            Err(error) => incomplete(error.to_string()),
        }
    }

    /// Executes a command of the operators' language and waits for all nodes.
    ///
    /// # Errors
    /// The connection failed.
    pub async fn command(
        &self,
        peer: SocketAddr,
        text: &str,
    ) -> Result<(StatusCode, serde_json::Value), CallError> {
        let body = serde_json::json!({ "text": text }).to_string();
        let (status, body) = self.fetch(peer, Method::POST, "/admin/v1/command", &[], body).await?;
        let value = serde_json::from_str(&body).unwrap_or(serde_json::Value::String(body));
        Ok((status, value))
    }
}

fn incomplete(detail: String) -> Reply {
    Reply { observation: Observation::Truncated, status: 0, retry_after: None, body: detail }
}

async fn read(peer: SocketAddr, response: Response<Incoming>) -> Result<String, CallError> {
    let body = response
        .into_body()
        .collect()
        .await
        .map_err(|error| CallError::Transport { peer, detail: error.to_string() })?;
    Ok(String::from_utf8_lossy(&body.to_bytes()).into_owned())
}

async fn read_refusal(peer: SocketAddr, response: Response<Incoming>) -> Reply {
    let status = response.status().as_u16();
    let text = |name: &str| response.headers().get(name).and_then(|v| v.to_str().ok());
    let observation = match text("x-sardinepick-run") {
        Some("not_run") => Observation::RefusedNotRun,
        _ => Observation::RefusedUnknown,
    };
    let retry_after =
        text("retry-after-ms").and_then(|v| v.parse().ok()).map(Duration::from_millis);
    let body = read(peer, response).await.unwrap_or_default();
    Reply { observation, status, retry_after, body }
}

#[derive(Deserialize)]
struct Event {
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    text: String,
}

/// Reads a stream as a client does: it is complete only with its closing event.
async fn read_stream(response: Response<Incoming>) -> Reply {
    let status = response.status().as_u16();
    let mut events = BodyDataStream::new(response.into_body()).eventsource();
    let mut text = String::new();
    while let Some(event) = events.next().await {
        let event = match event {
            Ok(event) => event,
            Err(error) => return incomplete(error.to_string()),
        };
        if event.event == "error" {
            return Reply {
                observation: Observation::Truncated,
                status,
                retry_after: None,
                body: event.data,
            };
        }
        if event.data == "[DONE]" {
            return Reply {
                observation: Observation::Answer(text),
                status,
                retry_after: None,
                body: String::new(),
            };
        }
        match serde_json::from_str::<Event>(&event.data) {
            Ok(event) => text.extend(event.choices.into_iter().map(|c| c.text)),
            Err(error) => return incomplete(error.to_string()),
        }
    }
    incomplete("the stream ended without its closing event".to_owned())
}
