//! Whether the head of an HTTP/1 response tells where its body ends (RFC 9112, section 6.3).
//!
//! The HTTP client accepts some heads that do not: it reads a body with a transfer coding that it
//! does not know to the end of the connection, and forwards any status of three digits.

pub mod body;
pub mod remnant;

use http::header::{CONTENT_LENGTH, IF_MODIFIED_SINCE, IF_NONE_MATCH, TRANSFER_ENCODING};
use http::response::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Request, StatusCode};
use strum::IntoStaticStr;
use thiserror::Error;

/// The least number that is no status code (RFC 9110, section 15).
const STATUS_END: u16 = 600;

const RESPONSE_START: &[u8] = b"HTTP/1.";

/// Why a response is malformed.
#[derive(Clone, Copy, Debug, Eq, Error, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Malformed {
    /// A status code of no class.
    #[error("status code of no class")]
    Status,
    /// The protocol of the connection is switched, which no request asks for.
    #[error("switch to another protocol")]
    ProtocolSwitch,
    /// A body with a status that has none.
    #[error("a body with a status that has none")]
    UnexpectedBody,
    /// A transfer coding other than `chunked` alone, which cannot be undone here.
    #[error("transfer coding other than chunked")]
    TransferCoding,
    /// A length and a transfer coding.
    #[error("both a length and a transfer coding")]
    AmbiguousLength,
    /// A body that ends with its connection and begins with what belongs to its framing.
    #[error("the body begins with a part of the head or with the size of a chunk")]
    LostFraming,
    /// A trailer field that the head does not announce. In what looks like one, the rest of a body
    /// may be lost whose chunk has a wrong size.
    #[error("a trailer field that was not announced")]
    UnannouncedTrailer,
    /// Bytes that are no response follow the body.
    #[error("the body goes on behind its end")]
    TrailingBytes,
}

impl Malformed {
    /// The reason as a metric label.
    pub fn label(self) -> &'static str {
        self.into()
    }
}

/// Returns whether the response to a request may be 304. That one may have the length of the body
/// that it leaves out.
pub fn is_conditional<B>(request: &Request<B>) -> bool {
    [IF_NONE_MATCH, IF_MODIFIED_SINCE].iter().any(|name| request.headers().contains_key(name))
}

/// Checks the head of the response to a request, which may be conditional.
///
/// # Errors
/// The head does not tell where the body ends, or contradicts itself.
pub fn check(head: &Parts, is_conditional: bool) -> Result<(), Malformed> {
    match head.status {
        StatusCode::SWITCHING_PROTOCOLS => return Err(Malformed::ProtocolSwitch),
        StatusCode::NOT_MODIFIED if is_conditional => {}
        StatusCode::NO_CONTENT | StatusCode::RESET_CONTENT | StatusCode::NOT_MODIFIED
            if announces_body(&head.headers) =>
        {
            return Err(Malformed::UnexpectedBody);
        }
        status if status.as_u16() >= STATUS_END => return Err(Malformed::Status),
        _ => {}
    }
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

/// Checks the trailer fields behind a chunked body against the values of `Trailer` in its head.
///
/// # Errors
/// One of them is not announced.
pub fn check_trailers(announced: &[HeaderValue], trailers: &HeaderMap) -> Result<(), Malformed> {
    let lists = || announced.iter().filter_map(|value| value.to_str().ok());
    let is_announced = |field: &HeaderName| {
        let mut names = lists().flat_map(|list| list.split(','));
        names.any(|name| name.trim().eq_ignore_ascii_case(field.as_str()))
    };
    if trailers.keys().all(is_announced) { Ok(()) } else { Err(Malformed::UnannouncedTrailer) }
}

/// Checks what follows a body at once. A runner may send a second response, which belongs to no
/// request and does not affect the first.
///
/// # Errors
/// The bytes are no response: the body was longer than its head or its chunks said.
pub fn check_rest(rest: &[u8]) -> Result<(), Malformed> {
    if rest.is_empty() || rest.starts_with(RESPONSE_START) {
        return Ok(());
    }
    Err(Malformed::TrailingBytes)
}

/// Returns whether a body ends with its connection.
pub fn ends_with_connection(head: &Parts) -> bool {
    ![CONTENT_LENGTH, TRANSFER_ENCODING].iter().any(|name| head.headers.contains_key(name))
}

fn announces_body(headers: &HeaderMap) -> bool {
    let is_empty = |length: &HeaderValue| length.as_bytes().iter().all(|digit| *digit == b'0');
    headers.contains_key(TRANSFER_ENCODING)
        || headers.get_all(CONTENT_LENGTH).iter().any(|length| !is_empty(length))
}
