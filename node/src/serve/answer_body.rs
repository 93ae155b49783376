//! The body of an answer, which ends only once what follows it is known.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http::HeaderValue;
use http::header::TRAILER;
use http::response::Parts;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use sardinepick_platform::answer::is_stream;

use crate::framing::remnant::Scan;
use crate::framing::{self, Malformed};
use crate::serve::connection::Lease;

/// Why a body is not whole.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection broke.
    #[error(transparent)]
    Connection(#[from] hyper::Error),
    /// The body does not end where the head says.
    #[error(transparent)]
    Malformed(#[from] Malformed),
}

/// How far a body has been read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Progress {
    /// Its content follows.
    Content,
    /// What follows it is awaited.
    Rest,
    /// It is whole.
    Whole,
}

/// The body of an answer, and the connection that it comes over.
pub struct Body {
    content: Incoming,
    progress: Progress,
    /// The values of `Trailer` in the head.
    announced: Vec<HeaderValue>,
    /// Looks for lost framing if the body ends with the connection.
    scan: Option<Scan>,
    lease: Option<Lease>,
}

impl Body {
    pub(super) fn new(head: &Parts, content: Incoming, lease: Lease) -> Self {
        let announced = head.headers.get_all(TRAILER).iter().cloned().collect();
        let scan = framing::ends_with_connection(head).then(|| Scan::new(is_stream(&head.headers)));
        Self { content, progress: Progress::Content, announced, scan, lease: Some(lease) }
    }

    /// Whether the head says that there is no content.
    pub fn is_empty(&self) -> bool {
        self.content.is_end_stream()
    }

    /// Returns the connection to the pool, once the body has been read to its end.
    pub fn return_connection(&mut self) {
        if let Some(lease) = self.lease.take() {
            lease.return_to_pool();
        }
    }

    /// Closes the connection if the body is malformed.
    fn check(&mut self, checked: Result<(), Malformed>) -> Result<(), Error> {
        if let (Err(malformed), Some(lease)) = (checked, &self.lease) {
            lease.note_malformed(malformed);
            self.lease = None;
        }
        checked.map_err(Error::from)
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        if self.progress == Progress::Content {
            let frame = ready!(Pin::new(&mut self.content).poll_frame(context)).transpose()?;
            if let Some(trailers) = frame.as_ref().and_then(Frame::trailers_ref) {
                let checked = framing::check_trailers(&self.announced, trailers);
                self.check(checked)?;
            }
            if let (Some(scan), Some(data)) =
                (&mut self.scan, frame.as_ref().and_then(Frame::data_ref))
            {
                let checked = scan.push(data);
                self.check(checked)?;
            }
            if let Some(frame) = frame {
                return Poll::Ready(Some(Ok(frame)));
            }
            let checked = self.scan.as_ref().map_or(Ok(()), Scan::finish);
            self.check(checked)?;
            self.progress = Progress::Rest;
        }
        if self.progress == Progress::Whole {
            return Poll::Ready(None);
        }
        let Some(lease) = &mut self.lease else { return Poll::Ready(None) };
        let rest = ready!(lease.poll_rest(context));
        self.check(framing::check_rest(&rest))?;
        self.progress = Progress::Whole;
        Poll::Ready(None)
    }

    fn size_hint(&self) -> SizeHint {
        self.content.size_hint()
    }
}
