//! Calls to the platform that the holder of the duties makes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use sardinepick_lib::id::NodeId;
use sardinepick_platform::duty::{Authority, Reply, reply_from_status};
use tokio::time::timeout;

use super::tenure::Tenure;
use crate::serve::connection::Connections;
use crate::serve::metrics::Metrics;

/// How long a call may take. A call that is given up is taken back from the network, so it does not
/// arrive later than this.
pub const CALL_LIMIT: Duration = Duration::from_millis(600);
/// How long a connection to the platform may take.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);
/// The largest answer that is read.
const LARGEST: usize = 64 << 10;

/// What came of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The platform has answered.
    Replied(Reply),
    /// There is no answer; it may have been taken.
    NoAnswer,
    /// This node is not the holder any more; nothing was sent.
    NotHolder,
}

/// Makes the calls of one node.
pub struct Caller {
    node: NodeId,
    address: SocketAddr,
    connections: Arc<Connections>,
    tenure: Arc<Tenure>,
    metrics: Metrics,
}

impl Caller {
    /// Makes calls to the platform at `address`.
    pub fn new(
        node: NodeId,
        address: SocketAddr,
        connections: Arc<Connections>,
        tenure: Arc<Tenure>,
        metrics: Metrics,
    ) -> Self {
        Self { node, address, connections, tenure, metrics }
    }

    /// Whether this node may make calls.
    pub fn may_call(&self) -> bool {
        self.tenure.authority_for(CALL_LIMIT).is_some()
    }

    /// Makes a call, if this node is the holder. `what` names it for the log and the metrics.
    pub async fn call(
        &self,
        what: &'static str,
        request: impl FnOnce(SocketAddr, Authority<'_>) -> Request<Bytes>,
    ) -> Outcome {
        let Some(epoch) = self.tenure.authority_for(CALL_LIMIT) else {
            return Outcome::NotHolder;
        };
        let request = request(self.address, Authority { holder: &self.node, epoch });
        let sent = self.connections.send(self.address, request, CONNECT_LIMIT);
        let outcome = match timeout(CALL_LIMIT, sent).await {
            Ok(Ok(answer)) => {
                let reply = reply_from_status(answer.head.status);
                answer.discard(LARGEST).await;
                Outcome::Replied(reply)
            }
            Ok(Err(error)) => {
                log::info!(call = what, error:% = error; "call to the platform without an answer");
                Outcome::NoAnswer
            }
            Err(_) => {
                log::info!(call = what, limit:? = CALL_LIMIT; "call to the platform without an answer");
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
