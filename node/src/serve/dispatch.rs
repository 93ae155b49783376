//! Sending requests to runners: within their rate limits, and with an eye on what their answers say of
//! the runners themselves.

use std::net::SocketAddr;

use bytes::Bytes;
use http::Request;
use sardinepick_platform::answer::speaks_for;
use sardinepick_platform::signal::{back_off, is_leaving, rate_limit};

use crate::serve::connection::{Answer, CONNECT_LIMIT, SendError};
use crate::serve::shared::Shared;
use crate::serve::ticket::Ticket;

/// Sends a caller's request `id` to the runner at which `ticket` is a place, and waits for the head of
/// the answer.
///
/// # Errors
/// There is no answer, or the runner's rate limit leaves no room.
pub async fn send(
    shared: &Shared,
    ticket: &Ticket,
    id: &str,
    address: SocketAddr,
    request: Request<Bytes>,
) -> Result<Answer, SendError> {
    let permit = shared.limiter.permit(ticket.runner()).await;
    permit.map_err(|denied| SendError::RateLimited { peer: address, denied })?;
    let sent = shared.clock.now();
    let answer = shared.connections.send(address, request, CONNECT_LIMIT).await?;
    let headers = &answer.head.headers;
    if let Some(stay) = ticket.stay().filter(|_| speaks_for(headers, ticket.runner(), id)) {
        shared.limiter.note_answer(stay, id, sent, rate_limit(headers));
        if is_leaving(headers) {
            shared.drains.note_answer(stay, id);
        }
        if let Some(after) = back_off(answer.head.status, headers).transpose() {
            shared.back_offs.note_refused(stay, id, after);
        }
    }
    Ok(answer)
}
