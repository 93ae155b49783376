//! The bodies of a request and its response.

use std::net::IpAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use sardinepick_lib::fleet::holding::Connection;
use tokio::time::timeout;

use super::activity::Exchange;
use crate::serve::response;

/// How long the rest of a body may pause after its request has been answered.
const DISCARD_IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long the rest of a body is read after its request has been answered.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(10);
/// How much of the rest of a body is read after its request has been answered.
const MAX_DISCARDED_BYTES: usize = 8 << 20;

/// The body of a request.
///
/// If it is dropped before its end, the rest is read and discarded. Closing a socket with unread
/// bytes resets the connection, and the caller may lose the response.
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
            tokio::spawn(discard(body, self.exchange.clone()));
        }
    }
}

/// Reads the rest of a body, within limits.
async fn discard(mut body: Incoming, exchange: Arc<Exchange>) {
    let mut discarded = 0;
    let read = async {
        while discarded <= MAX_DISCARDED_BYTES {
            match timeout(DISCARD_IDLE_TIMEOUT, body.frame()).await {
                Ok(Some(Ok(frame))) => discarded += frame.data_ref().map_or(0, Bytes::len),
                Ok(Some(Err(error))) => {
                    log::debug!(error:% = error; "rest of a request body not read");
                    return;
                }
                Ok(None) => return exchange.note_body_read(),
                Err(_) => break,
            }
        }
        log::debug!(bytes = discarded; "rest of a request body not read");
    };
    if timeout(DISCARD_TIMEOUT, read).await.is_err() {
        log::debug!("rest of a request body not read in time");
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
