//! Error responses, in the usual format of language model APIs.

use std::time::Duration;

use dropshot::Body;
use http::{HeaderValue, Response, StatusCode, header};
use sardinepick_lib::admit::Reason;
use sardinepick_lib::outcome::Run;
use serde::Serialize;
use smol_str::SmolStr;

use crate::completion::{Cause, RequestError};

/// The header that says whether a refused request may have run.
pub const RUN_HEADER: &str = "x-sardinepick-run";
/// The header with the delay before a retry in milliseconds.
pub const RETRY_AFTER_HEADER: &str = "retry-after-ms";

/// An error as reported to the client.
#[derive(Clone, Debug, Serialize)]
pub struct ApiError {
    /// The HTTP status.
    #[serde(skip)]
    pub status: StatusCode,
    /// The message.
    pub message: String,
    /// The error class.
    #[serde(rename = "type")]
    pub kind: &'static str,
    /// The part of the request that is invalid.
    pub param: Option<SmolStr>,
    /// The error code.
    pub code: SmolStr,
    /// Whether the request may have run.
    #[serde(skip)]
    pub run: Run,
    /// The delay before a retry.
    #[serde(skip)]
    pub retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct Envelope<'a> {
    error: &'a ApiError,
}

impl ApiError {
    /// Creates an error for an invalid request.
    pub fn bad_request(param: &str, message: impl Into<String>) -> Self {
        Self {
            status: StatusCode::BAD_REQUEST,
            message: message.into(),
            kind: "invalid_request_error",
            param: (!param.is_empty()).then(|| SmolStr::new(param)),
            code: SmolStr::new_static("invalid_request"),
            run: Run::NotRun,
            retry_after: None,
        }
    }

    /// Creates an error for a request without a valid key.
    pub fn unauthorized() -> Self {
        Self {
            status: StatusCode::UNAUTHORIZED,
            kind: "authentication_error",
            code: SmolStr::new_static("invalid_api_key"),
            ..Self::bad_request("", "the request has no key, or one that is not known")
        }
    }

    /// Creates an error for a request that its sender is not allowed to make.
    pub fn forbidden(message: impl Into<String>) -> Self {
        Self {
            status: StatusCode::FORBIDDEN,
            kind: "permission_error",
            code: SmolStr::new_static("forbidden"),
            ..Self::bad_request("", message)
        }
    }

    /// Creates an error for something that does not exist.
    pub fn not_found(param: &str, message: impl Into<String>) -> Self {
        Self {
            status: StatusCode::NOT_FOUND,
            code: SmolStr::new_static("not_found"),
            ..Self::bad_request(param, message)
        }
    }

    /// Returns the error as JSON.
    pub fn json(&self) -> String {
        serde_json::to_string(&Envelope { error: self }).expect("errors serialize to JSON")
    }

    /// Returns the error as an HTTP response.
    pub fn response(&self) -> Response<Body> {
        let mut response = Response::new(Body::from(self.json()));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(RUN_HEADER, HeaderValue::from_static(self.run.into()));
        if let Some(retry_after) = self.retry_after {
            let millis = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
            headers.insert(header::RETRY_AFTER, millis.div_ceil(1000).into());
            headers.insert(RETRY_AFTER_HEADER, millis.into());
        }
        response
    }
}

impl From<&RequestError> for ApiError {
    fn from(error: &RequestError) -> Self {
        let (status, kind) = match &error.cause {
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
            message: error.cause.text(),
            kind,
            param: None,
            code: SmolStr::new_static(error.cause.label()),
            run: error.run,
            retry_after: Some(error.retry_after),
        }
    }
}
