//! The completions protocol that model engines speak, over HTTP with server-sent events.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use eventsource_stream::Eventsource as _;
use futures_util::{Stream, StreamExt as _, TryStreamExt as _};
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyDataStream, BodyExt as _, Full};
use sardinepick_lib::order::{Answer, EngineStatus, Order};
use sardinepick_lib::outcome::Fault;
use sardinepick_lib::runner::Report;
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

use super::chunk::Chunk;
use super::{Completion, Engine, Failure, Frame, Frames, Peer};
use crate::framing::body::Body;
use crate::http_client::Client;

/// The header by which a runner states that it did not start a request.
pub const NOT_RUN: &str = "x-not-run";
/// The header by which a runner announces that it is leaving.
pub const LEAVING: &str = "x-leaving";

/// The data of the closing event.
const DONE: &str = "[DONE]";

/// The size limit of a response that is not a stream, in bytes.
const MAX_REPLY_BYTES: usize = 64 << 10;

/// The timeout of load and condition queries, and of orders.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);

/// A client for engines that speak the completions protocol.
#[derive(Clone, Debug)]
pub struct Completions {
    client: Client,
    stall_timeout: Duration,
}

#[derive(Serialize)]
struct CompletionRequest<'a> {
    model: &'a str,
    prompt: &'a str,
    max_tokens: u64,
    stream: bool,
    priority: u8,
    resume_from: u64,
    request_id: &'a str,
}

impl Completions {
    /// Creates a client. A request fails if the engine sends nothing for `stall_timeout`.
    pub fn new(connect_timeout: Duration, stall_timeout: Duration) -> Self {
        Self { client: Client::new(connect_timeout, true), stall_timeout }
    }

    async fn send(
        &self,
        peer: &Peer,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Response<Body>, Fault> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", peer.address))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .expect("fixed paths and socket addresses make URIs");
        self.client.send(request).await.map_err(|error| {
            let detail = SmolStr::new(root_cause(&error));
            let peer = peer.name.clone();
            if error.is_connect() {
                Fault::Connect { peer, detail }
            } else {
                Fault::Interrupted { peer, detail }
            }
        })
    }

    async fn query<T: for<'de> Deserialize<'de>>(
        &self,
        peer: &Peer,
        path: &str,
    ) -> Result<T, Fault> {
        let exchange = async {
            let response = self.send(peer, Method::GET, path, Bytes::new()).await?;
            let body = http_body_util::Limited::new(response.into_body(), MAX_REPLY_BYTES);
            let body = body.collect().await.map_err(|error| broken(peer, error.to_string()))?;
            serde_json::from_slice(&body.to_bytes()).map_err(|error| Fault::Invalid {
                peer: peer.name.clone(),
                detail: SmolStr::new(error.to_string()),
            })
        };
        match tokio::time::timeout(QUERY_TIMEOUT, exchange).await {
            Ok(answer) => answer,
            Err(_) => Err(broken(peer, format!("no answer within {QUERY_TIMEOUT:?}"))),
        }
    }
}

/// The root cause of an error, which is the most informative part of its chain.
fn root_cause(error: &dyn std::error::Error) -> String {
    let mut cause = error;
    while let Some(inner) = cause.source() {
        cause = inner;
    }
    cause.to_string()
}

fn broken(peer: &Peer, detail: impl Into<String>) -> Fault {
    Fault::Interrupted { peer: peer.name.clone(), detail: SmolStr::new(detail.into()) }
}

fn is_true(headers: &HeaderMap, name: &str) -> bool {
    headers.get(name).is_some_and(|v| v == "true")
}

/// Classifies an error status.
pub fn failure(peer: &Peer, status: StatusCode, headers: &HeaderMap) -> Failure {
    let detail = format_smolstr!("status {status}");
    let peer = peer.name.clone();
    let fault = if is_true(headers, NOT_RUN) {
        Fault::Refused { peer, detail }
    } else {
        Fault::Interrupted { peer, detail }
    };
    Failure { fault, leaving: is_true(headers, LEAVING) }
}

/// Converts one event into frames. An event may carry a token and the finish reason.
///
/// An event with the ID of another request is an error: forwarding it would leak another caller's
/// answer.
fn frames(peer: &Peer, id: &str, data: &str, next: &mut u64) -> Result<Vec<Frame>, Fault> {
    if data == DONE {
        return Ok(vec![Frame::Close]);
    }
    let chunk: Chunk = serde_json::from_str(data).map_err(|error| Fault::Invalid {
        peer: peer.name.clone(),
        detail: SmolStr::new(error.to_string()),
    })?;
    if chunk.id.as_ref().is_some_and(|named| named != id) {
        let detail = SmolStr::new_static("an event of another request");
        return Err(Fault::Invalid { peer: peer.name.clone(), detail });
    }
    let mut frames = Vec::with_capacity(2);
    if !chunk.text.is_empty() {
        let index = chunk.offset.unwrap_or(*next);
        *next = index + 1;
        frames.push(Frame::Token { index, text: chunk.text });
    }
    if let Some(reason) = chunk.finish_reason {
        frames.push(Frame::Finish(reason));
    }
    Ok(frames)
}

fn read_events(
    peer: Peer,
    id: SmolStr,
    body: Body,
    first: u64,
) -> impl Stream<Item = Result<Frame, Fault>> + Send {
    let events = BodyDataStream::new(body).eventsource();
    let mut next = first;
    let frames = events.map(move |event| match event {
        Ok(event) => frames(&peer, &id, &event.data, &mut next),
        Err(error) => Err(broken(&peer, error.to_string())),
    });
    frames.map_ok(|frames| futures_util::stream::iter(frames.into_iter().map(Ok))).try_flatten()
}

#[async_trait]
impl Engine for Completions {
    async fn complete(&self, peer: &Peer, completion: &Completion) -> Result<Frames, Failure> {
        let wanted = CompletionRequest {
            model: &completion.model,
            prompt: &completion.prompt,
            max_tokens: completion.max_tokens,
            stream: true,
            priority: completion.priority as u8,
            resume_from: completion.resume_from,
            request_id: &completion.id,
        };
        let body = serde_json::to_vec(&wanted).expect("a completion is JSON");
        let sent = self.send(peer, Method::POST, "/v1/completions", Bytes::from(body));
        let stalled = || broken(peer, format!("no sign of life within {:?}", self.stall_timeout));
        let response = match tokio::time::timeout(self.stall_timeout, sent).await {
            Ok(response) => response.map_err(|fault| Failure { fault, leaving: false })?,
            Err(_) => return Err(Failure { fault: stalled(), leaving: false }),
        };
        if !response.status().is_success() {
            return Err(failure(peer, response.status(), response.headers()));
        }
        let events = read_events(
            peer.clone(),
            completion.id.clone(),
            response.into_body(),
            completion.resume_from,
        );
        Ok(events.boxed())
    }

    async fn load(&self, peer: &Peer) -> Result<Report, Fault> {
        self.query(peer, "/v1/load").await
    }

    async fn condition(&self, peer: &Peer) -> Result<EngineStatus, Fault> {
        self.query(peer, "/v1/condition").await
    }

    async fn order(&self, peer: &Peer, order: &Order) -> Answer {
        let body = serde_json::to_vec(order).expect("an order is JSON");
        let sent = self.send(peer, Method::POST, "/v1/orders", Bytes::from(body));
        match tokio::time::timeout(QUERY_TIMEOUT, sent).await {
            Ok(Ok(response)) if response.status().is_success() => Answer::Accepted,
            Ok(Ok(response)) if response.status() == StatusCode::CONFLICT => Answer::Fenced,
            _ => Answer::Lost,
        }
    }
}
