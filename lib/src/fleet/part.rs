//! Ids of prompt parts, as callers name them.

use std::fmt;

use smol_str::SmolStr;

/// The maximum number of parts that a list of ids shows.
const MAX_LISTED: usize = 8;
/// The maximum number of characters of an id that a list of ids shows.
const MAX_LISTED_CHARS: usize = 32;

/// The id of a prompt part that requests may share, in a canonical form: callers and runners may
/// write a hexadecimal id in either case and with leading zeros.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PartId(SmolStr);

impl PartId {
    /// Returns the id as written by a caller in its canonical form; `None` if it is empty.
    pub fn new(text: &str) -> Option<Self> {
        let text = text.trim();
        if text.is_empty() {
            return None;
        }
        if !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Some(Self(SmolStr::new(text.to_lowercase())));
        }
        let digits = text.trim_start_matches('0');
        Some(Self(SmolStr::new(if digits.is_empty() {
            "0".to_owned()
        } else {
            digits.to_ascii_lowercase()
        })))
    }

    /// The id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

/// A list of ids for logs, of bounded length.
#[derive(Clone, Copy, Debug)]
pub struct List<'a>(pub &'a [PartId]);

impl fmt::Display for List<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, id) in self.0.iter().take(MAX_LISTED).enumerate() {
            let separator = if n > 0 { "," } else { "" };
            write!(f, "{separator}{id:.MAX_LISTED_CHARS$}")?;
        }
        match self.0.len().saturating_sub(MAX_LISTED) {
            0 => Ok(()),
            more => write!(f, ",+{more}"),
        }
    }
}
