//! Content-addressed chunks: the form in which a configuration is stored and passed on.
//!
//! Objects fall into a fixed number of buckets by the hash of their key, so that a change to one
//! object makes one new chunk and one new root, whatever the size of the whole.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::record::{Key, Record};
use crate::hash::{Digest, stable_hash};

/// How many buckets objects fall into. At 6,800 accounts and 1,600 runners of some 200 bytes a
/// bucket has some 15 KB, far below the platform's megabyte, and the root 9 KB.
pub const BUCKETS: usize = 128;

/// The largest value that the platform's service holds, in bytes.
pub const MAX_VALUE: usize = 1 << 20;

const BUCKET_SEED: u64 = 0x6275_636b;

/// The objects of one bucket as bytes, with their digest.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Chunk {
    /// The digest of the bytes, which is the chunk's name.
    pub digest: Digest,
    /// The objects, written as JSON.
    pub bytes: Vec<u8>,
}

/// The digests of all chunks of one configuration, by bucket; `None` for an empty bucket.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Root {
    /// One entry a bucket.
    pub chunks: Vec<Option<Digest>>,
}

/// Why bytes are not a chunk.
#[derive(Debug, Error)]
pub enum ChunkError {
    /// The bytes do not have the digest that they were asked by.
    #[error("chunk {expected} has bytes with digest {found}")]
    Digest {
        /// The digest that was asked for.
        expected: Digest,
        /// The digest of what came.
        found: Digest,
    },
    /// The bytes are not JSON of the expected form.
    #[error("chunk {digest} cannot be read: {source}")]
    Form {
        /// The chunk.
        digest: Digest,
        /// What the JSON reader says.
        source: serde_json::Error,
    },
}

fn bucket(key: &Key) -> usize {
    let kind: &str = key.kind.into();
    let seed = stable_hash(BUCKET_SEED, kind.as_bytes());
    (stable_hash(seed, key.name.as_str().as_bytes()) % BUCKETS as u64) as usize
}

impl Chunk {
    /// Wraps bytes of our own making.
    pub fn new(bytes: Vec<u8>) -> Self {
        Self { digest: Digest::of(&bytes), bytes }
    }

    /// Wraps bytes from elsewhere, which must have the digest that they were asked by.
    ///
    /// # Errors
    /// [`ChunkError::Digest`] when they have another.
    pub fn checked(expected: Digest, bytes: Vec<u8>) -> Result<Self, ChunkError> {
        let chunk = Self::new(bytes);
        if chunk.digest != expected {
            return Err(ChunkError::Digest { expected, found: chunk.digest });
        }
        Ok(chunk)
    }

    /// Reads the chunk's JSON.
    ///
    /// # Errors
    /// [`ChunkError::Form`] when it is not what is expected.
    pub fn read<T: for<'de> Deserialize<'de>>(&self) -> Result<T, ChunkError> {
        serde_json::from_slice(&self.bytes)
            .map_err(|source| ChunkError::Form { digest: self.digest, source })
    }

    /// Writes `value` as a chunk.
    pub fn write<T: Serialize>(value: &T) -> Self {
        Self::new(serde_json::to_vec(value).expect("configuration types are JSON"))
    }
}

/// Splits records into chunks.
pub fn split(records: &BTreeMap<Key, Arc<Record>>) -> (Root, Vec<Chunk>) {
    let mut buckets: Vec<Vec<&Record>> = vec![Vec::new(); BUCKETS];
    for (key, record) in records {
        buckets[bucket(key)].push(record);
    }
    let mut root = Root { chunks: Vec::with_capacity(BUCKETS) };
    let mut chunks = Vec::new();
    for records in buckets {
        if records.is_empty() {
            root.chunks.push(None);
            continue;
        }
        let chunk = Chunk::write(&records);
        root.chunks.push(Some(chunk.digest));
        chunks.push(chunk);
    }
    (root, chunks)
}

/// Puts records together from chunks.
///
/// # Errors
/// A chunk that cannot be read.
pub fn join(chunks: &[Chunk]) -> Result<BTreeMap<Key, Arc<Record>>, ChunkError> {
    let mut records = BTreeMap::new();
    for chunk in chunks {
        for record in chunk.read::<Vec<Record>>()? {
            records.insert(record.key.clone(), Arc::new(record));
        }
    }
    Ok(records)
}
