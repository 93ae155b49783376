//! A stand-in for a plain service whose calls may not be repeated: it counts what it did.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;

use crate::server::{Aborted, Body, Server, json_response, read_body, text_response};

/// How the service fails.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// It breaks the connection off after the call has taken effect.
    pub drop_response: bool,
    /// It takes so long.
    pub delay: Duration,
    /// It refuses as one that leaves, without effect.
    pub leaving: bool,
}

#[derive(Debug, Default)]
struct Inner {
    effects: HashMap<String, u32>,
    faults: Faults,
}

/// A plain service.
#[derive(Debug)]
pub struct PlainService {
    inner: Arc<Mutex<Inner>>,
    server: Server,
}

impl PlainService {
    /// Starts a service.
    ///
    /// # Errors
    /// The address cannot be listened at.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let inner = Arc::new(Mutex::new(Inner::default()));
        let state = inner.clone();
        let server = Server::start(address, move |request| handle(state.clone(), request)).await?;
        Ok(Self { inner, server })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Sets how it fails.
    pub fn set_faults(&self, faults: Faults) {
        self.inner.lock().expect("plain lock").faults = faults;
    }

    /// How often a call with this body has taken effect.
    pub fn effect_count(&self, body: &str) -> u32 {
        self.inner.lock().expect("plain lock").effects.get(body).copied().unwrap_or(0)
    }

    /// The bodies that have taken effect more than once.
    pub fn duplicates(&self) -> Vec<String> {
        let inner = self.inner.lock().expect("plain lock");
        inner.effects.iter().filter(|(_, n)| **n > 1).map(|(body, _)| body.clone()).collect()
    }

    /// Dies.
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
    let said = serde_json::json!({
        "method": parts.method.as_str(),
        "path": path,
        "body": text,
        "count": count,
    });
    Ok(json_response(StatusCode::OK, &said))
}
