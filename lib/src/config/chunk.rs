//! Content-addressed chunks, in which a configuration is stored and transferred.
//!
//! Objects are distributed over a fixed number of buckets by the hash of their key, so that a change to
//! one object creates one new chunk and one new root, whatever the size of the configuration.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::record::{Key, Record};
use crate::hash::{Digest, stable_hash};

/// The number of buckets. With 6,800 accounts and 1,600 runners of about 200 bytes each, a bucket has
/// about 15 KB, far below the platform's limit of 1 MiB, and the root has 9 KB.
pub const BUCKETS: usize = 128;

/// The maximum size of a value in the platform's store, in bytes.
pub const MAX_VALUE: usize = 1 << 20;

const BUCKET_SEED: u64 = 0x6275_636b;

/// The serialized objects of one bucket and their digest.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Chunk {
    /// The digest of the bytes, which names the chunk.
    pub digest: Digest,
    /// The objects as JSON.
    pub bytes: Vec<u8>,
}

/// The digests of all chunks of one configuration, by bucket; `None` for an empty bucket.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Root {
    /// One entry per bucket.
    pub chunks: Vec<Option<Digest>>,
}

/// An invalid chunk.
#[derive(Debug, Error)]
pub enum ChunkError {
    /// The bytes do not have the requested digest.
    #[error("chunk {expected} has content with digest {found}")]
    Digest {
        /// The requested digest.
        expected: Digest,
        /// The digest of the received bytes.
        found: Digest,
    },
    /// The bytes are not JSON of the expected type.
    #[error("chunk {digest} cannot be parsed: {source}")]
    Form {
        /// The chunk.
        digest: Digest,
        /// The JSON error.
        source: serde_json::Error,
    },
}

fn bucket(key: &Key) -> usize {
    let kind: &str = key.kind.into();
    let seed = stable_hash(BUCKET_SEED, kind.as_bytes());
    (stable_hash(seed, key.name.as_str().as_bytes()) % BUCKETS as u64) as usize
}

impl Chunk {
    /// A chunk of locally created bytes.
    pub fn new(bytes: Vec<u8>) -> Self {
        Self { digest: Digest::of(&bytes), bytes }
    }

    /// A chunk of received bytes, which must have the requested digest.
    ///
    /// # Errors
    /// [`ChunkError::Digest`] if the digest differs.
    pub fn verified(expected: Digest, bytes: Vec<u8>) -> Result<Self, ChunkError> {
        let chunk = Self::new(bytes);
        if chunk.digest != expected {
            return Err(ChunkError::Digest { expected, found: chunk.digest });
        }
        Ok(chunk)
    }

    /// Deserializes the content.
    ///
    /// # Errors
    /// [`ChunkError::Form`] if it is not JSON of type `T`.
    pub fn read<T: for<'de> Deserialize<'de>>(&self) -> Result<T, ChunkError> {
        serde_json::from_slice(&self.bytes)
            .map_err(|source| ChunkError::Form { digest: self.digest, source })
    }

    /// Serializes `value` into a chunk.
    pub fn write<T: Serialize>(value: &T) -> Self {
        Self::new(serde_json::to_vec(value).expect("configuration types serialize to JSON"))
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

/// Reassembles records from chunks.
///
/// # Errors
/// The first chunk that cannot be parsed.
pub fn join(chunks: &[Chunk]) -> Result<BTreeMap<Key, Arc<Record>>, ChunkError> {
    let mut records = BTreeMap::new();
    for chunk in chunks {
        for record in chunk.read::<Vec<Record>>()? {
            records.insert(record.key.clone(), Arc::new(record));
        }
    }
    Ok(records)
}
