//! One holding, and the content that is held.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use sardinepick_lib::fleet::holding::ledger::{Cause, Number, body_wait};
use sardinepick_lib::fleet::holding::{Full, Growth, Purpose, Size};
use tokio::sync::Notify;
use tokio::time::sleep;

use super::{POLL_PERIOD, Shared};
use crate::lock::lock;

/// The content of a holding that can be shed: it is discarded at once then, although its reader
/// keeps the connection open.
#[derive(Debug, Default)]
pub(super) struct Content {
    pieces: Mutex<Pieces>,
    /// Notified when the reader has taken something.
    taken: Notify,
    /// Notified when the content is shed.
    shed: Notify,
    /// Whether reading it pauses.
    is_paused: AtomicBool,
}

/// Marks a content as paused until dropped.
struct Pause<'a>(&'a Content);

impl<'a> Pause<'a> {
    fn new(content: &'a Content) -> Self {
        content.is_paused.store(true, Ordering::Relaxed);
        Self(content)
    }
}

impl Drop for Pause<'_> {
    fn drop(&mut self) {
        self.0.is_paused.store(false, Ordering::Relaxed);
    }
}

#[derive(Debug, Default)]
struct Pieces {
    waiting: VecDeque<Bytes>,
    is_shed: bool,
}

impl Content {
    pub fn shed(&self) {
        let mut pieces = lock(&self.pieces);
        pieces.is_shed = true;
        pieces.waiting = VecDeque::new();
        drop(pieces);
        // Both are kept for a task that does not wait yet.
        self.taken.notify_one();
        self.shed.notify_one();
    }
}

/// What a reader finds of a held content.
#[derive(Debug)]
pub enum Taken {
    /// The next piece.
    Piece(Bytes),
    /// Nothing waits.
    Nothing,
    /// The content has been shed.
    Shed,
}

/// A holding. All that it holds is released when it is dropped.
pub struct Hold {
    content: Arc<Content>,
    shared: Arc<Shared>,
    number: Number,
    purpose: Purpose,
}

impl Hold {
    /// Counts and logs that a holding ends for lack of space.
    fn note_no_space(&self, cause: Cause, size: Size, paused: Duration) {
        let metrics = &self.shared.metrics;
        match self.purpose {
            Purpose::Body => self.shared.note_refused(cause),
            purpose => metrics.holding_sheds.with_label_values(&[<&str>::from(purpose)]).inc(),
        }
        log::info!(
            purpose:% = self.purpose, cause:% = cause, size:% = size,
            paused_ms = paused.as_millis() as u64; "no space to hold"
        );
    }

    pub(super) fn new(
        shared: Arc<Shared>,
        number: Number,
        purpose: Purpose,
        content: Arc<Content>,
    ) -> Self {
        Self { content, shared, number, purpose }
    }

    /// Whether a body of `size` can be held at all.
    pub fn fits(&self, size: Size) -> bool {
        lock(&self.shared.state).ledger.fits(size)
    }

    /// What a stream takes apart from its unread events.
    pub fn stream_buffers(&self) -> Size {
        lock(&self.shared.state).ledger.bounds().stream_buffers
    }

    /// Waits until a body of `size` may be read, at most for the part of the time `left` that a
    /// request may spend on that.
    ///
    /// # Errors
    /// There is no space in that time, or it is not to be expected.
    pub async fn begin_body(&self, size: Size, left: Duration) -> Result<(), Full> {
        let Self { shared, number, .. } = self;
        let (began, limit) = (shared.clock.now(), body_wait(left));
        loop {
            let now = shared.clock.now();
            let begun = shared.change(|state| {
                let begun = state.ledger.begin_body(*number, size, now);
                if begun.is_err() {
                    let stalled = state.ledger.shed_for_body(*number, size, now);
                    shared.shed(state, &stalled);
                }
                begun
            });
            let Err(full) = begun else { return Ok(()) };
            let waited = now.saturating_duration_since(began);
            if waited + full.after > limit {
                shared.note_refused(full.cause);
                return Err(full);
            }
            sleep(POLL_PERIOD).await;
        }
    }

    /// Waits until the holding may grow by `size`, for less than the time after which a runner gives
    /// up a response that is not read.
    ///
    /// # Errors
    /// There is no space for it, or it has been shed.
    pub async fn grow(&self, size: Size) -> Result<(), Cause> {
        let Self { shared, number, purpose, .. } = self;
        let began = shared.clock.now();
        let mut pause = None;
        loop {
            let now = shared.clock.now();
            let paused = now.saturating_duration_since(began);
            let growth = shared.change(|state| {
                let growth = state.ledger.grow(*number, size, paused, now);
                if let Growth::Pause { shed, .. } = &growth {
                    shared.shed(state, shed);
                }
                growth
            });
            match growth {
                Growth::Held => return Ok(()),
                Growth::Shed(cause) => {
                    // What was shed for others has been counted.
                    if !self.is_shed() {
                        self.note_no_space(cause, size, paused);
                    }
                    return Err(cause);
                }
                Growth::Pause { wait, shed } => {
                    if pause.is_none() {
                        pause = Some(Pause::new(&self.content));
                        shared
                            .metrics
                            .holding_pauses
                            .with_label_values(&[<&str>::from(*purpose)])
                            .inc();
                    }
                    if shed.is_empty() {
                        tokio::select! {
                            () = self.content.taken.notified() => {}
                            () = sleep(wait.min(POLL_PERIOD)) => {}
                        }
                    }
                }
            }
        }
    }

    /// Adds bytes if there is space for them now.
    ///
    /// # Errors
    /// There is none.
    pub fn try_grow(&self, size: Size) -> Result<(), Cause> {
        let Self { shared, number, .. } = self;
        let now = shared.clock.now();
        let growth = shared.change(|state| state.ledger.grow(*number, size, Duration::MAX, now));
        match growth {
            Growth::Held => Ok(()),
            Growth::Shed(cause) => {
                shared.note_refused(cause);
                Err(cause)
            }
            Growth::Pause { .. } => Err(Cause::Memory),
        }
    }

    /// Records that the body has no known length.
    pub fn expect_growth(&self) {
        lock(&self.shared.state).ledger.expect_growth(self.number);
    }

    /// Records that `size` of a body has been received.
    pub fn note_received(&self, size: Size) {
        let now = self.shared.clock.now();
        lock(&self.shared.state).ledger.note_received(self.number, size, now);
    }

    /// Records that the body has been read to its end.
    pub fn note_body_read(&self) {
        lock(&self.shared.state).ledger.note_body_read(self.number);
    }

    /// Counts bytes that are held in any case.
    pub fn count(&self, size: Size) {
        self.shared.change(|state| state.ledger.count(self.number, size));
    }

    /// Releases bytes that the reader has taken. Without any it records that the content is not
    /// stalled.
    pub fn take(&self, size: Size) {
        let Self { shared, number, .. } = self;
        let now = shared.clock.now();
        shared.change(|state| state.ledger.take(*number, size, now));
        self.content.taken.notify_one();
    }

    /// Whether it waits for space to grow.
    pub fn is_paused(&self) -> bool {
        self.content.is_paused.load(Ordering::Relaxed)
    }

    /// Adds a piece to the content, which must have been counted.
    pub fn push(&self, piece: Bytes) {
        let mut pieces = lock(&self.content.pieces);
        if !pieces.is_shed {
            pieces.waiting.push_back(piece);
        }
    }

    /// Takes the next piece of the content.
    pub fn pop(&self) -> Taken {
        let mut pieces = lock(&self.content.pieces);
        if pieces.is_shed {
            return Taken::Shed;
        }
        pieces.waiting.pop_front().map_or(Taken::Nothing, Taken::Piece)
    }

    /// Whether the content has been shed.
    pub fn is_shed(&self) -> bool {
        lock(&self.content.pieces).is_shed
    }

    /// Waits until the content is shed.
    pub async fn shed(&self) {
        loop {
            if self.is_shed() {
                return;
            }
            self.content.shed.notified().await;
        }
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let Self { shared, number, .. } = self;
        let now = shared.clock.now();
        shared.change(|state| {
            state.ledger.end(*number, now);
            state.contents.remove(number);
        });
    }
}
