//! Answers to callers: those that pass a runner's on, and a node's own.

use std::time::Duration;

use bytes::Bytes;
use http::response::Parts;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt as _, Full};
use sardinepick_lib::fleet::gate::Reason;
use sardinepick_platform::answer::{forwarded_headers, retry_after};
use strum::{Display, IntoStaticStr};
use thiserror::Error;

/// An answer broke off after its head had gone to the caller. The caller's connection is cut, so
/// that the part it has cannot be taken for the whole.
#[derive(Clone, Copy, Debug, Error)]
#[error("the answer broke off")]
pub struct Cut;

/// The body of an answer.
pub type Body = UnsyncBoxBody<Bytes, Cut>;

/// A body that is whole already.
pub fn whole(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Why a node answers for itself.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// It did not run and will not, for the gate's reason; come back after this time.
    NotRun(Reason, Duration),
    /// It may have run; the runner's answer did not come whole.
    Broken,
    /// It may have run; its time is over.
    Late,
    /// It did not run and its time is over.
    Expired,
    /// Each runner that ran it ended; it is run no more.
    Quarantined,
    /// No route leads there.
    NoRoute,
    /// Its route needs a key and it has none.
    NoKey,
    /// No client account has its key.
    UnknownKey,
    /// It is larger than the limits allow.
    TooLarge,
    /// It lacks its id, or its body did not come whole.
    Malformed,
}

impl Refusal {
    /// The status. Those that promise that a request has not run are given only where that is so.
    pub fn status(self) -> StatusCode {
        match self {
            Refusal::NotRun(..) => StatusCode::SERVICE_UNAVAILABLE,
            Refusal::Broken => StatusCode::BAD_GATEWAY,
            Refusal::Late => StatusCode::GATEWAY_TIMEOUT,
            Refusal::Expired => StatusCode::REQUEST_TIMEOUT,
            Refusal::NoRoute => StatusCode::NOT_FOUND,
            Refusal::NoKey | Refusal::UnknownKey => StatusCode::UNAUTHORIZED,
            Refusal::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            // One that callers do not repeat: to come back cannot help.
            Refusal::Malformed | Refusal::Quarantined => StatusCode::BAD_REQUEST,
        }
    }

    /// The reason for logs and metrics.
    pub fn reason(self) -> &'static str {
        match self {
            Refusal::NotRun(reason, _) => reason.into(),
            other => other.into(),
        }
    }

    /// The answer.
    pub fn answer(self) -> Response<Body> {
        let text = match self {
            Refusal::NotRun(..) => "not run; come back later\n",
            Refusal::Broken => "the answer broke off; it may have run\n",
            Refusal::Late => "no answer in time; it may have run\n",
            Refusal::Expired => "not run; the time for it is over\n",
            Refusal::Quarantined => "each runner that ran it ended; it is run no more\n",
            Refusal::NoRoute => "no route leads there\n",
            Refusal::NoKey => "a key is needed\n",
            Refusal::UnknownKey => "the key is not known\n",
            Refusal::TooLarge => "larger than the limits allow\n",
            Refusal::Malformed => "not a whole request with an id\n",
        };
        let mut response = Response::new(whole(text));
        *response.status_mut() = self.status();
        if let Refusal::NotRun(_, after) = self {
            response.headers_mut().insert(header::RETRY_AFTER, retry_after(after));
        }
        let plain = HeaderValue::from_static("text/plain");
        response.headers_mut().insert(header::CONTENT_TYPE, plain);
        response
    }
}

/// Passes a runner's answer on, with its status and headers as they came.
pub fn pass_on(head: &Parts, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = forwarded_headers(&head.headers);
    response
}

/// JSON of the node's own.
pub fn json(text: String) -> Response<Body> {
    let mut response = Response::new(whole(text));
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

/// An empty answer.
pub fn empty(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(whole(Bytes::new()));
    *response.status_mut() = status;
    response
}
