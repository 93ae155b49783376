//! Sending a node's request counts to the collectors.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sardinepick_wire::usage::{Body, Usage as Datagram};
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep};

use super::Usage;
use crate::duty::view::Views;
use crate::serve::metrics::Metrics;

/// How often counts are sent. If a node fails, its counts since the last message are lost: on
/// average half of this period, out of a window of several seconds.
const SEND_PERIOD: Duration = Duration::from_millis(250);

/// How often the last counts of a stopping node are sent: several times within the rest of its
/// grace period, and longer than a round trip between nodes.
const CLOSE_PERIOD: Duration = Duration::from_millis(30);

/// Sends the counts of one node.
#[derive(Clone)]
pub struct CountSender {
    /// The counts.
    pub usage: Arc<Usage>,
    /// The nodes.
    pub views: Views,
    /// The socket for datagrams between nodes.
    pub socket: Arc<UdpSocket>,
    /// Metrics.
    pub metrics: Metrics,
}

impl CountSender {
    /// Sends counts until the process ends.
    pub async fn run(self) {
        loop {
            sleep(SEND_PERIOD).await;
            self.send_counts().await;
        }
    }

    /// Sends the last counts of a node that stops, until the collectors have acknowledged them or
    /// `deadline` has passed. Without the acknowledged end, each window would count the node as
    /// missing until its next incarnation starts.
    pub async fn close(&self, deadline: Instant) {
        self.usage.close();
        loop {
            self.send_counts().await;
            sleep(CLOSE_PERIOD).await;
            if self.usage.is_delivered() || Instant::now() >= deadline {
                return;
            }
        }
    }

    /// Sends the counts that the collectors have not acknowledged.
    pub async fn send_counts(&self) {
        let Some(windows) = self.usage.windows else { return };
        let view = (self.views)();
        let messages = self.usage.pending_messages(windows, &view.collectors(), &view.lifetimes);
        for ((_, address), messages) in view.first.iter().zip(messages) {
            for message in messages {
                let body = Body::Counts(message);
                let datagram = Datagram { sender: self.usage.me.clone(), body };
                transmit(&self.socket, *address, &datagram, &self.metrics).await;
            }
        }
    }
}

/// Sends a datagram.
pub(super) async fn transmit(
    socket: &UdpSocket,
    peer: SocketAddr,
    datagram: &Datagram,
    metrics: &Metrics,
) {
    let bytes = datagram.encode();
    metrics.usage_bytes.with_label_values(&["sent"]).inc_by(bytes.len() as u64);
    if let Err(error) = socket.send_to(&bytes, peer).await {
        log::debug!(peer:% = peer, error:% = error; "failed to send usage");
    }
}
