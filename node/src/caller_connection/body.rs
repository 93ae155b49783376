//! The bodies of a request and its response.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use super::activity::Exchange;
use crate::serve::response;

/// The body of a request, which is in progress as long as its body is held.
pub struct RequestBody {
    body: Incoming,
    _exchange: Arc<Exchange>,
}

impl RequestBody {
    pub(super) fn new(body: Incoming, exchange: Arc<Exchange>) -> Self {
        Self { body, _exchange: exchange }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// The body of a response.
pub(super) struct ResponseBody {
    body: response::Body,
    exchange: Arc<Exchange>,
}

impl ResponseBody {
    pub fn new(body: response::Body, exchange: Arc<Exchange>) -> Self {
        Self { body, exchange }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = response::Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, response::Cut>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        if frame.is_none() {
            self.exchange.note_answered();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        // The end of a body of known length is not polled for.
        if self.body.is_end_stream() {
            self.exchange.note_answered();
        }
    }
}
