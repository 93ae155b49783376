//! The bodies of a request and its response.

use std::net::IpAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use sardinepick_lib::fleet::holding::Connection;

use super::activity::Exchange;
use crate::discard::discard;
use crate::serve::response;

/// The body of a request.
///
/// If it is dropped before its end, the rest is read and discarded.
pub struct RequestBody {
    body: Option<Incoming>,
    exchange: Arc<Exchange>,
    source: Source,
}

/// Where a request came from.
#[derive(Clone, Copy, Debug)]
pub struct Source {
    /// Its connection.
    pub connection: Connection,
    /// The address of its caller.
    pub address: IpAddr,
}

impl RequestBody {
    pub(super) fn new(body: Incoming, exchange: Arc<Exchange>, source: Source) -> Self {
        if body.is_end_stream() {
            exchange.note_body_read();
        }
        Self { body: Some(body), exchange, source }
    }

    /// Where the request came from.
    pub fn source(&self) -> Source {
        self.source
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let Some(body) = &mut self.body else { return Poll::Ready(None) };
        let frame = ready!(Pin::new(body).poll_frame(context));
        if frame.is_none() || self.is_end_stream() {
            self.exchange.note_body_read();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        self.body.as_ref().map(Body::size_hint).unwrap_or_default()
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        if let Some(body) = self.body.take().filter(|body| !body.is_end_stream()) {
            let exchange = self.exchange.clone();
            tokio::spawn(async move {
                if discard(body).await {
                    exchange.note_body_read();
                }
            });
        }
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
