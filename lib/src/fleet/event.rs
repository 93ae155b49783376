//! Splits a byte stream into server-sent events.
//!
//! A runner may stop in the middle of an event. Only complete events are passed on, so that a run
//! that continues elsewhere starts cleanly where the previous one ended.

use bytes::{Bytes, BytesMut};
use memchr::memmem;
use smol_str::SmolStr;
use thiserror::Error;

/// A complete event, including the empty line that ends it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// The bytes of the event.
    pub bytes: Bytes,
    /// The id of the event, if it has one.
    pub id: Option<SmolStr>,
}

/// Splits a stream of bytes into events.
#[derive(Debug, Default)]
pub struct Splitter {
    rest: BytesMut,
    /// How many of these bytes have been searched for the end of the event.
    searched: usize,
}

/// The maximum size of an event, in bytes; a stream that exceeds it is treated as broken.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// The length of the longest end of an event: an empty line.
const MAX_END: usize = 4;

/// An event exceeds [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("event of more than {MAX_EVENT_BYTES} bytes")]
pub struct TooLarge;

impl Splitter {
    /// Appends bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.rest.extend_from_slice(bytes);
    }

    /// The next complete event, if there is one.
    ///
    /// # Errors
    /// It is too large, complete or not.
    pub fn next_event(&mut self) -> Result<Option<Event>, TooLarge> {
        // The end may have begun in the bytes that have been searched.
        let from = self.searched.saturating_sub(MAX_END - 1);
        let end = end(&self.rest[from..]).map(|end| from + end);
        self.searched = if end.is_some() { 0 } else { self.rest.len() };
        if end.unwrap_or(self.rest.len()) > MAX_EVENT_BYTES {
            return Err(TooLarge);
        }
        let Some(end) = end else { return Ok(None) };
        let bytes = self.rest.split_to(end).freeze();
        let id = id(&bytes);
        Ok(Some(Event { bytes, id }))
    }

    /// The bytes of the incomplete event at the end.
    pub fn rest(&self) -> &[u8] {
        &self.rest
    }
}

/// The end of the first event: after its empty line, with either kind of line ending.
fn end(bytes: &[u8]) -> Option<usize> {
    let lf = memmem::find(bytes, b"\n\n").map(|at| at + 2);
    let crlf = memmem::find(bytes, b"\r\n\r\n").map(|at| at + 4);
    match (lf, crlf) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

fn id(event: &[u8]) -> Option<SmolStr> {
    let lines = event.split(|byte| *byte == b'\n');
    let mut values = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let text = std::str::from_utf8(values.next_back()?).ok()?;
    Some(SmolStr::new(text.trim()))
}
