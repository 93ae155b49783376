//! A fake of the platform endpoints that only the node holding the lease may call.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::{HeaderMap, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde_json::Value;
use tokio::time::{Instant, sleep};

use crate::server::{Aborted, Body, Server, read_body, text_response};

/// A fault of the platform.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Answers 503.
    Busy,
    /// Does not answer.
    Silent,
    /// Processes calls, but aborts the connection before it answers.
    DropResponse,
}

/// An accepted call.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// When it arrived.
    pub at: Instant,
    /// Its path.
    pub path: String,
    /// The lease holder that it names.
    pub holder: String,
    /// The fencing token.
    pub token: u64,
    /// The body.
    pub body: Value,
}

#[derive(Debug, Default)]
struct Inner {
    fault: Fault,
    /// Data centres without capacity for spot runners.
    without_capacity: Vec<String>,
    calls: Vec<Call>,
}

/// The fake platform.
#[derive(Clone, Debug)]
pub struct Platform {
    inner: Arc<Mutex<Inner>>,
    server: Arc<Server>,
}

fn lock(inner: &Mutex<Inner>) -> MutexGuard<'_, Inner> {
    inner.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Platform {
    /// Starts the server.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let inner = Arc::new(Mutex::new(Inner::default()));
        let state = inner.clone();
        let handler = move |request| handle(state.clone(), request);
        let server = Arc::new(Server::start(address, handler).await?);
        Ok(Self { inner, server })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Sets the fault.
    pub fn set_fault(&self, fault: Fault) {
        lock(&self.inner).fault = fault;
    }

    /// Refuses orders for spot runners in a data centre from now on.
    pub fn set_without_capacity(&self, data_centre: &str) {
        lock(&self.inner).without_capacity.push(data_centre.to_owned());
    }

    /// The accepted calls, in order of arrival.
    pub fn calls(&self) -> Vec<Call> {
        lock(&self.inner).calls.clone()
    }

    /// The reported usage windows, with the counts of each.
    ///
    /// # Panics
    /// A window was reported twice with different counts.
    pub fn windows(&self) -> BTreeMap<u64, BTreeMap<String, u64>> {
        let mut windows = BTreeMap::new();
        for call in self.calls().into_iter().filter(|call| call.path == "/usage") {
            let window = call.body["window"].as_u64().expect("a window has a number");
            let counts = serde_json::from_value(call.body["counts"].clone()).expect("counts");
            let reported = windows.entry(window).or_insert_with(|| BTreeMap::clone(&counts));
            assert_eq!(*reported, counts, "window {window} was reported twice, differently");
        }
        windows
    }

    /// Describes the first violation in the order of the calls: a lower fencing token after a higher one,
    /// one token used by two holders, or two holders that alternate within `turns`.
    pub fn ordering_violation(&self, turns: Duration) -> Option<String> {
        let calls = self.calls();
        for (at, call) in calls.iter().enumerate() {
            for earlier in &calls[..at] {
                if earlier.token > call.token {
                    return Some(format!("token {} after {}", call.token, earlier.token));
                }
                if earlier.token == call.token && earlier.holder != call.holder {
                    return Some(format!("token {} used by two holders", call.token));
                }
            }
            let recent = calls[..at].iter().filter(|earlier| call.at - earlier.at < turns);
            let mut alternated = false;
            for earlier in recent {
                if alternated && earlier.holder == call.holder {
                    return Some(format!(
                        "calls of {} alternate with another holder's",
                        call.holder
                    ));
                }
                alternated |= earlier.holder != call.holder;
            }
        }
        None
    }
}

fn text(headers: &HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}

async fn handle(
    inner: Arc<Mutex<Inner>>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Aborted> {
    let (head, body) = request.into_parts();
    let body = read_body(body).await?;
    let fault = lock(&inner).fault;
    match fault {
        Fault::Busy => return Ok(text_response(StatusCode::SERVICE_UNAVAILABLE, "")),
        Fault::Silent => {
            sleep(Duration::from_secs(60)).await;
            return Err(Aborted);
        }
        Fault::None | Fault::DropResponse => {}
    }
    let Ok(body) = serde_json::from_slice::<Value>(&body) else {
        return Ok(text_response(StatusCode::BAD_REQUEST, ""));
    };
    let Ok(token) = text(&head.headers, "fencing-token").parse() else {
        return Ok(text_response(StatusCode::BAD_REQUEST, ""));
    };
    let holder = text(&head.headers, "lease-holder");
    let data_centre = body["zone"].as_str().unwrap_or_default().to_owned();
    let mut state = lock(&inner);
    if state.without_capacity.contains(&data_centre) && body["spot"] == Value::Bool(true) {
        return Ok(text_response(StatusCode::CONFLICT, ""));
    }
    let path = head.uri.path().to_owned();
    state.calls.push(Call { at: Instant::now(), path, holder, token, body });
    if fault == Fault::DropResponse { Err(Aborted) } else { Ok(text_response(StatusCode::OK, "")) }
}
