//! Dispatch of requests to runners: within their rate limits, and reading from the head of each answer
//! what the runner announces of itself.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::Request;
use sardinepick_lib::clock::Clock;
use sardinepick_lib::fleet::runner::Stay;
use sardinepick_lib::id::RunnerId;
use sardinepick_platform::answer::is_from;
use sardinepick_platform::signal::{back_off, is_leaving, rate_limit};

use crate::back_off::BackOffs;
use crate::drain::Drains;
use crate::limit::Limiter;
use crate::serve::connection::{Answer, CONNECT_LIMIT, Connections, SendError};

/// Sends requests to runners.
pub struct Dispatcher {
    /// Connections to runners.
    pub connections: Arc<Connections>,
    /// Rate limits.
    pub limiter: Arc<Limiter>,
    /// Drains that runners announce.
    pub drains: Arc<Drains>,
    /// Back-off from runners.
    pub back_offs: BackOffs,
    /// The clock.
    pub clock: Arc<dyn Clock>,
}

/// Where a request is sent.
#[derive(Clone, Copy, Debug)]
pub struct Target<'a> {
    /// The runner.
    pub runner: &'a RunnerId,
    /// The life of it in which the request is counted; none if the runner is not known any more.
    pub stay: Option<&'a Stay>,
    /// Its address.
    pub address: SocketAddr,
}

impl Dispatcher {
    /// Sends a caller's request `id` to a runner, and waits for the head of the answer.
    ///
    /// # Errors
    /// There is no answer, or the runner's rate limit leaves no room.
    pub async fn send(
        &self,
        target: Target<'_>,
        id: &str,
        request: Request<Bytes>,
    ) -> Result<Answer, SendError> {
        let Target { runner, stay, address } = target;
        let permit = self.limiter.permit(runner).await;
        permit.map_err(|denied| SendError::RateLimited { peer: address, denied })?;
        let sent = self.clock.now();
        let answer = self.connections.send(address, request, CONNECT_LIMIT).await?;
        let headers = &answer.head.headers;
        if let Some(stay) = stay.filter(|_| is_from(headers, runner, id)) {
            self.limiter.note_answer(stay, id, sent, rate_limit(headers));
            if is_leaving(headers) {
                self.drains.note_answer(stay, id);
            }
            if let Some(after) = back_off(answer.head.status, headers).transpose() {
                self.back_offs.note_refused(stay, id, after);
            }
        }
        Ok(answer)
    }
}
