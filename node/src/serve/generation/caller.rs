//! The caller's end of a generation.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http::Response;
use http::response::Parts;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::Frame;
use sardinepick_lib::fleet::holding::Size;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use crate::holding::{Hold, Taken};
use crate::serve::in_progress::Progress;
use crate::serve::response::{Body, Cut, forward_response, full_body};

/// How many events are buffered for a slow caller; their bytes are bounded by the holding.
const EVENT_BUFFER: usize = 16_384;
/// What an event takes of a node's memory apart from its bytes.
const EVENT_SIZE: Size = Size(64);

/// The caller's end of the response.
pub(super) enum Caller {
    /// The response head has not been sent.
    Waiting(Option<oneshot::Sender<Response<Body>>>, Progress),
    /// The head has been sent; events are being forwarded.
    Streaming(mpsc::Sender<Part>, Arc<Hold>),
}

/// A part of a streamed body. A body whose parts end without [`Part::End`] is cut.
pub(super) enum Part {
    /// An event, whose bytes are in the holding of the stream.
    Event,
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
    /// The node has no space for it, or has discarded earlier parts that the caller has not read.
    Shed,
}

impl Caller {
    /// A caller that waits for the response head.
    pub fn new(head: oneshot::Sender<Response<Body>>, progress: Progress) -> Self {
        Caller::Waiting(Some(head), progress)
    }

    /// Waits until the caller has disconnected.
    pub async fn disconnected(&mut self) {
        match self {
            Caller::Waiting(Some(head), _) => head.closed().await,
            Caller::Waiting(None, _) => {}
            Caller::Streaming(events, _) => events.closed().await,
        }
    }

    /// Whether the response head has been sent.
    pub fn is_streaming(&self) -> bool {
        matches!(self, Caller::Streaming(..))
    }

    /// Sends a whole response unless the head has been sent; false if it has.
    pub fn respond(&mut self, response: Response<Body>) -> bool {
        match self {
            Caller::Waiting(head, progress) => {
                if let Some(head) = head.take() {
                    progress.note_head();
                    // If the caller has disconnected, the task notices elsewhere.
                    let _ = head.send(response);
                }
                true
            }
            Caller::Streaming(..) => false,
        }
    }

    /// Sends the head of a runner's response, with a body to which events are sent. They are held
    /// in `hold`, which is begun if the head has not been sent yet.
    pub fn begin_stream(&mut self, head: &Parts, hold: impl FnOnce() -> Hold) {
        let Caller::Waiting(_, progress) = self else { return };
        let progress = progress.clone();
        let hold = Arc::new(hold());
        let (events, receiver) = mpsc::channel(EVENT_BUFFER);
        self.respond(forward_response(head, body_of(receiver, hold.clone(), progress)));
        *self = Caller::Streaming(events, hold);
    }

    /// Sends the head of a runner's response without any events, unless the head has been sent.
    pub fn end_empty_stream(&mut self, head: &Parts) {
        self.respond(forward_response(head, full_body(Bytes::new())));
    }

    /// Sends one event, within `limit`.
    pub async fn send_event(&self, event: Bytes, limit: Duration) -> Sent {
        let Caller::Streaming(parts, hold) = self else { return Sent::Disconnected };
        let send = async {
            let grown = tokio::select! {
                grown = hold.grow(size_of(&event)) => grown,
                () = parts.closed() => return Sent::Disconnected,
            };
            if grown.is_err() {
                return Sent::Shed;
            }
            let Ok(permit) = parts.reserve().await else { return Sent::Disconnected };
            hold.push(event);
            permit.send(Part::Event);
            Sent::Delivered
        };
        timeout(limit, send).await.unwrap_or(Sent::TimedOut)
    }

    /// Completes a streamed body, within `limit`. A body that is not completed is cut when the
    /// caller's end is dropped, so that it does not look complete.
    pub async fn complete(&self, limit: Duration) -> Sent {
        let Caller::Streaming(parts, _) = self else { return Sent::Delivered };
        match timeout(limit, parts.send(Part::End)).await {
            Ok(Ok(())) => Sent::Delivered,
            Ok(Err(_)) => Sent::Disconnected,
            Err(_) => Sent::TimedOut,
        }
    }
}

fn size_of(event: &Bytes) -> Size {
    Size::from(event.len()).plus(EVENT_SIZE)
}

/// The caller's end of a streamed body.
struct Events {
    receiver: mpsc::Receiver<Part>,
    hold: Arc<Hold>,
    /// The event that is being sent.
    sending: Size,
    progress: Progress,
}

/// A body of the events received up to the end of the stream.
fn body_of(receiver: mpsc::Receiver<Part>, hold: Arc<Hold>, progress: Progress) -> Body {
    let events = Events { receiver, hold, sending: Size::ZERO, progress };
    let frames = stream::unfold(Some(events), async |events| {
        let mut events = events?;
        events.hold.take(std::mem::take(&mut events.sending));
        match events.receiver.recv().await {
            Some(Part::Event) => match events.hold.pop() {
                Taken::Piece(event) => {
                    events.sending = size_of(&event);
                    events.progress.note_event(event.len());
                    Some((Ok(Frame::data(event)), Some(events)))
                }
                Taken::Nothing | Taken::Shed => Some((Err(Cut), None)),
            },
            Some(Part::End) if events.hold.is_shed() => Some((Err(Cut), None)),
            Some(Part::End) => None,
            None => Some((Err(Cut), None)),
        }
    });
    StreamBody::new(frames).boxed_unsync()
}
