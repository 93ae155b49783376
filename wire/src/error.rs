//! Why a message from another node is not taken.

use thiserror::Error;

/// A message that does not say what it should.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum WireError {
    /// The bytes are not a message.
    #[error("the bytes are not a message: {0}")]
    Decode(String),
    /// A part of the message is missing.
    #[error("the message lacks {0}")]
    Missing(&'static str),
    /// A part of the message has a value that it may not have.
    #[error("the message has a wrong {0}")]
    Value(&'static str),
}
