//! Hashes: SHA-256 for content addresses and keys, XXH3 for placement.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use smol_str::SmolStr;
use subtle::ConstantTimeEq;
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The length of a digest in bytes.
pub const DIGEST_LEN: usize = 32;

/// A SHA-256 digest, written as 64 hexadecimal digits.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(try_from = "SmolStr", into = "SmolStr")]
pub struct Digest(pub [u8; DIGEST_LEN]);

/// An error from parsing a [`Digest`].
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("a digest is {} hexadecimal digits", DIGEST_LEN * 2)]
pub struct DigestError;

impl Digest {
    /// Computes the digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }

    /// Compares two digests in constant time.
    pub fn matches(&self, other: &Digest) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_hex(&self.0, f)
    }
}

impl FromStr for Digest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, DigestError> {
        read_hex(text).map(Self).ok_or(DigestError)
    }
}

/// Writes bytes as hexadecimal digits.
pub(crate) fn write_hex(bytes: &[u8], f: &mut fmt::Formatter<'_>) -> fmt::Result {
    bytes.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
}

/// Parses exactly `N` bytes of hexadecimal digits. Returns `None` for any other text.
pub(crate) fn read_hex<const N: usize>(text: &str) -> Option<[u8; N]> {
    if text.len() != N * 2 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    let mut bytes = [0; N];
    for (index, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[index * 2..index * 2 + 2], 16).ok()?;
    }
    Some(bytes)
}

impl TryFrom<SmolStr> for Digest {
    type Error = DigestError;

    fn try_from(text: SmolStr) -> Result<Self, DigestError> {
        text.parse()
    }
}

impl From<Digest> for SmolStr {
    fn from(digest: Digest) -> SmolStr {
        SmolStr::new(digest.to_string())
    }
}

/// A hash that is the same in every process and release. It is used for placement.
pub fn stable_hash(seed: u64, bytes: &[u8]) -> u64 {
    xxh3_64_with_seed(bytes, seed)
}

/// The weight of `member` for `duty` in rendezvous hashing. The member with the highest weight is
/// chosen.
pub fn rendezvous_weight(duty: u64, member: &[u8]) -> u64 {
    stable_hash(duty, member)
}
