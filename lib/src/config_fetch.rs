//! How a node comes to have the newest configuration.
//!
//! A few nodes of each data centre watch the store; all others hear of a new generation from
//! peers, which say with every message which one they have. What is missing is fetched from the
//! peer that told, then from others that have it, and only then from the store, so that the
//! store's calls do not grow with the nodes. A node takes a higher generation only: a stale read
//! or a peer that is behind can never bring an old configuration back.

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

/// How many sources are remembered for a generation.
const MAX_SOURCES: usize = 4;

/// Where a head or chunk comes from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Source {
    /// Another node.
    Peer(Name),
    /// The platform's store.
    Store,
}

/// What a spreader wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Fetch the head.
    Head(Source),
    /// Fetch chunks.
    Chunks(Source, Vec<Digest>),
}

/// Why a head is not taken although it is newer.
#[derive(Debug, Error)]
pub enum ConfigFetchError {
    /// A chunk is not what it should be.
    #[error(transparent)]
    Chunk(#[from] ChunkError),
    /// The head and its operation do not belong together.
    #[error("head of generation {0} does not match its operation")]
    Mismatch(Generation),
    /// The configuration is not right, as one made by a newer release may seem.
    #[error("configuration of generation {0} is invalid: {1:?}")]
    Invalid(Generation, Vec<ObjectError>),
}

#[derive(Clone, Debug)]
struct Fetch {
    head: Option<Head>,
    sources: SmallVec<[Name; MAX_SOURCES]>,
    attempts: usize,
    asked: Option<Instant>,
    chunks: BTreeMap<Digest, Chunk>,
}

/// A configuration with all it is made of.
#[derive(Clone, Debug, Default)]
pub struct Installed {
    /// The head.
    pub head: Head,
    /// The checked configuration.
    pub snapshot: Snapshot,
    /// The chunks that others may ask for.
    pub chunks: BTreeMap<Digest, Chunk>,
}

/// One node's part in spreading.
#[derive(Debug, Default)]
pub struct ConfigFetcher {
    installed: Installed,
    fetch: Option<Fetch>,
    wanted: Generation,
}

impl ConfigFetcher {
    /// The configuration in force here.
    pub fn installed(&self) -> &Installed {
        &self.installed
    }

    /// The highest generation heard of.
    pub fn wanted(&self) -> Generation {
        self.wanted.max(self.installed.head.generation)
    }

    /// Notes that a peer has `generation`.
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

    /// Takes in a head from anywhere. Older ones are left out.
    pub fn on_head(&mut self, head: Head) {
        if head.generation <= self.installed.head.generation {
            return;
        }
        self.wanted = self.wanted.max(head.generation);
        let fetch = self.fetch.get_or_insert_with(|| Fetch::new(None));
        let newer = fetch.head.as_ref().is_none_or(|h| h.generation < head.generation);
        if newer {
            fetch.head = Some(head);
            fetch.asked = None;
        }
    }

    /// Takes in chunks from anywhere and gives the new configuration once it is whole.
    ///
    /// # Errors
    /// The head is given up when what it names does not fit; the next one is taken.
    pub fn on_chunks(
        &mut self,
        chunks: Vec<Chunk>,
    ) -> Result<Option<&Installed>, ConfigFetchError> {
        let Some(fetch) = &mut self.fetch else { return Ok(None) };
        for chunk in chunks {
            fetch.chunks.insert(chunk.digest, chunk);
        }
        fetch.asked = None;
        let Some(head) = fetch.head.clone() else { return Ok(None) };
        if !missing(&head, &fetch.chunks, &self.installed.chunks)?.is_empty() {
            return Ok(None);
        }
        let fetched = self.fetch.take().map(|f| f.chunks).unwrap_or_default();
        let installed = assemble(head, &fetched, &self.installed)?;
        self.installed = installed;
        Ok(Some(&self.installed))
    }

    /// Takes over a configuration that this node wrote itself.
    pub fn install_own(&mut self, installed: Installed) {
        if installed.head.generation > self.installed.head.generation {
            self.installed = installed;
            self.fetch = None;
        }
    }

    /// Notes that a source did not give what it was asked for.
    pub fn on_fetch_failed(&mut self) {
        if let Some(fetch) = &mut self.fetch {
            fetch.asked = None;
            fetch.attempts += 1;
        }
    }

    /// What to fetch at `now`.
    pub fn poll(&mut self, now: Instant) -> Option<Action> {
        let installed = &self.installed.chunks;
        let fetch = self.fetch.as_mut()?;
        if let Some(asked) = fetch.asked {
            if now < asked + FETCH_TIMEOUT {
                return None;
            }
            fetch.attempts += 1;
        }
        fetch.asked = Some(now);
        let source = fetch.source();
        let Some(head) = &fetch.head else { return Some(Action::Head(source)) };
        let missing = missing(head, &fetch.chunks, installed).unwrap_or_default();
        Some(Action::Chunks(source, missing))
    }
}

impl Fetch {
    fn new(head: Option<Head>) -> Self {
        Self { head, sources: SmallVec::new(), attempts: 0, asked: None, chunks: BTreeMap::new() }
    }

    /// Peers in turn, then the store, then all again.
    fn source(&self) -> Source {
        let turn = self.attempts % (self.sources.len() + 1);
        self.sources.get(turn).map_or(Source::Store, |name| Source::Peer(name.clone()))
    }
}

type Chunks = BTreeMap<Digest, Chunk>;

/// The chunks that `head` needs and that are in neither place.
fn missing(head: &Head, fetched: &Chunks, had: &Chunks) -> Result<Vec<Digest>, ChunkError> {
    let find = |digest: &Digest| fetched.get(digest).or_else(|| had.get(digest));
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

/// Puts a configuration together from chunks that are all there.
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
