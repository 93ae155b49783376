//! Sizes and rates, with the unit in the type.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Declares a newtype over `u32` or `u64` that prints and parses as a plain number.
macro_rules! quantity {
    ($(#[$meta:meta])* $name:ident, $raw:ty) => {
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $raw);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, ParseIntError> {
                text.parse().map(Self)
            }
        }
    };
}

quantity!(
    /// A number of tokens.
    Tokens, u32
);
quantity!(
    /// Tokens per second.
    TokenRate, u32
);
quantity!(
    /// Requests per second.
    RequestRate, u32
);
quantity!(
    /// A share in percent.
    Percent, u32
);
