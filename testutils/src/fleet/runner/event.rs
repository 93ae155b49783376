//! The event stream of a fake runner.

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::Frame;
use tokio::time::sleep;
use tokio_stream::wrappers::ReceiverStream;

use super::Faults;
use super::work::Running;
use crate::fleet::deployment::DEFAULT_VERSION;
use crate::server::{Aborted, Body};

/// Takes the place of the next event's id when the stream is to be aborted.
const ABORT: u64 = u64::MAX - 1;

/// The encoding of one event of a runner of the default version.
pub fn event(id: u64) -> String {
    event_of(id, DEFAULT_VERSION)
}

/// The encoding of one event of a runner of a version.
pub fn event_of(id: u64, version: &str) -> String {
    padded_event(id, version, 0)
}

fn padded_event(id: u64, version: &str, padding: usize) -> String {
    let by = if version == DEFAULT_VERSION { String::new() } else { format!(" by {version}") };
    format!("id: {id}\ndata: token {id}{by}{}\n\n", "x".repeat(padding))
}

/// The stream of a runner of a version, of the events from `first` to `last`. `running` counts it as
/// in flight until it ends.
pub(super) fn events(
    first: u64,
    last: u64,
    version: &'static str,
    faults: Faults,
    running: Running,
) -> Body {
    let step = move |(next, running): (u64, Running)| async move {
        if next == ABORT {
            return Some((Err(Aborted), (u64::MAX, running)));
        }
        if next > last {
            return None;
        }
        if next > first {
            sleep(faults.event_interval).await;
        }
        if let Some((_, pause)) = faults.stall.filter(|(event, _)| *event == next) {
            sleep(pause).await;
        }
        running.wait_while_silent().await;
        if faults.abort_after.is_some_and(|after| next > after) {
            // A part of the event is sent before the connection is aborted.
            let part = Bytes::from(padded_event(next, version, faults.padding)).slice(..6);
            return Some((Ok(Frame::data(part)), (ABORT, running)));
        }
        let frame = Frame::data(Bytes::from(padded_event(next, version, faults.padding)));
        Some((Ok(frame), (next + 1, running)))
    };
    let stream = stream::unfold((first, running), step);
    StreamBody::new(ReceiverStream::new(spawn_stream(stream))).boxed()
}

/// Runs a stream in its own task, which stops when the receiver is dropped.
fn spawn_stream<S>(stream: S) -> tokio::sync::mpsc::Receiver<S::Item>
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
                // The caller has disconnected.
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
