//! Events of a stream, cut out of the bytes as they come.
//!
//! A runner may stop in the middle of an event. Only whole events are passed on, so that a run that
//! goes on elsewhere begins cleanly where the one before ended.

use bytes::{Bytes, BytesMut};
use memchr::memmem;
use smol_str::SmolStr;

/// One whole event, with the empty line that ends it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Its bytes.
    pub bytes: Bytes,
    /// Its id, if it has one.
    pub id: Option<SmolStr>,
}

/// Cuts events out of a stream of bytes.
#[derive(Debug, Default)]
pub struct Splitter {
    rest: BytesMut,
}

/// The most bytes of one event; beyond it a stream is taken to be broken.
pub const MOST_EVENT: usize = 1 << 20;

impl Splitter {
    /// Adds bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.rest.extend_from_slice(bytes);
    }

    /// The next whole event, if one has come.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = end(&self.rest)?;
        let bytes = self.rest.split_to(end).freeze();
        let id = id(&bytes);
        Some(Event { bytes, id })
    }

    /// Bytes that are no whole event yet.
    pub fn rest(&self) -> &[u8] {
        &self.rest
    }
}

/// Where the first event ends: behind its empty line, in either form of line ends.
fn end(bytes: &[u8]) -> Option<usize> {
    let plain = memmem::find(bytes, b"\n\n").map(|at| at + 2);
    let carriage = memmem::find(bytes, b"\r\n\r\n").map(|at| at + 4);
    match (plain, carriage) {
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
