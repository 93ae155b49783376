//! A fake plain service with non-idempotent calls, which counts how often each call took effect.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;

use crate::server::{Aborted, Body, Server, json_response, read_body, text_response};

/// The faults of the service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Aborts the connection after the call took effect.
    pub drop_response: bool,
    /// The time from the effect to the response.
    pub delay: Duration,
    /// Refuses calls as a leaving runner does, without effect.
    pub leaving: bool,
}

#[derive(Debug, Default)]
struct Inner {
    effects: HashMap<String, u32>,
    faults: Faults,
}

/// A fake plain service.
#[derive(Debug)]
pub struct PlainService {
    inner: Arc<Mutex<Inner>>,
    server: Server,
}

impl PlainService {
    /// Starts a service.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let inner = Arc::new(Mutex::new(Inner::default()));
        let state = inner.clone();
        let server = Server::start(address, move |request| handle(state.clone(), request)).await?;
        Ok(Self { inner, server })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.inner.lock().expect("plain lock").faults = faults;
    }

    /// How often a call with this body took effect.
    pub fn effect_count(&self, body: &str) -> u32 {
        self.inner.lock().expect("plain lock").effects.get(body).copied().unwrap_or(0)
    }

    /// The bodies of calls that took effect more than once.
    pub fn duplicates(&self) -> Vec<String> {
        let inner = self.inner.lock().expect("plain lock");
        inner.effects.iter().filter(|(_, n)| **n > 1).map(|(body, _)| body.clone()).collect()
    }

    /// Aborts all connections and stops listening, as a killed process does.
    pub fn kill(&self) {
        self.server.stop();
    }
}

async fn handle(
    state: Arc<Mutex<Inner>>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Aborted> {
    let faults = state.lock().expect("plain lock").faults;
    if faults.leaving {
        let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "leaving");
        let headers = response.headers_mut();
        headers.insert("x-not-run", http::HeaderValue::from_static("true"));
        headers.insert("x-leaving", http::HeaderValue::from_static("true"));
        return Ok(response);
    }
    let (parts, body) = request.into_parts();
    let body = read_body(body).await?;
    let text = String::from_utf8_lossy(&body).into_owned();
    let count = {
        let mut inner = state.lock().expect("plain lock");
        let count = inner.effects.entry(text.clone()).or_default();
        *count += 1;
        *count
    };
    tokio::time::sleep(faults.delay).await;
    if faults.drop_response {
        return Err(Aborted);
    }
    let path = parts.uri.path_and_query().map(ToString::to_string).unwrap_or_default();
    let response = serde_json::json!({
        "method": parts.method.as_str(),
        "path": path,
        "body": text,
        "count": count,
    });
    Ok(json_response(StatusCode::OK, &response))
}
