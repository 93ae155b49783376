//! Calls to the platform's store, each bounded in time and counted.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use sardinepick_lib::history::{Era, Point};
use sardinepick_platform::store::{self, Changes, Object, Page, ResponseError};
use strum::{Display, IntoStaticStr};
use thiserror::Error;
use tokio::time::timeout;

use crate::history::{EraError, Tracker};
use crate::serve::connection::{Connections, Incomplete, SendError};
use crate::serve::metrics::Metrics;

/// Why a call gave nothing.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The store answered, and refused.
    #[error("{purpose}: {refused}")]
    Refused {
        /// What the call was for.
        purpose: Purpose,
        /// The refusal.
        refused: ResponseError,
    },
    /// The store did not answer.
    #[error("{purpose}: {source}")]
    Send {
        /// What the call was for.
        purpose: Purpose,
        /// What went wrong.
        source: SendError,
    },
    /// The answer did not come whole.
    #[error("{purpose}: {source}")]
    Broken {
        /// What the call was for.
        purpose: Purpose,
        /// What went wrong.
        source: Incomplete,
    },
    /// The answer is of an era that it must not be used of.
    #[error("{purpose}: {source}")]
    Era {
        /// What the call was for.
        purpose: Purpose,
        /// What is wrong with the era.
        source: EraError,
    },
    /// The store came back from a copy between what the call builds on and its answer. A write may have
    /// replaced other content than was meant.
    #[error(
        "{purpose}: the store came back from a copy; the call built on {was}, the answer is of era {era}"
    )]
    Crossed {
        /// What the call was for.
        purpose: Purpose,
        /// What it built on.
        was: Point,
        /// The era of the answer.
        era: Era,
    },
    /// The answer did not come in time.
    #[error("{purpose}: no answer within {limit:?}")]
    Late {
        /// What the call was for.
        purpose: Purpose,
        /// The time it had.
        limit: Duration,
    },
}

impl StoreError {
    /// Whether the store has forgotten the history that was asked for, or has another one by now.
    pub fn is_forgotten(&self) -> bool {
        match self {
            StoreError::Refused { refused, .. } => *refused == ResponseError::HistoryGone,
            StoreError::Crossed { .. } => true,
            _ => false,
        }
    }
}

/// What a call is for.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Purpose {
    /// Reading the configuration.
    Configuration,
    /// Waiting for another configuration.
    ConfigurationWatch,
    /// Making sure that no newer configuration exists.
    ConfigurationCheck,
    /// Reading the register of runners.
    Register,
    /// Waiting for a change of the register.
    RegisterWatch,
    /// Reading who the nodes are.
    Nodes,
    /// Writing this node's entry.
    NodeWrite,
    /// Reading or writing the lease on the duties of one node at a time.
    Lease,
    /// Reading or writing what is not run.
    Quarantine,
    /// Reading or writing settled usage.
    Usage,
}

/// How long the store may take to begin its answer to a call other than a watch, and to go on with
/// any. It answers in 4 ms (users' sheets), and in 60 to 75 times that when it is slow. The whole of
/// an answer has no limit: a megabyte takes 0.84 s on a link of 10 Mbit/s, and a read that is given up
/// and begun anew never ends there.
const CALL_LIMIT: Duration = Duration::from_millis(700);
/// How long a connection to the store may take.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// What a watch may take beyond its wait.
const WATCH_SLACK: Duration = Duration::from_millis(700);
/// The largest answer: a page of about a megabyte, with room.
const LARGEST: usize = 8 << 20;

/// The client.
pub struct Client {
    address: SocketAddr,
    connections: Arc<Connections>,
    history: Arc<Tracker>,
    metrics: Metrics,
}

impl Client {
    /// A client for the store at `address`.
    pub fn new(
        address: SocketAddr,
        connections: Arc<Connections>,
        history: Arc<Tracker>,
        metrics: Metrics,
    ) -> Self {
        Self { address, connections, history, metrics }
    }

    /// Reads all objects of a kind, page by page, and the revision of the first page. Changes made
    /// while the pages are read come again through the watch that follows.
    ///
    /// # Errors
    /// A page cannot be read.
    pub async fn list(
        &self,
        purpose: Purpose,
        kind: &str,
    ) -> Result<(Vec<Object>, Point), StoreError> {
        let mut objects = Vec::new();
        let mut as_of = None;
        let mut after = None;
        loop {
            let request = store::list(self.address, kind, after.as_deref());
            let page: Page = self.call(purpose, request, CALL_LIMIT, store::read_page).await?;
            let first = *as_of.get_or_insert(page.as_of);
            self.same_era(purpose, first, page.as_of.era)?;
            objects.extend(page.objects);
            match page.next {
                Some(next) => after = Some(next),
                None => return Ok((objects, first)),
            }
        }
    }

    /// Reads the first page of the objects of a kind.
    ///
    /// # Errors
    /// It cannot be read.
    pub async fn first_page(
        &self,
        purpose: Purpose,
        kind: &str,
    ) -> Result<Vec<Object>, StoreError> {
        let request = store::list(self.address, kind, None);
        let page: Page = self.call(purpose, request, CALL_LIMIT, store::read_page).await?;
        Ok(page.objects)
    }

    /// Waits for changes of a kind after `from`.
    ///
    /// # Errors
    /// The watch was cut, refused, or too late.
    pub async fn watch(
        &self,
        purpose: Purpose,
        kind: &str,
        from: Point,
        wait: Duration,
    ) -> Result<Changes, StoreError> {
        self.same_era(purpose, from, self.history.era())?;
        let request = store::watch(self.address, kind, from, wait);
        let limit = wait + WATCH_SLACK;
        let changes = self.call(purpose, request, limit, store::read_changes).await?;
        self.same_era(purpose, from, changes.as_of.era)?;
        Ok(changes)
    }

    /// Makes sure that an answer of `era` goes on from `was`: revisions are given out again in another
    /// era.
    fn same_era(&self, purpose: Purpose, was: Point, era: Era) -> Result<(), StoreError> {
        if was.era == era { Ok(()) } else { Err(StoreError::Crossed { purpose, was, era }) }
    }

    /// Writes an object, new or in place of whatever is there.
    ///
    /// # Errors
    /// It cannot be written.
    pub async fn put(
        &self,
        purpose: Purpose,
        kind: &str,
        name: &str,
        content: &serde_json::Value,
    ) -> Result<(), StoreError> {
        let created = self.create(purpose, kind, name, content).await;
        let Err(StoreError::Refused { refused: ResponseError::Conflict(Some(object)), .. }) =
            &created
        else {
            return created.map(|_| ());
        };
        self.replace(purpose, kind, name, object.at, content).await.map(|_| ())
    }

    /// Removes an object, if it is there.
    ///
    /// # Errors
    /// It cannot be removed.
    pub async fn remove(&self, purpose: Purpose, kind: &str, name: &str) -> Result<(), StoreError> {
        let Some(object) = self.get(purpose, kind, name).await? else { return Ok(()) };
        let request = store::remove(self.address, kind, name, object.at);
        match self.call(purpose, request, CALL_LIMIT, store::read_removal).await {
            Err(StoreError::Refused { refused: ResponseError::NotFound, .. }) => Ok(()),
            other => other,
        }
    }

    /// Reads one object; none if there is none.
    ///
    /// # Errors
    /// It cannot be read.
    pub async fn get(
        &self,
        purpose: Purpose,
        kind: &str,
        name: &str,
    ) -> Result<Option<Object>, StoreError> {
        let request = store::get(self.address, kind, name);
        match self.call(purpose, request, CALL_LIMIT, store::read_object).await {
            Ok(object) => Ok(Some(object)),
            Err(StoreError::Refused { refused: ResponseError::NotFound, .. }) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Writes an object that must not be there yet.
    ///
    /// # Errors
    /// It is there, or cannot be written.
    pub async fn create(
        &self,
        purpose: Purpose,
        kind: &str,
        name: &str,
        content: &serde_json::Value,
    ) -> Result<Object, StoreError> {
        let was = Point::new(self.history.era(), 0);
        let request = store::create(self.address, kind, name, content);
        let object = self.call(purpose, request, CALL_LIMIT, store::read_object).await?;
        self.same_era(purpose, was, object.at.era)?;
        Ok(object)
    }

    /// Replaces an object whose last change must still be `was`.
    ///
    /// # Errors
    /// It is another one by now, or cannot be written. After [`StoreError::Crossed`] it may have been
    /// written in place of another one.
    pub async fn replace(
        &self,
        purpose: Purpose,
        kind: &str,
        name: &str,
        was: Point,
        content: &serde_json::Value,
    ) -> Result<Object, StoreError> {
        if was.era != self.history.era() {
            return Err(StoreError::Refused { purpose, refused: ResponseError::Conflict(None) });
        }
        let request = store::replace(self.address, kind, name, was, content);
        let object = self.call(purpose, request, CALL_LIMIT, store::read_object).await?;
        self.same_era(purpose, was, object.at.era)?;
        Ok(object)
    }

    async fn call<T>(
        &self,
        purpose: Purpose,
        request: Request<Bytes>,
        limit: Duration,
        read: impl Fn(Era, StatusCode, &[u8]) -> Result<T, ResponseError>,
    ) -> Result<T, StoreError> {
        let result =
            self.exchange(purpose, request, limit).await.and_then(|(era, status, body)| {
                read(era, status, &body).map_err(|refused| StoreError::Refused { purpose, refused })
            });
        let outcome = match &result {
            Ok(_) => "answered",
            Err(StoreError::Refused { .. }) => "refused",
            Err(StoreError::Era { .. } | StoreError::Crossed { .. }) => "another_era",
            Err(StoreError::Send { .. } | StoreError::Broken { .. }) => "broken",
            Err(StoreError::Late { .. }) => "late",
        };
        self.metrics.store_calls.with_label_values(&[purpose.into(), outcome]).inc();
        result
    }

    async fn exchange(
        &self,
        purpose: Purpose,
        request: Request<Bytes>,
        limit: Duration,
    ) -> Result<(Era, StatusCode, Bytes), StoreError> {
        let sent = self.connections.send(self.address, request, CONNECT_LIMIT);
        let answer = timeout(limit, sent).await.map_err(|_| StoreError::Late { purpose, limit })?;
        let answer = answer.map_err(|source| StoreError::Send { purpose, source })?;
        let read = answer.read_while_it_comes(LARGEST, CALL_LIMIT).await;
        let (head, body) = read.map_err(|source| StoreError::Broken { purpose, source })?;
        let era = self.history.note_answer(&head.headers);
        let era = era.map_err(|source| StoreError::Era { purpose, source })?;
        Ok((era, head.status, body))
    }
}
