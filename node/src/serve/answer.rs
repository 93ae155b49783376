//! Reading the answers that come over connections.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::response::Parts;
use http_body_util::{BodyExt as _, Limited};
use hyper::body::{Body as _, Incoming};
use sardinepick_lib::fleet::holding::Size;
use sardinepick_lib::fleet::holding::ledger::Cause;
use thiserror::Error;
use tokio::time::timeout;

use crate::framing;
use crate::holding::Hold;
use crate::serve::answer_body::Body;
use crate::serve::connection::{Lease, Ordinal, Way};
use crate::serve::intake::{Intake, UNRESERVED_BYTES};

/// The largest body that is read only so that its connection can be reused: that of a rejection or
/// an acknowledgement is a short text.
const MAX_DISCARDED_BYTES: usize = 16 << 10;
/// How long such a body may take.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(250);

/// An answer whose body has not been read yet.
pub struct Answer {
    /// Its head.
    pub head: Parts,
    /// Its body.
    pub body: Body,
    way: Way,
    ordinal: Ordinal,
    address: SocketAddr,
    intake: Intake,
}

/// The body of an answer is truncated.
#[derive(Debug, Error)]
#[error("answer truncated: {0}")]
pub struct Incomplete(String);

/// Why an answer was not read to its end.
#[derive(Debug, Error)]
pub enum ReadError {
    /// It is truncated or too large.
    #[error(transparent)]
    Incomplete(#[from] Incomplete),
    /// The node has no space for it.
    #[error("no space for the answer: {0}")]
    Full(Cause),
}

impl Answer {
    pub(super) fn new(head: Parts, content: Incoming, lease: Lease) -> Self {
        let (way, ordinal, address) = (lease.link.way, lease.link.ordinal, lease.address);
        let intake = lease.connections.intake.clone();
        let body = Body::new(framing::body::Body::new(&head, content), lease);
        Self { head, body, way, ordinal, address, intake }
    }

    /// The way of the connection that it came over.
    pub fn way(&self) -> Way {
        self.way
    }

    /// The call that it answers.
    pub fn ordinal(&self) -> Ordinal {
        self.ordinal
    }

    /// Reads the whole body, up to `max_bytes`, and returns the connection to the pool. A large body
    /// waits for space.
    ///
    /// # Errors
    /// The body is truncated or larger.
    pub async fn read(mut self, max_bytes: usize) -> Result<(Parts, Bytes), Incomplete> {
        let length = self.body.size_hint().exact().and_then(|length| length.try_into().ok());
        let (mut body, mut whole) = (Limited::new(&mut self.body, max_bytes), BytesMut::new());
        let mut space = None;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| Incomplete(error.to_string()))?;
            // Trailers are ignored.
            let Ok(data) = frame.into_data() else { continue };
            if space.is_none() && whole.len() + data.len() > UNRESERVED_BYTES {
                space = Some(self.intake.reserve(length.unwrap_or(max_bytes)).await);
            }
            whole.extend_from_slice(&data);
        }
        self.body.return_connection();
        Ok((self.head, whole.freeze()))
    }

    /// Reads the whole body like [`Answer::read`], with a limit on the time between its pieces
    /// instead of the whole: how long that takes depends on the size and the links.
    ///
    /// # Errors
    /// The body is truncated or larger, or nothing was received for too long.
    pub async fn read_with_idle_timeout(
        mut self,
        max_bytes: usize,
        idle_timeout: Duration,
    ) -> Result<(Parts, Bytes), Incomplete> {
        let (mut body, mut whole) = (Limited::new(&mut self.body, max_bytes), BytesMut::new());
        loop {
            let frame = timeout(idle_timeout, body.frame()).await;
            let frame = frame.map_err(|_| Incomplete(format!("no data for {idle_timeout:?}")))?;
            let Some(frame) = frame else { break };
            let frame = frame.map_err(|error| Incomplete(error.to_string()))?;
            // Trailers are ignored.
            if let Ok(data) = frame.into_data() {
                whole.extend_from_slice(&data);
            }
        }
        self.body.return_connection();
        Ok((self.head, whole.freeze()))
    }

    /// Reads the whole body like [`Answer::read`] into a holding. What the node has no space for
    /// stays in the socket; if its length is not known, except for the piece being read.
    ///
    /// # Errors
    /// The body is truncated or larger, or there is no space for it.
    pub async fn read_into(
        mut self,
        hold: &Hold,
        max_bytes: usize,
    ) -> Result<(Parts, Size), ReadError> {
        let known = self.body.size_hint().exact().filter(|length| *length <= max_bytes as u64);
        if let Some(length) = known {
            hold.grow(Size(length)).await.map_err(ReadError::Full)?;
        }
        let (mut body, mut size) = (Limited::new(&mut self.body, max_bytes), Size::ZERO);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| Incomplete(error.to_string()))?;
            // Trailers are ignored.
            let Ok(data) = frame.into_data() else { continue };
            if known.is_none() {
                hold.grow(Size::from(data.len())).await.map_err(ReadError::Full)?;
            }
            size = size.plus(Size::from(data.len()));
            // A part of a larger buffer would keep all of it.
            hold.push(Bytes::copy_from_slice(&data));
            hold.take(Size::ZERO);
        }
        self.body.return_connection();
        Ok((self.head, size))
    }

    /// Drops the body without waiting for it. A short one is read, so that the connection can be
    /// reused; if it is truncated, large or slow, the connection is closed.
    pub fn discard(mut self) {
        if self.body.is_empty() {
            self.body.return_connection();
            return;
        }
        let (peer, ordinal) = (self.address, self.ordinal());
        if self.body.size_hint().lower() > MAX_DISCARDED_BYTES as u64 {
            log::info!(peer:% = peer, over:% = ordinal; "connection closed: large body not used");
            return;
        }
        tokio::spawn(async move {
            let cause = match timeout(DISCARD_TIMEOUT, self.read(MAX_DISCARDED_BYTES)).await {
                Ok(Ok(_)) => return,
                Ok(Err(error)) => error.to_string(),
                Err(_) => format!("incomplete after {DISCARD_TIMEOUT:?}"),
            };
            log::info!(
                peer:% = peer, over:% = ordinal, error = cause;
                "connection closed: body not used"
            );
        });
    }
}
