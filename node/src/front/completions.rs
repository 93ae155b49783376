//! Completions and chat completions, in the form that clients of language models speak.

use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};

use bytes::Bytes;
use dropshot::{Body, HttpError, RequestContext, endpoint};
use futures_util::{StreamExt as _, stream};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use http_body_util::StreamBody;
use hyper::body::{Frame, Incoming};
use sardinepick_lib::config::object::Form;
use sardinepick_lib::hash::stable_hash;
use sardinepick_lib::id::Name;
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};
use tokio_stream::wrappers::ReceiverStream;

use super::fault::Fault;
use super::{Answer, Context, account, body};
use crate::node::Node;
use crate::path::{self, Part, Parts, Wanted};

/// The header with the time that a caller gives, in milliseconds.
pub const DEADLINE_MS: &str = "x-sardinepick-deadline-ms";
/// The header with a caller's name for its request.
pub const REQUEST_ID: &str = "x-request-id";

/// How many tokens are made where the caller does not say.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// The most tokens that may be asked for.
const MOST_TOKENS: u32 = 1 << 20;
/// The longest name of a request, in bytes.
const MAX_ID: usize = 128;

/// A completion as it is asked for.
#[derive(Debug, Deserialize)]
struct CompletionBody {
    model: String,
    prompt: String,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

/// A chat completion as it is asked for.
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

/// Which of the two forms an answer has.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Shape {
    Completion,
    Chat,
}

/// A request of either form.
struct Asked {
    shape: Shape,
    model: String,
    prompt: String,
    max_tokens: Option<u32>,
    stream: bool,
}

/// Makes a completion.
pub async fn create_completion(node: &Arc<Node>, request: Request<Incoming>) -> Response<Body> {
    let read = |bytes: &[u8]| {
        let body: CompletionBody = parse(bytes)?;
        Ok(Asked {
            shape: Shape::Completion,
            model: body.model,
            prompt: body.prompt,
            max_tokens: body.max_tokens,
            stream: body.stream,
        })
    };
    respond(node, request, read).await
}

/// Makes a chat completion.
pub async fn create_chat_completion(
    node: &Arc<Node>,
    request: Request<Incoming>,
) -> Response<Body> {
    let read = |bytes: &[u8]| {
        let body: ChatBody = parse(bytes)?;
        if body.messages.is_empty() {
            return Err(Fault::bad("messages", "messages must not be empty"));
        }
        let lines = body.messages.iter().map(|m| format!("{}: {}\n", m.role, m.content));
        Ok(Asked {
            shape: Shape::Chat,
            model: body.model,
            prompt: lines.collect(),
            max_tokens: body.max_completion_tokens.or(body.max_tokens),
            stream: body.stream,
        })
    };
    respond(node, request, read).await
}

#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelLine>,
}

#[derive(Serialize)]
struct ModelLine {
    id: String,
    object: &'static str,
    owned_by: &'static str,
}

/// Lists the model services.
#[endpoint { method = GET, path = "/v1/models" }]
pub async fn list_models(context: RequestContext<Context>) -> Answer {
    let snapshot = context.context().config.load_full();
    if let Err(fault) = account::of(&snapshot, context.request.headers()) {
        return Ok(fault.answer());
    }
    let models = snapshot.services().filter(|s| s.form == Form::Model);
    let line =
        |name: &Name| ModelLine { id: name.to_string(), object: "model", owned_by: "sardinepick" };
    let list = ModelList { object: "list", data: models.map(|s| line(&s.name)).collect() };
    Ok(json(serde_json::to_vec(&list).map_err(|e| HttpError::for_internal_error(e.to_string()))?))
}

fn json(bytes: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Body::from(bytes.into()));
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

fn parse<T: for<'de> Deserialize<'de>>(bytes: &[u8]) -> Result<T, Fault> {
    serde_json::from_slice(bytes).map_err(|error| Fault::bad("", format!("the body: {error}")))
}

async fn respond(
    node: &Arc<Node>,
    request: Request<Incoming>,
    read: impl Fn(&[u8]) -> Result<Asked, Fault>,
) -> Response<Body> {
    match try_respond(node, request, read).await {
        Ok(response) => response,
        Err(fault) => fault.answer(),
    }
}

async fn try_respond(
    node: &Arc<Node>,
    request: Request<Incoming>,
    read: impl Fn(&[u8]) -> Result<Asked, Fault>,
) -> Result<Response<Body>, Fault> {
    let snapshot = node.config.load_full();
    let (head, content) = request.into_parts();
    let account = account::of(&snapshot, &head.headers)?;
    let settings = &node.settings;
    let bytes = body::read(content, settings.max_body, settings.body_timeout).await?;
    let asked = read(&bytes)?;
    let service: Name = asked
        .model
        .parse()
        .map_err(|_| Fault::missing("model", format!("there is no model {:?}", asked.model)))?;
    let known = snapshot.service(&service).is_some_and(|s| s.form == Form::Model);
    if !known {
        return Err(Fault::missing("model", format!("there is no model {service}")));
    }
    if asked.prompt.is_empty() {
        return Err(Fault::bad("prompt", "the prompt must not be empty"));
    }
    let max_tokens = asked.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    if max_tokens == 0 || max_tokens > MOST_TOKENS {
        let message = format!("max_tokens must be from 1 to {MOST_TOKENS}, not {max_tokens}");
        return Err(Fault::bad("max_tokens", message));
    }
    let id = request_id(node, &head.headers)?;
    let wanted = Wanted {
        service: service.clone(),
        prompt: SmolStr::new(&asked.prompt),
        max_tokens,
        deadline: deadline(&head.headers)?,
        id: id.clone(),
    };
    let (first, parts) = path::start(node, snapshot, &account, wanted)
        .await
        .map_err(|denied| Fault::from(&denied))?;
    let since = node.clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
    let writer = Writer { shape: asked.shape, id, model: service, created: since.as_secs() };
    if asked.stream {
        Ok(writer.stream(first, parts))
    } else {
        writer.whole(first, parts, &asked.prompt).await
    }
}

/// The time that a caller gives for a request.
///
/// # Errors
/// The header is not a number of milliseconds.
pub fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, Fault> {
    let Some(value) = headers.get(DEADLINE_MS) else { return Ok(None) };
    let millis = value.to_str().ok().and_then(|v| v.parse().ok()).filter(|ms| *ms > 0);
    match millis {
        Some(millis) => Ok(Some(Duration::from_millis(millis))),
        None => Err(Fault::bad(DEADLINE_MS, "the deadline is a whole number of milliseconds")),
    }
}

/// The caller's name for a request, or one of our making.
///
/// # Errors
/// The name is too long or not text.
pub fn request_id(node: &Node, headers: &HeaderMap) -> Result<SmolStr, Fault> {
    let Some(value) = headers.get(REQUEST_ID) else {
        let number = node.next_request();
        let tag = stable_hash(node.incarnation.0, node.settings.name.as_str().as_bytes());
        return Ok(format_smolstr!("req-{tag:016x}-{number}"));
    };
    match value.to_str() {
        Ok(text) if !text.is_empty() && text.len() <= MAX_ID => Ok(SmolStr::new(text)),
        _ => Err(Fault::bad(REQUEST_ID, format!("a request id is text of 1 to {MAX_ID} bytes"))),
    }
}

/// Writes answers in one of the two forms.
#[derive(Clone)]
struct Writer {
    shape: Shape,
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

/// The bytes of a prompt that are taken for one token in the usage that is reported.
const BYTES_PER_TOKEN: usize = 4;

impl Writer {
    fn event(&self, text: &str, finish_reason: Option<&str>) -> Bytes {
        let mut choice = Choice { index: 0, text: None, delta: None, message: None, finish_reason };
        let object = match self.shape {
            Shape::Completion => {
                choice.text = Some(text);
                "text_completion"
            }
            Shape::Chat => {
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
        let mut line = Vec::with_capacity(EVENT_SIZE);
        line.extend_from_slice(b"data: ");
        serde_json::to_writer(&mut line, &event).expect("an event is JSON");
        line.extend_from_slice(b"\n\n");
        Bytes::from(line)
    }

    fn part(&self, part: Part) -> Bytes {
        match part {
            Part::Token(text) => self.event(&text, None),
            Part::Close(reason) => {
                let mut last = self.event("", Some(&reason)).to_vec();
                last.extend_from_slice(b"data: [DONE]\n\n");
                Bytes::from(last)
            }
            // The status has been sent, so the error goes into the stream, which then ends without
            // its closing event: no client can take it for a short success.
            Part::Denied(denied) => {
                let fault = Fault::from(denied.as_ref());
                Bytes::from(format!("event: error\ndata: {}\n\n", fault.json()))
            }
        }
    }

    fn stream(self, first: Part, parts: Parts) -> Response<Body> {
        let id = self.id.clone();
        let all = stream::once(std::future::ready(first)).chain(ReceiverStream::new(parts));
        let frames =
            all.map(move |part| Ok::<_, std::convert::Infallible>(Frame::data(self.part(part))));
        let mut response = Response::new(Body::wrap(StreamBody::new(SyncStream::new(frames))));
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
        put_id(headers, &id);
        response
    }

    async fn whole(
        self,
        first: Part,
        mut parts: Parts,
        prompt: &str,
    ) -> Result<Response<Body>, Fault> {
        let mut text = String::new();
        let mut tokens = 0;
        let mut next = Some(first);
        loop {
            match next {
                Some(Part::Token(token)) => {
                    text.push_str(&token);
                    tokens += 1;
                }
                Some(Part::Close(reason)) => {
                    return Ok(self.finish(&text, &reason, tokens, prompt));
                }
                Some(Part::Denied(denied)) => return Err(Fault::from(denied.as_ref())),
                None => {
                    return Err(Fault {
                        status: StatusCode::BAD_GATEWAY,
                        run: sardinepick_lib::outcome::Run::Unknown,
                        ..Fault::bad("", "the answer broke off")
                    });
                }
            }
            next = parts.recv().await;
        }
    }

    fn finish(&self, text: &str, reason: &str, tokens: u64, prompt: &str) -> Response<Body> {
        let prompt_tokens = prompt.len().div_ceil(BYTES_PER_TOKEN) as u64;
        let usage = Usage {
            prompt_tokens,
            completion_tokens: tokens,
            total_tokens: prompt_tokens + tokens,
        };
        let finish_reason = Some(reason);
        let mut choice = Choice { index: 0, text: None, delta: None, message: None, finish_reason };
        let object = match self.shape {
            Shape::Completion => {
                choice.text = Some(text);
                "text_completion"
            }
            Shape::Chat => {
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
        let mut response = json(serde_json::to_vec(&event).expect("an answer is JSON"));
        put_id(response.headers_mut(), &self.id);
        response
    }
}

/// The room that is set aside for one event, in bytes.
const EVENT_SIZE: usize = 256;

fn put_id(headers: &mut HeaderMap, id: &str) {
    if let Ok(value) = HeaderValue::from_str(id) {
        headers.insert(REQUEST_ID, value);
    }
}

/// Makes a stream shareable between threads, as dropshot's bodies must be, by never giving out a
/// shared reference to it.
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
        let stream = self.get_mut().0.get_mut().expect("no holder of the stream's lock panics");
        stream.poll_next_unpin(cx)
    }
}
