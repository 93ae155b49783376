//! Names and identifiers, each with a type of its own so that one cannot be passed for another.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

/// The longest name that is accepted, in bytes.
pub const MAX_NAME_LEN: usize = 64;

/// A name that breaks the rules for names.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum NameError {
    /// The name has no characters.
    #[error("a name must not be empty")]
    Empty,
    /// The name is longer than [`MAX_NAME_LEN`].
    #[error("a name has at most {MAX_NAME_LEN} bytes, this one has {0}")]
    TooLong(usize),
    /// The name has a character that names may not have.
    #[error("a name is made of a-z, 0-9, '-', '_' and '.', not {0:?}")]
    Character(char),
}

fn check_name(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAX_NAME_LEN {
        return Err(NameError::TooLong(text.len()));
    }
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
    match text.chars().find(|c| !allowed(*c)) {
        Some(c) => Err(NameError::Character(c)),
        None => Ok(()),
    }
}

/// The name of a configured object, a data centre or a node.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "SmolStr", into = "SmolStr")]
pub struct Name(SmolStr);

impl Name {
    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

impl FromStr for Name {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        check_name(text)?;
        Ok(Self(SmolStr::new(text)))
    }
}

impl TryFrom<SmolStr> for Name {
    type Error = NameError;

    fn try_from(text: SmolStr) -> Result<Self, NameError> {
        check_name(&text)?;
        Ok(Self(text))
    }
}

impl TryFrom<&str> for Name {
    type Error = NameError;

    fn try_from(text: &str) -> Result<Self, NameError> {
        text.parse()
    }
}

impl From<Name> for SmolStr {
    fn from(name: Name) -> SmolStr {
        name.0
    }
}

/// Declares a newtype over text that others give, such as an id drawn by the platform. Nothing is
/// asked of its characters, so that no id a deployment may draw is refused; only its length is
/// bounded, so that a broken sender cannot fill the memory.
macro_rules! given {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(
            Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
        )]
        #[serde(try_from = "SmolStr", into = "SmolStr")]
        pub struct $name(SmolStr);

        impl $name {
            /// The id as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                match text.len() {
                    0 => Err(NameError::Empty),
                    1..=MAX_GIVEN_LEN => Ok(Self(SmolStr::new(text))),
                    len => Err(NameError::TooLong(len)),
                }
            }
        }

        impl TryFrom<SmolStr> for $name {
            type Error = NameError;

            fn try_from(text: SmolStr) -> Result<Self, NameError> {
                text.parse()
            }
        }

        impl TryFrom<&str> for $name {
            type Error = NameError;

            fn try_from(text: &str) -> Result<Self, NameError> {
                text.parse()
            }
        }

        impl From<$name> for SmolStr {
            fn from(id: $name) -> SmolStr {
                id.0
            }
        }
    };
}

/// The longest id of another's making that is accepted, in bytes.
pub const MAX_GIVEN_LEN: usize = 256;

given!(
    /// A runner, as the platform names it. It may start again under its id; [`StartTime`] tells its lives
    /// apart.
    RunnerId
);
given!(
    /// A service, as the platform's configuration names it.
    ServiceId
);
given!(
    /// A node, as its settings name it.
    NodeId
);
given!(
    /// A data centre.
    DataCentre
);
given!(
    /// A client account, as the platform's configuration names it.
    AccountId
);

/// Declares a counter-like newtype over `u64` with `Display`, `FromStr` and `next`.
macro_rules! counter {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The value that follows this one.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    };
}

counter!(
    /// The number of an accepted configuration; it only ever goes up.
    Generation
);
counter!(
    /// The version of the platform's configuration; it only ever goes up, in uneven steps.
    ConfigVersion
);
counter!(
    /// The number of a lease's holding; each new holder has a higher one. It is the fencing number
    /// that goes with every order to an engine.
    Epoch
);
counter!(
    /// One life of a node process, taken from the clock at its start.
    Incarnation
);
counter!(
    /// When a runner's process began, in milliseconds since 1970 by its own clock. A runner that starts
    /// again under its id has a later one.
    StartTime
);
counter!(
    /// The number of a window of time for which usage is counted.
    Window
);
counter!(
    /// The version of the table of owners, see [`crate::owner`].
    Version
);
counter!(
    /// One request inside one node.
    RequestId
);
counter!(
    /// The number of one try at a request, from 1.
    Attempt
);
