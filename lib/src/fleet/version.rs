//! Versions of the software of runners.

use std::fmt;
use std::str::FromStr;

use smol_str::SmolStr;
use thiserror::Error;

/// The maximum length of a version in bytes.
pub const MAX_VERSION_LEN: usize = 128;

/// The version of a runner's software. Versions are compared for equality only: a release may
/// return to an earlier one, and the text has no agreed order.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Version(SmolStr);

/// The error for text that is not a version.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("a version has at most {MAX_VERSION_LEN} bytes, this one has {0}")]
pub struct VersionError(usize);

impl Version {
    /// The version as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

impl FromStr for Version {
    type Err = VersionError;

    fn from_str(text: &str) -> Result<Self, VersionError> {
        Self::try_from(SmolStr::new(text))
    }
}

impl TryFrom<SmolStr> for Version {
    type Error = VersionError;

    fn try_from(text: SmolStr) -> Result<Self, VersionError> {
        if text.len() > MAX_VERSION_LEN {
            return Err(VersionError(text.len()));
        }
        Ok(Self(text))
    }
}
