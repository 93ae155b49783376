//! The events of a stand-in's stream.

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::Frame;
use tokio::time::sleep;
use tokio_stream::wrappers::ReceiverStream;

use super::Faults;
use super::work::Running;
use crate::server::{Body, Cut};

/// In place of the next event's id: the stream breaks off.
const CUT: u64 = u64::MAX - 1;

/// The bytes of a stream's event.
pub fn event(id: u64) -> String {
    format!("id: {id}\ndata: token {id}\n\n")
}

/// The events of a stream from `first` to `last`; `running` counts it until it has ended.
pub(super) fn events(first: u64, last: u64, faults: Faults, running: Running) -> Body {
    let step = move |(next, running): (u64, Running)| async move {
        if next == CUT {
            return Some((Err(Cut), (u64::MAX, running)));
        }
        if next > last {
            return None;
        }
        if next > first {
            sleep(faults.event_interval).await;
        }
        if faults.abort_after.is_some_and(|after| next > after) {
            // A part of the event leaves before the connection breaks.
            let part = Bytes::from(event(next)).slice(..6);
            return Some((Ok(Frame::data(part)), (CUT, running)));
        }
        let frame = Frame::data(Bytes::from(event(next)));
        Some((Ok(frame), (next + 1, running)))
    };
    let stream = stream::unfold((first, running), step);
    StreamBody::new(ReceiverStream::new(forward(stream))).boxed()
}

/// Runs a stream in a task of its own, which ends when nobody reads it any more.
fn forward<S>(stream: S) -> tokio::sync::mpsc::Receiver<S::Item>
where
    S: futures_util::Stream<Item: Send> + Send + 'static,
{
    use futures_util::StreamExt as _;
    let (sender, receiver) = tokio::sync::mpsc::channel(1);
    tokio::spawn(async move {
        let mut stream = Box::pin(stream);
        loop {
            let next = tokio::select! {
                next = stream.next() => next,
                // The caller has left: the work stops.
                () = sender.closed() => return,
            };
            let Some(item) = next else { return };
            if sender.send(item).await.is_err() {
                return;
            }
        }
    });
    receiver
}
