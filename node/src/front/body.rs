//! Reading request bodies within bounds of size and time.

use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::body::Incoming;
use smol_str::SmolStr;

use super::fault::Fault;

/// Reads a body of at most `most` bytes that arrives within `patience`.
///
/// # Errors
/// It is larger or slower, or breaks off.
pub async fn read(body: Incoming, most: usize, patience: Duration) -> Result<Bytes, Fault> {
    let collected = tokio::time::timeout(patience, Limited::new(body, most).collect()).await;
    match collected {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Fault {
            status: StatusCode::PAYLOAD_TOO_LARGE,
            code: SmolStr::new_static("body_too_large"),
            ..Fault::bad("", format!("the body has more than {most} bytes"))
        }),
        Ok(Err(error)) => Err(Fault::bad("", format!("the body broke off: {error}"))),
        Err(_) => Err(Fault {
            status: StatusCode::REQUEST_TIMEOUT,
            code: SmolStr::new_static("body_too_slow"),
            ..Fault::bad("", format!("the body did not arrive within {patience:?}"))
        }),
    }
}
