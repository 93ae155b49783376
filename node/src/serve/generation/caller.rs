//! The caller's end of a generation.

use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http::Response;
use http::response::Parts;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::Frame;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use crate::serve::response::{Body, Cut, forward_response, full_body};

/// How many events are buffered for a slow caller before backpressure reaches the runner.
const EVENT_BUFFER: usize = 64;

/// The caller's end of the response.
pub(super) enum Caller {
    /// The response head has not been sent.
    Waiting(Option<oneshot::Sender<Response<Body>>>),
    /// The head has been sent; events are being forwarded.
    Streaming(mpsc::Sender<Part>),
}

/// A part of a streamed body. A body whose parts end without [`Part::End`] is cut.
pub(super) enum Part {
    /// An event.
    Event(Bytes),
    /// The body is complete.
    End,
}

/// The result of sending a part to the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Sent {
    /// It is on its way.
    Delivered,
    /// The caller has disconnected.
    Disconnected,
    /// The caller has not read earlier parts in time.
    TimedOut,
}

impl Caller {
    /// A caller that waits for the response head.
    pub fn new(head: oneshot::Sender<Response<Body>>) -> Self {
        Caller::Waiting(Some(head))
    }

    /// Waits until the caller has disconnected.
    pub async fn disconnected(&mut self) {
        match self {
            Caller::Waiting(Some(head)) => head.closed().await,
            Caller::Waiting(None) => {}
            Caller::Streaming(events) => events.closed().await,
        }
    }

    /// Whether the response head has been sent.
    pub fn is_streaming(&self) -> bool {
        matches!(self, Caller::Streaming(_))
    }

    /// Sends a whole response unless the head has been sent; false if it has.
    pub fn respond(&mut self, response: Response<Body>) -> bool {
        match self {
            Caller::Waiting(head) => {
                if let Some(head) = head.take() {
                    // If the caller has disconnected, the task notices elsewhere.
                    let _ = head.send(response);
                }
                true
            }
            Caller::Streaming(_) => false,
        }
    }

    /// Sends the head of a runner's response, with a body to which events are sent.
    pub fn begin_stream(&mut self, head: &Parts) {
        if self.is_streaming() {
            return;
        }
        let (events, receiver) = mpsc::channel(EVENT_BUFFER);
        self.respond(forward_response(head, body_of(receiver)));
        *self = Caller::Streaming(events);
    }

    /// Sends the head of a runner's response without any events, unless the head has been sent.
    pub fn end_empty_stream(&mut self, head: &Parts) {
        self.respond(forward_response(head, full_body(Bytes::new())));
    }

    /// Sends one event, within `limit`.
    pub async fn send_event(&self, event: Bytes, limit: Duration) -> Sent {
        self.send(Part::Event(event), limit).await
    }

    /// Completes a streamed body, within `limit`. A body that is not completed is cut when the
    /// caller's end is dropped, so that it does not look complete.
    pub async fn complete(&self, limit: Duration) -> Sent {
        if self.is_streaming() { self.send(Part::End, limit).await } else { Sent::Delivered }
    }

    async fn send(&self, part: Part, limit: Duration) -> Sent {
        let Caller::Streaming(parts) = self else { return Sent::Disconnected };
        match timeout(limit, parts.send(part)).await {
            Ok(Ok(())) => Sent::Delivered,
            Ok(Err(_)) => Sent::Disconnected,
            Err(_) => Sent::TimedOut,
        }
    }
}

/// A body of the events received up to the end of the stream.
fn body_of(receiver: mpsc::Receiver<Part>) -> Body {
    let frames = stream::unfold(Some(receiver), async |receiver| {
        let mut receiver = receiver?;
        match receiver.recv().await {
            Some(Part::Event(event)) => Some((Ok(Frame::data(event)), Some(receiver))),
            Some(Part::End) => None,
            None => Some((Err(Cut), None)),
        }
    });
    StreamBody::new(frames).boxed_unsync()
}
