//! Refusals and errors in the form that clients of language models parse.

use std::time::Duration;

use dropshot::Body;
use http::{HeaderValue, Response, StatusCode, header};
use sardinepick_lib::admit::Reason;
use sardinepick_lib::outcome::Run;
use serde::Serialize;
use smol_str::SmolStr;

use crate::path::{Cause, Denied};

/// The header that says whether a refused request may have run.
pub const RUN: &str = "x-sardinepick-run";
/// The header that says when to come back, in milliseconds.
pub const AFTER_MS: &str = "retry-after-ms";

/// What is wrong with a request, as it is told to its caller.
#[derive(Clone, Debug, Serialize)]
pub struct Fault {
    /// The HTTP status.
    #[serde(skip)]
    pub status: StatusCode,
    /// In words.
    pub message: String,
    /// The class of error.
    #[serde(rename = "type")]
    pub kind: &'static str,
    /// The part of the request that is wrong.
    pub param: Option<SmolStr>,
    /// The error by name.
    pub code: SmolStr,
    /// Whether the request may have run.
    #[serde(skip)]
    pub run: Run,
    /// When to come back.
    #[serde(skip)]
    pub after: Option<Duration>,
}

#[derive(Serialize)]
struct Envelope<'a> {
    error: &'a Fault,
}

impl Fault {
    /// A request that is wrong in itself.
    pub fn bad(param: &str, message: impl Into<String>) -> Self {
        Self {
            status: StatusCode::BAD_REQUEST,
            message: message.into(),
            kind: "invalid_request_error",
            param: (!param.is_empty()).then(|| SmolStr::new(param)),
            code: SmolStr::new_static("invalid_request"),
            run: Run::NotRun,
            after: None,
        }
    }

    /// A request without a valid key.
    pub fn unauthorized() -> Self {
        Self {
            status: StatusCode::UNAUTHORIZED,
            kind: "authentication_error",
            code: SmolStr::new_static("invalid_api_key"),
            ..Self::bad("", "the request has no key, or one that is not known")
        }
    }

    /// A request whose sender may not make it.
    pub fn forbidden(message: impl Into<String>) -> Self {
        Self {
            status: StatusCode::FORBIDDEN,
            kind: "permission_error",
            code: SmolStr::new_static("forbidden"),
            ..Self::bad("", message)
        }
    }

    /// Something that is not there.
    pub fn missing(param: &str, message: impl Into<String>) -> Self {
        Self {
            status: StatusCode::NOT_FOUND,
            code: SmolStr::new_static("not_found"),
            ..Self::bad(param, message)
        }
    }

    /// The error as JSON.
    pub fn json(&self) -> String {
        serde_json::to_string(&Envelope { error: self }).expect("an error is JSON")
    }

    /// The error as an answer.
    pub fn answer(&self) -> Response<Body> {
        let mut response = Response::new(Body::from(self.json()));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(RUN, HeaderValue::from_static(self.run.into()));
        if let Some(after) = self.after {
            let millis = u64::try_from(after.as_millis()).unwrap_or(u64::MAX);
            headers.insert(header::RETRY_AFTER, millis.div_ceil(1000).into());
            headers.insert(AFTER_MS, millis.into());
        }
        response
    }
}

impl From<&Denied> for Fault {
    fn from(denied: &Denied) -> Self {
        let (status, kind) = match &denied.cause {
            Cause::Admission(refusal) => match refusal.reason {
                Reason::Rate | Reason::Concurrency => {
                    (StatusCode::TOO_MANY_REQUESTS, "rate_limit_error")
                }
                Reason::Late | Reason::Full => {
                    (StatusCode::SERVICE_UNAVAILABLE, "overloaded_error")
                }
            },
            Cause::NoService => (StatusCode::NOT_FOUND, "invalid_request_error"),
            Cause::Upstream(_) => (StatusCode::BAD_GATEWAY, "server_error"),
            Cause::Deadline => (StatusCode::GATEWAY_TIMEOUT, "server_error"),
            Cause::Claim(_) => (StatusCode::CONFLICT, "conflict_error"),
            Cause::NoRunner | Cause::NotServing => {
                (StatusCode::SERVICE_UNAVAILABLE, "server_error")
            }
        };
        Self {
            status,
            message: denied.cause.text(),
            kind,
            param: None,
            code: SmolStr::new_static(denied.cause.label()),
            run: denied.run,
            after: Some(denied.after),
        }
    }
}
