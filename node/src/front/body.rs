//! Reading request bodies with a size limit and a timeout.

use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::body::Incoming;
use smol_str::SmolStr;

use super::error::ApiError;

/// Reads a body of at most `max_bytes` that arrives within `timeout`.
///
/// # Errors
/// The body is too large, too slow or interrupted.
pub async fn read(body: Incoming, max_bytes: usize, timeout: Duration) -> Result<Bytes, ApiError> {
    let collected = tokio::time::timeout(timeout, Limited::new(body, max_bytes).collect()).await;
    match collected {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(ApiError {
            status: StatusCode::PAYLOAD_TOO_LARGE,
            code: SmolStr::new_static("body_too_large"),
            ..ApiError::bad_request("", format!("the body has more than {max_bytes} bytes"))
        }),
        Ok(Err(error)) => Err(ApiError::bad_request("", format!("the body broke off: {error}"))),
        Err(_) => Err(ApiError {
            status: StatusCode::REQUEST_TIMEOUT,
            code: SmolStr::new_static("body_too_slow"),
            ..ApiError::bad_request("", format!("the body did not arrive within {timeout:?}"))
        }),
    }
}
