//! Fingerprints, which identify equal requests across attempts and callers.

use std::fmt;
use std::str::FromStr;

use sha2::{Digest as _, Sha256};
use thiserror::Error;

use crate::hash::{read_hex, write_hex};

/// The length of a fingerprint in bytes.
const LENGTH: usize = 16;

/// A hash of what a runner is asked. It is collision-resistant, as a caller must not be able to
/// construct a request that is taken for another caller's.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Fingerprint([u8; LENGTH]);

/// The error for text or bytes that are not a fingerprint.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("a fingerprint is {} hexadecimal digits", LENGTH * 2)]
pub struct FingerprintError;

impl Fingerprint {
    /// The fingerprint of a request from its parts, such as path and body, in order.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hash = Sha256::new();
        for part in parts {
            // Lengths separate the parts, so that moving bytes between adjacent parts changes the
            // hash.
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        let digest = hash.finalize();
        let mut bytes = [0; LENGTH];
        bytes.copy_from_slice(&digest[..LENGTH]);
        Self(bytes)
    }

    /// The bytes of the fingerprint.
    pub fn as_bytes(&self) -> &[u8; LENGTH] {
        &self.0
    }
}

impl TryFrom<&[u8]> for Fingerprint {
    type Error = FingerprintError;

    fn try_from(bytes: &[u8]) -> Result<Self, FingerprintError> {
        bytes.try_into().map(Self).map_err(|_| FingerprintError)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_hex(&self.0, f)
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for Fingerprint {
    type Err = FingerprintError;

    fn from_str(text: &str) -> Result<Self, FingerprintError> {
        read_hex(text).map(Self).ok_or(FingerprintError)
    }
}
