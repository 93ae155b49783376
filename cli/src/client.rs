//! Calls to a node's API.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt as _, Full};
use hyper_util::client::legacy::Client as Http;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Why a call gave nothing.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The node could not be reached: nothing was done.
    #[error("{node}: not reached: {detail}")]
    Unreachable {
        /// The node.
        node: SocketAddr,
        /// What the transport says.
        detail: String,
    },
    /// The connection broke off: a command may have been carried out.
    #[error("{node}: the answer did not come: {detail}")]
    Lost {
        /// The node.
        node: SocketAddr,
        /// What the transport says.
        detail: String,
    },
    /// The node refused the call.
    #[error("{message}")]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The error by name.
        code: String,
        /// In words.
        message: String,
    },
    /// The answer is not of the expected form.
    #[error("{node}: the answer cannot be read: {detail}")]
    Form {
        /// The node.
        node: SocketAddr,
        /// What is wrong.
        detail: String,
    },
}

/// Rows under column heads.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Rows {
    /// The column heads.
    pub columns: Vec<String>,
    /// The rows.
    pub rows: Vec<Vec<String>>,
    /// The nodes that should have answered and did not.
    #[serde(default)]
    pub missing: Vec<String>,
}

/// What came of a change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Applied {
    /// The identity of the change.
    pub change_id: String,
    /// The generation that it made.
    pub generation: u64,
    /// How many nodes have it in force.
    pub applied: usize,
    /// How many nodes there are.
    pub nodes: usize,
    /// The nodes that were not seen to have it.
    pub waiting_for: Vec<String>,
}

/// The result of one statement.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Rows.
    Rows(Rows),
    /// A change.
    Applied(Applied),
}

/// The results of a command.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Outcomes {
    /// One for each statement.
    pub results: Vec<Outcome>,
    /// The generation in force at the node that answered.
    pub generation: u64,
}

/// A command as it is sent.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Command {
    /// The text.
    pub text: String,
    /// The identity of the change.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub change_id: Option<String>,
    /// The generation that the operator saw.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub base: Option<u64>,
    /// For how long to wait for all nodes, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub wait_ms: Option<u64>,
}

#[derive(Deserialize)]
struct Refusal {
    #[serde(default)]
    error_code: Option<String>,
    #[serde(default)]
    message: Option<String>,
}

/// A node, or several that are tried in turn.
#[derive(Clone, Debug)]
pub struct Client {
    nodes: Vec<SocketAddr>,
    key: String,
    http: Http<HttpConnector, Full<Bytes>>,
}

/// How long a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

impl Client {
    /// Calls to the first of `nodes` that can be reached, with the operator's `key`.
    pub fn new(nodes: Vec<SocketAddr>, key: String) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let http = Http::builder(TokioExecutor::new()).build(connector);
        Self { nodes, key, http }
    }

    async fn call_one(
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
            .map_err(|error| ClientError::Form { node, detail: error.to_string() })?;
        let response = self.http.request(request).await.map_err(|error| {
            let detail = error.to_string();
            if error.is_connect() {
                ClientError::Unreachable { node, detail }
            } else {
                ClientError::Lost { node, detail }
            }
        })?;
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body.map_err(|e| ClientError::Lost { node, detail: e.to_string() })?.to_bytes();
        if status.is_success() { Ok(body) } else { Err(refused(status, &body)) }
    }

    /// Calls the first node that can be reached. One that was reached is never left for another,
    /// as it may have carried the call out.
    async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<Bytes, ClientError> {
        let mut last = None;
        for node in &self.nodes {
            match self.call_one(*node, method.clone(), path, body.clone()).await {
                Err(error @ ClientError::Unreachable { .. }) => last = Some(error),
                other => return other,
            }
        }
        Err(last.unwrap_or(ClientError::Refused {
            status: 0,
            code: "no_node".to_owned(),
            message: "no node was named".to_owned(),
        }))
    }

    fn read<T: for<'de> Deserialize<'de>>(&self, bytes: &[u8]) -> Result<T, ClientError> {
        let node = self.nodes[0];
        serde_json::from_slice(bytes)
            .map_err(|error| ClientError::Form { node, detail: error.to_string() })
    }

    /// Carries out a command.
    ///
    /// # Errors
    /// It was refused, or it is not known whether it was carried out.
    pub async fn command(&self, command: &Command) -> Result<Outcomes, ClientError> {
        let body = serde_json::to_vec(command).expect("a command is JSON");
        let bytes = self.call(Method::POST, "/admin/v1/command", Bytes::from(body)).await?;
        self.read(&bytes)
    }

    /// Fetches any JSON.
    ///
    /// # Errors
    /// The call was refused or lost.
    pub async fn get(&self, path: &str) -> Result<serde_json::Value, ClientError> {
        let bytes = self.call(Method::GET, path, Bytes::new()).await?;
        self.read(&bytes)
    }
}

fn refused(status: StatusCode, body: &[u8]) -> ClientError {
    let refusal = serde_json::from_slice::<Refusal>(body).ok();
    let text = String::from_utf8_lossy(body).into_owned();
    let (code, message) = match refusal {
        Some(r) => (r.error_code.unwrap_or_default(), r.message.unwrap_or(text)),
        None => (String::new(), text),
    };
    ClientError::Refused { status: status.as_u16(), code, message }
}
