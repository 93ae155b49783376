//! Request handling of a fake runner.

use std::future::pending;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::stream;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::Incoming;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use super::event::events;
use super::{Inner, Kind, Order, ReceivedRequest, Trigger, lock, wait_while_silent};
use crate::server::{Aborted, Body, full_body, json_response, read_body, text_response};

/// The request handler of a runner.
pub(super) struct Handler {
    pub(super) id: String,
    pub(super) kind: Kind,
    pub(super) inner: Arc<Mutex<Inner>>,
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name).and_then(|v| v.to_str().ok()).map(str::to_owned)
}

/// Answers a request and adds the runner's signals to the response.
pub(super) async fn handle(
    handler: Arc<Handler>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Aborted> {
    wait_while_silent(&handler.inner).await;
    let response = respond(handler.clone(), request).await;
    wait_while_silent(&handler.inner).await;
    let mut response = response?;
    lock(&handler.inner).signals.add_to(&mut response);
    Ok(response)
}

async fn respond(
    handler: Arc<Handler>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Aborted> {
    let (head, body) = request.into_parts();
    let body = read_body(body).await?;
    if let Some(expected) = text(&head.headers, "expect-instance")
        && expected != handler.id
    {
        return Ok(with_instance(text_response(StatusCode::MISDIRECTED_REQUEST, ""), &handler.id));
    }
    match (&head.method, head.uri.path()) {
        (&Method::GET, "/api/report") => return Ok(handler.report()),
        (&Method::GET, "/api/kv-list") => return Ok(handler.list_cached()),
        (&Method::POST, "/api/order") => return handler.order(&body),
        (&Method::DELETE, path) if path.starts_with("/api/kv-handle/") => {
            let name = path.rsplit('/').next().unwrap_or_default().to_owned();
            let mut inner = lock(&handler.inner);
            inner.freed_handles += u64::from(inner.handles.remove(&name));
            return Ok(text_response(StatusCode::OK, ""));
        }
        _ => {}
    }
    let request = ReceivedRequest {
        id: text(&head.headers, "request-id").unwrap_or_default(),
        path: head.uri.path_and_query().map_or_else(String::new, ToString::to_string),
        headers: head.headers,
        body,
        ran: false,
        at: Some(Instant::now()),
    };
    handler.serve(request).await
}

fn with_instance(mut response: Response<Body>, id: &str) -> Response<Body> {
    if let Ok(id) = HeaderValue::from_str(id) {
        response.headers_mut().insert("instance-id", id);
    }
    response
}

/// Counts a request as in flight until it is dropped.
pub(super) struct Running {
    inner: Arc<Mutex<Inner>>,
    id: String,
}

impl Running {
    fn new(inner: &Arc<Mutex<Inner>>, id: &str) -> Self {
        let mut state = lock(inner);
        state.running += 1;
        state.work.insert(id.to_owned(), None);
        Self { inner: inner.clone(), id: id.to_owned() }
    }

    /// Waits while the runner is silent.
    pub(super) async fn wait_while_silent(&self) {
        wait_while_silent(&self.inner).await;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut state = lock(&self.inner);
        state.running -= 1;
        state.work.insert(std::mem::take(&mut self.id), Some(Instant::now()));
    }
}

impl Handler {
    fn report(&self) -> Response<Body> {
        let inner = lock(&self.inner);
        let body = json!({"stage": inner.stage, "models": [], "busy": false, "born": inner.started_at,
            "seq": inner.accepted_orders, "queued": 0, "running": inner.running});
        json_response(StatusCode::OK, &body)
    }

    fn list_cached(&self) -> Response<Body> {
        let inner = lock(&self.inner);
        let held: Vec<_> =
            inner.cached_parts.iter().map(|(id, tokens)| json!(["", id, tokens, "m"])).collect();
        json_response(StatusCode::OK, &json!({"epoch": inner.started_at, "next": 1, "held": held}))
    }

    /// Adds the parts of a request's prompt to the cache.
    fn cache_prompt_parts(&self, request: &ReceivedRequest) {
        let parts = text(&request.headers, "prompt-prefix").unwrap_or_default();
        let parts = parts.split(',').filter_map(|part| part.split_once(':'));
        let parts = parts.filter_map(|(id, tokens)| Some((id.to_owned(), tokens.parse().ok()?)));
        lock(&self.inner).cached_parts.extend(parts);
    }

    fn order(&self, body: &[u8]) -> Result<Response<Body>, Aborted> {
        let order: Value = serde_json::from_slice(body).map_err(|_| Aborted)?;
        let mut inner = lock(&self.inner);
        if order["expected"].as_u64().is_some_and(|expected| expected != inner.accepted_orders) {
            return Ok(text_response(StatusCode::CONFLICT, ""));
        }
        let stage = order["stage"].as_str().unwrap_or_default().to_owned();
        inner.orders.push(Order {
            holder: order["holder"].as_str().unwrap_or_default().to_owned(),
            token: order["fencingToken"].as_u64().unwrap_or_default(),
            stage: stage.clone(),
        });
        inner.accepted_orders += 1;
        inner.stage = Some(stage);
        if inner.faults.drop_order_response {
            return Err(Aborted);
        }
        Ok(text_response(StatusCode::ACCEPTED, ""))
    }

    fn refuse_not_run(&self, mut request: ReceivedRequest, status: StatusCode) -> Response<Body> {
        let mut response = text_response(status, "");
        if let Ok(id) = HeaderValue::from_str(&request.id) {
            response.headers_mut().insert("request-id", id);
        }
        response.headers_mut().insert("not-executed", HeaderValue::from_static("1"));
        request.ran = false;
        lock(&self.inner).received.push(request);
        with_instance(response, &self.id)
    }

    fn sign(&self, response: &mut Response<Body>, id: &str) {
        let signature = format!("{}.{id}", self.id);
        let headers = response.headers_mut();
        for (name, value) in [("request-id", id), ("response-signature", signature.as_str())] {
            if let Ok(value) = HeaderValue::from_str(value) {
                headers.insert(name, value);
            }
        }
    }

    async fn serve(
        self: Arc<Self>,
        mut request: ReceivedRequest,
    ) -> Result<Response<Body>, Aborted> {
        let faults = lock(&self.inner).faults;
        if faults.refuse {
            return Ok(self.refuse_not_run(request, StatusCode::SERVICE_UNAVAILABLE));
        }
        let running = Running::new(&self.inner, &request.id);
        let prefill_only = text(&request.headers, "stage").as_deref() == Some("prefill");
        if faults.hang {
            // Prefill alone does not count as a run, even if it never finishes.
            request.ran = !prefill_only;
            lock(&self.inner).received.push(request);
            sleep(Duration::from_secs(60)).await;
            return Err(Aborted);
        }
        let crashes = !prefill_only && self.crashes(|trigger| trigger.matches(&request));
        if !crashes {
            sleep(faults.response_delay).await;
        }
        if prefill_only {
            if self.crashes(|trigger| trigger.crashes_prefill(&request)) {
                lock(&self.inner).received.push(request);
                lock(&self.inner).crash_triggered.notify_one();
                return pending().await;
            }
            return Ok(self.prefill(request));
        }
        if self.is_prefill() {
            return Ok(self.refuse_not_run(request, StatusCode::MISDIRECTED_REQUEST));
        }
        request.ran = true;
        let (id, from) = (request.id.clone(), text(&request.headers, "last-event-id"));
        lock(&self.inner).received.push(request);
        if crashes {
            return Ok(self.crash(&id).await);
        }
        if faults.drop_response {
            return Err(Aborted);
        }
        let signed_id = if faults.wrong_request_id { "another" } else { id.as_str() };
        if faults.respond_500 {
            let mut response = text_response(StatusCode::INTERNAL_SERVER_ERROR, "failed");
            self.sign(&mut response, signed_id);
            return Ok(response);
        }
        let mut response = if self.kind.stage.is_some() {
            let first = from.and_then(|f| f.parse::<u64>().ok()).map_or(1, |last| last + 1);
            let body = events(first, self.kind.events, self.kind.version, faults, running);
            let mut response = Response::new(body);
            let kind = HeaderValue::from_static("text/event-stream");
            response.headers_mut().insert(header::CONTENT_TYPE, kind);
            response
        } else {
            Response::new(full_body(format!("answer to {id}{}", "x".repeat(faults.padding))))
        };
        self.sign(&mut response, signed_id);
        Ok(response)
    }

    fn crashes(&self, on: impl FnOnce(&Trigger) -> bool) -> bool {
        lock(&self.inner).crash_trigger.as_ref().is_some_and(on)
    }

    /// Reports the crash. A plain service never answers; an engine sends a response head and no events.
    async fn crash(&self, id: &str) -> Response<Body> {
        lock(&self.inner).crash_triggered.notify_one();
        if self.kind.stage.is_none() {
            return pending().await;
        }
        let mut response = Response::new(StreamBody::new(stream::pending()).boxed());
        let kind = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(header::CONTENT_TYPE, kind);
        self.sign(&mut response, id);
        response
    }

    fn is_prefill(&self) -> bool {
        lock(&self.inner).stage.as_deref() == Some("prefill")
    }

    fn prefill(&self, request: ReceivedRequest) -> Response<Body> {
        let id = request.id.clone();
        self.cache_prompt_parts(&request);
        let mut inner = lock(&self.inner);
        inner.next_handle += 1;
        let handle = format!("h{}", inner.next_handle);
        inner.handles.insert(handle.clone());
        inner.received.push(request);
        let body = json!({"kvHandle": handle, "tokens": 1, "version": 1});
        let mut response = json_response(StatusCode::OK, &body);
        if let Ok(id) = HeaderValue::from_str(&id) {
            response.headers_mut().insert("request-id", id);
        }
        response
    }
}
