//! The client of the platform's store; each call has a timeout and is counted.

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

use crate::era_tracker::{EraError, EraTracker};
use crate::serve::connection::{Connections, Incomplete, SendError};
use crate::serve::metrics::Metrics;

/// Why a call failed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The store refused the call.
    #[error("{purpose}: {refused}")]
    Refused {
        /// The purpose of the call.
        purpose: Purpose,
        /// The refusal.
        refused: ResponseError,
    },
    /// The store did not answer.
    #[error("{purpose}: {source}")]
    Send {
        /// The purpose of the call.
        purpose: Purpose,
        /// The cause.
        source: SendError,
    },
    /// The answer is truncated.
    #[error("{purpose}: {source}")]
    Broken {
        /// The purpose of the call.
        purpose: Purpose,
        /// The cause.
        source: Incomplete,
    },
    /// The answer is of an era that must not be used.
    #[error("{purpose}: {source}")]
    Era {
        /// The purpose of the call.
        purpose: Purpose,
        /// What is wrong with the era.
        source: EraError,
    },
    /// The store was restored from a backup between the revision that the call builds on and its
    /// answer. A write may have replaced other content than intended.
    #[error(
        "{purpose}: the store came back from a copy; the call built on {was}, the answer is of era {era}"
    )]
    EraChanged {
        /// The purpose of the call.
        purpose: Purpose,
        /// The revision that it built on.
        was: Point,
        /// The era of the answer.
        era: Era,
    },
    /// The answer did not begin in time.
    #[error("{purpose}: no answer within {limit:?}")]
    Late {
        /// The purpose of the call.
        purpose: Purpose,
        /// The timeout.
        limit: Duration,
    },
}

impl StoreError {
    /// Returns whether the store no longer has the requested history, or has another history by
    /// now.
    pub fn is_forgotten(&self) -> bool {
        match self {
            StoreError::Refused { refused, .. } => *refused == ResponseError::HistoryGone,
            StoreError::EraChanged { .. } => true,
            _ => false,
        }
    }
}

/// The purpose of a call.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Purpose {
    /// Reading the configuration.
    Configuration,
    /// Watching the configuration.
    ConfigurationWatch,
    /// Checking that no newer configuration exists.
    ConfigurationCheck,
    /// Reading the register of runners.
    Register,
    /// Watching the register.
    RegisterWatch,
    /// Reading the entries of the nodes.
    Nodes,
    /// Writing this node's entry.
    NodeWrite,
    /// Reading or writing the duties lease.
    Lease,
    /// Reading or writing quarantined requests.
    Quarantine,
    /// Reading or writing settled usage.
    Usage,
    /// Reading or writing capacity records.
    Capacity,
}

/// The timeout for the start of an answer, except to a watch, and between its pieces. The store
/// answers in 4 ms (platform data sheets), and in 60 to 75 times that when it is slow. An answer as
/// a whole has no timeout: a megabyte takes 0.84 s on a link of 10 Mbit/s, and there a read that
/// is aborted and restarted would never complete.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// The timeout for connecting to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The time that a watch may take beyond its wait.
const WATCH_SLACK: Duration = Duration::from_millis(700);
/// The maximum size of an answer: a page of about a megabyte, with room to spare.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// The client.
pub struct Client {
    address: SocketAddr,
    connections: Arc<Connections>,
    era_tracker: Arc<EraTracker>,
    metrics: Metrics,
}

impl Client {
    /// Creates a client for the store at `address`.
    pub fn new(
        address: SocketAddr,
        connections: Arc<Connections>,
        era_tracker: Arc<EraTracker>,
        metrics: Metrics,
    ) -> Self {
        Self { address, connections, era_tracker, metrics }
    }

    /// Lists all objects of a kind, page by page, and returns the revision of the first page.
    /// Changes made between the pages are reported again by the watch that follows.
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
            let page: Page = self.call(purpose, request, CALL_TIMEOUT, store::read_page).await?;
            let first = *as_of.get_or_insert(page.as_of);
            self.check_era(purpose, first, page.as_of.era)?;
            self.note_unreadable(purpose, page.unreadable);
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
        let page: Page = self.call(purpose, request, CALL_TIMEOUT, store::read_page).await?;
        self.note_unreadable(purpose, page.unreadable);
        Ok(page.objects)
    }

    /// Waits for changes of a kind after `from`.
    ///
    /// # Errors
    /// The watch was cut off, refused, or timed out.
    pub async fn watch(
        &self,
        purpose: Purpose,
        kind: &str,
        from: Point,
        wait: Duration,
    ) -> Result<Changes, StoreError> {
        self.check_era(purpose, from, self.era_tracker.era())?;
        let request = store::watch(self.address, kind, from, wait);
        let limit = wait + WATCH_SLACK;
        let changes = self.call(purpose, request, limit, store::read_changes).await?;
        self.check_era(purpose, from, changes.as_of.era)?;
        self.note_unreadable(purpose, changes.unreadable);
        Ok(changes)
    }

    /// Counts objects that were passed over in an answer.
    fn note_unreadable(&self, purpose: Purpose, count: usize) {
        if count > 0 {
            let labels = [purpose.into(), "unreadable"];
            self.metrics.invalid_objects.with_label_values(&labels).inc_by(count as u64);
            log::warn!(purpose:% = purpose, objects = count; "unreadable objects passed over");
        }
    }

    /// Checks that an answer of `era` continues from `was`: another era assigns the same revisions
    /// again.
    fn check_era(&self, purpose: Purpose, was: Point, era: Era) -> Result<(), StoreError> {
        if was.era == era { Ok(()) } else { Err(StoreError::EraChanged { purpose, was, era }) }
    }

    /// Writes an object, whether it exists or not.
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

    /// Removes an object if it exists.
    ///
    /// # Errors
    /// It cannot be removed.
    pub async fn remove(&self, purpose: Purpose, kind: &str, name: &str) -> Result<(), StoreError> {
        let Some(object) = self.get(purpose, kind, name).await? else { return Ok(()) };
        let request = store::remove(self.address, kind, name, object.at);
        match self.call(purpose, request, CALL_TIMEOUT, store::read_removal).await {
            Err(StoreError::Refused { refused: ResponseError::NotFound, .. }) => Ok(()),
            other => other,
        }
    }

    /// Reads one object; `None` if it does not exist.
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
        match self.call(purpose, request, CALL_TIMEOUT, store::read_object).await {
            Ok(object) => Ok(Some(object)),
            Err(StoreError::Refused { refused: ResponseError::NotFound, .. }) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Creates an object that must not exist yet.
    ///
    /// # Errors
    /// It exists, or cannot be written.
    pub async fn create(
        &self,
        purpose: Purpose,
        kind: &str,
        name: &str,
        content: &serde_json::Value,
    ) -> Result<Object, StoreError> {
        let was = Point::new(self.era_tracker.era(), 0);
        let request = store::create(self.address, kind, name, content);
        let object = self.call(purpose, request, CALL_TIMEOUT, store::read_object).await?;
        self.check_era(purpose, was, object.at.era)?;
        Ok(object)
    }

    /// Replaces an object that must still be at revision `was`.
    ///
    /// # Errors
    /// The object has changed, or cannot be written. After [`StoreError::EraChanged`] it may have
    /// replaced another one.
    pub async fn replace(
        &self,
        purpose: Purpose,
        kind: &str,
        name: &str,
        was: Point,
        content: &serde_json::Value,
    ) -> Result<Object, StoreError> {
        if was.era != self.era_tracker.era() {
            return Err(StoreError::Refused { purpose, refused: ResponseError::Conflict(None) });
        }
        let request = store::replace(self.address, kind, name, was, content);
        let object = self.call(purpose, request, CALL_TIMEOUT, store::read_object).await?;
        self.check_era(purpose, was, object.at.era)?;
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
            Err(StoreError::Era { .. } | StoreError::EraChanged { .. }) => "another_era",
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
        let sent = self.connections.send(self.address, request, None, CONNECT_TIMEOUT);
        let answer = timeout(limit, sent).await.map_err(|_| StoreError::Late { purpose, limit })?;
        let answer = answer.map_err(|source| StoreError::Send { purpose, source })?;
        let read = answer.read_with_idle_timeout(MAX_ANSWER_BYTES, CALL_TIMEOUT).await;
        let (head, body) = read.map_err(|source| StoreError::Broken { purpose, source })?;
        let era = self.era_tracker.note_answer(&head.headers);
        let era = era.map_err(|source| StoreError::Era { purpose, source })?;
        Ok((era, head.status, body))
    }
}
