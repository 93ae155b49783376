//! Discarding the rest of a request's body.
//!
//! Closing a socket with unread bytes resets the connection, and the caller may lose the response.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use tokio::time::timeout;

/// How long the rest of a body may pause after its request has been answered.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long the rest of a body is read after its request has been answered.
const TIMEOUT: Duration = Duration::from_secs(10);
/// How much of the rest of a body is read after its request has been answered.
const MAX_BYTES: usize = 8 << 20;

/// Reads the rest of a body, within limits. Returns whether its end was reached.
pub async fn discard(mut body: Incoming) -> bool {
    let mut discarded = 0;
    let read = async {
        while discarded <= MAX_BYTES {
            match timeout(IDLE_TIMEOUT, body.frame()).await {
                Ok(Some(Ok(frame))) => discarded += frame.data_ref().map_or(0, Bytes::len),
                Ok(Some(Err(error))) => {
                    log::debug!(error:% = error; "rest of a request body not read");
                    return false;
                }
                Ok(None) => return true,
                Err(_) => break,
            }
        }
        log::debug!(bytes = discarded; "rest of a request body not read");
        false
    };
    timeout(TIMEOUT, read).await.unwrap_or_else(|_| {
        log::debug!("rest of a request body not read in time");
        false
    })
}
