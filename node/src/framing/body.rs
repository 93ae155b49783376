//! The body of a response, checked against its head.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http::HeaderValue;
use http::header::TRAILER;
use http::response::Parts;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use sardinepick_platform::answer::is_stream;

use super::remnant::Scan;
use super::{Malformed, check_trailers, ends_with_connection};

/// Why a body is not whole.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection broke.
    #[error(transparent)]
    Connection(#[from] hyper::Error),
    /// The body is not what its head says.
    #[error(transparent)]
    Malformed(#[from] Malformed),
}

/// The body of a response.
#[derive(Debug)]
pub struct Body {
    content: Incoming,
    /// The values of `Trailer` in the head.
    announced: Vec<HeaderValue>,
    /// Looks for lost framing if the body ends with the connection.
    scan: Option<Scan>,
}

impl Body {
    /// Creates the body of a response with this head.
    pub fn new(head: &Parts, content: Incoming) -> Self {
        let announced = head.headers.get_all(TRAILER).iter().cloned().collect();
        let scan =
            ends_with_connection(head).then(|| Scan::new(&head.headers, is_stream(&head.headers)));
        Self { content, announced, scan }
    }

    fn check(&mut self, frame: Option<&Frame<Bytes>>) -> Result<(), Malformed> {
        let Some(frame) = frame else { return self.scan.as_ref().map_or(Ok(()), Scan::finish) };
        if let Some(trailers) = frame.trailers_ref() {
            check_trailers(&self.announced, trailers)?;
        }
        match (&mut self.scan, frame.data_ref()) {
            (Some(scan), Some(data)) => scan.push(data),
            _ => Ok(()),
        }
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let frame = ready!(Pin::new(&mut self.content).poll_frame(context)).transpose()?;
        self.check(frame.as_ref())?;
        Poll::Ready(frame.map(Ok))
    }

    fn is_end_stream(&self) -> bool {
        self.content.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.content.size_hint()
    }
}
