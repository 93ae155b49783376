//! Reading request bodies with a size limit and a timeout, within the space of the node.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use http_body_util::BodyExt as _;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use smol_str::SmolStr;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

use super::error::ApiError;
use crate::discard::discard;

/// The largest body that counts as small, in bytes.
const SMALL_BYTES: usize = 64 << 10;
/// The unit of space, in bytes.
const UNIT_BYTES: usize = 1 << 10;
/// The part of the space that is kept for small bodies.
const SMALL_PART: usize = 4;
/// How long a body waits for space.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// The retry delay of a request whose body found no space.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The body of a request. If it is dropped before its end, the rest is read and discarded.
#[derive(Debug)]
pub struct RequestBody(Option<Incoming>);

impl RequestBody {
    /// Wraps a body.
    pub fn new(body: Incoming) -> Self {
        Self(Some(body))
    }

    fn size_hint(&self) -> SizeHint {
        self.0.as_ref().map(Body::size_hint).unwrap_or_default()
    }

    async fn frame(&mut self) -> Option<Result<Frame<Bytes>, hyper::Error>> {
        self.0.as_mut()?.frame().await
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        if let Some(body) = self.0.take().filter(|body| !body.is_end_stream()) {
            tokio::spawn(discard(body));
        }
    }
}

/// The space of a node for request bodies. Small ones have a part of their own.
#[derive(Debug)]
pub struct Space {
    small: Arc<Semaphore>,
    large: Arc<Semaphore>,
}

/// A body and its space, which is released with the last reference to the body.
struct Held {
    bytes: Vec<u8>,
    _space: [Option<OwnedSemaphorePermit>; 2],
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Space {
    /// Space for bodies of `bytes` together.
    pub fn new(bytes: usize) -> Self {
        let units = bytes / UNIT_BYTES;
        let small = units / SMALL_PART;
        Self {
            small: Arc::new(Semaphore::new(small)),
            large: Arc::new(Semaphore::new(units - small)),
        }
    }

    /// Reads a body of at most `max_bytes` that arrives within `limit`. A larger one than it
    /// announces, or one of unknown length, reserves the largest size at once: bodies that hold
    /// large parts and wait for more could wait for each other.
    ///
    /// # Errors
    /// The body is too large, too slow or interrupted, or there is no space for it.
    pub async fn read(
        &self,
        mut body: RequestBody,
        max_bytes: usize,
        limit: Duration,
    ) -> Result<Bytes, ApiError> {
        let announced = body.size_hint().exact();
        if announced.is_some_and(|length| length > max_bytes as u64) {
            return Err(too_large(max_bytes));
        }
        let length = announced.map(|length| length as usize);
        let read = async {
            let first = length.unwrap_or(SMALL_BYTES).min(max_bytes);
            let first_pool = if first <= SMALL_BYTES { &self.small } else { &self.large };
            let mut space = [Some(reserve(first_pool, first).await?), None];
            let mut bytes = Vec::with_capacity(first);
            while let Some(frame) = body.frame().await {
                let frame = frame.map_err(|error| {
                    ApiError::bad_request("", format!("the body broke off: {error}"))
                })?;
                // Trailers are ignored.
                let Ok(data) = frame.into_data() else { continue };
                if bytes.len() + data.len() > max_bytes {
                    return Err(too_large(max_bytes));
                }
                if bytes.len() + data.len() > first && space[1].is_none() {
                    space[1] = Some(reserve(&self.large, max_bytes - first).await?);
                    // A vector that grows by itself may allocate twice as much.
                    bytes.reserve_exact(max_bytes - bytes.len());
                }
                bytes.extend_from_slice(&data);
            }
            Ok(Bytes::from_owner(Held { bytes, _space: space }))
        };
        timeout(limit, read).await.unwrap_or_else(|_| {
            Err(ApiError {
                status: StatusCode::REQUEST_TIMEOUT,
                code: SmolStr::new_static("body_too_slow"),
                ..ApiError::bad_request("", format!("the body did not arrive within {limit:?}"))
            })
        })
    }
}

async fn reserve(pool: &Arc<Semaphore>, bytes: usize) -> Result<OwnedSemaphorePermit, ApiError> {
    let units = u32::try_from(bytes.div_ceil(UNIT_BYTES)).unwrap_or(u32::MAX);
    let permit = timeout(MAX_WAIT, pool.clone().acquire_many_owned(units)).await;
    // The semaphores are never closed.
    permit.ok().and_then(Result::ok).ok_or_else(|| {
        log::info!(bytes = bytes; "no space for a request body");
        ApiError {
            status: StatusCode::SERVICE_UNAVAILABLE,
            kind: "overloaded_error",
            code: SmolStr::new_static("node_full"),
            retry_after: Some(RETRY_AFTER),
            ..ApiError::bad_request("", "the node has no space for the body")
        }
    })
}

fn too_large(max_bytes: usize) -> ApiError {
    ApiError {
        status: StatusCode::PAYLOAD_TOO_LARGE,
        code: SmolStr::new_static("body_too_large"),
        ..ApiError::bad_request("", format!("the body has more than {max_bytes} bytes"))
    }
}
