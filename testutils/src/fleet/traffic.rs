//! Requests to nodes at a steady rate, each sent once.

use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use tokio::sync::oneshot;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, interval};

use crate::fleet::caller::{Caller, Reply, RequestSpec};
use crate::fleet::runner::event;
use crate::fleet::soak::request_headers;

/// The number of events in a stream of the runners of a deployment.
const STREAM_EVENTS: u64 = 12;

/// A request and its response.
#[derive(Clone, Debug)]
pub struct Sample {
    /// The index of the node that it was sent to.
    pub node: usize,
    /// The request id.
    pub id: String,
    /// The path.
    pub path: &'static str,
    /// When it was sent.
    pub sent: Instant,
    /// The response.
    pub reply: Reply,
}

impl Sample {
    /// Whether the whole expected response was received.
    pub fn is_served(&self) -> bool {
        let is_stream = !request_headers(self.path).is_empty();
        let expected = if is_stream {
            (1..=STREAM_EVENTS).map(event).collect()
        } else {
            format!("answer to {}", self.id)
        };
        let reply = &self.reply;
        reply.status == Some(StatusCode::OK) && reply.complete && reply.text() == expected
    }

    /// Whether the response states that the request has not run.
    pub fn is_refused(&self) -> bool {
        matches!(self.reply.status.map(|status| status.as_u16()), Some(408 | 421 | 429 | 503))
    }
}

/// Requests that are being sent.
#[derive(Debug)]
pub struct Traffic {
    stop: oneshot::Sender<()>,
    sent: JoinHandle<Vec<Sample>>,
}

impl Traffic {
    /// Sends a request to each node in every `period`, to the paths in turn, without waiting for
    /// responses.
    pub fn start(nodes: Vec<SocketAddr>, paths: &'static [&'static str], period: Duration) -> Self {
        let (stop, stopped) = oneshot::channel();
        Self { stop, sent: tokio::spawn(send(nodes, paths, period, stopped)) }
    }

    /// Sends no more requests, and returns those sent so far once all are complete.
    ///
    /// # Panics
    /// A task has panicked.
    pub async fn stop(self) -> Vec<Sample> {
        // The receiver lives until the stop signal.
        let _ = self.stop.send(());
        self.sent.await.expect("the task does not panic")
    }
}

async fn send(
    nodes: Vec<SocketAddr>,
    paths: &'static [&'static str],
    period: Duration,
    mut stopped: oneshot::Receiver<()>,
) -> Vec<Sample> {
    let (caller, mut requests) = (Caller::default(), JoinSet::new());
    let mut ticks = interval(period);
    for (round, path) in paths.iter().cycle().enumerate() {
        tokio::select! {
            _ = ticks.tick() => {}
            _ = &mut stopped => break,
        }
        for (node, address) in nodes.iter().enumerate() {
            let id = format!("t{node}-{round}");
            requests.spawn(request(caller.clone(), *address, node, path, id));
        }
    }
    requests.join_all().await
}

async fn request(
    caller: Caller,
    address: SocketAddr,
    node: usize,
    path: &'static str,
    id: String,
) -> Sample {
    let sent = Instant::now();
    let spec = RequestSpec { headers: request_headers(path), ..RequestSpec::new(path, &id) };
    let reply = caller.send(address, &spec).await;
    Sample { node, id, path, sent, reply }
}
