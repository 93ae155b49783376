//! Dispatch of requests to runners within their rate limits, and evaluation of the signals in the
//! head of each response: rate limits, drains and back-off.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use http::Request;
use sardinepick_lib::clock::Clock;
use sardinepick_lib::fleet::register::Register;
use sardinepick_lib::fleet::runner::{Registration, Tag};
use sardinepick_lib::id::RunnerId;
use sardinepick_platform::answer::is_from;
use sardinepick_platform::signal::{back_off, is_leaving, rate_limit};

use crate::back_off::BackOffs;
use crate::connector::Connector;
use crate::drain::Drains;
use crate::limit::{Denied, Limiter, Permit};
use crate::lock::lock;
use crate::serve::connection::{Answer, SendError};
use crate::serve::delivery::Delivery;

/// Sends requests to runners.
pub struct Dispatcher {
    /// The runners.
    pub register: Arc<Mutex<Register>>,
    /// Connects to runners.
    pub connector: Arc<Connector>,
    /// Rate limits of runners.
    pub limiter: Arc<Limiter>,
    /// Drains that runners announce.
    pub drains: Arc<Drains>,
    /// Back-off from runners.
    pub back_offs: BackOffs,
    /// The clock.
    pub clock: Arc<dyn Clock>,
}

/// The destination of a request.
#[derive(Clone, Copy, Debug)]
pub struct Target<'a> {
    /// The runner.
    pub runner: &'a RunnerId,
    /// The runner instance that the request is counted against; `None` if the runner is no longer
    /// known.
    pub registration: Option<&'a Registration>,
    /// Its address.
    pub address: SocketAddr,
    /// Records that the request is sent.
    pub delivery: &'a Delivery,
}

impl Dispatcher {
    /// Acquires a permit for a request to a runner that is sent later; `None` if the runner has no
    /// rate limit.
    ///
    /// # Errors
    /// The rate is exhausted, or no node grants permits.
    pub async fn acquire(&self, runner: &RunnerId) -> Result<Option<Permit>, Denied> {
        self.limiter.acquire(runner).await
    }

    /// Sends a caller's request `id` to a runner, and waits for the head of the response.
    ///
    /// # Errors
    /// As for [`Dispatcher::send_permitted`].
    pub async fn send(
        &self,
        target: Target<'_>,
        id: &str,
        request: Request<Bytes>,
    ) -> Result<Answer, SendError> {
        self.send_permitted(target, None, id, request).await
    }

    /// Sends a caller's request like [`Dispatcher::send`]. A permit is acquired unless `permit` is
    /// valid.
    ///
    /// # Errors
    /// There is no response, the runner's rate limit is exhausted, or the runner has left since it was
    /// chosen.
    pub async fn send_permitted(
        &self,
        target: Target<'_>,
        permit: Option<Permit>,
        id: &str,
        request: Request<Bytes>,
    ) -> Result<Answer, SendError> {
        let Target { runner, registration, address, delivery } = target;
        if !self.is_permitted(target, permit) {
            let permit = self.limiter.acquire(runner).await;
            permit.map_err(|denied| SendError::RateLimited { peer: address, denied })?;
        }
        // The caller may have waited for another runner or a permit since the runner was chosen.
        if !self.is_in_use(target) {
            return Err(SendError::Leaving { peer: address, runner: runner.clone() });
        }
        let sent = self.clock.now();
        let may_send = || self.is_in_use(target);
        let sending = self.connector.send(runner, address, request, Some(delivery), may_send);
        let answer = sending.await?;
        let headers = &answer.head.headers;
        if let Some(registration) = registration.filter(|_| is_from(headers, runner, id)) {
            self.limiter.note_answer(registration, id, sent, rate_limit(headers));
            if is_leaving(headers) {
                self.drains.note_answer(registration, id);
            }
            if let Some(after) = back_off(answer.head.status, headers).transpose() {
                self.back_offs.note_refused(registration, id, after);
            }
        }
        Ok(answer)
    }

    fn is_permitted(&self, target: Target<'_>, permit: Option<Permit>) -> bool {
        let Some((permit, registration)) = permit.zip(target.registration) else { return false };
        permit.covers(Tag::of(&registration.id, registration.born), self.clock.now())
    }

    /// Whether the runner that was chosen is still there and does not leave.
    fn is_in_use(&self, target: Target<'_>) -> bool {
        let register = lock(&self.register);
        let runner = register.get(target.runner);
        runner.zip(target.registration).is_some_and(|(runner, registration)| {
            runner.is_current(registration) && !runner.is_leaving()
        })
    }
}
