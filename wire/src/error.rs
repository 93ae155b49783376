//! Errors in messages from other nodes.

use thiserror::Error;

/// A malformed message.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum WireError {
    /// The bytes are not a valid message.
    #[error("cannot decode message: {0}")]
    Decode(String),
    /// A required part of the message is missing.
    #[error("message without {0}")]
    Missing(&'static str),
    /// A part of the message has an invalid value.
    #[error("message with invalid {0}")]
    Value(&'static str),
}
