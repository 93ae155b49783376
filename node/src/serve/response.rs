//! Responses to callers: those forwarded from a runner, and the node's own.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::response::Parts;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt as _, Full};
use hyper::body::{Frame, SizeHint};
use sardinepick_lib::fleet::admission::Reason;
use sardinepick_lib::fleet::holding::Size;
use sardinepick_platform::answer::{forwarded_headers, retry_after};
use strum::{Display, IntoStaticStr};
use thiserror::Error;

use crate::holding::{Hold, Taken};

/// A response broke off after its head had been sent to the caller. The caller's connection is
/// aborted, so that the partial response cannot be taken for the complete one.
#[derive(Clone, Copy, Debug, Error)]
#[error("the answer broke off")]
pub struct Cut;

/// The body of a response.
pub type Body = UnsyncBoxBody<Bytes, Cut>;

/// Returns a body that is already complete.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// A whole answer of a runner, counted in what the node holds until it has been sent.
pub struct Whole {
    hold: Arc<Hold>,
    size: Size,
}

impl Whole {
    /// An answer of this size, whose bytes are in the holding.
    pub fn new(hold: Arc<Hold>, size: Size) -> Self {
        Self { hold, size }
    }

    /// Returns it as the body of a response.
    pub fn into_body(self) -> Body {
        HeldBody::new(self.hold, self.size).boxed_unsync()
    }
}

/// The body of a whole answer that releases each piece when the next one is sent. A body that is
/// shed is cut.
struct HeldBody {
    hold: Arc<Hold>,
    /// What has not been sent.
    rest: u64,
    /// The piece that is being sent.
    sending: Size,
}

impl HeldBody {
    fn new(hold: Arc<Hold>, size: Size) -> Self {
        // From now on its reader can take it.
        hold.take(Size::ZERO);
        Self { hold, rest: size.0, sending: Size::ZERO }
    }
}

impl hyper::body::Body for HeldBody {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        let sent = std::mem::take(&mut self.sending);
        self.hold.take(sent);
        Poll::Ready(match self.hold.pop() {
            Taken::Piece(piece) => {
                self.sending = Size::from(piece.len());
                self.rest = self.rest.saturating_sub(self.sending.0);
                Some(Ok(Frame::data(piece)))
            }
            Taken::Shed => Some(Err(Cut)),
            Taken::Nothing => None,
        })
    }

    fn is_end_stream(&self) -> bool {
        self.rest == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest)
    }
}

/// Why a node answers a request itself.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// It has not run and will not, for this reason; the caller may retry after this time.
    NotRun(Reason, Duration),
    /// It may have run; the runner's response was incomplete.
    Broken,
    /// It may have run; its deadline has passed.
    Late,
    /// It has not run, and its deadline has passed.
    Expired,
    /// Each runner that ran it crashed; it is not run again.
    Quarantined,
    /// No route matches.
    NoRoute,
    /// Its route requires a key and it has none.
    NoKey,
    /// No client account has its key.
    UnknownKey,
    /// It exceeds the size limits.
    TooLarge,
    /// It has no id, or its body is incomplete.
    Malformed,
}

impl Refusal {
    /// Returns the status. Statuses that promise that a request has not run are used only where
    /// that is certain.
    pub fn status(self) -> StatusCode {
        match self {
            Refusal::NotRun(..) => StatusCode::SERVICE_UNAVAILABLE,
            Refusal::Broken => StatusCode::BAD_GATEWAY,
            Refusal::Late => StatusCode::GATEWAY_TIMEOUT,
            Refusal::Expired => StatusCode::REQUEST_TIMEOUT,
            Refusal::NoRoute => StatusCode::NOT_FOUND,
            Refusal::NoKey | Refusal::UnknownKey => StatusCode::UNAUTHORIZED,
            Refusal::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            // A status that callers do not retry, since a retry cannot succeed.
            Refusal::Malformed | Refusal::Quarantined => StatusCode::BAD_REQUEST,
        }
    }

    /// Returns the reason as a log and metric value.
    pub fn reason(self) -> &'static str {
        match self {
            Refusal::NotRun(reason, _) => reason.into(),
            other => other.into(),
        }
    }

    /// Returns the response.
    pub fn response(self) -> Response<Body> {
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
        let mut response = Response::new(full_body(text));
        *response.status_mut() = self.status();
        if let Refusal::NotRun(_, after) = self {
            response.headers_mut().insert(header::RETRY_AFTER, retry_after(after));
        }
        let plain = HeaderValue::from_static("text/plain");
        response.headers_mut().insert(header::CONTENT_TYPE, plain);
        response
    }
}

/// Forwards a runner's response with its status and headers.
pub fn forward_response(head: &Parts, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = forwarded_headers(&head.headers);
    response
}

/// A JSON response.
pub fn json(text: String) -> Response<Body> {
    let mut response = Response::new(full_body(text));
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

/// A response without a body.
pub fn empty(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = status;
    response
}
