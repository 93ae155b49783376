//! Whether the head of an HTTP/1 response tells where its body ends (RFC 9112, section 6.3).
//!
//! The HTTP client accepts some heads that do not: it reads a body with a transfer coding that it
//! does not know to the end of the connection, and forwards any status of three digits.

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::response::Parts;
use strum::IntoStaticStr;
use thiserror::Error;

/// Why a response is malformed.
#[derive(Clone, Copy, Debug, Eq, Error, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Malformed {
    /// A transfer coding other than `chunked` alone, which cannot be undone here.
    #[error("transfer coding other than chunked")]
    TransferCoding,
    /// A length and a transfer coding.
    #[error("both a length and a transfer coding")]
    AmbiguousLength,
}

impl Malformed {
    /// The reason as a metric label.
    pub fn label(self) -> &'static str {
        self.into()
    }
}

/// Checks the head of a response.
///
/// # Errors
/// The head does not tell where the body ends, or contradicts itself.
pub fn check(head: &Parts) -> Result<(), Malformed> {
    let mut codings = head.headers.get_all(TRANSFER_ENCODING).iter();
    if let Some(coding) = codings.next() {
        if codings.next().is_some() || !coding.as_bytes().eq_ignore_ascii_case(b"chunked") {
            return Err(Malformed::TransferCoding);
        }
        if head.headers.contains_key(CONTENT_LENGTH) {
            return Err(Malformed::AmbiguousLength);
        }
    }
    Ok(())
}
