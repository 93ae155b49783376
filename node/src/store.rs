//! The interface to the platform's object API and VM list, and its HTTP implementation.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt as _, Full, Limited};
use prometheus::IntCounterVec;
use sardinepick_lib::history::Point;
use sardinepick_lib::member::Vm;
use serde::Deserialize;
use smol_str::SmolStr;
use strum::{Display, IntoStaticStr};
use thiserror::Error;

use crate::http_client::Client;

/// The longest body of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// An operation of the platform's API.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Operation {
    /// Reading an object.
    Get,
    /// Writing an object.
    Put,
    /// Deleting an object.
    Delete,
    /// Listing objects.
    List,
    /// Waiting for changes.
    Watch,
    /// Reading the VM list.
    Vms,
}

/// An error of a call to the platform.
#[derive(Clone, Debug, Error)]
pub enum StoreError {
    /// The object's revision differs from the expected one. Nothing was written.
    #[error("{operation} {object} at {peer}: unexpected revision")]
    Conflict {
        /// The operation.
        operation: Operation,
        /// The object.
        object: SmolStr,
        /// The platform.
        peer: SocketAddr,
    },
    /// The platform is unreachable. Nothing was written.
    #[error("{operation} {object} at {peer}: unreachable: {detail}")]
    Unreachable {
        /// The operation.
        operation: Operation,
        /// The object.
        object: SmolStr,
        /// The platform.
        peer: SocketAddr,
        /// The transport error.
        detail: SmolStr,
    },
    /// No response arrived. A write may have taken effect.
    #[error("{operation} {object} at {peer}: no response: {detail}")]
    Lost {
        /// The operation.
        operation: Operation,
        /// The object.
        object: SmolStr,
        /// The platform.
        peer: SocketAddr,
        /// The transport error.
        detail: SmolStr,
    },
    /// The platform refused the call. Nothing was written.
    #[error("{operation} {object} at {peer}: refused with status {status}")]
    Refused {
        /// The operation.
        operation: Operation,
        /// The object.
        object: SmolStr,
        /// The platform.
        peer: SocketAddr,
        /// Its HTTP status.
        status: u16,
    },
}

impl StoreError {
    /// Returns whether a write that failed with this error may have taken effect.
    pub fn may_have_written(&self) -> bool {
        matches!(self, StoreError::Lost { .. })
    }
}

/// An object.
#[derive(Clone, Debug)]
pub struct Object {
    /// The revision.
    pub revision: Point,
    /// The value.
    pub value: Bytes,
}

/// An entry of a listing or a watch.
#[derive(Clone, Debug, Deserialize)]
pub struct ObjectRevision {
    /// The object.
    pub name: SmolStr,
    /// Its revision.
    pub revision: u64,
}

/// The platform's API.
#[async_trait]
pub trait Store: Send + Sync {
    /// Reads an object. Returns `None` if it does not exist.
    async fn get(&self, object: &str) -> Result<Option<Object>, StoreError>;

    /// Writes an object if it has the expected revision, or does not exist if `expected` is `None`.
    async fn put(
        &self,
        object: &str,
        expected: Option<Point>,
        value: Bytes,
    ) -> Result<Point, StoreError>;

    /// Deletes an object if it has the expected revision.
    async fn delete(&self, object: &str, expected: Point) -> Result<(), StoreError>;

    /// Lists the objects whose names start with a prefix.
    async fn list(&self, prefix: &str) -> Result<Vec<ObjectRevision>, StoreError>;

    /// Waits up to `wait` for changes after a revision to objects whose names start with a prefix.
    async fn watch(
        &self,
        prefix: &str,
        after: Point,
        wait: Duration,
    ) -> Result<Vec<ObjectRevision>, StoreError>;

    /// Reads the VM list.
    async fn vms(&self) -> Result<Vec<Vm>, StoreError>;
}

/// The platform's API over HTTP.
#[derive(Clone, Debug)]
pub struct HttpStore {
    peer: SocketAddr,
    timeout: Duration,
    client: Client,
    calls: IntCounterVec,
}

impl HttpStore {
    /// Creates a client for the platform at `peer` that counts its calls by operation in `calls`.
    pub fn new(peer: SocketAddr, timeout: Duration, calls: IntCounterVec) -> Self {
        Self { peer, timeout, client: Client::new(timeout, true), calls }
    }

    fn request(&self, method: Method, path: &str, body: Bytes) -> Request<Full<Bytes>> {
        let uri = format!("http://{}{path}", self.peer);
        Request::builder()
            .method(method)
            .uri(uri)
            .body(Full::new(body))
            .expect("object names contain only characters that are valid in paths")
    }

    async fn call(
        &self,
        operation: Operation,
        object: &str,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<(Response<()>, Bytes), StoreError> {
        let name: &str = operation.into();
        self.calls.with_label_values(&[name]).inc();
        let lost = |detail: String| StoreError::Lost {
            operation,
            object: SmolStr::new(object),
            peer: self.peer,
            detail: SmolStr::new(detail),
        };
        let exchange = async {
            let response = self.client.send(request).await.map_err(|error| {
                if error.is_connect() {
                    StoreError::Unreachable {
                        operation,
                        object: SmolStr::new(object),
                        peer: self.peer,
                        detail: SmolStr::new(error.to_string()),
                    }
                } else {
                    lost(error.to_string())
                }
            })?;
            let (parts, body) = response.into_parts();
            let body = Limited::new(body, MAX_RESPONSE_BYTES);
            let body = body.collect().await.map_err(|error| lost(error.to_string()))?;
            Ok((Response::from_parts(parts, ()), body.to_bytes()))
        };
        let (head, body) = match tokio::time::timeout(timeout, exchange).await {
            Ok(result) => result?,
            Err(_) => return Err(lost(format!("timed out after {timeout:?}"))),
        };
        let status = head.status();
        if status == StatusCode::PRECONDITION_FAILED {
            return Err(StoreError::Conflict {
                operation,
                object: SmolStr::new(object),
                peer: self.peer,
            });
        }
        if status.is_server_error() {
            return Err(lost(format!("status {status}")));
        }
        if status.is_success() || status == StatusCode::NOT_FOUND {
            return Ok((head, body));
        }
        let status = status.as_u16();
        Err(StoreError::Refused {
            operation,
            object: SmolStr::new(object),
            peer: self.peer,
            status,
        })
    }

    async fn read_json<T: for<'de> Deserialize<'de>>(
        &self,
        operation: Operation,
        path: &str,
        timeout: Duration,
    ) -> Result<T, StoreError> {
        let request = self.request(Method::GET, path, Bytes::new());
        let (_, body) = self.call(operation, path, request, timeout).await?;
        serde_json::from_slice(&body).map_err(|error| StoreError::Lost {
            operation,
            object: SmolStr::new(path),
            peer: self.peer,
            detail: SmolStr::new(error.to_string()),
        })
    }
}

fn revision(head: &Response<()>) -> Point {
    let text = head.headers().get(header::ETAG).and_then(|v| v.to_str().ok());
    Point::without_era(text.and_then(|t| t.parse().ok()).unwrap_or_default())
}

#[async_trait]
impl Store for HttpStore {
    async fn get(&self, object: &str) -> Result<Option<Object>, StoreError> {
        let request = self.request(Method::GET, &format!("/v1/objects/{object}"), Bytes::new());
        let (head, value) = self.call(Operation::Get, object, request, self.timeout).await?;
        if head.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        Ok(Some(Object { revision: revision(&head), value }))
    }

    async fn put(
        &self,
        object: &str,
        expected: Option<Point>,
        value: Bytes,
    ) -> Result<Point, StoreError> {
        let mut request = self.request(Method::PUT, &format!("/v1/objects/{object}"), value);
        match expected {
            Some(revision) => {
                request.headers_mut().insert(header::IF_MATCH, revision.revision.0.into())
            }
            None => {
                request.headers_mut().insert(header::IF_NONE_MATCH, HeaderValue::from_static("*"))
            }
        };
        let (head, _) = self.call(Operation::Put, object, request, self.timeout).await?;
        Ok(revision(&head))
    }

    async fn delete(&self, object: &str, expected: Point) -> Result<(), StoreError> {
        let path = format!("/v1/objects/{object}");
        let mut request = self.request(Method::DELETE, &path, Bytes::new());
        request.headers_mut().insert(header::IF_MATCH, expected.revision.0.into());
        self.call(Operation::Delete, object, request, self.timeout).await.map(|_| ())
    }

    async fn list(&self, prefix: &str) -> Result<Vec<ObjectRevision>, StoreError> {
        self.read_json(Operation::List, &format!("/v1/list?prefix={prefix}"), self.timeout).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Point,
        wait: Duration,
    ) -> Result<Vec<ObjectRevision>, StoreError> {
        let millis = wait.as_millis();
        let path =
            format!("/v1/watch?prefix={prefix}&after={}&timeout_ms={millis}", after.revision);
        self.read_json(Operation::Watch, &path, self.timeout + wait).await
    }

    async fn vms(&self) -> Result<Vec<Vm>, StoreError> {
        self.read_json(Operation::Vms, "/v1/vms", self.timeout).await
    }
}
