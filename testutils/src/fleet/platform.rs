//! A stand-in for what takes the platform's calls that one node at a time makes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::{HeaderMap, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde_json::Value;
use tokio::time::{Instant, sleep};

use crate::server::{Body, Cut, Server, answer, read};

/// How it fails.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    /// It does not.
    #[default]
    None,
    /// It answers 503.
    Busy,
    /// It answers nothing.
    Silent,
    /// It takes calls, and breaks the connection off before it answers.
    DropResponse,
}

/// A call that was taken.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// When.
    pub at: Instant,
    /// Its path.
    pub path: String,
    /// In whose name.
    pub holder: String,
    /// The fencing number.
    pub token: u64,
    /// The body.
    pub body: Value,
}

#[derive(Debug, Default)]
struct Inner {
    fault: Fault,
    /// Data centres in which no runners are to be had.
    dry: Vec<String>,
    calls: Vec<Call>,
}

/// The platform.
#[derive(Clone, Debug)]
pub struct Platform {
    inner: Arc<Mutex<Inner>>,
    server: Arc<Server>,
}

fn lock(inner: &Mutex<Inner>) -> MutexGuard<'_, Inner> {
    inner.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Platform {
    /// Starts it.
    ///
    /// # Errors
    /// The address cannot be listened at.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let inner = Arc::new(Mutex::new(Inner::default()));
        let state = inner.clone();
        let handler = move |request| handle(state.clone(), request);
        let server = Arc::new(Server::start(address, handler).await?);
        Ok(Self { inner, server })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Makes it fail.
    pub fn set_fault(&self, fault: Fault) {
        lock(&self.inner).fault = fault;
    }

    /// Has no runners in a data centre from now on.
    pub fn set_without_capacity(&self, data_centre: &str) {
        lock(&self.inner).dry.push(data_centre.to_owned());
    }

    /// The calls that it has taken, in their order.
    pub fn calls(&self) -> Vec<Call> {
        lock(&self.inner).calls.clone()
    }

    /// The windows that were reported, with the counts of each.
    ///
    /// # Panics
    /// A window was reported twice with different counts.
    pub fn windows(&self) -> BTreeMap<u64, BTreeMap<String, u64>> {
        let mut windows = BTreeMap::new();
        for call in self.calls().into_iter().filter(|call| call.path == "/usage") {
            let window = call.body["window"].as_u64().expect("a window has a number");
            let counts = serde_json::from_value(call.body["counts"].clone()).expect("counts");
            let known = windows.entry(window).or_insert_with(|| BTreeMap::clone(&counts));
            assert_eq!(*known, counts, "window {window} was reported twice, differently");
        }
        windows
    }

    /// What is wrong with the order of the calls: a lower number after a higher one, one number of two
    /// holders, or two holders by turns within `turns`.
    pub fn ordering_violation(&self, turns: Duration) -> Option<String> {
        let calls = self.calls();
        for (at, call) in calls.iter().enumerate() {
            for before in &calls[..at] {
                if before.token > call.token {
                    return Some(format!("{} after {}", call.token, before.token));
                }
                if before.token == call.token && before.holder != call.holder {
                    return Some(format!("{} of two holders", call.token));
                }
            }
            let since = calls[..at].iter().filter(|before| call.at - before.at < turns);
            let mut other = false;
            for before in since {
                if other && before.holder == call.holder {
                    return Some(format!("{} by turns", call.holder));
                }
                other |= before.holder != call.holder;
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
) -> Result<Response<Body>, Cut> {
    let (head, body) = request.into_parts();
    let body = read(body).await?;
    let fault = lock(&inner).fault;
    match fault {
        Fault::Busy => return Ok(answer(StatusCode::SERVICE_UNAVAILABLE, "")),
        Fault::Silent => {
            sleep(Duration::from_secs(60)).await;
            return Err(Cut);
        }
        Fault::None | Fault::DropResponse => {}
    }
    let Ok(body) = serde_json::from_slice::<Value>(&body) else {
        return Ok(answer(StatusCode::BAD_REQUEST, ""));
    };
    let Ok(token) = text(&head.headers, "fencing-token").parse() else {
        return Ok(answer(StatusCode::BAD_REQUEST, ""));
    };
    let holder = text(&head.headers, "lease-holder");
    let data_centre = body["zone"].as_str().unwrap_or_default().to_owned();
    let mut state = lock(&inner);
    if state.dry.contains(&data_centre) && body["spot"] == Value::Bool(true) {
        return Ok(answer(StatusCode::CONFLICT, ""));
    }
    let path = head.uri.path().to_owned();
    state.calls.push(Call { at: Instant::now(), path, holder, token, body });
    if fault == Fault::DropResponse { Err(Cut) } else { Ok(answer(StatusCode::OK, "")) }
}
