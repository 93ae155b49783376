//! The caller's end of a generation.

use bytes::Bytes;
use futures_util::StreamExt as _;
use http::Response;
use http::response::Parts;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::Frame;
use tokio::sync::{mpsc, oneshot};
use tokio_stream::wrappers::ReceiverStream;

use crate::serve::response::{Body, Cut, forward_response, full_body};

/// How many events are buffered for a slow caller before backpressure reaches the runner.
const EVENT_BUFFER: usize = 64;

/// The caller's end of the response.
pub(super) enum Caller {
    /// The response head has not been sent.
    Waiting(Option<oneshot::Sender<Response<Body>>>),
    /// The head has been sent; events are being forwarded.
    Streaming(mpsc::Sender<Result<Frame<Bytes>, Cut>>),
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
        let body = StreamBody::new(ReceiverStream::new(receiver).boxed());
        self.respond(forward_response(head, body.boxed_unsync()));
        *self = Caller::Streaming(events);
    }

    /// Sends the head of a runner's response without any events, unless the head has been sent.
    pub fn end_empty_stream(&mut self, head: &Parts) {
        self.respond(forward_response(head, full_body(Bytes::new())));
    }

    /// Sends one event; false if the caller has disconnected.
    pub async fn send_event(&self, event: Bytes) -> bool {
        match self {
            Caller::Streaming(events) => events.send(Ok(Frame::data(event))).await.is_ok(),
            Caller::Waiting(_) => false,
        }
    }

    /// Ends the body early, so that it does not look complete.
    pub async fn cut(&self) {
        if let Caller::Streaming(events) = self {
            // The send fails only if the caller has disconnected.
            let _ = events.send(Err(Cut)).await;
        }
    }
}
