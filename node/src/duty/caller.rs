//! Calls to the platform by the holder of the duties.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use sardinepick_lib::id::NodeId;
use sardinepick_platform::duty::{Authority, Reply, reply_from_status};
use tokio::time::timeout;

use super::lease::DutyLease;
use crate::serve::connection::Connections;
use crate::serve::metrics::Metrics;

/// The timeout of a call. A call that times out is also cancelled on the network, so it does not
/// arrive later than this.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// The timeout of connecting to the platform.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// The outcome of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The platform replied.
    Replied(Reply),
    /// There was no reply; the platform may have processed the call.
    NoAnswer,
    /// This node no longer holds the lease; nothing was sent.
    NotHolder,
}

/// Makes one node's calls to the platform.
pub struct Caller {
    node: NodeId,
    address: SocketAddr,
    connections: Arc<Connections>,
    duty_lease: Arc<DutyLease>,
    metrics: Metrics,
}

impl Caller {
    /// Creates a caller for the platform at `address`.
    pub fn new(
        node: NodeId,
        address: SocketAddr,
        connections: Arc<Connections>,
        duty_lease: Arc<DutyLease>,
        metrics: Metrics,
    ) -> Self {
        Self { node, address, connections, duty_lease, metrics }
    }

    /// Whether this node may make calls.
    pub fn may_call(&self) -> bool {
        self.duty_lease.authority_for(CALL_TIMEOUT).is_some()
    }

    /// Makes a call, if this node is the holder. `what` names the call in the log and the metrics.
    pub async fn call(
        &self,
        what: &'static str,
        request: impl FnOnce(SocketAddr, Authority<'_>) -> Request<Bytes>,
    ) -> Outcome {
        let Some(epoch) = self.duty_lease.authority_for(CALL_TIMEOUT) else {
            return Outcome::NotHolder;
        };
        let request = request(self.address, Authority { holder: &self.node, epoch });
        let sent = self.connections.send(self.address, request, None, CONNECT_TIMEOUT);
        let outcome = match timeout(CALL_TIMEOUT, sent).await {
            Ok(Ok(answer)) => {
                let reply = reply_from_status(answer.head.status);
                answer.discard();
                Outcome::Replied(reply)
            }
            Ok(Err(error)) => {
                log::info!(call = what, error:% = error; "no reply to a call to the platform");
                Outcome::NoAnswer
            }
            Err(_) => {
                log::info!(call = what, limit:? = CALL_TIMEOUT; "no reply to a call to the platform");
                Outcome::NoAnswer
            }
        };
        let label: &'static str = match outcome {
            Outcome::Replied(reply) => reply.into(),
            Outcome::NoAnswer => "no_answer",
            Outcome::NotHolder => "not_holder",
        };
        self.metrics.duty_calls.with_label_values(&[what, label]).inc();
        outcome
    }
}
