//! The completion and chat completion endpoints, in the usual format of language model APIs.

use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};

use bytes::Bytes;
use dropshot::{Body, HttpError, RequestContext, endpoint};
use futures_util::{StreamExt as _, stream};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use http_body_util::StreamBody;
use hyper::body::Frame;
use sardinepick_lib::config::object::Form;
use sardinepick_lib::hash::stable_hash;
use sardinepick_lib::id::Name;
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};
use tokio_stream::wrappers::ReceiverStream;

use super::body::RequestBody;
use super::error::ApiError;
use super::{Context, HandlerResult, account};
use crate::completion::{self, CompletionRequest, PartReceiver, ResponsePart};
use crate::node::Node;

/// The header with the client's deadline in milliseconds.
pub const DEADLINE_HEADER: &str = "x-sardinepick-deadline-ms";
/// The header with the client's ID for its request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// The token limit of requests that set none.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// The largest token limit that a request may set.
const MAX_TOKENS_LIMIT: u32 = 1 << 20;
/// The maximum length of a request ID in bytes.
const MAX_ID_LEN: usize = 128;

/// The body of a completion request.
#[derive(Debug, Deserialize)]
struct CompletionBody {
    model: String,
    prompt: String,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

/// The body of a chat completion request.
#[derive(Debug, Deserialize)]
struct ChatBody {
    model: String,
    messages: Vec<ChatMessage>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug, Deserialize)]
struct ChatMessage {
    role: String,
    content: String,
}

/// The format of a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ResponseFormat {
    Completion,
    Chat,
}

/// A parsed request of either format.
struct ParsedRequest {
    format: ResponseFormat,
    model: String,
    prompt: String,
    max_tokens: Option<u32>,
    stream: bool,
}

/// Handles a completion request.
pub async fn create_completion(node: &Arc<Node>, request: Request<RequestBody>) -> Response<Body> {
    let read = |bytes: &[u8]| {
        let body: CompletionBody = parse(bytes)?;
        Ok(ParsedRequest {
            format: ResponseFormat::Completion,
            model: body.model,
            prompt: body.prompt,
            max_tokens: body.max_tokens,
            stream: body.stream,
        })
    };
    handle(node, request, read).await
}

/// Handles a chat completion request.
pub async fn create_chat_completion(
    node: &Arc<Node>,
    request: Request<RequestBody>,
) -> Response<Body> {
    let read = |bytes: &[u8]| {
        let body: ChatBody = parse(bytes)?;
        if body.messages.is_empty() {
            return Err(ApiError::bad_request("messages", "messages must not be empty"));
        }
        let lines = body.messages.iter().map(|m| format!("{}: {}\n", m.role, m.content));
        Ok(ParsedRequest {
            format: ResponseFormat::Chat,
            model: body.model,
            prompt: lines.collect(),
            max_tokens: body.max_completion_tokens.or(body.max_tokens),
            stream: body.stream,
        })
    };
    handle(node, request, read).await
}

#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelEntry>,
}

#[derive(Serialize)]
struct ModelEntry {
    id: String,
    object: &'static str,
    owned_by: &'static str,
}

/// Lists the model services.
#[endpoint { method = GET, path = "/v1/models" }]
pub async fn list_models(context: RequestContext<Context>) -> HandlerResult {
    let snapshot = context.context().config.load_full();
    if let Err(error) = account::authenticate(&snapshot, context.request.headers()) {
        return Ok(error.response());
    }
    let models = snapshot.services().filter(|s| s.form == Form::Model);
    let entry =
        |name: &Name| ModelEntry { id: name.to_string(), object: "model", owned_by: "sardinepick" };
    let list = ModelList { object: "list", data: models.map(|s| entry(&s.name)).collect() };
    Ok(json(serde_json::to_vec(&list).map_err(|e| HttpError::for_internal_error(e.to_string()))?))
}

fn json(bytes: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Body::from(bytes.into()));
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

fn parse<T: for<'de> Deserialize<'de>>(bytes: &[u8]) -> Result<T, ApiError> {
    serde_json::from_slice(bytes)
        .map_err(|error| ApiError::bad_request("", format!("the body: {error}")))
}

async fn handle(
    node: &Arc<Node>,
    request: Request<RequestBody>,
    read: impl Fn(&[u8]) -> Result<ParsedRequest, ApiError>,
) -> Response<Body> {
    match try_handle(node, request, read).await {
        Ok(response) => response,
        Err(error) => error.response(),
    }
}

async fn try_handle(
    node: &Arc<Node>,
    request: Request<RequestBody>,
    read: impl Fn(&[u8]) -> Result<ParsedRequest, ApiError>,
) -> Result<Response<Body>, ApiError> {
    let snapshot = node.config.load_full();
    let (head, content) = request.into_parts();
    let account = account::authenticate(&snapshot, &head.headers)?;
    let settings = &node.settings;
    let bytes = node.bodies.read(content, settings.max_body, settings.body_timeout).await?;
    let parsed = read(&bytes)?;
    let service: Name = parsed.model.parse().map_err(|_| {
        ApiError::not_found("model", format!("there is no model {:?}", parsed.model))
    })?;
    let known = snapshot.service(&service).is_some_and(|s| s.form == Form::Model);
    if !known {
        return Err(ApiError::not_found("model", format!("there is no model {service}")));
    }
    if parsed.prompt.is_empty() {
        return Err(ApiError::bad_request("prompt", "the prompt must not be empty"));
    }
    let max_tokens = parsed.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    if max_tokens == 0 || max_tokens > MAX_TOKENS_LIMIT {
        let message = format!("max_tokens must be from 1 to {MAX_TOKENS_LIMIT}, not {max_tokens}");
        return Err(ApiError::bad_request("max_tokens", message));
    }
    let id = request_id(node, &head.headers)?;
    let request = CompletionRequest {
        service: service.clone(),
        prompt: SmolStr::new(&parsed.prompt),
        max_tokens,
        deadline: requested_deadline(&head.headers)?,
        id: id.clone(),
    };
    let (first, parts) = completion::start(node, snapshot, &account, request)
        .await
        .map_err(|error| ApiError::from(&error))?;
    let since_epoch = node.clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
    let writer = ResponseWriter {
        format: parsed.format,
        id,
        model: service,
        created: since_epoch.as_secs(),
    };
    if parsed.stream {
        Ok(writer.stream(first, parts))
    } else {
        writer.collect(first, parts, &parsed.prompt).await
    }
}

/// Returns the deadline that the client set for a request.
///
/// # Errors
/// The header is not a positive whole number of milliseconds.
pub fn requested_deadline(headers: &HeaderMap) -> Result<Option<Duration>, ApiError> {
    let Some(value) = headers.get(DEADLINE_HEADER) else { return Ok(None) };
    let millis = value.to_str().ok().and_then(|v| v.parse().ok()).filter(|ms| *ms > 0);
    match millis {
        Some(millis) => Ok(Some(Duration::from_millis(millis))),
        None => Err(ApiError::bad_request(
            DEADLINE_HEADER,
            "the deadline is a whole number of milliseconds",
        )),
    }
}

/// Returns the client's ID for a request, or a generated one.
///
/// # Errors
/// The ID is empty, too long or not text.
pub fn request_id(node: &Node, headers: &HeaderMap) -> Result<SmolStr, ApiError> {
    let Some(value) = headers.get(REQUEST_ID_HEADER) else {
        let number = node.next_request_id();
        let tag = stable_hash(node.incarnation.0, node.settings.name.as_str().as_bytes());
        return Ok(format_smolstr!("req-{tag:016x}-{number}"));
    };
    match value.to_str() {
        Ok(text) if !text.is_empty() && text.len() <= MAX_ID_LEN => Ok(SmolStr::new(text)),
        _ => Err(ApiError::bad_request(
            REQUEST_ID_HEADER,
            format!("a request id is text of 1 to {MAX_ID_LEN} bytes"),
        )),
    }
}

/// Encodes responses in one of the formats.
#[derive(Clone)]
struct ResponseWriter {
    format: ResponseFormat,
    id: SmolStr,
    model: Name,
    created: u64,
}

#[derive(Serialize)]
struct Event<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Delta<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Message<'a>>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct Delta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

#[derive(Serialize)]
struct Message<'a> {
    role: &'static str,
    content: &'a str,
}

#[derive(Serialize)]
struct Usage {
    prompt_tokens: u64,
    completion_tokens: u64,
    total_tokens: u64,
}

/// The estimated size of a token in a prompt, for the reported usage.
const BYTES_PER_TOKEN: usize = 4;

impl ResponseWriter {
    fn encode_event(&self, text: &str, finish_reason: Option<&str>) -> Bytes {
        let mut choice = Choice { index: 0, text: None, delta: None, message: None, finish_reason };
        let object = match self.format {
            ResponseFormat::Completion => {
                choice.text = Some(text);
                "text_completion"
            }
            ResponseFormat::Chat => {
                let content = (!text.is_empty()).then_some(text);
                choice.delta = Some(Delta { content });
                "chat.completion.chunk"
            }
        };
        let event = Event {
            id: &self.id,
            object,
            created: self.created,
            model: self.model.as_str(),
            choices: [choice],
            usage: None,
        };
        let mut line = Vec::with_capacity(EVENT_CAPACITY);
        line.extend_from_slice(b"data: ");
        serde_json::to_writer(&mut line, &event).expect("events serialize to JSON");
        line.extend_from_slice(b"\n\n");
        Bytes::from(line)
    }

    fn encode_part(&self, part: ResponsePart) -> Bytes {
        match part {
            ResponsePart::Token(text) => self.encode_event(&text, None),
            ResponsePart::Close(reason) => {
                let mut last = self.encode_event("", Some(&reason)).to_vec();
                last.extend_from_slice(b"data: [DONE]\n\n");
                Bytes::from(last)
            }
            // The status has already been sent, so the error is sent as an event. The stream then
            // ends without its closing event, so that no client takes it for a complete response.
            ResponsePart::Failed(error) => {
                let error = ApiError::from(error.as_ref());
                Bytes::from(format!("event: error\ndata: {}\n\n", error.json()))
            }
        }
    }

    fn stream(self, first: ResponsePart, parts: PartReceiver) -> Response<Body> {
        let id = self.id.clone();
        let all = stream::once(std::future::ready(first)).chain(ReceiverStream::new(parts));
        let frames = all.map(move |part| {
            Ok::<_, std::convert::Infallible>(Frame::data(self.encode_part(part)))
        });
        let mut response = Response::new(Body::wrap(StreamBody::new(SyncStream::new(frames))));
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
        set_request_id(headers, &id);
        response
    }

    async fn collect(
        self,
        first: ResponsePart,
        mut parts: PartReceiver,
        prompt: &str,
    ) -> Result<Response<Body>, ApiError> {
        let mut text = String::new();
        let mut tokens = 0;
        let mut next = Some(first);
        loop {
            match next {
                Some(ResponsePart::Token(token)) => {
                    text.push_str(&token);
                    tokens += 1;
                }
                Some(ResponsePart::Close(reason)) => {
                    return Ok(self.complete_response(&text, &reason, tokens, prompt));
                }
                Some(ResponsePart::Failed(error)) => return Err(ApiError::from(error.as_ref())),
                None => {
                    return Err(ApiError {
                        status: StatusCode::BAD_GATEWAY,
                        run: sardinepick_lib::outcome::Run::Unknown,
                        ..ApiError::bad_request("", "the answer broke off")
                    });
                }
            }
            next = parts.recv().await;
        }
    }

    fn complete_response(
        &self,
        text: &str,
        reason: &str,
        tokens: u64,
        prompt: &str,
    ) -> Response<Body> {
        let prompt_tokens = prompt.len().div_ceil(BYTES_PER_TOKEN) as u64;
        let usage = Usage {
            prompt_tokens,
            completion_tokens: tokens,
            total_tokens: prompt_tokens + tokens,
        };
        let finish_reason = Some(reason);
        let mut choice = Choice { index: 0, text: None, delta: None, message: None, finish_reason };
        let object = match self.format {
            ResponseFormat::Completion => {
                choice.text = Some(text);
                "text_completion"
            }
            ResponseFormat::Chat => {
                choice.message = Some(Message { role: "assistant", content: text });
                "chat.completion"
            }
        };
        let event = Event {
            id: &self.id,
            object,
            created: self.created,
            model: self.model.as_str(),
            choices: [choice],
            usage: Some(usage),
        };
        let mut response = json(serde_json::to_vec(&event).expect("responses serialize to JSON"));
        set_request_id(response.headers_mut(), &self.id);
        response
    }
}

/// The initial capacity of an event's buffer in bytes.
const EVENT_CAPACITY: usize = 256;

fn set_request_id(headers: &mut HeaderMap, id: &str) {
    if let Ok(value) = HeaderValue::from_str(id) {
        headers.insert(REQUEST_ID_HEADER, value);
    }
}

/// Makes a stream `Sync`, as dropshot's bodies must be, by never handing out a shared reference to
/// it.
struct SyncStream<S>(std::sync::Mutex<S>);

impl<S> SyncStream<S> {
    fn new(stream: S) -> Self {
        Self(std::sync::Mutex::new(stream))
    }
}

impl<S: futures_util::Stream + Unpin> futures_util::Stream for SyncStream<S> {
    type Item = S::Item;

    fn poll_next(
        self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<S::Item>> {
        let stream = self.get_mut().0.get_mut().expect("stream lock poisoned");
        stream.poll_next_unpin(cx)
    }
}
