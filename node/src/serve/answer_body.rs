//! The body of an answer, which ends only once what follows it is known.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, SizeHint};

use crate::framing::body::{self, Error};
use crate::framing::check_rest;
use crate::serve::connection::Lease;

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
    content: body::Body,
    progress: Progress,
    /// None if the body is malformed, or the connection has been returned to the pool.
    lease: Option<Lease>,
}

impl Body {
    pub(super) fn new(content: body::Body, lease: Lease) -> Self {
        Self { content, progress: Progress::Content, lease: Some(lease) }
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

    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Result<Option<Frame<Bytes>>, Error>> {
        if self.progress == Progress::Content {
            let content = Pin::new(&mut self.content);
            if let Some(frame) = ready!(content.poll_frame(context)).transpose()? {
                return Poll::Ready(Ok(Some(frame)));
            }
            self.progress = Progress::Rest;
        }
        if self.progress == Progress::Rest
            && let Some(lease) = &mut self.lease
        {
            check_rest(&ready!(lease.poll_rest(context)))?;
            self.progress = Progress::Whole;
        }
        Poll::Ready(Ok(None))
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let frame = ready!(self.poll(context));
        if let Err(Error::Malformed(malformed)) = frame
            && let Some(lease) = self.lease.take()
        {
            lease.note_malformed(malformed);
        }
        Poll::Ready(frame.transpose())
    }

    fn size_hint(&self) -> SizeHint {
        self.content.size_hint()
    }
}
