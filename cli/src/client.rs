//! A client of the nodes' administration API.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper_util::client::legacy::Client as Http;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// An error of a call.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The connection failed, so the call had no effect.
    #[error("{node}: not reached: {detail}")]
    Unreachable {
        /// The node's address.
        node: SocketAddr,
        /// The transport's error.
        detail: String,
    },
    /// The connection was lost before the response; a command may have been executed.
    #[error("{node}: connection lost before the response: {detail}")]
    ConnectionLost {
        /// The node's address.
        node: SocketAddr,
        /// The transport's error.
        detail: String,
    },
    /// The node rejected the call.
    #[error("{message}")]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The error code.
        code: String,
        /// The error message.
        message: String,
    },
    /// The response does not have the expected format.
    #[error("{node}: invalid response: {detail}")]
    InvalidResponse {
        /// The node's address.
        node: SocketAddr,
        /// Why the response is invalid.
        detail: String,
    },
}

/// A table of text cells.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Rows {
    /// The column names.
    pub columns: Vec<String>,
    /// The rows.
    pub rows: Vec<Vec<String>>,
    /// The nodes that should have responded but did not.
    #[serde(default)]
    pub missing: Vec<String>,
}

/// The result of a change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Applied {
    /// The id of the change.
    pub change_id: String,
    /// The generation that the change created.
    pub generation: u64,
    /// The number of nodes on which the change is active.
    pub applied: usize,
    /// The total number of nodes.
    pub nodes: usize,
    /// The nodes that have not confirmed the change.
    pub waiting_for: Vec<String>,
}

/// The result of a statement.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The rows of a query.
    Rows(Rows),
    /// The result of a change.
    Applied(Applied),
}

/// The response to a command.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Outcomes {
    /// The results, one per statement.
    pub results: Vec<Outcome>,
    /// The active generation at the responding node.
    pub generation: u64,
}

/// The request body of a command.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Command {
    /// The statements.
    pub text: String,
    /// The id of the change.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub change_id: Option<String>,
    /// The generation that the change is based on.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub base: Option<u64>,
    /// How long to wait for all nodes, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub wait_ms: Option<u64>,
}

#[derive(Deserialize)]
struct ErrorBody {
    #[serde(default)]
    error_code: Option<String>,
    #[serde(default)]
    message: Option<String>,
}

/// A client of one node, or of several that are tried in turn.
#[derive(Clone, Debug)]
pub struct Client {
    nodes: Vec<SocketAddr>,
    key: String,
    http: Http<HttpConnector, Full<Bytes>>,
}

/// The longest body of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// The timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

impl Client {
    /// Creates a client that calls the first reachable node of `nodes` with the operator's `key`.
    pub fn new(nodes: Vec<SocketAddr>, key: String) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let http = Http::builder(TokioExecutor::new()).build(connector);
        Self { nodes, key, http }
    }

    async fn call_node(
        &self,
        node: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, ClientError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{node}{path}"))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| ClientError::InvalidResponse { node, detail: error.to_string() })?;
        let response = self.http.request(request).await.map_err(|error| {
            let detail = error.to_string();
            if error.is_connect() {
                ClientError::Unreachable { node, detail }
            } else {
                ClientError::ConnectionLost { node, detail }
            }
        })?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
        let body = body
            .map_err(|e| ClientError::ConnectionLost { node, detail: e.to_string() })?
            .to_bytes();
        if status.is_success() { Ok(body) } else { Err(error_from_response(status, &body)) }
    }

    /// Calls the first reachable node. Once a connection has been established, no other node is
    /// tried, because the call may have been executed.
    async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<Bytes, ClientError> {
        let mut last_error = None;
        for node in &self.nodes {
            match self.call_node(*node, method.clone(), path, body.clone()).await {
                Err(error @ ClientError::Unreachable { .. }) => last_error = Some(error),
                other => return other,
            }
        }
        Err(last_error.unwrap_or(ClientError::Refused {
            status: 0,
            code: "no_node".to_owned(),
            message: "no node given".to_owned(),
        }))
    }

    fn parse<T: for<'de> Deserialize<'de>>(&self, bytes: &[u8]) -> Result<T, ClientError> {
        let node = self.nodes[0];
        serde_json::from_slice(bytes)
            .map_err(|error| ClientError::InvalidResponse { node, detail: error.to_string() })
    }

    /// Executes a command.
    ///
    /// # Errors
    /// The command was rejected, or it is unknown whether it was executed.
    pub async fn command(&self, command: &Command) -> Result<Outcomes, ClientError> {
        let body = serde_json::to_vec(command).expect("a command serializes to JSON");
        let bytes = self.call(Method::POST, "/admin/v1/command", Bytes::from(body)).await?;
        self.parse(&bytes)
    }

    /// Fetches a JSON document.
    ///
    /// # Errors
    /// The call was rejected or the connection failed.
    pub async fn get(&self, path: &str) -> Result<serde_json::Value, ClientError> {
        let bytes = self.call(Method::GET, path, Bytes::new()).await?;
        self.parse(&bytes)
    }
}

fn error_from_response(status: StatusCode, body: &[u8]) -> ClientError {
    let error = serde_json::from_slice::<ErrorBody>(body).ok();
    let text = String::from_utf8_lossy(body).into_owned();
    let (code, message) = match error {
        Some(r) => (r.error_code.unwrap_or_default(), r.message.unwrap_or(text)),
        None => (String::new(), text),
    };
    ClientError::Refused { status: status.as_u16(), code, message }
}
