//! How a node gets the latest configuration.
//!
//! A few nodes in each data centre watch the store. All others learn of a new generation from
//! peers, which include theirs in every message. Missing parts are fetched first from the peer that
//! announced the generation, then from others that have it and finally from the store, so that the
//! load on the store does not grow with the number of nodes. A node only moves to a higher
//! generation: a stale read or a peer that is behind cannot restore an old configuration.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use smallvec::SmallVec;
use thiserror::Error;

use crate::config::chunk::{Chunk, ChunkError, Root, join};
use crate::config::head::{Head, Operation};
use crate::config::object::ObjectError;
use crate::config::snapshot::Snapshot;
use crate::hash::Digest;
use crate::id::{Generation, Name};

/// How long a fetch may take before another source is tried.
pub const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// How many sources are remembered per generation.
const MAX_SOURCES: usize = 4;

/// The source of a head or chunk.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Source {
    /// Another node.
    Peer(Name),
    /// The platform's store.
    Store,
}

/// A fetch that the caller has to perform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Fetch the head.
    Head(Source),
    /// Fetch chunks.
    Chunks(Source, Vec<Digest>),
}

/// Why a newer head is rejected.
#[derive(Debug, Error)]
pub enum ConfigFetchError {
    /// A chunk is invalid.
    #[error(transparent)]
    Chunk(#[from] ChunkError),
    /// The head does not match its operation.
    #[error("head of generation {0} does not match its operation")]
    Mismatch(Generation),
    /// The configuration is invalid, which may also be the case for one that a newer release has
    /// written.
    #[error("configuration of generation {0} is invalid: {1:?}")]
    Invalid(Generation, Vec<ObjectError>),
}

#[derive(Clone, Debug)]
struct Fetch {
    head: Option<Head>,
    sources: SmallVec<[Name; MAX_SOURCES]>,
    attempts: usize,
    requested_at: Option<Instant>,
    chunks: BTreeMap<Digest, Chunk>,
}

/// A configuration with all of its parts.
#[derive(Clone, Debug, Default)]
pub struct Installed {
    /// The head.
    pub head: Head,
    /// The validated configuration.
    pub snapshot: Snapshot,
    /// The chunks, which other nodes may fetch.
    pub chunks: BTreeMap<Digest, Chunk>,
}

/// The state of one node's configuration fetches.
#[derive(Debug, Default)]
pub struct ConfigFetcher {
    installed: Installed,
    fetch: Option<Fetch>,
    wanted: Generation,
}

impl ConfigFetcher {
    /// The configuration in force.
    pub fn installed(&self) -> &Installed {
        &self.installed
    }

    /// The highest known generation.
    pub fn wanted(&self) -> Generation {
        self.wanted.max(self.installed.head.generation)
    }

    /// Records that a peer has `generation`.
    pub fn on_advertised(&mut self, peer: &Name, generation: Generation) {
        if generation <= self.installed.head.generation {
            return;
        }
        if generation > self.wanted {
            self.wanted = generation;
            self.fetch = Some(Fetch::new(None));
        }
        if let Some(fetch) = &mut self.fetch
            && fetch.sources.len() < MAX_SOURCES
            && !fetch.sources.contains(peer)
        {
            fetch.sources.push(peer.clone());
        }
    }

    /// Handles a head from any source. Heads that are not newer are ignored.
    pub fn on_head(&mut self, head: Head) {
        if head.generation <= self.installed.head.generation {
            return;
        }
        self.wanted = self.wanted.max(head.generation);
        let fetch = self.fetch.get_or_insert_with(|| Fetch::new(None));
        let newer = fetch.head.as_ref().is_none_or(|h| h.generation < head.generation);
        if newer {
            fetch.head = Some(head);
            fetch.requested_at = None;
        }
    }

    /// Handles chunks from any source and returns the new configuration once it is complete.
    ///
    /// # Errors
    /// The head or its contents are invalid. The head is dropped and a later one can still be used.
    pub fn on_chunks(
        &mut self,
        chunks: Vec<Chunk>,
    ) -> Result<Option<&Installed>, ConfigFetchError> {
        let Some(fetch) = &mut self.fetch else { return Ok(None) };
        for chunk in chunks {
            fetch.chunks.insert(chunk.digest, chunk);
        }
        fetch.requested_at = None;
        let Some(head) = fetch.head.clone() else { return Ok(None) };
        if !missing(&head, &fetch.chunks, &self.installed.chunks)?.is_empty() {
            return Ok(None);
        }
        let fetched = self.fetch.take().map(|f| f.chunks).unwrap_or_default();
        let installed = assemble(head, &fetched, &self.installed)?;
        self.installed = installed;
        Ok(Some(&self.installed))
    }

    /// Installs a configuration that this node has written itself.
    pub fn install_own(&mut self, installed: Installed) {
        if installed.head.generation > self.installed.head.generation {
            self.installed = installed;
            self.fetch = None;
        }
    }

    /// Records that a source did not deliver what was requested.
    pub fn on_fetch_failed(&mut self) {
        if let Some(fetch) = &mut self.fetch {
            fetch.requested_at = None;
            fetch.attempts += 1;
        }
    }

    /// Returns what to fetch at `now`.
    pub fn poll(&mut self, now: Instant) -> Option<Action> {
        let installed = &self.installed.chunks;
        let fetch = self.fetch.as_mut()?;
        if let Some(requested_at) = fetch.requested_at {
            if now < requested_at + FETCH_TIMEOUT {
                return None;
            }
            fetch.attempts += 1;
        }
        fetch.requested_at = Some(now);
        let source = fetch.source();
        let Some(head) = &fetch.head else { return Some(Action::Head(source)) };
        let missing = missing(head, &fetch.chunks, installed).unwrap_or_default();
        Some(Action::Chunks(source, missing))
    }
}

impl Fetch {
    fn new(head: Option<Head>) -> Self {
        Self {
            head,
            sources: SmallVec::new(),
            attempts: 0,
            requested_at: None,
            chunks: BTreeMap::new(),
        }
    }

    /// Each peer in turn, then the store, then the peers again.
    fn source(&self) -> Source {
        let index = self.attempts % (self.sources.len() + 1);
        self.sources.get(index).map_or(Source::Store, |name| Source::Peer(name.clone()))
    }
}

type Chunks = BTreeMap<Digest, Chunk>;

/// The chunks that `head` needs and that neither map contains.
fn missing(head: &Head, fetched: &Chunks, installed: &Chunks) -> Result<Vec<Digest>, ChunkError> {
    let find = |digest: &Digest| fetched.get(digest).or_else(|| installed.get(digest));
    let mut missing = Vec::new();
    if find(&head.operation).is_none() {
        missing.push(head.operation);
    }
    match find(&head.root) {
        None => missing.push(head.root),
        Some(chunk) => {
            let root: Root = chunk.read()?;
            missing.extend(root.chunks.into_iter().flatten().filter(|d| find(d).is_none()));
        }
    }
    Ok(missing)
}

/// Assembles a configuration whose chunks are all present.
fn assemble(
    head: Head,
    fetched: &Chunks,
    before: &Installed,
) -> Result<Installed, ConfigFetchError> {
    let find = |digest: &Digest| fetched.get(digest).or_else(|| before.chunks.get(digest)).cloned();
    let mismatch = || ConfigFetchError::Mismatch(head.generation);
    let operation_chunk = find(&head.operation).ok_or_else(mismatch)?;
    let operation: Operation = operation_chunk.read()?;
    if operation.generation != head.generation || operation.root != head.root {
        return Err(mismatch());
    }
    let root_chunk = find(&head.root).ok_or_else(mismatch)?;
    let root: Root = root_chunk.read()?;
    let parts: Vec<Chunk> =
        root.chunks.iter().flatten().map(find).collect::<Option<_>>().ok_or_else(mismatch)?;
    let records = join(&parts)?;
    let snapshot = Snapshot::build(head.generation, records, Some(&before.snapshot))
        .map_err(|errors| ConfigFetchError::Invalid(head.generation, errors))?;
    let all = parts.into_iter().chain([operation_chunk, root_chunk]);
    let chunks = all.map(|chunk| (chunk.digest, chunk)).collect();
    Ok(Installed { head, snapshot, chunks })
}
