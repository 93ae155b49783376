//! A fake model engine with continuous batching. Its output is a deterministic function of the prompt,
//! and it supports fault injection.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt as _;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use sardinepick_lib::config::object::Role;
use sardinepick_lib::hash::stable_hash;
use sardinepick_lib::id::Epoch;
use sardinepick_lib::order::{EngineStatus, Id, Order};
use sardinepick_lib::runner::Report;
use sardinepick_lib::unit::{TokenRate, Tokens};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

use crate::server::{Aborted, Body, Server, json_response, read_body, text_response};

/// The speed of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    /// Prompt tokens per second.
    pub prefill: u32,
    /// Output tokens per second of one request.
    pub decode: u32,
    /// The duration of a role change.
    pub role_change_time: Duration,
}

impl Default for Speed {
    fn default() -> Self {
        Self { prefill: 20_000, decode: 400, role_change_time: Duration::from_millis(300) }
    }
}

/// The faults of an engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Accepts connections, but does not answer.
    pub hang: bool,
    /// Aborts streams after this many tokens.
    pub abort_after: Option<u64>,
    /// Ends streams without the closing frame after this many tokens.
    pub end_after: Option<u64>,
    /// Refuses new requests as a leaving runner does.
    pub leaving: bool,
    /// Refuses new requests with the statement that they were not run.
    pub refuse: bool,
    /// Answers with the output of another request.
    pub answer_other_request: bool,
    /// Carries out orders, but aborts the connection before it answers them.
    pub drop_order_responses: bool,
    /// Ignores fencing tokens.
    pub ignore_fencing: bool,
}

/// A completion request of the published protocol, with the extensions that engines offer.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Completion {
    /// The model.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// The number of output tokens.
    pub max_tokens: u64,
    /// Whether to stream the output.
    pub stream: bool,
    /// The index of the token to resume from.
    pub resume_from: u64,
    /// The caller's request id.
    pub request_id: String,
}

#[derive(Debug)]
struct Inner {
    role: Role,
    changing: bool,
    last_order: Option<Id>,
    completed_orders: HashSet<Id>,
    fence: Epoch,
    running: u32,
    backlog: u64,
    faults: Faults,
    start_counts: HashMap<String, u32>,
    orders: Vec<Order>,
    conflicts: u32,
    tokens: u64,
}

/// A fake engine.
#[derive(Debug)]
pub struct Engine {
    inner: Arc<Mutex<Inner>>,
    server: Server,
}

/// Token `index` of the output for `prompt`.
pub fn token(prompt: &str, index: u64) -> String {
    let hash = stable_hash(index, prompt.as_bytes());
    format!(" t{:x}", hash & 0xffff)
}

/// The whole output for `prompt`.
pub fn expected_output(prompt: &str, tokens: u64) -> String {
    (0..tokens).map(|index| token(prompt, index)).collect()
}

/// An estimate of a prompt's token count, as the fake engines use it.
pub fn prompt_tokens(prompt: &str) -> u64 {
    prompt.len().div_ceil(4) as u64
}

impl Engine {
    /// Starts an engine.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn start(address: SocketAddr, role: Role, speed: Speed) -> std::io::Result<Self> {
        let inner = Arc::new(Mutex::new(Inner {
            role,
            changing: false,
            last_order: None,
            completed_orders: HashSet::new(),
            fence: Epoch(0),
            running: 0,
            backlog: 0,
            faults: Faults::default(),
            start_counts: HashMap::new(),
            orders: Vec::new(),
            conflicts: 0,
            tokens: 0,
        }));
        let state = inner.clone();
        let server =
            Server::start(address, move |request| handle(state.clone(), speed, request)).await?;
        Ok(Self { inner, server })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Aborts all connections and stops listening, as a killed process does.
    pub fn kill(&self) {
        self.server.stop();
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.inner.lock().expect("engine lock").faults = faults;
    }

    /// How often the request with this id was started from its first token.
    pub fn start_count(&self, request_id: &str) -> u32 {
        let inner = self.inner.lock().expect("engine lock");
        inner.start_counts.get(request_id).copied().unwrap_or(0)
    }

    /// The number of requests in flight.
    pub fn running(&self) -> u32 {
        self.inner.lock().expect("engine lock").running
    }

    /// The accepted orders, in order of arrival.
    pub fn orders(&self) -> Vec<Order> {
        self.inner.lock().expect("engine lock").orders.clone()
    }

    /// The number of orders that were carried out although another role change was in progress or a
    /// higher fencing token had been accepted.
    pub fn conflicts(&self) -> u32 {
        self.inner.lock().expect("engine lock").conflicts
    }

    /// The current role.
    pub fn role(&self) -> Role {
        self.inner.lock().expect("engine lock").role
    }

    /// The number of output tokens generated so far.
    pub fn tokens(&self) -> u64 {
        self.inner.lock().expect("engine lock").tokens
    }
}

type State = Arc<Mutex<Inner>>;

async fn handle(
    state: State,
    speed: Speed,
    request: Request<Incoming>,
) -> Result<Response<Body>, Aborted> {
    if state.lock().expect("engine lock").faults.hang {
        std::future::pending::<()>().await;
    }
    let (parts, body) = request.into_parts();
    let body = read_body(body).await?;
    match parts.uri.path() {
        "/v1/completions" => complete(state, speed, &body).await,
        "/v1/load" => Ok(json_response(StatusCode::OK, &report(&state, speed))),
        "/v1/condition" => Ok(json_response(StatusCode::OK, &condition(&state))),
        "/v1/orders" => order(&state, speed, &body),
        _ => Ok(text_response(StatusCode::NOT_FOUND, "unknown path")),
    }
}

fn report(state: &State, speed: Speed) -> Report {
    let inner = state.lock().expect("engine lock");
    Report {
        running: inner.running,
        waiting: 0,
        backlog: Tokens(inner.backlog as u32),
        prefill_rate: TokenRate(speed.prefill),
        decode_rate: TokenRate(speed.decode),
        role: inner.role,
        leaving: inner.faults.leaving,
    }
}

fn condition(state: &State) -> EngineStatus {
    let inner = state.lock().expect("engine lock");
    EngineStatus {
        role: inner.role,
        changing: inner.changing,
        last: inner.last_order.clone(),
        fence: inner.fence,
    }
}

fn order(state: &State, speed: Speed, body: &[u8]) -> Result<Response<Body>, Aborted> {
    let Ok(order) = serde_json::from_slice::<Order>(body) else {
        return Ok(text_response(StatusCode::BAD_REQUEST, "malformed order"));
    };
    let mut inner = state.lock().expect("engine lock");
    let stale = order.epoch < inner.fence;
    if stale && !inner.faults.ignore_fencing {
        return Ok(text_response(StatusCode::CONFLICT, "stale fencing token"));
    }
    if !inner.completed_orders.contains(&order.id) {
        if stale || inner.changing {
            inner.conflicts += 1;
        }
        inner.fence = inner.fence.max(order.epoch);
        inner.completed_orders.insert(order.id.clone());
        inner.last_order = Some(order.id.clone());
        inner.role = order.role;
        inner.changing = true;
        inner.orders.push(order);
        let state = state.clone();
        tokio::spawn(async move {
            tokio::time::sleep(speed.role_change_time).await;
            state.lock().expect("engine lock").changing = false;
        });
    } else {
        inner.fence = inner.fence.max(order.epoch);
    }
    if inner.faults.drop_order_responses {
        return Err(Aborted);
    }
    Ok(text_response(StatusCode::OK, "accepted"))
}

/// Counts a request as in flight until it is dropped.
struct Running(State);

impl Running {
    fn new(state: &State) -> Self {
        state.lock().expect("engine lock").running += 1;
        Self(state.clone())
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.lock().expect("engine lock").running -= 1;
    }
}

fn refusal_not_run(detail: &'static str, leaving: bool) -> Response<Body> {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, detail);
    response.headers_mut().insert("x-not-run", HeaderValue::from_static("true"));
    if leaving {
        response.headers_mut().insert("x-leaving", HeaderValue::from_static("true"));
    }
    response
}

async fn complete(state: State, speed: Speed, body: &[u8]) -> Result<Response<Body>, Aborted> {
    let Ok(completion) = serde_json::from_slice::<Completion>(body) else {
        return Ok(text_response(StatusCode::BAD_REQUEST, "malformed completion request"));
    };
    let faults = {
        let mut inner = state.lock().expect("engine lock");
        let faults = inner.faults;
        if faults.leaving {
            return Ok(refusal_not_run("leaving", true));
        }
        if faults.refuse || inner.changing {
            return Ok(refusal_not_run("busy", false));
        }
        if completion.resume_from == 0 {
            *inner.start_counts.entry(completion.request_id.clone()).or_default() += 1;
        }
        inner.backlog += prompt_tokens(&completion.prompt);
        faults
    };
    let running = Running::new(&state);
    let work = prompt_tokens(&completion.prompt);
    let wait = work as f64 / f64::from(speed.prefill);
    tokio::time::sleep(Duration::from_secs_f64(wait)).await;
    {
        let mut inner = state.lock().expect("engine lock");
        inner.backlog = inner.backlog.saturating_sub(work);
    }
    let (sender, receiver) = mpsc::channel(16);
    tokio::spawn(stream(state, speed, completion, faults, sender, running));
    let frames = ReceiverStream::new(receiver).map(|r| r.map(Frame::data));
    let mut response = Response::new(BodyExt::boxed(StreamBody::new(frames)));
    let content_type = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(http::header::CONTENT_TYPE, content_type);
    Ok(response)
}

async fn stream(
    state: State,
    speed: Speed,
    completion: Completion,
    faults: Faults,
    sender: mpsc::Sender<Result<Bytes, Aborted>>,
    _running: Running,
) {
    let pause = Duration::from_secs_f64(1.0 / f64::from(speed.decode));
    let prompt = if faults.answer_other_request { "another prompt" } else { &completion.prompt };
    let id = if faults.answer_other_request { "another request" } else { &completion.request_id };
    for index in completion.resume_from..completion.max_tokens {
        let generated = index - completion.resume_from;
        // A role change aborts the requests in flight.
        let role_changing = state.lock().expect("engine lock").changing;
        if role_changing || faults.abort_after == Some(generated) {
            let _ = sender.send(Err(Aborted)).await;
            return;
        }
        if faults.end_after == Some(generated) {
            return;
        }
        let text = token(prompt, index);
        let event = serde_json::json!({
            "id": id,
            "object": "text_completion",
            "choices": [{"index": 0, "text": text, "offset": index, "finish_reason": null}],
        });
        state.lock().expect("engine lock").tokens += 1;
        if sender.send(Ok(Bytes::from(format!("data: {event}\n\n")))).await.is_err() {
            return;
        }
        if !pause.is_zero() && speed.decode < UNPACED_DECODE_RATE {
            tokio::time::sleep(pause).await;
        }
    }
    let event = serde_json::json!({
        "id": id,
        "object": "text_completion",
        "choices": [{"index": 0, "text": "", "finish_reason": "length"}],
    });
    let _ = sender.send(Ok(Bytes::from(format!("data: {event}\n\n")))).await;
    let _ = sender.send(Ok(Bytes::from_static(b"data: [DONE]\n\n"))).await;
}

/// From this many tokens per second on, tokens are generated without pauses, for measuring others.
const UNPACED_DECODE_RATE: u32 = 100_000;
